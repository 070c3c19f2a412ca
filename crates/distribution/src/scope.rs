//! Scopes: the subset of the store list that a group of subscribers needs.
use crate::event::{EventNumber, ListKind};
use crate::stores::{ListEvent, StoreEntry};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A selection of stores by site and class, and of the sources from which the caches among them are filled.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Scope {
    /// Sites whose stores belong to the scope; all sites if empty.
    #[serde(default)]
    pub sites: Vec<String>,
    /// Classes whose stores belong to the scope; all classes if empty.
    #[serde(default)]
    pub classes: Vec<String>,
    /// Further stores that belong to the scope: the parents and origins from which the stores of the sites are filled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sources: Option<SourceScope>,
}

/// The sources of a scope's stores.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SourceScope {
    /// Classes of the sources, at least one.
    pub classes: Vec<String>,
    /// Sites of the sources; all sites if empty.
    #[serde(default)]
    pub sites: Vec<String>,
}

impl SourceScope {
    fn contains(&self, store: &StoreEntry) -> bool {
        allows(&self.sites, store.site.as_ref()) && allows(&self.classes, store.class.as_ref())
    }
}

impl Scope {
    /// Whether a store list entry belongs to the scope. An entry without a site or class matches any site or class.
    pub fn contains(&self, store: &StoreEntry) -> bool {
        let is_own = allows(&self.sites, store.site.as_ref()) && allows(&self.classes, store.class.as_ref());
        is_own || self.sources.as_ref().is_some_and(|sources| sources.contains(store))
    }

    /// The data of a list event reduced to this scope; the data of other events is returned unchanged. In a delta, a
    /// store outside of the scope becomes a removal, because it may have belonged to the scope before.
    ///
    /// The result depends on the event's text alone, so relays that hold different parts of the history send the same
    /// text. Subscribers rely on its digest when they move between relays.
    pub fn filter(&self, number: EventNumber, data: &str) -> String {
        let Some(mut event) = ListEvent::read(data) else { return data.to_string() };
        event.stores = match event.kind {
            ListKind::Delta => event.stores.into_iter().map(|store| self.reduce(store)).collect(),
            ListKind::Full => self.filter_full(event.stores),
        };
        event.data(number)
    }

    /// Returns a store of the scope unchanged, and a removal for any other store.
    fn reduce(&self, store: StoreEntry) -> StoreEntry {
        match self.contains(&store) {
            true => store,
            false => StoreEntry::removal(store.host),
        }
    }

    /// The entries of a full list that belong to the scope. All entries of a store that is listed more than once are
    /// returned, those outside of the scope as removals, because the last entry decides.
    fn filter_full(&self, stores: Vec<StoreEntry>) -> Vec<StoreEntry> {
        let mut entries_by_host: BTreeMap<String, usize> = BTreeMap::new();
        for store in &stores {
            *entries_by_host.entry(store.host.clone()).or_default() += 1;
        }
        let repeated = |store: &StoreEntry| entries_by_host.get(&store.host).is_some_and(|&count| count > 1);
        let sent = stores.into_iter().filter(|store| self.contains(store) || repeated(store));
        sent.map(|store| self.reduce(store)).collect()
    }
}

fn allows(names: &[String], name: Option<&String>) -> bool {
    names.is_empty() || name.is_none_or(|name| names.contains(name))
}
