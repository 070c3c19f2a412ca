//! The origin: few workers, and a stop when it is overloaded for too long.
use super::messages::{Request, Response, Status};
use super::state::{lock, State};
use crate::clock::now;
use larchway::Micros;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// µs for which the origin stops.
const STOP_SPAN: Micros = 4_000_000;
/// The multiple of its capacity at which it stops.
const OVERLOAD: f64 = 2.5;
/// µs over which its load is measured.
const LOAD_SPAN: Micros = 3_000_000;
const MICROS_PER_SECOND: f64 = 1e6;
/// How long a request waits for a worker.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers a request at the origin.
pub(super) fn respond(state: &State, request: &Request, workers: usize) -> Response {
    let time = now();
    if time < state.stopped_until.load(Ordering::Relaxed) {
        return Response::new(Status::Error, "HIT");
    }
    let recent = lock(&state.seen).iter().rev().take_while(|seen| seen.time + LOAD_SPAN > time).count();
    let capacity = workers as f64 / (state.service.as_secs_f64() * state.slowdown());
    if recent as f64 > OVERLOAD * capacity * (LOAD_SPAN as f64 / MICROS_PER_SECOND) {
        state.stopped_until.store(time + STOP_SPAN, Ordering::Relaxed);
        return Response::new(Status::Error, "HIT");
    }
    let served = state.work(request.timeout.min(QUEUE_TIMEOUT));
    Response::new(if served { Status::Ok } else { Status::Rejected }, "HIT")
}
