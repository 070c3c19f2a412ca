//! A relay between the source of events (or another relay) and its subscribers.
mod admission;
mod documents;
mod encoder;
mod history_mismatch;
mod messages;
mod pages;
mod ring;
mod serving;
mod settings;
mod subscribers;
mod upstream;

pub use documents::DocumentStatus;
pub use encoder::RelayStatistics;
pub use history_mismatch::HistoryMismatch;
pub use messages::{DisconnectReason, Input, Output, RejectReason, SubscribeRequest, SubscriberId};
pub use settings::RelaySettings;
pub use subscribers::SUBSCRIBER_BYTES;

use crate::event::EventNumber;
use crate::log::EventLog;
use crate::positions::Positions;
use encoder::Encoder;
use larchway::MonotonicTime;
use pages::PageCache;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use ring::{BatchRing, RingLimits};
use subscribers::Subscribers;

/// A relay's state. The caller owns the sockets: it hands in what happens by [`Relay::handle`] and pulls what each
/// subscriber is to be sent by [`Relay::next_chunk`].
#[derive(Debug)]
pub struct Relay {
    settings: RelaySettings,
    log: EventLog,
    ring: BatchRing,
    pages: PageCache,
    encoder: Encoder,
    subscribers: Subscribers,
    positions: Positions,
    report: ReportState,
    readiness: Readiness,
    random: Pcg64Mcg,
    /// What came up while chunks were pulled; goes out with the next call of `handle`. Each pull adds one cut at
    /// most and each subscriber that has caught up one admission.
    deferred: Vec<Output>,
}

/// Whether a relay serves subscribers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Readiness {
    /// No heartbeat has come since the stream from upstream began: subscribers wait for one.
    Unready,
    /// It serves them.
    Ready,
    /// Upstream has another history: they are rejected at once, until a new stream from upstream begins.
    Stopped,
}

/// When positions go upstream.
#[derive(Debug, Default)]
struct ReportState {
    changed: bool,
    /// The earliest time of the next one.
    next_report_at: MonotonicTime,
}

impl Relay {
    /// A relay with an empty log.
    pub fn new(settings: RelaySettings) -> Relay {
        let ring = RingLimits {
            batch_interval: settings.batch_interval,
            batch_bytes: settings.batch_bytes,
            max_batches: settings.max_batches,
            ring_bytes: settings.ring_bytes,
        };
        Relay {
            log: EventLog::new(settings.log),
            ring: BatchRing::new(ring),
            pages: PageCache::new(settings.page_events, settings.cache_bytes),
            encoder: Encoder::new(settings.gzip_level, &settings.scopes),
            subscribers: Subscribers::default(),
            positions: Positions::new(settings.positions),
            report: ReportState::default(),
            readiness: Readiness::Unready,
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            deferred: Vec::new(),
            settings,
        }
    }

    /// Takes in what has happened and appends what the caller has to do.
    pub fn handle(&mut self, now: MonotonicTime, input: Input, out: &mut Vec<Output>) {
        out.append(&mut self.deferred);
        match input {
            Input::Event(event) => self.handle_event(now, event, out),
            Input::Heartbeat { source_alive_at } => self.handle_heartbeat(now, source_alive_at, out),
            Input::UpstreamConnected => self.handle_upstream_connected(now),
            Input::UpstreamDisconnected => self.handle_upstream_disconnected(now),
            Input::UpstreamGap(event) => self.handle_gap(now, event, out),
            Input::OtherHistory(mismatch) => self.stop_serving(now, mismatch, out),
            Input::Subscribe { id, request } => self.subscribe(now, id, request, out),
            Input::Position { id, report } => self.handle_position(now, id, report),
            Input::SubscriberDisconnected(id) => self.remove_subscriber(now, id, out),
            Input::Tick => {}
        }
        self.run_timers(now, out);
    }

    /// When [`Input::Tick`] is wanted, if ever. It changes with each call of `handle` and `next_chunk`.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        let deferred = (!self.deferred.is_empty()).then_some(MonotonicTime::MIN);
        let report = self.report.changed.then_some(self.report.next_report_at);
        let others = [self.ring.seal_at(), self.subscribers.next_due(), self.positions.next_due()];
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
    pub fn applied_everywhere_at(&self, number: EventNumber) -> Option<MonotonicTime> {
        self.positions.applied_everywhere_at(number)
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

    /// Subscribers that wait for readiness or catch-up.
    pub fn waiting(&self) -> usize {
        self.subscribers.waiting()
    }

    /// Whether it takes subscribers: caught up since the stream from upstream began.
    pub fn is_ready(&self) -> bool {
        self.readiness == Readiness::Ready
    }

    /// Bytes of the log, the sealed batches, and the pages and snapshots that are remembered.
    pub fn bytes(&self) -> usize {
        self.log.bytes() + self.ring.bytes() + self.pages.bytes()
    }

    fn handle_upstream_disconnected(&mut self, now: MonotonicTime) {
        if self.readiness == Readiness::Ready {
            self.become_unready(now);
        }
    }

    fn handle_upstream_connected(&mut self, now: MonotonicTime) {
        self.become_unready(now);
        self.report.changed = true;
    }

    fn handle_position(
        &mut self,
        now: MonotonicTime,
        id: SubscriberId,
        report: crate::positions::PositionReport,
    ) {
        let Some(subscriber) = self.subscribers.get(id) else { return };
        self.positions.report(now, id, subscriber.name.as_deref(), report);
        self.report.changed = true;
    }

    fn run_timers(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        if self.ring.seal_at().is_some_and(|seal_at| seal_at <= now) {
            self.seal(now, out);
        }
        while let Some(id) = self.subscribers.expired(now) {
            self.handle_deadline(now, id, out);
        }
        if self.positions.next_due().is_some_and(|due| due <= now) {
            self.positions.expire(now);
            self.report.changed = true;
        }
        if self.report.changed && self.report.next_report_at <= now {
            self.report.changed = false;
            self.report.next_report_at = now + self.settings.report_interval;
            out.push(Output::Report(self.positions.aggregate()));
        }
    }
}
