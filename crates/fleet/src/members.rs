//! Who is there among the gateways of a tier, as one of them knows.
//!
//! Each member counts beats by its clock. In each exchange (a ping and its ack) both sides tell the latest beats they
//! know, so that evidence of life reaches a gateway by any way that is open, whatever links are cut. Beats are dated: the
//! one heard with the least delay dates all others, so late news is not taken for late life. Who gets no answer, directly
//! or by way of others, accuses the member since the first time it asked; a beat from after that time refutes it. A member
//! is taken for dead when two gateways accuse it, it was first asked longer ago than the longest pause, and some others
//! have told since that they know of nothing later. See `docs/design/fleet.md`, invariants M1 to M9.
use crate::wire::{later_beat, later_life, Kind, Named, News, Pulse, BEATS, SURE};
use crate::FleetFile;
use larchway::{mix, Micros};
use serde::Serialize;

/// µs of one beat.
const BEAT: Micros = 200_000;
/// µs between two changes of a verdict on a member at least, but for a new life or one that tells of its own pause.
pub const DAMPING: Micros = 10_000_000;
/// µs between two turns of the loop from which on the gateway was itself paused.
const PAUSED: Micros = 700_000;
/// µs for which it tells of its own pause, and at most for which it accuses nobody after it.
const CONFESSES: Micros = 3_000_000;
/// µs without any datagram, and pings to others meanwhile, after which it is in the dark.
const DARK: (Micros, u32) = (2_500_000, 4);
/// µs within which it must have heard somebody to give a verdict.
const HEARD: Micros = 1_000_000;
/// µs in which an answer to a ping may come before it counts as missing.
const ANSWER: Micros = 200_000;
/// Pings without an answer from which a member is accused: the least, the most, and the chance that all of them were
/// lost which is borne.
const MISSING: (u8, u8) = (3, 8);
const BORNE: f64 = 0.01;
/// Weight of the newest ping in the share of those lost.
const NEWEST: f64 = 0.05;
/// µs after the longest pause in which its end may become known, and how many times that with all datagrams lost.
const SETTLED: (Micros, f64) = (700_000, 4.0);
/// Members up to which that is enough, and µs more for each doubling: news come by more hops.
const SMALL: (f64, f64) = (64.0, 400_000.0);
/// Datagrams that must tell nothing later of a member after the longest pause: what others know is asked for first.
const CONFIRMED: usize = 2;
/// Datagrams more that must do so for each doubling over [`SMALL`], before a verdict by own asking. Each leaves out those
/// who know of a later beat by some chance; the gateways that may be unlucky, and how late news come, grow with the tier.
const CONFIRMED_A_DOUBLING: f64 = 3.0;
/// Datagrams a second in trouble, and how many may come at once; answers go out all the same, and count.
const RATE: (f64, f64) = (9.0, 16.0);
/// More that may be sent at once when many give no answer: once in a while, since it is then that all must be asked.
const MANY: (f64, Micros) = (30.0, 30_000_000);
/// Members that a datagram names one by one.
const NAMED: usize = 24;
/// µs for which a member whose accusation is refuted is named all the same, so that all hear of it.
const CLEARED: Micros = 2_000_000;
/// µs between two looks at what is late, and between two rounds that look for those who may be gone.
const TURN: Micros = 100_000;
const HUNT: Micros = 200_000;
/// Members asked in such a round of whom nothing was known for longest.
const HUNTED: usize = 4;
/// µs that the latest beat known of a member may be old before it is asked in such a round.
const OLD: Micros = 1_500_000;
/// Accused members up to which a gateway goes by its own asking too. With more, there is no time for that.
const FEW: usize = 6;
/// µs after the last sight of more than that in which the rest of them is still dealt with.
const MASSED: Micros = 3_000_000;
/// Gateways that ask an accused one in a round of all: hundreds must not ask at once.
const ASKERS: f64 = 6.0;
/// Others asked to reach a member that does not answer, and those told of a farewell.
const HELPERS: usize = 2;
const FAREWELLS: usize = 8;
/// Gateways that must accuse a member, where so many are left: usually, and where many give no answer at once.
const ACCUSE: (usize, usize) = (2, 3);
/// Accusers kept of a member.
const ACCUSERS: usize = 3;
/// Members asked for at others' request at once.
const FAVOURS: usize = 16;
/// Members of whom the liveliest is asked while many give no answer.
const CHOICE: usize = 4;
/// One in so many exchanges goes to a member that is gone, so that cuts heal.
const GONE: u64 = 8;

/// What is made of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// It runs, as far as is known.
    Alive,
    /// It does not: two gateways have had no answer, and nobody a sign of life.
    Dead,
    /// It has said farewell.
    Left,
}

/// What has come.
#[derive(Debug)]
pub enum Input<'a> {
    /// It is time, or may be.
    Tick,
    /// A ping, an ack or a request to reach a member, from this one.
    Heard(Kind, u16, &'a [u8]),
    /// The gateway stops as planned.
    Farewell,
    /// The tier has so many members now, and this is the gateway's own number.
    Configured(u16, usize),
}

/// What is to be done, and what was found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send this to that member.
    Send(u16, Kind, Vec<u8>),
    /// The verdict on a member has changed.
    Changed(u16, Verdict),
    /// The gateway was itself paused for so long.
    Paused(Micros),
    /// The gateway hears nobody, or hears somebody again.
    Dark(bool),
}

/// A member as one gateway knows it.
#[derive(Debug, Clone, Default)]
struct Member {
    life: u16,
    /// Its latest beat, and the same without going round, from the first one heard.
    beat: u16,
    beats: u64,
    /// When its beats began, by the one that was heard with the least delay; when the gateway began, at first.
    began: Micros,
    gone: bool,
    left: bool,
    /// When the verdict last changed, if it has.
    changed: Option<Micros>,
    /// Since when it is accused: it was asked then, and nothing later is known of it.
    accused: Option<Micros>,
    /// Who accuses it, and who takes it for dead; at most [`ACCUSERS`] each.
    accusers: Vec<u16>,
    sure: Vec<u16>,
    /// When this gateway first asked it without an answer, when last, and how often.
    asked: Micros,
    again: Micros,
    missing: u8,
    /// Datagrams that told nothing later of it since the longest pause was over.
    confirmed: usize,
    /// Until when it is named since an accusation was refuted.
    cleared: Micros,
}

impl Member {
    fn verdict(&self) -> Verdict {
        match (self.left, self.gone) {
            (true, _) => Verdict::Left,
            (_, true) => Verdict::Dead,
            _ => Verdict::Alive,
        }
    }
    fn alive(&self) -> bool {
        !self.left && !self.gone
    }
    /// When its latest beat was.
    fn lived(&self) -> Micros {
        self.began + self.beats * BEAT
    }
    fn acquit(&mut self) {
        (self.accused, self.confirmed) = (None, 0);
        self.accusers.clear();
        self.sure.clear();
        (self.asked, self.missing) = (0, 0);
    }
}

/// What operators are told of a member.
#[derive(Debug, Clone, Serialize)]
pub struct Shown {
    /// Its number.
    pub member: u16,
    /// What is made of it.
    pub verdict: Verdict,
    /// Its incarnation; 0: never heard.
    pub life: u16,
    /// ms since its latest beat that is known.
    pub silent_ms: u64,
    /// Who accuses it now.
    pub accusers: Vec<u16>,
}

/// What operators are told of the tier.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The gateway's own number and incarnation.
    pub me: u16,
    /// See `me`.
    pub life: u16,
    /// Members by the configuration, and those taken for alive, dead and left; the gateway itself is alive.
    pub members: usize,
    /// See `members`.
    pub alive: usize,
    /// See `members`.
    pub dead: usize,
    /// See `members`.
    pub left: usize,
    /// Whether the gateway hears nobody.
    pub dark: bool,
    /// How often it was itself paused.
    pub pauses: u64,
    /// ms for which a member must give no answer now to be taken for dead.
    pub bound_ms: u64,
    /// Share of own pings of late that were lost.
    pub lost: f64,
    /// Changes of verdicts so far.
    pub changes: u64,
    /// Datagrams sent and taken in.
    pub sent: u64,
    /// See `sent`.
    pub heard: u64,
    /// Of the tier those that are gone or accused; at most 64.
    pub doubted: Vec<Shown>,
}

/// The members, at one gateway.
#[derive(Debug)]
pub struct Members {
    terms: FleetFile,
    me: u16,
    life: u16,
    /// When this life began: beats count from there.
    began: Micros,
    /// By number, at most 65,535 of them; the gateway itself stands among them unused.
    members: Vec<Member>,
    /// Who is asked next: all others in an order drawn anew each time round.
    order: Vec<u16>,
    turn: usize,
    rounds: u64,
    /// Where the next window of news begins.
    window: usize,
    due: Micros,
    /// When those that may be gone are looked for next.
    hunts: Micros,
    /// Until when many are taken to be gone.
    massed: Micros,
    last: Option<Micros>,
    /// Until when it tells of its own pause, and until when it accuses nobody after one.
    confesses: Micros,
    spares: Micros,
    /// When it last heard anybody, and the pings since.
    listened: Micros,
    unheard: u32,
    dark: bool,
    /// Share of own pings of late without an answer from members that lived.
    lost: f64,
    /// What may be sent, and when that was last reckoned.
    allowed: (f64, Micros),
    /// Members asked for at another's request: which, for whom, until when; at most [`FAVOURS`].
    favours: Vec<(u16, u16, Micros)>,
    farewell: bool,
    seed: u64,
    drawn: u64,
    pauses: u64,
    changes: u64,
    sent: u64,
    heard: u64,
}

impl Members {
    /// All members by the configuration, nobody heard yet. `seed`: new with each start.
    pub fn new(now: Micros, terms: FleetFile, me: u16, members: usize, seed: u64) -> Self {
        // Incarnations go up with the clock. One that is not above the last is put right by what peers tell.
        let life = ((now / 100_000) as u16).max(1);
        let mut all = Members {
            due: now + mix(seed) % (terms.period_ms * 1000),
            terms,
            me,
            life,
            began: now,
            members: Vec::new(),
            order: Vec::new(),
            turn: 0,
            rounds: 0,
            window: 0,
            hunts: 0,
            massed: 0,
            last: None,
            confesses: 0,
            spares: 0,
            listened: now,
            unheard: 0,
            dark: false,
            lost: 0.0,
            allowed: (RATE.1, now),
            favours: Vec::new(),
            farewell: false,
            seed,
            drawn: 0,
            pauses: 0,
            changes: 0,
            sent: 0,
            heard: 0,
        };
        all.resize(now, members);
        all
    }

    /// Takes other terms; what is known stays.
    pub fn configure(&mut self, terms: FleetFile) {
        self.terms = terms;
    }

    fn resize(&mut self, now: Micros, members: usize) {
        let fresh = Member { began: now, ..Member::default() };
        self.members.resize(members.clamp(1, usize::from(u16::MAX)), fresh);
        self.order.clear();
        self.favours.clear();
        self.turn = 0;
    }

    fn draw(&mut self, below: usize) -> usize {
        self.drawn += 1;
        let drawn = mix(mix(self.seed) ^ self.drawn.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        (drawn % below.max(1) as u64) as usize
    }

    /// When [`Input::Tick`] is wanted.
    pub fn next_due(&self) -> Micros {
        // Often enough that its own pauses are seen, and verdicts come in time.
        self.due.min(self.last.map_or(0, |at| at + TURN))
    }

    /// Whether this member is taken for alive.
    pub fn alive(&self, who: u16) -> bool {
        who == self.me || self.members.get(usize::from(who)).is_some_and(Member::alive)
    }

    /// All by the configuration, the gateway itself left out.
    fn all_others(&self) -> impl Iterator<Item = u16> + '_ {
        (0..self.members.len() as u16).filter(|who| *who != self.me)
    }

    /// Who is taken for alive, the gateway itself left out.
    pub fn others(&self) -> impl Iterator<Item = u16> + '_ {
        self.all_others().filter(|who| self.alive(*who))
    }

    /// A few others that are taken for alive, drawn anew.
    pub fn some(&mut self, number: usize) -> Vec<u16> {
        let mut all: Vec<u16> = self.others().collect();
        let number = number.min(all.len());
        for at in 0..number {
            let other = at + self.draw(all.len() - at);
            all.swap(at, other);
        }
        all.truncate(number);
        all
    }

    /// Bytes of memory that the members take, whose number is by far the largest part of this state.
    pub fn memory(&self) -> usize {
        let accusers = |m: &Member| (m.accusers.capacity() + m.sure.capacity()) * size_of::<u16>();
        let members = self.members.capacity() * size_of::<Member>();
        let order = self.order.capacity() * size_of::<u16>();
        members + order + self.members.iter().map(accusers).sum::<usize>()
    }

    /// Whether the gateway hears nobody.
    pub fn dark(&self) -> bool {
        self.dark
    }

    /// µs for which a member must have been asked without an answer to be taken for dead: the longest pause, and the time
    /// in which its end becomes known. It grows by itself where datagrams are lost.
    fn bound(&self) -> Micros {
        self.terms.pause_ms * 1000 + SETTLED.0 + self.spared()
    }

    /// µs that a verdict waits beyond what it would in a small tier that loses nothing: for pings that get lost, and for
    /// what refutes an accusation to come by more hops.
    fn spared(&self) -> Micros {
        (SETTLED.0 as f64 * SETTLED.1 * self.lost + SMALL.1 * self.doublings()) as Micros
    }

    /// How often a tier of [`SMALL`] members is to be doubled to have this one's size.
    fn doublings(&self) -> f64 {
        (self.members.len() as f64 / SMALL.0).log2().max(0.0)
    }

    /// Pings without an answer from which this gateway accuses: as many as are hardly all lost.
    fn need(&self) -> u8 {
        let need = (BORNE.ln() / self.lost.clamp(0.01, 0.9).ln()).round();
        // Where there is no time to ask each more than once, one answer missing tells, and more gateways must say so.
        (need as u8).clamp(if self.mass() { 1 } else { MISSING.0 }, MISSING.1)
    }

    /// Whether so many give no answer, or did until now, that there is no time to go by this gateway's own asking alone.
    fn mass(&self) -> bool {
        self.last.is_some_and(|now| now < self.massed)
    }

    /// Those that are accused, by this gateway or others.
    fn suspects(&self) -> Vec<u16> {
        let least = self.need().min(2);
        let suspect = |who: &u16| {
            let member = &self.members[usize::from(*who)];
            *who != self.me && member.alive() && (member.accused.is_some() || member.missing >= least)
        };
        (0..self.members.len() as u16).filter(suspect).collect()
    }

    /// Whether this gateway itself accuses a member.
    fn accuses(&self, member: &Member, now: Micros) -> bool {
        let asked = member.missing >= self.need() && now >= member.again + ANSWER;
        asked
            && member.lived() < member.asked
            && self.listened > member.asked
            && !self.dark
            && now >= self.spares
    }

    /// Takes in what has come and appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        self.awake(now, out);
        match input {
            Input::Tick => self.tick(now, out),
            Input::Heard(kind, from, body) => self.hear(now, kind, from, body, out),
            Input::Farewell => {
                self.farewell = true;
                for who in self.some(FAREWELLS) {
                    self.send(now, who, Kind::Ack, Vec::new(), out);
                }
            }
            Input::Configured(me, members) => {
                if (me, members) != (self.me, self.members.len()) {
                    self.me = me;
                    self.resize(now, members);
                }
            }
        }
    }

    /// M2: one that was itself paused knows nothing of that time. Silence in it is nobody's.
    fn awake(&mut self, now: Micros, out: &mut Vec<Output>) {
        let gone = now.saturating_sub(self.last.replace(now).unwrap_or(now));
        if gone < PAUSED {
            return;
        }
        self.pauses += 1;
        self.confesses = now + CONFESSES;
        self.spares = now + gone.min(CONFESSES);
        self.listened = (self.listened + gone).min(now);
        self.favours.clear();
        for member in &mut self.members {
            member.began += gone;
            member.acquit();
        }
        out.push(Output::Paused(gone));
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.look_around(now, out);
        let silent = |m: &&Member| m.alive() && (m.missing > 0 || m.accused.is_some());
        if self.members.iter().filter(silent).nth(FEW).is_some() {
            if now >= self.massed + MANY.1 {
                self.allowed.0 += MANY.0;
            }
            self.massed = now + MASSED;
        }
        self.judge(now, out);
        if !self.farewell {
            self.follow_up(now, out);
        }
        if self.farewell || self.members.len() < 2 {
            return;
        }
        let suspects = self.suspects();
        if !suspects.is_empty() && now >= self.hunts {
            self.hunts = now + HUNT;
            self.hunt(now, &suspects, out);
        }
        if now < self.due {
            return;
        }
        let period = self.terms.period_ms * 1000;
        // Rounds of gateways that began together must not fall together.
        self.due = now + period * 7 / 8 + (period / 4) * self.draw(1024) as u64 / 1024;
        if let Some(who) = self.next() {
            self.ping(now, who, out);
        }
    }

    /// M6: one that hears nobody though it asks is in the dark, and says so.
    fn look_around(&mut self, now: Micros, out: &mut Vec<Output>) {
        let dark = self.unheard >= DARK.1 && now.saturating_sub(self.listened) >= DARK.0;
        if dark != self.dark {
            self.dark = dark;
            out.push(Output::Dark(dark));
        }
    }

    fn judge(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (bound, spared) = (self.bound(), self.spared());
        let suspects = self.suspects();
        let many = self.mass();
        // M1: two accuse, where there are two that could.
        let could = 1 + self.others().count().saturating_sub(suspects.len());
        let enough = could.min(if many { ACCUSE.1 } else { ACCUSE.0 });
        let pause = self.terms.pause_ms * 1000;
        // While many are gone there is no time to hear of each from so many.
        let confirmations = if many { 0 } else { (CONFIRMED_A_DOUBLING * self.doublings()).ceil() as usize };
        for who in suspects {
            let member = &self.members[usize::from(who)];
            let (accuses, asked, again) = (self.accuses(member, now), member.asked, member.again);
            let member = &mut self.members[usize::from(who)];
            if accuses {
                member.accused = Some(member.accused.map_or(asked, |at| at.min(asked)));
            }
            let Some(since) = member.accused else { continue };
            // M5: a verdict that has just changed stays.
            let damped = member.changed.is_some_and(|at| now < at + DAMPING);
            if damped || self.dark || now < self.spares || now >= self.listened + HEARD {
                continue;
            }
            // M7: each asks for itself, once more when the longest pause is over, and in a large tier hears from some
            // others that they know of nothing later. Where there are too many for that, or no answer can be had, it goes
            // by what others tell.
            let asked_again = again >= since + pause + spared && now >= again + ANSWER;
            let own = accuses && asked_again && member.confirmed >= confirmations;
            let told = many && now >= since + bound && member.confirmed >= CONFIRMED.min(could - 1);
            let accusers = usize::from(accuses) + member.accusers.len();
            if (own || told) && accusers >= enough || member.sure.len() >= 2 {
                self.set(now, who, |m| m.gone = true, out);
            }
        }
        // One whose beats came again while its verdict was damped.
        let back = |m: &Member| {
            let settled = m.changed.is_some_and(|at| now >= at + DAMPING);
            m.gone && !m.left && settled && now.saturating_sub(m.lived()) < bound / 2
        };
        let all = 0..self.members.len() as u16;
        for who in all.filter(|who| back(&self.members[usize::from(*who)])).collect::<Vec<_>>() {
            self.set(now, who, |m| m.gone = false, out);
        }
    }

    fn set(&mut self, now: Micros, who: u16, change: impl Fn(&mut Member), out: &mut Vec<Output>) {
        let member = &mut self.members[usize::from(who)];
        let before = member.verdict();
        change(member);
        let after = member.verdict();
        if before != after {
            member.changed = Some(now);
            member.acquit();
            self.changes += 1;
            out.push(Output::Changed(who, after));
        }
    }

    /// While some are accused, others may be gone too: asks the one of some of whom nothing was known for longest, and
    /// those that are accused.
    fn hunt(&mut self, now: Micros, suspects: &[u16], out: &mut Vec<Output>) {
        let some = self.some(NAMED);
        let old = OLD + (OLD as f64 * 4.0 * self.lost) as Micros;
        let asked = |who: &u16| {
            let member = &self.members[usize::from(*who)];
            member.accused.is_some() || member.missing > 0 || member.lived() + old > now
        };
        let mut oldest: Vec<u16> = some.into_iter().filter(|who| !asked(who)).collect();
        oldest.sort_unstable_by_key(|who| self.members[usize::from(*who)].lived());
        for who in oldest.into_iter().take(HUNTED) {
            if self.allowed(now) >= 1.0 {
                self.ping(now, who, out);
            }
        }
        let many = self.mass();
        let spared = self.spared();
        let asks = (ASKERS / self.others().count().max(1) as f64 * 1024.0) as usize;
        let pause = self.terms.pause_ms * 1000;
        let from = self.draw(suspects.len());
        for at in 0..suspects.len() {
            let who = suspects[(from + at) % suspects.len()];
            let drawn = self.draw(1024) < asks;
            let member = &self.members[usize::from(who)];
            let since = member.accused.map_or(0, |at| now.saturating_sub(at));
            // One that this gateway has begun to ask is asked to the end; then others' turn it is. M7: and once more
            // when the longest pause is over.
            let begun = member.missing > 0 && member.missing < self.need();
            let last = !many
                && (since >= pause / 4 && member.missing < self.need()
                    || since >= pause + spared && member.again + since < now + pause + spared);
            let known = many && member.accusers.len() >= ACCUSE.1;
            if (drawn || begun || last) && !known && now >= member.again + ANSWER {
                if self.allowed(now) < 1.0 {
                    return;
                }
                self.ping(now, who, out);
            }
        }
    }

    /// Looks at pings that had no answer in time: the member is asked again, and then others are asked to.
    fn follow_up(&mut self, now: Micros, out: &mut Vec<Output>) {
        // With many there is no time for it: others ask the same ones.
        let many = self.mass();
        let late =
            |m: &Member| (1..MISSING.0).contains(&m.missing) && now >= m.again + ANSWER && m.alive() && !many;
        let all = 0..self.members.len() as u16;
        for who in all.filter(|who| late(&self.members[usize::from(*who)])).collect::<Vec<_>>() {
            if self.allowed(now) < 2.0 {
                return;
            }
            if self.members[usize::from(who)].missing == MISSING.0 - 1 {
                for helper in self.some(HELPERS).into_iter().filter(|helper| *helper != who) {
                    self.send(now, helper, Kind::Reach, who.to_be_bytes().to_vec(), out);
                }
            }
            self.ping(now, who, out);
        }
    }

    /// Who is asked next in the usual round. While many give no answer it is the one of some that was last known to live,
    /// so that those who are left hear of each other.
    fn next(&mut self) -> Option<u16> {
        if self.mass() {
            let some = self.some(CHOICE);
            let lively = |who: &u16| {
                let member = &self.members[usize::from(*who)];
                (member.missing == 0 && member.accused.is_none(), member.lived())
            };
            if let Some(who) = some.into_iter().max_by_key(lively) {
                return Some(who);
            }
        }
        // M8: each is asked by its neighbour in the ring of those that are left, whatever chance does.
        self.rounds += 1;
        if self.rounds.is_multiple_of(2) {
            let all = self.members.len();
            let ring = (1..all).map(|far| ((usize::from(self.me) + far) % all) as u16);
            let asked = |m: &Member| m.alive() && m.accused.is_none() && m.missing == 0;
            if let Some(who) = ring.into_iter().find(|who| asked(&self.members[usize::from(*who)])) {
                return Some(who);
            }
        }
        let gone = self.draw(GONE as usize) == 0;
        for _ in 0..2 {
            while let Some(&who) = self.order.get(self.turn) {
                self.turn += 1;
                let member = &self.members[usize::from(who)];
                if member.alive() && member.accused.is_none() || gone && !member.alive() {
                    return Some(who);
                }
            }
            self.turn = 0;
            self.order = self.all_others().collect();
            for at in (1..self.order.len()).rev() {
                let other = self.draw(at + 1);
                self.order.swap(at, other);
            }
        }
        // Nobody is left but those that are accused.
        let others: Vec<u16> = self.all_others().collect();
        (!others.is_empty()).then(|| others[self.draw(others.len())])
    }

    fn ping(&mut self, now: Micros, who: u16, out: &mut Vec<Output>) {
        self.unheard = self.unheard.saturating_add(1);
        let member = &mut self.members[usize::from(who)];
        if member.missing == 0 {
            member.asked = now;
        }
        member.missing = member.missing.saturating_add(1);
        member.again = now;
        self.send(now, who, Kind::Ping, Vec::new(), out);
    }

    /// What may be sent now.
    fn allowed(&mut self, now: Micros) -> f64 {
        let (left, at) = self.allowed;
        let more = now.saturating_sub(at) as f64 / 1e6 * RATE.0;
        // What was granted beyond the usual most is used up, not added to.
        self.allowed = ((left + more).min(RATE.1.max(left)), now.max(at));
        self.allowed.0
    }

    /// Sends to a member: news, naming those wanted first, or the given body.
    fn send(&mut self, now: Micros, to: u16, kind: Kind, body: Vec<u8>, out: &mut Vec<Output>) {
        let allowed = self.allowed(now);
        self.allowed.0 = (allowed - 1.0).max(-RATE.0);
        self.sent += 1;
        let body = if body.is_empty() { self.news(now, &[]).write() } else { body };
        out.push(Output::Send(to, kind, body));
    }

    fn pulse(&self, who: u16) -> Pulse {
        let member = &self.members[usize::from(who)];
        Pulse { life: member.life, beat: member.beat, left: member.left }
    }

    /// A member as it is told of by name. It is accused if this gateway accuses it, or has been told so by two.
    fn named(&self, who: u16, now: Micros) -> Named {
        let member = &self.members[usize::from(who)];
        let since = member.accused.filter(|_| self.accuses(member, now) || member.accusers.len() >= ACCUSE.1);
        let age = |at: Micros| (now.saturating_sub(at) / 100_000).min(u64::from(SURE - 1)) as u8;
        let accused = if member.gone && !member.left { Some(SURE) } else { since.map(age) };
        Named { who, pulse: self.pulse(who), accused }
    }

    fn own(&self, now: Micros) -> Pulse {
        let beat = ((now.saturating_sub(self.began) / BEAT) as u16) & BEATS;
        Pulse { life: self.life, beat, left: self.farewell }
    }

    fn news(&mut self, now: Micros, wanted: &[u16]) -> News {
        // Another's configuration may be newer, and know of more members.
        let known = |who: &u16| *who != self.me && usize::from(*who) < self.members.len();
        let mut names: Vec<u16> = wanted.iter().copied().filter(known).collect();
        names.truncate(NAMED);
        let hot = |who: &u16| {
            let member = &self.members[usize::from(*who)];
            let hot = member.accused.is_some() || now < member.cleared;
            // A verdict is told of for as long as it stays, so that those who were late come to it.
            let told = member.gone && member.changed.is_some_and(|at| now < at + DAMPING);
            *who != self.me && !member.left && (hot || told)
        };
        let all = self.members.len();
        let mut hot: Vec<u16> = (0..all as u16).filter(hot).collect();
        while names.len() < NAMED && !hot.is_empty() {
            let next = hot.swap_remove(self.draw(hot.len()));
            if !names.contains(&next) {
                names.push(next);
            }
        }
        let room = News::room(names.len()).min(all);
        let first = if room == all { 0 } else { self.window % all };
        let window: Vec<Pulse> = (first..(first + room).min(all)).map(|who| self.pulse(who as u16)).collect();
        self.window = first + window.len();
        News {
            own: self.own(now),
            paused: now < self.confesses,
            dark: self.dark,
            named: names.into_iter().map(|who| self.named(who, now)).collect(),
            first: first as u16,
            window,
        }
    }

    fn hear(&mut self, now: Micros, kind: Kind, from: u16, body: &[u8], out: &mut Vec<Output>) {
        if usize::from(from) >= self.members.len() || from == self.me {
            return;
        }
        if kind == Kind::Reach {
            if let (Ok(bytes), true) = (<[u8; 2]>::try_from(body), self.favours.len() < FAVOURS) {
                let who = u16::from_be_bytes(bytes);
                if usize::from(who) < self.members.len() && who != self.me && self.allowed(now) >= 1.0 {
                    self.favours.push((who, from, now + 2 * ANSWER));
                    self.ping(now, who, out);
                }
            }
            return;
        }
        let Some(news) = News::read(body) else { return };
        self.heard += 1;
        (self.listened, self.unheard) = (now, 0);
        self.look_around(now, out);
        self.take(now, from, from, news.own, news.paused, out);
        let window = (usize::from(news.first)..).zip(&news.window);
        let window = window.filter_map(|(who, pulse)| Some((u16::try_from(who).ok()?, *pulse)));
        for (who, pulse) in window.chain(news.named.iter().map(|n| (n.who, n.pulse))) {
            if who == self.me {
                self.told_of_me(pulse);
            } else if who != from && usize::from(who) < self.members.len() {
                self.take(now, from, who, pulse, false, out);
            }
        }
        let me = self.me;
        for named in news.named.iter().filter(|n| n.who != me && n.who != from) {
            self.accusation(now, from, named);
        }
        // Danger: one that was paused finds hundreds of pings waiting, and answers all at once.
        if kind == Kind::Ping && !self.farewell && self.allowed(now) > -RATE.0 {
            // What the other doubts is what it wants to know of.
            let wanted: Vec<u16> = news.named.iter().map(|n| n.who).collect();
            let news = self.news(now, &wanted).write();
            self.send(now, from, Kind::Ack, news, out);
        }
        self.favours.retain(|favour| favour.2 > now);
        let done = |favour: &(u16, u16, Micros)| favour.0 == from;
        let favours: Vec<_> = self.favours.iter().copied().filter(done).collect();
        self.favours.retain(|favour| !done(favour));
        for (who, asker, _) in favours {
            let news = self.news(now, &[who]).write();
            self.send(now, asker, Kind::Ack, news, out);
        }
    }

    /// Others know of a later life of this gateway than its own: the clock was put back between the two.
    fn told_of_me(&mut self, pulse: Pulse) {
        if later_life(pulse.life, self.life) || pulse.life == self.life && pulse.left && !self.farewell {
            self.life = pulse.life.wrapping_add(1).max(1);
        }
    }

    /// Takes in what `by` tells of a member.
    fn take(&mut self, now: Micros, by: u16, who: u16, told: Pulse, paused: bool, out: &mut Vec<Output>) {
        if told.life == 0 {
            return;
        }
        let member = &mut self.members[usize::from(who)];
        let anew = later_life(told.life, member.life);
        if told.life != member.life && !anew {
            return;
        }
        if by == who && member.missing > 0 {
            // It answers: all pings but the last are taken for lost.
            let missed = f64::from(member.missing - 1);
            self.lost += NEWEST * (missed.min(1.0) - self.lost);
            (member.asked, member.missing) = (0, 0);
        }
        if anew {
            let beats = u64::from(told.beat);
            (member.life, member.beat, member.beats) = (told.life, told.beat, beats);
            // It can have begun before this gateway did: then beats are dated from here on.
            member.began = now.saturating_sub(beats * BEAT);
        } else if later_beat(told.beat, member.beat) {
            member.beats += u64::from(told.beat.wrapping_sub(member.beat) & BEATS);
            member.beat = told.beat;
            member.began = member.began.min(now.saturating_sub(member.beats * BEAT));
        }
        // M4: a beat from after the time at which it was first asked refutes all who accuse it.
        let lived = member.lived();
        if member.missing > 0 && lived > member.asked {
            self.lost += NEWEST * (1.0 - self.lost);
            (member.asked, member.missing) = (0, 0);
        }
        if anew || by == who && member.accused.is_some() || member.accused.is_some_and(|at| lived > at) {
            member.acquit();
            member.cleared = now + CLEARED;
        }
        // M3, M5: a new life, or one that tells of its own pause, refutes a verdict at once.
        if anew || paused {
            self.set(now, who, |m| (m.gone, m.left) = (false, m.left && !anew), out);
        }
        if anew {
            // What was damped was the verdict on another life.
            self.members[usize::from(who)].changed = None;
        }
        let over = self.terms.pause_ms * 1000 + ANSWER;
        let member = &mut self.members[usize::from(who)];
        if by != who && member.accused.is_some_and(|at| now.saturating_sub(at) >= over) {
            member.confirmed = member.confirmed.saturating_add(1);
        }
        // Of one that has left and goes on sending, its last answers are on their way.
        if told.left && told.life == member.life && !member.left {
            self.set(now, who, |m| m.left = true, out);
        }
    }

    /// Takes in whether `by` accuses a member.
    fn accusation(&mut self, now: Micros, by: u16, told: &Named) {
        let pause = self.terms.pause_ms * 1000;
        let Some(member) = self.members.get_mut(usize::from(told.who)).filter(|m| m.alive()) else { return };
        if told.pulse.life != member.life {
            return;
        }
        let Some(age) = told.accused else {
            member.accusers.retain(|accuser| *accuser != by);
            return member.sure.retain(|accuser| *accuser != by);
        };
        let push = |list: &mut Vec<u16>| {
            if !list.contains(&by) && list.len() < ACCUSERS {
                list.push(by);
            }
        };
        if age == SURE {
            // M4: nothing is known here of its life since the longest pause.
            if now.saturating_sub(member.lived()) >= pause + ANSWER {
                member.accused = member.accused.or(Some(now));
                push(&mut member.sure);
                push(&mut member.accusers);
            }
            return;
        }
        let since = now.saturating_sub(u64::from(age) * 100_000);
        // M4: it has lived since.
        if member.lived() <= since {
            member.accused = Some(member.accused.map_or(since, |at| at.min(since)));
            push(&mut member.accusers);
        }
    }

    /// What operators are told.
    pub fn report(&self, now: Micros) -> Report {
        let count = |verdict| {
            let others = self.members.iter().enumerate().filter(|(who, _)| *who != usize::from(self.me));
            others.filter(|(_, m)| m.verdict() == verdict).count()
        };
        let shown = |who: u16| {
            let member = &self.members[usize::from(who)];
            let mut accusers = member.accusers.clone();
            if self.accuses(member, now) {
                accusers.push(self.me);
            }
            Shown {
                member: who,
                verdict: member.verdict(),
                life: member.life,
                silent_ms: now.saturating_sub(member.lived()) / 1000,
                accusers,
            }
        };
        let odd = |who: &u16| {
            let member = &self.members[usize::from(*who)];
            *who != self.me && (!member.alive() || member.accused.is_some())
        };
        Report {
            me: self.me,
            life: self.life,
            members: self.members.len(),
            alive: 1 + count(Verdict::Alive),
            dead: count(Verdict::Dead),
            left: count(Verdict::Left),
            dark: self.dark,
            pauses: self.pauses,
            bound_ms: self.bound() / 1000,
            lost: self.lost,
            changes: self.changes,
            sent: self.sent,
            heard: self.heard,
            doubted: (0..self.members.len() as u16).filter(odd).take(64).map(shown).collect(),
        }
    }
}
