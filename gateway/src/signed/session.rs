//! The session of a client on the front for signed links: a state machine that turns received bytes into actions. It
//! does no I/O and does not decide on requests. Requests on a connection are answered one after another.
use super::arrivals::Arrivals;
use super::error::{IssueError, RequestError};
use super::http::{self, Decoded, Response};
use super::issue::{issue, Issued};
use super::request::{contains_tag, read_request};
use super::settings::FrontSettings;
use crate::clock;
use crate::core::{self, FailureCause, FinalReply};
use crate::json_fields;
use crate::slots::SlotKey;
use crate::spans::ceil_secs;
use crate::wire_settings::WireSettings;
use larchway::MonotonicTime;
use miniserde::json;
use std::time::Duration;
use tracing::{info, warn};

/// Time for the first byte of the first request to arrive, and for a request to be complete after its first byte.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of unsent reply bytes with which the next request on a connection is handled.
const MAX_UNSENT_BYTES: usize = 256 * 1024;

/// The Retry-After header for a client that cannot be served now.
const RETRY_AFTER_ONE_SECOND: (&str, &str) = ("Retry-After", "1");

/// What a session needs to know of the gateway to handle a request.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// The settings of the front; none if it is disabled.
    pub front: Option<&'a FrontSettings>,
    /// Names and limits used by the wire protocols.
    pub wire_settings: &'a WireSettings,
    /// Whether a complete endpoint list was received.
    pub has_endpoints: bool,
    /// Whether the process is shutting down, so that the connection is closed after the reply.
    pub is_stopping: bool,
    /// Whether a client may be advised to retry later.
    pub may_advise_retry: bool,
    /// Number of unsent bytes of earlier replies.
    pub unsent_bytes: usize,
}

/// What happens to the connection once the reply in the output is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterReply {
    /// It stays open.
    KeepOpen,
    /// It is closed gracefully.
    Finish,
}

/// What the owner of a session has to do.
#[derive(Debug)]
pub enum Action {
    /// Nothing.
    None,
    /// Send what is in the output.
    Flush,
    /// Send what is in the output, which ends in a reply.
    Reply(AfterReply),
    /// Admit the request, whose call id is still to be set, then call [`Session::admitted`] or [`Session::reject`].
    Submit {
        /// The request's number on the connection.
        sequence: u64,
        /// The request.
        request: Box<core::Request>,
    },
}

/// Input that was handled.
#[derive(Debug)]
pub struct Handled {
    /// Number of input bytes consumed; 0 if no request is complete, or none can be handled now.
    pub used: usize,
    /// What the owner has to do.
    pub action: Action,
}

/// The state of a client connection.
#[derive(Debug, Default)]
pub struct Session {
    /// The request that waits for its final reply.
    open: Option<SlotKey>,
    /// When the first byte of an incomplete request was handled; none if there is no incomplete request.
    incomplete_since: Option<MonotonicTime>,
    /// Whether `100 Continue` was sent for that request.
    is_continue_sent: bool,
    /// Whether the last request was a `HEAD`.
    is_head: bool,
    /// Whether the connection stays open after the reply to the last request.
    keep_alive: bool,
    /// The `If-None-Match` header of the last request.
    client_tags: String,
    /// The number of the last request.
    sequence: u64,
    /// Arrival times of the buffered input.
    arrivals: Arrivals,
}

impl Session {
    /// Records that bytes were received from the client.
    pub fn record_read(&mut self, now: MonotonicTime, bytes: usize) {
        self.arrivals.record(now, bytes);
    }

    /// Whether a request waits for its final reply.
    pub fn has_open_request(&self) -> bool {
        self.open.is_some()
    }

    /// The request that waits for its final reply.
    pub fn open_request(&self) -> Option<SlotKey> {
        self.open
    }

    /// Announces the next reply as the last one on the connection. Returns the request that waits for its final reply.
    pub fn disable_keep_alive(&mut self) -> Option<SlotKey> {
        self.keep_alive = false;
        self.open
    }

    /// When the first byte of an incomplete request was handled; none if there is no incomplete request.
    pub fn incomplete_since(&self) -> Option<MonotonicTime> {
        self.incomplete_since
    }

    /// Handles the first request of the input, if it is complete and no earlier one waits for its reply. Replies that
    /// need no decision are appended to the output.
    pub fn handle(
        &mut self,
        now: MonotonicTime,
        input: &[u8],
        context: &Context<'_>,
        output: &mut Vec<u8>,
    ) -> Handled {
        // The unsent bytes are limited: replies must not accumulate for a client that pipelines requests and reads
        // nothing.
        if self.open.is_some() || input.is_empty() || context.unsent_bytes > MAX_UNSENT_BYTES {
            return Handled { used: 0, action: Action::None };
        }
        match http::decode_request(input) {
            Ok(Decoded::Complete(request, used)) => {
                let arrived = self.record_request(now, &request, used);
                let waited = now.saturating_since(arrived);
                let action = self.handle_request(&request, waited, context, output);
                Handled { used, action }
            }
            Ok(Decoded::Partial { expects_continue }) => {
                Handled { used: 0, action: self.handle_partial(now, expects_continue, output) }
            }
            Err(error) => {
                warn!(%error, "a request on the front for signed links is malformed");
                self.keep_alive = false;
                let text = error.to_string();
                let after = self.write(error.status(), &[], text.as_bytes(), context.is_stopping, output);
                Handled { used: input.len(), action: Action::Reply(after) }
            }
        }
    }

    /// Records a complete request as the last one. Returns when its last byte arrived.
    fn record_request(
        &mut self,
        now: MonotonicTime,
        request: &http::Request<'_>,
        used: usize,
    ) -> MonotonicTime {
        let arrived = self.arrivals.consume(used).unwrap_or(now);
        self.incomplete_since = None;
        self.is_continue_sent = false;
        self.is_head = request.method == "HEAD";
        self.keep_alive = request.keep_alive;
        self.client_tags = request.if_none_match.to_string();
        self.sequence += 1;
        arrived
    }

    fn handle_partial(&mut self, now: MonotonicTime, expects_continue: bool, output: &mut Vec<u8>) -> Action {
        self.incomplete_since.get_or_insert(now);
        if expects_continue && !std::mem::replace(&mut self.is_continue_sent, true) {
            output.extend_from_slice(http::CONTINUE);
            return Action::Flush;
        }
        Action::None
    }

    /// Handles a complete request. `waited`: how long it has waited on the connection.
    fn handle_request(
        &mut self,
        request: &http::Request<'_>,
        waited: Duration,
        context: &Context<'_>,
        output: &mut Vec<u8>,
    ) -> Action {
        let Context { is_stopping, may_advise_retry, .. } = *context;
        let after = match (request.path, request.method) {
            ("/alive", "GET" | "HEAD") if context.has_endpoints => {
                self.write(200, &[], b"well", is_stopping, output)
            }
            ("/alive", "GET" | "HEAD") => self.write_failure(
                503,
                "the list of stores is not known yet",
                may_advise_retry,
                is_stopping,
                output,
            ),
            ("/sign", "POST") => match context.front {
                Some(front) => self.handle_sign(request, front, context, output),
                None => return Action::None,
            },
            ("/sign", _) => self.write(405, &[("Allow", "POST")], b"only POST", is_stopping, output),
            (_, "GET" | "HEAD") => {
                match read_request(context.front, context.wire_settings, request, waited) {
                    Ok(request) => {
                        return Action::Submit { sequence: self.sequence, request: Box::new(request) }
                    }
                    Err(error) => self.reject(error, may_advise_retry, is_stopping, output),
                }
            }
            _ => self.write(405, &[("Allow", "GET, HEAD")], b"only GET and HEAD", is_stopping, output),
        };
        Action::Reply(after)
    }

    /// Issues a link or a token to the holder of an issuing credential.
    fn handle_sign(
        &mut self,
        request: &http::Request<'_>,
        front: &FrontSettings,
        context: &Context<'_>,
        output: &mut Vec<u8>,
    ) -> AfterReply {
        let credential = request.authorization.strip_prefix("Bearer ").unwrap_or("").as_bytes();
        let Some(holder) = front.holders.iter().find(|holder| holder.matches(credential)) else {
            let challenge = [("WWW-Authenticate", "Bearer realm=\"larchway\"")];
            let text = b"an issuing credential is needed";
            return self.write(401, &challenge, text, context.is_stopping, output);
        };
        match issue_from_body(request.body, front, context.wire_settings) {
            Ok(Issued { url, expires }) => {
                info!(holder = %holder.name, expires_unix_s = expires, "a link was issued");
                let body = format!("{{\"url\":{},\"expires\":{expires}}}\n", json::to_string(&url));
                let headers = [("Content-Type", "application/json"), ("Cache-Control", "no-store")];
                self.write(201, &headers, body.as_bytes(), context.is_stopping, output)
            }
            Err(error) => {
                let text = error.to_string();
                self.write(error.status(), &[], text.as_bytes(), context.is_stopping, output)
            }
        }
    }

    /// Records that the last request was admitted under this key.
    pub fn admitted(&mut self, request: SlotKey) {
        self.open = Some(request);
    }

    /// Replies to the last request, which was not admitted.
    pub fn reject(
        &mut self,
        error: RequestError,
        may_advise_retry: bool,
        is_stopping: bool,
        output: &mut Vec<u8>,
    ) -> AfterReply {
        self.write_failure(error.status(), &error.to_string(), may_advise_retry, is_stopping, output)
    }

    /// Writes the final reply to the request with this number; returns none if that is not open.
    pub fn finish(
        &mut self,
        sequence: u64,
        reply: &FinalReply<'_>,
        is_stopping: bool,
        output: &mut Vec<u8>,
    ) -> Option<AfterReply> {
        if self.sequence != sequence || self.open.take().is_none() {
            return None;
        }
        let client_tags = std::mem::take(&mut self.client_tags);
        Some(match reply {
            FinalReply::Served(served) => {
                let tag = served.entity_tag.map(|tag| format!("\"{tag}\""));
                let mut headers = vec![("Cache-Control", "private, no-cache")];
                if let Some(tag) = &tag {
                    headers.push(("ETag", tag));
                }
                if served.not_modified || served.entity_tag.is_some_and(|tag| contains_tag(&client_tags, tag))
                {
                    self.write(304, &headers, &[], is_stopping, output)
                } else {
                    headers.push(("Content-Type", "application/octet-stream"));
                    self.write(200, &headers, served.body, is_stopping, output)
                }
            }
            FinalReply::Rejected(retry_after) => {
                // Retry-After has a resolution of seconds; without advice the header is omitted.
                let seconds = ceil_secs(*retry_after).to_string();
                let advice = [("Retry-After", &seconds[..])];
                let headers: &[(&str, &str)] = if *retry_after > Duration::ZERO { &advice } else { &[] };
                self.write(503, headers, b"not now", is_stopping, output)
            }
            FinalReply::Failed(FailureCause::DeadlineExceeded) => {
                self.write(504, &[], b"no answer in time", is_stopping, output)
            }
            FinalReply::Failed(FailureCause::Unserved) => {
                self.write(502, &[], b"no store could answer", is_stopping, output)
            }
        })
    }

    /// Writes an error reply; a 503 has a Retry-After header if clients may be advised to retry.
    fn write_failure(
        &self,
        status: u16,
        text: &str,
        may_advise_retry: bool,
        is_stopping: bool,
        output: &mut Vec<u8>,
    ) -> AfterReply {
        let advises_retry = status == 503 && may_advise_retry;
        let headers: &[(&str, &str)] = if advises_retry { &[RETRY_AFTER_ONE_SECOND] } else { &[] };
        self.write(status, headers, text.as_bytes(), is_stopping, output)
    }

    /// Writes a reply to the last request.
    fn write(
        &self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
        is_stopping: bool,
        output: &mut Vec<u8>,
    ) -> AfterReply {
        let keep_alive = self.keep_alive && !is_stopping;
        let response = Response { status, headers, body, is_head: self.is_head, keep_alive };
        http::encode_response(output, &response);
        if keep_alive {
            AfterReply::KeepOpen
        } else {
            AfterReply::Finish
        }
    }
}

/// Issues the link or token that the JSON body of a request describes.
fn issue_from_body(
    body: &[u8],
    front: &FrontSettings,
    wire_settings: &WireSettings,
) -> Result<Issued, IssueError> {
    let text = std::str::from_utf8(body).map_err(|_| IssueError::NotUtf8)?;
    let issue_request = json_fields::parse(text).map_err(|_| IssueError::NotJsonObject)?;
    issue(wire_settings, front, &issue_request, clock::unix_now().as_secs())
}

#[cfg(test)]
mod tests;
