//! Guards against purges and documents being reported as done while a gateway has not applied them. A leaf relay is
//! killed and its gateways move to the other leaf, but one of them loses its connection there before it has reported
//! its position. When the killed leaf returned, its first report replaced the lost one, so this gateway was in neither
//! report: the root counted seven of eight gateways, all up to date:
//!
//! ```text
//! {"done":true,"event":4,"gateways":7,"kept_by":[],"lost":0}
//! ```
use larchway::MonotonicTime;
use larchway_distribution::positions::{PositionLimits, PositionReport, Positions};
use larchway_distribution::EventNumber;
use std::time::Duration;

const LIMITS: PositionLimits =
    PositionLimits { lost_retention: Duration::from_secs(60), max_lost: 100, max_advances: 100 };
const LEAVES: [(u64, &str); 2] = [(1, "leaf-0"), (2, "leaf-1")];

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_micros(seconds * 1_000_000)
}

/// The report of a leaf with these gateways.
fn report_of(gateways: &[(&str, EventNumber)]) -> PositionReport {
    let mut leaf = Positions::new(LIMITS);
    for (connection, (name, applied)) in (1..).zip(gateways) {
        leaf.report(at(0), connection, Some(name), PositionReport::of_gateway(name, *applied));
    }
    leaf.aggregate()
}

/// A root with two leaves of two gateways each, all at event 2, after its first leaf has disconnected.
fn root_that_has_lost_a_leaf() -> Positions {
    let mut root = Positions::new(LIMITS);
    let [(first, first_name), (second, second_name)] = LEAVES;
    root.report(at(1), first, Some(first_name), report_of(&[("g0", 2), ("g1", 2)]));
    root.report(at(1), second, Some(second_name), report_of(&[("g2", 2), ("g3", 2)]));
    assert_eq!(root.aggregate().gateways, 4);
    root.disconnected(at(2), first);
    root
}

/// Checks that event 3 is not applied everywhere and that g0 is named as furthest behind.
fn check_straggler(root: &Positions, when: &str) {
    assert_eq!(root.applied_everywhere_at(3), None, "{when}");
    let report = root.aggregate();
    assert_eq!(report.applied, 2, "{when}");
    assert_eq!(report.furthest.first().map(|straggler| straggler.name.as_str()), Some("g0"), "{when}");
}

#[test]
fn a_gateway_that_has_not_reported_again_is_counted_when_its_relay_returns_without_it() {
    let mut root = root_that_has_lost_a_leaf();
    // g1 has moved to the other leaf; g0 has not reported there.
    root.report(at(3), 2, Some("leaf-1"), report_of(&[("g1", 3), ("g2", 3), ("g3", 3)]));
    check_straggler(&root, "the leaf is disconnected");
    root.report(at(4), 3, Some("leaf-0"), report_of(&[]));
    check_straggler(&root, "the leaf has returned");
    // The leaf disconnects a second time before g0 has reported.
    root.disconnected(at(5), 3);
    root.report(at(6), 4, Some("leaf-0"), report_of(&[]));
    check_straggler(&root, "the leaf has returned a second time");
    root.report(at(7), 2, Some("leaf-1"), report_of(&[("g0", 3), ("g1", 3), ("g2", 3), ("g3", 3)]));
    assert_eq!(root.applied_everywhere_at(3), Some(at(7)), "all four have reported");
    assert_eq!((root.aggregate().gateways, root.aggregate().lost), (4, 0));
}

#[test]
fn a_gateway_that_never_reports_again_expires_after_the_retention_time() {
    let mut root = root_that_has_lost_a_leaf();
    root.report(at(3), 2, Some("leaf-1"), report_of(&[("g1", 3), ("g2", 3), ("g3", 3)]));
    root.report(at(4), 3, Some("leaf-0"), report_of(&[]));
    root.expire(at(61));
    check_straggler(&root, "the retention time has not passed");
    root.expire(at(62));
    assert_eq!((root.aggregate().applied, root.aggregate().lost), (3, 0));
}

/// The leaf returns with a new gateway, so as many gateways as before are connected, but g0 has not reported yet.
#[test]
fn a_gateway_that_joins_does_not_stand_for_one_that_has_not_reported_again() {
    let mut root = root_that_has_lost_a_leaf();
    root.report(at(3), 2, Some("leaf-1"), report_of(&[("g1", 3), ("g2", 3), ("g3", 3)]));
    root.report(at(4), 3, Some("leaf-0"), report_of(&[("g4", 3)]));
    check_straggler(&root, "another gateway has joined");
}
