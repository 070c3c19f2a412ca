//! A relay, which distributes events from the source or from another relay to its subscribers.
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

/// A relay's state. The caller owns the sockets: it passes inputs to [`Relay::handle`] and pulls the data for each
/// subscriber with [`Relay::next_chunk`].
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
    /// Outputs produced by `next_chunk`, returned by the next call of `handle`. Each pull adds at most one
    /// disconnection, and each subscriber that has caught up at most one admission.
    deferred: Vec<Output>,
}

/// Whether a relay serves subscribers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Readiness {
    /// No heartbeat was received since the upstream stream began. Subscribers wait for one.
    Unready,
    /// Subscribers are served.
    Ready,
    /// Upstream has a different history. Subscribers are rejected until a new upstream stream begins.
    Stopped,
}

/// When the next position report to upstream is due.
#[derive(Debug, Default)]
struct ReportState {
    /// Whether a report is pending: positions may have changed, or a new upstream stream has begun.
    changed: bool,
    /// Earliest time of the next report.
    next_report_at: MonotonicTime,
}

impl Relay {
    /// Creates a relay with an empty log.
    pub fn new(settings: RelaySettings) -> Relay {
        let ring_limits = RingLimits {
            batch_interval: settings.batch_interval,
            batch_bytes: settings.batch_bytes,
            max_batches: settings.max_batches,
            ring_bytes: settings.ring_bytes,
        };
        Relay {
            log: EventLog::new(settings.log),
            ring: BatchRing::new(ring_limits),
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

    /// Processes an input and appends the actions for the caller to `out`.
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

    /// Time at which the caller has to pass [`Input::Tick`], if any. Changes with each call of `handle` and
    /// `next_chunk`.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        let deferred = (!self.deferred.is_empty()).then_some(MonotonicTime::MIN);
        let report = self.report.changed.then_some(self.report.next_report_at);
        let others = [self.ring.seal_at(), self.subscribers.next_due(), self.positions.next_due()];
        others.into_iter().chain([deferred, report]).flatten().min()
    }

    /// The event log.
    pub fn log(&self) -> &EventLog {
        &self.log
    }

    /// The positions of all gateways below this relay.
    pub fn positions(&self) -> &Positions {
        &self.positions
    }

    /// Time since which all gateways below are known to have applied an event, if they have.
    pub fn applied_everywhere_at(&self, number: EventNumber) -> Option<MonotonicTime> {
        self.positions.applied_everywhere_at(number)
    }

    /// Counters of encoded data since the relay was created.
    pub fn statistics(&self) -> RelayStatistics {
        self.encoder.statistics
    }

    /// Number of subscribers, including waiting ones.
    pub fn subscribers(&self) -> usize {
        self.subscribers.len()
    }

    /// Number of subscribers that are catching up.
    pub fn catching_up(&self) -> usize {
        self.subscribers.catching_up()
    }

    /// Number of subscribers waiting for readiness or for catch-up.
    pub fn waiting(&self) -> usize {
        self.subscribers.waiting()
    }

    /// Whether the relay serves subscribers: it has caught up since the upstream stream began.
    pub fn is_ready(&self) -> bool {
        self.readiness == Readiness::Ready
    }

    /// Bytes used by the log, the sealed batches, and cached pages and snapshots.
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
