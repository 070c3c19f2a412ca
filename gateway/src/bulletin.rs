//! The bulletin: purges and changes to the list of stores, as numbered server-sent events over HTTP.
use crate::json_fields::{address, list, text, whole};
use crate::terms::Terms;
use larchway::settings::{as_f64, as_u64, get, micros};
use larchway::{Host, Micros, State};
use miniserde::json::{self, Value};

/// One numbered event.
#[derive(Debug, Clone)]
pub struct BulletinEvent {
    /// Its number.
    pub no: u64,
    /// What it tells.
    pub body: EventBody,
}

/// What an event tells.
#[derive(Debug, Clone)]
pub enum EventBody {
    /// Entries of the list of stores; whether they are the whole list.
    Roster {
        /// Whether the entries are the whole list.
        whole: bool,
        /// The entries.
        stores: Vec<Store>,
    },
    /// A purge.
    Recall {
        /// The object, or none for a whole group.
        object: Option<u64>,
        /// The group.
        group: u64,
        /// When it was purged, on the Unix clock.
        issued: Micros,
    },
    /// Nothing known here.
    Other,
}

pub use larchway_members::entry::store_id;
pub use larchway_members::Entry as Store;

fn place(names: &[String], value: &Value, key: &str) -> Result<usize, String> {
    match get(value, key) {
        Some(Value::Number(_)) => whole(value, key, 0, 0).map(|n| n as usize),
        _ => {
            let name = text(value, key)?.unwrap_or("");
            larchway_members::entry::place(names, name).ok_or_else(|| format!("{key}: {name:?} is unknown"))
        }
    }
}

/// Reads an entry of a list of stores.
pub fn store(value: &Value, terms: &Terms) -> Result<Store, String> {
    let name = text(value, "host")?.ok_or("host is missing")?.to_string();
    let state = match text(value, "health")?.unwrap_or("up") {
        "up" => State::Up,
        "draining" => State::Draining,
        "removed" => State::Removed,
        other => return Err(format!("health: {other:?} is unknown")),
    };
    let gone = state == State::Removed;
    let number = |key: &str, default: f64| get(value, key).and_then(as_f64).unwrap_or(default);
    let host = Host {
        server: store_id(&name),
        zone: place(&terms.zones, value, "site").or_else(|e| if gone { Ok(0) } else { Err(e) })?,
        kind: place(&terms.kinds, value, "class").or_else(|e| if gone { Ok(0) } else { Err(e) })?,
        cell: get(value, "block").and_then(as_u64).unwrap_or(0),
        state,
        weight: number("share", 1.0),
        started: micros(number("born_ms", 0.0)),
    };
    Ok(Store { host, name, dial: address(value, "dial")? })
}

/// Reads one event.
pub fn item(value: &Value, terms: &Terms) -> Result<BulletinEvent, String> {
    let no = get(value, "no").and_then(as_u64).ok_or("no is missing")?;
    let body = if let Some(roster) = get(value, "roster") {
        let hosts = list(roster, "hosts")?;
        let whole = matches!(get(roster, "whole"), Some(Value::Bool(true)));
        EventBody::Roster { whole, stores: hosts.iter().map(|h| store(h, terms)).collect::<Result<_, _>>()? }
    } else if let Some(recall) = get(value, "recall") {
        let object = match text(recall, "item")? {
            None => None,
            Some(t) => Some(u64::from_str_radix(t, 16).map_err(|_| format!("item: {t:?} is no object"))?),
        };
        let issued = get(recall, "issued").and_then(as_f64).ok_or("issued is missing")?;
        EventBody::Recall { object, group: whole(recall, "lot", 0, 0)?, issued: micros(issued) }
    } else {
        EventBody::Other
    };
    Ok(BulletinEvent { no, body })
}

/// Reads the data of one event.
pub fn event(data: &str, terms: &Terms) -> Result<BulletinEvent, String> {
    let value: Value = json::from_str(data).map_err(|_| "an event is not JSON".to_string())?;
    item(&value, terms)
}

#[cfg(test)]
mod tests;
