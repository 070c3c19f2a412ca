//! Decoding of the replies of stores.
use super::array::{decode_array, field};
use super::error::ProtocolError;
use larchway::settings::span_of_millis;
use larchway::{Note, Status};
use larchway_unix_time::UnixMicros;
use std::time::Duration;

/// Maximum size of an object in bytes.
const MAX_OBJECT_BYTES: usize = 240_000;
/// Maximum lengths of the id, the status and the list of fields of a reply, in bytes.
const MAX_TEXT_BYTES: [usize; 3] = [64, 16, 2048];
/// Number of strings in a reply with a body.
const REPLY_LENGTH: usize = 4;

/// The statuses of replies in this protocol.
mod status_name {
    pub(super) const SERVED: &str = "ok";
    pub(super) const NOT_MODIFIED: &str = "current";
    pub(super) const MISS: &str = "nothing";
    pub(super) const FULL: &str = "refused";
    pub(super) const ERROR: &str = "error";
    pub(super) const NEVER_RAN: &str = "stale";
    /// Positive reply to a probe (`ECHO`, `METER`).
    pub(super) const PROBE_YES: &str = "yes";
    /// Negative reply to a probe: a regular reply, not an error.
    pub(super) const PROBE_NO: &str = "no";
}

/// A reply of a store, as slices of the read buffer.
#[derive(Debug, PartialEq)]
pub struct Reply<'a> {
    /// The call id of the request that it answers.
    pub id: &'a str,
    /// The outcome of the attempt; none for the reply to a probe.
    pub status: Option<Status>,
    /// Whether the client's own copy is current.
    pub not_modified: bool,
    /// How the store produced the reply.
    pub note: Note,
    /// The store's load report, not decoded; none if the reply has none.
    pub load_report: Option<&'a str>,
    /// How long the store waited for its source; zero if it does not state that.
    pub source_wait: Duration,
    /// The entity tag of the body, if the store states one.
    pub entity_tag: Option<&'a str>,
    /// When the origin issued this copy; unset if the store does not state that.
    pub issued: UnixMicros,
    /// The body.
    pub body: &'a [u8],
}

/// Decodes the reply at the start of the input: the reply and its length in bytes; none if it is incomplete.
pub fn decode_reply(input: &[u8]) -> Result<Option<(Reply<'_>, usize)>, ProtocolError> {
    let Some(array) = decode_array(input)? else { return Ok(None) };
    let strings = &array.strings;
    let text = |place: usize| match strings.get(place) {
        None => Ok(""),
        Some(string) if string.len() > MAX_TEXT_BYTES[place] => Err(ProtocolError::TextTooLong),
        Some(string) => std::str::from_utf8(string).map_err(|_| ProtocolError::NotUtf8),
    };
    let (id, status_text, fields) = (text(0)?, text(1)?, text(2)?);
    let status = decode_status(status_text)?;
    let body = strings.get(3).copied().unwrap_or(&[]);
    if status_text == status_name::SERVED && strings.len() != REPLY_LENGTH || strings.len() > REPLY_LENGTH {
        return Err(ProtocolError::ReplyLength { status: status_text.to_string(), length: strings.len() });
    }
    if !are_fields_valid(fields) {
        return Err(ProtocolError::InvalidFields);
    }
    let not_modified = status_text == status_name::NOT_MODIFIED;
    if body.len() > MAX_OBJECT_BYTES || not_modified && !body.is_empty() {
        return Err(ProtocolError::InvalidBody { status: status_text.to_string(), bytes: body.len() });
    }
    let milliseconds = |name: &str| field(fields, name).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    let reply = Reply {
        id,
        status,
        not_modified,
        note: decode_note(field(fields, "remark")),
        load_report: field(fields, "report"),
        source_wait: span_of_millis(milliseconds("delay")),
        entity_tag: field(fields, "entity"),
        issued: UnixMicros::from_millis(milliseconds("issued")),
        body,
    };
    Ok(Some((reply, array.length)))
}

/// Decodes the outcome of an attempt; none for the reply to a probe.
fn decode_status(text: &str) -> Result<Option<Status>, ProtocolError> {
    Ok(match text {
        status_name::SERVED | status_name::NOT_MODIFIED => Some(Status::Ok),
        status_name::MISS => Some(Status::Miss),
        status_name::FULL => Some(Status::Full),
        status_name::ERROR => Some(Status::Error),
        status_name::NEVER_RAN => Some(Status::NeverSent),
        status_name::PROBE_YES | status_name::PROBE_NO => None,
        other => return Err(ProtocolError::UnknownStatus(other.to_string())),
    })
}

fn decode_note(remark: Option<&str>) -> Note {
    match remark.unwrap_or("") {
        "HIT" => Note::Hit,
        "MISS" => Note::Filled,
        "MISS_ORIGIN" => Note::FilledByOrigin,
        "COLLAPSED" => Note::Joined,
        "STALE" => Note::Stale,
        "UP_BUSY" => Note::SourceRefused,
        "UP_DOWN" => Note::SourceLost,
        "UP_MISS" => Note::SourceLacks,
        "NO_FILL" => Note::NoFillSlot,
        "ORIGIN_ERR" => Note::OriginFailed,
        _ => Note::None,
    }
}

/// Whether a list of fields is well-formed, and the numeric fields that the gateway uses have valid values.
fn are_fields_valid(fields: &str) -> bool {
    let is_plain = |text: &str| text.bytes().all(|byte| byte.is_ascii_graphic());
    let is_valid = |field: &str| match field.split_once('=') {
        Some(("issued" | "delay", value)) => value.parse::<f64>().is_ok_and(|number| number >= 0.0),
        Some((name, value)) => !name.is_empty() && is_plain(name) && is_plain(value),
        None => false,
    };
    matches!(fields, "" | "-") || fields.split(',').all(is_valid)
}

/// Decodes the values of a load report such as `inflight:7;util:0.61`, in the order of `names`. A missing or invalid
/// value is NaN, which the caller has to skip.
pub fn decode_load(report: &str, names: &[String]) -> Vec<f64> {
    let value = |name: &String| {
        let found = report.split(';').find_map(|entry| entry.split_once(':').filter(|(key, _)| key == name));
        found.and_then(|(_, value)| value.parse().ok()).unwrap_or(f64::NAN)
    };
    names.iter().map(value).collect()
}
