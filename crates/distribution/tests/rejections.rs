//! Aggregated rejections in the reports of a tree of relays, compared with a plain sum (C4 and C7 of
//! `docs/design/configuration-events.md`).
mod common;
use common::documents::{id, version};
use larchway::MonotonicTime;
use larchway_distribution::configuration::{
    DocumentVersion, GatewayDocuments, RejectedVersion, Rejection, MAX_REASON_BYTES, MAX_REJECTING_GATEWAYS,
    MAX_REJECTIONS, MAX_STORED_REJECTIONS,
};
use larchway_distribution::positions::{PositionLimits, PositionReport, Positions};
use larchway_distribution::EventNumber;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const LIMITS: PositionLimits =
    PositionLimits { lost_retention: Duration::from_micros(10), max_lost: 1000, max_advances: 100 };

fn at(micros: u64) -> MonotonicTime {
    MonotonicTime::from_micros(micros)
}

fn rejection(name: &str, version: DocumentVersion) -> Rejection {
    Rejection { id: id(name), version, reason: format!("{name}.key: too many"), number: 1 }
}

fn report(gateway: &str, applied: EventNumber, rejections: &[Rejection]) -> PositionReport {
    PositionReport::of_gateway(gateway, applied).with_rejections(rejections)
}

#[test]
fn a_version_is_applied_by_all_when_all_have_reached_it_and_none_rejects_it() {
    let mut positions = Positions::new(LIMITS);
    let (first, second) = (version(1, 0), version(2, 0));
    let applied =
        |positions: &Positions, number, version| positions.is_document_applied(number, &id("a"), version);
    assert!(!applied(&positions, 0, first), "no gateway is known");
    positions.report(at(1), 1, Some("g1"), report("g1", 9, &[]));
    positions.report(at(1), 2, Some("g2"), report("g2", 7, &[]));
    assert_eq!((applied(&positions, 7, first), applied(&positions, 8, second)), (true, false));
    positions.report(at(2), 2, Some("g2"), report("g2", 9, &[rejection("a", second)]));
    assert_eq!((applied(&positions, 9, first), applied(&positions, 8, second)), (true, false));
    // The rejections of a lost gateway count until it returns or expires.
    positions.disconnected(at(3), 2);
    assert!(!applied(&positions, 8, second));
    positions.report(at(4), 20, Some("g2"), report("g2", 9, &[]));
    assert!(applied(&positions, 8, second));
    assert_eq!(positions.aggregate().rejections, []);
}

#[test]
fn a_report_names_few_gateways_and_states_whether_versions_are_omitted() {
    let mut positions = Positions::new(LIMITS);
    for gateway in 0..20 {
        let name = format!("g{gateway:02}");
        let versions: Vec<_> = (1..=3).map(|number| rejection("a", version(number, 0))).collect();
        positions.report(at(1), gateway, Some(&name), report(&name, 9, &versions[..=(gateway as usize % 3)]));
    }
    let aggregate = positions.aggregate();
    let counts: Vec<_> =
        aggregate.rejections.iter().map(|rejected| (rejected.version.version, rejected.gateways)).collect();
    assert_eq!(counts, [(1, 20), (2, 13), (3, 6)]);
    assert!(aggregate.rejections.iter().all(|rejected| rejected.names.len() == MAX_REJECTING_GATEWAYS));
    assert_eq!(aggregate.rejections[0].reason, "a.key: too many");
    let versions = (1..=MAX_REJECTIONS as u64 + 1).map(|number| rejection("b", version(number, 0)));
    let versions: Vec<_> = versions.collect();
    positions.report(at(2), 90, Some("h"), report("h", 9, &versions));
    let aggregate = positions.aggregate();
    assert!(aggregate.rejections.len() == MAX_REJECTIONS && aggregate.rejections_omitted);
    assert!(
        !positions.is_document_applied(1, &id("c"), version(1, 0)),
        "it may be among the omitted rejections"
    );
    let mut documents = GatewayDocuments::new("g", "z");
    documents.handle_unreadable();
    let mut positions = Positions::new(LIMITS);
    positions.report(at(1), 1, None, PositionReport::of_gateway("g", 9).with_documents(&documents));
    assert!(!positions.is_document_applied(1, &id("c"), version(1, 0)), "it may be in the unreadable event");
}

#[test]
fn a_report_beyond_the_limits_is_truncated() {
    let huge = RejectedVersion {
        reason: "é".repeat(MAX_REASON_BYTES),
        gateways: u64::MAX,
        names: vec!["n".repeat(1000); 50],
        ..RejectedVersion::of_gateway("g", &rejection("a", version(1, 0)))
    };
    let versions = (0..50).map(|number| RejectedVersion { version: version(number, 0), ..huge.clone() });
    let report = PositionReport { rejections: versions.collect(), ..report("g", 9, &[]) };
    let mut positions = Positions::new(LIMITS);
    for reporter in 0..(MAX_STORED_REJECTIONS / MAX_REJECTIONS + 10) as u64 {
        positions.report(at(1), reporter, None, report.clone());
    }
    let aggregate = positions.aggregate();
    assert!(aggregate.rejections_omitted && aggregate.rejections.len() == MAX_REJECTIONS);
    for rejected in &aggregate.rejections {
        assert!(rejected.reason.len() <= MAX_REASON_BYTES && rejected.names.len() <= MAX_REJECTING_GATEWAYS);
        assert_eq!(rejected.gateways, (MAX_STORED_REJECTIONS / MAX_REJECTIONS) as u64);
    }
    (0..2000).for_each(|reporter| positions.disconnected(at(2), reporter));
    positions.expire(at(100));
    assert_eq!(positions.aggregate(), PositionReport::default(), "all reports have expired");
}

#[derive(Debug, Clone)]
enum Step {
    Report { gateway: u64, relay: u64, rejected: Vec<u64> },
    Disconnect { relay: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let report = (0..6_u64, 0..2_u64, prop::collection::btree_set(1..5_u64, 0..4)).prop_map(
        |(gateway, relay, rejected)| Step::Report {
            gateway,
            relay,
            rejected: rejected.into_iter().collect(),
        },
    );
    let disconnect = (0..2_u64).prop_map(|relay| Step::Disconnect { relay });
    prop::collection::vec(prop_oneof![6 => report, 1 => disconnect], 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Two relays and a root: the root's rejections equal the sum over the last report of each gateway.
    #[test]
    fn rejections_of_a_tree_are_the_sum_of_the_gateways(steps in steps()) {
        let mut relays = [Positions::new(LIMITS), Positions::new(LIMITS)];
        let mut root = Positions::new(LIMITS);
        let mut naive: BTreeMap<(u64, u64), Vec<u64>> = BTreeMap::new();
        for step in steps {
            let relay = match step {
                Step::Report { gateway, relay, rejected } => {
                    let name = format!("g{gateway}");
                    let rejection = |number: &u64| rejection("a", version(*number, 0));
                    let rejections: Vec<_> = rejected.iter().map(rejection).collect();
                    relays[relay as usize].report(at(1), gateway, Some(&name), report(&name, 1, &rejections));
                    naive.insert((relay, gateway), rejected);
                    relay
                }
                // The gateways count as lost, and their rejections still count.
                Step::Disconnect { relay } => {
                    (0..6).for_each(|gateway| relays[relay as usize].disconnected(at(1), gateway));
                    relay
                }
            };
            root.report(at(1), relay, Some(&format!("r{relay}")), relays[relay as usize].aggregate());
            let mut expected: BTreeMap<u64, u64> = BTreeMap::new();
            naive.values().flatten().for_each(|number| *expected.entry(*number).or_default() += 1);
            let aggregate = root.aggregate();
            let found = aggregate.rejections.iter().map(|rejected| (rejected.version.version, rejected.gateways));
            prop_assert_eq!(found.collect::<BTreeMap<_, _>>(), expected.clone());
            for number in 1..5 {
                let is_applied = root.is_document_applied(1, &id("a"), version(number, 0));
                prop_assert_eq!(is_applied, !naive.is_empty() && !expected.contains_key(&number));
            }
        }
    }
}
