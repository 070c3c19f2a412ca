//! The HTTP requests of a subscriber: for events, and to report its position.
use crate::event::EventNumber;
use crate::positions::PositionReport;
use std::fmt::Write;
use std::net::SocketAddr;

/// Path at which events are served.
pub const EVENTS_PATH: &str = "/bulletins";

/// Path for position reports, which are sent on the connection of the event stream.
pub const POSITION_PATH: &str = "/bulletins/position";

/// A request for events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Subscription {
    /// Address of the source.
    pub source: SocketAddr,
    /// Value of `Last-Event-ID`: the events after this number are requested.
    pub after: EventNumber,
    /// Value of `If-Match`: digest of the data of that event.
    pub if_match: Option<u64>,
    /// Whether gzip is accepted.
    pub gzip: bool,
    /// Name of the scope that list events are reduced to, if any.
    pub scope: Option<String>,
}

impl Subscription {
    /// The head of the HTTP request, which has no body. `name` is the subscriber's name, sent as `User-Agent`; relays
    /// use it to recognize a subscriber across connections. A name that is not a valid header value is omitted.
    pub fn to_http(&self, name: Option<&str>) -> String {
        let scope = self.scope.as_ref().map(|scope| format!("?scope={scope}")).unwrap_or_default();
        let mut head = format!(
            "GET {EVENTS_PATH}{scope} HTTP/1.1\r\nHost: {}\r\nAccept: text/event-stream\r\nLast-Event-ID: {}\r\n",
            self.source, self.after
        );
        if let Some(digest) = self.if_match {
            let _ = write!(head, "If-Match: \"{digest:016x}\"\r\n");
        }
        if self.gzip {
            head.push_str("Accept-Encoding: gzip\r\n");
        }
        if let Some(name) = name.filter(|name| is_header_value(name)) {
            let _ = write!(head, "User-Agent: {name}\r\n");
        }
        head.push_str("\r\n");
        head
    }
}

/// Whether the text is a valid header value: visible ASCII characters with inner spaces only.
fn is_header_value(text: &str) -> bool {
    let legal = text.bytes().all(|byte| byte.is_ascii_graphic() || byte == b' ');
    legal && !text.is_empty() && text.trim() == text
}

/// The HTTP request that reports a position. It is sent after the request for events and gets no response.
pub fn position_request(source: SocketAddr, report: &PositionReport) -> String {
    // Serialization cannot fail: a report contains only numbers and strings.
    let body = serde_json::to_string(report).unwrap_or_default();
    format!(
        "PUT {POSITION_PATH} HTTP/1.1\r\nHost: {source}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
