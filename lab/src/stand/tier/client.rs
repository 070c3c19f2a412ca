//! Requests to other tiers, over the wire to stores.
use super::messages::{string_at, GET_COMMAND};
use super::state::{lock, State};
use larchway_gateway::resp;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Bytes read at once.
const BUFFER_LENGTH: usize = 4096;
/// How long a connection to another tier may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The shortest time-out of a read.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);

/// A request to another tier.
pub(super) struct UpstreamRequest<'a> {
    /// The server.
    pub(super) server: &'a str,
    /// The id of the request.
    pub(super) id: &'a str,
    /// Its fields, as they go over the wire.
    pub(super) fields: &'a str,
    /// How long the answer may take.
    pub(super) timeout: Duration,
}

/// The answer of another tier.
pub(super) struct UpstreamAnswer {
    pub(super) status: String,
    pub(super) remark: String,
}

/// Sends a request to another tier; none without an answer in time.
pub(super) fn send(state: &State, request: &UpstreamRequest<'_>) -> Option<UpstreamAnswer> {
    let address = *lock(&state.net).get(request.server)?;
    let end = Instant::now() + request.timeout;
    let mut stream = TcpStream::connect_timeout(&address, request.timeout.min(CONNECT_TIMEOUT)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut out = Vec::new();
    let strings = [GET_COMMAND.as_bytes(), request.id.as_bytes(), request.fields.as_bytes(), b""];
    resp::encode_array(&mut out, &strings);
    stream.write_all(&out).ok()?;
    let (mut input, mut buffer) = (Vec::new(), [0; BUFFER_LENGTH]);
    loop {
        if let Ok(Some(resp::Array { strings, .. })) = resp::decode_array(&input) {
            let remark = resp::field(string_at(&strings, 2), "remark").unwrap_or("").to_string();
            return Some(UpstreamAnswer { status: string_at(&strings, 1).to_string(), remark });
        }
        let remaining = end.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(remaining.max(MIN_READ_TIMEOUT))).ok()?;
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 && !remaining.is_zero() => input.extend_from_slice(&buffer[..read]),
            _ => return None,
        }
    }
}
