//! What a gateway spends on the others, counted in fleets of n, 4n and 16n: no time is measured, so the verdict is the
//! same each time.
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
/// Members in the smallest tier: with fewer, a datagram has room for all of them, and is shorter.
const SMALLEST_TIER: usize = 80;
/// How long a tier is played, and a datagram is on its way.
const SIMULATED_TIME: Duration = Duration::from_secs(6);
const TRANSIT_TIME: Duration = Duration::from_millis(1);
/// The least time between two moments.
const MIN_TIME_STEP: Duration = Duration::from_micros(1);
/// Growth allowed from n to 4n, and from 4n to 16n: of datagrams and bytes by the chance of a short time, of memory by
/// what does not depend on n.
const MAX_CONSTANT_GROWTH: f64 = 1.1;
const LINEAR_GROWTH: std::ops::RangeInclusive<f64> = 3.6..=4.4;
/// Comparisons more that a change may cost for each fourfold number of nodes: an ordered map of four times as many is
/// at most one level deeper, and a level has at most 11 keys; a change goes through six maps.
const COMPARISONS_PER_LEVEL: f64 = 6.0 * 11.0;

/// What one member spent on average, in a second.
struct MemberUsage {
    datagrams: f64,
    bytes: f64,
    memory_bytes: usize,
}

/// A datagram on its way.
struct Datagram {
    from: u16,
    kind: MessageKind,
    body: Vec<u8>,
}

/// What happens to a member: a datagram comes, or it is time.
struct Event {
    member: usize,
    datagram: Option<Datagram>,
}

/// A calm tier in virtual time.
fn simulate(members: usize) -> MemberUsage {
    let file = FleetFile::default();
    let mut tier: Vec<FailureDetector> = (0..members)
        .map(|member| FailureDetector::new(START, file.clone(), member as u16, members, 7 + member as u64))
        .collect();
    // By time, and within a moment in the order in which they were found out.
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

/// M9: datagrams and bytes of a member stay the same; its memory grows as the tier does, and no faster.
#[test]
fn traffic_per_member_is_independent_of_the_tier_size_and_memory_is_linear() {
    let usages = [1, 4, 16].map(|times| simulate(times * SMALLEST_TIER));
    for pair in usages.windows(2) {
        let (small, large) = (&pair[0], &pair[1]);
        assert!(
            large.datagrams <= small.datagrams * MAX_CONSTANT_GROWTH,
            "{} {}",
            small.datagrams,
            large.datagrams
        );
        assert!(large.bytes <= small.bytes * MAX_CONSTANT_GROWTH, "{} {} bytes", small.bytes, large.bytes);
        let growth = large.memory_bytes as f64 / small.memory_bytes as f64;
        assert!(LINEAR_GROWTH.contains(&growth), "{} {} bytes held", small.memory_bytes, large.memory_bytes);
    }
}

thread_local! {
    static COMPARISONS: Cell<u64> = const { Cell::new(0) };
}

/// The name of a node, which counts how often it is compared.
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

/// Names compared for one node that goes and comes back, while as many others have gone as `deleted`.
fn comparisons_per_change(nodes: u64, deleted: u64) -> f64 {
    let mut nodes_under_test = Nodes::default();
    (0..nodes).for_each(|name| nodes_under_test.insert(CountedName(name), name as usize % 110));
    // Those that went stand in one moment, so that they are told apart by their names.
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

/// A node that comes or goes touches a logarithm of those that are there.
#[test]
fn adding_or_deleting_a_node_takes_logarithmically_many_comparisons() {
    for deletion_divisor in [u64::MAX, 2] {
        let cost =
            [1_000, 4_000, 16_000].map(|nodes| comparisons_per_change(nodes, nodes / deletion_divisor));
        for pair in cost.windows(2) {
            assert!(pair[1] <= pair[0] + COMPARISONS_PER_LEVEL, "{pair:?} names compared a change");
        }
    }
}

/// What has expired is dropped with the next input, whatever it is: a share looks at none of it, in a fleet of any
/// size.
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
