//! Prints a relay's cost at 250 purges per second for a minute of virtual time, without sockets: processor time, bytes
//! encoded and memory used. `cargo run --release -p larchway-distribution --example relay_cost`
use larchway::MonotonicTime;
use larchway_distribution::batch::Encoding;
use larchway_distribution::relay::{Input, Output, Relay, RelaySettings, SubscribeRequest};
use larchway_distribution::Event;
use larchway_unix_time::UnixMicros;
use std::time::{Duration, Instant};

const SUBSCRIBERS: [u64; 4] = [100, 706, 3000, 12_000];
const PURGES: u64 = 250 * SECONDS;
const SECONDS: u64 = 60;
const PURGE_EVERY: Duration = Duration::from_millis(4);
const PURGES_BEFORE: u64 = 10_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Time at which the subscribers connect.
const START: MonotonicTime = MonotonicTime::from_micros(MICROS_PER_SECOND);
/// Multiplier that spreads the objects over all 64 bits.
const OBJECT_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

fn purge(number: u64) -> Event {
    let object = number.wrapping_mul(OBJECT_STRIDE);
    let issued = 1_764_576_000_000 + number * 4;
    let data = format!("{{\"no\":{number},\"recall\":{{\"item\":\"{object:016x}\",\"issued\":{issued}}}}}");
    Event::read(&data).expect("a purge")
}

/// A caught-up relay with this number of caught-up subscribers.
fn ready_relay(subscribers: u64) -> Relay {
    let mut relay = Relay::new(RelaySettings::default());
    let mut out = Vec::new();
    for number in 1..=PURGES_BEFORE {
        relay.handle(MonotonicTime::MIN, Input::Event(purge(number)), &mut out);
    }
    relay.handle(
        MonotonicTime::MIN,
        Input::Heartbeat { source_alive_at: UnixMicros::from_micros(0) },
        &mut out,
    );
    relay.handle(START, Input::Tick, &mut out);
    for id in 1..=subscribers {
        let cursor = Some(PURGES_BEFORE);
        let request =
            SubscribeRequest { cursor, digest: None, encoding: Encoding::Gzip, scope: None, name: None };
        relay.handle(START, Input::Subscribe { id, request }, &mut out);
        while relay.next_chunk(START, id).is_some() {}
    }
    relay
}

fn print_row(subscribers: u64) {
    let mut relay = ready_relay(subscribers);
    let encoded_before = relay.statistics().encoded_bytes;
    let (mut out, mut chunks) = (Vec::new(), 0u64);
    let started_at = Instant::now();
    let mut now = START;
    for number in 1..=PURGES {
        now += PURGE_EVERY;
        relay.handle(now, Input::Event(purge(PURGES_BEFORE + number)), &mut out);
        if now.as_micros().is_multiple_of(MICROS_PER_SECOND) {
            let source_alive_at = UnixMicros::from_micros(now.as_micros());
            relay.handle(now, Input::Heartbeat { source_alive_at }, &mut out);
        }
        for output in out.drain(..) {
            if output == Output::BatchSealed {
                chunks += (1..=subscribers).filter(|id| relay.next_chunk(now, *id).is_some()).count() as u64;
            }
        }
    }
    let seconds = started_at.elapsed().as_secs_f64();
    let share = 100.0 * seconds / SECONDS as f64;
    let encoded = (relay.statistics().encoded_bytes - encoded_before) / SECONDS;
    let memory_kib = relay.bytes() >> 10;
    println!(
        "| {subscribers} | {share:.2} | {:.2} | {encoded} | {memory_kib} |",
        seconds * 1e6 / chunks as f64
    );
}

fn main() {
    println!(
        "| subscribers | % of a core | µs a chunk | bytes encoded a second | KiB of log, batches, pages |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: |");
    for subscribers in SUBSCRIBERS {
        print_row(subscribers);
    }
}
