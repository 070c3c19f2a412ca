//! Divides the limit on the memory of a gateway's processes. What the heap takes is not divided but measured, since it
//! keeps what was freed; the rest of the limit is for the buffers of connections.
//!
//! The parts, from which nothing is taken twice: the private memory of all processes (heap, pages of buffers), cached
//! copies that are still to come, a margin for what the heap takes until the next measurement, the start of a
//! successor, and what is free. Each process may take an equal part of what is free.
use std::time::Duration;

/// Time between measurements. What grows faster than the margin in it has an account of its own: buffers, copies.
pub const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(20);

/// Divisor of the limit for the margin.
const MARGIN_DIVISOR: usize = 16;
/// Memory of a successor until it takes its part of what is free, in bytes.
const SUCCESSOR_BYTES: usize = 3 << 20;
/// Divisor of the limit for the least that the buffers of a process may take, so that it answers requests at all.
const LEAST_BUFFERS_DIVISOR: usize = 32;
/// Parts of the memory for buffers: for replies of stores that are being received, and for short replies that clients
/// have not read. The rest is for what clients have sent and not read.
const STORE_PARTS: usize = 4;
const SHORT_REPLY_PARTS: usize = 1;
const ALL_PARTS: usize = 16;
/// Parts of the memory for buffers that spare pages may take while the gateway has another process.
const SPARE_PARTS_BESIDE_OTHERS: usize = 1;
/// Divisor of the limit for the most that clients' buffers may take.
const CLIENT_DIVISOR: usize = 3;

/// Whether another process of the gateway may start any time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Succession {
    /// It may, and then shares the limit.
    Possible,
    /// It cannot.
    Impossible,
}

/// What the processes of a gateway take of the limit, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryUse {
    /// Private memory of this process.
    pub private: usize,
    /// Of that, pages that are part of a buffer.
    pub occupied_pages: usize,
    /// Of that, pages that are kept for the next buffers.
    pub spare_pages: usize,
    /// What cached copies may still take in addition.
    pub copies_to_come: usize,
    /// Private memory of the gateway's other processes.
    pub other_processes: usize,
    /// Number of processes, this one included.
    pub process_count: usize,
    /// Whether there may be one more soon.
    pub succession: Succession,
}

/// The parts of the memory for buffers of one process, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MemoryShares {
    /// For clients: what they have sent and is not handled, and what they have not read.
    pub clients: usize,
    /// In addition for short replies to clients.
    pub short_replies: usize,
    /// For replies of stores that are being received.
    pub stores: usize,
    /// For pages of buffers, those included that are kept for the next ones.
    pub pages: usize,
    /// Whether the margin is used up to the half, so that no more requests than a few should be admitted.
    pub is_short: bool,
}

impl MemoryShares {
    /// Divides `limit` bytes.
    pub fn divide(limit: usize, used: &MemoryUse) -> Self {
        let margin = limit / MARGIN_DIVISOR;
        let successor = match used.succession {
            Succession::Possible if used.process_count == 1 => SUCCESSOR_BYTES,
            Succession::Possible | Succession::Impossible => 0,
        };
        let private = used.private + used.other_processes;
        let taken = private + used.copies_to_come + margin + successor;
        let least = limit / used.process_count / LEAST_BUFFERS_DIVISOR;
        let pages = used.occupied_pages + used.spare_pages;
        let buffers = match limit.checked_sub(taken) {
            Some(free) => pages + free / used.process_count,
            None => pages.saturating_sub(taken - limit),
        };
        let part = buffers.max(least) / ALL_PARTS;
        let client_parts = ALL_PARTS - STORE_PARTS - SHORT_REPLY_PARTS;
        MemoryShares {
            clients: (part * client_parts).min(limit / used.process_count / CLIENT_DIVISOR),
            short_replies: part * SHORT_REPLY_PARTS,
            stores: part * STORE_PARTS,
            pages: match used.process_count {
                1 => buffers,
                _ => buffers.min(used.occupied_pages + part * SPARE_PARTS_BESIDE_OTHERS),
            },
            is_short: private + margin / 2 > limit,
        }
    }
}

#[cfg(test)]
mod tests;
