//! Typed members of JSON objects. Errors name the key and say what is wrong with its value.
use larchway::settings::{as_u64, get};
use miniserde::json::{self, Value};
use std::net::SocketAddr;
use thiserror::Error;

/// Why a text is not a JSON object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum JsonError {
    /// It is not JSON.
    #[error("the configuration is not JSON")]
    NotJson,
    /// It is JSON of another type.
    #[error("the configuration is not an object")]
    NotObject,
}

/// A key whose value cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{key}{problem}")]
pub struct KeyError {
    key: String,
    problem: KeyProblem,
}

/// What is wrong with the value of a key, as it is printed behind the key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyProblem {
    /// There is none.
    #[error(" is missing")]
    Missing,
    /// There is none, neither in the file nor in this variable of the environment.
    #[error(" is missing (or {0})")]
    MissingWithVariable(&'static str),
    /// The list is absent or empty.
    #[error(" is missing or empty")]
    MissingOrEmpty,
    /// It is not a string.
    #[error(" must be a string")]
    NotString,
    /// It is not a list.
    #[error(" must be a list")]
    NotList,
    /// It is a list of something else.
    #[error(" must hold strings")]
    NotStrings,
    /// It is not an object.
    #[error(" must be an object")]
    NotObject,
    /// It is not a key that may be set here.
    #[error(" is none of the keys that may be set: {}", accepted.join(", "))]
    NotSettable {
        /// The keys that may be.
        accepted: &'static [&'static str],
    },
    /// It is not a truth value.
    #[error(" must be true or false")]
    NotBoolean,
    /// It is not a number.
    #[error(" must be a number")]
    NotNumber,
    /// It is not a finite number from 0.
    #[error(" must be a number from 0")]
    NotFromZero,
    /// It is not a finite number above 0.
    #[error(" must be a number above 0")]
    NotAboveZero,
    /// It is not an integer, or too small.
    #[error(" must be a whole number, {least} at least")]
    NotInteger {
        /// The smallest that is accepted.
        least: u64,
    },
    /// It is not an integer from 1.
    #[error(" must be a whole number from 1")]
    NotCount,
    /// It is not an IP address with a port.
    #[error(": {0:?} is not an address with a port")]
    NotAddress(String),
    /// It is not a hexadecimal number.
    #[error(": {0:?} is not hexadecimal")]
    NotHexadecimal(String),
    /// It is none of the values that are accepted.
    #[error(": {value:?} is none of {}", accepted.join(", "))]
    UnknownValue {
        /// What was found.
        value: String,
        /// The values that are accepted.
        accepted: &'static [&'static str],
    },
}

impl KeyError {
    /// A problem with the value of a key.
    pub fn new(key: impl Into<String>, problem: KeyProblem) -> Self {
        KeyError { key: key.into(), problem }
    }

    /// The same problem, with the key seen from the object that holds it under `parent`.
    pub fn within(self, parent: &str) -> Self {
        KeyError { key: format!("{parent}.{}", self.key), problem: self.problem }
    }
}

/// Parses a JSON object.
pub fn parse(text: &str) -> Result<Value, JsonError> {
    let value: Value = json::from_str(text).map_err(|_| JsonError::NotJson)?;
    match value {
        Value::Object(_) => Ok(value),
        _ => Err(JsonError::NotObject),
    }
}

/// A string member, if there is one.
pub fn text<'a>(value: &'a Value, key: &str) -> Result<Option<&'a str>, KeyError> {
    match get(value, key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) => Ok(Some(text)),
        Some(_) => Err(KeyError::new(key, KeyProblem::NotString)),
    }
}

/// Parses an address with a port that stands under a key.
pub fn parse_address(key: &str, text: &str) -> Result<SocketAddr, KeyError> {
    text.parse().map_err(|_| KeyError::new(key, KeyProblem::NotAddress(text.to_string())))
}

/// An address member, if there is one.
pub fn address(value: &Value, key: &str) -> Result<Option<SocketAddr>, KeyError> {
    text(value, key)?.map(|text| parse_address(key, text)).transpose()
}

/// A list member; absent is empty.
pub fn list<'a>(value: &'a Value, key: &str) -> Result<&'a [Value], KeyError> {
    match get(value, key) {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(items)) => Ok(items),
        Some(_) => Err(KeyError::new(key, KeyProblem::NotList)),
    }
}

/// A list of strings; absent is empty.
pub fn texts(value: &Value, key: &str) -> Result<Vec<String>, KeyError> {
    let one = |item: &Value| match item {
        Value::String(text) => Ok(text.clone()),
        _ => Err(KeyError::new(key, KeyProblem::NotStrings)),
    };
    list(value, key)?.iter().map(one).collect()
}

/// An integer member from `least`, with a default.
pub fn integer(value: &Value, key: &str, default: u64, least: u64) -> Result<u64, KeyError> {
    match get(value, key) {
        None | Some(Value::Null) => Ok(default),
        Some(member) => as_u64(member)
            .filter(|number| *number >= least)
            .ok_or_else(|| KeyError::new(key, KeyProblem::NotInteger { least })),
    }
}
