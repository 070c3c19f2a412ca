//! All deadlines of an event loop, ordered by time.
use crate::slots::SlotKey;
use larchway::MonotonicTime;
use std::collections::BTreeSet;

/// What is due at a deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineKind {
    /// A request must have its final answer.
    Request(SlotKey),
    /// An attempt is to be abandoned.
    Attempt(SlotKey),
    /// An attempt for which this machine lacked a resource to connect is to be sent again.
    Dispatch(SlotKey),
    /// The decision module is to be called, with this mark of its own.
    Module(u64),
    /// A timeout of a connection: to be established, to be idle or to make progress.
    Connection(SlotKey),
    /// The source of events has been silent, or it is time to dial it.
    Events,
    /// A request for events for which this machine lacked a resource to connect is made again.
    EventsConnect,
    /// A connect to the ensemble for which this machine lacked a resource is made again.
    EnsembleConnect,
    /// The admin socket for which this machine lacked a resource is opened again.
    Admin,
    /// A reload for whose listeners this machine lacked a resource is tried again.
    Reload,
    /// Documents for which this machine lacked a resource are tried again.
    Documents,
    /// Membership: the session's next call or ping, or the state of a store that time alone may change.
    Membership,
    /// The hierarchy: the next step of a migration.
    Hierarchy,
    /// A timeout of a caller of the console, or its address is to be tried again.
    Console,
    /// A manual ejection that another process reported expires.
    ManualEjection,
    /// An operator must be answered although what the call changed is not durable.
    DeferredReplies,
    /// The cluster's view of the stores' load: decide, and notify peers.
    Peers,
    /// Clients may be accepted again: there may be a descriptor for them.
    Accept,
    /// The time for accepting after SIGTERM is over.
    StopAccepting,
}

/// A deadline. Those of the same time are ordered by what is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    due_at: MonotonicTime,
    due: DeadlineKind,
}

/// Deadlines, ordered by time.
#[derive(Debug, Default)]
pub struct Deadlines(BTreeSet<Deadline>);

impl Deadlines {
    /// Adds a deadline.
    pub fn set(&mut self, due_at: MonotonicTime, due: DeadlineKind) {
        self.0.insert(Deadline { due_at, due });
    }

    /// Cancels a deadline.
    pub fn clear(&mut self, due_at: MonotonicTime, due: DeadlineKind) {
        self.0.remove(&Deadline { due_at, due });
    }

    /// Sets, moves or cancels a deadline whose time the caller stores in `current`, so that it is due at `wanted`.
    pub fn reschedule(
        &mut self,
        current: &mut Option<MonotonicTime>,
        wanted: Option<MonotonicTime>,
        due: DeadlineKind,
    ) {
        if *current == wanted {
            return;
        }
        if let Some(former) = std::mem::replace(current, wanted) {
            self.clear(former, due);
        }
        if let Some(due_at) = wanted {
            self.set(due_at, due);
        }
    }

    /// The time of the earliest deadline.
    pub fn next(&self) -> Option<MonotonicTime> {
        self.0.first().map(|deadline| deadline.due_at)
    }

    /// Removes the earliest deadline if it has come.
    pub fn pop(&mut self, now: MonotonicTime) -> Option<DeadlineKind> {
        if self.next()? > now {
            return None;
        }
        self.0.pop_first().map(|deadline| deadline.due)
    }
}
