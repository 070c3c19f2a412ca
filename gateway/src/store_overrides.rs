//! Documents about stores laid over the endpoint list. A document changes attributes of a listed store; it neither
//! lists nor removes one, and says nothing of its state.
use crate::bulletin::StoreAttributes;
use larchway::{ServerId, State};
use larchway_endpoints::endpoint::endpoint_id;
use larchway_endpoints::{Endpoint, ListScope};
use std::collections::BTreeMap;

/// A store that a document is about.
#[derive(Debug, Clone)]
struct Override {
    /// Ids of two names may be equal.
    name: String,
    attributes: StoreAttributes,
    /// Its entry in the endpoint list, without the document; none if it is not listed.
    listed: Option<Endpoint>,
}

/// The documents about stores that are in force.
#[derive(Debug, Clone, Default)]
pub struct StoreOverrides {
    /// At most as many as there are documents.
    by_server: BTreeMap<ServerId, Override>,
}

impl StoreOverrides {
    /// Takes in the endpoint list or a change of it, and lays the documents over its entries.
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

    /// Puts other documents in the place of these. `current`: the entry of a store as the list has it now, documents
    /// included. Returns the entries that are changed by it.
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
