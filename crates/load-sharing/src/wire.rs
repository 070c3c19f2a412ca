//! The body of load gossip between gateways: load estimates of consecutive stores of a list, ordered by number.

/// Greatest length of a body: the capacity of the envelope between gateways.
pub const MAX_BODY_BYTES: usize = larchway_cluster::wire::MAX_BODY_BYTES;
/// Greatest number of stores in one body.
pub const MAX_ENTRIES: usize = (MAX_BODY_BYTES - HEADER_BYTES) / ENTRY_BYTES;
/// Magic bytes and the version of the format.
const MAGIC: [u8; 3] = [b'l', b's', 1];
/// Offsets of the header's fields, and its length, in bytes.
const ZONE_OFFSET: usize = MAGIC.len();
const LIST_DIGEST_OFFSET: usize = 4;
const FIRST_INDEX_OFFSET: usize = 8;
const COUNT_OFFSET: usize = 10;
const HEADER_BYTES: usize = 12;
/// Length of an entry, and the offset of the weight in it, in bytes.
const ENTRY_BYTES: usize = 4;
const WEIGHT_OFFSET: usize = 2;
/// Resolution of an encoded load.
const LOAD_STEP: f64 = 1.0 / 1024.0;
/// Resolution of an encoded weight.
const WEIGHT_STEP: f64 = 1.0 / 64.0;

/// The estimated load of one store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreLoad {
    /// The estimated load.
    pub load: f64,
    /// The weight of the estimate when it is sent, in load reports.
    pub weight: f64,
}

/// One gateway's estimates of consecutive stores of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSummary {
    /// The index of the stores' zone.
    pub zone: u8,
    /// Identifies the list of stores to which the indices refer.
    pub list_digest: u32,
    /// The index in the list of the first store in `entries`.
    pub first_index: u16,
    /// The estimates of the stores from `first_index` on, at most [`MAX_ENTRIES`].
    pub entries: Vec<StoreLoad>,
}

impl LoadSummary {
    /// Encodes the summary: magic, version, zone, list digest, first index, number of entries, then load and weight of
    /// each entry. All numbers are big-endian; values out of range are clamped, and entries beyond [`MAX_ENTRIES`] are
    /// omitted.
    pub fn encode(&self) -> Vec<u8> {
        let entries = &self.entries[..self.entries.len().min(MAX_ENTRIES)];
        let mut body = MAGIC.to_vec();
        body.push(self.zone);
        body.extend_from_slice(&self.list_digest.to_be_bytes());
        body.extend_from_slice(&self.first_index.to_be_bytes());
        body.extend_from_slice(&(entries.len() as u16).to_be_bytes());
        for entry in entries {
            body.extend_from_slice(&quantize(entry.load, LOAD_STEP).to_be_bytes());
            body.extend_from_slice(&quantize(entry.weight, WEIGHT_STEP).to_be_bytes());
        }
        body
    }

    /// Decodes a body; `None` if it has another format, is truncated or too long.
    pub fn decode(body: &[u8]) -> Option<Self> {
        let (magic, _) = body.split_first_chunk()?;
        let count = usize::from(read_u16(body, COUNT_OFFSET)?);
        let has_valid_length = count <= MAX_ENTRIES && body.len() == HEADER_BYTES + ENTRY_BYTES * count;
        if *magic != MAGIC || !has_valid_length {
            return None;
        }
        let entries = body[HEADER_BYTES..].chunks_exact(ENTRY_BYTES);
        Some(LoadSummary {
            zone: body[ZONE_OFFSET],
            list_digest: read_u32(body, LIST_DIGEST_OFFSET)?,
            first_index: read_u16(body, FIRST_INDEX_OFFSET)?,
            entries: entries.map(decode_entry).collect::<Option<_>>()?,
        })
    }
}

fn decode_entry(bytes: &[u8]) -> Option<StoreLoad> {
    let load = read_u16(bytes, 0)?;
    let weight = read_u16(bytes, WEIGHT_OFFSET)?;
    Some(StoreLoad { load: f64::from(load) * LOAD_STEP, weight: f64::from(weight) * WEIGHT_STEP })
}

/// The value as the nearest number of steps, clamped to two bytes.
fn quantize(value: f64, step: f64) -> u16 {
    (value / step).round().clamp(0.0, f64::from(u16::MAX)) as u16
}

fn read_u16(bytes: &[u8], offset: usize) -> Option<u16> {
    let field = bytes.get(offset..)?.first_chunk()?;
    Some(u16::from_be_bytes(*field))
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..)?.first_chunk()?;
    Some(u32::from_be_bytes(*field))
}

#[cfg(test)]
mod tests;
