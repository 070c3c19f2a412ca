//! T7: the cost of tiered membership per gateway in fleets of n, 4n and 16n gateways. Datagrams and bytes are counted
//! instead of measuring time.
use super::fleet_simulation::{Fleet, Shape};
use larchway_cluster::tiers::Tier;
use std::time::Duration;

/// Fleets that grow in sites per zone and in regions; the smallest has 64 gateways.
const SHAPES: [Shape; 3] = [
    Shape { regions: 2, zones: 2, sites: 4, members: 4 },
    Shape { regions: 4, zones: 2, sites: 8, members: 4 },
    Shape { regions: 16, zones: 2, sites: 8, members: 4 },
];
const SIMULATED_TIME: Duration = Duration::from_secs(12);
/// Allowed growth of datagrams and bytes per gateway from one fleet to the next. Traffic of representatives grows with
/// the number of groups in their tier, but few gateways are representatives.
const MAX_GROWTH: f64 = 1.25;

struct GatewayUsage {
    gateways: usize,
    datagrams: f64,
    bytes: f64,
    known_groups: usize,
}

fn simulate(shape: Shape) -> GatewayUsage {
    let mut fleet = Fleet::new(shape, 3);
    // Not measured: the start, with its elections.
    fleet.run_for(Duration::from_secs(6), |_| {});
    let (datagrams, bytes) = (fleet.datagrams, fleet.bytes);
    fleet.run_for(SIMULATED_TIME, |_| {});
    let gateways = fleet.topology.members();
    let member_seconds = gateways as f64 * SIMULATED_TIME.as_secs_f64();
    let known_groups =
        |tier| fleet.topology.siblings(tier, fleet.topology.group_of(tier, 0).expect("a member")).len();
    GatewayUsage {
        gateways,
        datagrams: (fleet.datagrams - datagrams) as f64 / member_seconds,
        bytes: (fleet.bytes - bytes) as f64 / member_seconds,
        known_groups: Tier::ALL.into_iter().map(known_groups).sum(),
    }
}

#[test]
fn traffic_per_gateway_is_independent_of_the_fleet_size_and_it_knows_only_sibling_groups() {
    let usages = SHAPES.map(simulate);
    for (usage, times) in usages.iter().zip([1, 4, 16]) {
        assert_eq!(usage.gateways, 64 * times);
        // A gateway knows the sites of its zone, the zones of its region and all regions, but not all sites of the
        // fleet.
        assert!(usage.known_groups <= 8 + 2 + 16, "{} known groups", usage.known_groups);
    }
    for pair in usages.windows(2) {
        let (small, large) = (&pair[0], &pair[1]);
        assert!(
            large.datagrams <= small.datagrams * MAX_GROWTH,
            "{} {} datagrams",
            small.datagrams,
            large.datagrams
        );
        assert!(large.bytes <= small.bytes * MAX_GROWTH, "{} {} bytes", small.bytes, large.bytes);
    }
}
