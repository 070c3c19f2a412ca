//! The HTTP/1.1 that the second front speaks: request heads in, answers out.
use std::time::SystemTime;

/// Longest head, and longest body.
const LONGEST_HEAD: usize = 16 * 1024;
const LONGEST_BODY: usize = 16 * 1024;

/// A request, as slices of the read buffer.
#[derive(Debug, PartialEq)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path, without the query.
    pub path: &'a str,
    /// The query; empty if there is none.
    pub query: &'a str,
    /// The headers that matter here, empty if absent.
    pub authorization: &'a str,
    /// All cookies.
    pub cookie: &'a str,
    /// Tags of copies that the client holds.
    pub if_none_match: &'a str,
    /// Where the request has been (RFC 8586), a field line each.
    pub cdn_loop: Vec<&'a str>,
    /// Whether the client waits for leave to send its body.
    pub expects: bool,
    /// Whether the connection stays open afterwards.
    pub keep_alive: bool,
    /// The body.
    pub body: &'a [u8],
}

/// What the front of the input holds.
#[derive(Debug, PartialEq)]
pub enum Input<'a> {
    /// Not a whole request yet; whether the client waits for leave to send its body.
    Partial(bool),
    /// A request, and its length in bytes.
    Whole(Request<'a>, usize),
}

/// A request that cannot be read: the status to answer with before the connection is closed.
pub type Wrong = (u16, &'static str);

/// Reads one request off the front of the input. Guards against heads and bodies without end, and against
/// requests whose length two readers could take differently.
pub fn request(input: &[u8]) -> Result<Input<'_>, Wrong> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut parsed = httparse::Request::new(&mut headers);
    let head = match parsed.parse(input) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) if input.len() > LONGEST_HEAD => {
            return Err((431, "the head is too long"))
        }
        Ok(httparse::Status::Partial) => return Ok(Input::Partial(false)),
        Err(httparse::Error::TooManyHeaders) => return Err((431, "too many headers")),
        Err(httparse::Error::Version) => return Err((505, "the version is not HTTP/1.0 or 1.1")),
        Err(_) => return Err((400, "the head is malformed")),
    };
    if head > LONGEST_HEAD {
        return Err((431, "the head is too long"));
    }
    let late = parsed.version == Some(1);
    let target = parsed.path.unwrap_or("");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut found = Request {
        method: parsed.method.unwrap_or(""),
        path,
        query,
        authorization: "",
        cookie: "",
        if_none_match: "",
        cdn_loop: Vec::new(),
        expects: false,
        keep_alive: late,
        body: &[],
    };
    let (mut length, mut hosts) = (None, 0);
    for header in parsed.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(|_| (400, "a header is not UTF-8"))?.trim();
        match header.name.to_ascii_lowercase().as_str() {
            "authorization" => found.authorization = value,
            "cookie" => found.cookie = value,
            "cdn-loop" => found.cdn_loop.push(value),
            "if-none-match" => found.if_none_match = value,
            "expect" => found.expects = value.eq_ignore_ascii_case("100-continue"),
            "host" => hosts += 1,
            "connection" => {
                let says = |word: &str| value.split(',').any(|w| w.trim().eq_ignore_ascii_case(word));
                found.keep_alive = !says("close") && (late || says("keep-alive"));
            }
            "transfer-encoding" => return Err((411, "a length is needed")),
            "content-length" => {
                let digits = value.bytes().all(|b| b.is_ascii_digit());
                let n =
                    value.parse::<usize>().ok().filter(|_| digits).ok_or((400, "the length is no number"))?;
                if length.replace(n).is_some_and(|other| other != n) {
                    return Err((400, "there are two lengths"));
                }
            }
            _ => {}
        }
    }
    if hosts > 1 || late && hosts == 0 {
        return Err((400, "one host is needed"));
    }
    let length = length.unwrap_or(0);
    if length > LONGEST_BODY {
        return Err((413, "the body is too long"));
    }
    match input.get(head..head + length) {
        None => Ok(Input::Partial(found.expects)),
        Some(body) => {
            found.body = body;
            Ok(Input::Whole(found, head + length))
        }
    }
}

fn reason(status: u16) -> &'static str {
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

/// An answer to be written.
#[derive(Debug)]
pub struct Answer<'a> {
    /// The status.
    pub status: u16,
    /// Headers besides the usual ones.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: &'a [u8],
    /// Whether it answers a `HEAD`: the length is told, the body is not sent.
    pub head: bool,
    /// Whether the connection stays open.
    pub keep_alive: bool,
}

/// Writes an answer.
pub fn answer(out: &mut Vec<u8>, answer: &Answer<'_>) {
    let date = httpdate::fmt_http_date(SystemTime::now());
    let mut head = format!("HTTP/1.1 {} {}\r\nDate: {date}\r\n", answer.status, reason(answer.status));
    for (name, value) in answer.headers {
        head.extend([*name, ": ", *value, "\r\n"]);
    }
    // A 304 has no body by definition, and a length there would be that of the copy.
    if answer.status != 304 {
        head.push_str(&format!("Content-Length: {}\r\n", answer.body.len()));
    }
    if !answer.keep_alive {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    out.extend_from_slice(head.as_bytes());
    if !answer.head && answer.status != 304 {
        out.extend_from_slice(answer.body);
    }
}

#[cfg(test)]
mod tests;
