//! Handling of input from upstream: events, heartbeats, gaps, and a different history.
use super::encoder::OutgoingEvent;
use super::history_mismatch::HistoryMismatch;
use super::messages::{DisconnectReason, Output, RejectReason};
use super::ring::BatchState;
use super::{Readiness, Relay};
use crate::event::Event;
use crate::log::{AppendError, Appended, EventLog};
use larchway::MonotonicTime;
use larchway_unix_time::UnixMicros;

impl Relay {
    /// Handles the next event from upstream.
    pub(super) fn handle_event(&mut self, now: MonotonicTime, event: Event, out: &mut Vec<Output>) {
        let outgoing = OutgoingEvent::of_event(&event);
        match self.log.append(event.clone()) {
            Ok(Appended::Stored { .. }) => self.add_to_batch(now, outgoing, out),
            Ok(Appended::Duplicate) => {}
            Err(AppendError::Gap { .. }) => self.handle_gap(now, event, out),
            Err(AppendError::OtherHistory { number }) => {
                self.stop_serving(now, HistoryMismatch::EventDiffers { number }, out);
            }
        }
    }

    /// Handles a heartbeat from upstream, which is sent only after all earlier events.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: MonotonicTime,
        source_alive_at: UnixMicros,
        out: &mut Vec<Output>,
    ) {
        self.ring.add_heartbeat(now, source_alive_at);
        if !self.is_ready() {
            self.become_ready(now, out);
        }
    }

    /// Handles the first event after a gap. Subscribers see the same jump in the numbers and discard copies from before
    /// it (E1).
    pub(super) fn handle_gap(&mut self, now: MonotonicTime, event: Event, out: &mut Vec<Output>) {
        let last = self.log.last();
        if event.number <= last {
            self.stop_serving(now, HistoryMismatch::NumberDecreased { last, received: event.number }, out);
        } else if event.number == last + 1 {
            self.disconnect_all(now, DisconnectReason::HiddenGap, out);
        }
        self.seal(now, out);
        self.pages.clear();
        let outgoing = OutgoingEvent::of_event(&event);
        self.log.restart_at(event);
        self.add_to_batch(now, outgoing, out);
    }

    /// Stops serving because upstream has a different history, which makes all forwarded events unreliable.
    pub(super) fn stop_serving(
        &mut self,
        now: MonotonicTime,
        mismatch: HistoryMismatch,
        out: &mut Vec<Output>,
    ) {
        self.readiness = Readiness::Stopped;
        for id in self.subscribers.ids() {
            let is_waiting = self.subscribers.is_waiting(id);
            self.subscribers.remove(id);
            self.positions.disconnected(now, id);
            if is_waiting {
                self.reject(id, RejectReason::NotReady, out);
            } else {
                out.push(Output::Disconnect { id, reason: DisconnectReason::StoppedServing });
            }
        }
        self.log = EventLog::new(self.settings.log);
        self.ring.reset();
        self.pages.clear();
        out.push(Output::StopServing(mismatch));
    }

    /// Disconnects all subscribers that are not waiting. Without a jump in the numbers they would not notice that
    /// events are missing (E1).
    fn disconnect_all(&mut self, now: MonotonicTime, reason: DisconnectReason, out: &mut Vec<Output>) {
        for id in self.subscribers.ids() {
            if !self.subscribers.is_waiting(id) {
                self.disconnect(now, id, reason, out);
            }
        }
    }

    /// Seals the open batch unless it is empty.
    pub(super) fn seal(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        if self.ring.seal(now) == BatchState::Sealed {
            out.push(Output::BatchSealed);
        }
    }

    fn add_to_batch(&mut self, now: MonotonicTime, event: OutgoingEvent, out: &mut Vec<Output>) {
        if self.ring.add(now, event) == BatchState::Sealed {
            out.push(Output::BatchSealed);
        }
    }
}
