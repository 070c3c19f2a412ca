//! Requests of subscribers and operators, read from a connection's bytes.
use super::file::MAX_NAME_BYTES;
use larchway_distribution::batch::Encoding;
use larchway_distribution::positions::PositionReport;
use larchway_distribution::relay::SubscribeRequest;
use larchway_distribution::subscriber::{EVENTS_PATH, POSITION_PATH};
use larchway_distribution::EventNumber;
use thiserror::Error;

/// Bytes of a request's head at most.
pub const MAX_HEAD_BYTES: usize = 8192;
/// Bytes of a position report at most: one with as many rejections as it may have, each with its longest names and
/// reason, and every second character escaped.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Headers of a request at most.
const MAX_HEADERS: usize = 32;
/// Hexadecimal digits of an event's digest.
const DIGEST_DIGITS: usize = 16;

/// Path of the relay's figures; behind it, the number of an event.
const POSITIONS_PATH: &str = "/positions";

/// Path of the documents of configuration.
pub const DOCUMENTS_PATH: &str = "/documents";

/// A request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// `GET /bulletins`: a stream of events.
    Subscribe(SubscribeRequest),
    /// `PUT /bulletins/position`: how far the subscriber of this connection is.
    Position(PositionReport),
    /// `GET /positions`: the relay's figures.
    Status,
    /// `GET /documents`: the documents held, and how far they are applied.
    Documents,
    /// `GET /positions/N`: when an event was applied everywhere.
    EventProgress(EventNumber),
}

/// A request as found at the beginning of the input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parsed {
    /// The request.
    pub request: Request,
    /// Bytes that it takes.
    pub length: usize,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
    /// It is no HTTP request, or a header's value has another form.
    #[error("the request is malformed")]
    Malformed,
    /// There is nothing at this path.
    #[error("there is nothing at the path")]
    NotFound,
    /// The method does not fit the path.
    #[error("the method does not fit the path")]
    Method,
    /// Its head or body is too long.
    #[error("the request is too long")]
    TooLong,
}

impl RequestError {
    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            RequestError::Malformed => 400,
            RequestError::NotFound => 404,
            RequestError::Method => 405,
            RequestError::TooLong => 413,
        }
    }
}

/// Reads the first request; none if it is not complete yet.
///
/// # Errors
///
/// Fails if the bytes are no request that this relay serves, or its head or body is too long.
pub fn parse(input: &[u8]) -> Result<Option<Parsed>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_length = match head.parse(input).map_err(|_| RequestError::Malformed)? {
        httparse::Status::Partial if input.len() > MAX_HEAD_BYTES => return Err(RequestError::TooLong),
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    if header(&head, "transfer-encoding").is_some() {
        return Err(RequestError::Malformed);
    }
    let body_length = content_length(&head)?;
    if head_length > MAX_HEAD_BYTES || body_length > MAX_BODY_BYTES {
        return Err(RequestError::TooLong);
    }
    let length = head_length + body_length;
    let Some(body) = input.get(head_length..length) else { return Ok(None) };
    let request = route(&head, body)?;
    Ok(Some(Parsed { request, length }))
}

fn route(head: &httparse::Request<'_, '_>, body: &[u8]) -> Result<Request, RequestError> {
    let method = head.method.unwrap_or_default();
    let target = head.path.unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match (path, method) {
        (EVENTS_PATH, "GET") => Ok(Request::Subscribe(subscribe_request(head, query)?)),
        (POSITION_PATH, "PUT") => position(body),
        (POSITIONS_PATH, "GET") => Ok(Request::Status),
        (DOCUMENTS_PATH, "GET") => Ok(Request::Documents),
        (EVENTS_PATH | POSITION_PATH | POSITIONS_PATH | DOCUMENTS_PATH, _) => Err(RequestError::Method),
        _ => event_progress(path, method),
    }
}

fn event_progress(path: &str, method: &str) -> Result<Request, RequestError> {
    let number = path.strip_prefix(POSITIONS_PATH).and_then(|rest| rest.strip_prefix('/'));
    let number = number.ok_or(RequestError::NotFound)?;
    if method != "GET" {
        return Err(RequestError::Method);
    }
    number.parse().map(Request::EventProgress).map_err(|_| RequestError::Malformed)
}

fn position(body: &[u8]) -> Result<Request, RequestError> {
    let report: PositionReport = serde_json::from_slice(body).map_err(|_| RequestError::Malformed)?;
    let named = report.furthest.iter().all(|straggler| straggler.name.len() <= MAX_NAME_BYTES);
    match named && report.lost <= report.gateways {
        true => Ok(Request::Position(report)),
        false => Err(RequestError::Malformed),
    }
}

fn subscribe_request(
    head: &httparse::Request<'_, '_>,
    query: &str,
) -> Result<SubscribeRequest, RequestError> {
    // One with an impossible cursor begins as one that has nothing yet.
    let cursor = header(head, "last-event-id").and_then(|value| value.parse().ok());
    let digest = header(head, "if-match").map(digest).transpose()?;
    let gzip = header(head, "accept-encoding").is_some_and(accepts_gzip);
    let encoding = if gzip { Encoding::Gzip } else { Encoding::Identity };
    let scope = query.split('&').find_map(|pair| pair.strip_prefix("scope=")).map(str::to_string);
    let name = header(head, "user-agent").filter(|name| name.len() <= MAX_NAME_BYTES).map(str::to_string);
    Ok(SubscribeRequest { cursor, digest, encoding, scope, name })
}

fn digest(value: &str) -> Result<u64, RequestError> {
    let digits = value.strip_prefix('"').and_then(|rest| rest.strip_suffix('"'));
    let digits = digits.filter(|digits| digits.len() == DIGEST_DIGITS).ok_or(RequestError::Malformed)?;
    u64::from_str_radix(digits, 16).map_err(|_| RequestError::Malformed)
}

fn accepts_gzip(value: &str) -> bool {
    value.split(',').any(|coding| {
        let mut parts = coding.split(';').map(str::trim);
        let gzip = parts.next().is_some_and(|name| name.eq_ignore_ascii_case("gzip"));
        let refused = parts.any(|part| {
            let quality = part.strip_prefix("q=").and_then(|value| value.parse::<f32>().ok());
            quality == Some(0.0)
        });
        gzip && !refused
    })
}

fn content_length(head: &httparse::Request<'_, '_>) -> Result<usize, RequestError> {
    match header(head, "content-length") {
        None => Ok(0),
        Some(value) => value.parse().map_err(|_| RequestError::Malformed),
    }
}

fn header<'a>(head: &httparse::Request<'_, 'a>, name: &str) -> Option<&'a str> {
    let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok().map(str::trim)
}

#[cfg(test)]
mod tests;
