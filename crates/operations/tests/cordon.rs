//! Random histories of the stores that are out by hand, against what the test itself keeps of each store. Numbers are
//! those of `docs/design/operations.md`.
use larchway::{Host, Micros, State};
use larchway_members::Entry;
use larchway_operations::cordon::{Cordon, Input, Mark, Output, Verdict};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const STORES: u64 = 5;

fn entry(id: u64, state: State) -> Entry {
    Entry { host: Host { server: id, state, ..Host::default() }, name: format!("s-{id:x}"), dial: None }
}

#[derive(Debug, Clone)]
enum Step {
    List(u64, u8),
    Whole(Vec<u64>),
    Call(u64, bool),
    Other(u64, bool),
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (1..=STORES, 0..3u8).prop_map(|(id, state)| Step::List(id, state)),
        1 => prop::collection::vec(1..=STORES, 0..4).prop_map(Step::Whole),
        3 => (1..=STORES + 1, any::<bool>()).prop_map(|(id, down)| Step::Call(id, down)),
        1 => (1..=STORES, any::<bool>()).prop_map(|(id, down)| Step::Other(id, down)),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #[test]
    fn only_what_list_and_operators_both_allow_is_usable(steps in steps()) {
        let mut cordon = Cordon::default();
        let mut told: BTreeMap<u64, (State, Micros)> = BTreeMap::new();
        let (mut listed, mut once) = (BTreeMap::<u64, State>::new(), BTreeSet::<u64>::new());
        let mut out = BTreeSet::<u64>::new();
        let mut back: BTreeMap<u64, Micros> = BTreeMap::new();
        let mut kept: Vec<Mark> = Vec::new();
        let mut now = 1_000_000;
        for step in steps {
            now += 1000;
            let mut outputs = Vec::new();
            let mut verdict = None;
            match step {
                Step::List(id, state) => {
                    let state = [State::Up, State::Draining, State::Removed][state as usize];
                    if state == State::Removed { listed.remove(&id); } else { listed.insert(id, state); once.insert(id); }
                    cordon.handle(now, Input::List { whole: false, entries: vec![entry(id, state)] }, &mut outputs);
                }
                Step::Whole(ids) => {
                    listed = ids.iter().map(|id| (*id, State::Up)).collect();
                    once.extend(&ids);
                    let ids: BTreeSet<u64> = ids.into_iter().collect();
                    let entries = ids.into_iter().map(|id| entry(id, State::Up)).collect();
                    cordon.handle(now, Input::List { whole: true, entries }, &mut outputs);
                }
                Step::Call(id, down) => {
                    let known = listed.contains_key(&id) || !down && (once.contains(&id) || out.contains(&id));
                    verdict = Some(if known { Verdict::Yes } else { Verdict::Unknown });
                    if known && down { out.insert(id); }
                    if known && !down && out.remove(&id) { back.insert(id, now); }
                    cordon.handle(now, Input::Call { who: format!("s-{id:x}"), down }, &mut outputs);
                }
                // The gateway's other process was called.
                Step::Other(id, down) => {
                    if down { out.insert(id); } else { out.remove(&id); back.insert(id, now); }
                    let mark = Mark { who: format!("s-{id:x}"), down, at: now };
                    // An older word that comes late changes nothing.
                    let stale = Mark { down: !down, at: 500, ..mark.clone() };
                    cordon.handle(now, Input::Marks(vec![mark, stale]), &mut outputs);
                    kept = cordon.marks().cloned().collect();
                }
                // Another process begins from what was kept, and from its list.
                Step::Restart => {
                    cordon = Cordon::default();
                    told.clear();
                    once = listed.keys().copied().collect();
                    cordon.handle(now, Input::Marks(kept.clone()), &mut outputs);
                    let entries = listed.iter().map(|(id, state)| entry(*id, *state)).collect();
                    cordon.handle(now, Input::List { whole: true, entries }, &mut outputs);
                }
            }
            let mut given = None;
            for output in outputs {
                match output {
                    Output::List { whole, entries } => {
                        if whole { told.clear(); }
                        for e in entries {
                            if e.host.state == State::Removed { told.remove(&e.host.server); }
                            else { told.insert(e.host.server, (e.host.state, e.host.started)); }
                        }
                    }
                    // What is kept is so before the caller is told (invariant 3).
                    Output::Keep(marks) => { prop_assert!(given.is_none()); kept = marks; }
                    Output::Verdict(v) => given = Some(v),
                }
            }
            prop_assert_eq!(given, verdict);
            prop_assert_eq!(told.keys().collect::<Vec<_>>(), listed.keys().collect::<Vec<_>>());
            for (id, (state, started)) in &told {
                // Invariant 2: usable only where each allows it.
                let usable = listed[id] == State::Up && !out.contains(id);
                prop_assert_eq!(*state == State::Up, usable, "store {}", id);
                // Invariant 4: what came back has started then.
                if let (Some(at), false) = (back.get(id), out.contains(id)) {
                    prop_assert_eq!(started, at, "store {}", id);
                }
            }
        }
    }
}

#[test]
fn what_the_other_process_knows_as_draining_gets_nothing_until_own_news_or_a_while() {
    let mut cordon = Cordon::default();
    let told = |cordon: &mut Cordon, now, input| {
        let mut out = Vec::new();
        cordon.handle(now, input, &mut out);
        let lists = out.into_iter().filter_map(|o| {
            if let Output::List { entries, .. } = o {
                Some(entries)
            } else {
                None
            }
        });
        lists.flatten().map(|e| (e.host.server, e.host.state)).collect::<Vec<_>>()
    };
    let all = vec![entry(1, State::Up), entry(2, State::Up), entry(3, State::Up)];
    told(&mut cordon, 10, Input::List { whole: true, entries: all });
    let stores = vec![("s-1".to_string(), true), ("s-2".to_string(), false)];
    let doubted = told(&mut cordon, 20, Input::Doubts(stores));
    assert_eq!(doubted, [(2, State::Draining), (3, State::Draining)]);
    // Own news ends one doubt, time the other.
    let news = Input::List { whole: false, entries: vec![entry(2, State::Up)] };
    assert_eq!(told(&mut cordon, 30, news), [(2, State::Up)]);
    let due = cordon.next_due().expect("a doubt is left");
    assert_eq!(told(&mut cordon, due - 1, Input::Tick), []);
    assert_eq!(told(&mut cordon, due, Input::Tick), [(3, State::Up)]);
    assert_eq!(cordon.next_due(), None);
}

#[test]
fn a_store_that_has_gone_takes_its_call_back_and_nobody_is_told_no() {
    let mut cordon = Cordon::default();
    let mut told = |input| {
        let mut out = Vec::new();
        cordon.handle(1_000_000, input, &mut out);
        out.into_iter().find_map(|o| if let Output::Verdict(v) = o { Some(v) } else { None })
    };
    let call = |who: &str, down| Input::Call { who: who.into(), down };
    told(Input::List { whole: true, entries: vec![entry(1, State::Up), entry(2, State::Up)] });
    assert_eq!(told(call("s-1", true)), Some(Verdict::Yes));
    told(Input::List { whole: true, entries: vec![entry(2, State::Up)] });
    assert_eq!(told(call("s-2", false)), Some(Verdict::Yes), "back without out");
    assert_eq!(told(call("s-9", true)), Some(Verdict::Unknown));
    assert_eq!(told(call("s-9", false)), Some(Verdict::Unknown));
    assert_eq!(told(call("other-2", true)), Some(Verdict::Unknown), "another name for the same number");
    assert_eq!(told(call("s-1", false)), Some(Verdict::Yes));
    assert_eq!(told(call("s-1", true)), Some(Verdict::Unknown), "it is not there to be taken out");
}
