//! The names and limits of the settings that concern the wires, and the types of what the decision module
//! reads.
use super::numbers::from_zero;
use crate::json_fields::{integer, texts, KeyError, KeyProblem};
use crate::wire_settings::WireSettings;
use larchway::settings::{as_bool, as_f64, as_u64, get, span_of_millis};
use miniserde::json::Value;
use std::time::Duration;

/// Most attempts that share a connection while others could be opened: with more, one broken connection costs
/// many.
const MAX_SHARED_ATTEMPTS: u64 = 16;
/// Milliseconds to connect within, where the settings state none.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 400.0;
/// Milliseconds after which stores close an idle connection, where the settings state none.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 30_000.0;

/// A key of the settings: the part that it stands in, and its name.
type PartKey = (&'static str, &'static str);

/// The times within which a drain and a purge must take effect.
const NOTICE_TIMES: [PartKey; 2] = [("rules", "stopSendingWithinMs"), ("familyInfo", "noticeTimeMs")];
/// What the module reads as a number from 0, and as a truth value, if it is there. Danger: a value of another
/// type would count as absent, and the gateway would serve by the default silently.
const NUMBERS: [PartKey; 8] = [
    ("limits", "maxRetryAfterMs"),
    ("rules", "fallMs"),
    ("rules", "fallMultiple"),
    ("rules", "startCapacity"),
    ("rules", "warmWithinMs"),
    ("familyInfo", "parentBreaksAt"),
    ("familyInfo", "parentFloor"),
    ("familyInfo", "goneEverywhereMs"),
];
const FLAGS: [PartKey; 6] = [
    ("limits", "cancel"),
    ("limits", "mayDuplicate"),
    ("limits", "retryAfter"),
    ("limits", "probes"),
    ("familyInfo", "canJoin"),
    ("familyInfo", "mayPassBy"),
];

/// How many gateways there are, as the module reads it. Danger: taken for one, each gateway sends a store that has just
/// started as much as all of them together may.
const GATEWAY_COUNT: &str = "balancers";

/// Reads what the wires need of the settings.
pub(super) fn read(settings: &Value) -> Result<WireSettings, KeyError> {
    check_types(settings)?;
    let none = Value::Null;
    let limits = get(settings, "limits").unwrap_or(&none);
    let report = get(settings, "report").unwrap_or(&none);
    let names = |key: &str| texts(settings, key).map_err(|error| error.within("settings"));
    Ok(WireSettings {
        zones: names("zones")?,
        load_fields: texts(report, "fields").map_err(|error| error.within("settings.report"))?,
        attempts_per_connection: attempts_per_connection(settings, limits)?,
        machine_kinds: names("models")?,
        connect_timeout: span(limits, "connectTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS)?,
        idle_timeout: span(limits, "connIdleMs", DEFAULT_IDLE_TIMEOUT_MS)?,
        probes_allowed: get(limits, "probes").and_then(as_bool).unwrap_or(false),
        notice_time: notice_time(settings)?,
        ..WireSettings::default()
    })
}

/// Checks that all values that the module would otherwise pass over are of their type.
fn check_types(settings: &Value) -> Result<(), KeyError> {
    integer(settings, GATEWAY_COUNT, 1, 0).map_err(|error| error.within("settings"))?;
    for (part, key) in NUMBERS {
        from_zero(settings, part, key)?;
    }
    for (part, key) in FLAGS {
        match get(settings, part).and_then(|part| get(part, key)) {
            None | Some(Value::Null) => {}
            Some(member) if as_bool(member).is_some() => {}
            Some(_) => {
                return Err(KeyError::new(format!("settings.{part}.{key}"), KeyProblem::NotBoolean));
            }
        }
    }
    Ok(())
}

/// A span of the limits, which is above 0.
fn span(limits: &Value, key: &str, default_ms: f64) -> Result<Duration, KeyError> {
    match get(limits, key) {
        None => Ok(span_of_millis(default_ms)),
        Some(member) => as_f64(member)
            .filter(|milliseconds| *milliseconds > 0.0)
            .map(span_of_millis)
            .ok_or_else(|| KeyError::new(format!("settings.limits.{key}"), KeyProblem::NotAboveZero)),
    }
}

/// Attempts that a connection to a store carries before another one is opened. A reply holds up those behind
/// it, so it is one where handshakes are free. Danger: where handshakes cost and a hundred gateways open a
/// connection for each attempt that meets another, the cost exceeds the wait, and stores run short of
/// connections.
fn attempts_per_connection(settings: &Value, limits: &Value) -> Result<usize, KeyError> {
    let handshake_cost = match get(settings, "costs").and_then(|costs| get(costs, "handshake")) {
        None => 0.0,
        Some(member) => {
            as_f64(member).ok_or_else(|| KeyError::new("settings.costs.handshake", KeyProblem::NotNumber))?
        }
    };
    let limit = match get(limits, "streamsPerConn") {
        None => 1,
        Some(member) => as_u64(member)
            .filter(|count| *count >= 1)
            .ok_or_else(|| KeyError::new("settings.limits.streamsPerConn", KeyProblem::NotCount))?,
    };
    Ok(if handshake_cost > 0.0 { limit.min(MAX_SHARED_ATTEMPTS) as usize } else { 1 })
}

/// The shorter of the times within which an event must take effect, if one is stated.
fn notice_time(settings: &Value) -> Result<Option<Duration>, KeyError> {
    let mut shortest = None;
    for (part, key) in NOTICE_TIMES {
        if let Some(milliseconds) = from_zero(settings, part, key)? {
            let time = span_of_millis(milliseconds);
            shortest = Some(shortest.map_or(time, |other: Duration| other.min(time)));
        }
    }
    Ok(shortest)
}
