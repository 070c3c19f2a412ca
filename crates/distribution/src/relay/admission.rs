//! Which subscribers are taken, where they begin, and who has to wait.
use super::messages::{Hello, Output, RejectReason, SubscriberId};
use super::subscribers::Place;
use super::Relay;
use crate::event::EventNumber;
use crate::log::HistoryCheck;
use crate::scope::Scope;
use larchway::Micros;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

impl Relay {
    /// A subscriber asks for events.
    pub(super) fn subscribe(&mut self, now: Micros, id: SubscriberId, hello: Hello, out: &mut Vec<Output>) {
        if self.subscribers.len() >= self.terms.subscribers {
            return self.reject(id, RejectReason::TooMany, out);
        }
        match self.start_of(&hello) {
            Err(reason) => self.reject(id, reason, out),
            Ok(place) if place.catches_up() && !self.may_catch_up() => self.wait(now, id, hello, out),
            Ok(place) => {
                let scope = hello.scope.as_deref().and_then(|name| self.encoder.scope_index(name));
                self.subscribers.insert(id, &hello, scope, place);
                self.accept(now, id, out);
            }
        }
    }

    /// Lets those that wait begin, while there is room.
    pub(super) fn admit_waiting(&mut self, now: Micros, out: &mut Vec<Output>) {
        while self.may_catch_up() {
            let Some(id) = self.subscribers.first_waiting() else { return };
            self.admit(now, id, out);
        }
    }

    /// Turns away one that has waited for too long.
    pub(super) fn give_up_waiting(&mut self, id: SubscriberId, out: &mut Vec<Output>) {
        self.subscribers.remove(id);
        self.reject(id, RejectReason::Busy, out);
    }

    pub(super) fn reject(&mut self, id: SubscriberId, reason: RejectReason, out: &mut Vec<Output>) {
        let jitter = self.random.random_range(0..=self.terms.retry_jitter);
        out.push(Output::Reject { id, reason, retry_after: self.terms.retry_after + jitter });
    }

    /// The number under which this subscriber can be given the whole list. It lies past the next one that the
    /// subscriber expects, so that the jump shows (E1); the event after it verifies the history.
    pub(super) fn snapshot_number(&self, cursor: EventNumber) -> Option<EventNumber> {
        let last = self.ring.last().max(self.log.first() - 1);
        let before_last = last.saturating_sub(1).max(self.log.first() - 1);
        let shows = |number: &EventNumber| snapshot_shows(cursor, *number);
        [before_last, last].into_iter().find(shows).filter(|_| self.log.stores().is_complete())
    }

    fn may_catch_up(&self) -> bool {
        self.subscribers.catching_up() < self.terms.catch_up_at_once
    }

    fn wait(&mut self, now: Micros, id: SubscriberId, hello: Hello, out: &mut Vec<Output>) {
        if self.subscribers.waiting() >= self.terms.waiting {
            return self.reject(id, RejectReason::Busy, out);
        }
        let scope = hello.scope.as_deref().and_then(|name| self.encoder.scope_index(name));
        self.subscribers.insert_waiting(id, hello, scope);
        self.subscribers.set_deadline(id, now + self.terms.admit_wait);
    }

    fn admit(&mut self, now: Micros, id: SubscriberId, out: &mut Vec<Output>) {
        let hello = self.subscribers.get_mut(id).and_then(|subscriber| subscriber.hello.take());
        let Some(hello) = hello else { return };
        match self.start_of(&hello) {
            Ok(place) => {
                self.subscribers.set_place(id, place);
                self.accept(now, id, out);
            }
            Err(reason) => {
                self.subscribers.remove(id);
                self.reject(id, reason, out);
            }
        }
    }

    fn accept(&mut self, now: Micros, id: SubscriberId, out: &mut Vec<Output>) {
        let Some(subscriber) = self.subscribers.get_mut(id) else { return };
        subscriber.progress = now;
        let catches_up = subscriber.place.catches_up();
        let limit = if catches_up { self.terms.catch_up_limit } else { self.terms.stall_limit };
        self.subscribers.set_deadline(id, now + limit);
        out.push(Output::Accept(id));
    }

    /// Where a subscriber begins to read, or why it can't.
    fn start_of(&self, hello: &Hello) -> Result<Place, RejectReason> {
        if let Some(name) = &hello.scope {
            self.encoder.scope_index(name).ok_or(RejectReason::UnknownScope)?;
        }
        if !self.ready {
            return Err(RejectReason::NotReady);
        }
        let cursor = hello.cursor.unwrap_or(0);
        if cursor > self.log.last() {
            return Err(RejectReason::Behind);
        }
        if cursor < self.log.first() - 1 {
            return self.start_with_snapshot(cursor);
        }
        if cursor == 0 && self.snapshot_saves_pages() {
            return Ok(Place::Snapshot);
        }
        match self.check_history(cursor, hello) {
            HistoryCheck::Other => Err(RejectReason::OtherHistory),
            HistoryCheck::Unknown => self.start_with_snapshot(cursor),
            HistoryCheck::Same => Ok(self.ring.place_after(cursor).map_or(Place::CatchUp, Place::Live)),
        }
    }

    /// Whether one that has nothing yet is better given the whole list than every event since the first.
    fn snapshot_saves_pages(&self) -> bool {
        self.ring.last() > self.terms.page_events && self.snapshot_number(0).is_some()
    }

    fn start_with_snapshot(&self, cursor: EventNumber) -> Result<Place, RejectReason> {
        self.snapshot_number(cursor).map(|_| Place::Snapshot).ok_or(RejectReason::NotReady)
    }

    /// A subscriber that sends no digest is believed; one with nothing has no history.
    fn check_history(&self, cursor: EventNumber, hello: &Hello) -> HistoryCheck {
        let Some(digest) = hello.digest.filter(|_| cursor > 0) else { return HistoryCheck::Same };
        let check = self.log.check_history(cursor, digest);
        let scope = hello.scope.as_deref().and_then(|name| self.encoder.scope_index(name));
        match scope {
            Some(scope) if check == HistoryCheck::Other && self.log.is_list(cursor) => {
                self.check_scoped(cursor, digest, self.encoder.scope(scope))
            }
            _ => check,
        }
    }

    /// The text of a list event differs between scopes, and so does its digest.
    fn check_scoped(&self, cursor: EventNumber, digest: u64, scope: &Scope) -> HistoryCheck {
        let Some(event) = self.log.current(cursor) else { return HistoryCheck::Unknown };
        let scoped = scope.filter(cursor, &event.data);
        if xxh3_64(scoped.as_bytes()) == digest {
            HistoryCheck::Same
        } else {
            HistoryCheck::Other
        }
    }
}

/// Whether a subscriber sees the jump if it gets a snapshot under this number. Else it would take the snapshot for the
/// event of that number, and its digest for that of the history.
pub(super) fn snapshot_shows(cursor: EventNumber, number: EventNumber) -> bool {
    let next_expected = cursor + 1;
    number > next_expected
}
