//! Looks at the consoles of real gateways while changes are made.
use super::changes::Change;
use crate::clock::now;
use crate::trial::distribution::gateway_observer::{GatewayObserver, GatewaySamples};
use crate::trial::distribution::gateways::RealGateway;
use larchway::Micros;
use serde_json::Value;
use std::time::Duration;

/// Time between two looks at all gateways: times are measured that much too long at most.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// A gateway at one look.
#[derive(Debug)]
pub(super) struct Look {
    /// When, Unix µs.
    pub at: Micros,
    /// What it reports of its documents.
    pub documents: Value,
    /// How often it has read its file again.
    pub loads: u64,
}

/// What was seen of one gateway, in order.
#[derive(Debug, Default)]
pub(super) struct Samples(pub Vec<Look>);

impl Samples {
    /// When a change was first seen in force.
    pub fn in_force_at(&self, change: &Change) -> Option<Micros> {
        self.0.iter().find(|look| change.is_in_force(&look.documents, look.loads)).map(|look| look.at)
    }
}

/// The observer of the gateways' documents.
pub(super) type Observer = GatewayObserver<Samples>;

impl GatewaySamples for Samples {
    const INTERVAL: Duration = LOOK_EVERY;

    fn new(_gateway: &RealGateway) -> Samples {
        Samples::default()
    }

    /// At one that never answers nothing is in force.
    fn look(&mut self, gateway: &RealGateway) {
        let (Ok(documents), Ok(loads)) = (gateway.documents(), gateway.figure("loads")) else { return };
        self.0.push(Look { at: now(), documents, loads });
    }
}
