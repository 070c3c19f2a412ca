//! The client of the admin socket: one query to a running gateway.
use crate::system_errors::uninterrupted;
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// How long a read or a write of the client may take.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a gateway gives no answer.
#[derive(Debug, Error)]
#[error("{}: {source}", path.display())]
pub struct QueryError {
    /// The path of the socket.
    path: PathBuf,
    /// What the system said.
    source: io::Error,
}

/// Sends a request to the gateway whose admin socket has this path, and returns its answer.
pub fn query(path: &Path, request: &str) -> Result<String, QueryError> {
    exchange(path, request).map_err(|source| QueryError { path: path.to_path_buf(), source })
}

fn exchange(path: &Path, request: &str) -> io::Result<String> {
    let mut stream = uninterrupted(|| UnixStream::connect(path))?;
    stream.set_read_timeout(Some(QUERY_TIMEOUT))?;
    stream.set_write_timeout(Some(QUERY_TIMEOUT))?;
    stream.write_all(format!("{request}\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}
