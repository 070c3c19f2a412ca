//! What operators are shown of a relay.
use larchway::Micros;
use larchway_distribution::positions::{PositionReport, Straggler};
use larchway_distribution::relay::{CutReason, RejectReason, Relay};
use larchway_distribution::EventNumber;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const MICROS_PER_MILLISECOND: Micros = 1000;

/// Subscribers cut off and turned away since the start, by reason.
#[derive(Debug, Default)]
pub struct Counters {
    cut_off: BTreeMap<CutReason, u64>,
    rejected: BTreeMap<RejectReason, u64>,
}

impl Counters {
    /// One was cut off.
    pub fn count_cut(&mut self, reason: CutReason) {
        *self.cut_off.entry(reason).or_default() += 1;
    }

    /// One was turned away.
    pub fn count_reject(&mut self, reason: RejectReason) {
        *self.rejected.entry(reason).or_default() += 1;
    }
}

/// What the relay's state does not hold itself.
#[derive(Debug)]
pub struct Surroundings<'a> {
    /// The relay's name.
    pub name: &'a str,
    /// Whether it is the root.
    pub root: bool,
    /// Why it serves nobody any more, if so.
    pub stopped: Option<&'a str>,
    /// The source that is connected or dialled next.
    pub source: Option<SocketAddr>,
    /// Time since the source was heard, as the last heartbeat told.
    pub lag: Option<Micros>,
    /// Gaps in what came from upstream.
    pub gaps: u64,
    /// Connections open.
    pub connections: usize,
    /// Bytes written.
    pub bytes_written: u64,
    /// Subscribers cut off and turned away.
    pub counters: &'a Counters,
}

/// The figures at `GET /positions`.
#[derive(Debug, Serialize)]
pub struct Status<'a> {
    name: &'a str,
    root: bool,
    ready: bool,
    stopped: Option<&'a str>,
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
    cut_off: BTreeMap<String, u64>,
    rejected: BTreeMap<String, u64>,
    bytes_written: u64,
    batches_encoded: u64,
    pages_encoded: u64,
    snapshots_encoded: u64,
    positions: PositionReport,
}

impl<'a> Status<'a> {
    /// The figures of now.
    pub fn new(relay: &Relay, surroundings: &Surroundings<'a>) -> Status<'a> {
        let statistics = relay.statistics();
        Status {
            name: surroundings.name,
            root: surroundings.root,
            ready: relay.is_ready(),
            stopped: surroundings.stopped,
            source: surroundings.source,
            lag_ms: surroundings.lag.map(|lag| lag / MICROS_PER_MILLISECOND),
            gaps: surroundings.gaps,
            first_event: relay.log().first(),
            last_event: relay.log().last(),
            memory_bytes: relay.bytes(),
            subscribers: relay.subscribers(),
            catching_up: relay.catching_up(),
            waiting: relay.waiting(),
            connections: surroundings.connections,
            cut_off: by_name(&surroundings.counters.cut_off, cut_name),
            rejected: by_name(&surroundings.counters.rejected, reject_name),
            bytes_written: surroundings.bytes_written,
            batches_encoded: statistics.batches_encoded,
            pages_encoded: statistics.pages_encoded,
            snapshots_encoded: statistics.snapshots_encoded,
            positions: relay.positions().aggregate(),
        }
    }
}

/// The answer to `GET /positions/N`.
#[derive(Debug, Serialize)]
pub struct Done {
    event: EventNumber,
    /// Whether all gateways below have applied it.
    done: bool,
    /// When that was first known, ms on the Unix clock; none if that is not remembered.
    done_at_ms: Option<u64>,
    gateways: u64,
    lost: u64,
    /// Gateways that have not applied it: the furthest behind, a few at most.
    kept_by: Vec<Straggler>,
}

impl Done {
    /// How it stands with this event.
    pub fn new(relay: &Relay, event: EventNumber) -> Done {
        let report = relay.positions().aggregate();
        let done_at = relay.done_everywhere(event);
        let kept_by = report.furthest.into_iter().filter(|straggler| straggler.applied < event).collect();
        Done {
            event,
            done: report.gateways > 0 && report.applied >= event,
            done_at_ms: done_at.map(|at| at / MICROS_PER_MILLISECOND),
            gateways: report.gateways,
            lost: report.lost,
            kept_by,
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

fn cut_name(reason: CutReason) -> &'static str {
    match reason {
        CutReason::FellBehind => "fell_behind",
        CutReason::Stalled => "stalled",
        CutReason::CatchUpTooSlow => "catch_up_too_slow",
        CutReason::NoSnapshot => "no_snapshot",
        CutReason::HiddenGap => "hidden_gap",
        CutReason::StoppedServing => "stopped_serving",
    }
}

fn reject_name(reason: RejectReason) -> &'static str {
    match reason {
        RejectReason::Behind => "behind",
        RejectReason::OtherHistory => "other_history",
        RejectReason::NotReady => "not_ready",
        RejectReason::Busy => "busy",
        RejectReason::UnknownScope => "unknown_scope",
        RejectReason::TooMany => "too_many",
    }
}
