//! Compares a router's subset with its definition, and checks how evenly the subsets of many routers cover
//! the caches of a location.
use super::*;
use std::collections::BTreeSet;

/// Number of caches of a location that is much larger than a subset.
const CACHES: u64 = 512;

fn cache(number: u64) -> ServerId {
    mix(number + 1)
}

/// The subset of a router while these caches are up.
fn subset_of(router: u64, caches: impl Iterator<Item = ServerId>) -> CacheSubset {
    let mut subset = CacheSubset::default();
    caches.for_each(|id| subset.set(router, id, 1.0));
    subset
}

fn members_of(subset: &CacheSubset) -> BTreeSet<ServerId> {
    subset.ranked_members.keys().map(|rank| rank.server).collect()
}

/// The definition of the subset: the first caches in rank of all that are up.
fn first_in_rank(router: u64, caches: &BTreeSet<ServerId>) -> BTreeSet<ServerId> {
    let mut ranks: Vec<Rank> = caches.iter().map(|&id| Rank::new(router, id)).collect();
    ranks.sort();
    ranks.iter().take(SUBSET_SIZE).map(|rank| rank.server).collect()
}

/// Invariant 9 of docs/design/large-fleet.md: a location with at most as many caches as a subset holds is
/// used as a whole.
#[test]
fn a_location_that_a_subset_can_hold_is_used_as_a_whole() {
    for caches in 0..=SUBSET_SIZE as u64 {
        let subset = subset_of(7, (0..caches).map(cache));
        assert!(subset.members().is_none(), "{caches} caches");
        assert_eq!(subset.caches_up(), caches as usize);
    }
    let subset = subset_of(7, (0..=SUBSET_SIZE as u64).map(cache));
    let ids: Vec<ServerId> = subset.members().expect("a subset").ids().collect();
    assert_eq!(ids.len(), SUBSET_SIZE);
}

/// Invariants 9 and 12: the subset does not depend on the order of the events, and each event moves at most
/// one member.
#[test]
fn a_subset_is_the_first_caches_in_rank_and_moves_by_one_member_at_each_change_of_the_list() {
    for router in 0..20 {
        let (mut subset, mut up) = (CacheSubset::default(), BTreeSet::new());
        for step in 0..2_000 {
            let id = cache(mix(router << 32 ^ step) % 80);
            let before = members_of(&subset);
            // Caches are added twice as often as removed, so that the location is mostly larger than a
            // subset.
            if mix(step).is_multiple_of(3) {
                subset.remove(router, id);
                up.remove(&id);
            } else {
                subset.set(router, id, 1.0);
                up.insert(id);
            }
            let now = members_of(&subset);
            assert_eq!(now, first_in_rank(router, &up), "router {router}, step {step}");
            assert!(now.difference(&before).count() <= 1, "router {router}, step {step}");
            assert!(before.difference(&now).count() <= 1, "router {router}, step {step}");
            let ring: Option<BTreeSet<ServerId>> = subset.members().map(|ring| ring.ids().collect());
            assert_eq!(ring, (up.len() > SUBSET_SIZE).then_some(now));
            assert_eq!(subset.caches_up(), up.len());
        }
    }
}

/// Invariant 12: when a cache leaves and returns, the subset is the same as before, whether the cache is a
/// member or not.
#[test]
fn a_cache_that_leaves_and_returns_leaves_the_subset_as_it_was() {
    let mut subset = subset_of(3, (0..CACHES).map(cache));
    let before = members_of(&subset);
    for id in (0..CACHES).map(cache) {
        subset.remove(3, id);
        subset.set(3, id, 1.0);
        assert_eq!(members_of(&subset), before);
    }
}

/// Invariant 10: all caches are in about the same number of subsets, whatever the routers' seeds.
#[test]
fn each_cache_is_in_about_as_many_subsets_as_any_other() {
    const ROUTERS: u64 = 1_600;
    for first_seed in [0, 1 << 40] {
        let mut subsets_of = vec![0_u32; CACHES as usize];
        for router in first_seed..first_seed + ROUTERS {
            let subset = members_of(&subset_of(router, (0..CACHES).map(cache)));
            for number in 0..CACHES {
                subsets_of[number as usize] += u32::from(subset.contains(&cache(number)));
            }
        }
        // Five standard deviations of a cache's number of subsets, if each router drew its subset
        // independently.
        let mean = ROUTERS as f64 * SUBSET_SIZE as f64 / CACHES as f64;
        let max_deviation = 5.0 * mean.sqrt();
        for (number, count) in subsets_of.iter().enumerate() {
            assert!(
                (f64::from(*count) - mean).abs() < max_deviation,
                "cache {number}: {count} of {mean} subsets"
            );
        }
    }
}

/// Invariant 10: a cache's weight determines its share of the work within each subset, not the number of
/// subsets that it is in.
#[test]
fn a_cache_of_a_greater_weight_is_in_no_more_subsets() {
    for router in 0..50 {
        let unweighted = subset_of(router, (0..CACHES).map(cache));
        let mut weighted = CacheSubset::default();
        (0..CACHES).for_each(|number| weighted.set(router, cache(number), 1.0 + (number % 7) as f64));
        assert_eq!(members_of(&unweighted), members_of(&weighted));
        // A cache outside the subset keeps a changed weight when it becomes a member.
        let rank_outside = *weighted.others.keys().next().expect("a cache outside");
        weighted.set(router, rank_outside.server, 40.0);
        let member = *members_of(&weighted).iter().next().expect("a member");
        weighted.remove(router, member);
        assert_eq!(weighted.ranked_members.get(&rank_outside), Some(&40.0));
    }
}
