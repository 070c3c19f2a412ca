//! Parses [`Settings`] from JSON, for the adapter and the gateway. Unknown keys are ignored; absent keys get
//! the defaults of the wire format.
use crate::interface::{Class, Effect, Group, Limits, Micros, Settings, Siblings};
use miniserde::json::{self, Number, Value};
use std::time::Duration;

/// Why settings could not be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsError {
    /// The text is not JSON.
    NotJson,
    /// The JSON value is not an object.
    NotObject,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            SettingsError::NotJson => "settings are not JSON",
            SettingsError::NotObject => "settings are not a JSON object",
        })
    }
}

impl std::error::Error for SettingsError {}

/// The member of a JSON object with this key; none for other values.
pub fn get<'a>(value: &'a Value, key: &str) -> Option<&'a Value> {
    match value {
        Value::Object(map) => map.get(key),
        _ => None,
    }
}

/// The value of a JSON number.
pub fn as_f64(value: &Value) -> Option<f64> {
    match value {
        Value::Number(Number::U64(n)) => Some(*n as f64),
        Value::Number(Number::I64(n)) => Some(*n as f64),
        Value::Number(Number::F64(n)) => Some(*n),
        _ => None,
    }
}

/// The value of a JSON number that is a non-negative integer.
pub fn as_u64(value: &Value) -> Option<u64> {
    as_f64(value).filter(|n| *n >= 0.0 && n.fract() == 0.0).map(|n| n as u64)
}

/// The value of a JSON boolean.
pub fn as_bool(value: &Value) -> Option<bool> {
    match value {
        Value::Bool(b) => Some(*b),
        _ => None,
    }
}

fn number(value: &Value, key: &str, default: f64) -> f64 {
    get(value, key).and_then(as_f64).unwrap_or(default)
}

fn duration(value: &Value, key: &str, default_ms: f64) -> Duration {
    span_of_millis(number(value, key, default_ms))
}

fn flag(value: &Value, key: &str, default: bool) -> bool {
    get(value, key).and_then(as_bool).unwrap_or(default)
}

fn string<'a>(value: &'a Value, key: &str) -> &'a str {
    match get(value, key) {
        Some(Value::String(text)) => text,
        _ => "",
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        _ => String::new(),
    }
}

fn list<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    match get(value, key) {
        Some(Value::Array(items)) => items,
        _ => &[],
    }
}

fn index(value: &Value, key: &str) -> Option<usize> {
    get(value, key).and_then(as_u64).map(|n| n as usize)
}

/// Converts milliseconds to whole microseconds, rounded; negative numbers give 0.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

/// Converts milliseconds to a duration of whole microseconds, rounded; negative numbers give zero.
pub fn span_of_millis(ms: f64) -> Duration {
    Duration::from_micros(micros(ms))
}

/// Reads the class with this index; some of its values are in `info`, by index.
fn read_class(value: &Value, index_of_class: usize, info: &Value, limits: &Value) -> Class {
    let by_class = |key: &str| {
        list(info, key).get(index_of_class).and_then(as_f64).map_or(Duration::ZERO, span_of_millis)
    };
    Class {
        latency_objective: duration(value, "targetMs", 0.0),
        objective_stretch: number(value, "aimStretch", 0.0),
        effect: match string(value, "effect") {
            "token" => Effect::IdempotencyKey,
            "side_effect" => Effect::Unsafe,
            _ => Effect::Idempotent,
        },
        group: match string(value, "group") {
            "zone" => Group::Zone,
            "cell" => Group::Cell,
            _ => Group::All,
        },
        window: duration(value, "windowMs", 5000.0),
        fresh: by_class("lifetimeByClassMs"),
        grace: by_class("graceForMs"),
        uncacheable: list(info, "neverKept").get(index_of_class).and_then(as_bool).unwrap_or(false),
        attempts: attempts(limits),
        limits: Some(Limits {
            cancel: flag(limits, "cancel", false),
            duplicates: flag(limits, "mayDuplicate", false),
            max_retry_after: max_retry_after_of(limits),
        }),
    }
}

/// The longest Retry-After sent to clients; zero if none is sent.
fn max_retry_after_of(limits: &Value) -> Duration {
    let retry_after_allowed = flag(limits, "retryAfter", false);
    if retry_after_allowed {
        duration(limits, "maxRetryAfterMs", 0.0)
    } else {
        Duration::ZERO
    }
}

/// Maximum number of attempts for one request.
fn attempts(limits: &Value) -> u64 {
    number(limits, "maxAttempts", 1.0).max(1.0) as u64
}

/// Parses settings from JSON text.
pub fn read(text: &str) -> Result<Settings, SettingsError> {
    let all: Value = json::from_str(text).map_err(|_| SettingsError::NotJson)?;
    read_value(&all)
}

/// Reads settings from a parsed JSON value.
pub fn read_value(all: &Value) -> Result<Settings, SettingsError> {
    if !matches!(all, Value::Object(_)) {
        return Err(SettingsError::NotObject);
    }
    let none = Value::Null;
    let section = |key: &str| get(all, key).unwrap_or(&none);
    let (info, limits, overload_rules) = (section("familyInfo"), section("limits"), section("rules"));
    let services = list(all, "services").iter().enumerate();
    let classes = services.map(|(at, c)| read_class(c, at, info, limits)).collect();
    let defaults = Settings::default();
    let settings = Settings {
        routers: number(all, "balancers", 1.0).max(1.0) as u64,
        router_index: get(all, "me").and_then(as_u64),
        zone: index(all, "locality").unwrap_or(0),
        shares: None,
        zone_routers: list(info, "zoneBalancers").iter().map(|v| as_u64(v).unwrap_or(0)).collect(),
        classes,
        poll_endpoints: string(all, "membershipMode") == "ask",
        parent_kind: index(info, "shieldKind"),
        origin_kind: index(info, "storeKind"),
        flow_kb_per_s: number(info, "oneFlowKbPerS", 0.0),
        link_kb_per_s: list(info, "pipeKbPerS")
            .get(index(all, "locality").unwrap_or(0))
            .and_then(as_f64)
            .unwrap_or(0.0),
        weighted: matches!(string(all, "weightKind"), "nominal" | "rough"),
        siblings: match string(info, "peersFill") {
            "location" => Siblings::Location,
            "any" => Siblings::Any,
            _ => Siblings::None,
        },
        joins: flag(info, "canJoin", false),
        direct: flag(info, "mayPassBy", false),
        cancel: flag(limits, "cancel", false),
        duplicates: flag(limits, "mayDuplicate", false),
        max_attempts: attempts(limits),
        max_retry_after: max_retry_after_of(limits),
        overload_multiple: number(overload_rules, "fallMultiple", defaults.overload_multiple),
        overload_span: duration(overload_rules, "fallMs", 2000.0),
        slow_start_share: number(overload_rules, "startCapacity", defaults.slow_start_share),
        slow_start_span: duration(overload_rules, "warmWithinMs", 20_000.0),
        parent_overload_multiple: number(info, "parentBreaksAt", defaults.parent_overload_multiple),
        parent_slow_start_share: number(info, "parentFloor", defaults.parent_slow_start_share),
        parent_slow_start_span: duration(info, "upperColdMs", 22_000.0),
        purge_done: duration(info, "goneEverywhereMs", 6000.0),
        report: list(section("report"), "fields").iter().map(text).collect(),
    };
    Ok(settings)
}
