//! The head of the response to a subscription (RFC 9112).
use super::error::StreamError;
use std::time::Duration;

/// Bytes of the head at most.
pub(super) const MAX_HEAD_BYTES: usize = 65_536;
/// Headers at most.
const MAX_HEADERS: usize = 32;
const OK: u16 = 200;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// How the body is cut into pieces on the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TransferCoding {
    /// Not at all: it ends with the connection.
    Identity,
    /// In chunks, each behind its size.
    Chunked,
}

/// How the body is compressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ContentCoding {
    /// Not at all.
    Identity,
    /// By gzip.
    Gzip,
}

/// The head of a response with status 200.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Head {
    /// Bytes that it takes.
    pub length: usize,
    /// How the body is cut into pieces.
    pub transfer_coding: TransferCoding,
    /// How the body is compressed.
    pub content_coding: ContentCoding,
}

/// Reads the head; none if it is not complete yet.
///
/// # Errors
///
/// Fails if the head is malformed or too long, the status is not 200, or the content coding is unknown.
pub(super) fn read_head(bytes: &[u8]) -> Result<Option<Head>, StreamError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(bytes).map_err(StreamError::Head)?;
    let httparse::Status::Complete(length) = parsed else {
        return if bytes.len() > MAX_HEAD_BYTES { Err(StreamError::HeadTooLong) } else { Ok(None) };
    };
    let header = |name: &str| {
        let found = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| String::from_utf8_lossy(header.value).trim().to_ascii_lowercase())
    };
    let status = response.code.unwrap_or(0);
    if status != OK {
        let seconds: Option<u64> = header("retry-after").and_then(|text| text.parse().ok());
        let retry_after =
            seconds.map(|seconds| Duration::from_micros(seconds.saturating_mul(MICROS_PER_SECOND)));
        return Err(StreamError::Refused { status, retry_after });
    }
    let transfer_coding = match header("transfer-encoding") {
        Some(coding) if coding.ends_with("chunked") => TransferCoding::Chunked,
        _ => TransferCoding::Identity,
    };
    let content_coding = match header("content-encoding").as_deref() {
        None | Some("" | "identity") => ContentCoding::Identity,
        Some("gzip" | "x-gzip") => ContentCoding::Gzip,
        Some(other) => return Err(StreamError::ContentCoding(other.to_string())),
    };
    Ok(Some(Head { length, transfer_coding, content_coding }))
}
