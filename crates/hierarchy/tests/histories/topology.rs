//! Tests of invariants H1 and H2.
use crate::support::{
    add_parent, assert_valid, base_topology, edit_strategy, fixed_seed_config, parent_name,
};
use larchway_hierarchy::loop_detection::{self, TraceError};
use larchway_hierarchy::topology::{Edit, EditError, RejectedEdit, Upstream};
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    #![proptest_config(fixed_seed_config(400))]

    /// H1 and H2: a topology stays valid, and rejected edits leave it unchanged.
    #[test]
    fn a_topology_stays_valid_under_any_edits(edit_lists in prop::collection::vec(prop::collection::vec(edit_strategy(), 1..5), 1..20)) {
        let mut topology = base_topology();
        for edits in edit_lists {
            let before = topology.clone();
            match topology.apply(&edits) {
                Ok(next) => topology = next,
                Err(RejectedEdit { index, .. }) => {
                    prop_assert!(index < edits.len());
                    prop_assert_eq!(&topology, &before);
                    // The reported edit is the first that is rejected.
                    prop_assert!(topology.apply(&edits[..index]).is_ok());
                }
            }
            assert_valid(&topology);
        }
    }
}

#[test]
fn a_rejected_edit_is_reported_with_its_index_and_reason() {
    let parent_upstream = |number| Upstream::Parent(parent_name(number));
    let set_upstream = |number, upstream| Edit::SetUpstream { name: parent_name(number), upstream };
    let set_branch = |parents: &[u8]| Edit::SetBranch {
        branch: "b9".into(),
        parents: parents.iter().map(|number| parent_name(*number)).collect::<BTreeSet<_>>(),
    };
    let cycle = EditError::Cycle(vec![parent_name(0), parent_name(2), parent_name(1), parent_name(0)]);
    let cases = [
        (
            vec![
                set_upstream(1, parent_upstream(0)),
                set_upstream(2, parent_upstream(1)),
                set_upstream(0, parent_upstream(2)),
            ],
            2,
            cycle,
        ),
        (
            vec![set_upstream(1, parent_upstream(1))],
            0,
            EditError::Cycle(vec![parent_name(1), parent_name(1)]),
        ),
        (vec![set_upstream(1, parent_upstream(7))], 0, EditError::UnknownParent(parent_name(7))),
        (vec![set_branch(&[])], 0, EditError::BranchWithoutParent("b9".into())),
        (vec![set_branch(&[0, 7])], 0, EditError::UnknownParent(parent_name(7))),
        (
            vec![set_upstream(1, parent_upstream(0)), Edit::RemoveParent { name: parent_name(0) }],
            1,
            EditError::ParentInUse { parent: parent_name(0), by: parent_name(1) },
        ),
        (
            vec![Edit::RemoveParent { name: parent_name(0) }, Edit::RemoveParent { name: parent_name(1) }],
            1,
            EditError::BranchWithoutParent("b0".into()),
        ),
        (vec![add_parent(0, Upstream::Origin)], 0, EditError::DuplicateParent(parent_name(0))),
        (
            vec![Edit::SetWeight { name: parent_name(0), weight: f64::NAN }],
            0,
            EditError::InvalidWeight(parent_name(0)),
        ),
        (vec![Edit::RemoveBranch { branch: "b9".into() }], 0, EditError::UnknownBranch("b9".into())),
    ];
    for (edits, index, error) in cases {
        assert_eq!(base_topology().apply(&edits), Err(RejectedEdit { index, error }), "{edits:?}");
    }
    assert_eq!(loop_detection::parse("a b"), Err(TraceError::InvalidByte(2)));
    assert_eq!(loop_detection::parse("a; x=\"1"), Err(TraceError::InvalidByte(7)));
    assert_eq!(loop_detection::parse(&"a,".repeat(2000)), Err(TraceError::TooLong(4000)));
}
