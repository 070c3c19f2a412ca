//! The stream of events (purges, the list of stores), for the daemon: joins the subscriber's state machine
//! (`larchway_distribution::subscriber`) and the reader of its connection. It has no socket: what the loop is to do
//! comes back as [`Effect`]s.
mod documents;
mod effect;
mod lag;
mod position_reports;
mod report;
mod settings;

use documents::Documents;
pub use effect::{CloseReason, Effect};
pub use settings::EventsConfig;

use crate::bulletin::{self, BulletinEvent, EventBody};
use crate::clock::{self, wire::Arrival};
use crate::config::Overlay;
use crate::event_stream::{StreamError, StreamItem, StreamRead, StreamReader};
use crate::spans::floor_millis;
use crate::wire_settings::WireSettings;
use lag::{LagChange, LagWatch};
use larchway::MonotonicTime;
use larchway_distribution::configuration::{Candidate, DocumentChange, DocumentId, DocumentsEvent};
use larchway_distribution::event;
use larchway_distribution::subscriber::{CursorChange, EventMetadata, GapReason, Input, Output, Subscriber};
use larchway_distribution::EventNumber;
use larchway_endpoints::ListScope;
use position_reports::PositionReports;
use report::OperatorReport;
use settings::subscriber_settings;
use std::time::Duration;
use tracing::{info, warn};

/// The key of an event that carries documents, as JSON writes it.
const DOCUMENTS_KEY: &str = "\"documents\"";

/// Whether the connection to the source is still open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    Open,
    Closed,
}

/// The stream of events and its connection.
pub struct Events {
    config: EventsConfig,
    seed: u64,
    subscriber: Subscriber,
    reader: StreamReader,
    /// The lag's limit, if there is one.
    lag: Option<LagWatch>,
    position_reports: PositionReports,
    /// The documents of configuration, where they are applied.
    documents: Option<Documents>,
}

/// An event whose place in the history the subscriber judges.
struct ReceivedEvent {
    body: EventBody,
    number: EventNumber,
    documents: Option<DocumentsEvent>,
}

impl Events {
    /// Without a source; [`Events::configure`] names it.
    pub fn new(now: MonotonicTime, seed: u64) -> Self {
        let config = EventsConfig::default();
        let settings = subscriber_settings(&config, seed);
        let mut subscriber = Subscriber::new(now, settings, 0, seed);
        subscriber.set_anchor(clock::wire_anchor());
        Events {
            config,
            seed,
            subscriber,
            reader: StreamReader::default(),
            lag: None,
            position_reports: PositionReports::default(),
            documents: None,
        }
    }

    /// Puts another configuration in force. A connection to a source that is not named any more is left.
    pub fn configure(&mut self, now: MonotonicTime, config: EventsConfig) -> Vec<Effect> {
        let settings = subscriber_settings(&config, self.seed);
        let limit = config.lag_limit();
        self.lag = match (self.lag.take(), limit) {
            (_, None) => None,
            (None, Some(limit)) => Some(LagWatch::new(now, limit)),
            (Some(mut watch), Some(limit)) => {
                watch.set_limit(now, limit);
                Some(watch)
            }
        };
        self.config = config;
        self.configure_documents();
        let mut outputs = Vec::new();
        self.subscriber.configure(now, settings, &mut outputs);
        let mut effects = Vec::new();
        outputs.into_iter().for_each(|output| self.perform(output, &mut None, &mut effects));
        effects
    }

    /// Begins or ends to apply documents. Another name or zone of the gateway counts from its next start on: documents
    /// that are staged by it have come already.
    fn configure_documents(&mut self) {
        match (&self.documents, self.config.takes_documents()) {
            (_, false) => self.documents = None,
            (None, true) => self.documents = Some(Documents::new(&self.config.name, &self.config.zone)),
            (Some(documents), true) if documents.are_of(&self.config.name, &self.config.zone) => {}
            (Some(_), true) => warn!("documents are staged by the former name and zone until the next start"),
        }
    }

    /// The documents in force, to be laid over the gateway's own file.
    pub fn overlay_in_force(&self) -> Overlay {
        self.documents.as_ref().map(Documents::overlay).unwrap_or_default()
    }

    /// The documents that would be in force with these changes.
    pub fn overlay_with<'a>(&'a self, changes: impl Iterator<Item = &'a DocumentChange>) -> Overlay {
        self.documents.as_ref().map(|documents| documents.overlay_with(changes)).unwrap_or_default()
    }

    /// A candidate is in force.
    pub fn accept_documents(&mut self, candidate: Candidate) {
        if let Some(documents) = &mut self.documents {
            documents.accept(candidate);
        }
    }

    /// A candidate cannot be put in force, because of this document if that is known. Returns what is to be tried next.
    pub fn reject_documents(
        &mut self,
        candidate: Candidate,
        fault: Option<&DocumentId>,
        reason: &str,
    ) -> Option<Candidate> {
        self.documents.as_mut()?.reject(candidate, fault, reason)
    }

    /// Returns the rejected versions, to be tried again.
    pub fn retry_documents(&mut self) -> Option<Candidate> {
        self.documents.as_mut()?.retry()
    }

    /// Time for which cached copies may answer after the source was last known to be alive; none: the usual one.
    pub fn lag_limit(&self) -> Option<Duration> {
        self.config.lag_limit()
    }

    /// What operators see, as JSON.
    pub fn report(&self, now: MonotonicTime) -> String {
        let report = OperatorReport {
            source: self.subscriber.source().map(|source| source.to_string()),
            relays: self.config.file.is_some(),
            cursor: self.subscriber.cursor(),
            caught_up: self.subscriber.caught_up(),
            lag_ms: self.lag_at(now).map(floor_millis),
            lagging: self.lag.as_ref().is_some_and(LagWatch::exceeded),
            gaps: self.subscriber.gaps(),
            configuration: self.documents.as_ref().map(Documents::report),
        };
        // Numbers, flags and an address: there is nothing in it that can't be written as JSON.
        serde_json::to_string(&report).unwrap_or_default()
    }

    /// Takes in the events that the configuration holds, and the number of the last one known to it.
    pub fn take_known(&mut self, events: Vec<BulletinEvent>, last: EventNumber) -> Vec<Effect> {
        let mut effects = Vec::new();
        for event in events {
            let skips = event.number > self.subscriber.cursor() + 1;
            if self.subscriber.advance(event.number) == CursorChange::Advanced {
                effects.extend(skips.then_some(Effect::InvalidateCopies));
                effects.push(Effect::Apply { event: event.body, arrival: Arrival::Initial });
            }
        }
        if self.subscriber.advance(last) == CursorChange::Advanced {
            effects.push(Effect::InvalidateCopies);
        }
        effects
    }

    /// When a tick is wanted.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        let lag_due = self.lag.as_ref().map(LagWatch::next_due);
        let subscriber_due = self.subscriber.next_due();
        subscriber_due.into_iter().chain(lag_due).min()
    }

    /// A time named by [`Events::next_due`] has come.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<Effect> {
        let mut effects = self.feed(now, Input::Tick);
        self.check_lag(now, &mut effects);
        effects
    }

    /// The connection is lost, or did not come up.
    pub fn disconnected(&mut self, now: MonotonicTime) -> Vec<Effect> {
        self.feed(now, Input::Disconnected)
    }

    /// The connection could not even be begun.
    pub fn connect_failed(&mut self, now: MonotonicTime) -> Vec<Effect> {
        self.feed(now, Input::ConnectFailed)
    }

    /// Bytes have come in on the connection.
    pub fn take_bytes(&mut self, now: MonotonicTime, bytes: &[u8], settings: &WireSettings) -> Vec<Effect> {
        let StreamRead { items, error } = self.reader.read(bytes);
        let mut effects = Vec::new();
        // An error alone, such as a refusal, does not show that events can be received.
        if error.is_none() || !items.is_empty() {
            effects = self.feed(now, Input::BytesReceived);
        }
        for item in items {
            if self.take_item(now, item, settings, &mut effects) == ConnectionState::Closed {
                return effects;
            }
        }
        self.check_lag(now, &mut effects);
        match error {
            Some(error) => effects.extend(self.unreadable_stream(now, &error)),
            None => self.report_position(now, &mut effects),
        }
        effects
    }

    /// How old the state is that the events applied make up, if that is known.
    fn lag_at(&self, now: MonotonicTime) -> Option<Duration> {
        self.subscriber.lag(now)
    }

    /// Says what follows from the lag, where there is a limit.
    fn check_lag(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        let lag = self.lag_at(now);
        let Some(watch) = &mut self.lag else { return };
        match watch.check(now, lag) {
            LagChange::Unchanged => return,
            LagChange::Exceeded => {
                warn!("events lag: copies of the gateway's own answer nothing");
                effects.push(Effect::SourceLost);
            }
            LagChange::Recovered => info!("events no longer lag"),
            LagChange::StillExceeded => {}
        }
        effects.push(Effect::PurgesMissed);
    }

    /// Reports how far events are applied, if that is wanted and new.
    fn report_position(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        let wanted = self.config.file.as_ref().is_some_and(|file| file.report);
        if !wanted {
            return;
        }
        let request = self.position_reports.next_request(
            now,
            &self.subscriber,
            &self.config.name,
            self.documents.as_ref(),
        );
        effects.extend(request.map(Effect::Write));
    }

    fn unreadable_stream(&mut self, now: MonotonicTime, error: &StreamError) -> Vec<Effect> {
        if let StreamError::Refused { status, retry_after } = *error {
            return self.feed(now, Input::Refused { status, retry_after });
        }
        if *error == StreamError::Ended {
            return self.feed(now, Input::Ended);
        }
        warn!(%error, "the event stream cannot be read");
        self.feed(now, Input::Malformed)
    }

    /// Takes in one item of the stream. What the connection still holds is dropped if it is closed.
    fn take_item(
        &mut self,
        now: MonotonicTime,
        item: StreamItem,
        settings: &WireSettings,
        effects: &mut Vec<Effect>,
    ) -> ConnectionState {
        let mut outputs = Vec::new();
        let mut body = None;
        match item {
            StreamItem::Comment(text) => self.subscriber.handle(now, Input::Comment(&text), &mut outputs),
            StreamItem::Event(data) => {
                let event = bulletin::parse_event(&data, settings);
                if let Err(error) = &event {
                    warn!(%error, "an event cannot be used");
                }
                let metadata = self.metadata(&data, event.as_ref().ok());
                body = event.ok().map(|event| self.received(event, &data));
                self.subscriber.handle(now, Input::Event(metadata), &mut outputs);
            }
        }
        let is_closed = outputs.iter().any(|output| matches!(output, Output::Close(_)));
        outputs.into_iter().for_each(|output| self.perform(output, &mut body, effects));
        match is_closed {
            true => ConnectionState::Closed,
            false => ConnectionState::Open,
        }
    }

    /// An event with the documents that it carries. Those that cannot be read are left out, and what is in force stays.
    fn received(&self, event: BulletinEvent, data: &str) -> ReceivedEvent {
        // Hundreds of purges a second are not parsed twice.
        let has_documents = self.documents.is_some() && data.contains(DOCUMENTS_KEY);
        let documents = match has_documents.then(|| DocumentsEvent::read(data)) {
            None => None,
            Some(Ok(documents)) => documents,
            Some(Err(error)) => {
                warn!(number = event.number, %error, "the documents of an event cannot be used");
                None
            }
        };
        ReceivedEvent { body: event.body, number: event.number, documents }
    }

    /// What the subscriber needs to know of an event.
    fn metadata(&self, data: &str, event: Option<&BulletinEvent>) -> EventMetadata {
        let body = event.map(|event| &event.body);
        // A placeholder of an event that was replaced says nothing of the history; a relay knows the text of a list as
        // it is in the scope.
        let has_content = matches!(body, Some(EventBody::EndpointList { .. } | EventBody::Purge { .. }));
        let verifies = has_content && self.config.file.is_some();
        EventMetadata {
            number: event.map(|event| event.number),
            digest: verifies.then(|| event::digest(data)),
            is_full_list: matches!(body, Some(EventBody::EndpointList { scope: ListScope::Complete, .. })),
        }
    }

    fn feed(&mut self, now: MonotonicTime, input: Input<'_>) -> Vec<Effect> {
        let mut outputs = Vec::new();
        self.subscriber.handle(now, input, &mut outputs);
        let mut effects = Vec::new();
        outputs.into_iter().for_each(|output| self.perform(output, &mut None, &mut effects));
        effects
    }

    /// Turns an output of the subscriber into what the loop is to do; `body` is that of the event just handed in.
    fn perform(&mut self, output: Output, body: &mut Option<ReceivedEvent>, effects: &mut Vec<Effect>) {
        match output {
            Output::Dial(subscription) => {
                self.reader = StreamReader::default();
                self.position_reports.start_connection();
                let name = self.config.file.is_some().then_some(self.config.name.as_str());
                let request = subscription.to_http(name).into_bytes();
                effects.push(Effect::Dial { address: subscription.source, request });
            }
            Output::Close(reason) => effects.push(Effect::Close(reason.into())),
            Output::SourceAlive(alive_at) => effects.push(Effect::SourceAlive(alive_at)),
            // With a limit on the lag it does not matter from which relay a heartbeat came.
            Output::Disconnected if self.lag.is_some() => {}
            Output::Disconnected => effects.push(Effect::SourceLost),
            Output::Gap { after, reason } => {
                let to = match reason {
                    GapReason::EventsMissing { next } => format!("event {next}"),
                    GapReason::OtherHistory | GapReason::HistoryUnknown => "a history begun anew".to_string(),
                };
                warn!("events are missing from {} to {to}: they may have been purges", after + 1);
                let missing = match reason {
                    GapReason::EventsMissing { next } => Some(next.saturating_sub(after + 1)),
                    GapReason::OtherHistory | GapReason::HistoryUnknown => None,
                };
                self.documents.iter_mut().for_each(|documents| documents.missed(missing));
                self.missed(effects);
            }
            Output::Skip => {
                warn!("an event of the bulletin is passed over");
                self.documents.iter_mut().for_each(Documents::passed_over);
                self.missed(effects);
            }
            Output::Apply(_) => {
                if let Some(event) = body.take() {
                    self.apply(event, effects);
                }
            }
        }
    }

    /// The next event of the history is applied.
    fn apply(&mut self, event: ReceivedEvent, effects: &mut Vec<Effect>) {
        let ReceivedEvent { body, number, documents } = event;
        effects.push(Effect::Apply { event: body, arrival: Arrival::Live });
        let candidate = self.documents.as_mut().and_then(|held| held.take(number, documents));
        effects.extend(candidate.map(Effect::TryDocuments));
    }

    /// Something was missed that may have been a purge.
    fn missed(&self, effects: &mut Vec<Effect>) {
        effects.push(Effect::InvalidateCopies);
        if self.config.file.is_some() {
            effects.push(Effect::PurgesMissed);
        }
    }
}
