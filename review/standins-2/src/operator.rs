//! A stand-in of the operators: calls to the console.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Makes a call and returns the status of its answer.
fn call(console: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&console, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {console}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer.split(' ').nth(1)?.parse().ok()
}

/// Whether the gateway says that it is ready.
pub fn is_ready(console: SocketAddr) -> bool {
    call(console, "GET", "/ops/readiness", "").is_some_and(|status| (200..300).contains(&status))
}
