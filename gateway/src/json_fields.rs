//! Typed members of JSON objects; errors name the key.
use larchway::settings::{as_u64, get};
use miniserde::json::{self, Value};
use std::net::SocketAddr;

/// Reads JSON text of any kind.
pub fn parse(text: &str) -> Result<Value, String> {
    let all: Value = json::from_str(text).map_err(|_| "the configuration is not JSON".to_string())?;
    match all {
        Value::Object(_) => Ok(all),
        _ => Err("the configuration is not an object".into()),
    }
}

/// A text member, if there is one.
pub fn text<'a>(value: &'a Value, key: &str) -> Result<Option<&'a str>, String> {
    match get(value, key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) => Ok(Some(text)),
        Some(_) => Err(format!("{key} must be a string")),
    }
}

/// An address member, if there is one.
pub fn address(value: &Value, key: &str) -> Result<Option<SocketAddr>, String> {
    let parse = |t: &str| t.parse().map_err(|_| format!("{key}: {t:?} is not an address with a port"));
    text(value, key)?.map(parse).transpose()
}

/// A list member; absent is empty.
pub fn list<'a>(value: &'a Value, key: &str) -> Result<&'a [Value], String> {
    match get(value, key) {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(items)) => Ok(items),
        Some(_) => Err(format!("{key} must be a list")),
    }
}

/// A list of texts; absent is empty.
pub fn texts(value: &Value, key: &str) -> Result<Vec<String>, String> {
    let one = |v: &Value| match v {
        Value::String(text) => Ok(text.clone()),
        _ => Err(format!("{key} must hold strings")),
    };
    list(value, key)?.iter().map(one).collect()
}

/// A whole number member within bounds, with a default.
pub fn whole(value: &Value, key: &str, default: u64, least: u64) -> Result<u64, String> {
    match get(value, key) {
        None | Some(Value::Null) => Ok(default),
        Some(v) => {
            let wrong = || format!("{key} must be a whole number, {least} at least");
            as_u64(v).filter(|n| *n >= least).ok_or_else(wrong)
        }
    }
}
