//! Asks a relay for its documents, by HTTP.
use crate::relay::documents_status::DocumentsStatus;
use crate::relay::request::DOCUMENTS_PATH;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use thiserror::Error;

/// Time for the connect, and for each read and write.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of an answer at most: all documents that a relay holds, each with its rejections.
const MAX_ANSWER_BYTES: u64 = 64 << 20;
/// The line that begins an answer that has what was asked for.
const SUCCESS: &str = "HTTP/1.1 200 ";

/// Why a relay's documents are not known.
#[derive(Debug, Error)]
pub enum AnswerError {
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// It answered something else.
    #[error("it answered {0:?}")]
    Refused(String),
    /// The answer is not that of a relay.
    #[error("its answer cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// The documents that a relay holds.
pub(super) fn documents(relay: SocketAddr) -> Result<DocumentsStatus, AnswerError> {
    let mut stream = TcpStream::connect_timeout(&relay, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    let request = format!("GET {DOCUMENTS_PATH} HTTP/1.1\r\nHost: {relay}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer)?;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    if !head.starts_with(SUCCESS) {
        return Err(AnswerError::Refused(head.lines().next().unwrap_or_default().to_string()));
    }
    Ok(serde_json::from_str(body)?)
}
