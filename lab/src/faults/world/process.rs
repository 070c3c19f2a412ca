//! The processes of the gateways, and what is counted of each.
use super::BEGIN;
use larchway::Micros;
use std::collections::{BTreeMap, VecDeque};

/// A change of a member's state.
pub(super) struct LastChange {
    pub(super) time: Micros,
    /// The incarnation of the member.
    pub(super) incarnation: u64,
}

/// The datagrams that a process has sent in a second.
#[derive(Default)]
pub(super) struct SecondCount {
    pub(super) began: Micros,
    pub(super) datagrams: u64,
}

/// The datagrams of all processes.
#[derive(Default)]
pub(super) struct Traffic {
    pub(super) datagrams: u64,
    pub(super) bytes: u64,
}

/// A gateway's process.
pub(super) struct Process<W> {
    pub(super) detector: Option<W>,
    pub(super) paused: Option<Micros>,
    pub(super) resumed_at: Micros,
    pub(super) inbox: VecDeque<(usize, Vec<u8>)>,
    /// Ticks of an earlier incarnation are ignored.
    pub(super) incarnation: u64,
    /// Whether each member is considered alive.
    pub(super) alive: Vec<bool>,
    /// The last change of each member's state.
    pub(super) changed: BTreeMap<usize, LastChange>,
    /// When it was killed; none once all know.
    pub(super) down: Option<Micros>,
    /// When it came back; none once all know.
    pub(super) up: Option<Micros>,
    pub(super) second: SecondCount,
}

impl<W> Process<W> {
    /// A process that has not started.
    pub(super) fn new(members: usize) -> Self {
        Process {
            detector: None,
            paused: None,
            resumed_at: BEGIN,
            inbox: VecDeque::new(),
            incarnation: 0,
            alive: vec![true; members],
            changed: BTreeMap::new(),
            down: None,
            up: None,
            second: SecondCount::default(),
        }
    }
}
