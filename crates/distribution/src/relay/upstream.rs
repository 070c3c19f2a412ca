//! What comes from upstream: events, heartbeats, gaps, and another history.
use super::encoder::Line;
use super::messages::{CutReason, Output, RejectReason};
use super::subscribers::Place;
use super::Relay;
use crate::event::Event;
use crate::log::{AppendError, Appended, EventLog};
use larchway::Micros;

impl Relay {
    /// The next event from upstream.
    pub(super) fn take_event(&mut self, now: Micros, event: Event, out: &mut Vec<Output>) {
        let line = Line::of_event(&event);
        match self.log.append(event.clone()) {
            Ok(Appended::Stored { .. }) => self.add_line(now, line, out),
            Ok(Appended::Duplicate) => {}
            Err(AppendError::Gap { .. }) => self.take_gap(now, event, out),
            Err(error @ AppendError::OtherHistory { .. }) => self.stop_serving(now, error.to_string(), out),
        }
    }

    /// A heartbeat from upstream, which comes only when all events before it have.
    pub(super) fn take_heartbeat(&mut self, now: Micros, heard: Micros, out: &mut Vec<Output>) {
        self.ring.add_heartbeat(now, heard);
        if !self.ready {
            self.ready = true;
            self.admit_waiting(now, out);
        }
    }

    /// The first event after a gap. Subscribers see the same jump of numbers, which is their floor (E1).
    pub(super) fn take_gap(&mut self, now: Micros, event: Event, out: &mut Vec<Output>) {
        if event.number <= self.log.last() {
            let reason = format!("upstream went back from event {} to {}", self.log.last(), event.number);
            self.stop_serving(now, reason, out);
        } else if event.number == self.log.last() + 1 {
            self.cut_all(now, CutReason::HiddenGap, out);
        }
        self.seal(now, out);
        self.pages.clear();
        let line = Line::of_event(&event);
        self.log.restart_at(event);
        self.add_line(now, line, out);
    }

    /// Upstream tells another history: nothing that was passed on can be relied on.
    pub(super) fn stop_serving(&mut self, now: Micros, reason: String, out: &mut Vec<Output>) {
        self.ready = false;
        for id in self.subscribers.ids() {
            let waits = matches!(self.subscribers.get(id).map(|s| s.place), Some(Place::Waiting(_)));
            self.subscribers.remove(id);
            self.positions.gone(now, id);
            if waits {
                self.reject(id, RejectReason::NotReady, out);
            } else {
                out.push(Output::Cut { id, reason: CutReason::StoppedServing });
            }
        }
        self.log = EventLog::new(self.terms.log);
        self.ring.reset();
        self.pages.clear();
        out.push(Output::StopServing(reason));
    }

    /// Cuts off all that read. Without a jump of numbers they would not see that something is missing (E1).
    fn cut_all(&mut self, now: Micros, reason: CutReason, out: &mut Vec<Output>) {
        for id in self.subscribers.ids() {
            let waits = matches!(self.subscribers.get(id).map(|s| s.place), Some(Place::Waiting(_)));
            if !waits {
                self.cut(now, id, reason, out);
            }
        }
    }

    /// Seals the open batch, if there is anything in it.
    pub(super) fn seal(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.ring.seal(now) {
            out.push(Output::Ready);
        }
    }

    fn add_line(&mut self, now: Micros, line: Line, out: &mut Vec<Output>) {
        if self.ring.add(now, line) {
            out.push(Output::Ready);
        }
    }
}
