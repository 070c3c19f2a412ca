//! Endpoints, as the decision module and the wires describe them.
use larchway::{Host, ServerId};
use larchway_unix_time::UnixMicros;
use std::net::SocketAddr;

/// Limit on the number of endpoints, including those that have departed. Further ones are ignored and reported as
/// [`LogEvent::LimitReached`](crate::LogEvent::LimitReached).
pub const MAX_ENDPOINTS: usize = 20_000;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A cache server.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// What the decision module gets. `started` is in µs of the monotonic clock, 0 if it was long ago or is unknown.
    pub host: Host,
    /// Its name, which is also sent to other endpoints as the source of a fill.
    pub name: String,
    /// Its address; unknown for one that has been removed.
    pub dial: Option<SocketAddr>,
}

/// An endpoint as it was received, with the start of its process by the Unix clock.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedEndpoint {
    /// The endpoint; `started` in its host is not set.
    pub endpoint: Endpoint,
    /// When its process started; unset if it was long ago or is unknown.
    pub started: UnixMicros,
}

/// The decision module's number of an endpoint: the hexadecimal digits behind the last `-` of its name, or the FNV-1a
/// hash of a name that does not end in such digits.
pub fn endpoint_id(name: &str) -> ServerId {
    let suffix = name.rsplit('-').next().unwrap_or(name);
    u64::from_str_radix(suffix, 16).unwrap_or_else(|_| fnv1a(name))
}

fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// The index of a name among others. Lists may abbreviate names ("std" for "standard"): where no name is equal, the
/// first one counts that contains the given characters in their order.
pub fn index_of_name(names: &[String], name: &str) -> Option<usize> {
    let exact = names.iter().position(|known| known == name);
    exact.or_else(|| names.iter().position(|known| is_abbreviation(name, known)))
}

fn is_abbreviation(short: &str, full: &str) -> bool {
    let mut characters = full.chars();
    !short.is_empty() && short.chars().all(|wanted| characters.any(|character| character == wanted))
}
