//! A plain HTTP client for the status pages of processes.
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use thiserror::Error;

/// How long an answer may take.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Why a page cannot be had as JSON.
#[derive(Debug, Error)]
pub enum PageError {
    /// The request failed.
    #[error("{path}: {source}")]
    Request {
        /// The path of the page.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// The body is no JSON.
    #[error("{path}: {source}: {body}")]
    Json {
        /// The path of the page.
        path: String,
        /// What is wrong with the body.
        source: serde_json::Error,
        /// The body.
        body: String,
    },
}

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
pub fn get_json(address: SocketAddr, path: &str) -> Result<serde_json::Value, PageError> {
    let body = get(address, path).map_err(|source| PageError::Request { path: path.to_string(), source })?;
    let json = serde_json::from_str(&body);
    json.map_err(|source| PageError::Json { path: path.to_string(), source, body })
}
