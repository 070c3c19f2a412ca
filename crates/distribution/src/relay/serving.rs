//! What each subscriber is sent next, and who is cut off.
use super::admission::snapshot_shows;
use super::messages::{CutReason, Output, SubscriberId};
use super::subscribers::Place;
use super::Relay;
use crate::batch::GZIP_HEADER;
use crate::event::EventNumber;
use larchway::Micros;
use std::sync::Arc;

/// A piece on its way to a subscriber.
struct NextPiece {
    bytes: Arc<[u8]>,
    cursor: EventNumber,
    place: Place,
}

impl Relay {
    /// The next piece of the response body for this subscriber, or none now. The first piece for gzip is the header.
    pub fn next_chunk(&mut self, now: Micros, id: SubscriberId) -> Option<Arc<[u8]>> {
        let subscriber = self.subscribers.get_mut(id)?;
        if matches!(subscriber.place, Place::Waiting(_)) {
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
                self.cut(now, id, reason, &mut out);
                self.deferred = out;
                None
            }
        }
    }

    /// Cuts a subscriber off and forgets it.
    pub(super) fn cut(&mut self, now: Micros, id: SubscriberId, reason: CutReason, out: &mut Vec<Output>) {
        out.push(Output::Cut { id, reason });
        self.forget(now, id, out);
    }

    /// A subscriber is gone: its place is free, and its gateways are lost until they come back.
    pub(super) fn forget(&mut self, now: Micros, id: SubscriberId, out: &mut Vec<Output>) {
        if self.subscribers.remove(id).is_none() {
            return;
        }
        self.positions.gone(now, id);
        self.report.changed = true;
        self.admit_waiting(now, out);
    }

    /// The deadline of a subscriber has passed.
    pub(super) fn deadline_passed(&mut self, now: Micros, id: SubscriberId, out: &mut Vec<Output>) {
        let Some(subscriber) = self.subscribers.get(id) else { return };
        match subscriber.place {
            Place::Waiting(_) => self.give_up_waiting(id, out),
            Place::Snapshot | Place::CatchUp => self.cut(now, id, CutReason::CatchUpTooSlow, out),
            Place::Live(next) => {
                // One with nothing to read is as good as one that has just read.
                let unread_since = self.ring.unread_since(next, subscriber.progress).unwrap_or(now);
                let due = unread_since + self.terms.stall_limit;
                if due <= now {
                    self.cut(now, id, CutReason::Stalled, out);
                } else {
                    self.subscribers.set_deadline(id, due);
                }
            }
        }
    }

    fn advance(&mut self, now: Micros, id: SubscriberId, piece: NextPiece) -> Arc<[u8]> {
        let caught_up = self.subscribers.get(id).is_some_and(|subscriber| subscriber.place.catches_up())
            && !piece.place.catches_up();
        if let Some(subscriber) = self.subscribers.get_mut(id) {
            subscriber.cursor = subscriber.cursor.max(piece.cursor);
            subscriber.progress = now;
        }
        self.subscribers.set_place(id, piece.place);
        if caught_up {
            self.subscribers.set_deadline(id, now + self.terms.stall_limit);
            let mut out = std::mem::take(&mut self.deferred);
            self.admit_waiting(now, &mut out);
            self.deferred = out;
        }
        piece.bytes
    }

    fn next_piece(&mut self, id: SubscriberId) -> Result<Option<NextPiece>, CutReason> {
        let Some(subscriber) = self.subscribers.get(id) else { return Ok(None) };
        let cursor = subscriber.cursor;
        match subscriber.place {
            Place::Waiting(_) => Ok(None),
            Place::Snapshot => self.snapshot_piece(id, cursor).map(Some),
            Place::CatchUp => self.catch_up_piece(id, cursor),
            Place::Live(next) if next < self.ring.oldest() => self.fall_back(id, cursor),
            Place::Live(next) => Ok(self.batch_piece(id, next)),
        }
    }

    fn batch_piece(&mut self, id: SubscriberId, next: u64) -> Option<NextPiece> {
        let key = self.subscribers.get(id)?.piece_key();
        let piece = self.ring.piece(next, key, &mut self.encoder)?;
        Some(NextPiece { bytes: piece.bytes, cursor: piece.last, place: Place::Live(next + 1) })
    }

    /// The batch a subscriber was to read is gone. If events went with it, it goes back to the log, once.
    fn fall_back(&mut self, id: SubscriberId, cursor: EventNumber) -> Result<Option<NextPiece>, CutReason> {
        if let Some(next) = self.ring.place_after(cursor) {
            self.subscribers.set_place(id, Place::Live(next));
            return Ok(self.batch_piece(id, next));
        }
        let full = self.subscribers.catching_up() >= self.terms.catch_up_at_once;
        let in_log = cursor >= self.log.first() - 1;
        let limit = self.terms.catch_up_limit;
        let Some(subscriber) = self.subscribers.get_mut(id) else { return Ok(None) };
        if subscriber.fell_behind || full || !in_log {
            return Err(CutReason::FellBehind);
        }
        subscriber.fell_behind = true;
        let began = subscriber.progress;
        self.subscribers.set_place(id, Place::CatchUp);
        self.subscribers.set_deadline(id, began + limit);
        self.catch_up_piece(id, cursor)
    }

    fn catch_up_piece(
        &mut self,
        id: SubscriberId,
        cursor: EventNumber,
    ) -> Result<Option<NextPiece>, CutReason> {
        if cursor < self.log.first() - 1 {
            return self.snapshot_piece(id, cursor).map(Some);
        }
        if let Some(next) = self.ring.place_after(cursor) {
            return Ok(self.batch_piece(id, next));
        }
        let Some(subscriber) = self.subscribers.get(id) else { return Ok(None) };
        let key = subscriber.piece_key();
        let page = self.pages.page(&self.log, cursor, self.ring.last(), key, &mut self.encoder);
        Ok(Some(NextPiece { bytes: page.bytes, cursor: page.last, place: self.place_from(page.last) }))
    }

    /// Where one reads on that has everything up to `cursor`.
    fn place_from(&self, cursor: EventNumber) -> Place {
        self.ring.place_after(cursor).map_or(Place::CatchUp, Place::Live)
    }

    fn snapshot_piece(&mut self, id: SubscriberId, cursor: EventNumber) -> Result<NextPiece, CutReason> {
        let subscriber = self.subscribers.get(id).ok_or(CutReason::NoSnapshot)?;
        let key = subscriber.piece_key();
        let base = self.log.first() - 1;
        let ring = &self.ring;
        // An older snapshot serves as well, as long as the batches continue it.
        let usable =
            |number| snapshot_shows(cursor, number) && number >= base && ring.place_after(number).is_some();
        let cached = self.pages.snapshot(key, usable);
        let piece = match cached {
            Some(piece) => piece,
            None => {
                let number = self.snapshot_number(cursor).ok_or(CutReason::NoSnapshot)?;
                let scope = key.scope.map(|index| self.encoder.scope(index));
                let passes = |store: &_| scope.is_none_or(|scope| scope.contains(store));
                let data = self.log.stores().snapshot(number, passes).ok_or(CutReason::NoSnapshot)?;
                self.pages.add_snapshot(number, &data, key, &mut self.encoder)
            }
        };
        Ok(NextPiece { bytes: piece.bytes, cursor: piece.last, place: self.place_from(piece.last) })
    }
}
