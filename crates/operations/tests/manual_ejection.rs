//! Manual ejections: random histories, checked against a model of each store, and single cases. Invariant numbers refer
//! to `docs/design/operations.md`.
use larchway::{Host, MonotonicTime, State};
use larchway_endpoints::{Endpoint, ListScope};
use larchway_operations::manual_ejection::{
    EjectionAction, EjectionOutcome, EjectionRecord, Input, ManualEjections, Output, PeerEndpoint,
    MAX_EJECTION_RECORDS,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const STORES: u64 = 5;
const MICROSECOND: Duration = Duration::from_micros(1);

fn at(micros: u64) -> MonotonicTime {
    MonotonicTime::from_micros(micros)
}

fn entry(id: u64, state: State) -> Endpoint {
    Endpoint { host: Host { server: id, state, ..Host::default() }, name: format!("s-{id:x}"), dial: None }
}

fn action(eject: bool) -> EjectionAction {
    if eject {
        EjectionAction::Eject
    } else {
        EjectionAction::Restore
    }
}

#[derive(Debug, Clone)]
enum Step {
    ListChange(u64, u8),
    CompleteList(Vec<u64>),
    Request(u64, bool),
    PeerRequest(u64, bool),
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (1..=STORES, 0..3u8).prop_map(|(id, state)| Step::ListChange(id, state)),
        1 => prop::collection::vec(1..=STORES, 0..4).prop_map(Step::CompleteList),
        3 => (1..=STORES + 1, any::<bool>()).prop_map(|(id, eject)| Step::Request(id, eject)),
        1 => (1..=STORES, any::<bool>()).prop_map(|(id, eject)| Step::PeerRequest(id, eject)),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #[test]
    fn a_store_is_usable_only_if_list_and_operators_allow_it(steps in steps()) {
        let mut ejections = ManualEjections::default();
        let mut reported: BTreeMap<u64, (State, MonotonicTime)> = BTreeMap::new();
        let (mut listed, mut ever_listed) = (BTreeMap::<u64, State>::new(), BTreeSet::<u64>::new());
        let mut ejected = BTreeSet::<u64>::new();
        let mut restored_at: BTreeMap<u64, MonotonicTime> = BTreeMap::new();
        let mut saved: Vec<EjectionRecord> = Vec::new();
        let mut now = at(1_000_000);
        for step in steps {
            now += Duration::from_millis(1);
            let mut outputs = Vec::new();
            let mut outcome = None;
            match step {
                Step::ListChange(id, state) => {
                    let state = [State::Up, State::Draining, State::Removed][state as usize];
                    if state == State::Removed { listed.remove(&id); } else { listed.insert(id, state); ever_listed.insert(id); }
                    ejections.handle(now, Input::EndpointList { scope: ListScope::Changes, entries: vec![entry(id, state)] }, &mut outputs);
                }
                Step::CompleteList(ids) => {
                    listed = ids.iter().map(|id| (*id, State::Up)).collect();
                    ever_listed.extend(&ids);
                    let ids: BTreeSet<u64> = ids.into_iter().collect();
                    let entries = ids.into_iter().map(|id| entry(id, State::Up)).collect();
                    ejections.handle(now, Input::EndpointList { scope: ListScope::Complete, entries }, &mut outputs);
                }
                Step::Request(id, eject) => {
                    let applicable = listed.contains_key(&id) || !eject && (ever_listed.contains(&id) || ejected.contains(&id));
                    outcome = Some(if applicable { EjectionOutcome::Applied } else { EjectionOutcome::UnknownStore });
                    if applicable && eject { ejected.insert(id); }
                    if applicable && !eject && ejected.remove(&id) { restored_at.insert(id, now); }
                    ejections.handle(now, Input::OperatorRequest { store: format!("s-{id:x}"), action: action(eject) }, &mut outputs);
                }
                // Operators sent the request to the gateway's other process.
                Step::PeerRequest(id, eject) => {
                    if eject { ejected.insert(id); } else { ejected.remove(&id); restored_at.insert(id, now); }
                    let record = EjectionRecord { store: format!("s-{id:x}"), ejected: eject, recorded_at: now };
                    // An older record that arrives late changes nothing.
                    let stale = EjectionRecord { ejected: !eject, recorded_at: at(500), ..record.clone() };
                    ejections.handle(now, Input::Records(vec![record, stale]), &mut outputs);
                    saved = ejections.records().cloned().collect();
                }
                // A new process starts from the saved records and its own endpoint list.
                Step::Restart => {
                    ejections = ManualEjections::default();
                    reported.clear();
                    ever_listed = listed.keys().copied().collect();
                    ejections.handle(now, Input::Records(saved.clone()), &mut outputs);
                    let entries = listed.iter().map(|(id, state)| entry(*id, *state)).collect();
                    ejections.handle(now, Input::EndpointList { scope: ListScope::Complete, entries }, &mut outputs);
                }
            }
            let mut reply = None;
            for output in outputs {
                match output {
                    Output::EndpointList { scope, entries } => {
                        if scope.is_complete() { reported.clear(); }
                        for endpoint in entries {
                            if endpoint.host.state == State::Removed { reported.remove(&endpoint.host.server); }
                            else { reported.insert(endpoint.host.server, (endpoint.host.state, endpoint.host.started)); }
                        }
                    }
                    // The records are saved before the operator gets the reply (invariant 3).
                    Output::SaveRecords(records) => { prop_assert!(reply.is_none()); saved = records; }
                    Output::Reply(replied) => reply = Some(replied),
                }
            }
            prop_assert_eq!(reply, outcome);
            prop_assert_eq!(reported.keys().collect::<Vec<_>>(), listed.keys().collect::<Vec<_>>());
            for (id, (state, started)) in &reported {
                // Invariant 2: a store is usable only if the list and the operators allow it.
                let usable = listed[id] == State::Up && !ejected.contains(id);
                prop_assert_eq!(*state == State::Up, usable, "store {}", id);
                // Invariant 4: a restored store counts as started when it was restored.
                if let (Some(at), false) = (restored_at.get(id), ejected.contains(id)) {
                    prop_assert_eq!(*started, *at, "store {}", id);
                }
            }
        }
    }
}

#[test]
fn a_store_drained_by_the_peer_process_stays_drained_until_an_own_update_or_expiry() {
    let mut ejections = ManualEjections::default();
    let handle_input = |ejections: &mut ManualEjections, now, input| {
        let mut outputs = Vec::new();
        ejections.handle(now, input, &mut outputs);
        let lists = outputs.into_iter().filter_map(|output| {
            if let Output::EndpointList { entries, .. } = output {
                Some(entries)
            } else {
                None
            }
        });
        lists.flatten().map(|endpoint| (endpoint.host.server, endpoint.host.state)).collect::<Vec<_>>()
    };
    let all = vec![entry(1, State::Up), entry(2, State::Up), entry(3, State::Up)];
    handle_input(&mut ejections, at(10), Input::EndpointList { scope: ListScope::Complete, entries: all });
    let peer_endpoint = |name: &str, usable| PeerEndpoint { name: name.into(), usable };
    let stores = vec![peer_endpoint("s-1", true), peer_endpoint("s-2", false)];
    let drained = handle_input(&mut ejections, at(20), Input::PeerEndpoints(stores));
    assert_eq!(drained, [(2, State::Draining), (3, State::Draining)]);
    // An own update ends the draining of one store, expiry that of the other.
    let update = Input::EndpointList { scope: ListScope::Changes, entries: vec![entry(2, State::Up)] };
    assert_eq!(handle_input(&mut ejections, at(30), update), [(2, State::Up)]);
    let expiry = ejections.next_due().expect("one store is still drained by the peer");
    assert_eq!(handle_input(&mut ejections, expiry - MICROSECOND, Input::Timer), []);
    assert_eq!(handle_input(&mut ejections, expiry, Input::Timer), [(3, State::Up)]);
    assert_eq!(ejections.next_due(), None);
}

#[test]
fn an_ejected_store_can_be_restored_after_it_was_delisted() {
    let mut ejections = ManualEjections::default();
    let mut handle_input = |input| {
        let mut outputs = Vec::new();
        ejections.handle(at(1_000_000), input, &mut outputs);
        outputs
            .into_iter()
            .find_map(|output| if let Output::Reply(outcome) = output { Some(outcome) } else { None })
    };
    let request = |store: &str, eject| Input::OperatorRequest { store: store.into(), action: action(eject) };
    handle_input(Input::EndpointList {
        scope: ListScope::Complete,
        entries: vec![entry(1, State::Up), entry(2, State::Up)],
    });
    assert_eq!(handle_input(request("s-1", true)), Some(EjectionOutcome::Applied));
    handle_input(Input::EndpointList { scope: ListScope::Complete, entries: vec![entry(2, State::Up)] });
    assert_eq!(
        handle_input(request("s-2", false)),
        Some(EjectionOutcome::Applied),
        "a store that is not ejected can be restored"
    );
    assert_eq!(handle_input(request("s-9", true)), Some(EjectionOutcome::UnknownStore));
    assert_eq!(handle_input(request("s-9", false)), Some(EjectionOutcome::UnknownStore));
    assert_eq!(
        handle_input(request("other-2", true)),
        Some(EjectionOutcome::UnknownStore),
        "another name with the same server number"
    );
    assert_eq!(handle_input(request("s-1", false)), Some(EjectionOutcome::Applied));
    assert_eq!(
        handle_input(request("s-1", true)),
        Some(EjectionOutcome::UnknownStore),
        "a delisted store cannot be ejected"
    );
}

#[test]
fn ejections_beyond_the_limit_are_rejected_until_a_store_is_restored() {
    let mut ejections = ManualEjections::default();
    let limit = MAX_EJECTION_RECORDS as u64;
    let entries = (1..=limit + 1).map(|id| entry(id, State::Up)).collect();
    ejections.handle(at(1), Input::EndpointList { scope: ListScope::Complete, entries }, &mut Vec::new());
    let ejected = |id| EjectionRecord { store: format!("s-{id:x}"), ejected: true, recorded_at: at(id) };
    ejections.handle(at(limit), Input::Records((1..=limit).map(ejected).collect()), &mut Vec::new());
    assert_eq!(ejections.ejected().count(), MAX_EJECTION_RECORDS);
    let mut request = |now, id: u64, action| {
        let mut outputs = Vec::new();
        ejections.handle(
            at(now),
            Input::OperatorRequest { store: format!("s-{id:x}"), action },
            &mut outputs,
        );
        outputs.pop()
    };
    let further = request(limit + 1, limit + 1, EjectionAction::Eject);
    assert_eq!(further, Some(Output::Reply(EjectionOutcome::TooManyEjected)));
    request(limit + 2, 1, EjectionAction::Restore);
    let further = request(limit + 3, limit + 1, EjectionAction::Eject);
    assert_eq!(further, Some(Output::Reply(EjectionOutcome::Applied)));
    assert_eq!(ejections.records().count(), MAX_EJECTION_RECORDS);
    assert!(ejections.records().all(|record| record.ejected), "the record of the restored store is removed");
}
