//! Tests of invariants H5 and H6.
use crate::support::{fixed_seed_config, parent_name, MS, START};
use larchway::{duration_micros, MonotonicTime};
use larchway_hierarchy::migration::{rendezvous, Migration, MigrationSettings, MigrationState};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug, Clone)]
enum Step {
    Retarget(BTreeMap<String, f64>),
    RollBack,
    SetState(MigrationState),
    ParentStarted(u8),
    AdvanceClock(u32),
}

fn step_strategy() -> impl Strategy<Value = Step> {
    let weights = prop::collection::btree_map((0..6u8).prop_map(parent_name), 0.5..8.0f64, 1..6);
    prop_oneof![
        3 => weights.prop_map(Step::Retarget),
        1 => Just(Step::RollBack),
        1 => any::<bool>().prop_map(|paused| {
            Step::SetState(if paused { MigrationState::Paused } else { MigrationState::Running })
        }),
        2 => (0..6u8).prop_map(Step::ParentStarted),
        5 => (1..30_000u32).prop_map(Step::AdvanceClock),
    ]
}

proptest! {
    #![proptest_config(fixed_seed_config(400))]

    /// H5 and H6: an object is assigned to one parent, and to a previous one at most during a migration and the hold
    /// after it; the weight of a parent in slow start never exceeds what it can serve; no step moves an object between
    /// parents whose weights did not change.
    #[test]
    fn weights_change_in_steps_and_never_exceed_what_a_parent_can_serve_in_slow_start(steps in prop::collection::vec(step_strategy(), 1..25)) {
        let initial_weights: BTreeMap<String, f64> = [(parent_name(0), 4.0), (parent_name(1), 4.0)].into();
        let settings = MigrationSettings::default();
        let mut migration = Migration::new(START, settings, &initial_weights);
        let (mut now, mut target, mut before_migration) = (START, initial_weights.clone(), initial_weights);
        let mut starts: BTreeMap<String, MonotonicTime> = BTreeMap::new();
        for step in steps {
            let (old_weights, old_now) = (migration.weights(now), now);
            match step {
                Step::Retarget(weights) => {
                    if !migration.in_progress(now) {
                        before_migration = old_weights.clone();
                    }
                    migration.retarget(now, &weights);
                    target = weights;
                }
                Step::RollBack => {
                    target = before_migration.clone();
                    if !migration.in_progress(now) {
                        before_migration = old_weights.clone();
                    }
                    migration.roll_back(now);
                }
                Step::SetState(state) => migration.set_state(now, state),
                Step::ParentStarted(n) => {
                    migration.parent_started(&parent_name(n), now);
                    starts.insert(parent_name(n), now);
                }
                Step::AdvanceClock(milliseconds) => now += milliseconds * MS,
            }
            let weights = migration.weights(now);
            for (name, weight) in &weights {
                let full_weight = target.get(name).copied().unwrap_or(0.0).max(old_weights.get(name).copied().unwrap_or(0.0)).max(8.0);
                if let Some(started_at) = starts.get(name) {
                    let share = settings.initial_share
                        + (1.0 - settings.initial_share) * duration_micros(now - *started_at) as f64 / duration_micros(settings.warm_up) as f64;
                    prop_assert!(*weight <= full_weight * share.min(1.0) + 1e-9, "H6: {} has the weight {}", name, weight);
                }
            }
            if now == old_now {
                // An operation other than the passage of time increases no weight; the start of a parent only reduces
                // what it can serve.
                let increased = weights.iter().find(|(name, weight)| **weight > old_weights.get(*name).copied().unwrap_or(0.0) + 1e-9);
                prop_assert!(increased.is_none(), "H5: {:?} increased at once from {:?}", increased, old_weights);
            }
            for object in 0..60u64 {
                let assigned = migration.assigned_parents(now, object);
                if weights.is_empty() {
                    prop_assert!(assigned.is_none());
                    continue;
                }
                let assigned = assigned.expect("an assigned parent");
                prop_assert!(weights.contains_key(assigned.parent) && assigned.previous != Some(assigned.parent));
                // H5: an object moves only to a parent whose weight increased, or from one whose weight decreased.
                let old_parent = rendezvous(object, old_weights.iter().map(|(name, weight)| (name.as_str(), *weight)));
                if let Some(old_parent) = old_parent.filter(|old_parent| *old_parent != assigned.parent) {
                    let (from, to) = (weights.get(old_parent).copied().unwrap_or(0.0), weights[assigned.parent]);
                    let decreased = from < old_weights[old_parent] - 1e-12;
                    let increased = to > old_weights.get(assigned.parent).copied().unwrap_or(0.0) + 1e-12;
                    prop_assert!(decreased || increased, "H5: {} moved from {} to {}", object, old_parent, assigned.parent);
                }
            }
        }
        // When the migration has ended, the target weights are in force and no previous parent is asked.
        migration.set_state(now, MigrationState::Running);
        now += Duration::from_secs(200);
        prop_assert!(!migration.in_progress(now));
        prop_assert_eq!(migration.weights(now), target);
        prop_assert!((0..60).all(|object| migration.assigned_parents(now, object).is_none_or(|assigned| assigned.previous.is_none())));
    }
}
