//! Heads and short bodies of the relay's responses.
use crate::spans::ceil_secs;
use larchway_distribution::batch::Encoding;
use std::time::Duration;

/// The status of a relay that is to be tried again later.
pub const SERVICE_UNAVAILABLE: u16 = 503;

/// The head before a stream of events, which ends with the connection.
pub fn stream_head(encoding: Encoding) -> Vec<u8> {
    let coding = match encoding {
        Encoding::Gzip => "Content-Encoding: gzip\r\n",
        Encoding::Identity => "",
    };
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\
         {coding}Connection: close\r\n\r\n"
    )
    .into_bytes()
}

/// A complete response without a body; `retry_after` is rounded up to seconds.
pub fn refusal(status: u16, retry_after: Option<Duration>) -> Vec<u8> {
    let retry = retry_after.map(|wait| format!("Retry-After: {}\r\n", ceil_secs(wait)));
    let retry = retry.unwrap_or_default();
    let reason = reason(status);
    format!("HTTP/1.1 {status} {reason}\r\n{retry}Content-Length: 0\r\nConnection: close\r\n\r\n")
        .into_bytes()
}

/// A complete response with a JSON body.
pub fn json(body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nCache-Control: no-store\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
    .into_bytes()
}

fn reason(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        503 => "Service Unavailable",
        _ => "Error",
    }
}
