//! What is written to the connections, and whose turn it is.
use super::{Server, LINGER};
use crate::deadlines::DeadlineKind;
use crate::relay::connection::{Stage, WriteOutcome, WriteState, Written};
use crate::relay::response;
use crate::slots::SlotKey;
use larchway::MonotonicTime;
use larchway_distribution::relay::SubscriberId;
use polling::{Event, PollMode};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::error;

/// Time spent on writing in a turn, after which upstream and new connections are looked at again.
const MAX_WRITING_TIME: Duration = Duration::from_millis(2);

impl Server {
    /// The socket of a connection takes more.
    pub fn writable(&mut self, key: SlotKey) {
        let Some(connection) = self.connections.get(key) else { return };
        if connection.write_state == WriteState::Blocked {
            self.poll(key, Event::readable(key.0 as usize));
            self.enqueue(key);
        }
    }

    /// The relay accepts this subscriber.
    pub fn start_stream(&mut self, id: SubscriberId) {
        let key = SlotKey(id);
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.stage = Stage::Streaming;
        connection.send(response::stream_head(connection.encoding));
        self.enqueue(key);
    }

    /// Sends a complete response, after which the connection ends.
    pub fn respond(&mut self, now: MonotonicTime, key: SlotKey, response: Vec<u8>) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.stage = Stage::Responding;
        connection.send(response);
        self.deadlines.reschedule(
            &mut connection.deadline,
            Some(now + LINGER),
            DeadlineKind::Connection(key),
        );
        self.enqueue(key);
    }

    /// All streams have something to write.
    pub fn wake_streams(&mut self) {
        for key in std::mem::take(&mut self.idle) {
            self.enqueue(key);
        }
    }

    /// Writes to those whose turn it is, for a bounded time; `next` gives a subscriber's next piece. Returns the
    /// subscribers whose connections have ended.
    pub fn write_queued(
        &mut self,
        now: MonotonicTime,
        mut next: impl FnMut(SubscriberId) -> Option<Arc<[u8]>>,
    ) -> Vec<SlotKey> {
        let started = Instant::now();
        let mut disconnected = Vec::new();
        while let Some(key) = self.queue.pop_front() {
            disconnected.extend(self.write(now, key, &mut next));
            if started.elapsed() > MAX_WRITING_TIME {
                break;
            }
        }
        disconnected
    }

    fn write(
        &mut self,
        now: MonotonicTime,
        key: SlotKey,
        next: &mut impl FnMut(SubscriberId) -> Option<Arc<[u8]>>,
    ) -> Option<SlotKey> {
        let connection = self.connections.get_mut(key)?;
        if connection.write_state != WriteState::Queued {
            return None;
        }
        let is_streaming = connection.stage == Stage::Streaming;
        let written = connection.write(|| if is_streaming { next(key.0) } else { None });
        let Ok(Written { outcome, bytes }) = written else { return self.drop_connection(key).map(|_| key) };
        self.bytes_written += bytes as u64;
        match outcome {
            WriteOutcome::Partial => self.enqueue(key),
            WriteOutcome::Blocked => self.block(key),
            WriteOutcome::Complete if is_streaming => self.mark_idle(key),
            WriteOutcome::Complete => self.linger(now, key),
        }
        None
    }

    fn enqueue(&mut self, key: SlotKey) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.write_state = WriteState::Queued;
        self.queue.push_back(key);
    }

    fn mark_idle(&mut self, key: SlotKey) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.write_state = WriteState::Idle;
        self.idle.insert(key);
    }

    fn block(&mut self, key: SlotKey) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.write_state = WriteState::Blocked;
        self.poll(key, Event::all(key.0 as usize));
    }

    /// A complete response is written. Danger: closing now would reset the connection if input is unread, and the
    /// response could be lost with it.
    fn linger(&mut self, now: MonotonicTime, key: SlotKey) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.write_state = WriteState::Idle;
        connection.stage = Stage::Lingering;
        if connection.half_close().is_err() {
            return self.close(key);
        }
        self.deadlines.reschedule(
            &mut connection.deadline,
            Some(now + LINGER),
            DeadlineKind::Connection(key),
        );
    }

    fn poll(&mut self, key: SlotKey, interest: Event) {
        let Some(connection) = self.connections.get(key) else { return };
        if let Err(error) = self.poller.modify_with_mode(&connection.stream, interest, PollMode::Level) {
            error!(%error, "cannot poll a connection");
        }
    }
}
