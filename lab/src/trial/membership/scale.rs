//! The merge at scale: 5,000 stores read from nothing, then 1,000 changes a second for 10 s, by the session and the
//! merge of one gateway and a stand-in of the service, in one thread without sockets.
use super::MS;
use crate::clock::now;
use crate::stand::ensemble::{Ensemble, SocketAction};
use crate::trial::bounds::Bounds;
use larchway::{Micros, MonotonicTime};
use larchway_endpoints::format::{self, Defaults, KnownNames};
use larchway_endpoints::{EndpointSet, Input, Output, Policy};
use larchway_zookeeper::client;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

const STORES: usize = 5000;
/// Steps of 10 ms, and changes of each.
const STEPS: usize = 1000;
const STEP: Micros = 10 * MS;
const CHANGES_OF_STEP: usize = 10;
const CHANGES: usize = STEPS * CHANGES_OF_STEP;
/// Spreads the changes over the stores.
const STRIDE: usize = 7919;
/// Sessions that own the nodes: of those there at first, and of those that come back.
const FIRST_SESSION: i64 = 7;
const LATER_SESSION: i64 = 90_000;
/// The number of the one connection of the gateway to the service.
const CONNECTION: u64 = 1;
/// Processor time of all changes, at most: half a core.
const MOST_PROCESSOR_TIME: Duration = Duration::from_secs(5);
const PAGE_BYTES: usize = 4096;

/// What a gateway runs: its session, and its view of the stores.
struct GatewayView {
    session: client::Client,
    endpoints: EndpointSet,
    names: KnownNames,
    /// Changes of the list that were passed on.
    changes: usize,
}

/// Whether the last tick, which follows the first read of all nodes, is counted.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LastTick {
    Counted,
    NotCounted,
}

impl GatewayView {
    fn new() -> Self {
        let config = client::ClientConfig {
            servers: 1,
            timeout: Duration::from_secs(10),
            credentials: Vec::new(),
            registration: None,
            watched_paths: vec!["/stores".into()],
            sync_interval: Duration::ZERO,
        };
        GatewayView {
            session: client::Client::new(config, 1),
            endpoints: EndpointSet::new(Policy::default()),
            names: KnownNames { zones: vec!["east".into(), "edge".into()], kinds: vec!["standard".into()] },
            changes: 0,
        }
    }

    /// Exchanges bytes with the service until neither side has any; returns the time that the gateway took, not the
    /// stand-in.
    fn exchange(&mut self, ensemble: &mut Ensemble, time: Micros, last_tick: LastTick) -> Duration {
        let mut outputs = Vec::new();
        let now = MonotonicTime::from_micros(time);
        let mut spent = timed(|| self.session.handle(now, client::Input::Tick, &mut outputs));
        loop {
            for output in outputs.split_off(0) {
                spent += self.carry_out(ensemble, time, output, &mut outputs);
            }
            let actions = ensemble.take_actions();
            if actions.is_empty() && outputs.is_empty() {
                let tick = timed(|| self.endpoints.handle(now, Input::Tick, &mut Vec::new()));
                return spent + if last_tick == LastTick::Counted { tick } else { Duration::ZERO };
            }
            spent += timed(|| {
                for action in actions {
                    if let SocketAction::Write(_, bytes) = action {
                        self.session.handle(now, client::Input::Bytes(&bytes), &mut outputs);
                    }
                }
            });
        }
    }

    /// Carries out what the session wants; returns the time that the gateway took.
    fn carry_out(
        &mut self,
        ensemble: &mut Ensemble,
        time: Micros,
        output: client::Output,
        outputs: &mut Vec<client::Output>,
    ) -> Duration {
        match output {
            client::Output::Connect(_) => {
                ensemble.accept(CONNECTION, 0);
                self.session.handle(MonotonicTime::from_micros(time), client::Input::Connected, outputs);
                Duration::ZERO
            }
            client::Output::Write(bytes) => {
                ensemble.receive(time, CONNECTION, &bytes);
                Duration::ZERO
            }
            client::Output::Disconnect(_) => Duration::ZERO,
            client::Output::Event(event) => timed(|| self.apply(time, event)),
        }
    }

    fn apply(&mut self, time: Micros, event: client::ClientEvent) {
        let Some(input) = self.endpoint_input(event) else { return };
        let mut changes = Vec::new();
        self.endpoints.handle(MonotonicTime::from_micros(time), input, &mut changes);
        self.changes += changes.iter().filter(|change| matches!(change, Output::Change { .. })).count();
    }

    fn endpoint_input(&self, event: client::ClientEvent) -> Option<Input> {
        match event {
            client::ClientEvent::ChildChanged { name, data, stat, .. } => {
                let listed = format::parse(&data, &self.names, &Defaults::default()).ok()?;
                Some(Input::NodeAppeared { node: name, endpoint: listed.endpoint, session: stat.owner })
            }
            client::ClientEvent::ChildRemoved { name, .. } => Some(Input::NodeGone(name)),
            client::ClientEvent::Complete { .. } => Some(Input::NodesComplete),
            _ => None,
        }
    }
}

fn timed(run: impl FnOnce()) -> Duration {
    let start = Instant::now();
    run();
    start.elapsed()
}

fn node_path(store: usize) -> String {
    format!("/stores/n{store:05x}")
}

fn node_data(store: usize) -> String {
    format!(
        r#"{{"host":"s-{store:05x}","dial":"127.1.{}.{}:4100","site":"edge","class":"standard","share":4}}"#,
        store / 250,
        store % 250 + 1
    )
}

/// What was measured.
struct Measured {
    stores: usize,
    read_wall: Duration,
    read_processor: Duration,
    read_bytes: usize,
    changes_processor: Duration,
    grown_bytes: usize,
    changes_passed_on: usize,
}

/// The part of the trial that is played at scale.
pub(super) struct ScaleReport {
    /// A line for people.
    pub text: String,
    /// The figures.
    pub figures: Value,
}

/// Plays it.
pub(super) fn play(bounds: &mut Bounds) -> ScaleReport {
    let measured = measure();
    bounds.check(measured.stores == STORES, || {
        format!("at scale: {} of {STORES} boxes are known", measured.stores)
    });
    bounds.check(measured.changes_processor <= MOST_PROCESSOR_TIME, || {
        "at scale: 1,000 changes a second take more than half a core".into()
    });
    ScaleReport { text: measured.text(), figures: measured.json() }
}

fn measure() -> Measured {
    let mut ensemble = Ensemble::new(1);
    let mut time = now();
    for store in 0..STORES {
        ensemble.put(time, &node_path(store), node_data(store).as_bytes(), FIRST_SESSION + store as i64);
    }
    let memory_before = resident_bytes();
    let mut gateway = GatewayView::new();
    let start = Instant::now();
    let read_processor = gateway.exchange(&mut ensemble, time, LastTick::NotCounted);
    let read_wall = start.elapsed();
    let stores = gateway.endpoints.endpoint_count();
    let read_bytes = resident_bytes().saturating_sub(memory_before);
    let mut changes_processor = Duration::ZERO;
    for step in 0..STEPS {
        time += STEP;
        change_nodes(&mut ensemble, time, step);
        changes_processor += gateway.exchange(&mut ensemble, time, LastTick::Counted);
    }
    let grown_bytes = resident_bytes().saturating_sub(memory_before);
    let changes_passed_on = gateway.changes;
    Measured {
        stores,
        read_wall,
        read_processor,
        read_bytes,
        changes_processor,
        grown_bytes,
        changes_passed_on,
    }
}

/// The changes of one step: a store that is there goes, one that is not comes back.
fn change_nodes(ensemble: &mut Ensemble, time: Micros, step: usize) {
    for change in 0..CHANGES_OF_STEP {
        let store = (step * CHANGES_OF_STEP + change) * STRIDE % STORES;
        let path = node_path(store);
        if ensemble.tree().contains_key(&path) {
            ensemble.take(time, &path);
        } else {
            ensemble.put(time, &path, node_data(store).as_bytes(), LATER_SESSION + step as i64);
        }
    }
}

impl Measured {
    fn text(&self) -> String {
        let changes_s = self.changes_processor.as_secs_f64();
        format!(
            "at scale: {} boxes read in {:.0} ms ({:.0} ms of it the gateway's), {} KB; \
             10,000 changes in 10 s: {:.0} ms CPU ({:.1} us a change), {} KB with the stand-in\n",
            self.stores,
            self.read_wall.as_secs_f64() * 1e3,
            self.read_processor.as_secs_f64() * 1e3,
            self.read_bytes / 1000,
            changes_s * 1e3,
            changes_s * 1e6 / CHANGES as f64,
            self.grown_bytes / 1000,
        )
    }

    fn json(&self) -> Value {
        json!({
            "boxes": self.stores,
            "read_wall_ms": self.read_wall.as_secs_f64() * 1e3,
            "read_cpu_ms": self.read_processor.as_secs_f64() * 1e3,
            "read_bytes": self.read_bytes,
            "changes": CHANGES,
            "changes_cpu_ms": self.changes_processor.as_secs_f64() * 1e3,
            "grown_bytes": self.grown_bytes,
            "rosters_told": self.changes_passed_on,
        })
    }
}

/// Resident bytes of this process.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
