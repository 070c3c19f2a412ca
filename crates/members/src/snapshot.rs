//! The last good roster in bytes, sealed. Anything torn, foreign or newer is refused by name.
use crate::entry::Entry;
use crate::sealed::{Broken, Form, HEAD};
use larchway::{Host, Micros, State};
use serde::{Deserialize, Serialize};
use std::fmt;

const VERSION: u16 = 1;
const FORM: Form = Form { mark: b"larchmbr", version: VERSION };
/// Most bytes of a snapshot: 20,000 boxes take about 3 MB.
pub const LONGEST: usize = 16 << 20;

/// A box that got work.
#[derive(Debug, Clone, PartialEq)]
pub struct Kept {
    /// As the module was told of it.
    pub entry: Entry,
    /// Whether the list named it.
    pub listed: bool,
    /// Its nodes, each with the session that owned it.
    pub nodes: Vec<(String, i64)>,
    /// When its process started, as told.
    pub birth: Micros,
    /// Which of its processes it was.
    pub incarnation: u32,
    /// Its penalty for flaps.
    pub penalty: f64,
}

/// A roster.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Snapshot {
    /// When it was taken.
    pub at: Micros,
    /// The boxes that got work then.
    pub boxes: Vec<Kept>,
}

/// The written form; the module's types need no serialization for it.
#[derive(Serialize, Deserialize)]
struct Written {
    at: u64,
    boxes: Vec<WrittenBox>,
}

#[derive(Serialize, Deserialize)]
struct WrittenBox {
    name: String,
    server: u64,
    zone: u32,
    kind: u32,
    cell: u64,
    weight: f64,
    started: u64,
    dial: Option<std::net::SocketAddr>,
    listed: bool,
    nodes: Vec<(String, i64)>,
    birth: u64,
    incarnation: u32,
    penalty: f64,
}

/// Why a snapshot is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refused {
    /// It is no snapshot of a roster.
    Foreign,
    /// It is of another version.
    Version(u16),
    /// It ends early, or goes on.
    Torn {
        /// Bytes it should have.
        told: usize,
        /// Bytes it has.
        found: usize,
    },
    /// Its checksum does not fit.
    Spoilt,
    /// It is older than the operator allows, by its age in ms.
    Old(u64),
    /// It was taken later than now.
    Future,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Foreign => write!(f, "it is no snapshot of a roster"),
            Refused::Version(v) => write!(f, "it is of version {v}, and {VERSION} is read here"),
            Refused::Torn { told, found } => write!(f, "it is torn: {found} bytes of {told}"),
            Refused::Spoilt => write!(f, "its checksum does not fit"),
            Refused::Old(ms) => write!(f, "it is {ms} ms old"),
            Refused::Future => write!(f, "it was taken later than now"),
        }
    }
}

impl Snapshot {
    /// In bytes.
    pub fn write(&self) -> Vec<u8> {
        let boxes = self.boxes.iter().map(|kept| {
            let host = &kept.entry.host;
            WrittenBox {
                name: kept.entry.name.clone(),
                server: host.server,
                zone: host.zone as u32,
                kind: host.kind as u32,
                cell: host.cell,
                weight: host.weight,
                started: host.started,
                dial: kept.entry.dial,
                listed: kept.listed,
                nodes: kept.nodes.clone(),
                birth: kept.birth,
                incarnation: kept.incarnation,
                penalty: kept.penalty,
            }
        });
        let written = Written { at: self.at, boxes: boxes.collect() };
        FORM.write(&written)
    }

    /// From bytes; refused where it is torn, foreign, newer, or older than `longest`.
    pub fn read(bytes: &[u8], now: Micros, longest: Micros) -> Result<Self, Refused> {
        let seal = FORM.seal(bytes).map_err(|broken| match broken {
            Broken::Foreign => Refused::Foreign,
            Broken::Version(version) => Refused::Version(version),
        })?;
        let Some(seal) = seal else { return Err(Refused::Torn { told: HEAD, found: bytes.len() }) };
        let body = &bytes[HEAD..];
        if seal.length != body.len() {
            return Err(Refused::Torn { told: HEAD + seal.length, found: bytes.len() });
        }
        let written: Written = seal.open(body).ok_or(Refused::Spoilt)?;
        if written.at > now {
            return Err(Refused::Future);
        }
        if now - written.at > longest {
            return Err(Refused::Old((now - written.at) / 1000));
        }
        let boxes = written.boxes.into_iter().map(|b| {
            let host = Host {
                server: b.server,
                zone: b.zone as usize,
                kind: b.kind as usize,
                cell: b.cell,
                state: State::Up,
                weight: b.weight,
                started: b.started,
            };
            Kept {
                entry: Entry { host, name: b.name, dial: b.dial },
                listed: b.listed,
                nodes: b.nodes,
                birth: b.birth,
                incarnation: b.incarnation,
                penalty: b.penalty,
            }
        });
        Ok(Snapshot { at: written.at, boxes: boxes.collect() })
    }
}
