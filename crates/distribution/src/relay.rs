//! A relay between the source of events (or another relay) and its subscribers.
mod admission;
mod encoder;
mod messages;
mod pages;
mod ring;
mod serving;
mod subscribers;
mod upstream;

pub use encoder::RelayStatistics;
pub use messages::{CutReason, Hello, Input, Output, RejectReason, RelayTerms, SubscriberId};
pub use subscribers::SUBSCRIBER_BYTES;

use crate::event::EventNumber;
use crate::log::EventLog;
use crate::positions::Positions;
use encoder::Encoder;
use larchway::Micros;
use pages::PageCache;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use ring::{BatchRing, RingTerms};
use subscribers::Subscribers;

/// A relay's state. The caller owns the sockets: it tells what happens by [`Relay::handle`] and pulls what each
/// subscriber is to be sent by [`Relay::next_chunk`].
#[derive(Debug)]
pub struct Relay {
    terms: RelayTerms,
    log: EventLog,
    ring: BatchRing,
    pages: PageCache,
    encoder: Encoder,
    subscribers: Subscribers,
    positions: Positions,
    report: ReportState,
    /// Whether a heartbeat has come since the stream from upstream began.
    ready: bool,
    random: Pcg64Mcg,
    /// What came up while chunks were pulled; goes out with the next call of `handle`. Each pull adds one cut at
    /// most and each free place one admission.
    deferred: Vec<Output>,
}

/// When positions go upstream.
#[derive(Debug, Default)]
struct ReportState {
    changed: bool,
    /// The earliest time of the next one.
    next: Micros,
}

impl Relay {
    /// A relay with an empty log.
    pub fn new(terms: RelayTerms) -> Relay {
        let ring = RingTerms {
            batch: terms.batch,
            batch_bytes: terms.batch_bytes,
            ring: terms.ring,
            ring_bytes: terms.ring_bytes,
        };
        Relay {
            log: EventLog::new(terms.log),
            ring: BatchRing::new(ring),
            pages: PageCache::new(terms.page_events, terms.cache_bytes),
            encoder: Encoder::new(terms.gzip_level, &terms.scopes),
            subscribers: Subscribers::default(),
            positions: Positions::new(terms.positions),
            report: ReportState::default(),
            ready: false,
            random: Pcg64Mcg::seed_from_u64(terms.seed),
            deferred: Vec::new(),
            terms,
        }
    }

    /// Takes in what has happened and appends what the caller has to do.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        out.append(&mut self.deferred);
        match input {
            Input::Event(event) => self.take_event(now, event, out),
            Input::Heartbeat { heard } => self.take_heartbeat(now, heard, out),
            Input::UpstreamUp => self.upstream_up(),
            Input::UpstreamLost => self.ready = false,
            Input::UpstreamGap(event) => self.take_gap(now, event, out),
            Input::OtherHistory(reason) => self.stop_serving(now, reason, out),
            Input::Subscribe { id, hello } => self.subscribe(now, id, hello, out),
            Input::Position { id, report } => self.take_position(now, id, report),
            Input::Gone(id) => self.forget(now, id, out),
            Input::Tick => {}
        }
        self.run_due(now, out);
    }

    /// When [`Input::Tick`] is wanted, if ever. It changes with each call of `handle` and `next_chunk`.
    pub fn next_due(&self) -> Option<Micros> {
        let deferred = (!self.deferred.is_empty()).then_some(0);
        let report = self.report.changed.then_some(self.report.next);
        let others = [self.ring.due(), self.subscribers.next_due(), self.positions.next_due()];
        others.into_iter().chain([deferred, report]).flatten().min()
    }

    /// The log.
    pub fn log(&self) -> &EventLog {
        &self.log
    }

    /// How far all gateways below are.
    pub fn positions(&self) -> &Positions {
        &self.positions
    }

    /// Since when an event is known to be applied everywhere below.
    pub fn done_everywhere(&self, number: EventNumber) -> Option<Micros> {
        self.positions.done_everywhere(number)
    }

    /// What has been encoded so far.
    pub fn statistics(&self) -> RelayStatistics {
        self.encoder.statistics
    }

    /// Subscribers, those waiting included.
    pub fn subscribers(&self) -> usize {
        self.subscribers.len()
    }

    /// Subscribers that catch up now.
    pub fn catching_up(&self) -> usize {
        self.subscribers.catching_up()
    }

    /// Subscribers that wait for catch-up.
    pub fn waiting(&self) -> usize {
        self.subscribers.waiting()
    }

    /// Whether it takes subscribers: caught up since the stream from upstream began.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Bytes of the log, the sealed batches, and the pages and snapshots that are remembered.
    pub fn bytes(&self) -> usize {
        self.log.bytes() + self.ring.bytes() + self.pages.bytes()
    }

    fn upstream_up(&mut self) {
        self.ready = false;
        self.report.changed = true;
    }

    fn take_position(&mut self, now: Micros, id: SubscriberId, report: crate::positions::PositionReport) {
        let Some(subscriber) = self.subscribers.get(id) else { return };
        self.positions.report(now, id, subscriber.name.as_deref(), report);
        self.report.changed = true;
    }

    fn run_due(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.ring.due().is_some_and(|due| due <= now) {
            self.seal(now, out);
        }
        while let Some(id) = self.subscribers.expired(now) {
            self.deadline_passed(now, id, out);
        }
        if self.positions.next_due().is_some_and(|due| due <= now) {
            self.positions.expire(now);
            self.report.changed = true;
        }
        if self.report.changed && self.report.next <= now {
            self.report.changed = false;
            self.report.next = now + self.terms.report_every;
            out.push(Output::Report(self.positions.aggregate()));
        }
    }
}
