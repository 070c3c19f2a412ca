//! The operators' console: HTTP/1.1 on an address of its own, one call to a connection. It owns the callers'
//! connections and parses their calls; the event loop carries the calls out. Callers wait a second at most, so the loop
//! serves them first.
mod call;
mod caller;
mod error;
mod reply;

pub use call::{parse_call, Call, InputState};
pub use error::CallError;
pub use reply::{Reply, Status};

use crate::nonblocking::ReadOutcome;
use crate::sockets::accept_outcome;
use caller::{Caller, Due, WriteProgress};
use larchway::MonotonicTime;
use std::io;
use std::net::{TcpListener, TcpStream};

/// Callers at once, at most.
pub const MAX_CALLERS: usize = 16;
/// Callers at once for which there is always a place.
const MIN_CALLERS: usize = 2;

/// Identifies a call whose reply is deferred. Unlike a place it never becomes that of another caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallNumber(u64);

/// What is next at the connection of a caller.
pub enum CallerState {
    /// It is to be read from.
    Reading,
    /// It is to be written to, and read from.
    Writing,
    /// Its reply is deferred: it is polled for failures only.
    Deferred,
    /// It made this call; reply by [`Console::answer`], now or after [`Console::defer`].
    Called(Call),
    /// It is removed.
    Closed(TcpStream),
}

/// The state that the connection at a place has entered.
pub struct CallerChange {
    /// The place.
    pub place: usize,
    /// The state.
    pub state: CallerState,
}

/// A caller that was accepted.
pub struct AcceptedCaller<'a> {
    /// Its place.
    pub place: usize,
    /// Its stream, to be polled.
    pub stream: &'a TcpStream,
    /// The stream of the caller that was evicted for it.
    pub evicted: Option<TcpStream>,
}

/// The console.
pub struct Console {
    /// The listener for callers.
    pub listener: TcpListener,
    callers: Vec<Option<Caller>>,
    deferred_calls: u64,
}

impl Console {
    /// With a nonblocking listener, and so many places for callers, within 2 and [`MAX_CALLERS`].
    pub fn new(listener: TcpListener, places: usize) -> Self {
        let callers = (0..places.clamp(MIN_CALLERS, MAX_CALLERS)).map(|_| None).collect();
        Console { listener, callers, deferred_calls: 0 }
    }

    /// Accepts a caller, if one waits. Danger: callers that connect and send nothing must not keep out one that does,
    /// so the one that has been connected for longest is evicted.
    pub fn accept(&mut self, now: MonotonicTime) -> io::Result<Option<AcceptedCaller<'_>>> {
        let Some((stream, _)) = accept_outcome(self.listener.accept())? else { return Ok(None) };
        Ok(self.admit(now, stream))
    }

    fn admit(&mut self, now: MonotonicTime, stream: TcpStream) -> Option<AcceptedCaller<'_>> {
        let caller = Caller::new(now, stream)?;
        let free = self.callers.iter().position(Option::is_none);
        let rank = |place: &usize| self.callers[*place].as_ref().map(Caller::eviction_rank);
        let place = free.or_else(|| (0..self.callers.len()).min_by_key(rank))?;
        let evicted = self.callers[place].replace(caller).map(|old| old.stream);
        let stream = self.stream(place)?;
        Some(AcceptedCaller { place, stream, evicted })
    }

    /// The stream of a caller.
    pub fn stream(&self, place: usize) -> Option<&TcpStream> {
        self.callers.get(place)?.as_ref().map(|caller| &caller.stream)
    }

    /// Handles that the connection of a caller can be read from or written to.
    pub fn handle_ready(&mut self, now: MonotonicTime, place: usize) -> Option<CallerState> {
        let caller = self.callers.get_mut(place)?.as_mut()?;
        if caller.deferred.is_some() {
            // A caller that ends its side may still wait for the reply, so only a failure removes it.
            return match caller.discard_input() {
                Ok(_) => Some(CallerState::Deferred),
                Err(_) => self.remove(place),
            };
        }
        if caller.has_reply() {
            // Unread input would make the close a reset, and the reply might be lost with it.
            let has_ended = matches!(caller.discard_input(), Ok(ReadOutcome::Ended) | Err(_));
            if has_ended && caller.is_answered() {
                return self.remove(place);
            }
            return self.write(now, place);
        }
        let input_state = match caller.read() {
            Ok(ReadOutcome::Ended) if caller.input.is_empty() => return self.remove(place),
            Ok(ReadOutcome::Ended) => InputState::Ended,
            Ok(ReadOutcome::Received(_)) => InputState::Open,
            Ok(ReadOutcome::NotReady) => return Some(CallerState::Reading),
            Err(_) => return self.remove(place),
        };
        match parse_call(&caller.input, input_state) {
            Ok(None) => Some(CallerState::Reading),
            Ok(Some(call)) => Some(CallerState::Called(call)),
            Err(error) => self.answer(now, place, &error.into()),
        }
    }

    /// Defers the reply to the call of a caller; it follows by [`Console::answer_deferred`].
    pub fn defer(&mut self, place: usize) -> Option<CallNumber> {
        let caller = self.callers.get_mut(place)?.as_mut()?;
        self.deferred_calls += 1;
        let number = CallNumber(self.deferred_calls);
        caller.deferred = Some(number);
        Some(number)
    }

    /// Replies to a deferred call, if its caller is still connected.
    pub fn answer_deferred(
        &mut self,
        now: MonotonicTime,
        call: CallNumber,
        reply: &Reply,
    ) -> Option<CallerChange> {
        let waits = |caller: &Option<Caller>| caller.as_ref().is_some_and(|c| c.deferred == Some(call));
        let place = self.callers.iter().position(waits)?;
        self.callers[place].as_mut()?.deferred = None;
        let state = self.answer(now, place, reply)?;
        Some(CallerChange { place, state })
    }

    /// Replies to a caller.
    pub fn answer(&mut self, now: MonotonicTime, place: usize, reply: &Reply) -> Option<CallerState> {
        self.callers.get_mut(place)?.as_mut()?.set_reply(reply);
        self.write(now, place)
    }

    fn write(&mut self, now: MonotonicTime, place: usize) -> Option<CallerState> {
        match self.callers.get_mut(place)?.as_mut()?.write(now) {
            Ok(WriteProgress::Complete) => Some(CallerState::Reading),
            Ok(WriteProgress::Partial) => Some(CallerState::Writing),
            Err(_) => self.remove(place),
        }
    }

    fn remove(&mut self, place: usize) -> Option<CallerState> {
        self.callers[place].take().map(|caller| CallerState::Closed(caller.stream))
    }

    /// When [`Console::tick`] is to be called next.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        self.callers.iter().flatten().filter_map(Caller::next_due).min()
    }

    /// Answers callers that have completed no call in time, and removes those that do not close their connections.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<CallerChange> {
        let mut changes = Vec::new();
        for place in 0..self.callers.len() {
            let due = self.callers[place].as_ref().and_then(|caller| caller.due(now));
            let state = match due {
                Some(Due::Close) => self.remove(place),
                Some(Due::CallTimeout) => self.answer(now, place, &CallError::Timeout.into()),
                None => None,
            };
            changes.extend(state.map(|state| CallerChange { place, state }));
        }
        changes
    }
}

#[cfg(test)]
mod tests;
