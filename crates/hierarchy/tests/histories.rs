//! Random histories against the invariants H1 to H8 of `docs/design/hierarchy.md`.
use larchway_hierarchy::ledger::{Change, Fate, Ledger};
use larchway_hierarchy::loops::{self, Found, Hop, Inference, Shown, Spoilt};
use larchway_hierarchy::moves::{rendezvous, Moves, Terms};
use larchway_hierarchy::shape::{Edit, Parent, Refused, Shape, Upstream, DEEPEST};
use larchway_hierarchy::shield::{self, End, Shield, Verdict};
use larchway_hierarchy::Micros;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1000;
const START: Micros = 1_000_000_000;

fn name(n: u8) -> String {
    format!("p{n}")
}

fn parent(n: u8, upstream: Upstream) -> Edit {
    let parent = Parent { hub: format!("h{}", n % 3), weight: f64::from(1 + n % 4), upstream };
    Edit::AddParent { name: name(n), parent }
}

fn upstream() -> impl Strategy<Value = Upstream> {
    prop_oneof![2 => Just(Upstream::Origin), 3 => (0..8u8).prop_map(|n| Upstream::Parent(name(n)))]
}

fn edit() -> impl Strategy<Value = Edit> {
    let parents = || prop::collection::btree_set((0..8u8).prop_map(name), 0..4);
    prop_oneof![
        3 => (0..8u8, upstream()).prop_map(|(n, up)| parent(n, up)),
        2 => (0..8u8).prop_map(|n| Edit::RemoveParent { name: name(n) }),
        3 => (0..8u8, upstream()).prop_map(|(n, upstream)| Edit::SetUpstream { name: name(n), upstream }),
        1 => (0..8u8, -1.0..9.0f64).prop_map(|(n, weight)| Edit::SetWeight { name: name(n), weight }),
        3 => (0..4u8, parents()).prop_map(|(b, parents)| Edit::SetBranch { branch: format!("b{b}"), parents }),
        1 => (0..4u8).prop_map(|b| Edit::RemoveBranch { branch: format!("b{b}") }),
    ]
}

fn base() -> Shape {
    let edits: Vec<Edit> = (0..4).map(|n| parent(n, Upstream::Origin)).collect();
    let branch = |b: &str, of: &[u8]| Edit::SetBranch {
        branch: b.into(),
        parents: of.iter().map(|n| name(*n)).collect(),
    };
    let edits = [edits, vec![branch("b0", &[0, 1]), branch("b1", &[1, 2, 3])]].concat();
    Shape::default().apply(&edits).expect("a shape")
}

/// H1, judged by walking, without the shape's own checks.
fn sound(shape: &Shape) {
    for (branch, parents) in shape.branches() {
        assert!(!parents.is_empty(), "H1: {branch} is bare");
        for parent in parents {
            assert!(shape.parents().contains_key(parent), "H1: {branch} names {parent}");
        }
    }
    for first in shape.parents().keys() {
        let (mut at, mut hops) = (first.clone(), 0);
        while let Upstream::Parent(next) = shape.parents()[&at].upstream.clone() {
            hops += 1;
            assert!(hops < DEEPEST, "H1: from {first} the origin is not reached");
            at = next;
        }
    }
}

fn fixed(cases: u32) -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok().and_then(|s| s.parse().ok());
    let cases = number("PROPTEST_CASES").map_or(cases, |n| n as u32);
    let rng_seed = proptest::test_runner::RngSeed::Fixed(number("PROPTEST_RNG_SEED").unwrap_or(1));
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

#[derive(Debug, Clone)]
enum Step {
    Retarget(BTreeMap<String, f64>),
    TurnRound,
    Pause(bool),
    Started(u8),
    Pass(u32),
}

fn step() -> impl Strategy<Value = Step> {
    let weights = prop::collection::btree_map((0..6u8).prop_map(name), 0.5..8.0f64, 1..6);
    prop_oneof![
        3 => weights.prop_map(Step::Retarget),
        1 => Just(Step::TurnRound),
        1 => any::<bool>().prop_map(Step::Pause),
        2 => (0..6u8).prop_map(Step::Started),
        5 => (1..30_000u32).prop_map(Step::Pass),
    ]
}

#[derive(Debug, Clone)]
enum Fill {
    Want(u8, u64, bool),
    End(usize, u8, u32),
    Write(bool),
    Gateways(u8),
    Pass(u32),
}

fn fill() -> impl Strategy<Value = Fill> {
    prop_oneof![
        6 => (0..3u8, 0..40u64, any::<bool>()).prop_map(|(h, o, j)| Fill::Want(h, o, j)),
        5 => (0..64usize, 0..5u8, 1..900u32).prop_map(|(at, end, took)| Fill::End(at, end, took)),
        1 => any::<bool>().prop_map(Fill::Write),
        1 => (1..9u8).prop_map(Fill::Gateways),
        3 => (1..2000u32).prop_map(Fill::Pass),
    ]
}

proptest! {
    #![proptest_config(fixed(400))]

    /// H1 and H2: a shape that stands is sound, and edits that are refused leave it as it was.
    #[test]
    fn shapes_are_whole_whatever_is_asked(all in prop::collection::vec(prop::collection::vec(edit(), 1..5), 1..20)) {
        let mut shape = base();
        for edits in all {
            let before = shape.clone();
            match shape.apply(&edits) {
                Ok(next) => shape = next,
                Err((at, _)) => {
                    prop_assert!(at < edits.len());
                    prop_assert_eq!(&shape, &before);
                    // The named edit is the first that does not fit.
                    prop_assert!(shape.apply(&edits[..at]).is_ok());
                }
            }
            sound(&shape);
        }
    }

    /// H3: whatever the order in which changes arrive, and however often, the same ones make the same shape.
    #[test]
    fn the_same_changes_in_any_order_make_the_same_shape(
        all in prop::collection::vec((0..6u64, prop::collection::vec(edit(), 1..3)), 1..14),
        order in prop::collection::vec(any::<prop::sample::Index>(), 28),
    ) {
        let changes: Vec<Change> = all
            .into_iter()
            .enumerate()
            .map(|(n, (upon, edits))| Change { id: format!("c{n:02}"), upon, edits })
            .collect();
        let mut plain = Ledger::new(0, base());
        changes.iter().for_each(|c| drop(plain.take(c.clone())));
        let mut other = Ledger::new(0, base());
        // Some twice and in any order, then all once more from the last.
        for at in &order {
            other.take(changes[at.index(changes.len())].clone());
        }
        changes.iter().rev().for_each(|c| drop(other.take(c.clone())));
        prop_assert_eq!(plain.epoch(), other.epoch());
        prop_assert_eq!(plain.shape(), other.shape());
        prop_assert_eq!(plain.held(), other.held());
        for epoch in 0..=plain.epoch() {
            prop_assert_eq!(plain.at(epoch), other.at(epoch));
            sound(plain.at(epoch).expect("it is kept"));
        }
        for change in &changes {
            prop_assert_eq!(other.take(change.clone()), Fate::Known);
        }
    }

    /// H4: where parents stand at different epochs, a fill ends at the origin or is found out within one hop more than
    /// the deepest of these shapes.
    #[test]
    fn a_fill_at_mixed_epochs_ends_or_is_found_out(
        all in prop::collection::vec(prop::collection::vec(edit(), 1..3), 1..12),
        at in prop::collection::vec(any::<prop::sample::Index>(), 8),
        first in 0..4u8,
    ) {
        let mut ledger = Ledger::new(0, base());
        for (n, edits) in all.into_iter().enumerate() {
            ledger.take(Change { id: format!("c{n:02}"), upon: ledger.epoch(), edits });
        }
        let shapes: Vec<&Shape> = (0..=ledger.epoch()).filter_map(|e| ledger.at(e)).collect();
        let epoch = |parent: &str| {
            let n: usize = parent[1..].parse().expect("a number");
            at[n].index(shapes.len())
        };
        let depth = shapes.iter().map(|s| s.depth()).max().unwrap_or(0);
        let (mut here, mut trail, mut hops) = (name(first), String::new(), 0);
        loop {
            let own = epoch(&here);
            let told = loops::read(&trail).expect("own trails are well formed");
            if loops::look(&told, &here, own as u64, depth) != Found::Clear {
                // H4 the other way: nothing is broken that would have ended.
                let start = name(first);
                let ends = loops::trace(&start, |p| Some(shapes[epoch(p)]));
                prop_assert!(ends.is_none_or(|way| way.len() > depth + 1), "broken without need: {}", trail);
                break;
            }
            hops += 1;
            prop_assert!(hops <= depth + 2, "H4: {}", trail);
            trail = loops::append(&trail, &here, own as u64);
            match shapes[own].parents().get(&here).map(|p| &p.upstream) {
                Some(Upstream::Parent(next)) => here = next.clone(),
                _ => break,
            }
        }
    }

    /// H5 and H6: an object has one home, at most two while it moves; a cold parent never weighs more than it can give;
    /// no step moves an object between parents whose weights did not change.
    #[test]
    fn moves_go_in_steps_and_never_over_a_cold_parents_means(steps in prop::collection::vec(step(), 1..25)) {
        let first: BTreeMap<String, f64> = [(name(0), 4.0), (name(1), 4.0)].into();
        let terms = Terms::default();
        let mut moves = Moves::new(START, terms, &first);
        let (mut now, mut target, mut before_move) = (START, first.clone(), first);
        let mut starts: BTreeMap<String, Micros> = BTreeMap::new();
        for step in steps {
            let (old, was) = (moves.weights(now), now);
            match step {
                Step::Retarget(weights) => {
                    if !moves.moving(now) {
                        before_move = old.clone();
                    }
                    moves.retarget(now, &weights);
                    target = weights;
                }
                Step::TurnRound => {
                    target = before_move.clone();
                    if !moves.moving(now) {
                        before_move = old.clone();
                    }
                    moves.turn_round(now);
                }
                Step::Pause(on) => moves.pause(now, on),
                Step::Started(n) => {
                    moves.started(&name(n), now);
                    starts.insert(name(n), now);
                }
                Step::Pass(ms) => now += Micros::from(ms) * MS,
            }
            let weights = moves.weights(now);
            for (n, weight) in &weights {
                let size = target.get(n).copied().unwrap_or(0.0).max(old.get(n).copied().unwrap_or(0.0)).max(8.0);
                if let Some(start) = starts.get(n) {
                    let share = terms.cold_from
                        + (1.0 - terms.cold_from) * (now - start) as f64 / terms.cold_span as f64;
                    prop_assert!(*weight <= size * share.min(1.0) + 1e-9, "H6: {} weighs {}", n, weight);
                }
            }
            if now == was {
                // An order alone moves nothing but what a start takes away.
                let grown = weights.iter().find(|(n, w)| **w > old.get(*n).copied().unwrap_or(0.0) + 1e-9);
                prop_assert!(grown.is_none(), "H5: {:?} grew at once from {:?}", grown, old);
            }
            for object in 0..60u64 {
                let home = moves.home(now, object);
                if weights.is_empty() {
                    prop_assert!(home.is_none());
                    continue;
                }
                let home = home.expect("a home");
                prop_assert!(weights.contains_key(home.parent) && home.before != Some(home.parent));
                // H5: it moved only to a parent that grew, or from one that shrank.
                let held = rendezvous(object, old.iter().map(|(n, w)| (n.as_str(), *w)));
                if let Some(held) = held.filter(|held| *held != home.parent) {
                    let (from, to) = (weights.get(held).copied().unwrap_or(0.0), weights[home.parent]);
                    let shrank = from < old[held] - 1e-12;
                    let grew = to > old.get(home.parent).copied().unwrap_or(0.0) + 1e-12;
                    prop_assert!(shrank || grew, "H5: {} moved from {} to {}", object, held, home.parent);
                }
            }
        }
        // In the end the move is over, and only the new homes are left.
        moves.pause(now, false);
        now += 200_000_000;
        prop_assert!(!moves.moving(now));
        prop_assert_eq!(moves.weights(now), target);
        prop_assert!((0..60).all(|o| moves.home(now, o).is_none_or(|h| h.before.is_none())));
    }

    /// H7: no more fills are out than the limit allows, which stays within its bounds; writes are never held; all is
    /// bounded.
    #[test]
    fn the_origin_never_gets_more_fills_than_its_limit(all in prop::collection::vec(fill(), 1..200)) {
        let terms = shield::Terms { objects: 16, ..shield::Terms::default() };
        let (mut shield, mut now, mut gateways) = (Shield::new(terms, 2), START, 2u64);
        let mut out: Vec<(u8, u64)> = Vec::new();
        let mut writes = 0u32;
        for fill in all {
            match fill {
                Fill::Want(hub, object, join) => {
                    let before = out.len() as u32 + writes;
                    match shield.want(now, &format!("h{hub}"), object, join) {
                        Verdict::Go => {
                            prop_assert!(before < shield.limit(), "H7: {} are out of {}", before, shield.limit());
                            prop_assert!(!join || !out.iter().any(|o| o.1 == object), "H7: {} goes twice", object);
                            out.push((hub, object));
                        }
                        Verdict::Join => prop_assert!(join && out.iter().any(|o| o.1 == object)),
                        Verdict::Full(wait) | Verdict::Spaced(wait) | Verdict::Barren(wait) => {
                            prop_assert!(wait > 0 && wait <= 3_600_000_000);
                        }
                    }
                }
                Fill::End(at, end, took) if !out.is_empty() => {
                    let (hub, object) = out.swap_remove(at % out.len());
                    let end = [End::Came, End::Nothing, End::Trouble, End::GivenUp, End::Unasked][usize::from(end)];
                    shield.ended(now, &format!("h{hub}"), object, end, Micros::from(took) * MS);
                }
                Fill::End(..) => {}
                Fill::Write(begins) => {
                    shield.write(begins);
                    writes = if begins { writes + 1 } else { writes.saturating_sub(1) };
                }
                Fill::Gateways(n) => {
                    gateways = u64::from(n);
                    shield.shared_by(gateways);
                }
                Fill::Pass(ms) => now += Micros::from(ms) * MS,
            }
            prop_assert_eq!(shield.out(), out.len() as u32);
            prop_assert!(f64::from(shield.limit()) <= (terms.most / gateways as f64).max(terms.first * 8.0).max(1.0));
            prop_assert!(shield.limit() >= 1);
            prop_assert!(shield.remembered() <= terms.objects + out.len(), "H8");
        }
    }

    /// A trail is read back as it was written; nothing makes the reader panic.
    #[test]
    fn trails_are_read_as_they_were_written(hops in prop::collection::vec(("[a-zA-Z0-9_.-]{1,12}", any::<u64>()), 0..12), junk in ".{0,60}") {
        let text = hops.iter().fold(String::new(), |t, (n, e)| loops::append(&t, n, *e));
        let read = loops::read(&text).expect("well formed");
        let wanted: Vec<Hop> = hops.into_iter().map(|(name, e)| Hop { name, epoch: Some(e) }).collect();
        prop_assert_eq!(read, wanted);
        let _ = loops::read(&junk);
        let _ = loops::read(&format!("{text}{junk}"));
    }
}

#[test]
fn refusals_name_what_is_wrong() {
    let up = |n| Upstream::Parent(name(n));
    let set = |n, upstream| Edit::SetUpstream { name: name(n), upstream };
    let branch = |parents: &[u8]| Edit::SetBranch {
        branch: "b9".into(),
        parents: parents.iter().map(|n| name(*n)).collect::<BTreeSet<_>>(),
    };
    let cycle = Refused::Cycle(vec![name(0), name(2), name(1), name(0)]);
    let cases = [
        (vec![set(1, up(0)), set(2, up(1)), set(0, up(2))], 2, cycle),
        (vec![set(1, up(1))], 0, Refused::Cycle(vec![name(1), name(1)])),
        (vec![set(1, up(7))], 0, Refused::NoParent(name(7))),
        (vec![branch(&[])], 0, Refused::Bare("b9".into())),
        (vec![branch(&[0, 7])], 0, Refused::NoParent(name(7))),
        (
            vec![set(1, up(0)), Edit::RemoveParent { name: name(0) }],
            1,
            Refused::Needed { parent: name(0), by: name(1) },
        ),
        (
            vec![Edit::RemoveParent { name: name(0) }, Edit::RemoveParent { name: name(1) }],
            1,
            Refused::Bare("b0".into()),
        ),
        (vec![parent(0, Upstream::Origin)], 0, Refused::Twice(name(0))),
        (vec![Edit::SetWeight { name: name(0), weight: f64::NAN }], 0, Refused::Weight(name(0))),
        (vec![Edit::RemoveBranch { branch: "b9".into() }], 0, Refused::NoBranch("b9".into())),
    ];
    for (edits, at, why) in cases {
        assert_eq!(base().apply(&edits), Err((at, why)), "{edits:?}");
    }
    assert_eq!(loops::read("a b"), Err(Spoilt::At(2)));
    assert_eq!(loops::read("a; x=\"1"), Err(Spoilt::At(7)));
    assert_eq!(loops::read(&"a,".repeat(2000)), Err(Spoilt::Long(4000)));
}

#[test]
fn two_edits_in_the_wrong_order_make_a_loop_that_is_found_with_both_epochs() {
    // p1 fetched from p0; now p0 is to fetch from p1, and p1 from the origin. p0 has heard of both, p1 of neither.
    let old = base()
        .apply(&[Edit::SetUpstream { name: name(1), upstream: Upstream::Parent(name(0)) }])
        .expect("fits");
    let edits = [
        Edit::SetUpstream { name: name(1), upstream: Upstream::Origin },
        Edit::SetUpstream { name: name(0), upstream: Upstream::Parent(name(1)) },
    ];
    let new = old.apply(&edits).expect("fits");
    assert!(old.apply(&edits[1..]).is_err(), "alone and whole it would be refused");
    assert_eq!(loops::trace("p0", |p| Some(if p == "p0" { &new } else { &old })), None);
    let trail = loops::append(&loops::append("", "p0", 8), "p1", 7);
    let found = loops::look(&loops::read(&trail).expect("reads"), "p0", 8, new.depth());
    assert_eq!(found, Found::Loop { name: "p0".into(), first: Some(8), second: Some(8) });
}

#[test]
fn a_change_may_come_before_the_one_it_rests_on_and_a_lesser_id_unwinds() {
    let mut ledger = Ledger::new(5, base());
    let weight = |id: &str, upon, weight| Change {
        id: id.into(),
        upon,
        edits: vec![Edit::SetWeight { name: name(0), weight }],
    };
    assert_eq!(ledger.take(weight("m2", 6, 3.0)), Fate::Held);
    assert_eq!(ledger.take(weight("m1", 5, 2.0)), Fate::Applied(6));
    assert_eq!((ledger.epoch(), ledger.shape().parents()[&name(0)].weight), (7, 3.0));
    assert_eq!(ledger.take(weight("m9", 5, 9.0)), Fate::Overtaken("m1".into()));
    assert_eq!(ledger.take(weight("a1", 5, 5.0)), Fate::Applied(6));
    assert_eq!(ledger.at(6).map(|s| s.parents()[&name(0)].weight), Some(5.0));
    assert_eq!(ledger.take(weight("m1", 5, 4.0)), Fate::Mistaken, "the same id with other edits");
    assert_eq!(ledger.take(weight("x", 4, 1.0)), Fate::Late);
    assert!(matches!(ledger.take(weight("z", 7, -1.0)), Fate::Refused(0, Refused::Weight(_))));
}

#[test]
fn a_loop_is_inferred_where_no_trail_is_carried_and_single_failures_are_not() {
    let mut parent = Inference::new(8, 0.75);
    let shown = |timed_out, full| Shown { timed_out, full, waited: 900 * MS };
    let see = |p: &mut Inference, s| p.see(START, s, 20 * MS, 5000 * MS);
    for _ in 0..40 {
        assert!(!see(&mut parent, shown(false, false)) && !see(&mut parent, shown(true, false)));
    }
    let mut parent = Inference::new(8, 0.75);
    let found = (0..8).filter(|n| see(&mut parent, shown(n % 3 != 0, n % 3 == 0))).count();
    assert_eq!((found, parent.suspect(START + 1), parent.suspect(START + 6000 * MS)), (1, true, false));
}

#[test]
fn the_limit_falls_where_the_origin_slows_and_rises_again_where_it_is_reached() {
    let mut shield = Shield::new(shield::Terms::default(), 1);
    let mut now = START;
    let round = |shield: &mut Shield, now: &mut Micros, took: Micros, end| {
        let mut sent = Vec::new();
        for n in 0..200u64 {
            if shield.want(*now, "h0", *now + n, false) == Verdict::Go {
                sent.push(*now + n);
            }
        }
        *now += took;
        let count = sent.len();
        sent.into_iter().for_each(|object| shield.ended(*now, "h0", object, end, took));
        count
    };
    (0..50).for_each(|_| assert!(round(&mut shield, &mut now, 20 * MS, End::Came) > 0));
    let high = shield.limit();
    assert!(high > 40, "{high}");
    (0..10).for_each(|_| assert!(round(&mut shield, &mut now, 200 * MS, End::Came) > 0));
    let low = shield.limit();
    assert!(low <= 4, "one decrease an answer time: {high} -> {low}");
    (0..60).for_each(|_| assert!(round(&mut shield, &mut now, 20 * MS, End::Came) > 0));
    assert!(shield.limit() > 4 * low);
    // Of two hubs none takes all.
    let go = |shield: &mut Shield, hub: &str, from: u64| {
        (0..200u64).filter(|n| shield.want(now, hub, from + n, false) == Verdict::Go).count()
    };
    let second = go(&mut shield, "h1", 1 << 40).min(1);
    assert!(second == 1 && go(&mut shield, "h0", 1 << 41) as u32 <= shield.limit() * 6 / 10 + 1);
}
