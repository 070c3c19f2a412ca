//! Prints the bytes per event on the wire: 250 purges per second in batches of 100, 250 and 1000 ms, uncompressed and
//! with gzip at several levels. `cargo run --release -p larchway-distribution --example bytes_per_event`
use larchway_distribution::batch::{encode_at_level, write_event, write_heartbeat, Encoding};
use larchway_unix_time::UnixMicros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Instant;

const PURGES_PER_SECOND: u64 = 250;
const SECONDS: u64 = 60;
const BATCHES_MS: [u64; 3] = [100, 250, 1000];
const LEVELS: [u32; 5] = [1, 3, 5, 6, 9];
const ISSUED_FROM_MS: u64 = 1_764_576_000_000;
const FIRST_NUMBER: u64 = 1_000_000;
const MS_PER_SECOND: u64 = 1000;
/// Every purge whose number is a multiple of this is a group purge.
const GROUP_EVERY: u64 = 20;
const GROUPS: u64 = 5000;

/// The texts of all batches of this duration, with one heartbeat per second.
fn batches(batch_ms: u64) -> Vec<String> {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut texts = Vec::new();
    let mut number = FIRST_NUMBER;
    for start in (0..SECONDS * MS_PER_SECOND).step_by(batch_ms as usize) {
        let mut text = String::new();
        let end = FIRST_NUMBER + (start + batch_ms) * PURGES_PER_SECOND / MS_PER_SECOND;
        while number < end {
            let issued = ISSUED_FROM_MS + (number - FIRST_NUMBER) * MS_PER_SECOND / PURGES_PER_SECOND;
            write_event(&mut text, number, &purge(number, issued, &mut random));
            number += 1;
        }
        if (start + batch_ms).is_multiple_of(MS_PER_SECOND) {
            write_heartbeat(&mut text, UnixMicros::from_micros((ISSUED_FROM_MS + start) * MS_PER_SECOND));
        }
        texts.push(text);
    }
    texts
}

fn purge(number: u64, issued: u64, random: &mut Pcg64Mcg) -> String {
    if number.is_multiple_of(GROUP_EVERY) {
        let group = random.random_range(0..GROUPS);
        return format!("{{\"no\":{number},\"recall\":{{\"lot\":{group},\"issued\":{issued}}}}}");
    }
    let object: u64 = random.random();
    format!("{{\"no\":{number},\"recall\":{{\"item\":\"{object:016x}\",\"issued\":{issued}}}}}")
}

fn print_row(batch_ms: u64, name: &str, texts: &[String], encode: impl Fn(&str) -> usize) {
    let started_at = Instant::now();
    let bytes: usize = texts.iter().map(|text| encode(text)).sum();
    let micros = started_at.elapsed().as_secs_f64() * 1e6;
    let events = (PURGES_PER_SECOND * SECONDS) as f64;
    let per_event = bytes as f64 / events;
    let per_second = bytes as f64 / SECONDS as f64;
    println!("| {batch_ms} | {name} | {per_event:.1} | {per_second:.0} | {:.2} |", micros / events);
}

fn main() {
    println!("| batch, ms | encoding | bytes an event | bytes a second | µs an event to encode |");
    println!("| ---: | --- | ---: | ---: | ---: |");
    for batch_ms in BATCHES_MS {
        let texts = batches(batch_ms);
        print_row(batch_ms, "identity", &texts, |text| encode_at_level(text, Encoding::Identity, 0).len());
        for level in LEVELS {
            print_row(batch_ms, &format!("gzip {level}"), &texts, |text| {
                encode_at_level(text, Encoding::Gzip, level).len()
            });
        }
    }
}
