//! The endpoints in service, saved for the next process of this gateway. In memory the times are monotonic; in the
//! stored form they are by the Unix clock.
use crate::checksummed::{BodyError, ChecksummedFormat, HeaderError, HEADER_LENGTH};
use crate::endpoint::Endpoint;
use larchway::{Host, MonotonicTime, State};
use larchway_unix_time::{Anchor, UnixMicros};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

const VERSION: u16 = 1;
const FORMAT: ChecksummedFormat = ChecksummedFormat { magic: b"larchmbr", version: VERSION };
/// Limit on the size of a stored snapshot, in bytes. 20,000 endpoints take about 3 MB.
pub const MAX_SNAPSHOT_BYTES: usize = 16 << 20;

/// A node of an endpoint. The order and the types of its fields are part of the stored format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedNode {
    /// Its name.
    pub name: String,
    /// The session that owned it.
    pub session: i64,
}

/// An endpoint that was in service.
#[derive(Debug, Clone, PartialEq)]
pub struct SavedEndpoint {
    /// The endpoint as it was published.
    pub endpoint: Endpoint,
    /// Whether the list named it.
    pub listed: bool,
    /// Its nodes.
    pub nodes: Vec<SavedNode>,
    /// Start of its process as reported by a source; [`MonotonicTime::MIN`] if none was reported.
    pub reported_start: MonotonicTime,
    /// Number of its process, counted from 1.
    pub incarnation: u32,
    /// Its flap penalty.
    pub penalty: f64,
}

/// The endpoints that were in service at one time.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Snapshot {
    /// When the snapshot was taken.
    pub taken_at: MonotonicTime,
    /// The endpoints.
    pub endpoints: Vec<SavedEndpoint>,
}

/// Why a stored snapshot is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// The bytes are not a snapshot.
    #[error("it is no snapshot of a roster")]
    Foreign,
    /// The snapshot is of this other version.
    #[error("it is of version {0}, and {expected} is read here", expected = VERSION)]
    Version(u16),
    /// The length does not match the header.
    #[error("it is torn: {found} bytes of {expected}")]
    Length {
        /// Length by the header, in bytes.
        expected: usize,
        /// Actual length, in bytes.
        found: usize,
    },
    /// The checksum does not match, or the content is not a snapshot.
    #[error("its checksum does not fit")]
    Corrupt(#[source] BodyError),
    /// The snapshot is older than allowed: its age.
    #[error("it is {} ms old", .0.as_millis())]
    TooOld(Duration),
    /// The snapshot was taken in the future by the Unix clock.
    #[error("it was taken later than now")]
    InTheFuture,
}

/// The stored form of [`Snapshot`]. The order and the types of the fields are the format.
#[derive(Serialize, Deserialize)]
struct StoredSnapshot {
    taken_at: UnixMicros,
    endpoints: Vec<StoredEndpoint>,
}

/// The stored form of [`SavedEndpoint`].
#[derive(Serialize, Deserialize)]
struct StoredEndpoint {
    name: String,
    server: u64,
    zone: u32,
    kind: u32,
    cell: u64,
    weight: f64,
    started: UnixMicros,
    dial: Option<SocketAddr>,
    listed: bool,
    nodes: Vec<SavedNode>,
    reported_start: UnixMicros,
    incarnation: u32,
    penalty: f64,
}

impl Snapshot {
    /// Encodes the snapshot for storage. The anchor relates the clocks to each other at this time.
    pub fn encode(&self, anchor: &Anchor) -> Vec<u8> {
        let endpoints = self.endpoints.iter().map(|saved| saved.to_stored(anchor)).collect();
        FORMAT.encode(&StoredSnapshot { taken_at: anchor.to_unix(self.taken_at), endpoints })
    }

    /// Decodes a stored snapshot that is not older than `max_age`. The anchor relates the clocks to each other at this
    /// time.
    pub fn decode(bytes: &[u8], anchor: &Anchor, max_age: Duration) -> Result<Self, SnapshotError> {
        let stored = decode_stored(bytes)?;
        let age = anchor.unix.as_micros().checked_sub(stored.taken_at.as_micros());
        let age = Duration::from_micros(age.ok_or(SnapshotError::InTheFuture)?);
        if age > max_age {
            return Err(SnapshotError::TooOld(age));
        }
        let endpoints = stored.endpoints.into_iter().map(|stored| stored.into_saved(anchor)).collect();
        let taken_at = anchor.to_monotonic(stored.taken_at);
        Ok(Snapshot { taken_at, endpoints })
    }
}

fn decode_stored(bytes: &[u8]) -> Result<StoredSnapshot, SnapshotError> {
    let header = FORMAT.read_header(bytes).map_err(|error| match error {
        HeaderError::Foreign => SnapshotError::Foreign,
        HeaderError::Version(version) => SnapshotError::Version(version),
    })?;
    let expected = HEADER_LENGTH + header.map_or(0, |header| header.length);
    let Some(header) = header.filter(|_| expected == bytes.len()) else {
        return Err(SnapshotError::Length { expected, found: bytes.len() });
    };
    header.decode_body(&bytes[HEADER_LENGTH..]).map_err(SnapshotError::Corrupt)
}

impl SavedEndpoint {
    fn to_stored(&self, anchor: &Anchor) -> StoredEndpoint {
        let host = &self.endpoint.host;
        StoredEndpoint {
            name: self.endpoint.name.clone(),
            server: host.server,
            zone: host.zone as u32,
            kind: host.kind as u32,
            cell: host.cell,
            weight: host.weight,
            started: anchor.start_to_unix(host.started),
            dial: self.endpoint.dial,
            listed: self.listed,
            nodes: self.nodes.clone(),
            reported_start: anchor.start_to_unix(self.reported_start),
            incarnation: self.incarnation,
            penalty: self.penalty,
        }
    }
}

impl StoredEndpoint {
    fn into_saved(self, anchor: &Anchor) -> SavedEndpoint {
        let host = Host {
            server: self.server,
            zone: self.zone as usize,
            kind: self.kind as usize,
            cell: self.cell,
            state: State::Up,
            weight: self.weight,
            started: anchor.start_to_monotonic(self.started),
        };
        SavedEndpoint {
            endpoint: Endpoint { host, name: self.name, dial: self.dial },
            listed: self.listed,
            nodes: self.nodes,
            reported_start: anchor.start_to_monotonic(self.reported_start),
            incarnation: self.incarnation,
            penalty: self.penalty,
        }
    }
}
