//! What operators are shown of a relay.
use crate::clock;
use crate::spans::floor_millis;
use larchway_distribution::positions::{PositionReport, Straggler};
use larchway_distribution::relay::{DisconnectReason, HistoryMismatch, RejectReason, Relay};
use larchway_distribution::EventNumber;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Subscribers disconnected and rejected since the start, by reason.
#[derive(Debug, Default)]
pub struct Counters {
    disconnected: BTreeMap<DisconnectReason, u64>,
    rejected: BTreeMap<RejectReason, u64>,
}

impl Counters {
    /// One was disconnected.
    pub fn count_disconnect(&mut self, reason: DisconnectReason) {
        *self.disconnected.entry(reason).or_default() += 1;
    }

    /// One was rejected.
    pub fn count_reject(&mut self, reason: RejectReason) {
        *self.rejected.entry(reason).or_default() += 1;
    }
}

/// The figures that the daemon has, and not the relay's state.
#[derive(Debug)]
pub struct DaemonFigures<'a> {
    /// The relay's name.
    pub name: &'a str,
    /// Whether it is the root.
    pub root: bool,
    /// Why it serves nobody any more, if so.
    pub stopped: Option<HistoryMismatch>,
    /// The source that is connected or dialled next.
    pub source: Option<SocketAddr>,
    /// Time since the source was last known to be alive.
    pub lag: Option<Duration>,
    /// Gaps in what came from upstream.
    pub gaps: u64,
    /// Connections open.
    pub connections: usize,
    /// Bytes written.
    pub bytes_written: u64,
    /// Subscribers disconnected and rejected.
    pub counters: &'a Counters,
}

/// The figures at `GET /positions`.
#[derive(Debug, Serialize)]
pub struct Status<'a> {
    name: &'a str,
    root: bool,
    ready: bool,
    stopped: Option<String>,
    source: Option<SocketAddr>,
    lag_ms: Option<u64>,
    gaps: u64,
    first_event: EventNumber,
    last_event: EventNumber,
    memory_bytes: usize,
    subscribers: usize,
    catching_up: usize,
    waiting: usize,
    connections: usize,
    #[serde(rename = "cut_off")]
    disconnected: BTreeMap<String, u64>,
    rejected: BTreeMap<String, u64>,
    bytes_written: u64,
    batches_encoded: u64,
    pages_encoded: u64,
    snapshots_encoded: u64,
    positions: PositionReport,
}

impl<'a> Status<'a> {
    /// The figures of now.
    pub fn new(relay: &Relay, daemon: &DaemonFigures<'a>) -> Status<'a> {
        let statistics = relay.statistics();
        Status {
            name: daemon.name,
            root: daemon.root,
            ready: relay.is_ready(),
            stopped: daemon.stopped.map(|mismatch| mismatch.to_string()),
            source: daemon.source,
            lag_ms: daemon.lag.map(floor_millis),
            gaps: daemon.gaps,
            first_event: relay.log().first(),
            last_event: relay.log().last(),
            memory_bytes: relay.bytes(),
            subscribers: relay.subscribers(),
            catching_up: relay.catching_up(),
            waiting: relay.waiting(),
            connections: daemon.connections,
            disconnected: by_name(&daemon.counters.disconnected, disconnect_reason_name),
            rejected: by_name(&daemon.counters.rejected, reject_reason_name),
            bytes_written: daemon.bytes_written,
            batches_encoded: statistics.batches_encoded,
            pages_encoded: statistics.pages_encoded,
            snapshots_encoded: statistics.snapshots_encoded,
            positions: relay.positions().aggregate(),
        }
    }
}

/// The answer to `GET /positions/N`.
#[derive(Debug, Serialize)]
pub struct EventProgress {
    event: EventNumber,
    /// Whether all gateways below have applied it.
    #[serde(rename = "done")]
    is_applied_everywhere: bool,
    /// When that was first known, ms on the Unix clock; none if that is not recorded.
    #[serde(rename = "done_at_ms")]
    applied_at_ms: Option<u64>,
    gateways: u64,
    lost: u64,
    /// Gateways that have not applied it: the furthest behind, a few at most.
    #[serde(rename = "kept_by")]
    stragglers: Vec<Straggler>,
}

impl EventProgress {
    /// The progress of this event.
    pub fn new(relay: &Relay, event: EventNumber) -> EventProgress {
        let report = relay.positions().aggregate();
        let applied_at = relay.applied_everywhere_at(event);
        let stragglers = report.furthest.into_iter().filter(|straggler| straggler.applied < event).collect();
        EventProgress {
            event,
            is_applied_everywhere: report.gateways > 0 && report.applied >= event,
            applied_at_ms: applied_at.map(|applied_at| clock::wire_anchor().to_unix(applied_at).as_millis()),
            gateways: report.gateways,
            lost: report.lost,
            stragglers,
        }
    }
}

/// As JSON.
pub fn to_json(figures: &impl Serialize) -> String {
    serde_json::to_string(figures).unwrap_or_default()
}

fn by_name<R: Copy>(counts: &BTreeMap<R, u64>, name: fn(R) -> &'static str) -> BTreeMap<String, u64> {
    counts.iter().map(|(reason, count)| (name(*reason).to_string(), *count)).collect()
}

fn disconnect_reason_name(reason: DisconnectReason) -> &'static str {
    match reason {
        DisconnectReason::FellBehind => "fell_behind",
        DisconnectReason::Stalled => "stalled",
        DisconnectReason::CatchUpTooSlow => "catch_up_too_slow",
        DisconnectReason::NoSnapshot => "no_snapshot",
        DisconnectReason::HiddenGap => "hidden_gap",
        DisconnectReason::StoppedServing => "stopped_serving",
    }
}

fn reject_reason_name(reason: RejectReason) -> &'static str {
    match reason {
        RejectReason::Behind => "behind",
        RejectReason::OtherHistory => "other_history",
        RejectReason::NotReady => "not_ready",
        RejectReason::Busy => "busy",
        RejectReason::UnknownScope => "unknown_scope",
        RejectReason::TooManySubscribers => "too_many",
    }
}
