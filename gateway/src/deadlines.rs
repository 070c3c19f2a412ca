//! The one ordered structure in which all deadlines hang.
use crate::slots::Key;
use larchway::Micros;
use std::collections::BTreeSet;

/// What falls due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// A request must have its final answer.
    Request(Key),
    /// An attempt is to be abandoned.
    Attempt(Key),
    /// The module asked to be woken, with this mark.
    Module(u64),
    /// A connection should have come up, gone quiet or made progress: look at it.
    Connection(Key),
    /// The source of events has been silent, or it is time to dial it.
    Events,
    /// Membership: the session's next call or ping, or a verdict on a store that time alone may change.
    Membership,
    /// The hierarchy: objects move a step on.
    Hierarchy,
    /// A caller of the console is to be looked at, or its address is to be tried again.
    Console,
    /// What another process said of stores lapses.
    Cordon,
    /// The fleet's view of the stores' load: decide, and tell peers.
    Peers,
    /// Clients may be taken in again: there may be a descriptor for them.
    Accept,
    /// The time to go on accepting after SIGTERM is over.
    Stop,
}

/// Deadlines in the order of their time.
#[derive(Debug, Default)]
pub struct Deadlines(BTreeSet<(Micros, Due)>);

impl Deadlines {
    /// Adds a deadline.
    pub fn set(&mut self, at: Micros, due: Due) {
        self.0.insert((at, due));
    }

    /// Takes a deadline back.
    pub fn clear(&mut self, at: Micros, due: Due) {
        self.0.remove(&(at, due));
    }

    /// Moves a deadline that there may be; where it stays, nothing is done.
    pub fn shift(&mut self, from: &mut Option<Micros>, to: Option<Micros>, due: Due) {
        if *from == to {
            return;
        }
        if let Some(old) = std::mem::replace(from, to) {
            self.clear(old, due);
        }
        if let Some(at) = to {
            self.set(at, due);
        }
    }

    /// The earliest deadline.
    pub fn next(&self) -> Option<Micros> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Takes out the earliest deadline that has come.
    pub fn pop(&mut self, now: Micros) -> Option<Due> {
        if self.next()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, due)| due)
    }
}
