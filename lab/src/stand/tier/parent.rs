//! A parent that does not have an object: it fetches it from its upstream, and breaks loops by the trail.
use super::client::{send, UpstreamRequest};
use super::messages::{Request, Response, Status};
use super::state::{lock, State, Upstream, ORIGIN_SERVER};
use larchway_hierarchy::loop_detection::{self, Hop, LoopCheck};
use std::sync::atomic::Ordering;

/// The most parents that a request may pass.
const MAX_HOPS: usize = 3;

/// Answers a request for an object that the parent does not have.
pub(super) fn respond(state: &State, request: &Request) -> Response {
    let upstream = lock(&state.upstream).clone();
    let hops = parse_trail(&request.trail);
    if loop_detection::check(&hops, &state.name, upstream.epoch, MAX_HOPS) != LoopCheck::Clear {
        state.loops.broken.fetch_add(1, Ordering::Relaxed);
        // A broken loop: the origin itself is requested instead.
        return fetch(state, request, ORIGIN_SERVER, "");
    }
    if hops.iter().any(|hop| hop.name == upstream.name) {
        state.loops.begun.fetch_add(1, Ordering::Relaxed);
    }
    let response = fetch(state, request, &upstream.name, &extended_trail(&hops, state, &upstream));
    if response.status == Status::Error && hops.iter().any(|hop| hop.name == state.name) {
        state.loops.unbroken.fetch_add(1, Ordering::Relaxed);
    }
    response
}

/// Reads a trail. A comma ends a field on this wire, so that hops are separated by bars, and a hop's epoch follows an
/// underscore.
fn parse_trail(trail: &str) -> Vec<Hop> {
    let header = trail.replace('|', ", ").replace('_', "; epoch=");
    loop_detection::parse(&header).unwrap_or_default()
}

/// The trail with this parent as its last hop.
fn extended_trail(hops: &[Hop], state: &State, upstream: &Upstream) -> String {
    let passed = hops.iter().map(|hop| format!("{}_{}", hop.name, hop.epoch.unwrap_or(0)));
    let own = format!("{}_{}", state.name, upstream.epoch);
    passed.chain([own]).collect::<Vec<_>>().join("|")
}

/// Fetches an object from a server, and stores it.
fn fetch(state: &State, request: &Request, server: &str, trail: &str) -> Response {
    let trail = if trail.is_empty() { String::new() } else { format!(",via={trail}") };
    let fields = format!("thing={},max={}{trail}", request.object, request.timeout.as_millis());
    let upstream = UpstreamRequest { server, id: &request.id, fields: &fields, timeout: request.timeout };
    let Some(answer) = send(state, &upstream) else {
        return Response::new(Status::Error, "UP_DOWN");
    };
    match answer.status.as_str() {
        "ok" => {
            state.store_object(&request.object);
            match state.work(request.timeout) {
                true => Response::new(Status::Ok, "MISS_ORIGIN"),
                false => Response::new(Status::Rejected, "NO_FILL"),
            }
        }
        "refused" => Response::new(Status::Rejected, "UP_BUSY"),
        _ => Response::new(Status::Error, "ORIGIN_ERR"),
    }
}
