//! HTTP/1.1 for the front for signed links: decoding of requests and encoding of responses.
use crate::clock;
use thiserror::Error;

/// Maximum size of a request's head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a request's body in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// The interim response that invites a client to send the announced body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request, as slices of the read buffer.
#[derive(Debug, Default, PartialEq)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path, without the query.
    pub path: &'a str,
    /// The query; empty if there is none.
    pub query: &'a str,
    /// The `Authorization` header; empty if absent, like the other headers.
    pub authorization: &'a str,
    /// The `Cookie` header.
    pub cookie: &'a str,
    /// The `If-None-Match` header: entity tags of copies that the client holds.
    pub if_none_match: &'a str,
    /// The values of the `CDN-Loop` headers (RFC 8586): the nodes that the request has passed.
    pub cdn_loop: Vec<&'a str>,
    /// Whether the client waits for a `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Whether the client allows the connection to stay open after the response.
    pub keep_alive: bool,
    /// The body.
    pub body: &'a [u8],
}

/// The result of decoding the start of the input.
#[derive(Debug, PartialEq)]
pub enum Decoded<'a> {
    /// The request is incomplete.
    Partial {
        /// Whether the client waits for a `100 Continue` before it sends the body.
        expects_continue: bool,
    },
    /// A complete request, and its length in bytes.
    Complete(Request<'a>, usize),
}

/// Why a request cannot be decoded. It is answered with an error status, and the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The head exceeds the maximum size.
    #[error("the head is too long")]
    HeadTooLong,
    /// There are more headers than allowed.
    #[error("too many headers")]
    TooManyHeaders,
    /// The HTTP version is not supported.
    #[error("the version is not HTTP/1.0 or 1.1")]
    Version,
    /// The head is not valid HTTP.
    #[error("the head is malformed")]
    MalformedHead,
    /// The value of a header is not UTF-8.
    #[error("a header is not UTF-8")]
    HeaderNotUtf8,
    /// The body has a transfer encoding, which is not supported.
    #[error("a length is needed")]
    LengthRequired,
    /// The `Content-Length` is not a decimal number.
    #[error("the length is no number")]
    LengthNotNumber,
    /// There are different `Content-Length` headers.
    #[error("there are two lengths")]
    TwoLengths,
    /// There is no `Host` header, or more than one.
    #[error("one host is needed")]
    Host,
    /// The body exceeds the maximum size.
    #[error("the body is too long")]
    BodyTooLong,
}

impl HttpError {
    /// The HTTP status.
    pub fn status(self) -> u16 {
        match self {
            HttpError::HeadTooLong | HttpError::TooManyHeaders => 431,
            HttpError::Version => 505,
            HttpError::MalformedHead
            | HttpError::HeaderNotUtf8
            | HttpError::LengthNotNumber
            | HttpError::TwoLengths
            | HttpError::Host => 400,
            HttpError::LengthRequired => 411,
            HttpError::BodyTooLong => 413,
        }
    }
}

/// The framing of a request, as its headers state it.
#[derive(Debug, Default)]
struct Framing {
    /// The length of the body in bytes, if stated.
    length: Option<usize>,
    /// The number of `Host` headers.
    host_count: usize,
}

/// Decodes the request at the start of the input. Rejects heads and bodies above the maximum sizes, and ambiguous
/// framing, which could make two implementations see different request boundaries (request smuggling).
pub fn decode_request(input: &[u8]) -> Result<Decoded<'_>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head_length = match parsed.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if input.len() > MAX_HEAD_BYTES => return Err(HttpError::HeadTooLong),
        Ok(httparse::Status::Partial) => return Ok(Decoded::Partial { expects_continue: false }),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::TooManyHeaders),
        Err(httparse::Error::Version) => return Err(HttpError::Version),
        Err(_) => return Err(HttpError::MalformedHead),
    };
    if head_length > MAX_HEAD_BYTES {
        return Err(HttpError::HeadTooLong);
    }
    let is_version_1_1 = parsed.version == Some(1);
    let target = parsed.path.unwrap_or("");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut request = Request {
        method: parsed.method.unwrap_or(""),
        path,
        query,
        keep_alive: is_version_1_1,
        ..Request::default()
    };
    let mut framing = Framing::default();
    for header in parsed.headers.iter() {
        decode_header(header, is_version_1_1, &mut request, &mut framing)?;
    }
    if framing.host_count > 1 || is_version_1_1 && framing.host_count == 0 {
        return Err(HttpError::Host);
    }
    let body_length = framing.length.unwrap_or(0);
    if body_length > MAX_BODY_BYTES {
        return Err(HttpError::BodyTooLong);
    }
    match input.get(head_length..head_length + body_length) {
        None => Ok(Decoded::Partial { expects_continue: request.expects_continue }),
        Some(body) => {
            request.body = body;
            Ok(Decoded::Complete(request, head_length + body_length))
        }
    }
}

/// Decodes a header into the request and its framing.
fn decode_header<'a>(
    header: &httparse::Header<'a>,
    is_version_1_1: bool,
    request: &mut Request<'a>,
    framing: &mut Framing,
) -> Result<(), HttpError> {
    let value = std::str::from_utf8(header.value).map_err(|_| HttpError::HeaderNotUtf8)?.trim();
    match header.name.to_ascii_lowercase().as_str() {
        "authorization" => request.authorization = value,
        "cookie" => request.cookie = value,
        "cdn-loop" => request.cdn_loop.push(value),
        "if-none-match" => request.if_none_match = value,
        "expect" => request.expects_continue = value.eq_ignore_ascii_case("100-continue"),
        "host" => framing.host_count += 1,
        "connection" => {
            let has_option =
                |name: &str| value.split(',').any(|option| option.trim().eq_ignore_ascii_case(name));
            request.keep_alive = !has_option("close") && (is_version_1_1 || has_option("keep-alive"));
        }
        "transfer-encoding" => return Err(HttpError::LengthRequired),
        "content-length" => {
            let length = decode_length(value)?;
            if framing.length.replace(length).is_some_and(|other| other != length) {
                return Err(HttpError::TwoLengths);
            }
        }
        _ => {}
    }
    Ok(())
}

fn decode_length(value: &str) -> Result<usize, HttpError> {
    let is_decimal = value.bytes().all(|byte| byte.is_ascii_digit());
    value.parse().ok().filter(|_| is_decimal).ok_or(HttpError::LengthNotNumber)
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        304 => "Not Modified",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        508 => "Loop Detected",
        505 => "HTTP Version Not Supported",
        _ => "Unknown",
    }
}

/// A response to be written.
#[derive(Debug)]
pub struct Response<'a> {
    /// The status.
    pub status: u16,
    /// Headers in addition to `Date`, `Content-Length` and `Connection`.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: &'a [u8],
    /// Whether it answers a `HEAD` request: the length is stated, but the body is not sent.
    pub is_head: bool,
    /// Whether the connection stays open.
    pub keep_alive: bool,
}

/// Writes a response with the current date.
pub fn encode_response(output: &mut Vec<u8>, response: &Response<'_>) {
    let Response { status, headers, body, is_head, keep_alive } = *response;
    let date = httpdate::fmt_http_date(clock::system_time(clock::unix_now()));
    let mut head = format!("HTTP/1.1 {status} {}\r\nDate: {date}\r\n", reason_phrase(status));
    for (name, value) in headers {
        head.extend([*name, ": ", *value, "\r\n"]);
    }
    // A 304 has no body; a `Content-Length` would state the length of the client's copy.
    let is_not_modified = status == 304;
    if !is_not_modified {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    if !keep_alive {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    output.extend_from_slice(head.as_bytes());
    if !is_head && !is_not_modified {
        output.extend_from_slice(body);
    }
}

#[cfg(test)]
mod tests;
