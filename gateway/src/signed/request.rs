//! Decoding of requests for objects from their paths and headers.
use super::admission;
use super::error::{PathError, RequestError};
use super::http;
use super::path::parse_path;
use super::settings::FrontSettings;
use crate::clock;
use crate::core;
use crate::wire_settings::WireSettings;
use std::time::Duration;

/// Deadline of a request if the settings state none for its class.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);
/// Maximum length of an entity tag that is forwarded to stores.
const MAX_TAG_LENGTH: usize = 64;

/// Decodes a request for an object and checks that its signature or token is valid now. `waited`: how long the request
/// has waited on its connection.
pub(super) fn read_request(
    front: Option<&FrontSettings>,
    wire_settings: &WireSettings,
    request: &http::Request<'_>,
    waited: Duration,
) -> Result<core::Request, RequestError> {
    let front = front.ok_or(PathError::NotFound)?;
    let path = parse_path(wire_settings, front, request.path)?;
    admission::check(front, request, clock::unix_now().as_secs())?;
    let deadline = wire_settings.classes.get(path.class).map_or(DEFAULT_DEADLINE, |class| class.deadline);
    Ok(core::Request {
        class: path.class,
        object_name: path.object_name.to_string(),
        object: path.object,
        part: path.part,
        group: path.group,
        // The client's wait includes the time that the request waited for the reply to an earlier one.
        timeout: deadline.saturating_sub(waited),
        client_tag: single_tag(request.if_none_match).map(str::to_string),
        via: request.cdn_loop.join(", "),
        ..core::Request::default()
    })
}

/// The entity tag to forward to the store: the only one in `If-None-Match`. With several tags or `*`, none is
/// forwarded, and the gateway compares them with the reply's tag.
fn single_tag(if_none_match: &str) -> Option<&str> {
    let tag = if_none_match.trim_start_matches("W/").trim_matches('"');
    let is_plain = !tag.is_empty()
        && tag.len() <= MAX_TAG_LENGTH
        && tag.bytes().all(|byte| byte.is_ascii_alphanumeric());
    is_plain.then_some(tag)
}

/// Whether the client's `If-None-Match` header matches this entity tag.
pub(super) fn contains_tag(client_tags: &str, tag: &str) -> bool {
    client_tags
        .split(',')
        .map(|client_tag| client_tag.trim().trim_start_matches("W/").trim_matches('"'))
        .any(|client_tag| client_tag == "*" || client_tag == tag)
}
