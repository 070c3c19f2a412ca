//! Looks at the consoles of real gateways while events are published.
use super::gateway_observer::{GatewayObserver, GatewaySamples};
use super::gateways::RealGateway;
use crate::clock::now;
use larchway::Micros;
use larchway_distribution::EventNumber;
use std::time::Duration;

/// Time between two looks at all gateways: delays are measured that much too long at most.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// A gateway at one look.
#[derive(Debug, Clone, Copy)]
struct Look {
    at: Micros,
    cursor: EventNumber,
    lag_ms: Option<u64>,
    gaps: u64,
}

/// What was seen of one gateway.
#[derive(Debug, Default)]
pub(super) struct Samples {
    /// Whether it reaches its sources through links that are cut or slow.
    pub behind_links: bool,
    looks: Vec<Look>,
}

impl Samples {
    /// When the gateway was first seen to have applied an event.
    pub fn applied_at(&self, number: EventNumber) -> Option<Micros> {
        let first = self.looks.partition_point(|look| look.cursor < number);
        self.looks.get(first).map(|look| look.at)
    }

    /// Gaps from the first look to the last.
    pub fn gaps(&self) -> u64 {
        let (first, last) = (self.looks.first(), self.looks.last());
        first.zip(last).map_or(0, |(first, last)| last.gaps - first.gaps)
    }

    /// The largest lag that the gateway reported, ms.
    pub fn largest_lag_ms(&self) -> u64 {
        self.looks.iter().filter_map(|look| look.lag_ms).max().unwrap_or(0)
    }

    /// Whether its cursor never went back.
    pub fn in_order(&self) -> bool {
        self.looks.is_sorted_by_key(|look| look.cursor)
    }
}

/// The observer of the gateways' positions.
pub(super) type Observer = GatewayObserver<Samples>;

impl GatewaySamples for Samples {
    const INTERVAL: Duration = LOOK_EVERY;

    fn new(gateway: &RealGateway) -> Samples {
        Samples { behind_links: gateway.behind_links, looks: Vec::new() }
    }

    /// One that never answers has applied nothing.
    fn look(&mut self, gateway: &RealGateway) {
        let Ok(status) = gateway.events() else { return };
        let (cursor, lag_ms, gaps) = (status.cursor, status.lag_ms, status.gaps);
        self.looks.push(Look { at: now(), cursor, lag_ms, gaps });
    }
}
