//! The store list as carried by events, and the full list merged from these events.
use crate::event::{EventNumber, ListKind};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of stores. If a list exceeds it, the list counts as unknown and no snapshot is available until a full
/// list fits.
pub const MAX_STORES: usize = 32_768;

/// The `health` value of an entry that removes the store from the list.
const REMOVED: &str = "removed";

/// A store's list entry with its unchanged JSON text.
#[derive(Debug, Clone)]
pub struct StoreEntry {
    /// Host name.
    pub host: String,
    /// Name or index of the site, as text; absent if the entry has none.
    pub site: Option<String>,
    /// Name or index of the class, as text; absent if the entry has none.
    pub class: Option<String>,
    /// Whether this entry removes the store from the list.
    pub removed: bool,
    /// The entry's JSON text as received.
    pub json: Arc<str>,
}

/// The store list part of an event: the full list or a delta.
#[derive(Debug, Clone)]
pub struct ListEvent {
    /// Sequence number of the list.
    pub sequence: u64,
    /// Whether `stores` is the full list or a delta.
    pub kind: ListKind,
    /// The entries in the order of the event.
    pub stores: Vec<StoreEntry>,
    /// The unchanged JSON text of the documents in the same event, if any.
    pub documents: Option<Arc<str>>,
}

#[derive(Deserialize)]
struct EventForm<'a> {
    #[serde(borrow)]
    roster: Option<ListForm<'a>>,
    #[serde(borrow)]
    documents: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct ListForm<'a> {
    #[serde(default, rename = "seq")]
    sequence: u64,
    #[serde(default, rename = "whole")]
    is_full: bool,
    #[serde(default, borrow)]
    hosts: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct StoreForm {
    host: String,
    #[serde(default)]
    site: serde_json::Value,
    #[serde(default)]
    class: serde_json::Value,
    health: Option<String>,
}

/// The serialized form of a removal entry.
#[derive(Serialize)]
struct RemovalOutput<'a> {
    host: &'a str,
    health: &'static str,
}

#[derive(Serialize)]
struct EventOutput<'a> {
    #[serde(rename = "no")]
    number: EventNumber,
    roster: ListOutput<'a>,
    #[serde(skip_serializing_if = "Option::is_none")]
    documents: Option<&'a RawValue>,
}

#[derive(Serialize)]
struct ListOutput<'a> {
    #[serde(rename = "seq")]
    sequence: u64,
    #[serde(rename = "whole")]
    is_full: bool,
    hosts: Vec<&'a RawValue>,
}

/// Converts a site or class, given as a name or as an index into the configured names, to text.
fn site_or_class_text(value: serde_json::Value) -> Option<String> {
    match value {
        serde_json::Value::String(name) => Some(name),
        serde_json::Value::Number(index) => Some(index.to_string()),
        _ => None,
    }
}

impl StoreEntry {
    /// An entry that removes a store from the list. It has no site and no class, so it matches every scope.
    pub fn removal(host: String) -> StoreEntry {
        let output = RemovalOutput { host: &host, health: REMOVED };
        let json = serde_json::to_string(&output).unwrap_or_default().into();
        StoreEntry { host, site: None, class: None, removed: true, json }
    }

    fn read(raw: &RawValue) -> Option<StoreEntry> {
        let form: StoreForm = serde_json::from_str(raw.get()).ok()?;
        Some(StoreEntry {
            host: form.host,
            site: site_or_class_text(form.site),
            class: site_or_class_text(form.class),
            removed: form.health.as_deref() == Some(REMOVED),
            json: raw.get().into(),
        })
    }
}

impl ListEvent {
    /// Reads the store list from an event's data. Returns `None` if there is no readable list.
    pub fn read(data: &str) -> Option<ListEvent> {
        let event = serde_json::from_str::<EventForm>(data).ok()?;
        let list = event.roster?;
        let stores = list.hosts.into_iter().map(StoreEntry::read).collect::<Option<Vec<_>>>()?;
        let documents = event.documents.map(|documents| documents.get().into());
        let kind = ListKind::from_wire(list.is_full);
        Some(ListEvent { sequence: list.sequence, kind, stores, documents })
    }

    /// The data of an event with this number that carries this list.
    pub fn data(&self, number: EventNumber) -> String {
        let list = ListHead { sequence: self.sequence, kind: self.kind };
        let entries = self.stores.iter().map(|store| &*store.json);
        list_data(number, list, entries, self.documents.as_deref())
    }
}

/// Returns the text as raw JSON, or `None` if it is not valid JSON.
fn parse_raw_json(json: &str) -> Option<&RawValue> {
    serde_json::from_str(json).ok()
}

/// The fields of a list event other than its entries.
struct ListHead {
    sequence: u64,
    kind: ListKind,
}

/// Serializes a list event from entries and documents that are already JSON.
fn list_data<'a>(
    number: EventNumber,
    list: ListHead,
    entries: impl Iterator<Item = &'a str>,
    documents: Option<&'a str>,
) -> String {
    let hosts = entries.filter_map(parse_raw_json).collect();
    let roster = ListOutput { sequence: list.sequence, is_full: list.kind == ListKind::Full, hosts };
    let event = EventOutput { number, roster, documents: documents.and_then(parse_raw_json) };
    serde_json::to_string(&event).unwrap_or_default()
}

/// The full list of stores, merged from list events.
#[derive(Debug, Clone, Default)]
pub struct StoreList {
    sequence: u64,
    /// Entries by host name. Bounded by [`MAX_STORES`]; the list is cleared when it would exceed that.
    stores: BTreeMap<String, StoreEntry>,
    complete: bool,
}

impl StoreList {
    /// Applies a list event. Costs O(log n) per entry.
    pub fn apply(&mut self, event: ListEvent) {
        self.sequence = event.sequence;
        if event.kind == ListKind::Full {
            self.stores.clear();
            self.complete = true;
        }
        for store in event.stores {
            self.apply_entry(store);
        }
    }

    fn apply_entry(&mut self, store: StoreEntry) {
        if store.removed {
            self.stores.remove(&store.host);
            return;
        }
        if self.stores.len() >= MAX_STORES && !self.stores.contains_key(&store.host) {
            self.clear();
            return;
        }
        self.stores.insert(store.host.clone(), store);
    }

    /// Clears the list. It is incomplete until the next full list.
    pub fn clear(&mut self) {
        self.stores.clear();
        self.complete = false;
    }

    /// Whether the list is based on a full list and includes every change since.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Number of stores on the list.
    pub fn len(&self) -> usize {
        self.stores.len()
    }

    /// Whether the list has no stores.
    pub fn is_empty(&self) -> bool {
        self.stores.is_empty()
    }

    /// Serializes the stores that pass `filter`, and the JSON text of all documents if given, as one full list event.
    /// Returns `None` while the list is incomplete.
    pub fn snapshot(
        &self,
        number: EventNumber,
        filter: impl Fn(&StoreEntry) -> bool,
        documents: Option<&str>,
    ) -> Option<String> {
        if !self.complete {
            return None;
        }
        let entries = self.stores.values().filter(|store| filter(store)).map(|store| &*store.json);
        let list = ListHead { sequence: self.sequence, kind: ListKind::Full };
        Some(list_data(number, list, entries, documents))
    }
}
