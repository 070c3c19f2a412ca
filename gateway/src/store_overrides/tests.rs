use super::*;
use larchway::Host;

fn endpoint(name: &str, weight: f64, state: State) -> Endpoint {
    let host = Host {
        server: endpoint_id(name),
        zone: 1,
        kind: 0,
        cell: 0,
        state,
        weight,
        started: Host::STARTED_LONG_AGO,
    };
    Endpoint { host, name: name.into(), dial: None }
}

fn weight_attribute(weight: f64) -> StoreAttributes {
    StoreAttributes { weight: Some(weight), ..StoreAttributes::default() }
}

fn documents(entries: &[(&str, f64)]) -> BTreeMap<String, StoreAttributes> {
    entries.iter().map(|(name, value)| (name.to_string(), weight_attribute(*value))).collect()
}

/// The stores in force, by the endpoint list and the overrides, as the gateway combines them.
#[derive(Default)]
struct StoresInForce {
    overrides: StoreOverrides,
    stores: BTreeMap<ServerId, Endpoint>,
}

impl StoresInForce {
    fn apply_list(&mut self, scope: ListScope, mut entries: Vec<Endpoint>) {
        self.overrides.apply(scope, &mut entries);
        if scope.is_complete() {
            self.stores.clear();
        }
        self.apply(entries);
    }

    fn replace_documents(&mut self, entries: &[(&str, f64)]) -> usize {
        let changed = self.overrides.replace(&documents(entries), |id| self.stores.get(&id));
        let count = changed.len();
        self.apply(changed);
        count
    }

    fn apply(&mut self, entries: Vec<Endpoint>) {
        for entry in entries {
            match entry.host.state {
                State::Removed => drop(self.stores.remove(&entry.host.server)),
                _ => drop(self.stores.insert(entry.host.server, entry)),
            }
        }
    }

    fn weight(&self, name: &str) -> Option<f64> {
        self.stores.get(&endpoint_id(name)).map(|entry| entry.host.weight)
    }
}

#[test]
fn a_document_overrides_the_list_until_it_is_withdrawn() {
    let mut stores_in_force = StoresInForce::default();
    stores_in_force.apply_list(
        ListScope::Complete,
        vec![endpoint("a-1", 4.0, State::Up), endpoint("a-2", 4.0, State::Up)],
    );
    assert_eq!(
        stores_in_force.replace_documents(&[("a-1", 7.0)]),
        1,
        "only the store of the document changes"
    );
    assert_eq!((stores_in_force.weight("a-1"), stores_in_force.weight("a-2")), (Some(7.0), Some(4.0)));
    stores_in_force.apply_list(ListScope::Changes, vec![endpoint("a-1", 5.0, State::Draining)]);
    assert_eq!(stores_in_force.weight("a-1"), Some(7.0), "a change of the list does not undo the override");
    let state = stores_in_force.stores[&endpoint_id("a-1")].host.state;
    assert_eq!(state, State::Draining, "the state is that of the list");
    assert_eq!(stores_in_force.replace_documents(&[("a-1", 7.0)]), 0, "nothing changes");
    assert_eq!(stores_in_force.replace_documents(&[]), 1);
    assert_eq!(stores_in_force.weight("a-1"), Some(5.0), "the latest value of the list applies again");
}

#[test]
fn a_document_neither_lists_nor_removes_a_store() {
    let mut stores_in_force = StoresInForce::default();
    assert_eq!(stores_in_force.replace_documents(&[("a-1", 7.0)]), 0);
    assert_eq!(stores_in_force.weight("a-1"), None);
    stores_in_force.apply_list(ListScope::Complete, vec![endpoint("a-1", 4.0, State::Up)]);
    assert_eq!(stores_in_force.weight("a-1"), Some(7.0), "once it is listed");
    stores_in_force.apply_list(ListScope::Changes, vec![endpoint("a-1", 4.0, State::Removed)]);
    assert_eq!(stores_in_force.weight("a-1"), None);
    assert_eq!(stores_in_force.replace_documents(&[]), 0, "a removed store is not listed again");
    stores_in_force.replace_documents(&[("a-1", 7.0)]);
    stores_in_force.apply_list(ListScope::Complete, vec![endpoint("a-1", 4.0, State::Up)]);
    stores_in_force.apply_list(ListScope::Complete, vec![endpoint("a-2", 4.0, State::Up)]);
    assert_eq!(
        stores_in_force.replace_documents(&[("a-1", 8.0)]),
        0,
        "a complete list without it removes it"
    );
    assert_eq!(stores_in_force.weight("a-1"), None);
}

#[test]
fn a_store_whose_name_has_the_same_id_is_another_one() {
    let mut stores_in_force = StoresInForce::default();
    stores_in_force.apply_list(ListScope::Complete, vec![endpoint("b-1", 4.0, State::Up)]);
    assert_eq!(stores_in_force.replace_documents(&[("a-1", 7.0)]), 0);
    stores_in_force.apply_list(ListScope::Changes, vec![endpoint("b-1", 5.0, State::Up)]);
    assert_eq!(stores_in_force.weight("b-1"), Some(5.0));
}
