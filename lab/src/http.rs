//! A plain HTTP client for what processes tell of themselves.
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long an answer may take.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The body of what a server answers, which it ends by closing the connection.
pub fn get(address: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text.split_once("\r\n\r\n").map(|(_, body)| body.to_string()).unwrap_or_default())
}

/// The same, as JSON.
pub fn get_json(address: SocketAddr, path: &str) -> Result<serde_json::Value, String> {
    let text = get(address, path).map_err(|e| format!("{path}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("{path}: {e}: {text}"))
}
