//! The cost per gateway in fleets of n, 4n and 16n gateways. Datagrams, bytes and comparisons are counted instead of
//! measuring time, so the results are deterministic.
use larchway::MonotonicTime;
use larchway_cluster::failure_detector::{FailureDetector, Input, Output};
use larchway_cluster::lease::nodes::Nodes;
use larchway_cluster::lease::{ClusterSize, Input as LeaseInput, Lease, LeaseSettings, EXPIRY_WAIT};
use larchway_cluster::wire::MessageKind;
use larchway_cluster::FleetFile;
use std::cell::Cell;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime::from_micros(1_000_000_000);
/// Members in the smallest tier. With fewer, all fit into one datagram, which is then shorter.
const SMALLEST_TIER: usize = 80;
/// Simulated time of a tier.
const SIMULATED_TIME: Duration = Duration::from_secs(6);
/// Transit time of a datagram.
const TRANSIT_TIME: Duration = Duration::from_millis(1);
/// Shortest time between two ticks of a member.
const MIN_TIME_STEP: Duration = Duration::from_micros(1);
/// Allowed growth of datagrams and bytes per member from n to 4n, and from 4n to 16n members: they vary randomly in a
/// short simulation.
const MAX_CONSTANT_GROWTH: f64 = 1.1;
/// Allowed growth of memory from n to 4n, and from 4n to 16n: a part of it does not depend on n.
const LINEAR_GROWTH: std::ops::RangeInclusive<f64> = 3.6..=4.4;
/// Allowed additional comparisons per change when the number of nodes grows fourfold: an ordered map of four times the
/// size is at most one level deeper, a level has at most 11 keys, and a change searches six maps.
const COMPARISONS_PER_LEVEL: f64 = 6.0 * 11.0;

/// Average traffic of a member per second, and its memory.
struct MemberUsage {
    datagrams: f64,
    bytes: f64,
    memory_bytes: usize,
}

/// A datagram in transit.
struct Datagram {
    from: u16,
    kind: MessageKind,
    body: Vec<u8>,
}

/// An event of a member: a datagram arrives, or a tick if there is none.
struct Event {
    member: usize,
    datagram: Option<Datagram>,
}

/// Simulates a tier without faults in virtual time.
fn simulate(members: usize) -> MemberUsage {
    let file = FleetFile::default();
    let mut tier: Vec<FailureDetector> = (0..members)
        .map(|member| FailureDetector::new(START, file.clone(), member as u16, members, 7 + member as u64))
        .collect();
    // Ordered by time, and at the same time in the order of their creation.
    let mut events: BTreeMap<(MonotonicTime, u64), Event> =
        (0..members).map(|member| ((START, member as u64), Event { member, datagram: None })).collect();
    let (mut next_sequence, mut datagrams, mut bytes) = (members as u64, 0, 0);
    while let Some(((now, _), Event { member, datagram })) = events.pop_first() {
        if now >= START + SIMULATED_TIME {
            break;
        }
        let mut outputs = Vec::new();
        match &datagram {
            None => {
                tier[member].handle(now, Input::Tick, &mut outputs);
                next_sequence += 1;
                let next_tick_at = tier[member].next_due().max(now + MIN_TIME_STEP);
                events.insert((next_tick_at, next_sequence), Event { member, datagram: None });
            }
            Some(Datagram { from, kind, body }) => {
                tier[member].handle(now, Input::Received { kind: *kind, from: *from, body }, &mut outputs);
            }
        }
        for output in outputs {
            if let Output::Send { to, kind, body } = output {
                datagrams += 1;
                bytes += body.len();
                next_sequence += 1;
                let datagram = Some(Datagram { from: member as u16, kind, body });
                events
                    .insert((now + TRANSIT_TIME, next_sequence), Event { member: usize::from(to), datagram });
            }
        }
    }
    let member_seconds = members as f64 * SIMULATED_TIME.as_secs() as f64;
    MemberUsage {
        datagrams: datagrams as f64 / member_seconds,
        bytes: bytes as f64 / member_seconds,
        memory_bytes: tier[0].memory_bytes(),
    }
}

/// M9: datagrams and bytes per member do not grow with the tier, and its memory grows linearly.
#[test]
fn traffic_per_member_is_independent_of_the_tier_size_and_memory_is_linear() {
    let usages = [1, 4, 16].map(|times| simulate(times * SMALLEST_TIER));
    for pair in usages.windows(2) {
        let (small, large) = (&pair[0], &pair[1]);
        assert!(
            large.datagrams <= small.datagrams * MAX_CONSTANT_GROWTH,
            "{} {} datagrams",
            small.datagrams,
            large.datagrams
        );
        assert!(large.bytes <= small.bytes * MAX_CONSTANT_GROWTH, "{} {} bytes", small.bytes, large.bytes);
        let growth = large.memory_bytes as f64 / small.memory_bytes as f64;
        assert!(
            LINEAR_GROWTH.contains(&growth),
            "{} {} bytes of memory",
            small.memory_bytes,
            large.memory_bytes
        );
    }
}

thread_local! {
    static COMPARISONS: Cell<u64> = const { Cell::new(0) };
}

/// The name of a node, which counts comparisons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CountedName(u64);

impl Ord for CountedName {
    fn cmp(&self, other: &Self) -> Ordering {
        COMPARISONS.set(COMPARISONS.get() + 1);
        self.0.cmp(&other.0)
    }
}

impl PartialOrd for CountedName {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Comparisons of names per node that is deleted and added again, while `deleted` other nodes are deleted.
fn comparisons_per_change(nodes: u64, deleted: u64) -> f64 {
    let mut nodes_under_test = Nodes::default();
    (0..nodes).for_each(|name| nodes_under_test.insert(CountedName(name), name as usize % 110));
    // All are deleted at the same time, so that they are ordered by their names.
    (0..deleted).for_each(|name| nodes_under_test.mark_deleted(START, &CountedName(name)));
    let changes = nodes.min(500);
    let before = COMPARISONS.get();
    for change in 0..changes {
        let name = CountedName(deleted + change % (nodes - deleted));
        nodes_under_test.remove_expired(START + MIN_TIME_STEP);
        nodes_under_test.mark_deleted(START, &name);
        nodes_under_test.insert(name, 1);
        assert_eq!(nodes_under_test.counts(1, START, EXPIRY_WAIT).all, nodes);
    }
    (COMPARISONS.get() - before) as f64 / changes as f64
}

/// The cost of adding or deleting a node grows logarithmically with the number of nodes.
#[test]
fn adding_or_deleting_a_node_takes_logarithmically_many_comparisons() {
    for deletion_divisor in [u64::MAX, 2] {
        let cost =
            [1_000, 4_000, 16_000].map(|nodes| comparisons_per_change(nodes, nodes / deletion_divisor));
        for pair in cost.windows(2) {
            assert!(pair[1] <= pair[0] + COMPARISONS_PER_LEVEL, "{pair:?} comparisons per change");
        }
    }
}

/// Expired nodes are removed with the next input of any kind, so that computing a share does not walk over them,
/// however large the fleet.
#[test]
fn expired_nodes_are_removed_with_the_next_input() {
    let settings = LeaseSettings::from_file(&FleetFile::default());
    for nodes in [1_000, 4_000, 16_000] {
        let mut lease = Lease::new(ClusterSize { all: nodes as u64, own_zone: 1, zone: 1 });
        for node in 0..nodes {
            lease.handle(START, LeaseInput::NodeAppeared { name: node.to_string(), zone: node % 110 });
        }
        let memory = lease.memory_bytes();
        assert!(memory <= nodes * 200, "{memory} bytes for {nodes} nodes");
        (1..nodes).for_each(|node| lease.handle(START, LeaseInput::NodeGone(node.to_string())));
        assert_eq!((lease.node_count(), lease.node_counts(&settings, START).all), (nodes, nodes as u64));
        lease.handle(START + EXPIRY_WAIT, LeaseInput::Registered);
        assert_eq!((lease.node_count(), lease.node_counts(&settings, START + EXPIRY_WAIT).all), (1, 1));
    }
}
