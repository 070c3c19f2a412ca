//! Deaths in a large tier: what one gateway must have received from others before it considers a member dead
//! (`docs/design/fleet.md`, M7).
use larchway::{duration_micros, MonotonicTime};
use larchway_cluster::failure_detector::{FailureDetector, Input, MemberState, Output};
use larchway_cluster::wire::{ClaimedState, Gossip, Heartbeat, MemberClaim, MessageKind, BEAT_MASK};
use larchway_cluster::FleetFile;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime::from_micros(1_000_000_000);
const MEMBERS: usize = 1_000;
const OBSERVER: u16 = 3;
/// A member that answers nobody, and those that suspect it.
const SILENT: u16 = 500;
const SUSPECTORS: [u16; 2] = [10, 11];
/// Time between two beats.
const BEAT: Duration = Duration::from_millis(200);
/// When it is suspected, and the last time at which it is known to have lived.
const SUSPECTED_AT: MonotonicTime = MonotonicTime::from_micros(START.as_micros() + 4_000_000);
const LAST_BEAT_AT: MonotonicTime = MonotonicTime::from_micros(START.as_micros() + 3_000_000);
/// Who tells of all others' beats.
const REFRESHER: u16 = 30;
/// Time since the beats that others know of.
const FRESH: Duration = Duration::from_millis(400);

/// What other gateways claim of the silent member in their acks, once it is suspected.
#[derive(Clone, Copy, PartialEq)]
enum Others {
    /// Nothing: they know of no suspicion yet.
    SayNothing,
    /// Its last beat that they know of, which is no later than the one known here.
    KnowNothingLater,
}

fn heartbeat_at(at: MonotonicTime) -> Heartbeat {
    let beat = ((duration_micros(at - START) / duration_micros(BEAT)) as u16) & BEAT_MASK;
    Heartbeat { incarnation: 1, beat, left: false }
}

fn receive_ack(
    observer: &mut FailureDetector,
    now: MonotonicTime,
    from: u16,
    gossip: &Gossip,
    out: &mut Vec<Output>,
) {
    observer.handle(now, Input::Received { kind: MessageKind::Ack, from, body: &gossip.encode() }, out);
}

fn ack(
    observer: &mut FailureDetector,
    now: MonotonicTime,
    from: u16,
    claims: Vec<MemberClaim>,
    out: &mut Vec<Output>,
) {
    let gossip = Gossip { own: heartbeat_at(now), claims, ..Gossip::default() };
    receive_ack(observer, now, from, &gossip, out);
}

/// Beats of late from all members but the silent one: nobody else is to be looked for.
fn refresh(observer: &mut FailureDetector, now: MonotonicTime, out: &mut Vec<Output>) {
    let capacity = Gossip::window_capacity(0);
    let heartbeat = |member: usize| match member == usize::from(SILENT) {
        true => Heartbeat::default(),
        false => heartbeat_at(now - FRESH),
    };
    for first in (0..MEMBERS).step_by(capacity) {
        let window = (first..(first + capacity).min(MEMBERS)).map(heartbeat).collect();
        let gossip =
            Gossip { own: heartbeat_at(now), window_start: first as u16, window, ..Gossip::default() };
        receive_ack(observer, now, REFRESHER, &gossip, out);
    }
}

/// All pings but those to the silent one are answered, for so long. Returns the changes of the silent member's state
/// with their times.
fn play(
    observer: &mut FailureDetector,
    from: MonotonicTime,
    until: MonotonicTime,
    others: Others,
) -> Vec<(MonotonicTime, MemberState)> {
    let mut changes = Vec::new();
    let mut now = from.max(START + FRESH);
    while now < until {
        let mut out = Vec::new();
        refresh(observer, now, &mut out);
        observer.handle(now, Input::Tick, &mut out);
        let pinged: Vec<u16> = out
            .iter()
            .filter_map(|output| match output {
                Output::Send { to, kind: MessageKind::Ping, .. } if *to != SILENT => Some(*to),
                _ => None,
            })
            .collect();
        for member in pinged {
            let known = MemberClaim {
                member: SILENT,
                heartbeat: heartbeat_at(LAST_BEAT_AT),
                state: ClaimedState::Unsuspected,
            };
            let claims = if others == Others::KnowNothingLater { vec![known] } else { vec![] };
            ack(observer, now + Duration::from_millis(1), member, claims, &mut out);
        }
        changes.extend(out.iter().filter_map(|output| match output {
            Output::StateChanged { member: SILENT, state } => Some((now, *state)),
            _ => None,
        }));
        now = observer.next_due().max(now + Duration::from_millis(2));
    }
    changes
}

/// An observer to which two others have claimed to suspect the silent member.
fn suspecting_observer() -> FailureDetector {
    let mut observer = FailureDetector::new(START, FleetFile::default(), OBSERVER, MEMBERS, 7);
    let changes = play(&mut observer, START, LAST_BEAT_AT, Others::SayNothing);
    assert_eq!(changes, []);
    let alive = MemberClaim {
        member: SILENT,
        heartbeat: heartbeat_at(LAST_BEAT_AT),
        state: ClaimedState::Unsuspected,
    };
    ack(&mut observer, LAST_BEAT_AT, SUSPECTORS[0], vec![alive], &mut Vec::new());
    play(&mut observer, LAST_BEAT_AT, SUSPECTED_AT, Others::SayNothing);
    for suspector in SUSPECTORS {
        let suspected = MemberClaim {
            member: SILENT,
            heartbeat: heartbeat_at(LAST_BEAT_AT),
            state: ClaimedState::SuspectedFor(1),
        };
        ack(&mut observer, SUSPECTED_AT, suspector, vec![suspected], &mut Vec::new());
    }
    observer
}

/// The order that removed living members of a tier of 1,000: two suspect a member that receives nothing, the observer's
/// own pings stay without an answer, and a later beat, which others know of, comes here only after that.
#[test]
fn in_a_large_tier_a_member_is_not_dead_before_others_say_that_they_know_of_nothing_later() {
    let mut observer = suspecting_observer();
    let late = SUSPECTED_AT + Duration::from_secs(8);
    assert_eq!(play(&mut observer, SUSPECTED_AT, late, Others::SayNothing), []);
    let beat = MemberClaim {
        member: SILENT,
        heartbeat: heartbeat_at(late - Duration::from_millis(500)),
        state: ClaimedState::Unsuspected,
    };
    ack(&mut observer, late, 20, vec![beat], &mut Vec::new());
    assert_eq!(play(&mut observer, late, late + Duration::from_secs(3), Others::KnowNothingLater), []);
    assert!(observer.is_alive(SILENT));
}

/// And one of whom nobody knows anything later is dead within the time that asking takes.
#[test]
fn in_a_large_tier_a_member_of_whom_nobody_knows_anything_later_is_dead() {
    let mut observer = suspecting_observer();
    let changes =
        play(&mut observer, SUSPECTED_AT, SUSPECTED_AT + Duration::from_secs(12), Others::KnowNothingLater);
    assert!(matches!(changes[..], [(_, MemberState::Dead)]), "{changes:?}");
}
