//! Requests for objects and their responses, and the strings that they have on the wire to stores.
use larchway_gateway::resp;
use std::time::Duration;

/// The command of a request for an object.
pub(super) const GET_COMMAND: &str = "PULL";
/// How long an answer may take if the request does not say, ms.
const DEFAULT_TIMEOUT_MS: u64 = 1000;
/// The flag of a request that is answered from what is stored alone.
const PEEK_FLAG: &str = "peek";

/// What a request is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Status {
    Ok,
    Rejected,
    NotFound,
    Error,
}

impl Status {
    /// Its name on the wire.
    pub(super) fn as_wire(self) -> &'static str {
        match self {
            Status::Ok => "ok",
            Status::Rejected => "refused",
            Status::NotFound => "nothing",
            Status::Error => "error",
        }
    }
}

/// A response, with the remark on how the object was obtained.
#[derive(Debug, Clone, Copy)]
pub(super) struct Response {
    pub(super) status: Status,
    pub(super) remark: &'static str,
}

impl Response {
    pub(super) fn new(status: Status, remark: &'static str) -> Self {
        Response { status, remark }
    }
}

/// A request for an object.
pub(super) struct Request {
    pub(super) id: String,
    pub(super) object: String,
    /// How long the answer may take.
    pub(super) timeout: Duration,
    /// Whether it is answered from what is stored alone.
    pub(super) peek: bool,
    /// The server that a cache fetches the object from.
    pub(super) fill_source: String,
    /// The parents that the request has passed.
    pub(super) trail: String,
}

impl Request {
    /// Reads the fields of a request.
    pub(super) fn parse(id: &str, fields: &str) -> Self {
        let field = |name: &str| resp::field(fields, name).unwrap_or("").to_string();
        Request {
            id: id.to_string(),
            object: field("thing"),
            timeout: Duration::from_millis(field("max").parse().unwrap_or(DEFAULT_TIMEOUT_MS)),
            peek: field("f").split('+').any(|flag| flag == PEEK_FLAG),
            fill_source: field("miss"),
            trail: field("via"),
        }
    }
}

/// A string of an array, empty if it is not there.
pub(super) fn string_at<'a>(strings: &[&'a [u8]], index: usize) -> &'a str {
    strings.get(index).map_or("", |string| std::str::from_utf8(string).unwrap_or(""))
}
