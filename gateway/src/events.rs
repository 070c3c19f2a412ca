//! The stream of events (purges, the list of stores), for the daemon: joins the subscriber's state machine
//! (`larchway_distribution::subscriber`) and the reader of its connection. Knows no socket: what the loop is to do comes
//! back as [`Effect`]s.
mod lag;

use crate::bulletin::{self, BulletinEvent, EventBody};
use crate::event_stream::{Part, StreamError, StreamReader};
use crate::log;
use crate::terms::Terms;
use lag::{LagWatch, Verdict};
use larchway::Micros;
use larchway_distribution::event;
use larchway_distribution::events_file::EventsFile;
use larchway_distribution::positions::PositionReport;
use larchway_distribution::subscriber::{
    position_request, shuffled, GapReason, Input, LeaveReason, Output, Received, SourceKind, Subscriber,
    SubscriberTerms,
};
use serde::Serialize;
use std::net::SocketAddr;

/// Longest pause between two attempts to reach the source, µs.
const LONGEST_BACKOFF: Micros = 2_000_000;
/// The least that the longest pause is, however short the time is in which an event must be acted on, µs.
const LEAST_BACKOFF: Micros = 25_000;

/// Time between two reports of the position at least, µs.
const REPORT_EVERY: Micros = 1_000_000;
const MICROS_PER_MILLISECOND: Micros = 1000;

/// Where events come from, and what they are for.
#[derive(Debug, Clone, Default)]
pub struct EventsConfig {
    /// The gateway's name, by which its position is reported.
    pub name: String,
    /// The source that the configuration names.
    pub bulletin: Option<SocketAddr>,
    /// Within so long an event must be acted on; none: not told.
    pub notice: Option<Micros>,
    /// The operator file, if there is one; its relays take the place of the source.
    pub file: Option<EventsFile>,
}

/// What the loop is to do.
#[derive(Debug)]
pub enum Effect {
    /// Connect to the source and write this.
    Dial(SocketAddr, Vec<u8>),
    /// Write this to the source.
    Write(Vec<u8>),
    /// Close the connection; the subscriber knows of it.
    Close(String),
    /// The source lived at that time.
    Heard(Micros),
    /// The source is not heard any more.
    Lost,
    /// Something was missed that may have been a purge: copies of the gateway's own are void.
    CopiesVoid,
    /// Purges up to now may have been missed: stores must be asked for copies that are young enough.
    PurgesMissed,
    /// Apply what an event tells.
    Apply(EventBody),
}

/// What an operator sees.
#[derive(Serialize)]
struct Report {
    source: Option<String>,
    relays: bool,
    cursor: u64,
    caught_up: bool,
    /// Time since the source was heard, as far as events are applied; none before it was first heard.
    lag_ms: Option<u64>,
    /// Whether the lag is past its limit, so that no copy of the gateway's own answers.
    lagging: bool,
    /// Gaps and events passed over, after each of which all copies of the gateway's own were dropped.
    gaps: u64,
}

/// The stream of events and its connection.
pub struct Events {
    config: EventsConfig,
    seed: u64,
    subscriber: Subscriber,
    reader: StreamReader,
    /// The lag's limit, if there is one.
    lag: Option<LagWatch>,
    /// Whether it has caught up since the start, from sources that positions are reported to. A gateway that has not is
    /// not counted: it serves nothing old, and its position would hold back that of all.
    has_caught_up: bool,
    /// The position reported last on this connection, and from when the next may be.
    reported: Option<u64>,
    report_from: Micros,
}

impl Events {
    /// Without a source; [`Events::configure`] names it.
    pub fn new(at: Micros, seed: u64) -> Self {
        let config = EventsConfig::default();
        let terms = subscriber_terms(&config, seed);
        Events {
            config,
            seed,
            subscriber: Subscriber::new(at, terms, 0, seed),
            reader: StreamReader::default(),
            lag: None,
            has_caught_up: false,
            reported: None,
            report_from: 0,
        }
    }

    /// Puts another configuration in force. A connection to a source that is not named any more is left.
    pub fn configure(&mut self, at: Micros, config: EventsConfig) -> Vec<Effect> {
        let terms = subscriber_terms(&config, self.seed);
        let limit = config.file.as_ref().map(lag_limit);
        self.lag = match (self.lag.take(), limit) {
            (_, None) => None,
            (None, Some(limit)) => Some(LagWatch::new(at, limit)),
            (Some(mut watch), Some(limit)) => {
                watch.set_limit(at, limit);
                Some(watch)
            }
        };
        self.config = config;
        let mut outputs = Vec::new();
        self.subscriber.configure(at, terms, &mut outputs);
        let mut effects = Vec::new();
        outputs.into_iter().for_each(|output| self.perform(output, &mut None, &mut effects));
        effects
    }

    /// For how long copies of the gateway's own may answer after the source was heard, if that is not as usual.
    pub fn lag_limit(&self) -> Option<Micros> {
        self.config.file.as_ref().map(lag_limit)
    }

    /// What operators are told, as JSON.
    pub fn report(&self, at: Micros) -> String {
        let report = Report {
            source: self.subscriber.source().map(|source| source.to_string()),
            relays: self.config.file.is_some(),
            cursor: self.subscriber.cursor(),
            caught_up: self.subscriber.caught_up(),
            lag_ms: self.subscriber.lag(at).map(|lag| lag / MICROS_PER_MILLISECOND),
            lagging: self.lag.as_ref().is_some_and(LagWatch::exceeded),
            gaps: self.subscriber.gaps(),
        };
        // Numbers, flags and an address: there is nothing in it that can't be written as JSON.
        serde_json::to_string(&report).unwrap_or_default()
    }

    /// Takes in the events that the configuration holds, and the number of the last one known to it.
    pub fn take_known(&mut self, items: Vec<BulletinEvent>, last: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        for item in items {
            let skips = item.no > self.subscriber.cursor() + 1;
            if self.subscriber.advance(item.no) {
                effects.extend(skips.then_some(Effect::CopiesVoid));
                effects.push(Effect::Apply(item.body));
            }
        }
        if self.subscriber.advance(last) {
            effects.push(Effect::CopiesVoid);
        }
        effects
    }

    /// When a tick is wanted.
    pub fn next_due(&self) -> Option<Micros> {
        let lag_due = self.lag.as_ref().map(LagWatch::next_due);
        self.subscriber.next_due().into_iter().chain(lag_due).min()
    }

    /// A time named by [`Events::next_due`] has come.
    pub fn tick(&mut self, at: Micros) -> Vec<Effect> {
        let mut effects = self.feed(at, Input::Tick);
        self.look_at_lag(at, &mut effects);
        effects
    }

    /// The connection is lost, or did not come up.
    pub fn lost(&mut self, at: Micros) -> Vec<Effect> {
        self.feed(at, Input::Lost)
    }

    /// The connection could not even be begun.
    pub fn not_dialled(&mut self, at: Micros) -> Vec<Effect> {
        self.feed(at, Input::NotDialled)
    }

    /// Bytes have come in on the connection.
    pub fn bytes(&mut self, at: Micros, bytes: &[u8], terms: &Terms) -> Vec<Effect> {
        let parts = match self.reader.take(bytes) {
            Ok(parts) => parts,
            Err(error) => return self.unreadable_stream(at, &error),
        };
        let mut effects = self.feed(at, Input::Heard);
        for part in parts {
            let closed = self.take_part(at, part, terms, &mut effects);
            if closed {
                return effects;
            }
        }
        self.look_at_lag(at, &mut effects);
        self.report_position(at, &mut effects);
        effects
    }

    /// Says what follows from the lag, where there is a limit.
    fn look_at_lag(&mut self, at: Micros, effects: &mut Vec<Effect>) {
        let lag = self.subscriber.lag(at);
        let Some(watch) = &mut self.lag else { return };
        let verdict = watch.look(at, lag);
        match verdict {
            Verdict::Nothing => return,
            Verdict::Exceeded => {
                log!("events lag: copies of the gateway's own answer nothing");
                effects.push(Effect::Lost);
            }
            Verdict::Recovered => log!("events no longer lag"),
            Verdict::StillExceeded => {}
        }
        effects.push(Effect::PurgesMissed);
    }

    /// Reports how far events are applied, if that is wanted and new.
    fn report_position(&mut self, at: Micros, effects: &mut Vec<Effect>) {
        let wanted = self.config.file.as_ref().is_some_and(|file| file.report);
        if !wanted {
            return;
        }
        self.has_caught_up |= self.subscriber.caught_up();
        let cursor = self.subscriber.cursor();
        if !self.has_caught_up || at < self.report_from || self.reported == Some(cursor) {
            return;
        }
        let Some(source) = self.subscriber.source() else { return };
        self.reported = Some(cursor);
        self.report_from = at + REPORT_EVERY;
        let report = PositionReport::of_gateway(&self.config.name, cursor);
        effects.push(Effect::Write(position_request(source, &report).into_bytes()));
    }

    fn unreadable_stream(&mut self, at: Micros, error: &StreamError) -> Vec<Effect> {
        if let StreamError::Refused { status, retry_after } = *error {
            return self.feed(at, Input::Refused { status, retry_after });
        }
        log!("the event stream cannot be read: {error}");
        self.feed(at, Input::Garbled)
    }

    /// Takes in one part of the stream. Returns whether the connection is closed with it, so that what it still holds is
    /// dropped.
    fn take_part(&mut self, at: Micros, part: Part, terms: &Terms, effects: &mut Vec<Effect>) -> bool {
        let mut outputs = Vec::new();
        let mut body = None;
        match part {
            Part::Comment(text) => self.subscriber.handle(at, Input::Comment(&text), &mut outputs),
            Part::Event(data) => {
                let item = bulletin::event(&data, terms);
                if let Err(why) = &item {
                    log!("an event cannot be used: {why}");
                }
                let received = self.received(&data, item.as_ref().ok());
                body = item.ok().map(|item| item.body);
                self.subscriber.handle(at, Input::Event(received), &mut outputs);
            }
        }
        let closed = outputs.iter().any(|output| matches!(output, Output::Close(_)));
        outputs.into_iter().for_each(|output| self.perform(output, &mut body, effects));
        closed
    }

    /// What the subscriber needs to know of an event.
    fn received(&self, data: &str, item: Option<&BulletinEvent>) -> Received {
        let body = item.map(|item| &item.body);
        // A placeholder of an event that was replaced says nothing of the history; a relay knows the text of a list as
        // it is in the scope.
        let told = matches!(body, Some(EventBody::Roster { .. } | EventBody::Recall { .. }));
        let verifies = told && self.config.file.is_some();
        Received {
            number: item.map(|item| item.no),
            digest: verifies.then(|| event::digest(data)),
            whole_list: matches!(body, Some(EventBody::Roster { whole: true, .. })),
        }
    }

    fn feed(&mut self, at: Micros, input: Input<'_>) -> Vec<Effect> {
        let mut outputs = Vec::new();
        self.subscriber.handle(at, input, &mut outputs);
        let mut effects = Vec::new();
        outputs.into_iter().for_each(|output| self.perform(output, &mut None, &mut effects));
        effects
    }

    /// Turns an output of the subscriber into what the loop is to do; `body` is what the event just handed in tells.
    fn perform(&mut self, output: Output, body: &mut Option<EventBody>, effects: &mut Vec<Effect>) {
        match output {
            Output::Dial(subscription) => {
                self.reader = StreamReader::default();
                self.reported = None;
                let name = self.config.file.is_some().then_some(self.config.name.as_str());
                effects.push(Effect::Dial(subscription.source, subscription.to_http(name).into_bytes()));
            }
            Output::Close(LeaveReason::Reconfigured) => {
                effects.push(Effect::Close("it is another now".into()))
            }
            Output::Close(reason) => effects.push(Effect::Close(reason.to_string())),
            Output::Heard(at) => effects.push(Effect::Heard(at)),
            // With a limit on the lag it does not matter which relay told what is known.
            Output::Lost if self.lag.is_some() => {}
            Output::Lost => effects.push(Effect::Lost),
            Output::Gap { after, reason } => {
                let to = match reason {
                    GapReason::EventsMissing { next } => format!("event {next}"),
                    GapReason::OtherHistory | GapReason::HistoryUnknown => "a history begun anew".to_string(),
                };
                log!("events are missing from {} to {to}: they may have been purges", after + 1);
                self.missed(effects);
            }
            Output::PassOver => {
                log!("an event of the bulletin is passed over");
                self.missed(effects);
            }
            Output::Apply(_) => effects.extend(body.take().map(Effect::Apply)),
        }
    }

    /// Something was missed that may have been a purge.
    fn missed(&self, effects: &mut Vec<Effect>) {
        effects.push(Effect::CopiesVoid);
        if self.config.file.is_some() {
            effects.push(Effect::PurgesMissed);
        }
    }
}

fn lag_limit(file: &EventsFile) -> Micros {
    file.lag_ms * MICROS_PER_MILLISECOND
}

fn subscriber_terms(config: &EventsConfig, seed: u64) -> SubscriberTerms {
    let longest_backoff = longest_backoff(config.notice);
    let Some(file) = &config.file else {
        return SubscriberTerms {
            sources: config.bulletin.into_iter().collect(),
            kind: SourceKind::Plain,
            verify: false,
            restart_history: false,
            gzip: false,
            scope: None,
            longest_backoff,
        };
    };
    SubscriberTerms {
        sources: shuffled(file.relays.clone(), seed),
        kind: SourceKind::Relay,
        verify: true,
        restart_history: true,
        gzip: file.gzip,
        scope: file.scope.clone(),
        longest_backoff,
    }
}

/// The longest pause between two attempts. Danger: an event counts as told once the source has it, and one that comes
/// just after the source is back must be acted on within the settings' time: half of it may be slept.
fn longest_backoff(notice: Option<Micros>) -> Micros {
    notice.map_or(LONGEST_BACKOFF, |notice| (notice / 2).clamp(LEAST_BACKOFF, LONGEST_BACKOFF))
}
