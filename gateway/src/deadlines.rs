//! The deadlines of an event loop, ordered by time.
use crate::slots::SlotKey;
use larchway::MonotonicTime;
use std::collections::BTreeSet;

/// What has to be done when a deadline expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineKind {
    /// Send the final reply to a request.
    Request(SlotKey),
    /// Abandon an attempt.
    Attempt(SlotKey),
    /// Retry to connect for an attempt after a local shortage.
    Dispatch(SlotKey),
    /// Call the decision module with this mark, which the module chose.
    Module(u64),
    /// Check the time-outs of a connection: for connecting, for progress and for idleness.
    Connection(SlotKey),
    /// Handle the silence of the source of events, or connect to it.
    Events,
    /// Retry to connect to the source of events after a local shortage.
    EventsConnect,
    /// Retry to connect to the ensemble after a local shortage.
    EnsembleConnect,
    /// Retry to open the admin socket after a local shortage.
    Admin,
    /// Retry a reload after a local shortage.
    Reload,
    /// Try the remaining documents, or retry documents after a local shortage.
    Documents,
    /// Membership: send the session's next request or ping, or expire the state of a store.
    Membership,
    /// Hierarchy: take the next step of a migration.
    Hierarchy,
    /// Handle a time-out of a caller of the console, or retry to bind the console's address.
    Console,
    /// Expire a manual ejection that another process reported.
    ManualEjection,
    /// Answer an operator's call although its change is not durable yet.
    DeferredReplies,
    /// Exchange with the other gateways: decide on load sharing and send gossip.
    Peers,
    /// Resume accepting clients after a shortage of descriptors.
    Accept,
    /// Stop accepting clients: the grace period after SIGTERM is over.
    StopAccepting,
}

/// A deadline. Deadlines at the same time are ordered by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    due_at: MonotonicTime,
    kind: DeadlineKind,
}

/// Deadlines, ordered by time.
#[derive(Debug, Default)]
pub struct Deadlines(BTreeSet<Deadline>);

impl Deadlines {
    /// Adds a deadline.
    pub fn set(&mut self, due_at: MonotonicTime, kind: DeadlineKind) {
        self.0.insert(Deadline { due_at, kind });
    }

    /// Cancels a deadline.
    pub fn clear(&mut self, due_at: MonotonicTime, kind: DeadlineKind) {
        self.0.remove(&Deadline { due_at, kind });
    }

    /// Sets, moves or cancels the deadline whose time the caller stores in `current`, so that it expires at `wanted`.
    pub fn reschedule(
        &mut self,
        current: &mut Option<MonotonicTime>,
        wanted: Option<MonotonicTime>,
        kind: DeadlineKind,
    ) {
        if *current == wanted {
            return;
        }
        if let Some(former) = std::mem::replace(current, wanted) {
            self.clear(former, kind);
        }
        if let Some(due_at) = wanted {
            self.set(due_at, kind);
        }
    }

    /// The time of the earliest deadline.
    pub fn next(&self) -> Option<MonotonicTime> {
        self.0.first().map(|deadline| deadline.due_at)
    }

    /// Removes and returns the earliest deadline if it has expired.
    pub fn pop(&mut self, now: MonotonicTime) -> Option<DeadlineKind> {
        if self.next()? > now {
            return None;
        }
        self.0.pop_first().map(|deadline| deadline.kind)
    }
}
