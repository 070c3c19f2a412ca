//! What a site of fifteen knows of a member that dies while 30 % of all datagrams are lost. In the trial of 12,000
//! hollow gateways a dead one was known in its site after 3.9 to 6.5 s, where 5 s are wanted; the slow step is not
//! known.
use super::fleet_simulation::{Fleet, Shape};
use std::time::Duration;

const SITE_SHAPE: Shape = Shape { regions: 1, zones: 1, sites: 1, members: 15 };
/// Thousandths of the datagrams that are lost.
const LOSS_PER_MILLE: u64 = 300;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;
const WARM_UP: Duration = Duration::from_secs(10);
const DETECTION_LIMIT: Duration = Duration::from_secs(5);
const SIMULATION_LIMIT: Duration = Duration::from_secs(20);
const SIMULATION_STEP: Duration = Duration::from_millis(100);

/// How many others still count a dead member as alive.
fn members_unaware_of_death(fleet: &Fleet) -> usize {
    let alive = fleet.processes.iter().filter(|process| process.membership.is_some()).count();
    let reports = fleet.processes.iter().filter_map(|process| process.membership.as_ref());
    reports.filter(|membership| membership.site_report(fleet.now).alive > alive).count()
}

/// The time until all others know that a member has died.
fn detection_time(seed: u64) -> Duration {
    let mut fleet = Fleet::new(SITE_SHAPE, seed);
    fleet.loss_per_mille = LOSS_PER_MILLE;
    fleet.run_for(WARM_UP, |_| {});
    let dying_member = (seed % 15) as u16;
    fleet.kill(dying_member);
    let killed_at = fleet.now;
    while members_unaware_of_death(&fleet) > 0 && fleet.now - killed_at < SIMULATION_LIMIT {
        fleet.run_for(SIMULATION_STEP, |_| {});
    }
    assert_eq!(fleet.false_deaths, [], "seed {seed}: living members are counted dead");
    fleet.now - killed_at
}

#[test]
fn a_dead_member_is_known_in_its_site_in_time_while_a_third_of_the_datagrams_is_lost() {
    let times: Vec<(u64, Duration)> = SEEDS.map(|seed| (seed, detection_time(seed))).collect();
    let too_late: Vec<_> = times.iter().filter(|(_, time)| *time > DETECTION_LIMIT).collect();
    assert!(too_late.is_empty(), "later than {DETECTION_LIMIT:?}: {too_late:?} of {times:?}");
}
