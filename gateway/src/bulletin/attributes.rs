//! Attributes of a store that a document sets, in the keys of its entry in the endpoint list.
use super::{read_name_index, EventError};
use crate::json_fields::{address, KeyError, KeyProblem};
use crate::wire_settings::WireSettings;
use larchway::settings::{as_f64, as_u64, get};
use larchway::Host;
use larchway_endpoints::format::list_key;
use larchway_endpoints::Endpoint;
use miniserde::json::Value;
use std::net::SocketAddr;

/// Keys that a document may set. The state and the start of a store come by the endpoint list alone: a document that
/// held a store up would have it sent requests after word of its drain.
const SETTABLE: [&str; 5] =
    [list_key::ADDRESS, list_key::ZONE, list_key::MACHINE_KIND, list_key::CELL, list_key::WEIGHT];

/// What a document sets of a store; the rest is that of its entry in the endpoint list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoreAttributes {
    /// The address to connect to.
    pub dial: Option<SocketAddr>,
    /// The index of its zone.
    pub zone: Option<usize>,
    /// The index of the kind of its machine.
    pub kind: Option<usize>,
    /// Its cell.
    pub cell: Option<u64>,
    /// Its weight.
    pub weight: Option<f64>,
}

impl StoreAttributes {
    /// Reads them.
    ///
    /// # Errors
    ///
    /// Names the first key that a document may not set, or whose value cannot be used.
    pub fn read(value: &Value, wire_settings: &WireSettings) -> Result<StoreAttributes, EventError> {
        let Value::Object(members) = value else {
            return Err(KeyError::new("content", KeyProblem::NotObject).into());
        };
        if let Some(key) = members.keys().find(|key| !SETTABLE.contains(&key.as_str())) {
            return Err(KeyError::new(key.clone(), KeyProblem::NotSettable { accepted: &SETTABLE }).into());
        }
        let index = |names: &[String], key: &'static str| match get(value, key) {
            None => Ok(None),
            Some(_) => read_name_index(names, value, key).map(Some),
        };
        Ok(StoreAttributes {
            dial: address(value, list_key::ADDRESS)?,
            zone: index(&wire_settings.zones, list_key::ZONE)?,
            kind: index(&wire_settings.machine_kinds, list_key::MACHINE_KIND)?,
            cell: read_cell(value)?,
            weight: read_weight(value)?,
        })
    }

    /// The entry of a store with these attributes in the place of its own.
    pub fn lay_over(&self, entry: &Endpoint) -> Endpoint {
        let host = Host {
            zone: self.zone.unwrap_or(entry.host.zone),
            kind: self.kind.unwrap_or(entry.host.kind),
            cell: self.cell.unwrap_or(entry.host.cell),
            weight: self.weight.unwrap_or(entry.host.weight),
            ..entry.host.clone()
        };
        Endpoint { host, name: entry.name.clone(), dial: self.dial.or(entry.dial) }
    }
}

fn read_cell(value: &Value) -> Result<Option<u64>, KeyError> {
    let wrong = || KeyError::new(list_key::CELL, KeyProblem::NotInteger { least: 0 });
    get(value, list_key::CELL).map(|cell| as_u64(cell).ok_or_else(wrong)).transpose()
}

/// Danger: a weight of 0 would take the store out of service, which the list and the operators' ejection are for.
fn read_weight(value: &Value) -> Result<Option<f64>, KeyError> {
    let wrong = || KeyError::new(list_key::WEIGHT, KeyProblem::NotAboveZero);
    let above_zero = |weight: &f64| *weight > 0.0 && weight.is_finite();
    get(value, list_key::WEIGHT).map(|weight| as_f64(weight).filter(above_zero).ok_or_else(wrong)).transpose()
}
