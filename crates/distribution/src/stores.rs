//! The list of stores as events carry it, and the full list merged from them.
use crate::event::{EventNumber, ListKind};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Most stores remembered. With more, the list counts as unknown and no snapshot is given until a full list fits.
pub const MAX_STORES: usize = 32_768;

/// The state of a store in its entry that takes it off the list.
const REMOVED: &str = "removed";

/// One store's entry, its JSON text unchanged.
#[derive(Debug, Clone)]
pub struct StoreEntry {
    /// Host name.
    pub host: String,
    /// Site, as text; none where the entry does not say.
    pub site: Option<String>,
    /// Class, as text; none where the entry does not say.
    pub class: Option<String>,
    /// Whether the store leaves the list by this entry.
    pub removed: bool,
    /// The entry as it came.
    pub json: Arc<str>,
}

/// A list event: the full list or a change to it.
#[derive(Debug, Clone)]
pub struct ListEvent {
    /// Sequence number of the list.
    pub sequence: u64,
    /// What the entries are.
    pub kind: ListKind,
    /// The entries.
    pub stores: Vec<StoreEntry>,
    /// The documents of the same event, their JSON text unchanged.
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

/// The entry that takes a store off the list.
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

/// A name or an index into the configured names, as text.
fn site_or_class_text(value: serde_json::Value) -> Option<String> {
    match value {
        serde_json::Value::String(name) => Some(name),
        serde_json::Value::Number(index) => Some(index.to_string()),
        _ => None,
    }
}

impl StoreEntry {
    /// The entry that takes a store off the list, whatever its site and class.
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
    /// Reads the list out of an event's data; none where it carries none that can be read.
    pub fn read(data: &str) -> Option<ListEvent> {
        let event = serde_json::from_str::<EventForm>(data).ok()?;
        let list = event.roster?;
        let stores = list.hosts.into_iter().map(StoreEntry::read).collect::<Option<Vec<_>>>()?;
        let documents = event.documents.map(|documents| documents.get().into());
        let kind = ListKind::from_wire(list.is_full);
        Some(ListEvent { sequence: list.sequence, kind, stores, documents })
    }

    /// The data of an event under `number` that carries this list.
    pub fn data(&self, number: EventNumber) -> String {
        let list = ListHead { sequence: self.sequence, kind: self.kind };
        let entries = self.stores.iter().map(|store| &*store.json);
        list_data(number, list, entries, self.documents.as_deref())
    }
}

/// A text as JSON; none if it is not.
fn parse_raw_json(json: &str) -> Option<&RawValue> {
    serde_json::from_str(json).ok()
}

/// What a list event says of the list beside its entries.
struct ListHead {
    sequence: u64,
    kind: ListKind,
}

/// The data of a list event made from entries and documents in JSON.
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
    /// By host name; at most [`MAX_STORES`], see there.
    stores: BTreeMap<String, StoreEntry>,
    complete: bool,
}

impl StoreList {
    /// Takes in a list event. Cost: O(log n) an entry.
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

    /// Drops the list: it is unknown until the next full one.
    pub fn clear(&mut self) {
        self.stores.clear();
        self.complete = false;
    }

    /// Whether a full list came and every change since.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Number of stores on the list.
    pub fn len(&self) -> usize {
        self.stores.len()
    }

    /// Whether no store is listed.
    pub fn is_empty(&self) -> bool {
        self.stores.is_empty()
    }

    /// The full list as one event, of the stores that pass `filter`, with the JSON text of all documents, if any; none
    /// while it is not complete.
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
