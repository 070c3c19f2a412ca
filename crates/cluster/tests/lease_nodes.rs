//! The node counts of a lease, compared with a naive model that walks over all nodes, and at the limit of stored nodes.
use larchway::{duration_micros, MonotonicTime};
use larchway_cluster::lease::{ClusterSize, Input, Lease, LeaseSettings, NodeCounts, EXPIRY_WAIT, MAX_NODES};
use larchway_cluster::FleetFile;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const START: MonotonicTime = MonotonicTime::from_micros(1_000_000_000);
const OWN_ZONE: usize = 1;
const UNKNOWN_ZONE: usize = usize::MAX;

/// A naive model of the node counts, which walks over all nodes each time.
#[derive(Default)]
struct NaiveNodes {
    nodes: BTreeMap<String, (usize, Option<MonotonicTime>)>,
    stale: BTreeSet<String>,
}

impl NaiveNodes {
    fn handle(&mut self, now: MonotonicTime, input: &Input) {
        match input {
            Input::NodeAppeared { name, zone } => {
                self.stale.remove(name);
                self.nodes.insert(name.clone(), (*zone, None));
            }
            Input::NodeGone(name) => self.mark_deleted(now, name),
            Input::RereadStarted => self.stale = self.nodes.keys().cloned().collect(),
            Input::RereadComplete => {
                for name in std::mem::take(&mut self.stale) {
                    self.mark_deleted(now, &name);
                }
            }
            _ => {}
        }
    }

    fn mark_deleted(&mut self, now: MonotonicTime, name: &str) {
        if let Some((_, deleted_at)) = self.nodes.get_mut(name) {
            *deleted_at = deleted_at.or(Some(now));
        }
        self.nodes.retain(|_, (_, deleted_at)| deleted_at.is_none_or(|at| now < at + EXPIRY_WAIT));
    }

    fn counts(&self, now: MonotonicTime, hold: Duration) -> NodeCounts {
        let is_counted = |deleted_at: &Option<MonotonicTime>| deleted_at.is_none_or(|at| now < at + hold);
        let all = self.nodes.values().filter(|(_, deleted_at)| is_counted(deleted_at));
        let in_zone = all.clone().filter(|(zone, _)| *zone == OWN_ZONE || *zone == UNKNOWN_ZONE);
        NodeCounts { in_zone: in_zone.count() as u64, all: all.count() as u64 }
    }
}

fn node_appeared(name: &str, zone: usize) -> Input {
    Input::NodeAppeared { name: name.into(), zone }
}

fn lease() -> Lease {
    Lease::new(ClusterSize { all: 12_000, own_zone: 110, zone: OWN_ZONE })
}

fn input() -> impl Strategy<Value = Input> {
    let name = (0usize..12).prop_map(|number| format!("g{number}"));
    let zone = prop_oneof![Just(0usize), Just(OWN_ZONE), Just(2), Just(UNKNOWN_ZONE)];
    prop_oneof![
        6 => (name.clone(), zone).prop_map(|(name, zone)| Input::NodeAppeared { name, zone }),
        5 => name.prop_map(Input::NodeGone),
        1 => Just(Input::RereadStarted),
        1 => Just(Input::RereadComplete),
        1 => Just(Input::Registered),
        1 => Just(Input::Rewound),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// L3: the counts equal those of a walk over all nodes, for any hold and any order of events.
    #[test]
    fn node_counts_match_a_naive_model(
        steps in proptest::collection::vec((0u64..1_200_000, input()), 1..150),
        hold in prop_oneof![Just(Duration::ZERO), Just(EXPIRY_WAIT / 2), Just(EXPIRY_WAIT)],
        delay in (0..2 * duration_micros(EXPIRY_WAIT)).prop_map(Duration::from_micros),
    ) {
        let settings = LeaseSettings { deleted_node_hold: hold, ..LeaseSettings::from_file(&FleetFile::default()) };
        let (mut lease_under_test, mut naive, mut now) = (lease(), NaiveNodes::default(), START);
        for (wait_micros, input) in steps {
            now += Duration::from_micros(wait_micros);
            prop_assert_eq!(
                lease_under_test.node_counts(&settings, now),
                naive.counts(now, hold),
                "before {:?}",
                &input,
            );
            naive.handle(now, &input);
            lease_under_test.handle(now, input);
            prop_assert_eq!(lease_under_test.node_counts(&settings, now), naive.counts(now, hold));
        }
        prop_assert_eq!(lease_under_test.node_counts(&settings, now + delay), naive.counts(now + delay, hold));
    }
}

/// Nodes beyond the limit are not stored, but counted, so that each gateway's share gets smaller, never larger.
#[test]
fn nodes_beyond_the_limit_are_counted_but_not_stored() {
    const { assert!(MAX_NODES > 12_000, "the nodes of 12,000 gateways must fit") };
    let settings = LeaseSettings::from_file(&FleetFile::default());
    let mut lease = lease();
    for number in 0..MAX_NODES + 100 {
        lease.handle(START, node_appeared(&format!("g{number}"), number % 110));
    }
    assert_eq!(lease.node_count(), MAX_NODES);
    assert_eq!(lease.node_counts(&settings, START).all, MAX_NODES as u64 + 100);
    // A stored node that appears again is not counted twice.
    lease.handle(START, node_appeared("g7", 7));
    assert_eq!(lease.node_counts(&settings, START).all, MAX_NODES as u64 + 100);
    // A new node can be stored once a deleted one is no longer counted.
    lease.handle(START, Input::NodeGone("g7".into()));
    lease.handle(START + EXPIRY_WAIT, node_appeared("new", 7));
    assert_eq!(lease.node_count(), MAX_NODES);
    assert_eq!(lease.node_counts(&settings, START + EXPIRY_WAIT).all, MAX_NODES as u64 + 100);
}
