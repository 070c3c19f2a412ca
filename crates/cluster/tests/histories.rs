//! Property tests with random sequences of inputs to one gateway's failure detector, lease and health gossip: the
//! invariants of `docs/design/fleet.md` must hold for any input in any order.
use larchway::MonotonicTime;
use larchway_cluster::failure_detector::{FailureDetector, Input, MemberState, Output, STATE_HOLD};
use larchway_cluster::lease::{ClusterSize, Input as LeaseInput, Lease, LeaseSettings, EXPIRY_WAIT};
use larchway_cluster::store_health::{
    decode as decode_reports, HealthGossip, StoreHealth, MAX_REPORTS_PER_DATAGRAM,
};
use larchway_cluster::wire::{
    decode, encode, ClaimedState, Gossip, Heartbeat, MemberClaim, MessageKind, MAX_BODY_BYTES,
    MAX_DATAGRAM_BYTES, MAX_SUSPICION_AGE,
};
use larchway_cluster::FleetFile;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime::from_micros(1_000_000_000);

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Gossip(u16, Vec<(u16, u16, u16, bool, Option<u8>)>, bool, bool),
    Bytes(u16, u8, Vec<u8>),
    Leave,
    Resized(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let claim = (0u16..14, 0u16..4, 0u16..0x3fff, any::<bool>(), proptest::option::of(any::<u8>()));
    let step = prop_oneof![
        6 => (1u64..400).prop_map(Step::Wait),
        1 => (700u64..30_000).prop_map(Step::Wait),
        6 => (0u16..14, proptest::collection::vec(claim, 0..20), any::<bool>(), any::<bool>())
            .prop_map(|(sender, claims, paused, ping)| Step::Gossip(sender, claims, paused, ping)),
        2 => (0u16..14, 0u8..6, proptest::collection::vec(any::<u8>(), 0..300))
            .prop_map(|(sender, kind, bytes)| Step::Bytes(sender, kind, bytes)),
        1 => Just(Step::Leave),
        1 => (1usize..14).prop_map(Step::Resized),
    ];
    proptest::collection::vec(step, 1..120)
}

/// The claimed state for an arbitrary byte on the wire; `None` for a member that is not suspected.
fn claimed_state(byte: Option<u8>) -> ClaimedState {
    match byte {
        None => ClaimedState::Unsuspected,
        Some(age) if age > MAX_SUSPICION_AGE => ClaimedState::Dead,
        Some(age) => ClaimedState::SuspectedFor(age),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// M5, M9: whatever bytes other members send, a gateway does not exceed its send budget, name members that do not
    /// exist, suspect itself, or change the state of one incarnation twice within 10 s unless it reports its own pause.
    #[test]
    fn messages_of_others_never_make_a_gateway_exceed_its_bounds(steps in steps()) {
        let mut now = START;
        let mut detector = FailureDetector::new(now, FleetFile::default(), 3, 12, 7);
        let mut members = 12;
        let mut last_changes: BTreeMap<u16, (MonotonicTime, u16)> = BTreeMap::new();
        for step in steps {
            let mut outputs = Vec::new();
            let (mut max_sends, mut reports_pause) = (1, false);
            match step {
                Step::Wait(ms) => {
                    now += Duration::from_millis(ms);
                    max_sends = 40;
                    detector.handle(now, Input::Tick, &mut outputs);
                }
                Step::Gossip(sender, claims, paused, ping) => {
                    let heartbeat = |incarnation, beat, left| Heartbeat { incarnation, beat, left };
                    let member_claims = claims.iter().map(|(member, incarnation, beat, left, state)| MemberClaim {
                        member: *member,
                        heartbeat: heartbeat(*incarnation, *beat, *left),
                        state: claimed_state(*state),
                    });
                    let own = heartbeat(claims.len() as u16, (now.as_micros() / 200_000) as u16 & 0x3fff, false);
                    let gossip = Gossip {
                        own,
                        paused,
                        isolated: false,
                        claims: member_claims.collect(),
                        window_start: 0,
                        window: vec![],
                    };
                    let kind = if ping { MessageKind::Ping } else { MessageKind::Ack };
                    let datagram = encode(kind, sender, &gossip.encode());
                    let envelope = decode(&datagram).expect("a valid envelope");
                    reports_pause = paused;
                    detector.handle(now, Input::Received { kind, from: sender, body: envelope.body }, &mut outputs);
                }
                Step::Bytes(sender, kind, bytes) => {
                    let kind = [
                        MessageKind::Ping,
                        MessageKind::Ack,
                        MessageKind::IndirectPing,
                        MessageKind::Ping,
                        MessageKind::IndirectPing,
                        MessageKind::Ack,
                    ][usize::from(kind)];
                    detector.handle(now, Input::Received { kind, from: sender, body: &bytes }, &mut outputs);
                }
                Step::Leave => {
                    max_sends = 8;
                    detector.handle(now, Input::Leave, &mut outputs);
                }
                Step::Resized(new_members) => {
                    members = new_members;
                    detector.handle(now, Input::Resized { own_member: 3, members: new_members }, &mut outputs);
                    last_changes.clear();
                }
            }
            let sent_datagrams = outputs.iter().filter(|output| matches!(output, Output::Send { .. })).count();
            prop_assert!(sent_datagrams <= max_sends + 17, "{sent_datagrams} datagrams at once");
            let report = detector.report(now);
            for output in outputs {
                match output {
                    Output::Send { to, kind, body } => {
                        prop_assert!(usize::from(to) < members.max(4) && to != 3);
                        prop_assert!(body.len() <= MAX_BODY_BYTES && encode(kind, 3, &body).len() <= MAX_DATAGRAM_BYTES);
                    }
                    Output::StateChanged { member, state } => {
                        prop_assert!(member != 3);
                        let incarnation = report
                            .not_healthy
                            .iter()
                            .find(|report| report.member == member)
                            .map_or(0, |report| report.incarnation);
                        let last = last_changes.insert(member, (now, incarnation));
                        if let (Some((changed_at, changed_incarnation)), MemberState::Dead) = (last, state) {
                            prop_assert!(
                                changed_incarnation != incarnation
                                    || changed_incarnation == 0
                                    || now >= changed_at + STATE_HOLD
                                    || reports_pause
                            );
                        }
                    }
                    Output::Paused(paused_for) => prop_assert!(paused_for >= Duration::from_millis(700)),
                    Output::Isolated | Output::Reconnected => {}
                }
            }
            prop_assert!(report.alive + report.dead + report.left <= members.max(4) + 1);
        }
    }

    /// L1, L2: the pool is used only after the own node has existed for the first-use delay and while a `sync` sent
    /// after its creation was answered within the lease. The share is never below the floor, nor above the floor plus
    /// the pool.
    #[test]
    fn a_lease_is_held_only_after_the_first_use_delay_and_with_an_answered_sync(
        events in proptest::collection::vec((0u8..9, 0usize..6, 1u64..1500), 1..80)
    ) {
        let settings = LeaseSettings::from_file(&FleetFile::default());
        let mut lease = Lease::new(ClusterSize { all: 6, own_zone: 6, zone: 1 });
        let (mut now, mut registered_at, mut synced_at) = (START, None::<MonotonicTime>, None::<MonotonicTime>);
        for (event, gateway, ms) in events {
            now += Duration::from_millis(ms);
            let input = match event {
                0 | 1 => { registered_at = Some(now); LeaseInput::Registered }
                2 => { (registered_at, synced_at) = (None, None); LeaseInput::SessionEnded }
                3 => LeaseInput::NodeAppeared { name: format!("g{gateway}"), zone: 1 },
                4 => LeaseInput::NodeGone(format!("g{gateway}")),
                5 => LeaseInput::RereadStarted,
                6 => LeaseInput::RereadComplete,
                7 => {
                    let sent_at = now - Duration::from_millis(1);
                    synced_at = Some(sent_at);
                    LeaseInput::Synced(sent_at)
                }
                _ => { registered_at = registered_at.map(|_| now); synced_at = None; LeaseInput::Rewound }
            };
            lease.handle(now, input);
            let share = lease.share(&settings, now);
            let larchway::Shares { of_all, of_own_zone } = share.now(now);
            prop_assert!(of_all >= 0.5 / 6.0 - 1e-9 && of_own_zone >= 0.5 / 6.0 - 1e-9);
            prop_assert!(of_all <= 0.5 / 6.0 + 0.5 + 1e-9 && of_own_zone <= 0.5 / 6.0 + 0.5 + 1e-9);
            if lease.is_held(&settings, now) {
                prop_assert!(
                    registered_at.is_some_and(|at| at + EXPIRY_WAIT <= now),
                    "lease held before the first-use delay is over"
                );
                prop_assert!(synced_at.is_some_and(|at| now < at + settings.lease), "lease held after it has expired");
            }
        }
    }

    /// A datagram of health reports is decoded completely or not at all, each report is new only once within its
    /// lifetime, and the number of forwarded reports is bounded.
    #[test]
    fn health_reports_of_others_stay_bounded(datagrams in proptest::collection::vec(
        proptest::collection::vec(any::<u8>(), 0..260), 1..40)) {
        let mut gossip = HealthGossip::default();
        for (index, bytes) in datagrams.iter().enumerate() {
            if let Some(reports) = decode_reports(bytes) {
                let now = START + Duration::from_millis(index as u64 * 10);
                let new_reports = gossip.receive(now, reports.clone());
                prop_assert!(new_reports.len() <= reports.len() && gossip.receive(now, reports).is_empty());
                prop_assert!(gossip.take_pending().len() <= MAX_REPORTS_PER_DATAGRAM);
            }
        }
        gossip.observe(START, 1, 9, StoreHealth::Recovered);
        prop_assert!(gossip.take_pending().len() <= MAX_REPORTS_PER_DATAGRAM);
    }
}

/// While a larger tier is rolled out, a peer with the newer configuration makes claims about members that this
/// gateway's configuration does not contain. Found by the property test above.
#[test]
fn a_peer_that_knows_of_more_members_is_answered() {
    let mut detector = FailureDetector::new(START, FleetFile::default(), 3, 12, 7);
    let claim = MemberClaim {
        member: 12,
        heartbeat: Heartbeat { incarnation: 5, beat: 1, left: false },
        state: ClaimedState::SuspectedFor(3),
    };
    let gossip = Gossip { claims: vec![claim], ..Gossip::default() }.encode();
    let mut outputs = Vec::new();
    detector.handle(START, Input::Received { kind: MessageKind::Ping, from: 0, body: &gossip }, &mut outputs);
    assert!(matches!(outputs[..], [Output::Send { to: 0, kind: MessageKind::Ack, .. }]), "{outputs:?}");
    // The configuration shrinks while an indirect probe of a member that it removes is in flight.
    detector.handle(
        START,
        Input::Received { kind: MessageKind::IndirectPing, from: 0, body: &11u16.to_be_bytes() },
        &mut outputs,
    );
    detector.handle(START, Input::Resized { own_member: 3, members: 6 }, &mut outputs);
    detector.handle(
        START,
        Input::Received { kind: MessageKind::Ack, from: 5, body: &Gossip::default().encode() },
        &mut outputs,
    );
}
