//! Validation and decoding of a request's fields. A store closes the connection on which it receives an invalid
//! request, which ends all other attempts there, so no invalid request may be forwarded.
use super::error::{excerpt, RequestError};
use crate::core::Request;
use crate::spans::floor_millis;
use crate::wire_settings::WireSettings;
use std::time::Duration;

/// Maximum size of a request's body in bytes.
const MAX_BODY_BYTES: usize = 48_000;
/// Maximum size of a part that a request may state, in KB: far above any object, and low enough not to break
/// arithmetic.
const MAX_SIZE_KB: f64 = 1e9;
/// Highest part number of an object.
const MAX_PART: u64 = 1_000_000;
/// Highest group number of objects.
const MAX_GROUP: u64 = 255;
/// Maximum time-out of a client in ms if the settings state no deadline for the class.
const MAX_TIMEOUT_MS: u64 = 600_000;
/// Maximum time-out of a client, as a multiple of the class's deadline.
const DEADLINE_MULTIPLE: u32 = 2;
/// Maximum length of a tag or an idempotency key.
const MAX_NAME_LENGTH: usize = 64;
/// Maximum number of digits of a decimal number.
const MAX_DIGITS: usize = 15;
/// Number of hexadecimal digits of an id.
const ID_DIGITS: usize = 16;
/// Maximum length of the text of a size.
const MAX_SIZE_LENGTH: usize = 24;

/// The names of the fields in this protocol.
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
    RequestError::InvalidValue { field, value: excerpt(value) }
}

/// Validates and decodes the fields and the body of a request.
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
        settings.class(operation).ok_or_else(|| RequestError::UnknownOperation(excerpt(operation)))?;
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
        Some(pair) => Err(RequestError::Duplicate(excerpt(pair[0]))),
        None => Ok(()),
    }
}

/// Reads a decimal number of at most [`MAX_DIGITS`] digits, up to `max`.
fn read_number(field: &'static str, text: &str, max: u64) -> Result<u64, RequestError> {
    let is_decimal =
        !text.is_empty() && text.len() <= MAX_DIGITS && text.bytes().all(|byte| byte.is_ascii_digit());
    let number = text.parse().ok().filter(|number| is_decimal && *number <= max);
    number.ok_or_else(|| invalid(field, text))
}

/// Reads an id of 16 hexadecimal digits.
fn read_id(field: &'static str, text: &str) -> Result<u64, RequestError> {
    let is_id = text.len() == ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, 16).ok().filter(|_| is_id);
    number.ok_or_else(|| invalid(field, text))
}

/// Reads a tag or an idempotency key. Commas and equals signs are rejected: it is forwarded to stores in a list of
/// fields and must not add fields to it.
fn read_name(field: &'static str, text: &str) -> Result<String, RequestError> {
    let is_plain = text.len() <= MAX_NAME_LENGTH
        && text.bytes().all(|byte| byte.is_ascii_graphic() && !b",=".contains(&byte));
    if !is_plain || text.is_empty() {
        return Err(invalid(field, text));
    }
    Ok(text.to_string())
}

/// Reads the size of a part in KB, the decision module's unit: a plain decimal number from 0 to [`MAX_SIZE_KB`].
pub(super) fn read_size_kb(text: &str) -> Result<f64, RequestError> {
    let is_plain = !text.is_empty()
        && text.len() <= MAX_SIZE_LENGTH
        && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number =
        text.parse::<f64>().ok().filter(|number| is_plain && number.is_finite() && *number <= MAX_SIZE_KB);
    number.ok_or_else(|| invalid(field_name::SIZE, text))
}
