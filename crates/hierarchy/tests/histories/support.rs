//! Topologies, strategies and checks that several tests use.
use larchway::MonotonicTime;
use larchway_hierarchy::topology::{Edit, Parent, Topology, Upstream, MAX_CHAIN_LENGTH};
use proptest::prelude::*;
use std::time::Duration;

pub const MS: Duration = Duration::from_millis(1);
pub const START: MonotonicTime = MonotonicTime::from_micros(1_000_000_000);

pub fn parent_name(n: u8) -> String {
    format!("p{n}")
}

pub fn add_parent(n: u8, upstream: Upstream) -> Edit {
    let parent = Parent { hub: format!("h{}", n % 3), weight: f64::from(1 + n % 4), upstream };
    Edit::AddParent { name: parent_name(n), parent }
}

pub fn upstream_strategy() -> impl Strategy<Value = Upstream> {
    prop_oneof![2 => Just(Upstream::Origin), 3 => (0..8u8).prop_map(|n| Upstream::Parent(parent_name(n)))]
}

pub fn edit_strategy() -> impl Strategy<Value = Edit> {
    let parents = || prop::collection::btree_set((0..8u8).prop_map(parent_name), 0..4);
    prop_oneof![
        3 => (0..8u8, upstream_strategy()).prop_map(|(n, upstream)| add_parent(n, upstream)),
        2 => (0..8u8).prop_map(|n| Edit::RemoveParent { name: parent_name(n) }),
        3 => (0..8u8, upstream_strategy()).prop_map(|(n, upstream)| Edit::SetUpstream { name: parent_name(n), upstream }),
        1 => (0..8u8, -1.0..9.0f64).prop_map(|(n, weight)| Edit::SetWeight { name: parent_name(n), weight }),
        3 => (0..4u8, parents()).prop_map(|(branch, parents)| Edit::SetBranch { branch: format!("b{branch}"), parents }),
        1 => (0..4u8).prop_map(|branch| Edit::RemoveBranch { branch: format!("b{branch}") }),
    ]
}

pub fn base_topology() -> Topology {
    let edits: Vec<Edit> = (0..4).map(|n| add_parent(n, Upstream::Origin)).collect();
    let branch = |name: &str, parents: &[u8]| Edit::SetBranch {
        branch: name.into(),
        parents: parents.iter().map(|n| parent_name(*n)).collect(),
    };
    let edits = [edits, vec![branch("b0", &[0, 1]), branch("b1", &[1, 2, 3])]].concat();
    Topology::default().apply(&edits).expect("a valid topology")
}

/// Checks invariant H1 by following every path, independently of the checks of [`Topology`] itself.
pub fn assert_valid(topology: &Topology) {
    for (branch, parents) in topology.branches() {
        assert!(!parents.is_empty(), "H1: branch {branch} has no parent");
        for parent in parents {
            assert!(
                topology.parents().contains_key(parent),
                "H1: branch {branch} names the unknown parent {parent}"
            );
        }
    }
    for first in topology.parents().keys() {
        let (mut current, mut hops) = (first.clone(), 0);
        while let Upstream::Parent(next) = topology.parents()[&current].upstream.clone() {
            hops += 1;
            assert!(hops < MAX_CHAIN_LENGTH, "H1: the path from {first} does not reach the origin");
            current = next;
        }
    }
}

/// The configuration of property tests: a fixed seed, and this number of cases. The variables `PROPTEST_CASES` and
/// `PROPTEST_RNG_SEED` override them.
pub fn fixed_seed_config(cases: u32) -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok().and_then(|value| value.parse().ok());
    let cases = number("PROPTEST_CASES").map_or(cases, |number| number as u32);
    let rng_seed = proptest::test_runner::RngSeed::Fixed(number("PROPTEST_RNG_SEED").unwrap_or(1));
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}
