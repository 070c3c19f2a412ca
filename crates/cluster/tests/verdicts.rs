//! Death declarations in a large tier: the confirmations that a gateway needs from others before it considers a member
//! dead (`docs/design/fleet.md`, M7).
use larchway::{duration_micros, MonotonicTime};
use larchway_cluster::failure_detector::{FailureDetector, Input, MemberState, Output};
use larchway_cluster::wire::{ClaimedState, Gossip, Heartbeat, MemberClaim, MessageKind, BEAT_MASK};
use larchway_cluster::FleetFile;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime::from_micros(1_000_000_000);
const MEMBERS: usize = 1_000;
const OBSERVER: u16 = 3;
/// A member that answers nobody, and the members that suspect it.
const SILENT_MEMBER: u16 = 500;
const SUSPECTORS: [u16; 2] = [10, 11];
/// Time between two beats of a member.
const BEAT_INTERVAL: Duration = Duration::from_millis(200);
/// When others claim to suspect the silent member, and the time of its last known beat.
const SUSPECTED_AT: MonotonicTime = MonotonicTime::from_micros(START.as_micros() + 4_000_000);
const LAST_BEAT_AT: MonotonicTime = MonotonicTime::from_micros(START.as_micros() + 3_000_000);
/// The member whose gossip contains the beats of all others.
const REFRESHING_MEMBER: u16 = 30;
/// Age of the beats in that gossip.
const REFRESHED_BEAT_AGE: Duration = Duration::from_millis(400);

/// The claims of other gateways about the silent member in their acks.
#[derive(Clone, Copy, PartialEq)]
enum PeerClaims {
    /// No claim: they do not know of the suspicion yet.
    NoClaim,
    /// Its last beat that they know, which is no later than the one known to the observer.
    NoLaterBeat,
}

fn heartbeat_at(at: MonotonicTime) -> Heartbeat {
    let beat = ((duration_micros(at - START) / duration_micros(BEAT_INTERVAL)) as u16) & BEAT_MASK;
    Heartbeat { incarnation: 1, beat, left: false }
}

fn receive_ack(
    observer: &mut FailureDetector,
    now: MonotonicTime,
    from: u16,
    gossip: &Gossip,
    outputs: &mut Vec<Output>,
) {
    observer.handle(now, Input::Received { kind: MessageKind::Ack, from, body: &gossip.encode() }, outputs);
}

fn receive_ack_with_claims(
    observer: &mut FailureDetector,
    now: MonotonicTime,
    from: u16,
    claims: Vec<MemberClaim>,
    outputs: &mut Vec<Output>,
) {
    let gossip = Gossip { own: heartbeat_at(now), claims, ..Gossip::default() };
    receive_ack(observer, now, from, &gossip, outputs);
}

/// Delivers recent beats of all members except the silent one, so that no other member is suspected or probed.
fn refresh_other_members(observer: &mut FailureDetector, now: MonotonicTime, outputs: &mut Vec<Output>) {
    let capacity = Gossip::window_capacity(0);
    let heartbeat = |member: usize| match member == usize::from(SILENT_MEMBER) {
        true => Heartbeat::default(),
        false => heartbeat_at(now - REFRESHED_BEAT_AGE),
    };
    for first in (0..MEMBERS).step_by(capacity) {
        let window = (first..(first + capacity).min(MEMBERS)).map(heartbeat).collect();
        let gossip =
            Gossip { own: heartbeat_at(now), window_start: first as u16, window, ..Gossip::default() };
        receive_ack(observer, now, REFRESHING_MEMBER, &gossip, outputs);
    }
}

/// Runs the observer from one time to another; all its pings are answered except those to the silent member. Returns
/// the changes of the silent member's state with their times.
fn simulate(
    observer: &mut FailureDetector,
    from: MonotonicTime,
    until: MonotonicTime,
    peer_claims: PeerClaims,
) -> Vec<(MonotonicTime, MemberState)> {
    let mut changes = Vec::new();
    let mut now = from.max(START + REFRESHED_BEAT_AGE);
    while now < until {
        let mut outputs = Vec::new();
        refresh_other_members(observer, now, &mut outputs);
        observer.handle(now, Input::Tick, &mut outputs);
        let pinged: Vec<u16> = outputs
            .iter()
            .filter_map(|output| match output {
                Output::Send { to, kind: MessageKind::Ping, .. } if *to != SILENT_MEMBER => Some(*to),
                _ => None,
            })
            .collect();
        for member in pinged {
            let unsuspected = MemberClaim {
                member: SILENT_MEMBER,
                heartbeat: heartbeat_at(LAST_BEAT_AT),
                state: ClaimedState::Unsuspected,
            };
            let claims = if peer_claims == PeerClaims::NoLaterBeat { vec![unsuspected] } else { vec![] };
            receive_ack_with_claims(observer, now + Duration::from_millis(1), member, claims, &mut outputs);
        }
        changes.extend(outputs.iter().filter_map(|output| match output {
            Output::StateChanged { member: SILENT_MEMBER, state } => Some((now, *state)),
            _ => None,
        }));
        now = observer.next_due().max(now + Duration::from_millis(2));
    }
    changes
}

/// An observer that has received claims of two members that they suspect the silent member.
fn suspecting_observer() -> FailureDetector {
    let mut observer = FailureDetector::new(START, FleetFile::default(), OBSERVER, MEMBERS, 7);
    let changes = simulate(&mut observer, START, LAST_BEAT_AT, PeerClaims::NoClaim);
    assert_eq!(changes, []);
    let alive = MemberClaim {
        member: SILENT_MEMBER,
        heartbeat: heartbeat_at(LAST_BEAT_AT),
        state: ClaimedState::Unsuspected,
    };
    receive_ack_with_claims(&mut observer, LAST_BEAT_AT, SUSPECTORS[0], vec![alive], &mut Vec::new());
    simulate(&mut observer, LAST_BEAT_AT, SUSPECTED_AT, PeerClaims::NoClaim);
    for suspector in SUSPECTORS {
        let suspected = MemberClaim {
            member: SILENT_MEMBER,
            heartbeat: heartbeat_at(LAST_BEAT_AT),
            state: ClaimedState::SuspectedFor(1),
        };
        receive_ack_with_claims(&mut observer, SUSPECTED_AT, suspector, vec![suspected], &mut Vec::new());
    }
    observer
}

/// Guards against the sequence that removed living members of a tier of 1,000: two members suspect one that receives
/// nothing, the observer's own pings get no answer, and gossip with a later beat reaches the observer only after that.
#[test]
fn in_a_large_tier_a_member_is_not_declared_dead_without_confirmations() {
    let mut observer = suspecting_observer();
    let late = SUSPECTED_AT + Duration::from_secs(8);
    assert_eq!(simulate(&mut observer, SUSPECTED_AT, late, PeerClaims::NoClaim), []);
    let beat = MemberClaim {
        member: SILENT_MEMBER,
        heartbeat: heartbeat_at(late - Duration::from_millis(500)),
        state: ClaimedState::Unsuspected,
    };
    receive_ack_with_claims(&mut observer, late, 20, vec![beat], &mut Vec::new());
    assert_eq!(simulate(&mut observer, late, late + Duration::from_secs(3), PeerClaims::NoLaterBeat), []);
    assert!(observer.is_alive(SILENT_MEMBER));
}

/// With confirmations that nobody knows of a later beat, the member is declared dead within 12 s.
#[test]
fn in_a_large_tier_a_member_is_declared_dead_with_confirmations() {
    let mut observer = suspecting_observer();
    let changes = simulate(
        &mut observer,
        SUSPECTED_AT,
        SUSPECTED_AT + Duration::from_secs(12),
        PeerClaims::NoLaterBeat,
    );
    assert!(matches!(changes[..], [(_, MemberState::Dead)]), "{changes:?}");
}
