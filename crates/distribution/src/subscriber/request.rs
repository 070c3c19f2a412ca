//! The request by which a subscriber asks for events.
use crate::event::EventNumber;
use std::fmt::Write;
use std::net::SocketAddr;

/// Path at which events are served.
pub const EVENTS_PATH: &str = "/bulletins";

/// A request for events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Subscription {
    /// Where it goes.
    pub source: SocketAddr,
    /// `Last-Event-ID`: events after this one are asked for.
    pub after: EventNumber,
    /// `If-Match`: digest of the data of that event.
    pub if_match: Option<u64>,
    /// Whether gzip is accepted.
    pub gzip: bool,
    /// The scope that list events are reduced to.
    pub scope: Option<String>,
}

impl Subscription {
    /// The head of the HTTP request; it has no body.
    pub fn to_http(&self) -> String {
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
        head.push_str("\r\n");
        head
    }
}
