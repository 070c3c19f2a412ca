//! The datagrams between gateways: one envelope for all messages, at most [`MAX_DATAGRAM_BYTES`] long.
//!
//! Layout, numbers big-endian: magic (2 bytes), version (1), kind (1), sender (2), CRC-32 of the rest (4), body.
//! Rejected datagrams are distinguished by cause ([`DecodeError`]) for operators.
mod gossip;

use serde::Serialize;
use thiserror::Error;

pub use gossip::{
    is_later_beat, is_later_incarnation, ClaimedState, Gossip, Heartbeat, MemberClaim, BEAT_MASK,
    MAX_SUSPICION_AGE,
};

/// Greatest length of a datagram in bytes: the platform voids a run with a longer one.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Length of the header before the body, in bytes.
pub const HEADER_BYTES: usize = 10;
/// Greatest length of a body in bytes.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES;
/// Length of the header before the checksum, in bytes.
const CHECKED_HEADER_BYTES: usize = 6;
/// The first bytes of each datagram.
const MAGIC: [u8; 2] = *b"lw";
/// The version of the format.
const VERSION: u8 = 1;

/// The kind of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageKind {
    /// [`Gossip`] that the recipient answers with a [`MessageKind::Ack`].
    Ping,
    /// [`Gossip`] in answer to a ping.
    Ack,
    /// A request to ping the member whose number is the body, and to forward its answer.
    IndirectPing,
    /// Reports of stores' health ([`crate::store_health`]).
    StoreHealth,
    /// The sender's estimates of the load of stores.
    Load,
    /// [`MessageKind::Ping`] within a site; member numbers in the body are indices within the site.
    SitePing,
    /// [`MessageKind::Ack`] within a site.
    SiteAck,
    /// [`MessageKind::IndirectPing`] within a site.
    SiteIndirectPing,
    /// Elections and counts of sites, zones and regions ([`crate::tiers`]).
    Tiers,
}

/// All kinds in the order of their numbers on the wire, which begin at 1.
const MESSAGE_KINDS: [MessageKind; 9] = [
    MessageKind::Ping,
    MessageKind::Ack,
    MessageKind::IndirectPing,
    MessageKind::StoreHealth,
    MessageKind::Load,
    MessageKind::SitePing,
    MessageKind::SiteAck,
    MessageKind::SiteIndirectPing,
    MessageKind::Tiers,
];

/// Why a datagram is rejected. Variants are serialized under the names in the operators' reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error, Serialize)]
pub enum DecodeError {
    /// It came from an address that is not in `peers`, or names a different sender than `peers` has at that address.
    #[error("the sender is not the gateway that `peers` has at this address")]
    #[serde(rename = "foreign")]
    UnknownSender,
    /// The header is missing, the datagram is truncated or too long, or the body cannot be decoded.
    #[error("not a datagram of this protocol, or truncated")]
    #[serde(rename = "malformed")]
    Malformed,
    /// The checksum is wrong.
    #[error("wrong checksum")]
    #[serde(rename = "spoilt")]
    Corrupt,
    /// The version is not supported, or the message kind is unknown.
    #[error("unsupported version or unknown message kind")]
    #[serde(rename = "version")]
    UnsupportedVersion,
}

/// A decoded datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Envelope<'a> {
    /// The kind of its body.
    pub kind: MessageKind,
    /// The sender's member number.
    pub from: u16,
    /// The body, not yet decoded.
    pub body: &'a [u8],
}

fn checksum(header: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(body);
    hasher.finalize()
}

/// Encodes a datagram. A body over [`MAX_BODY_BYTES`] is a bug of the caller and is truncated.
pub fn encode(kind: MessageKind, from: u16, body: &[u8]) -> Vec<u8> {
    let body = &body[..body.len().min(MAX_BODY_BYTES)];
    let index = MESSAGE_KINDS.iter().position(|listed| *listed == kind).unwrap_or(0);
    let mut datagram = Vec::with_capacity(HEADER_BYTES + body.len());
    datagram.extend_from_slice(&MAGIC);
    datagram.extend_from_slice(&[VERSION, index as u8 + 1]);
    datagram.extend_from_slice(&from.to_be_bytes());
    let checksum = checksum(&datagram, body);
    datagram.extend_from_slice(&checksum.to_be_bytes());
    datagram.extend_from_slice(body);
    datagram
}

/// Decodes a datagram down to its body.
///
/// # Errors
///
/// [`DecodeError::Malformed`], [`DecodeError::Corrupt`] or [`DecodeError::UnsupportedVersion`]. The caller checks the
/// sender.
pub fn decode(datagram: &[u8]) -> Result<Envelope<'_>, DecodeError> {
    let length_fits = (HEADER_BYTES..=MAX_DATAGRAM_BYTES).contains(&datagram.len());
    if !length_fits || datagram[..2] != MAGIC {
        return Err(DecodeError::Malformed);
    }
    let (header, body) = (&datagram[..CHECKED_HEADER_BYTES], &datagram[HEADER_BYTES..]);
    let sent_checksum = u32::from_be_bytes([datagram[6], datagram[7], datagram[8], datagram[9]]);
    if sent_checksum != checksum(header, body) {
        return Err(DecodeError::Corrupt);
    }
    let kind = MESSAGE_KINDS.get(usize::from(header[3]).wrapping_sub(1));
    match kind.filter(|_| header[2] == VERSION) {
        Some(&kind) => Ok(Envelope { kind, from: u16::from_be_bytes([header[4], header[5]]), body }),
        None => Err(DecodeError::UnsupportedVersion),
    }
}

#[cfg(test)]
mod tests;
