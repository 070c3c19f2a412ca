//! The memory of connections: the limit on the buffered bytes of all clients, and what is rejected beyond it.
use super::Gateway;
use crate::connection::ConnectionState;
use crate::slots::SlotKey;
use larchway::MonotonicTime;
use larchway_object_cache::MemoryBudget;
use tracing::warn;

/// Divisor of the memory limit for the buffered bytes of all client connections (unprocessed input and unsent output)
/// above which a client that has unsent replies gets no further request admitted.
const UNREAD_CLIENT_MEMORY_DIVISOR: usize = 6;
/// Divisor of the memory limit for these buffered bytes above which no client gets a further request admitted.
const ADMIT_MEMORY_DIVISOR: usize = 4;
/// Divisor of the memory limit for the hard limit on these buffered bytes: beyond it, requests whose replies have
/// arrived are rejected too, and the client with the most unprocessed input is disconnected. Clients that read slowly
/// are not: that is no fault, and disconnecting one loses the replies that are still to be sent to it.
pub(super) const CLIENT_MEMORY_DIVISOR: usize = 3;
/// Divisor of the memory limit for the bodies of all open requests.
const REQUEST_MEMORY_DIVISOR: usize = 8;
/// Maximum number of open requests.
const MAX_OPEN_REQUESTS: usize = 4000;
/// Bytes of unsent replies that each client may always have. While the clients' buffers are over seven eighths of their
/// limit, a client with more unsent bytes is not read from, since even small replies to many requests add up.
pub(super) const SMALL_ANSWER_BYTES: usize = 16 * 1024;

/// Whether this number of unprocessed input bytes is above the size that a client may always buffer.
fn is_large_input(input: &usize) -> bool {
    *input > SMALL_ANSWER_BYTES
}

impl Gateway {
    /// Updates the count of buffered bytes of all clients with those of this connection.
    pub(super) fn update_client_bytes(&mut self, key: SlotKey) {
        if let Some(conn) = self.connections.get_mut(key).filter(|c| c.role.is_client()) {
            let buffered = conn.output.remaining().len() + conn.input.remaining().len();
            self.client_bytes = self.client_bytes + buffered - conn.counted_bytes;
            conn.counted_bytes = buffered;
        }
    }

    /// Enforces the limit on the buffered bytes of all client connections: several hundred clients that read 1 MB per
    /// second, or that send half a message, exhaust the memory together although each buffers little.
    pub(super) fn enforce_client_bytes(&mut self, now: MonotonicTime) {
        // The object cache shrinks first: buffered replies take precedence over cached objects.
        let memory = self.memory_limit / self.processes.process_count();
        let budget = MemoryBudget { limit: memory, reserved: self.client_bytes };
        self.core.object_cache.iter_mut().for_each(|cache| cache.set_capacity(budget));
        while self.client_bytes > self.max_client_bytes {
            let Some((key, input)) = self.largest_input() else { return };
            self.disconnect_for_memory(now, key, input);
        }
    }

    /// Makes capacity for a reply of `answer_bytes` and returns whether there is enough. Disconnects the clients with
    /// the largest unprocessed inputs, if all large inputs together free enough: otherwise a reply that a client waits
    /// for would be lost in favour of incomplete messages. Clients with small inputs stay connected.
    pub(super) fn ensure_answer_capacity(&mut self, now: MonotonicTime, answer_bytes: usize) -> bool {
        if self.can_buffer(answer_bytes) {
            return true;
        }
        let large_inputs: usize = self.client_inputs().map(|(_, input)| input).filter(is_large_input).sum();
        let excess = (self.client_bytes + answer_bytes).saturating_sub(self.max_client_bytes);
        while !self.can_buffer(answer_bytes) && large_inputs >= excess {
            let Some((key, input)) = self.largest_input().filter(|(_, input)| is_large_input(input)) else {
                break;
            };
            self.disconnect_for_memory(now, key, input);
        }
        self.can_buffer(answer_bytes)
    }

    fn disconnect_for_memory(&mut self, now: MonotonicTime, key: SlotKey, input: usize) {
        warn!(
            client_input_bytes = input,
            all_clients_bytes = self.client_bytes,
            "a client is cut off: too many bytes wait to be dealt with"
        );
        self.finish_client(now, key);
    }

    /// The open client connections, each with the number of its unprocessed input bytes.
    fn client_inputs(&self) -> impl Iterator<Item = (SlotKey, usize)> + '_ {
        let open =
            self.connections.iter().filter(|(_, c)| c.role.is_client() && c.state == ConnectionState::Open);
        open.map(|(key, c)| (key, c.input.remaining().len()))
    }

    /// The open client connection with the most unprocessed input bytes, if any has some.
    fn largest_input(&self) -> Option<(SlotKey, usize)> {
        self.client_inputs().filter(|(_, input)| *input > 0).max_by_key(|(_, input)| *input)
    }

    /// Whether a reply of `answer_bytes` can be buffered until its client reads it; a small one always can.
    pub(super) fn can_buffer(&self, answer_bytes: usize) -> bool {
        answer_bytes <= SMALL_ANSWER_BYTES || self.client_bytes + answer_bytes <= self.max_client_bytes
    }

    /// Whether memory use and the number of open requests allow one more request of this client.
    pub(super) fn has_capacity(&self, key: SlotKey) -> bool {
        // Replies of this iteration may not be written yet.
        let has_unread_answers = self.connections.get(key).is_some_and(|c| c.polled_interest.writable);
        let divisor = if has_unread_answers { UNREAD_CLIENT_MEMORY_DIVISOR } else { ADMIT_MEMORY_DIVISOR };
        let processes = self.processes.process_count();
        self.core.request_body_bytes < self.memory_limit / processes / REQUEST_MEMORY_DIVISOR
            && self.core.open_requests() < MAX_OPEN_REQUESTS
            && self.client_bytes < self.memory_limit / processes / divisor
    }
}
