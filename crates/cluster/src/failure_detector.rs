//! The failure detector of one gateway: it determines which gateways of the tier are alive.
//!
//! Each member counts beats by its clock. In each exchange (a ping and its ack) both sides send the latest beats they
//! know of all members, so that signs of life reach a gateway over any working path, whatever links are cut. The time
//! of a beat is computed from the beat that arrived with the least delay, so that delayed gossip does not appear to be
//! a recent sign of life. A gateway that gets no answer from a member, directly or through others, suspects it from the
//! time of its first unanswered ping; a later beat refutes the suspicion. A member is considered dead when two gateways
//! suspect it, the first unanswered ping is older than the longest pause, and other members have confirmed since then
//! that they know of no later beat. See `docs/design/fleet.md`, invariants M1 to M9.
mod exchange;
mod member;
mod probing;
mod random;
mod report;
mod send_budget;
mod suspicion;
mod thresholds;
mod timing;

use crate::wire::MessageKind;
use crate::FleetFile;
use larchway::{duration_micros, mix, MonotonicTime};
use member::Member;
use probing::IndirectProbe;
use random::Random;
use send_budget::SendBudget;
use std::time::Duration;
use timing::{
    units_in, DECISECOND, ISOLATION_PINGS, ISOLATION_SILENCE, LEAVE_FANOUT, OWN_PAUSE_THRESHOLD,
    PAUSE_ANNOUNCEMENT, TICK_INTERVAL,
};

pub use member::MemberState;
pub use report::{MemberReport, Report};
pub use timing::STATE_HOLD;

/// An event that the failure detector handles.
#[derive(Debug)]
pub enum Input<'a> {
    /// Time has passed: see [`FailureDetector::next_due`].
    Tick,
    /// A ping, an ack or an indirect ping was received.
    Received {
        /// The kind of message: one of the three above.
        kind: MessageKind,
        /// The member that sent it.
        from: u16,
        /// The body of the message.
        body: &'a [u8],
    },
    /// This gateway begins its graceful shutdown.
    Leave,
    /// A new configuration has changed this gateway's number or the number of members.
    Resized {
        /// This gateway's own number.
        own_member: u16,
        /// The number of members.
        members: usize,
    },
}

/// An action to take, or a change to report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The recipient's member number.
        to: u16,
        /// The kind of message.
        kind: MessageKind,
        /// The encoded body.
        body: Vec<u8>,
    },
    /// The state of a member has changed.
    StateChanged {
        /// The member's number.
        member: u16,
        /// Its new state.
        state: MemberState,
    },
    /// This gateway itself was paused for this long.
    Paused(Duration),
    /// This gateway receives nothing from any other member.
    Isolated,
    /// This gateway receives datagrams again after [`Output::Isolated`].
    Reconnected,
}

/// The failure detector of one gateway.
#[derive(Debug)]
pub struct FailureDetector {
    settings: FleetFile,
    own_member: u16,
    /// This gateway's incarnation, which increases with each start.
    incarnation: u16,
    /// When this incarnation began: its beats are counted from then.
    started_at: MonotonicTime,
    /// All members by number, at most 65,535; the entry of this gateway itself is unused.
    members: Vec<Member>,
    random: Random,
    send_budget: SendBudget,

    /// All other members in random order; shuffled again when each has been probed.
    probe_order: Vec<u16>,
    /// The position of the next probe in `probe_order`.
    probe_position: usize,
    probe_rounds: u64,
    next_probe_at: MonotonicTime,
    next_stale_probe_at: MonotonicTime,
    /// Probes in flight at the request of other members, at most [`timing::MAX_INDIRECT_PROBES`].
    indirect_probes: Vec<IndirectProbe>,
    /// The number of the member at which the next window of heartbeats begins.
    next_window_start: usize,

    /// When the last input was handled.
    last_handled_at: Option<MonotonicTime>,
    /// Until when a mass failure is assumed to last.
    mass_failure_until: MonotonicTime,
    /// Until when this gateway reports its own pause in its gossip.
    announce_pause_until: MonotonicTime,
    /// Until when this gateway suspects nobody after its own pause.
    suspect_nobody_until: MonotonicTime,
    last_received_at: MonotonicTime,
    pings_since_received: u32,
    isolated: bool,
    /// Moving average of the share of this gateway's pings to live members that were lost, from 0 to 1.
    ping_loss: f64,
    leaving: bool,

    own_pauses: u64,
    state_changes: u64,
    datagrams_sent: u64,
    gossip_received: u64,
}

impl FailureDetector {
    /// A detector for `members` gateways, none of which has sent anything yet. `seed` must differ at each start.
    pub fn new(now: MonotonicTime, settings: FleetFile, own_member: u16, members: usize, seed: u64) -> Self {
        // Incarnations increase with the clock. If the clock was set back, gossip that names the later one corrects it
        // (see `refute_claim_about_self`).
        let incarnation = (units_in(now - MonotonicTime::MIN, DECISECOND) as u16).max(1);
        let first_probe_delay = Duration::from_micros(mix(seed) % duration_micros(settings.period()));
        let mut detector = FailureDetector {
            next_probe_at: now + first_probe_delay,
            settings,
            own_member,
            incarnation,
            started_at: now,
            members: Vec::new(),
            random: Random::new(seed),
            send_budget: SendBudget::new(now),
            probe_order: Vec::new(),
            probe_position: 0,
            probe_rounds: 0,
            next_stale_probe_at: MonotonicTime::MIN,
            indirect_probes: Vec::new(),
            next_window_start: 0,
            last_handled_at: None,
            mass_failure_until: MonotonicTime::MIN,
            announce_pause_until: MonotonicTime::MIN,
            suspect_nobody_until: MonotonicTime::MIN,
            last_received_at: now,
            pings_since_received: 0,
            isolated: false,
            ping_loss: 0.0,
            leaving: false,
            own_pauses: 0,
            state_changes: 0,
            datagrams_sent: 0,
            gossip_received: 0,
        };
        detector.resize(now, members);
        detector
    }

    /// Replaces the settings; the state of the members is kept.
    pub fn configure(&mut self, settings: FleetFile) {
        self.settings = settings;
    }

    /// Handles an event and appends the resulting actions to `outputs`.
    pub fn handle(&mut self, now: MonotonicTime, input: Input<'_>, outputs: &mut Vec<Output>) {
        self.detect_own_pause(now, outputs);
        match input {
            Input::Tick => self.tick(now, outputs),
            Input::Received { kind, from, body } => self.receive(now, kind, from, body, outputs),
            Input::Leave => self.leave(now, outputs),
            Input::Resized { own_member, members } => {
                if (own_member, members) != (self.own_member, self.members.len()) {
                    self.own_member = own_member;
                    self.resize(now, members);
                }
            }
        }
    }

    /// When [`Input::Tick`] is due.
    pub fn next_due(&self) -> MonotonicTime {
        let next_tick_at =
            self.last_handled_at.map_or(MonotonicTime::MIN, |handled_at| handled_at + TICK_INTERVAL);
        self.next_probe_at.min(next_tick_at)
    }

    /// Whether this member is considered alive.
    pub fn is_alive(&self, member: u16) -> bool {
        let known_alive = || self.members.get(usize::from(member)).is_some_and(Member::is_alive);
        member == self.own_member || known_alive()
    }

    /// All other members that are considered alive.
    pub fn alive_others(&self) -> impl Iterator<Item = u16> + '_ {
        self.others().filter(|member| self.is_alive(*member))
    }

    /// Other members that are considered alive, chosen at random; at most `number`.
    pub fn random_alive_others(&mut self, number: usize) -> Vec<u16> {
        let mut chosen: Vec<u16> = self.alive_others().collect();
        let number = number.min(chosen.len());
        self.random.shuffle_front(&mut chosen, number);
        chosen.truncate(number);
        chosen
    }

    /// Bytes of memory that the members' records take: by far the largest part of this state.
    pub fn memory_bytes(&self) -> usize {
        let members = self.members.capacity() * size_of::<Member>();
        let probe_order = self.probe_order.capacity() * size_of::<u16>();
        members + probe_order + self.members.iter().map(Member::heap_bytes).sum::<usize>()
    }

    /// All configured members except this gateway.
    fn others(&self) -> impl Iterator<Item = u16> + '_ {
        (0..self.members.len() as u16).filter(|member| *member != self.own_member)
    }

    fn member(&self, number: u16) -> &Member {
        &self.members[usize::from(number)]
    }

    fn member_mut(&mut self, number: u16) -> &mut Member {
        &mut self.members[usize::from(number)]
    }

    /// Whether this number belongs to a configured member other than this gateway.
    fn is_other(&self, number: u16) -> bool {
        usize::from(number) < self.members.len() && number != self.own_member
    }

    /// How long a gateway may be paused without being considered dead.
    fn longest_pause(&self) -> Duration {
        self.settings.longest_pause()
    }

    fn resize(&mut self, now: MonotonicTime, members: usize) {
        self.members.resize(members.clamp(1, usize::from(u16::MAX)), Member::new(now));
        self.probe_order.clear();
        self.indirect_probes.clear();
        self.probe_position = 0;
    }

    fn leave(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        self.leaving = true;
        for member in self.random_alive_others(LEAVE_FANOUT) {
            self.send_gossip(now, member, MessageKind::Ack, &[], outputs);
        }
    }

    fn tick(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        self.update_isolation(now, outputs);
        self.update_mass_failure(now);
        self.update_states(now, outputs);
        if self.leaving {
            return;
        }
        self.retry_unanswered_pings(now, outputs);
        if self.members.len() < 2 {
            return;
        }
        self.probe_suspects_and_stale(now, outputs);
        self.probe_next(now, outputs);
    }

    /// M2: detects that this gateway itself was paused. It could receive nothing meanwhile, so that time does not count
    /// as silence of other members.
    fn detect_own_pause(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        let handled_at = self.last_handled_at.replace(now).unwrap_or(now);
        let paused_for = now.saturating_since(handled_at);
        if paused_for < OWN_PAUSE_THRESHOLD {
            return;
        }
        self.own_pauses += 1;
        self.announce_pause_until = now + PAUSE_ANNOUNCEMENT;
        self.suspect_nobody_until = now + paused_for.min(PAUSE_ANNOUNCEMENT);
        self.last_received_at = (self.last_received_at + paused_for).min(now);
        self.indirect_probes.clear();
        for member in &mut self.members {
            member.skip_own_pause(paused_for);
        }
        outputs.push(Output::Paused(paused_for));
    }

    /// M6: a gateway that sends pings and receives nothing is isolated; reports each change.
    fn update_isolation(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        let silent_for = now.saturating_since(self.last_received_at);
        let isolated = self.pings_since_received >= ISOLATION_PINGS && silent_for >= ISOLATION_SILENCE;
        if isolated != self.isolated {
            self.isolated = isolated;
            outputs.push(if isolated { Output::Isolated } else { Output::Reconnected });
        }
    }
}
