//! Overrides of store attributes by documents. A document changes attributes of a listed store; it cannot list or
//! remove a store, nor change its state.
use crate::bulletin::StoreAttributes;
use larchway::{ServerId, State};
use larchway_endpoints::endpoint::endpoint_id;
use larchway_endpoints::{Endpoint, ListScope};
use std::collections::BTreeMap;

/// A document about a store.
#[derive(Debug, Clone)]
struct Override {
    /// The store's name, needed since the ids of two names may be equal.
    name: String,
    attributes: StoreAttributes,
    /// The store's entry in the endpoint list, without the override; none if it is not listed.
    listed: Option<Endpoint>,
}

/// The documents about stores that are in force.
#[derive(Debug, Clone, Default)]
pub struct StoreOverrides {
    /// One for each document at most.
    by_server: BTreeMap<ServerId, Override>,
}

impl StoreOverrides {
    /// Records the entries of the endpoint list or of a change of it, and applies the documents to them.
    pub fn apply(&mut self, scope: ListScope, entries: &mut [Endpoint]) {
        if self.by_server.is_empty() {
            return;
        }
        if scope.is_complete() {
            self.by_server.values_mut().for_each(|document| document.listed = None);
        }
        for entry in entries {
            let Some(document) = self.by_server.get_mut(&entry.host.server) else { continue };
            if document.name != entry.name {
                continue;
            }
            let is_removed = entry.host.state == State::Removed;
            document.listed = (!is_removed).then(|| entry.clone());
            if !is_removed {
                *entry = document.attributes.lay_over(entry);
            }
        }
    }

    /// Replaces the documents. `current` returns the entry of a store that is in force now, with its document
    /// applied. Returns the entries that change.
    pub fn replace<'a>(
        &mut self,
        documents: &BTreeMap<String, StoreAttributes>,
        current: impl Fn(ServerId) -> Option<&'a Endpoint>,
    ) -> Vec<Endpoint> {
        let previous = std::mem::take(&mut self.by_server);
        let mut changed: BTreeMap<ServerId, Endpoint> = BTreeMap::new();
        for (id, document) in &previous {
            changed.extend(document.listed.clone().map(|entry| (*id, entry)));
        }
        for (name, attributes) in documents {
            let id = endpoint_id(name);
            let known = previous.get(&id).map(|document| document.listed.clone());
            let listed = known.unwrap_or_else(|| current(id).cloned()).filter(|entry| entry.name == *name);
            changed.extend(listed.iter().map(|entry| (id, attributes.lay_over(entry))));
            let document = Override { name: name.clone(), attributes: attributes.clone(), listed };
            self.by_server.insert(id, document);
        }
        changed.retain(|id, entry| current(*id).is_some_and(|current| current != entry));
        changed.into_values().collect()
    }
}

#[cfg(test)]
mod tests;
