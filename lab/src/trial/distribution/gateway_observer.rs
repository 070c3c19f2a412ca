//! A thread that looks at real gateways in turn.
use super::gateways::RealGateway;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// What is seen of one gateway.
pub(in crate::trial) trait GatewaySamples: Send + 'static {
    /// Time between two looks at all gateways.
    const INTERVAL: Duration;

    /// Nothing seen yet of this gateway.
    fn new(gateway: &RealGateway) -> Self;

    /// Looks at it once more. One that does not answer now is looked at again.
    fn look(&mut self, gateway: &RealGateway);
}

/// A thread that looks at all gateways in turn.
pub(in crate::trial) struct GatewayObserver<S> {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<S>>,
}

impl<S: GatewaySamples> GatewayObserver<S> {
    /// Begins.
    pub fn start(gateways: Arc<Vec<RealGateway>>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || observe(&gateways, &stopped));
        GatewayObserver { stop, thread }
    }

    /// Ends after a last look.
    pub fn finish(self) -> Vec<S> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

fn observe<S: GatewaySamples>(gateways: &[RealGateway], stopped: &AtomicBool) -> Vec<S> {
    let mut all: Vec<S> = gateways.iter().map(S::new).collect();
    loop {
        let last = stopped.load(Ordering::Relaxed);
        gateways.iter().zip(&mut all).for_each(|(gateway, samples)| samples.look(gateway));
        if last {
            return all;
        }
        std::thread::sleep(S::INTERVAL);
    }
}
