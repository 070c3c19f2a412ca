//! The script of the trial, and the figures of one variant.
use super::span::Span;
use super::world::World;
use super::Variant;
use crate::clock::now;
use crate::stand::store::Mode;
use crate::trial::edge_stores::STORES;
use crate::trial::parallel::sleep_until;
use crate::trial::TrialError;
use larchway::Micros;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// For how long a store is silent, and how long after that the cold one joins.
const SILENCE: Duration = Duration::from_millis(3000);
const BEFORE_JOIN: Duration = Duration::from_millis(2500);
/// The store that falls silent.
const SILENT_STORE: usize = 0;
/// The number of the store that joins.
const NEW_STORE: usize = STORES;

/// What one variant showed.
pub(super) struct Figures {
    pub name: &'static str,
    pub spans: Vec<Span>,
    /// The load of the store that joined, and of that which was silent, in their busiest seconds, over what they
    /// could do.
    pub joined_peak: f64,
    pub returned_peak: f64,
    pub service: f64,
    pub datagrams: u64,
    /// Largest delay of a sender itself, µs.
    pub sender_delay: Micros,
    /// Each second of the script.
    seconds: Vec<Span>,
}

/// Plays a variant. Times of the script in ms.
pub(super) fn play_variant(variant: &Variant, seed: u64) -> Result<Figures, TrialError> {
    let mut world = World::start(variant.name, variant.gateways, variant.file, seed)?;
    let (start, start_time) = (Instant::now(), now());
    let mut spans = Vec::new();
    world.set_datagram_faults(0.2, 19);
    world.start_clients(0, 70_000);
    sleep_until(start, 20_000);
    spans.push(world.measure("steady, 20 % lost", 8000));
    restart_half(&mut world, variant.gateways / 2, start)?;
    spans.push(world.measure("half returned", 4000));
    let returned_at = silence_store(&world);
    std::thread::sleep(BEFORE_JOIN);
    let joined_at = now();
    world.add_cold_store("s-new", joined_at)?;
    sleep_until(start, 58_000);
    // Nothing passes between the gateways, and stores report late.
    world.set_datagram_faults(1.0, 0);
    world.delay_reports();
    sleep_until(start, 62_000);
    spans.push(world.measure("all lost, reports 2 s late", 7000));
    let (joined_peak, returned_peak) =
        (world.peak(NEW_STORE, joined_at), world.peak(SILENT_STORE, returned_at));
    let load = world.join_clients();
    Ok(Figures {
        name: variant.name,
        spans,
        joined_peak,
        returned_peak,
        service: load.service(),
        datagrams: world.datagrams(),
        sender_delay: load.behind,
        seconds: world.measure_seconds(start_time),
    })
}

/// Half of the gateways are killed, and come back with their last list; their clients come again.
fn restart_half(world: &mut World, half: usize, start: Instant) -> Result<(), TrialError> {
    world.kill_gateways(half);
    sleep_until(start, 30_000);
    world.start_gateways(half)?;
    world.start_clients(half, 38_000);
    sleep_until(start, 38_000);
    Ok(())
}

/// A store falls silent, and goes on as if nothing had been; returns when it did, µs of the Unix clock.
fn silence_store(world: &World) -> Micros {
    world.set_mode(SILENT_STORE, Mode::Silent);
    std::thread::sleep(SILENCE);
    let returned_at = now();
    world.set_mode(SILENT_STORE, Mode::Up);
    returned_at
}

impl Figures {
    /// The figures as the trial writes them.
    pub fn json(&self) -> Value {
        let spans: Vec<Value> = self.spans.iter().map(Span::json_with_loads).collect();
        let seconds: Vec<Value> = self.seconds.iter().map(Span::json).collect();
        json!({
            "way": self.name, "spans": spans, "seconds": seconds, "joined_peak": self.joined_peak,
            "returned_peak": self.returned_peak, "service": self.service, "datagrams": self.datagrams,
            "sender_behind_us": self.sender_delay,
        })
    }
}
