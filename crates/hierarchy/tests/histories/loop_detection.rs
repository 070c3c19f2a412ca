//! Tests of invariant H4 and of the inference of loops.
use crate::support::{base_topology, edit_strategy, fixed_seed_config, parent_name, MS, START};
use larchway_hierarchy::change_log::{Change, ChangeLog};
use larchway_hierarchy::loop_detection::{
    self, FillObservation, FillOutcome, Hop, LoopCheck, LoopInference, LoopInferenceSettings, SuspicionChange,
};
use larchway_hierarchy::topology::{Edit, Topology, Upstream};
use proptest::prelude::*;
use std::time::Duration;

proptest! {
    #![proptest_config(fixed_seed_config(400))]

    /// H4: where parents are at different epochs, a fill reaches the origin or is detected as a loop within one hop
    /// more than the depth of the deepest topology.
    #[test]
    fn a_fill_at_mixed_epochs_reaches_the_origin_or_is_detected_as_a_loop(
        edit_lists in prop::collection::vec(prop::collection::vec(edit_strategy(), 1..3), 1..12),
        epoch_choices in prop::collection::vec(any::<prop::sample::Index>(), 8),
        first in 0..4u8,
    ) {
        let mut change_log = ChangeLog::new(0, base_topology());
        for (n, edits) in edit_lists.into_iter().enumerate() {
            change_log.submit(Change { id: format!("c{n:02}"), upon: change_log.epoch(), edits });
        }
        let topologies: Vec<&Topology> = (0..=change_log.epoch()).filter_map(|epoch| change_log.at(epoch)).collect();
        let epoch_of = |parent: &str| {
            let n: usize = parent[1..].parse().expect("a number");
            epoch_choices[n].index(topologies.len())
        };
        let depth = topologies.iter().map(|topology| topology.depth()).max().unwrap_or(0);
        let (mut current, mut trace, mut hop_count) = (parent_name(first), String::new(), 0);
        loop {
            let own_epoch = epoch_of(&current);
            let received_hops = loop_detection::parse(&trace).expect("an appended trace is well formed");
            if loop_detection::check(&received_hops, &current, own_epoch as u64, depth) != LoopCheck::Clear {
                // The converse of H4: no fill is rejected that would have reached the origin within `depth + 1`
                // parents.
                let start = parent_name(first);
                let ends = loop_detection::trace_fill(&start, |parent| Some(topologies[epoch_of(parent)]));
                prop_assert!(ends.is_none_or(|path| path.len() > depth + 1), "rejected although it reaches the origin: {}", trace);
                break;
            }
            hop_count += 1;
            prop_assert!(hop_count <= depth + 2, "H4: {}", trace);
            trace = loop_detection::append(&trace, &current, own_epoch as u64);
            match topologies[own_epoch].parents().get(&current).map(|parent| &parent.upstream) {
                Some(Upstream::Parent(next)) => current = next.clone(),
                _ => break,
            }
        }
    }

    /// A trace is parsed back as it was appended, and no text makes the parser panic.
    #[test]
    fn a_trace_is_parsed_as_it_was_appended(hops in prop::collection::vec(("[a-zA-Z0-9_.-]{1,12}", any::<u64>()), 0..12), arbitrary_text in ".{0,60}") {
        let text = hops.iter().fold(String::new(), |trace, (name, epoch)| loop_detection::append(&trace, name, *epoch));
        let parsed = loop_detection::parse(&text).expect("well formed");
        let expected: Vec<Hop> = hops.into_iter().map(|(name, epoch)| Hop { name, epoch: Some(epoch) }).collect();
        prop_assert_eq!(parsed, expected);
        let _ = loop_detection::parse(&arbitrary_text);
        let _ = loop_detection::parse(&format!("{text}{arbitrary_text}"));
    }
}

#[test]
fn a_loop_between_parents_at_different_epochs_is_detected_with_both_epochs() {
    // p1 fetched from p0; the edits make p1 fetch from the origin and p0 from p1. p0 has applied both edits, p1
    // neither.
    let old = base_topology()
        .apply(&[Edit::SetUpstream { name: parent_name(1), upstream: Upstream::Parent(parent_name(0)) }])
        .expect("valid edits");
    let edits = [
        Edit::SetUpstream { name: parent_name(1), upstream: Upstream::Origin },
        Edit::SetUpstream { name: parent_name(0), upstream: Upstream::Parent(parent_name(1)) },
    ];
    let new = old.apply(&edits).expect("valid edits");
    assert!(old.apply(&edits[1..]).is_err(), "the second edit alone makes a cycle and is rejected");
    assert_eq!(
        loop_detection::trace_fill("p0", |parent| Some(if parent == "p0" { &new } else { &old })),
        None
    );
    let trace = loop_detection::append(&loop_detection::append("", "p0", 8), "p1", 7);
    let detected =
        loop_detection::check(&loop_detection::parse(&trace).expect("a valid trace"), "p0", 8, new.depth());
    assert_eq!(detected, LoopCheck::Loop { name: "p0".into(), first: Some(8), second: Some(8) });
}

#[test]
fn a_loop_is_inferred_without_a_trace_only_when_most_fills_fail() {
    let settings = LoopInferenceSettings { window: 8, threshold: 0.75, exclusion: 5000 * MS };
    let mut parent = LoopInference::new(settings);
    let becomes_suspected = |parent: &mut LoopInference, outcome| {
        let fill = FillObservation { outcome, waited: 900 * MS };
        parent.observe(START, fill, 20 * MS) == SuspicionChange::Begun
    };
    for _ in 0..40 {
        assert!(!becomes_suspected(&mut parent, FillOutcome::Other));
        assert!(!becomes_suspected(&mut parent, FillOutcome::TimedOut));
    }
    let mut parent = LoopInference::new(settings);
    let outcome = |n: i32| if n % 3 == 0 { FillOutcome::Rejected } else { FillOutcome::TimedOut };
    let detected = (0..8).filter(|n| becomes_suspected(&mut parent, outcome(*n))).count();
    assert_eq!(
        (
            detected,
            parent.is_suspected(START + Duration::from_micros(1)),
            parent.is_suspected(START + 6000 * MS)
        ),
        (1, true, false)
    );
}
