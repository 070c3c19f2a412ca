//! Messages between representatives, voters and members: the body of a datagram of kind
//! [`crate::wire::MessageKind::Tiers`].
//!
//! Layout, numbers big-endian: type (1 byte), tier (1), group (2), then by type; see [`Message::encode`].
use super::count::{Count, Version};
use super::topology::{Tier, MAX_CHILDREN, MAX_GROUP_SIZE};
use crate::wire::MAX_BODY_BYTES;

/// A message about the lease or the counts of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The tier of the group; for a table, the tier of the groups in it.
    pub tier: Tier,
    /// The number of the group within its tier. For a table: the group whose representative published it.
    pub group: u16,
    /// The content by type.
    pub content: Content,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// The sender requests the lease, or its renewal.
    Request(Request),
    /// The sender grants a request.
    Grant {
        /// The granted term.
        term: u32,
        /// The round of the request.
        round: u32,
    },
    /// The sender refuses a request: it knows of a later term, or has granted the same term to another candidate.
    Refusal {
        /// The latest term that the sender knows.
        term: u32,
    },
    /// The sender received a report or table of the group of an earlier term than one that it knows, or of the same
    /// term from another representative.
    StaleReport {
        /// The term of the report or table that the sender knows.
        term: u32,
    },
    /// The sender does not represent this group; it names the member that does, as far as it knows.
    Redirect {
        /// The representative's member number.
        representative: u16,
    },
    /// The count of the group, from its representative.
    Report {
        /// The version of the report.
        version: Version,
        /// The numbers of live and unknown gateways.
        count: Count,
    },
    /// The counts of all groups of the tier that are siblings, in the order of the topology.
    Table(Table),
}

/// A request for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Request {
    /// The requested term.
    pub term: u32,
    /// The number of the round, which the grant repeats.
    pub round: u32,
    /// Whether the candidate already holds the lease and renews it.
    pub is_renewal: bool,
}

/// A table of counts as its author published it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Table {
    /// The member number of the representative that published it.
    pub author: u16,
    /// Its version among the tables of that group's representatives.
    pub version: Version,
    /// The counts by index of the group; at most [`MAX_CHILDREN`].
    pub counts: Vec<Count>,
}

const REQUEST: u8 = 1;
const GRANT: u8 = 2;
const REFUSAL: u8 = 3;
const REDIRECT: u8 = 4;
const REPORT: u8 = 5;
const TABLE: u8 = 6;
const STALE_REPORT: u8 = 7;
/// Greatest length of an encoded count, in bytes; one without unknown gateways takes half.
const COUNT_BYTES: usize = 4;
/// The flag in the number of live gateways that the number of unknown ones follows. The bit is free, since groups have
/// at most [`MAX_GROUP_SIZE`] gateways.
const UNKNOWN_FOLLOWS: u16 = MAX_GROUP_SIZE + 1;
const _: () = assert!(UNKNOWN_FOLLOWS.is_power_of_two());
/// Bytes of a table before its counts.
const TABLE_HEADER_BYTES: usize = 4 + 2 + 8;
const _: () = assert!(TABLE_HEADER_BYTES + MAX_CHILDREN * COUNT_BYTES <= MAX_BODY_BYTES);

/// Reads numbers from the front of a body.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (front, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*front)
    }

    fn u8(&mut self) -> Option<u8> {
        self.take::<1>().map(|[byte]| byte)
    }

    fn u16(&mut self) -> Option<u16> {
        self.take().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Option<u32> {
        self.take().map(u32::from_be_bytes)
    }

    fn version(&mut self) -> Option<Version> {
        Some(Version { term: self.u32()?, sequence: self.u32()? })
    }

    fn count(&mut self) -> Option<Count> {
        let live = self.u16()?;
        let unknown = if live & UNKNOWN_FOLLOWS == 0 { 0 } else { self.u16()? };
        Some(Count { live: live & MAX_GROUP_SIZE, unknown })
    }
}

fn put_count(bytes: &mut Vec<u8>, count: Count) {
    let live = count.live.min(MAX_GROUP_SIZE);
    if count.unknown == 0 {
        return bytes.extend_from_slice(&live.to_be_bytes());
    }
    bytes.extend_from_slice(&(live | UNKNOWN_FOLLOWS).to_be_bytes());
    bytes.extend_from_slice(&count.unknown.to_be_bytes());
}

fn put_version(bytes: &mut Vec<u8>, version: Version) {
    bytes.extend_from_slice(&version.term.to_be_bytes());
    bytes.extend_from_slice(&version.sequence.to_be_bytes());
}

impl Message {
    /// Encodes the body.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![self.content.type_byte(), self.tier.index() as u8];
        bytes.extend_from_slice(&self.group.to_be_bytes());
        self.content.encode(&mut bytes);
        bytes
    }

    /// Decodes a body; `None` if it is truncated, too long or has an unknown type or tier.
    pub fn decode(body: &[u8]) -> Option<Message> {
        let mut reader = Reader(body);
        let message_type = reader.u8()?;
        let tier = Tier::from_index(usize::from(reader.u8()?))?;
        let group = reader.u16()?;
        let content = Content::decode(message_type, &mut reader)?;
        reader.0.is_empty().then_some(Message { tier, group, content })
    }
}

impl Content {
    fn type_byte(&self) -> u8 {
        match self {
            Content::Request(_) => REQUEST,
            Content::Grant { .. } => GRANT,
            Content::Refusal { .. } => REFUSAL,
            Content::StaleReport { .. } => STALE_REPORT,
            Content::Redirect { .. } => REDIRECT,
            Content::Report { .. } => REPORT,
            Content::Table(_) => TABLE,
        }
    }

    fn encode(&self, bytes: &mut Vec<u8>) {
        match self {
            Content::Request(Request { term, round, is_renewal }) => {
                bytes.extend_from_slice(&term.to_be_bytes());
                bytes.extend_from_slice(&round.to_be_bytes());
                bytes.push(u8::from(*is_renewal));
            }
            Content::Grant { term, round } => {
                bytes.extend_from_slice(&term.to_be_bytes());
                bytes.extend_from_slice(&round.to_be_bytes());
            }
            Content::Refusal { term } | Content::StaleReport { term } => {
                bytes.extend_from_slice(&term.to_be_bytes());
            }
            Content::Redirect { representative } => bytes.extend_from_slice(&representative.to_be_bytes()),
            Content::Report { version, count } => {
                put_version(bytes, *version);
                put_count(bytes, *count);
            }
            Content::Table(table) => {
                bytes.extend_from_slice(&table.author.to_be_bytes());
                put_version(bytes, table.version);
                table.counts.iter().take(MAX_CHILDREN).for_each(|count| put_count(bytes, *count));
            }
        }
    }

    fn decode(message_type: u8, reader: &mut Reader<'_>) -> Option<Content> {
        Some(match message_type {
            REQUEST => {
                let (term, round) = (reader.u32()?, reader.u32()?);
                Content::Request(Request { term, round, is_renewal: reader.u8()? != 0 })
            }
            GRANT => Content::Grant { term: reader.u32()?, round: reader.u32()? },
            REFUSAL => Content::Refusal { term: reader.u32()? },
            STALE_REPORT => Content::StaleReport { term: reader.u32()? },
            REDIRECT => Content::Redirect { representative: reader.u16()? },
            REPORT => Content::Report { version: reader.version()?, count: reader.count()? },
            TABLE => {
                let (author, version) = (reader.u16()?, reader.version()?);
                let mut counts = Vec::new();
                while !reader.0.is_empty() && counts.len() < MAX_CHILDREN {
                    counts.push(reader.count()?);
                }
                Content::Table(Table { author, version, counts })
            }
            _ => return None,
        })
    }
}
