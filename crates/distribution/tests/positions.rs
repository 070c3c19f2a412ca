//! The aggregated positions compared with a plain list of all reports.
use larchway::MonotonicTime;
use larchway_distribution::positions::{
    PositionLimits, PositionReport, Positions, Straggler, MAX_NAME_BYTES, MAX_STRAGGLERS,
};
use larchway_distribution::EventNumber;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const LIMITS: PositionLimits =
    PositionLimits { lost_retention: Duration::from_micros(10), max_lost: 1000, max_advances: 100 };

fn at(micros: u64) -> MonotonicTime {
    MonotonicTime::from_micros(micros)
}

fn report(positions: &mut Positions, now: u64, id: u64, applied: EventNumber) {
    let name = format!("g{id}");
    positions.report(at(now), id, Some(&name), PositionReport::of_gateway(&name, applied));
}

#[test]
fn an_event_is_applied_everywhere_when_the_last_gateway_has_applied_it() {
    let mut positions = Positions::new(LIMITS);
    assert_eq!(positions.applied_everywhere_at(1), None);
    report(&mut positions, 1, 1, 8);
    report(&mut positions, 2, 2, 5);
    assert_eq!((positions.applied_everywhere_at(5), positions.applied_everywhere_at(6)), (Some(at(2)), None));
    report(&mut positions, 3, 2, 9);
    assert_eq!(
        (positions.applied_everywhere_at(5), positions.applied_everywhere_at(8)),
        (Some(at(2)), Some(at(3)))
    );
    // A gateway that joins with an older position has not applied the event.
    report(&mut positions, 4, 3, 6);
    assert_eq!((positions.applied_everywhere_at(6), positions.applied_everywhere_at(7)), (Some(at(4)), None));
}

#[test]
fn a_lost_gateway_is_counted_until_it_returns_or_expires() {
    let mut positions = Positions::new(LIMITS);
    report(&mut positions, 1, 1, 9);
    report(&mut positions, 1, 2, 5);
    positions.disconnected(at(2), 2);
    let lost = positions.aggregate();
    assert_eq!((lost.applied, lost.gateways, lost.lost), (5, 2, 1));
    positions.report(at(3), 20, Some("g2"), PositionReport::of_gateway("g2", 9));
    assert_eq!((positions.aggregate().applied, positions.aggregate().lost), (9, 0));
    positions.disconnected(at(4), 20);
    assert_eq!(positions.next_due(), Some(at(14)));
    positions.expire(at(14));
    assert_eq!(positions.aggregate(), PositionReport::of_gateway("g1", 9));
}

#[test]
fn lost_gateways_and_advances_are_bounded() {
    let mut positions = Positions::new(PositionLimits { max_lost: 3, max_advances: 3, ..LIMITS });
    for id in 0..50 {
        report(&mut positions, 1, id, id + 1);
    }
    for id in 0..50 {
        positions.disconnected(at(1), id);
        assert!(positions.len() <= 50 - id as usize - 1 + 3);
    }
    assert_eq!(positions.aggregate().lost, 3);
    let mut positions = Positions::new(PositionLimits { max_advances: 3, ..LIMITS });
    for number in 1..=50 {
        report(&mut positions, number, 1, number);
    }
    let known = (1..=50).filter(|number| positions.applied_everywhere_at(*number).is_some());
    assert_eq!(known.collect::<Vec<_>>(), [48, 49, 50]);
}

#[test]
fn a_report_beyond_the_limits_is_truncated() {
    let mut positions = Positions::new(LIMITS);
    let name = "ä".repeat(1000);
    let straggler = Straggler { name: name.clone(), applied: 1 };
    let huge = PositionReport {
        applied: 1,
        gateways: u64::MAX,
        lost: u64::MAX,
        furthest: vec![straggler; 50],
        ..PositionReport::default()
    };
    for id in 0..4 {
        positions.report(at(1), id, Some(&name), huge.clone());
    }
    let report = positions.aggregate();
    assert!(report.lost <= report.gateways);
    assert_eq!(report.furthest.len(), MAX_STRAGGLERS);
    assert!(report.furthest.iter().all(|straggler| straggler.name.len() <= MAX_NAME_BYTES));
}

#[derive(Debug, Clone)]
enum Step {
    Report(u64, EventNumber),
    Disconnect(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..12_u64, 1..40_u64).prop_map(|(id, applied)| Step::Report(id, applied)),
        1 => (0..12_u64).prop_map(Step::Disconnect),
    ]
}

proptest! {
    #[test]
    fn the_aggregate_equals_that_of_all_reports(steps in prop::collection::vec(step(), 1..80)) {
        let mut positions = Positions::new(LIMITS);
        // The position and the time of the loss, by gateway name.
        let mut expected_positions: BTreeMap<String, (EventNumber, Option<MonotonicTime>)> = BTreeMap::new();
        for (now, step) in (1..).zip(steps) {
            match step {
                Step::Report(id, applied) => {
                    report(&mut positions, now, id, applied);
                    expected_positions.insert(format!("g{id}"), (applied, None));
                }
                Step::Disconnect(id) => {
                    positions.disconnected(at(now), id);
                    if let Some((_, lost @ None)) = expected_positions.get_mut(&format!("g{id}")) {
                        *lost = Some(at(now));
                    }
                }
            }
            positions.expire(at(now));
            expected_positions.retain(|_, (_, lost)| lost.is_none_or(|lost| lost + LIMITS.lost_retention > at(now)));
            let report = positions.aggregate();
            let straggler = |(name, (applied, _)): (&String, &(EventNumber, _))| (*applied, name.clone());
            let mut all: Vec<_> = expected_positions.iter().map(straggler).collect();
            all.sort();
            prop_assert_eq!(report.gateways, all.len() as u64);
            prop_assert_eq!(report.lost, expected_positions.values().filter(|(_, lost)| lost.is_some()).count() as u64);
            prop_assert_eq!(report.applied, all.first().map_or(0, |(applied, _)| *applied));
            let furthest: Vec<_> = report.furthest.iter().map(|Straggler { applied, .. }| *applied).collect();
            let expected: Vec<_> = all.iter().take(MAX_STRAGGLERS).map(|(applied, _)| *applied).collect();
            prop_assert_eq!(furthest, expected);
        }
    }
}
