//! The memory of connections: what their buffers take, what is rejected beyond their part of the limit, and which
//! stores are not read from until there is memory again.
//!
//! When memory becomes scarce, this is given up in order: cached copies; reading from clients that have unread replies;
//! reading long replies of stores; requests, which are rejected; replies that their clients have no room for. Nothing
//! is taken back that a client is still to read.
use super::Gateway;
use crate::connection::{Connection, ConnectionState, Role};
use crate::memory::budget::{Succession, MEASUREMENT_INTERVAL};
use crate::memory::input_buffer::{INPUT_PAGES_BYTES, MAX_HEAP_INPUT_BYTES};
use crate::memory::{page_buffer, private_memory, MemoryShares, MemoryUse};
use crate::slots::SlotKey;
use larchway::MonotonicTime;
use larchway_object_cache::{MemoryBudget, ObjectCache};
use larchway_operations::request_counters::MemoryGauges;
use std::collections::VecDeque;
use std::time::Duration;
use tracing::warn;

/// Percentage of the clients' share above which a client that reads slowly gets no further request admitted.
const UNREAD_CLIENT_PERCENT: usize = 50;
/// Percentage of the clients' share above which no client gets a further request admitted, unless it gets short replies
/// alone.
const ADMIT_PERCENT: usize = 75;
/// Divisor of the memory limit for the bodies of all open requests.
const REQUEST_MEMORY_DIVISOR: usize = 8;
/// Maximum number of open requests.
const MAX_OPEN_REQUESTS: usize = 4000;
/// Number of open requests up to which further ones are admitted although memory is short.
const MIN_OPEN_REQUESTS: usize = 64;
/// Time for which pages are kept that no buffer needs.
const PAGE_RELEASE_INTERVAL: Duration = Duration::from_secs(1);
/// Size of a short reply, which has a share of memory of its own. While the clients' buffers are over seven eighths of
/// their share, a client with more unsent bytes is not read from, since even small replies to many requests add up.
pub(super) const SMALL_ANSWER_BYTES: usize = 16 * 1024;

/// The account of the memory of connections.
#[derive(Default)]
pub(super) struct MemoryAccount {
    /// Limit on the memory, in bytes, of all processes of the gateway together.
    pub(super) limit: usize,
    /// Private memory of this process in bytes, by the last measurement.
    private_bytes: usize,
    /// The parts of the limit for buffers, by the last measurement.
    pub(super) shares: MemoryShares,
    /// When the memory of the processes is measured next.
    next_measurement: MonotonicTime,
    /// When pages that no buffer has needed are given back next.
    next_page_release: MonotonicTime,
    /// Memory of the buffers of all client connections: unprocessed input and unsent output.
    pub(super) client_bytes: usize,
    /// Number of connections to stores whose input is on pages, since a long reply is being received.
    pub(super) store_inputs_on_pages: usize,
    /// Connections to stores that are not read from until there is memory for a long reply; some may be closed.
    awaiting: VecDeque<SlotKey>,
    /// Memory in which the next long reply is encoded.
    pub(super) reply_scratch: Vec<u8>,
}

/// Whether this number of unprocessed input bytes is above the size that a client may always buffer.
fn is_large_input(input: &usize) -> bool {
    *input > SMALL_ANSWER_BYTES
}

impl Gateway {
    /// Measures the memory of the gateway's processes, unless that was done a moment ago, and divides the limit anew.
    pub(super) fn measure_memory(&mut self, now: MonotonicTime) {
        if now >= self.memory.next_measurement {
            self.divide_memory(now);
        }
    }

    /// Divides the limit on memory by what the processes of the gateway take now.
    pub(super) fn divide_memory(&mut self, now: MonotonicTime) {
        self.memory.next_measurement = now + MEASUREMENT_INTERVAL;
        // If it cannot be measured, the last figure is the best one.
        self.memory.private_bytes = private_memory::of_this_process().unwrap_or(self.memory.private_bytes);
        let pages = page_buffer::page_use();
        let cache = self.core.object_cache.as_ref();
        let used = MemoryUse {
            private: self.memory.private_bytes,
            occupied_pages: pages.occupied_bytes,
            spare_pages: pages.spare_bytes,
            copies_to_come: cache.map_or(0, ObjectCache::bytes_to_come),
            other_processes: self.memory_of_other_processes(),
            process_count: self.processes.process_count(),
            succession: match self.upgrade {
                Some(_) => Succession::Possible,
                None => Succession::Impossible,
            },
        };
        self.memory.shares = MemoryShares::divide(self.memory.limit, &used);
        page_buffer::set_max_bytes(self.memory.shares.pages);
        if now >= self.memory.next_page_release {
            self.memory.next_page_release = now + PAGE_RELEASE_INTERVAL;
            page_buffer::drop_unneeded();
        }
        self.resume_store_inputs(now);
    }

    /// An equal part of the limit for each process of the gateway.
    pub(super) fn memory_of_each_process(&self) -> usize {
        self.memory.limit / self.processes.process_count()
    }

    /// Sets the capacity of the object cache, which gives way to the buffers of clients.
    pub(super) fn update_copy_capacity(&mut self) {
        let budget =
            MemoryBudget { limit: self.memory_of_each_process(), reserved: self.memory.client_bytes };
        self.core.object_cache.iter_mut().for_each(|cache| cache.set_capacity(budget));
    }

    /// Private memory of the gateway's other processes; an equal part of the limit for one that cannot be measured.
    fn memory_of_other_processes(&self) -> usize {
        let part = self.memory_of_each_process();
        let Some(upgrade) = &self.upgrade else { return 0 };
        let places = upgrade.places().into_iter();
        places
            .map(|place| upgrade.process_id(place).and_then(private_memory::of_process).unwrap_or(part))
            .sum()
    }

    /// Updates the account of buffers with what those of this connection take.
    pub(super) fn update_buffer_use(&mut self, now: MonotonicTime, key: SlotKey) {
        let Some(conn) = self.connections.get_mut(key) else { return };
        match conn.role {
            Role::PlatformClient(_) | Role::SignedClient(_) => {
                let taken = conn.output.allocated_bytes() + conn.input.allocated_bytes();
                self.memory.client_bytes = self.memory.client_bytes + taken - conn.counted_bytes;
                let is_less = taken < std::mem::replace(&mut conn.counted_bytes, taken);
                if is_less {
                    self.resume_store_inputs(now);
                }
            }
            Role::Store(_) => {
                let is_on_pages = conn.input.is_on_pages();
                let was_on_pages = std::mem::replace(&mut conn.is_counted_on_pages, is_on_pages);
                self.memory.store_inputs_on_pages += usize::from(is_on_pages);
                self.memory.store_inputs_on_pages -= usize::from(was_on_pages);
                if was_on_pages && !is_on_pages {
                    self.resume_store_inputs(now);
                }
            }
            Role::Events | Role::Ensemble => {}
        }
    }

    /// Whether there is memory for one more long reply of a store. One can always be received; clients lend the half of
    /// their share that they do not use.
    fn can_receive_long_reply(&self) -> bool {
        let lent = (self.memory.shares.clients / 2).saturating_sub(self.memory.client_bytes);
        let needed = (self.memory.store_inputs_on_pages + 1) * INPUT_PAGES_BYTES;
        self.memory.store_inputs_on_pages == 0 || needed <= self.memory.shares.stores + lent
    }

    /// Memory of the clients' share that replies of stores take.
    fn lent_bytes(&self) -> usize {
        (self.memory.store_inputs_on_pages * INPUT_PAGES_BYTES).saturating_sub(self.memory.shares.stores)
    }

    /// Number of input bytes up to which a connection may be read from now. A store may have sent more replies than the
    /// pages of one input hold.
    pub(super) fn max_input_bytes(&self, conn: &Connection) -> usize {
        if !matches!(conn.role, Role::Store(_)) {
            return usize::MAX;
        }
        // One that waits for memory is not polled, so this is the end of the connection.
        let may_use_pages = conn.is_counted_on_pages || conn.awaits_memory || self.can_receive_long_reply();
        if may_use_pages {
            INPUT_PAGES_BYTES
        } else {
            MAX_HEAP_INPUT_BYTES
        }
    }

    /// Stops reading from a store until there is memory for a long reply, unless messages of it are still to be
    /// handled.
    pub(super) fn await_memory(&mut self, key: SlotKey) {
        let Some(conn) = self.connections.get_mut(key) else { return };
        if !conn.awaits_memory && !conn.has_postponed_input {
            conn.awaits_memory = true;
            self.memory.awaiting.push_back(key);
        }
        self.update_interest(key);
    }

    /// Reads again from stores that wait for memory, in order, as far as there is some for their replies.
    pub(super) fn resume_store_inputs(&mut self, now: MonotonicTime) {
        while !self.memory.awaiting.is_empty() && self.can_receive_long_reply() {
            let Some(key) = self.memory.awaiting.pop_front() else { return };
            let Some(conn) = self.connections.get_mut(key) else { continue };
            conn.awaits_memory = false;
            // The silence was not the store's.
            conn.last_read = now;
            // Its memory is taken from now on.
            self.memory.store_inputs_on_pages += usize::from(!conn.is_counted_on_pages);
            conn.is_counted_on_pages = true;
            self.update_interest(key);
        }
    }

    /// Enforces the limit on the buffers of all client connections: several hundred clients that read 1 MB per
    /// second, or that send half a message, exhaust the memory together although each buffers little.
    pub(super) fn enforce_client_bytes(&mut self, now: MonotonicTime) {
        // The object cache shrinks first: buffered replies take precedence over cached objects.
        self.update_copy_capacity();
        while self.memory.client_bytes > self.memory.shares.clients {
            let Some((key, input)) = self.largest_input().filter(|input| self.is_excessive_input(*input))
            else {
                return;
            };
            self.disconnect_for_memory(now, key, input);
        }
    }

    /// Whether a client's unprocessed input is a reason for too little memory: it is large, or those of all clients
    /// are.
    fn is_excessive_input(&self, (_, input): (SlotKey, usize)) -> bool {
        let all_inputs = || self.client_inputs().map(|(_, input)| input).sum::<usize>();
        is_large_input(&input) || all_inputs() > self.memory.shares.clients / 2
    }

    /// Makes capacity for a reply of `answer_bytes` and returns whether there is enough. Disconnects the clients with
    /// the largest unprocessed inputs, if all large inputs together free enough: otherwise a reply that a client waits
    /// for would be lost in favour of incomplete messages. Clients with small inputs stay connected.
    pub(super) fn ensure_answer_capacity(&mut self, now: MonotonicTime, answer_bytes: usize) -> bool {
        if self.can_buffer(answer_bytes) {
            return true;
        }
        let large_inputs: usize = self.client_inputs().map(|(_, input)| input).filter(is_large_input).sum();
        let taken = self.memory.client_bytes + self.lent_bytes();
        let excess = (taken + answer_bytes).saturating_sub(self.memory.shares.clients);
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
            all_clients_bytes = self.memory.client_bytes,
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

    /// Whether a reply of `answer_bytes` can be buffered until its client reads it.
    pub(super) fn can_buffer(&self, answer_bytes: usize) -> bool {
        let short_replies =
            if answer_bytes <= SMALL_ANSWER_BYTES { self.memory.shares.short_replies } else { 0 };
        let taken = self.memory.client_bytes + self.lent_bytes();
        taken + answer_bytes <= self.memory.shares.clients + short_replies
    }

    /// Memory of clients' buffers below which a further request of this client is admitted. One that gets short replies
    /// has half of their share in addition: those who wait for long ones do not keep it out, and the replies to what is
    /// admitted have the other half.
    fn admission_limit(&self, now: MonotonicTime, key: SlotKey) -> usize {
        let shares = &self.memory.shares;
        match self.connections.get(key) {
            Some(conn) if conn.reply_history.reads_slowly(now) => {
                shares.clients / 100 * UNREAD_CLIENT_PERCENT
            }
            Some(conn) if conn.reply_history.gets_short_replies(now) => {
                shares.clients + shares.short_replies / 2
            }
            Some(conn) if conn.has_unread_output() => shares.clients / 100 * UNREAD_CLIENT_PERCENT,
            _ => shares.clients / 100 * ADMIT_PERCENT,
        }
    }

    /// Whether memory use and the number of open requests allow one more request of this client.
    pub(super) fn has_capacity(&self, now: MonotonicTime, key: SlotKey) -> bool {
        let max_open = if self.memory.shares.is_short { MIN_OPEN_REQUESTS } else { MAX_OPEN_REQUESTS };
        self.core.request_body_bytes < self.memory_of_each_process() / REQUEST_MEMORY_DIVISOR
            && self.core.open_requests() < max_open
            && self.memory.client_bytes < self.admission_limit(now, key)
    }

    /// The private memory of this process by holder, for the statistics report.
    pub(super) fn memory_gauges(&self) -> MemoryGauges {
        let pages = page_buffer::page_use();
        let allocated = |c: &Connection| c.input.allocated_bytes() + c.output.allocated_bytes();
        let others = self.connections.iter().filter(|(_, c)| !c.role.is_client());
        MemoryGauges {
            limit: self.memory.limit,
            private: private_memory::of_this_process().unwrap_or(self.memory.private_bytes),
            client_buffers: self.memory.client_bytes,
            store_buffers: others.map(|(_, c)| allocated(c)).sum(),
            spare_pages: pages.spare_bytes,
            copies: self.core.object_cache.as_ref().map_or(0, ObjectCache::bytes),
            request_bodies: self.core.request_body_bytes,
        }
    }
}
