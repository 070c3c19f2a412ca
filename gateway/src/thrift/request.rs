//! The fields of a request, checked and read. Stores close a connection on which they receive what they cannot read or
//! use, with all else that is open on it, so no such request may go on to one.
use super::error::RequestError;
use crate::core::Request;
use crate::spans::floor_millis;
use crate::wire_settings::WireSettings;
use std::time::Duration;

/// Bytes of the body of a write at most.
const MAX_BODY_BYTES: usize = 48_000;
/// Size of a part that a request may state at most, in KB: far above any object, below what breaks arithmetic.
const MAX_SIZE_KB: f64 = 1e9;
/// Highest part of an object.
const MAX_PART: u64 = 1_000_000;
/// Highest group of objects.
const MAX_GROUP: u64 = 255;
/// Milliseconds that a client waits at most, where the settings state no deadline of the class.
const MAX_TIMEOUT_MS: u64 = 600_000;
/// A client may wait this many times the deadline of the class.
const DEADLINE_MULTIPLE: u32 = 2;
/// Characters of a tag or a key at most.
const MAX_NAME_LENGTH: usize = 64;
/// Digits of a decimal number at most.
const MAX_DIGITS: usize = 15;
/// Digits of an id in hexadecimal.
const ID_DIGITS: usize = 16;
/// Characters of a size at most.
const MAX_SIZE_LENGTH: usize = 24;

/// The names of the fields on this wire.
mod field_name {
    pub(super) const OPERATION: &str = "op";
    pub(super) const CALL: &str = "call";
    pub(super) const OBJECT: &str = "row";
    pub(super) const TIMEOUT: &str = "ttl";
    pub(super) const IDEMPOTENCY_KEY: &str = "dedupe";
    pub(super) const SIZE: &str = "heap";
    pub(super) const PART: &str = "block";
    pub(super) const GROUP: &str = "family";
    pub(super) const CLIENT_TAG: &str = "cached";
}

fn invalid(field: &'static str, value: &str) -> RequestError {
    RequestError::InvalidValue { field, value: value.to_string() }
}

/// Reads the fields and the body of a request.
pub(super) fn read_request(
    settings: &WireSettings,
    fields: &[(&str, &str)],
    body: &[u8],
) -> Result<Request, RequestError> {
    let field = |name: &str| fields.iter().find(|(key, _)| *key == name).map(|(_, value)| *value);
    let required = |name: &'static str| field(name).ok_or(RequestError::Missing(name));
    check_unique(fields)?;
    let operation = required(field_name::OPERATION)?;
    let class =
        settings.class(operation).ok_or_else(|| RequestError::UnknownOperation(operation.to_string()))?;
    let (call, object) = (required(field_name::CALL)?, required(field_name::OBJECT)?);
    read_id(field_name::CALL, call)?;
    let max_timeout_ms = settings
        .classes
        .get(class)
        .map_or(MAX_TIMEOUT_MS, |class| floor_millis(class.deadline * DEADLINE_MULTIPLE));
    let timeout_ms = read_number(field_name::TIMEOUT, required(field_name::TIMEOUT)?, max_timeout_ms)?;
    if timeout_ms == 0 || body.len() > MAX_BODY_BYTES {
        return Err(RequestError::TimeoutOrBody { timeout_ms, body_bytes: body.len() });
    }
    let idempotency_key = field(field_name::IDEMPOTENCY_KEY)
        .map(|key| read_name(field_name::IDEMPOTENCY_KEY, key))
        .transpose()?;
    let size_kb = field(field_name::SIZE).map(read_size_kb).transpose()?.unwrap_or(0.0);
    let needs_idempotency_key = settings.classes.get(class).is_some_and(|class| class.needs_idempotency_key);
    if idempotency_key.is_none() && needs_idempotency_key {
        return Err(RequestError::Missing(field_name::IDEMPOTENCY_KEY));
    }
    Ok(Request {
        class,
        call_id: call.to_string(),
        object: read_id(field_name::OBJECT, object)?,
        object_name: object.to_string(),
        part: read_number(field_name::PART, field(field_name::PART).unwrap_or("0"), MAX_PART)?,
        group: read_number(field_name::GROUP, field(field_name::GROUP).unwrap_or("0"), MAX_GROUP)?,
        timeout: Duration::from_millis(timeout_ms),
        idempotency_key,
        client_tag: field(field_name::CLIENT_TAG)
            .map(|tag| read_name(field_name::CLIENT_TAG, tag.trim_start_matches("W/").trim_matches('"')))
            .transpose()?,
        via: String::new(),
        body: body.to_vec(),
        size_kb,
    })
}

fn check_unique(fields: &[(&str, &str)]) -> Result<(), RequestError> {
    let mut names: Vec<&str> = fields.iter().map(|(name, _)| *name).collect();
    names.sort_unstable();
    match names.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(RequestError::Duplicate(pair[0].to_string())),
        None => Ok(()),
    }
}

/// A decimal number in its one form, within bounds.
fn read_number(field: &'static str, text: &str, max: u64) -> Result<u64, RequestError> {
    let is_decimal =
        !text.is_empty() && text.len() <= MAX_DIGITS && text.bytes().all(|byte| byte.is_ascii_digit());
    let number = text.parse().ok().filter(|number| is_decimal && *number <= max);
    number.ok_or_else(|| invalid(field, text))
}

/// A number of 16 hexadecimal digits.
fn read_id(field: &'static str, text: &str) -> Result<u64, RequestError> {
    let is_id = text.len() == ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, 16).ok().filter(|_| is_id);
    number.ok_or_else(|| invalid(field, text))
}

/// A tag or a key. What goes on to a store as part of a list of fields must not add fields to it.
fn read_name(field: &'static str, text: &str) -> Result<String, RequestError> {
    let is_plain = text.len() <= MAX_NAME_LENGTH
        && text.bytes().all(|byte| byte.is_ascii_graphic() && !b",=".contains(&byte));
    if !is_plain || text.is_empty() {
        return Err(invalid(field, text));
    }
    Ok(text.to_string())
}

/// The size of a part in KB as the decision module counts it: a plain decimal from 0, within what a part can be.
pub(super) fn read_size_kb(text: &str) -> Result<f64, RequestError> {
    let is_plain = !text.is_empty()
        && text.len() <= MAX_SIZE_LENGTH
        && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number =
        text.parse::<f64>().ok().filter(|number| is_plain && number.is_finite() && *number <= MAX_SIZE_KB);
    number.ok_or_else(|| invalid(field_name::SIZE, text))
}
