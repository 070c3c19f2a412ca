//! What the stream of events asks of the event loop.
use crate::bulletin::EventBody;
use crate::clock::wire::Arrival;
use larchway::MonotonicTime;
use larchway_distribution::configuration::Candidate;
use larchway_distribution::subscriber::LeaveReason;
use std::net::SocketAddr;
use thiserror::Error;

/// What the loop is to do.
#[derive(Debug)]
pub enum Effect {
    /// Connect to the source and write the request.
    Dial {
        /// The source.
        address: SocketAddr,
        /// The bytes of the request.
        request: Vec<u8>,
    },
    /// Write this to the source.
    Write(Vec<u8>),
    /// Close the connection; the subscriber knows of it.
    Close(CloseReason),
    /// The source was alive at that time.
    SourceAlive(MonotonicTime),
    /// Whether the source is alive is not known any more.
    SourceLost,
    /// Something was missed that may have been a purge: cached copies of the gateway's own are void.
    InvalidateCopies,
    /// Purges up to now may have been missed: stores must be asked for copies that are young enough.
    PurgesMissed,
    /// Apply an event.
    Apply {
        /// Its content.
        event: EventBody,
        /// How it arrived.
        arrival: Arrival,
    },
    /// Try documents, and accept or reject them.
    TryDocuments(Candidate),
}

/// Why the connection to the source is closed, as it is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CloseReason {
    /// The configuration names another source.
    #[error("it is another now")]
    Reconfigured,
    /// The source is of no use now.
    #[error("{0}")]
    SourceLeft(LeaveReason),
}

impl From<LeaveReason> for CloseReason {
    fn from(reason: LeaveReason) -> Self {
        match reason {
            LeaveReason::Reconfigured => CloseReason::Reconfigured,
            reason => CloseReason::SourceLeft(reason),
        }
    }
}
