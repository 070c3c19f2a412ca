//! Sending data to subscribers, and disconnecting them.
use super::admission::shows_as_jump;
use super::messages::{DisconnectReason, Output, SubscriberId};
use super::subscribers::ReadState;
use super::Relay;
use crate::batch::GZIP_HEADER;
use crate::event::EventNumber;
use larchway::MonotonicTime;
use std::sync::Arc;

/// An encoded piece for a subscriber, and the subscriber's state after it.
struct NextPiece {
    bytes: Arc<[u8]>,
    cursor: EventNumber,
    state: ReadState,
}

impl Relay {
    /// Returns the next piece of this subscriber's response body, or `None` if there is none yet. The first piece of a
    /// gzip response is the gzip header.
    pub fn next_chunk(&mut self, now: MonotonicTime, id: SubscriberId) -> Option<Arc<[u8]>> {
        let subscriber = self.subscribers.get_mut(id)?;
        if matches!(subscriber.state, ReadState::Waiting(_)) {
            return None;
        }
        if !subscriber.header_sent {
            subscriber.header_sent = true;
            return Some(Arc::from(GZIP_HEADER));
        }
        match self.next_piece(id) {
            Ok(Some(piece)) => Some(self.advance(now, id, piece)),
            Ok(None) => None,
            Err(reason) => {
                let mut out = std::mem::take(&mut self.deferred);
                self.disconnect(now, id, reason, &mut out);
                self.deferred = out;
                None
            }
        }
    }

    /// Disconnects a subscriber and reports the reason to the caller.
    pub(super) fn disconnect(
        &mut self,
        now: MonotonicTime,
        id: SubscriberId,
        reason: DisconnectReason,
        out: &mut Vec<Output>,
    ) {
        out.push(Output::Disconnect { id, reason });
        self.remove_subscriber(now, id, out);
    }

    /// Removes a disconnected subscriber. Its gateways count as lost, and a waiting subscriber may start to catch up.
    pub(super) fn remove_subscriber(&mut self, now: MonotonicTime, id: SubscriberId, out: &mut Vec<Output>) {
        if self.subscribers.remove(id).is_none() {
            return;
        }
        self.positions.disconnected(now, id);
        self.report.changed = true;
        self.admit_waiting(now, out);
    }

    /// Handles an expired deadline of a subscriber.
    pub(super) fn handle_deadline(&mut self, now: MonotonicTime, id: SubscriberId, out: &mut Vec<Output>) {
        let Some(subscriber) = self.subscribers.get(id) else { return };
        match subscriber.state {
            ReadState::Waiting(_) => self.handle_waiting_deadline(now, id, out),
            ReadState::Snapshot | ReadState::CatchUp => {
                self.disconnect(now, id, DisconnectReason::CatchUpTooSlow, out);
            }
            ReadState::Live(next) => {
                // A subscriber without unread batches is not stalled.
                let unread_since = self.ring.unread_since(next, subscriber.progress).unwrap_or(now);
                let stalls_at = unread_since + self.settings.stall_timeout;
                if stalls_at <= now {
                    self.disconnect(now, id, DisconnectReason::Stalled, out);
                } else {
                    self.subscribers.set_deadline(id, stalls_at);
                }
            }
        }
    }

    fn advance(&mut self, now: MonotonicTime, id: SubscriberId, piece: NextPiece) -> Arc<[u8]> {
        let caught_up = self.subscribers.get(id).is_some_and(|subscriber| subscriber.state.is_catching_up())
            && !piece.state.is_catching_up();
        if let Some(subscriber) = self.subscribers.get_mut(id) {
            subscriber.cursor = subscriber.cursor.max(piece.cursor);
            subscriber.progress = now;
        }
        self.subscribers.set_state(id, piece.state);
        if caught_up {
            self.subscribers.set_deadline(id, now + self.settings.stall_timeout);
            let mut out = std::mem::take(&mut self.deferred);
            self.admit_waiting(now, &mut out);
            self.deferred = out;
        }
        piece.bytes
    }

    fn next_piece(&mut self, id: SubscriberId) -> Result<Option<NextPiece>, DisconnectReason> {
        let Some(subscriber) = self.subscribers.get(id) else { return Ok(None) };
        let cursor = subscriber.cursor;
        match subscriber.state {
            ReadState::Waiting(_) => Ok(None),
            ReadState::Snapshot => self.snapshot_piece(id, cursor).map(Some),
            ReadState::CatchUp => self.catch_up_piece(id, cursor),
            ReadState::Live(next) if next < self.ring.oldest() => self.return_to_catch_up(id, cursor),
            ReadState::Live(next) => Ok(self.batch_piece(id, next)),
        }
    }

    fn batch_piece(&mut self, id: SubscriberId, next: u64) -> Option<NextPiece> {
        let format = self.subscribers.get(id)?.piece_format();
        let piece = self.ring.piece(next, format, &mut self.encoder)?;
        Some(NextPiece { bytes: piece.bytes, cursor: piece.last, state: ReadState::Live(next + 1) })
    }

    /// Handles a subscriber whose next batch was evicted. It continues with a later batch if it misses no event; else
    /// it returns to reading the log, which it may do once.
    fn return_to_catch_up(
        &mut self,
        id: SubscriberId,
        cursor: EventNumber,
    ) -> Result<Option<NextPiece>, DisconnectReason> {
        if let Some(next) = self.ring.batch_after(cursor) {
            self.subscribers.set_state(id, ReadState::Live(next));
            return Ok(self.batch_piece(id, next));
        }
        let at_capacity = self.subscribers.catching_up() >= self.settings.max_catching_up;
        let in_log = cursor >= self.log.first() - 1;
        let timeout = self.settings.catch_up_timeout;
        let Some(subscriber) = self.subscribers.get_mut(id) else { return Ok(None) };
        if subscriber.fell_behind || at_capacity || !in_log {
            return Err(DisconnectReason::FellBehind);
        }
        subscriber.fell_behind = true;
        let last_progress = subscriber.progress;
        self.subscribers.set_state(id, ReadState::CatchUp);
        self.subscribers.set_deadline(id, last_progress + timeout);
        self.catch_up_piece(id, cursor)
    }

    fn catch_up_piece(
        &mut self,
        id: SubscriberId,
        cursor: EventNumber,
    ) -> Result<Option<NextPiece>, DisconnectReason> {
        if cursor < self.log.first() - 1 {
            return self.snapshot_piece(id, cursor).map(Some);
        }
        if let Some(next) = self.ring.batch_after(cursor) {
            return Ok(self.batch_piece(id, next));
        }
        let Some(subscriber) = self.subscribers.get(id) else { return Ok(None) };
        let format = subscriber.piece_format();
        let page = self.pages.page(&self.log, cursor, self.ring.last(), format, &mut self.encoder);
        Ok(Some(NextPiece { bytes: page.bytes, cursor: page.last, state: self.state_after(page.last) }))
    }

    /// The state of a subscriber that has all events up to `cursor`.
    fn state_after(&self, cursor: EventNumber) -> ReadState {
        self.ring.batch_after(cursor).map_or(ReadState::CatchUp, ReadState::Live)
    }

    fn snapshot_piece(
        &mut self,
        id: SubscriberId,
        cursor: EventNumber,
    ) -> Result<NextPiece, DisconnectReason> {
        let subscriber = self.subscribers.get(id).ok_or(DisconnectReason::NoSnapshot)?;
        let format = subscriber.piece_format();
        let base = self.log.first() - 1;
        let ring = &self.ring;
        // A cached older snapshot is usable as long as the ring still has the batches that follow it.
        let usable =
            |number| shows_as_jump(cursor, number) && number >= base && ring.batch_after(number).is_some();
        let cached = self.pages.snapshot(format, usable);
        let piece = match cached {
            Some(piece) => piece,
            None => {
                let number = self.snapshot_number(cursor).ok_or(DisconnectReason::NoSnapshot)?;
                let scope = format.scope.map(|index| self.encoder.scope(index));
                let passes = |store: &_| scope.is_none_or(|scope| scope.contains(store));
                let data = self.log.snapshot(number, passes).ok_or(DisconnectReason::NoSnapshot)?;
                self.pages.add_snapshot(number, &data, format, &mut self.encoder)
            }
        };
        Ok(NextPiece { bytes: piece.bytes, cursor: piece.last, state: self.state_after(piece.last) })
    }
}
