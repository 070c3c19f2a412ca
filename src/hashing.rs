//! Machine-independent hashing, and weighted rendezvous hashing built on it.

/// The rank of a server for a key in weighted rendezvous hashing; the server with the lowest rank comes
/// first. A server whose weight grows takes keys from the others and moves none among them.
pub fn rendezvous_rank(key: u64, server: u64, weight: f64) -> f64 {
    rank_of(unit(key ^ rendezvous_seed(server)), weight)
}

/// The part of a server's ranks that is the same for all keys.
pub fn rendezvous_seed(server: u64) -> u64 {
    mix(server.wrapping_add(0x9e37_79b9))
}

/// The rank of a server from its hash for a key, a number above 0 and up to 1, and its weight.
pub fn rank_of(drawn: f64, weight: f64) -> f64 {
    -drawn.ln() / weight
}

/// Hashes a number to 64 bits, the same on every machine.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hashes a number to a uniformly distributed one above 0 and up to 1, the same on every machine.
pub fn unit(x: u64) -> f64 {
    ((mix(x) >> 11) as f64 + 1.0) / (1u64 << 53) as f64
}
