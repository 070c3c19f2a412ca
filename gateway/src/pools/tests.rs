use super::*;
use larchway::{mix, Host};

/// A store whose id, zone (one of four) and state are derived from a number.
fn random_store(number: u64) -> Endpoint {
    let state = [State::Up, State::Up, State::Draining, State::Removed][(mix(number) % 4) as usize];
    let host = Host { server: number % 30, zone: (mix(number ^ 1) % 4) as usize, state, ..Host::default() };
    Endpoint { host, name: String::new(), dial: None }
}

/// Guards against a drifting count, which gives each store too few connections, or more than the process has
/// descriptors for.
#[test]
fn the_count_by_zone_matches_a_scan_of_all_stores() {
    let mut pools = Pools::default();
    for number in 0..5000 {
        match mix(number ^ 2) % 50 {
            0 => drop(pools.remove_unlisted(&(0..mix(number) % 30).collect())),
            1..=5 => pools.remove(mix(number) % 30),
            _ => drop(pools.apply_entry(&random_store(mix(number)))),
        }
        for zone in 0..4 {
            let is_listed_here =
                |pool: &&Pool| pool.store.host.zone == zone && pool.store.host.state != State::Removed;
            assert_eq!(
                pools.listed_in_zone(zone),
                pools.values().filter(is_listed_here).count(),
                "after {number}"
            );
        }
    }
}
