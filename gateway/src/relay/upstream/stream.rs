//! What comes from a source: events and comments go to the subscriber, and its outputs to the relay.
use super::connection::{Decoded, StreamProgress};
use super::Upstream;
use crate::clock;
use crate::event_stream::{StreamError, StreamItem};
use larchway::MonotonicTime;
use larchway_distribution::relay::{HistoryMismatch, Input as RelayInput};
use larchway_distribution::subscriber::{EventMetadata, GapReason, Input, Output, SourceKind};
use larchway_distribution::{Event, EventNumber};
use tracing::warn;

impl Upstream {
    /// Bytes came from the source: hands their events and comments to the subscriber.
    pub(super) fn decode(&mut self, now: MonotonicTime, bytes: &[u8], inputs: &mut Vec<RelayInput>) {
        let Some(connection) = &mut self.connection else { return };
        let Decoded { items, progress, error } = connection.decode(bytes);
        if progress == StreamProgress::Begun {
            inputs.push(RelayInput::UpstreamConnected);
        }
        if error.is_none() || !items.is_empty() {
            self.handle(now, Input::BytesReceived, None, inputs);
        }
        for item in items {
            match item {
                StreamItem::Event(data) => self.take_event(now, &data, inputs),
                StreamItem::Comment(text) => self.take_comment(now, &text, inputs),
            }
        }
        if let Some(error) = error {
            self.fail(now, &error, inputs);
        }
    }

    fn fail(&mut self, now: MonotonicTime, error: &StreamError, inputs: &mut Vec<RelayInput>) {
        let input = match *error {
            StreamError::Refused { status, retry_after } => Input::Refused { status, retry_after },
            StreamError::Ended => return self.lose(now, inputs),
            _ => Input::Malformed,
        };
        warn!(source = ?self.subscriber.source(), %error, "a source cannot be read");
        self.handle(now, input, None, inputs);
    }

    fn take_event(&mut self, now: MonotonicTime, data: &str, inputs: &mut Vec<RelayInput>) {
        let event = Event::read(data);
        if let Err(error) = &event {
            warn!("{error}");
        }
        let event = event.ok();
        let metadata = event.as_ref().map_or(EventMetadata::UNREADABLE, EventMetadata::of_event);
        self.handle(now, Input::Event(metadata), event, inputs);
    }

    fn take_comment(&mut self, now: MonotonicTime, text: &str, inputs: &mut Vec<RelayInput>) {
        self.handle(now, Input::Comment(text), None, inputs);
        // A source that is no relay says by a comment that it has sent all that it has.
        if self.kind == SourceKind::Plain && self.subscriber.caught_up() {
            inputs.push(RelayInput::Heartbeat { source_alive_at: clock::wire_anchor().to_unix(now) });
        }
    }

    /// Hands an input to the subscriber, unless the connection that it came from is closed.
    pub(super) fn handle(
        &mut self,
        now: MonotonicTime,
        input: Input<'_>,
        event: Option<Event>,
        inputs: &mut Vec<RelayInput>,
    ) {
        if self.connection.is_none() && !matches!(input, Input::Tick) {
            return;
        }
        let mut outputs = Vec::new();
        self.subscriber.handle(now, input, &mut outputs);
        self.carry_out(now, outputs, event, inputs);
    }

    /// Carries out what the subscriber asks for; `event` is the one just handed in.
    pub(super) fn carry_out(
        &mut self,
        now: MonotonicTime,
        outputs: Vec<Output>,
        mut event: Option<Event>,
        inputs: &mut Vec<RelayInput>,
    ) {
        for output in outputs {
            match output {
                Output::Dial(subscription) => self.dial(now, now, subscription),
                Output::Close(reason) => self.leave(reason),
                // The time is forwarded as the root relay sent it, whatever the clock here says.
                Output::SourceAlive(_) if self.kind == SourceKind::Relay => {
                    let alive_at = self.subscriber.source_alive_unix();
                    inputs.extend(alive_at.map(|source_alive_at| RelayInput::Heartbeat { source_alive_at }));
                }
                // A heartbeat goes out after the events that came with these bytes; see `take_comment`.
                Output::SourceAlive(_) => {}
                Output::Disconnected => inputs.push(RelayInput::UpstreamDisconnected),
                Output::Gap { after, reason } => inputs.extend(self.take_gap(after, reason)),
                Output::Apply(_) => inputs.extend(event.take().map(|event| self.apply(event))),
                Output::Skip => {
                    warn!(after = %self.subscriber.cursor(), "an event is passed over");
                    self.has_gap = true;
                }
            }
        }
    }

    /// Events are missing. Returns the input of the relay if the sources have another history.
    fn take_gap(&mut self, after: EventNumber, reason: GapReason) -> Option<RelayInput> {
        warn!("events after {after} may be missing: {reason}");
        self.has_gap = true;
        if reason != GapReason::OtherHistory {
            return None;
        }
        self.is_stopped = !self.restart_history;
        let reason = self.last_leave_reason;
        Some(RelayInput::OtherHistory(HistoryMismatch::AllSourcesDiffer { after, reason }))
    }

    fn apply(&mut self, event: Event) -> RelayInput {
        match std::mem::take(&mut self.has_gap) {
            true => RelayInput::UpstreamGap(event),
            false => RelayInput::Event(event),
        }
    }
}
