//! Parsers for the data of an endpoint's node: the bulletin's own format, Finagle's ServerSet members, and Curator's
//! service instances. Host names are not resolved: a host that is not an IP address is an error.
use crate::endpoint::{endpoint_id, index_of_name, Endpoint, ListedEndpoint};
use larchway::{Host, State};
use larchway_unix_time::UnixMicros;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::{IpAddr, SocketAddr};

mod error;
pub mod list_key;
pub use error::{KeyProblem, NodeDataError};

/// The format of a node's data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Form")]
pub enum NodeFormat {
    /// Detected for each node, by its keys.
    #[default]
    Auto,
    /// The bulletin's own: `host`, `dial`, `site`, `class`, `health`, `share`, `block`, `born_ms`.
    Bulletin,
    /// Finagle: `serviceEndpoint`, `status`, `shard`.
    Serverset,
    /// Curator: `id`, `address`, `port`, `payload`.
    Curator,
}

/// The format of the nodes, and values for keys that a node does not have.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Defaults {
    /// The format of the nodes.
    #[serde(rename = "form")]
    pub format: NodeFormat,
    /// The zone of endpoints whose node has none.
    #[serde(rename = "site")]
    pub zone: Option<String>,
    /// The kind of endpoints whose node has none.
    #[serde(rename = "class")]
    pub kind: Option<String>,
    /// The weight of endpoints whose node has none, in concurrent transfers at full rate.
    #[serde(rename = "share")]
    pub weight: Option<f64>,
}

/// The names of the settings that nodes refer to, in the order of the settings.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KnownNames {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds.
    pub kinds: Vec<String>,
}

/// Parses a node's data.
pub fn parse(data: &[u8], names: &KnownNames, defaults: &Defaults) -> Result<ListedEndpoint, NodeDataError> {
    let text = std::str::from_utf8(data).map_err(|_| NodeDataError::NotUtf8)?;
    let value: Value = serde_json::from_str(text).map_err(|_| NodeDataError::NotJson)?;
    if !value.is_object() {
        return Err(NodeDataError::NotAnObject);
    }
    match detect(defaults.format, &value) {
        NodeFormat::Serverset => parse_serverset(&value, names, defaults),
        NodeFormat::Curator => parse_curator(&value, names, defaults),
        NodeFormat::Bulletin | NodeFormat::Auto => parse_bulletin(&value, names, defaults),
    }
}

fn detect(format: NodeFormat, value: &Value) -> NodeFormat {
    match format {
        NodeFormat::Auto if !value["serviceEndpoint"].is_null() => NodeFormat::Serverset,
        NodeFormat::Auto if value[list_key::NAME].is_null() && !value["address"].is_null() => {
            NodeFormat::Curator
        }
        NodeFormat::Auto => NodeFormat::Bulletin,
        configured => configured,
    }
}

fn parse_bulletin(
    value: &Value,
    names: &KnownNames,
    defaults: &Defaults,
) -> Result<ListedEndpoint, NodeDataError> {
    let name = non_empty_string(value, list_key::NAME)?;
    let state = parse_state(value)?;
    let address = string(value, list_key::ADDRESS)?.map(parse_socket_address).transpose()?;
    if address.is_none() && state != State::Removed {
        return Err(NodeDataError::missing(list_key::ADDRESS));
    }
    let host = parse_host(value, &name, state, names, defaults)?;
    let endpoint = Endpoint { host, name, dial: address };
    Ok(ListedEndpoint { endpoint, started: unix_time(value, list_key::STARTED_MS)? })
}

/// Finagle's ServerSet member (`com.twitter.thrift.ServiceInstance` in JSON).
fn parse_serverset(
    value: &Value,
    names: &KnownNames,
    defaults: &Defaults,
) -> Result<ListedEndpoint, NodeDataError> {
    let address =
        parse_service_endpoint(&value["serviceEndpoint"]).map_err(|error| error.within("serviceEndpoint"))?;
    let state = match string(value, "status")?.unwrap_or("ALIVE") {
        "ALIVE" => State::Up,
        // The process runs, and accepts no work yet or no more.
        "STARTING" | "WARMING" | "STOPPING" => State::Draining,
        "STOPPED" | "DEAD" => State::Removed,
        other => return Err(NodeDataError::unknown("status", other)),
    };
    let name = address.to_string();
    let host = parse_host(value, &name, state, names, defaults)?;
    let endpoint = Endpoint { host, name, dial: Some(address) };
    Ok(ListedEndpoint { endpoint, started: unix_time(value, list_key::STARTED_MS)? })
}

fn parse_service_endpoint(value: &Value) -> Result<SocketAddr, NodeDataError> {
    let host = string(value, "host")?.ok_or_else(|| NodeDataError::missing("host"))?;
    let port = value["port"].as_u64().ok_or_else(|| NodeDataError::missing("port"))?;
    parse_address(host, port)
}

/// Curator's `ServiceInstance` in JSON; its payload may have the bulletin's keys.
fn parse_curator(
    value: &Value,
    names: &KnownNames,
    defaults: &Defaults,
) -> Result<ListedEndpoint, NodeDataError> {
    let ip = string(value, "address")?.ok_or_else(|| NodeDataError::missing("address"))?;
    let port = value["port"].as_u64().or(value["sslPort"].as_u64());
    let address = parse_address(ip, port.ok_or_else(|| NodeDataError::missing("port"))?)?;
    let name = non_empty_string(value, "id")?;
    let payload = if value["payload"].is_object() { &value["payload"] } else { &Value::Null };
    let in_payload = |error: NodeDataError| error.within("payload");
    let state = parse_state(payload).map_err(in_payload)?;
    let mut host = parse_host(payload, &name, state, names, defaults).map_err(in_payload)?;
    // Curator sets this when the process creates its instance, and it stays the same over sessions.
    let mut started = unix_time(payload, list_key::STARTED_MS).map_err(in_payload)?;
    if started.is_unset() {
        started = unix_time(value, "registrationTimeUTC")?;
    }
    if value["enabled"] == Value::Bool(false) && host.state == State::Up {
        host.state = State::Draining;
    }
    Ok(ListedEndpoint { endpoint: Endpoint { host, name, dial: Some(address) }, started })
}

/// The bulletin's keys other than the name and the address.
fn parse_host(
    value: &Value,
    name: &str,
    state: State,
    names: &KnownNames,
    defaults: &Defaults,
) -> Result<Host, NodeDataError> {
    let zone = name_index(&names.zones, value, list_key::ZONE, defaults.zone.as_deref());
    let kind = name_index(&names.kinds, value, list_key::MACHINE_KIND, defaults.kind.as_deref());
    // It does not matter where a removed endpoint was.
    let unless_removed = |index: Result<usize, NodeDataError>| {
        if state == State::Removed {
            Ok(index.unwrap_or(0))
        } else {
            index
        }
    };
    Ok(Host {
        server: endpoint_id(name),
        zone: unless_removed(zone)?,
        kind: unless_removed(kind)?,
        cell: number(value, list_key::CELL)?.unwrap_or(0.0) as u64,
        state,
        weight: number(value, list_key::WEIGHT)?.or(defaults.weight).unwrap_or(1.0),
        started: Host::STARTED_LONG_AGO,
    })
}

fn parse_state(value: &Value) -> Result<State, NodeDataError> {
    let name = string(value, list_key::STATE)?.unwrap_or(list_key::DEFAULT_STATE_NAME);
    list_key::state_of_name(name).ok_or_else(|| NodeDataError::unknown(list_key::STATE, name))
}

fn parse_address(host: &str, port: u64) -> Result<SocketAddr, NodeDataError> {
    let not_an_address = |_| NodeDataError::key("host", KeyProblem::NotAnAddress(host.to_string()));
    let ip: IpAddr = host.parse().map_err(not_an_address)?;
    let valid_port = u16::try_from(port).ok().filter(|port| *port > 0);
    let port = valid_port.ok_or_else(|| NodeDataError::key("port", KeyProblem::NotAPort(port)))?;
    Ok(SocketAddr::new(ip, port))
}

fn parse_socket_address(text: &str) -> Result<SocketAddr, NodeDataError> {
    text.parse()
        .map_err(|_| NodeDataError::key(list_key::ADDRESS, KeyProblem::NotASocketAddress(text.to_string())))
}

/// The index of a name of the settings; nodes may have the index itself.
fn name_index(
    names: &[String],
    value: &Value,
    key: &str,
    default: Option<&str>,
) -> Result<usize, NodeDataError> {
    if let Some(index) = value[key].as_u64() {
        let valid = usize::try_from(index).ok().filter(|index| *index < names.len());
        return valid.ok_or_else(|| NodeDataError::key(key, KeyProblem::IndexOutOfRange(index)));
    }
    let name = string(value, key)?.or(default).ok_or_else(|| NodeDataError::missing(key))?;
    index_of_name(names, name).ok_or_else(|| NodeDataError::unknown(key, name))
}

fn string<'a>(value: &'a Value, key: &str) -> Result<Option<&'a str>, NodeDataError> {
    match &value[key] {
        Value::Null => Ok(None),
        Value::String(text) => Ok(Some(text)),
        _ => Err(NodeDataError::key(key, KeyProblem::NotAString)),
    }
}

fn non_empty_string(value: &Value, key: &str) -> Result<String, NodeDataError> {
    let text = string(value, key)?.filter(|text| !text.is_empty());
    text.map(str::to_string).ok_or_else(|| NodeDataError::missing(key))
}

fn number(value: &Value, key: &str) -> Result<Option<f64>, NodeDataError> {
    if value[key].is_null() {
        return Ok(None);
    }
    let number = value[key].as_f64().filter(|number| number.is_finite() && *number >= 0.0);
    number.map(Some).ok_or_else(|| NodeDataError::key(key, KeyProblem::NotANumber))
}

/// A time in ms of the Unix clock; unset if the key is missing.
fn unix_time(value: &Value, key: &str) -> Result<UnixMicros, NodeDataError> {
    Ok(UnixMicros::from_millis(number(value, key)?.unwrap_or(0.0)))
}
