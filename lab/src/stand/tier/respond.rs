//! How a server answers a request for an object.
use super::client::{send, UpstreamRequest};
use super::messages::{Request, Response, Status};
use super::state::{lock, Kind, SeenRequest, State};
use super::{origin, parent};
use crate::clock::now;

/// Answers a request.
pub(super) fn respond(state: &State, request: &Request) -> Response {
    let hit = state.has_object(&request.object);
    if !matches!(state.kind, Kind::Parent(_)) || hit || !request.peek {
        lock(&state.seen).push(SeenRequest { time: now(), hit });
    }
    match state.kind {
        Kind::Origin(workers) => origin::respond(state, request, workers),
        _ if hit => match state.work(request.timeout) {
            true => Response::new(Status::Ok, "HIT"),
            false => Response::new(Status::Rejected, "NO_FILL"),
        },
        Kind::Cache(_) => fill(state, request),
        Kind::Parent(_) if request.peek => Response::new(Status::NotFound, "UP_MISS"),
        Kind::Parent(_) => parent::respond(state, request),
    }
}

/// Answers for a cache that does not have the object: fetches it from the source that the request names.
fn fill(state: &State, request: &Request) -> Response {
    let source = &request.fill_source;
    if source.is_empty() || *source == state.name {
        return Response::new(Status::NotFound, "NO_FILL");
    }
    let mut fields = format!("thing={},max={}", request.object, request.timeout.as_millis());
    if request.peek {
        fields.push_str(",f=peek");
    }
    let upstream =
        UpstreamRequest { server: source, id: &request.id, fields: &fields, timeout: request.timeout };
    let Some(answer) = send(state, &upstream) else {
        return Response::new(Status::Error, "UP_DOWN");
    };
    match answer.status.as_str() {
        "ok" => {
            state.store_object(&request.object);
            let from_origin = answer.remark == "MISS_ORIGIN";
            Response::new(Status::Ok, if from_origin { "MISS_ORIGIN" } else { "MISS" })
        }
        "nothing" => Response::new(Status::NotFound, "UP_MISS"),
        "refused" => Response::new(Status::NotFound, "UP_BUSY"),
        _ => Response::new(Status::Error, "ORIGIN_ERR"),
    }
}
