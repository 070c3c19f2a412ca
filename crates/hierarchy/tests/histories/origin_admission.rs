//! Tests of invariants H7 and H8.
use crate::support::{fixed_seed_config, MS, START};
use larchway::MonotonicTime;
use larchway_hierarchy::origin_admission::{self, AdmissionDecision, FetchEnd, Joining, OriginAdmission};
use proptest::prelude::*;
use std::time::Duration;

#[derive(Debug, Clone)]
enum Operation {
    Admit(u8, u64, bool),
    EndFetch(usize, u8, u32),
    Write(bool),
    SetGatewayCount(u8),
    AdvanceClock(u32),
}

fn operation_strategy() -> impl Strategy<Value = Operation> {
    prop_oneof![
        6 => (0..3u8, 0..40u64, any::<bool>()).prop_map(|(hub, object, joins)| Operation::Admit(hub, object, joins)),
        5 => (0..64usize, 0..5u8, 1..900u32).prop_map(|(index, end, latency)| Operation::EndFetch(index, end, latency)),
        1 => any::<bool>().prop_map(Operation::Write),
        1 => (1..9u8).prop_map(Operation::SetGatewayCount),
        3 => (1..2000u32).prop_map(Operation::AdvanceClock),
    ]
}

proptest! {
    #![proptest_config(fixed_seed_config(400))]

    /// H7 and H8: no more fetches are in flight than the limit allows, the limit stays within its bounds, writes are
    /// never rejected, and the table of objects is bounded.
    #[test]
    fn admitted_fetches_never_exceed_the_limit(operations in prop::collection::vec(operation_strategy(), 1..200)) {
        let settings = origin_admission::AdmissionSettings { max_objects: 16, ..origin_admission::AdmissionSettings::default() };
        let (mut admission, mut now, mut gateways) = (OriginAdmission::new(settings, 2), START, 2u64);
        let mut fetches: Vec<(u8, u64)> = Vec::new();
        let mut writes = 0u32;
        for operation in operations {
            match operation {
                Operation::Admit(hub, object, joins) => {
                    let in_flight = fetches.len() as u32 + writes;
                    let joining = if joins { Joining::Allowed } else { Joining::Forbidden };
                    match admission.admit(now, &format!("h{hub}"), object, joining) {
                        AdmissionDecision::Admit => {
                            prop_assert!(in_flight < admission.limit(), "H7: {} in flight at a limit of {}", in_flight, admission.limit());
                            prop_assert!(!joins || !fetches.iter().any(|fetch| fetch.1 == object), "H7: object {} is fetched twice at once", object);
                            fetches.push((hub, object));
                        }
                        AdmissionDecision::Join => prop_assert!(joins && fetches.iter().any(|fetch| fetch.1 == object)),
                        AdmissionDecision::LimitReached(retry_after) | AdmissionDecision::TooSoon(retry_after) | AdmissionDecision::RecentlyFailed(retry_after) => {
                            prop_assert!(!retry_after.is_zero() && retry_after <= Duration::from_secs(3600));
                        }
                    }
                }
                Operation::EndFetch(index, end, latency) if !fetches.is_empty() => {
                    let (hub, object) = fetches.swap_remove(index % fetches.len());
                    let end = [FetchEnd::Delivered, FetchEnd::NotFound, FetchEnd::Failed, FetchEnd::Cancelled, FetchEnd::OriginNotAsked][usize::from(end)];
                    admission.fetch_ended(now, &format!("h{hub}"), object, end, latency * MS);
                }
                Operation::EndFetch(..) => {}
                Operation::Write(starts) => {
                    if starts {
                        admission.write_started();
                        writes += 1;
                    } else {
                        admission.write_ended();
                        writes = writes.saturating_sub(1);
                    }
                }
                Operation::SetGatewayCount(n) => {
                    gateways = u64::from(n);
                    admission.set_gateway_count(gateways);
                }
                Operation::AdvanceClock(milliseconds) => now += milliseconds * MS,
            }
            prop_assert_eq!(admission.in_flight(), fetches.len() as u32);
            prop_assert!(f64::from(admission.limit()) <= (settings.max_limit / gateways as f64).max(settings.initial_limit * 8.0).max(1.0));
            prop_assert!(admission.limit() >= 1);
            prop_assert!(admission.remembered() <= settings.max_objects + fetches.len(), "H8: the table of objects exceeds its bound");
        }
    }
}

#[test]
fn the_limit_decreases_when_the_origin_slows_down_and_increases_again_under_load() {
    let mut admission = OriginAdmission::new(origin_admission::AdmissionSettings::default(), 1);
    let mut now = START;
    let run_fetches = |admission: &mut OriginAdmission, now: &mut MonotonicTime, latency: Duration, end| {
        let mut admitted = Vec::new();
        for n in 0..200u64 {
            let object = now.as_micros() + n;
            if admission.admit(*now, "h0", object, Joining::Forbidden) == AdmissionDecision::Admit {
                admitted.push(object);
            }
        }
        *now += latency;
        let count = admitted.len();
        admitted.into_iter().for_each(|object| admission.fetch_ended(*now, "h0", object, end, latency));
        count
    };
    (0..50).for_each(|_| assert!(run_fetches(&mut admission, &mut now, 20 * MS, FetchEnd::Delivered) > 0));
    let limit_before_slowdown = admission.limit();
    assert!(limit_before_slowdown > 40, "{limit_before_slowdown}");
    (0..10).for_each(|_| assert!(run_fetches(&mut admission, &mut now, 200 * MS, FetchEnd::Delivered) > 0));
    let limit_after_slowdown = admission.limit();
    assert!(
        limit_after_slowdown <= 4,
        "one decrease per latency of a fetch: {limit_before_slowdown} -> {limit_after_slowdown}"
    );
    (0..60).for_each(|_| assert!(run_fetches(&mut admission, &mut now, 20 * MS, FetchEnd::Delivered) > 0));
    assert!(admission.limit() > 4 * limit_after_slowdown);
    // Neither of two hubs may use the whole limit.
    let admit_fetches = |admission: &mut OriginAdmission, hub: &str, first_object: u64| {
        (0..200u64)
            .filter(|n| {
                admission.admit(now, hub, first_object + n, Joining::Forbidden) == AdmissionDecision::Admit
            })
            .count()
    };
    let admitted_for_h1 = admit_fetches(&mut admission, "h1", 1 << 40).min(1);
    assert!(
        admitted_for_h1 == 1
            && admit_fetches(&mut admission, "h0", 1 << 41) as u32 <= admission.limit() * 6 / 10 + 1
    );
}
