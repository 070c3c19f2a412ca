//! Verdicts in a large tier: what one gateway must have heard from others before it takes a member for dead
//! (`docs/design/fleet.md`, M7).
use larchway_fleet::members::{Input, Members, Output, Verdict};
use larchway_fleet::wire::{Kind, Named, News, Pulse, BEATS};
use larchway_fleet::FleetFile;

const START: u64 = 1_000_000_000;
const MEMBERS: usize = 1_000;
const OBSERVER: u16 = 3;
/// A member that answers nobody, and those who accuse it.
const SILENT: u16 = 500;
const ACCUSERS: [u16; 2] = [10, 11];
/// µs of one beat.
const BEAT: u64 = 200_000;
/// When it is accused, and the last time at which it is known to have lived.
const ACCUSED_AT: u64 = START + 4_000_000;
const LAST_BEAT_AT: u64 = START + 3_000_000;
/// Who tells of all others' beats.
const REFRESHER: u16 = 30;
/// µs since the beats that others know of.
const FRESH: u64 = 400_000;

/// What other gateways say of the silent member in their acks, once it is accused.
#[derive(Clone, Copy, PartialEq)]
enum Others {
    /// Nothing: they were told of no doubt yet.
    SayNothing,
    /// Its last beat that they know of, which is no later than the one known here.
    KnowNothingLater,
}

fn pulse_at(at: u64) -> Pulse {
    let beat = (((at - START) / BEAT) as u16) & BEATS;
    Pulse { life: 1, beat, left: false }
}

fn ack(observer: &mut Members, now: u64, from: u16, named: Vec<Named>, out: &mut Vec<Output>) {
    let news = News { own: pulse_at(now), named, ..News::default() };
    observer.handle(now, Input::Heard(Kind::Ack, from, &news.write()), out);
}

/// Beats of late from all members but the silent one: nobody else is to be looked for.
fn refresh(observer: &mut Members, now: u64, out: &mut Vec<Output>) {
    let room = News::room(0);
    let pulse = |who: usize| match who == usize::from(SILENT) {
        true => Pulse::default(),
        false => pulse_at(now - FRESH),
    };
    for first in (0..MEMBERS).step_by(room) {
        let window = (first..(first + room).min(MEMBERS)).map(pulse).collect();
        let news = News { own: pulse_at(now), first: first as u16, window, ..News::default() };
        observer.handle(now, Input::Heard(Kind::Ack, REFRESHER, &news.write()), out);
    }
}

/// All pings but those to the silent one are answered, for so long. Returns its verdicts with their times.
fn play(observer: &mut Members, from: u64, until: u64, others: Others) -> Vec<(u64, Verdict)> {
    let mut verdicts = Vec::new();
    let mut now = from.max(START + FRESH);
    while now < until {
        let mut out = Vec::new();
        refresh(observer, now, &mut out);
        observer.handle(now, Input::Tick, &mut out);
        let pinged: Vec<u16> = out
            .iter()
            .filter_map(|output| match output {
                Output::Send(to, Kind::Ping, _) if *to != SILENT => Some(*to),
                _ => None,
            })
            .collect();
        for member in pinged {
            let known = Named { who: SILENT, pulse: pulse_at(LAST_BEAT_AT), accused: None };
            let named = if others == Others::KnowNothingLater { vec![known] } else { vec![] };
            ack(observer, now + 1000, member, named, &mut out);
        }
        verdicts.extend(out.iter().filter_map(|output| match output {
            Output::Changed(SILENT, verdict) => Some((now, *verdict)),
            _ => None,
        }));
        now = observer.next_due().max(now + 2000);
    }
    verdicts
}

/// An observer to whom two others have accused the silent member.
fn accused() -> Members {
    let mut observer = Members::new(START, FleetFile::default(), OBSERVER, MEMBERS, 7);
    let verdicts = play(&mut observer, START, LAST_BEAT_AT, Others::SayNothing);
    assert_eq!(verdicts, []);
    let alive = Named { who: SILENT, pulse: pulse_at(LAST_BEAT_AT), accused: None };
    ack(&mut observer, LAST_BEAT_AT, ACCUSERS[0], vec![alive], &mut Vec::new());
    play(&mut observer, LAST_BEAT_AT, ACCUSED_AT, Others::SayNothing);
    for accuser in ACCUSERS {
        let accused = Named { who: SILENT, pulse: pulse_at(LAST_BEAT_AT), accused: Some(1) };
        ack(&mut observer, ACCUSED_AT, accuser, vec![accused], &mut Vec::new());
    }
    observer
}

/// The order that removed living members of a tier of 1,000: two accuse a member that hears nothing, the observer's own
/// pings stay without an answer, and a later beat, which others know of, comes here only after that.
#[test]
fn in_a_large_tier_a_member_is_not_dead_before_others_say_that_they_know_of_nothing_later() {
    let mut observer = accused();
    let late = ACCUSED_AT + 8_000_000;
    assert_eq!(play(&mut observer, ACCUSED_AT, late, Others::SayNothing), []);
    let beat = Named { who: SILENT, pulse: pulse_at(late - 500_000), accused: None };
    ack(&mut observer, late, 20, vec![beat], &mut Vec::new());
    assert_eq!(play(&mut observer, late, late + 3_000_000, Others::KnowNothingLater), []);
    assert!(observer.alive(SILENT));
}

/// And one of whom nobody knows anything later is dead within the time that asking takes.
#[test]
fn in_a_large_tier_a_member_of_whom_nobody_knows_anything_later_is_dead() {
    let mut observer = accused();
    let verdicts = play(&mut observer, ACCUSED_AT, ACCUSED_AT + 12_000_000, Others::KnowNothingLater);
    assert!(matches!(verdicts[..], [(_, Verdict::Dead)]), "{verdicts:?}");
}
