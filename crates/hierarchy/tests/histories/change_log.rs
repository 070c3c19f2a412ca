//! Tests of invariant H3 and of the outcomes of changes.
use crate::support::{assert_valid, base_topology, edit_strategy, fixed_seed_config, parent_name};
use larchway_hierarchy::change_log::{Change, ChangeLog, ChangeOutcome};
use larchway_hierarchy::topology::{Edit, EditError, RejectedEdit};
use proptest::prelude::*;

proptest! {
    #![proptest_config(fixed_seed_config(400))]

    /// H3: the same changes result in the same topology, in whatever order and however often they arrive.
    #[test]
    fn the_same_changes_in_any_order_result_in_the_same_topology(
        change_specs in prop::collection::vec((0..6u64, prop::collection::vec(edit_strategy(), 1..3)), 1..14),
        submission_order in prop::collection::vec(any::<prop::sample::Index>(), 28),
    ) {
        let changes: Vec<Change> = change_specs
            .into_iter()
            .enumerate()
            .map(|(n, (upon, edits))| Change { id: format!("c{n:02}"), upon, edits })
            .collect();
        let mut in_order = ChangeLog::new(0, base_topology());
        changes.iter().for_each(|change| drop(in_order.submit(change.clone())));
        let mut reordered = ChangeLog::new(0, base_topology());
        // Submits some changes repeatedly and in random order, then all of them in reverse order.
        for position in &submission_order {
            reordered.submit(changes[position.index(changes.len())].clone());
        }
        changes.iter().rev().for_each(|change| drop(reordered.submit(change.clone())));
        prop_assert_eq!(in_order.epoch(), reordered.epoch());
        prop_assert_eq!(in_order.topology(), reordered.topology());
        prop_assert_eq!(in_order.pending(), reordered.pending());
        for epoch in 0..=in_order.epoch() {
            prop_assert_eq!(in_order.at(epoch), reordered.at(epoch));
            assert_valid(in_order.at(epoch).expect("the epoch is retained"));
        }
        for change in &changes {
            prop_assert_eq!(reordered.submit(change.clone()), ChangeOutcome::Duplicate);
        }
    }
}

#[test]
fn a_change_waits_for_its_base_epoch_and_a_lesser_id_rolls_back_later_epochs() {
    let mut change_log = ChangeLog::new(5, base_topology());
    let weight = |id: &str, upon, weight| Change {
        id: id.into(),
        upon,
        edits: vec![Edit::SetWeight { name: parent_name(0), weight }],
    };
    assert_eq!(change_log.submit(weight("m2", 6, 3.0)), ChangeOutcome::Pending);
    assert_eq!(change_log.submit(weight("m1", 5, 2.0)), ChangeOutcome::Applied(6));
    assert_eq!((change_log.epoch(), change_log.topology().parents()[&parent_name(0)].weight), (7, 3.0));
    assert_eq!(change_log.submit(weight("m9", 5, 9.0)), ChangeOutcome::Superseded("m1".into()));
    assert_eq!(change_log.submit(weight("a1", 5, 5.0)), ChangeOutcome::Applied(6));
    assert_eq!(change_log.at(6).map(|topology| topology.parents()[&parent_name(0)].weight), Some(5.0));
    assert_eq!(
        change_log.submit(weight("m1", 5, 4.0)),
        ChangeOutcome::IdReused,
        "a different change has the same id"
    );
    assert_eq!(change_log.submit(weight("x", 4, 1.0)), ChangeOutcome::EpochExpired);
    assert!(matches!(
        change_log.submit(weight("z", 7, -1.0)),
        ChangeOutcome::Rejected(RejectedEdit { index: 0, error: EditError::InvalidWeight(_) })
    ));
}
