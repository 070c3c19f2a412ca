//! Parser for the events of the bulletin, the source of purges and of changes to the endpoint list: the data of
//! numbered server-sent events over HTTP.
mod attributes;

pub use attributes::StoreAttributes;

use crate::json_fields::{address, integer, list, text, KeyError, KeyProblem};
use crate::wire_settings::WireSettings;
use larchway::settings::{as_f64, as_u64, get};
use larchway::{Host, MonotonicTime, State};
use larchway_endpoints::endpoint::{endpoint_id, index_of_name, ListedEndpoint};
use larchway_endpoints::format::list_key;
use larchway_endpoints::{Endpoint, ListScope};
use larchway_unix_time::UnixMicros;
use miniserde::json::{self, Value};
use std::time::Duration;
use thiserror::Error;

/// Keys of the wire, by what their values are here; those of an endpoint are in [`list_key`].
mod wire_key {
    /// Of an event: its number.
    pub(super) const EVENT_NUMBER: &str = "no";
    /// Of an event: the endpoint list or a change of it.
    pub(super) const ENDPOINT_LIST: &str = "roster";
    /// Of an event: a purge.
    pub(super) const PURGE: &str = "recall";

    /// Of an endpoint list: whether it is complete.
    pub(super) const IS_COMPLETE: &str = "whole";
    /// Of an endpoint list: its entries.
    pub(super) const ENDPOINTS: &str = "hosts";

    /// Of a purge: the object, in hexadecimal digits.
    pub(super) const OBJECT: &str = "item";
    /// Of a purge: the group.
    pub(super) const GROUP: &str = "lot";
    /// Of a purge: when it was issued, in ms of Unix time.
    pub(super) const ISSUED_MS: &str = "issued";
}

/// The weight of an endpoint whose entry gives none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Why an event cannot be read. The texts name the key of the wire.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EventError {
    /// Its data is not JSON.
    #[error("an event is not JSON")]
    NotJson,
    /// The value of a key cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// A zone, machine kind or state is none of those known here.
    #[error("{key}: {name:?} is unknown")]
    UnknownName {
        /// The key.
        key: &'static str,
        /// Its value.
        name: String,
    },
    /// The id of a purged object is not a hexadecimal number of 64 bits.
    #[error("{key}: {0:?} is no object", key = wire_key::OBJECT)]
    InvalidObject(String),
}

impl EventError {
    fn missing(key: &str) -> Self {
        KeyError::new(key, KeyProblem::Missing).into()
    }
}

/// One numbered event.
#[derive(Debug, Clone)]
pub struct BulletinEvent {
    /// Its number; later events have higher ones.
    pub number: u64,
    /// Its content.
    pub body: EventBody,
}

/// The content of an event, with times of the source's Unix clock.
#[derive(Debug, Clone)]
pub enum EventBody {
    /// The endpoint list or a change of it.
    EndpointList {
        /// What the entries cover: with a complete list, an endpoint without one is removed.
        scope: ListScope,
        /// The entries.
        endpoints: Vec<ListedEndpoint>,
    },
    /// A purge of cached copies.
    Purge {
        /// The object, or none for all objects of the group.
        object: Option<u64>,
        /// The group; 0 if an object is named.
        group: u64,
        /// When the purge was issued.
        issued: UnixMicros,
    },
    /// An event of another type, which has no effect here.
    Other,
}

/// The content of an event, with times of the gateway's monotonic clock.
#[derive(Debug, Clone)]
pub enum Change {
    /// The endpoint list or a change of it.
    EndpointList {
        /// What the entries cover: with a complete list, an endpoint without one is removed.
        scope: ListScope,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A purge of cached copies.
    Purge {
        /// The object, or none for all objects of the group.
        object: Option<u64>,
        /// The group; 0 if an object is named.
        group: u64,
        /// When the purge was issued, as reported: to be compared only with the reported issue times of copies.
        issued: MonotonicTime,
        /// The time since the purge was issued, at least.
        age: Duration,
    },
}

/// Parses the data of a server-sent event.
pub fn parse_event(data: &str, wire_settings: &WireSettings) -> Result<BulletinEvent, EventError> {
    let value: Value = json::from_str(data).map_err(|_| EventError::NotJson)?;
    read_event(&value, wire_settings)
}

/// Reads an event from parsed JSON.
pub fn read_event(value: &Value, wire_settings: &WireSettings) -> Result<BulletinEvent, EventError> {
    let number = get(value, wire_key::EVENT_NUMBER)
        .and_then(as_u64)
        .ok_or_else(|| EventError::missing(wire_key::EVENT_NUMBER))?;
    let body = if let Some(endpoint_list) = get(value, wire_key::ENDPOINT_LIST) {
        read_endpoint_list(endpoint_list, wire_settings)?
    } else if let Some(purge) = get(value, wire_key::PURGE) {
        read_purge(purge)?
    } else {
        EventBody::Other
    };
    Ok(BulletinEvent { number, body })
}

fn read_endpoint_list(value: &Value, wire_settings: &WireSettings) -> Result<EventBody, EventError> {
    let entries = list(value, wire_key::ENDPOINTS)?.iter();
    let endpoints = entries.map(|entry| read_endpoint(entry, wire_settings)).collect::<Result<_, _>>()?;
    let scope = match get(value, wire_key::IS_COMPLETE) {
        Some(Value::Bool(true)) => ListScope::Complete,
        _ => ListScope::Changes,
    };
    Ok(EventBody::EndpointList { scope, endpoints })
}

fn read_endpoint(value: &Value, wire_settings: &WireSettings) -> Result<ListedEndpoint, EventError> {
    let name = text(value, list_key::NAME)?.ok_or_else(|| EventError::missing(list_key::NAME))?.to_string();
    let state = read_state(value)?;
    // A removed endpoint may lie in a zone, or be of a kind, that is not configured any more.
    let name_index = |names: &[String], key: &'static str| match read_name_index(names, value, key) {
        Err(_) if state == State::Removed => Ok(0),
        result => result,
    };
    let host = Host {
        server: endpoint_id(&name),
        zone: name_index(&wire_settings.zones, list_key::ZONE)?,
        kind: name_index(&wire_settings.machine_kinds, list_key::MACHINE_KIND)?,
        cell: get(value, list_key::CELL).and_then(as_u64).unwrap_or(0),
        state,
        weight: get(value, list_key::WEIGHT).and_then(as_f64).unwrap_or(DEFAULT_WEIGHT),
        started: Host::STARTED_LONG_AGO,
    };
    let endpoint = Endpoint { host, name, dial: address(value, list_key::ADDRESS)? };
    let started_ms = get(value, list_key::STARTED_MS).and_then(as_f64).unwrap_or(0.0);
    Ok(ListedEndpoint { endpoint, started: UnixMicros::from_millis(started_ms) })
}

fn read_state(value: &Value) -> Result<State, EventError> {
    let name = text(value, list_key::STATE)?.unwrap_or(list_key::DEFAULT_STATE_NAME);
    let unknown = || EventError::UnknownName { key: list_key::STATE, name: name.to_string() };
    list_key::state_of_name(name).ok_or_else(unknown)
}

/// The index of a zone or machine kind, which is given by its name or as the index itself.
fn read_name_index(names: &[String], value: &Value, key: &'static str) -> Result<usize, EventError> {
    if let Some(Value::Number(_)) = get(value, key) {
        return Ok(integer(value, key, 0, 0)? as usize);
    }
    let name = text(value, key)?.unwrap_or("");
    index_of_name(names, name).ok_or_else(|| EventError::UnknownName { key, name: name.to_string() })
}

fn read_purge(value: &Value) -> Result<EventBody, EventError> {
    let object = text(value, wire_key::OBJECT)?.map(parse_object).transpose()?;
    let issued_ms = get(value, wire_key::ISSUED_MS)
        .and_then(as_f64)
        .ok_or_else(|| EventError::missing(wire_key::ISSUED_MS))?;
    let group = integer(value, wire_key::GROUP, 0, 0)?;
    Ok(EventBody::Purge { object, group, issued: UnixMicros::from_millis(issued_ms) })
}

fn parse_object(digits: &str) -> Result<u64, EventError> {
    u64::from_str_radix(digits, 16).map_err(|_| EventError::InvalidObject(digits.to_string()))
}

#[cfg(test)]
mod tests;
