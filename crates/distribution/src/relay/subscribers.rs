//! The subscribers of a relay: their read states, deadlines, and the admission queue.
use super::encoder::{PieceFormat, ScopeIndex};
use super::messages::{SubscribeRequest, SubscriberId};
use super::ring::BatchNumber;
use crate::batch::Encoding;
use crate::event::EventNumber;
use larchway::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of state per subscriber, excluding its name and its entries in the ordered tables.
pub const SUBSCRIBER_BYTES: usize = std::mem::size_of::<Subscriber>();

/// The data that a subscriber reads next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadState {
    /// Nothing: it waits for readiness or catch-up at this position in the queue.
    Waiting(u64),
    /// A snapshot, followed by pages or batches.
    Snapshot,
    /// Pages of the log.
    CatchUp,
    /// The live batch with this number.
    Live(BatchNumber),
}

impl ReadState {
    pub(super) fn is_catching_up(self) -> bool {
        matches!(self, ReadState::Snapshot | ReadState::CatchUp)
    }
}

/// A request waiting for admission.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub request: SubscribeRequest,
    /// Time of the request.
    pub since: MonotonicTime,
}

#[derive(Debug)]
pub(super) struct Subscriber {
    pub cursor: EventNumber,
    pub state: ReadState,
    pub encoding: Encoding,
    pub scope: Option<ScopeIndex>,
    pub name: Option<Box<str>>,
    /// The request while the subscriber waits for admission.
    pub waiting: Option<Box<WaitingRequest>>,
    pub header_sent: bool,
    /// Whether the subscriber has already returned to catch-up once.
    pub fell_behind: bool,
    /// Time at which the subscriber last pulled a piece or was accepted.
    pub progress: MonotonicTime,
    deadline: MonotonicTime,
}

impl Subscriber {
    pub(super) fn piece_format(&self) -> PieceFormat {
        PieceFormat { scope: self.scope, encoding: self.encoding }
    }
}

/// All subscribers of a relay. Each operation on one subscriber costs O(log n).
#[derive(Debug, Default)]
pub(super) struct Subscribers {
    /// At most `RelaySettings::max_subscribers`, which the caller checks before inserting.
    by_id: BTreeMap<SubscriberId, Subscriber>,
    /// At most one deadline per subscriber.
    deadlines: BTreeSet<(MonotonicTime, SubscriberId)>,
    /// Waiting subscribers by position, in order of arrival.
    queue: BTreeMap<u64, SubscriberId>,
    next_in_queue: u64,
    catching_up: usize,
}

impl Subscribers {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn waiting(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn catching_up(&self) -> usize {
        self.catching_up
    }

    pub(super) fn get(&self, id: SubscriberId) -> Option<&Subscriber> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: SubscriberId) -> Option<&mut Subscriber> {
        self.by_id.get_mut(&id)
    }

    pub(super) fn ids(&self) -> Vec<SubscriberId> {
        self.by_id.keys().copied().collect()
    }

    /// Adds a subscriber. The caller sets its deadline.
    pub(super) fn insert(
        &mut self,
        id: SubscriberId,
        request: &SubscribeRequest,
        scope: Option<ScopeIndex>,
        state: ReadState,
    ) {
        self.remove(id);
        self.catching_up += usize::from(state.is_catching_up());
        let subscriber = Subscriber {
            cursor: request.cursor.unwrap_or(0),
            state,
            encoding: request.encoding,
            scope,
            name: request.name.as_deref().map(Box::from),
            waiting: None,
            header_sent: request.encoding == Encoding::Identity,
            fell_behind: false,
            progress: MonotonicTime::MIN,
            deadline: MonotonicTime::MAX,
        };
        self.by_id.insert(id, subscriber);
    }

    /// Adds a subscriber at the end of the queue. The caller sets its deadline.
    pub(super) fn insert_waiting(
        &mut self,
        id: SubscriberId,
        waiting: WaitingRequest,
        scope: Option<ScopeIndex>,
    ) {
        let position = self.next_in_queue;
        self.next_in_queue += 1;
        self.insert(id, &waiting.request, scope, ReadState::Waiting(position));
        self.queue.insert(position, id);
        if let Some(subscriber) = self.by_id.get_mut(&id) {
            subscriber.waiting = Some(Box::new(waiting));
        }
    }

    pub(super) fn remove(&mut self, id: SubscriberId) -> Option<Subscriber> {
        let subscriber = self.by_id.remove(&id)?;
        self.deadlines.remove(&(subscriber.deadline, id));
        if let ReadState::Waiting(position) = subscriber.state {
            self.queue.remove(&position);
        }
        self.catching_up -= usize::from(subscriber.state.is_catching_up());
        Some(subscriber)
    }

    /// Whether a subscriber is waiting for readiness or catch-up.
    pub(super) fn is_waiting(&self, id: SubscriberId) -> bool {
        self.by_id.get(&id).is_some_and(|subscriber| matches!(subscriber.state, ReadState::Waiting(_)))
    }

    /// Waiting subscribers in order of arrival.
    pub(super) fn waiting_ids(&self) -> Vec<SubscriberId> {
        self.queue.values().copied().collect()
    }

    /// The subscriber that has waited longest.
    pub(super) fn first_waiting(&self) -> Option<SubscriberId> {
        self.queue.first_key_value().map(|(_, id)| *id)
    }

    pub(super) fn set_state(&mut self, id: SubscriberId, state: ReadState) {
        let Some(subscriber) = self.by_id.get_mut(&id) else { return };
        if let ReadState::Waiting(position) = subscriber.state {
            self.queue.remove(&position);
            subscriber.waiting = None;
        }
        self.catching_up += usize::from(state.is_catching_up());
        self.catching_up -= usize::from(subscriber.state.is_catching_up());
        subscriber.state = state;
    }

    pub(super) fn set_deadline(&mut self, id: SubscriberId, deadline: MonotonicTime) {
        let Some(subscriber) = self.by_id.get_mut(&id) else { return };
        self.deadlines.remove(&(subscriber.deadline, id));
        subscriber.deadline = deadline;
        self.deadlines.insert((deadline, id));
    }

    /// Brings a subscriber's deadline forward to `latest` if it is later than that.
    pub(super) fn limit_deadline(&mut self, id: SubscriberId, latest: MonotonicTime) {
        let deadline = self.by_id.get(&id).map(|subscriber| subscriber.deadline);
        if deadline.is_some_and(|deadline| deadline > latest) {
            self.set_deadline(id, latest);
        }
    }

    pub(super) fn next_due(&self) -> Option<MonotonicTime> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// The subscriber with the earliest deadline, if that has passed.
    pub(super) fn expired(&self, now: MonotonicTime) -> Option<SubscriberId> {
        self.deadlines.first().filter(|(deadline, _)| *deadline <= now).map(|(_, id)| *id)
    }
}
