//! Plays a load: sends requests when they are due, and reads the answers.
use super::connection::{Connection, SentRequest};
use super::wire::{Answer, Field, Outcome};
use super::{Load, LoadResult};
use crate::clock::now;
use larchway::Micros;
use rand::{Rng, SeedableRng};
use rand_distr::Zipf;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;

/// Requests that a gateway takes on one connection at once.
const MAX_IN_FLIGHT: usize = 32;
/// µs for which a request that crosses the end of its connection is sent once more.
const CROSSING_TIME: Micros = 50_000;
/// How long answers may come after the clients have given up, ms.
const GRACE_MS: u64 = 1000;
const MICROS_PER_MS: Micros = 1000;
const MICROS_PER_SECOND: f64 = 1e6;
/// Bytes read at once.
const BUFFER_LENGTH: usize = 64 * 1024;
/// Families that objects belong to.
const FAMILIES: u64 = 256;

/// Plays a load against one gateway, and waits until all is answered or the clients have given up.
///
/// # Errors
/// Those of connecting.
pub fn play(address: SocketAddr, load: &Load) -> std::io::Result<LoadResult> {
    let mut player = Player::new(address, load)?;
    loop {
        let poll_time = now();
        player.send_due(poll_time)?;
        let crossed = player.read_answers(poll_time);
        player.retry(crossed)?;
        if player.is_finished() {
            return Ok(player.result);
        }
        std::thread::sleep(Duration::from_micros(load.connections.poll_interval));
    }
}

/// A load that is played.
struct Player<'a> {
    address: SocketAddr,
    load: &'a Load,
    random: Pcg64Mcg,
    /// None if all objects are as popular.
    popularity: Option<Zipf<f64>>,
    connections: Vec<Connection>,
    start: Micros,
    /// When the next request is due, µs.
    next_due: f64,
    result: LoadResult,
    buffer: Vec<u8>,
}

impl<'a> Player<'a> {
    fn new(address: SocketAddr, load: &'a Load) -> std::io::Result<Self> {
        let popularity = (load.zipf > 0.0).then(|| Zipf::new(load.objects as f64, load.zipf).ok()).flatten();
        let connections = (0..load.connections.count).map(|_| Connection::open(address));
        let connections = connections.collect::<std::io::Result<Vec<_>>>()?;
        let start = now();
        Ok(Player {
            address,
            load,
            random: Pcg64Mcg::seed_from_u64(load.seed),
            popularity,
            connections,
            start,
            next_due: start as f64,
            result: LoadResult::none(),
            buffer: vec![0; BUFFER_LENGTH],
        })
    }

    /// When the last request is due.
    fn end(&self) -> Micros {
        self.start + self.load.span
    }

    /// Sends the requests that are due by now.
    fn send_due(&mut self, now: Micros) -> std::io::Result<()> {
        while (self.next_due as Micros) <= now && (self.next_due as Micros) < self.end() {
            let due = self.next_due as Micros;
            let uniform: f64 = self.random.random();
            self.next_due += -(1.0 - uniform).ln() / self.load.rate * MICROS_PER_SECOND;
            self.result.count_sent(due - self.start, now - due);
            // The one with the fewest in flight, and of these the one longest unused, so that none goes idle.
            let least_loaded = (0..self.connections.len()).min_by_key(|&index| {
                let connection = &self.connections[index];
                (connection.in_flight.len(), connection.last_used)
            });
            let has_room = |index: &usize| self.connections[*index].in_flight.len() < MAX_IN_FLIGHT;
            let Some(index) = least_loaded.filter(has_room) else {
                self.result.lost += 1;
                continue;
            };
            let fields = self.next_fields();
            let request = SentRequest { due, sent_at: now, fields, is_retry: false };
            self.connections[index].send(self.address, request)?;
        }
        Ok(())
    }

    /// The fields of the next request, drawn by the seed.
    fn next_fields(&mut self) -> Vec<Field> {
        let object: u64 = match &self.popularity {
            Some(popularity) => self.random.sample(popularity) as u64,
            None => self.random.random_range(0..self.load.objects),
        };
        let is_write = self.load.writes > 0.0 && self.random.random::<f64>() < self.load.writes;
        let class = if is_write { "bid-submit".to_string() } else { self.load.class.clone() };
        let call = format!("{:02x}{:014x}", self.load.gateway, self.random.random::<u64>() >> 8);
        let mut fields = vec![
            Field { name: "op", value: class },
            Field { name: "call", value: call },
            Field { name: "ttl", value: self.load.ttl_ms.to_string() },
            Field { name: "row", value: format!("{:016x}", larchway::mix(object)) },
            Field { name: "block", value: "0".to_string() },
            Field { name: "family", value: (object % FAMILIES).to_string() },
        ];
        if is_write {
            let key = format!("{:032x}", self.random.random::<u128>());
            fields.push(Field { name: "dedupe", value: key });
        }
        fields
    }

    /// Counts the answers that have come; returns the requests to send once more.
    fn read_answers(&mut self, now: Micros) -> Vec<SentRequest> {
        let mut crossed = Vec::new();
        for index in 0..self.connections.len() {
            for request in self.connections[index].read(&mut self.buffer) {
                if request.is_retry || now > request.sent_at + CROSSING_TIME {
                    self.result.lost += 1;
                } else {
                    self.result.unheard += 1;
                    crossed.push(request);
                }
            }
            while let Some(answer) = self.connections[index].next_answer() {
                self.count_answer(index, answer);
            }
        }
        crossed
    }

    fn count_answer(&mut self, connection: usize, answer: Answer) {
        let Some(request) = self.connections[connection].in_flight.remove(&answer.sequence) else {
            self.result.doubled += 1;
            return;
        };
        match answer.outcome {
            Outcome::Served => {
                let latency = now().saturating_sub(request.due);
                let objective = self.load.objective_ms * MICROS_PER_MS;
                self.result.count_served(request.due - self.start, latency, objective);
            }
            Outcome::Rejected => self.result.refused += 1,
            Outcome::Failed => self.result.failed += 1,
        }
    }

    /// Sends requests once more whose connection has ended.
    fn retry(&mut self, requests: Vec<SentRequest>) -> std::io::Result<()> {
        for request in requests {
            let least_loaded =
                self.connections.iter_mut().min_by_key(|connection| connection.in_flight.len());
            if let Some(connection) = least_loaded {
                let retry = SentRequest { sent_at: now(), is_retry: true, ..request };
                connection.send(self.address, retry)?;
            }
        }
        Ok(())
    }

    /// Whether all is answered or the clients have given up; what is in flight then is lost.
    fn is_finished(&mut self) -> bool {
        let in_flight: usize = self.connections.iter().map(|connection| connection.in_flight.len()).sum();
        let given_up = self.end() + (self.load.ttl_ms + GRACE_MS) * MICROS_PER_MS;
        let is_over = now() >= self.end();
        if !is_over || in_flight > 0 && now() < given_up {
            return false;
        }
        self.result.lost += in_flight as u64;
        true
    }
}
