//! A relay between the source of events (or another relay) and its subscribers.
mod messages;

pub use messages::{CutReason, Hello, Input, Output, RejectReason, RelayTerms, SubscriberId};

use crate::event::EventNumber;
use crate::log::EventLog;
use crate::positions::Positions;
use larchway::Micros;
use std::sync::Arc;

/// A relay's state. The caller owns the sockets: it tells what happens by [`Relay::handle`] and pulls what each
/// subscriber is to be sent by [`Relay::next_chunk`].
#[derive(Debug)]
pub struct Relay {
    log: EventLog,
    positions: Positions,
}

impl Relay {
    /// A relay with an empty log.
    pub fn new(terms: RelayTerms) -> Relay {
        Relay { log: EventLog::new(terms.log), positions: Positions::new(terms.positions) }
    }

    /// Takes in what has happened and appends what the caller has to do.
    pub fn handle(&mut self, _now: Micros, input: Input, out: &mut Vec<Output>) {
        if let Input::Subscribe { id, .. } = input {
            out.push(Output::Reject { id, reason: RejectReason::NotReady, retry_after: 1_000_000 });
        }
    }

    /// When [`Input::Tick`] is wanted, if ever. It changes with each call of `handle` and `next_chunk`.
    pub fn next_due(&self) -> Option<Micros> {
        None
    }

    /// The next piece of the response body for this subscriber, or none now. The first piece for gzip is the header.
    pub fn next_chunk(&mut self, _now: Micros, _id: SubscriberId) -> Option<Arc<[u8]>> {
        None
    }

    /// The log.
    pub fn log(&self) -> &EventLog {
        &self.log
    }

    /// How far all gateways below are.
    pub fn positions(&self) -> &Positions {
        &self.positions
    }

    /// When an event was first known to be applied everywhere below.
    pub fn done_everywhere(&self, number: EventNumber) -> Option<Micros> {
        self.positions.done_everywhere(number)
    }
}
