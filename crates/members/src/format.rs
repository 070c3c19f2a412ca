//! The forms of node data: the bulletin's, Finagle's ServerSet members and Curator's service instances. Names are not
//! looked up: a host that is no address is a fault of the node.
use crate::entry::{place, store_id, Entry};
use larchway::{settings::micros, Host, State};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::{IpAddr, SocketAddr};

/// The form of a node's data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// Told apart by their keys.
    #[default]
    Auto,
    /// An entry of the bulletin: `host`, `dial`, `site`, `class`, `health`, `share`, `block`, `born_ms`.
    Bulletin,
    /// Finagle: `serviceEndpoint`, `status`, `shard`.
    Serverset,
    /// Curator: `id`, `address`, `port`, `payload`.
    Curator,
}

/// What forms that know no zones and kinds leave open.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Defaults {
    /// The form of the nodes.
    pub form: Form,
    /// The zone of boxes whose node names none.
    pub site: Option<String>,
    /// The kind of boxes whose node names none.
    pub class: Option<String>,
    /// The size of boxes whose node names none, in transfers at full pace.
    pub share: Option<f64>,
}

/// The names that the settings know, in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Names {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds.
    pub kinds: Vec<String>,
}

fn text<'a>(value: &'a Value, key: &str) -> Result<Option<&'a str>, String> {
    match &value[key] {
        Value::Null => Ok(None),
        Value::String(text) => Ok(Some(text)),
        _ => Err(format!("{key} must be a string")),
    }
}

fn number(value: &Value, key: &str) -> Result<Option<f64>, String> {
    match &value[key] {
        Value::Null => Ok(None),
        v => v
            .as_f64()
            .filter(|n| n.is_finite() && *n >= 0.0)
            .map(Some)
            .ok_or(format!("{key} must be a number from 0")),
    }
}

fn located(names: &[String], value: &Value, key: &str, default: Option<&String>) -> Result<usize, String> {
    if let Some(at) = value[key].as_u64() {
        let at = usize::try_from(at).unwrap_or(usize::MAX);
        return if at < names.len() { Ok(at) } else { Err(format!("{key}: {at} is beyond the settings")) };
    }
    let name = text(value, key)?.or(default.map(String::as_str)).ok_or(format!("{key} is missing"))?;
    place(names, name).ok_or_else(|| format!("{key}: {name:?} is unknown"))
}

fn address(host: &str, port: u64) -> Result<SocketAddr, String> {
    let ip: IpAddr = host.parse().map_err(|_| format!("host {host:?} is not an address"))?;
    let port = u16::try_from(port).ok().filter(|p| *p > 0).ok_or(format!("port {port} is not a port"))?;
    Ok(SocketAddr::new(ip, port))
}

/// Reads a node's data. Errors name the key.
pub fn read(data: &[u8], names: &Names, defaults: &Defaults) -> Result<Entry, String> {
    let text_ = std::str::from_utf8(data).map_err(|_| "it is not UTF-8".to_string())?;
    let value: Value = serde_json::from_str(text_).map_err(|_| "it is not JSON".to_string())?;
    if !value.is_object() {
        return Err("it is not an object".into());
    }
    let form = match defaults.form {
        Form::Auto if !value["serviceEndpoint"].is_null() => Form::Serverset,
        Form::Auto if value["host"].is_null() && !value["address"].is_null() => Form::Curator,
        Form::Auto => Form::Bulletin,
        form => form,
    };
    match form {
        Form::Serverset => serverset(&value, names, defaults),
        Form::Curator => curator(&value, names, defaults),
        _ => bulletin(&value, names, defaults),
    }
}

fn state(value: &Value) -> Result<State, String> {
    match text(value, "health")?.unwrap_or("up") {
        "up" => Ok(State::Up),
        "draining" => Ok(State::Draining),
        "removed" => Ok(State::Removed),
        other => Err(format!("health: {other:?} is unknown")),
    }
}

/// What the bulletin's keys say of a box, beside its name and address.
fn host(value: &Value, name: &str, state: State, names: &Names, defaults: &Defaults) -> Result<Host, String> {
    let gone = state == State::Removed;
    let or_none = |place: Result<usize, String>| if gone { Ok(place.unwrap_or(0)) } else { place };
    Ok(Host {
        server: store_id(name),
        zone: or_none(located(&names.zones, value, "site", defaults.site.as_ref()))?,
        kind: or_none(located(&names.kinds, value, "class", defaults.class.as_ref()))?,
        cell: number(value, "block")?.unwrap_or(0.0) as u64,
        state,
        weight: number(value, "share")?.or(defaults.share).unwrap_or(1.0),
        started: micros(number(value, "born_ms")?.unwrap_or(0.0)),
    })
}

fn bulletin(value: &Value, names: &Names, defaults: &Defaults) -> Result<Entry, String> {
    let name = text(value, "host")?.filter(|n| !n.is_empty()).ok_or("host is missing")?.to_string();
    let state = state(value)?;
    let dial = text(value, "dial")?;
    let dial = dial.map(|t| t.parse().map_err(|_| format!("dial: {t:?} is not an address with a port")));
    let dial: Option<SocketAddr> = dial.transpose()?;
    if dial.is_none() && state != State::Removed {
        return Err("dial is missing".into());
    }
    Ok(Entry { host: host(value, &name, state, names, defaults)?, name, dial })
}

/// Finagle's ServerSet member (`com.twitter.thrift.ServiceInstance` in JSON).
fn serverset(value: &Value, names: &Names, defaults: &Defaults) -> Result<Entry, String> {
    let end = &value["serviceEndpoint"];
    let wrong = |e: String| format!("serviceEndpoint.{e}");
    let at = text(end, "host").map_err(wrong)?.ok_or("serviceEndpoint.host is missing")?;
    let port = end["port"].as_u64().ok_or("serviceEndpoint.port is missing")?;
    let dial = address(at, port).map_err(wrong)?;
    let state = match text(value, "status")?.unwrap_or("ALIVE") {
        "ALIVE" => State::Up,
        // It is there, and wants no work yet or any more.
        "STARTING" | "WARMING" | "STOPPING" => State::Draining,
        "STOPPED" | "DEAD" => State::Removed,
        other => return Err(format!("status: {other:?} is unknown")),
    };
    let name = dial.to_string();
    Ok(Entry { host: host(value, &name, state, names, defaults)?, name, dial: Some(dial) })
}

/// Curator's `ServiceInstance` in JSON; its payload may hold the bulletin's keys.
fn curator(value: &Value, names: &Names, defaults: &Defaults) -> Result<Entry, String> {
    let at = text(value, "address")?.ok_or("address is missing")?;
    let port = value["port"].as_u64().or(value["sslPort"].as_u64()).ok_or("port is missing")?;
    let dial = address(at, port)?;
    let name = text(value, "id")?.filter(|n| !n.is_empty()).ok_or("id is missing")?.to_string();
    let payload = if value["payload"].is_object() { &value["payload"] } else { &Value::Null };
    let within = |e: String| format!("payload.{e}");
    let state = state(payload).map_err(within)?;
    let mut host = host(payload, &name, state, names, defaults).map_err(within)?;
    // Set when the process made its instance, and kept over sessions: it tells one process from the next.
    if host.started == 0 {
        host.started = micros(number(value, "registrationTimeUTC")?.unwrap_or(0.0));
    }
    if value["enabled"] == Value::Bool(false) && host.state == State::Up {
        host.state = State::Draining;
    }
    Ok(Entry { host, name, dial: Some(dial) })
}

#[cfg(test)]
mod tests;
