//! Calls on a gateway's console.
use super::TrialError;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

/// How long a connection, and each read, may take.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Status of an answer without one.
const NO_STATUS: u16 = 0;
/// Status of a call that was carried out.
pub(super) const OK: u16 = 200;

/// The first port of the listeners that gateways open by themselves.
const FIRST_PORT: u16 = 20_000;
/// The bit of the second byte that the loopback addresses of processes have.
const OWN_LOOPBACK: u8 = 64;

/// What a console answered.
#[derive(Debug, Clone)]
pub(super) struct Answer {
    /// The HTTP status; 0 if the answer has none.
    pub status: u16,
    /// The body.
    pub text: String,
}

/// An address for a listener that a gateway opens by itself, later. It is on a loopback address of this process's own:
/// connections have 127.0.0.1 as their own address, so none of them takes the port meanwhile.
pub(super) fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    SocketAddr::from((own_loopback_address(), NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
}

/// A loopback address that no other process uses: the process id, which has 22 bits, in 127.64.0.0/10.
fn own_loopback_address() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, OWN_LOOPBACK | high, middle, low)
}

/// Calls a console; `store` is the store that the call is about, if there is one.
pub(super) fn call(
    console: SocketAddr,
    method: &str,
    path: &str,
    store: Option<&str>,
) -> Result<Answer, TrialError> {
    let body = store.map_or(String::new(), |store| json!({ "who": store }).to_string());
    let answer =
        exchange(console, method, path, &body).map_err(TrialError::io(format!("{method} {path}")))?;
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(NO_STATUS);
    let text = answer.split_once("\r\n\r\n").map_or(String::new(), |(_, text)| text.to_string());
    Ok(Answer { status, text })
}

fn exchange(console: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&console, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let length = body.len();
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: ops\r\nContent-Length: {length}\r\n\r\n{body}")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

#[cfg(test)]
mod tests;
