//! Calls of the console, and how they are parsed. The paths and the keys of bodies stand here alone.
use super::CallError;
use larchway_operations::manual_ejection::EjectionAction;
use std::cmp::Ordering;

/// Longest head of a call, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 4096;
/// Longest body of a call, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 4096;
/// Header fields of a call at most.
const MAX_HEADERS: usize = 32;
/// Digits of a length at most.
const MAX_LENGTH_DIGITS: usize = 9;
/// The key of a body that names a store.
const STORE_KEY: &str = "who";

/// A call of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Readiness,
    /// The counters and gauges.
    Stats,
    /// The report of the object cache.
    ObjectCache,
    /// The report of the load sharing.
    LoadSharing,
    /// The gateways of the fleet, and the quotas that this one may use.
    Fleet,
    /// The report of the source of events.
    Events,
    /// The manual ejection of a store, or its restoration.
    Ejection {
        /// The id of the store.
        store: String,
        /// What to do with it.
        action: EjectionAction,
    },
}

/// Whether more input may come from a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InputState {
    /// More may come.
    Open,
    /// The caller has ended its side.
    Ended,
}

impl InputState {
    /// No call for now, or the error of an input that will stay incomplete.
    fn incomplete(self, error: CallError) -> Result<Option<Call>, CallError> {
        match self {
            InputState::Open => Ok(None),
            InputState::Ended => Err(error),
        }
    }
}

/// Parses a call from the input: `None` while it is incomplete.
pub fn parse_call(input: &[u8], state: InputState) -> Result<Option<Call>, CallError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let Some(body_start) = parse_head(&mut request, input)? else {
        return state.incomplete(CallError::HeadIncomplete);
    };
    let endpoint = Endpoint::of(&request)?;
    let length = content_length(request.headers)?;
    let body = &input[body_start..];
    match endpoint {
        Endpoint::Read(call) => match body.len().cmp(&checked_length(length.unwrap_or(0))?) {
            Ordering::Less => state.incomplete(CallError::BodyIncomplete),
            Ordering::Equal => Ok(Some(call)),
            Ordering::Greater => Err(CallError::SecondCall),
        },
        Endpoint::Ejection(action) => {
            let length = checked_length(length.ok_or(CallError::LengthMissing)?)?;
            match body.len().cmp(&length) {
                Ordering::Less => state.incomplete(CallError::BodyIncomplete),
                Ordering::Equal => Ok(Some(Call::Ejection { store: parse_store(body)?, action })),
                Ordering::Greater => Err(CallError::TrailingBytes { length }),
            }
        }
    }
}

/// Parses the head. Returns where the body begins, or `None` while the head is incomplete.
fn parse_head<'a>(
    request: &mut httparse::Request<'_, 'a>,
    input: &'a [u8],
) -> Result<Option<usize>, CallError> {
    match request.parse(input) {
        Err(httparse::Error::TooManyHeaders) => Err(CallError::TooManyHeaders),
        Err(error) => Err(CallError::InvalidHead(error)),
        Ok(httparse::Status::Partial) if input.len() > MAX_HEAD_BYTES => Err(CallError::HeadTooLong),
        Ok(httparse::Status::Partial) => Ok(None),
        Ok(httparse::Status::Complete(start)) if start > MAX_HEAD_BYTES => Err(CallError::HeadTooLong),
        Ok(httparse::Status::Complete(start)) => Ok(Some(start)),
    }
}

/// What a path of the console does.
enum Endpoint {
    /// It reads something, by GET.
    Read(Call),
    /// It ejects or restores a store, by PUT.
    Ejection(EjectionAction),
}

impl Endpoint {
    /// The one that a request names, if its method fits.
    fn of(request: &httparse::Request<'_, '_>) -> Result<Endpoint, CallError> {
        let target = request.path.unwrap_or("");
        let path = target.split('?').next().unwrap_or("");
        let endpoint = match path {
            "/ops/readiness" => Endpoint::Read(Call::Readiness),
            "/ops/stats" => Endpoint::Read(Call::Stats),
            "/ops/copies" => Endpoint::Read(Call::ObjectCache),
            "/ops/spread" => Endpoint::Read(Call::LoadSharing),
            "/ops/fleet" => Endpoint::Read(Call::Fleet),
            "/ops/events" => Endpoint::Read(Call::Events),
            "/ops/stores/down" => Endpoint::Ejection(EjectionAction::Eject),
            "/ops/stores/up" => Endpoint::Ejection(EjectionAction::Restore),
            _ => return Err(CallError::UnknownPath(path.to_string())),
        };
        let (method, accepted) = (request.method.unwrap_or(""), endpoint.method());
        if method != accepted {
            let (path, method) = (path.to_string(), method.to_string());
            return Err(CallError::WrongMethod { path, method, accepted });
        }
        Ok(endpoint)
    }

    /// The method that it accepts.
    fn method(&self) -> &'static str {
        match self {
            Endpoint::Read(_) => "GET",
            Endpoint::Ejection(_) => "PUT",
        }
    }
}

/// The length of the body that the headers give, if they do.
fn content_length(headers: &[httparse::Header<'_>]) -> Result<Option<usize>, CallError> {
    let values =
        |name: &'static str| headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name));
    if values("transfer-encoding").next().is_some() {
        return Err(CallError::TransferEncoding);
    }
    let mut lengths = values("content-length").map(|header| header.value);
    let Some(digits) = lengths.next() else { return Ok(None) };
    if lengths.any(|other| other != digits) {
        return Err(CallError::DuplicateLength);
    }
    let text = std::str::from_utf8(digits).map_err(|_| CallError::InvalidLength)?.trim();
    let is_number =
        !text.is_empty() && text.len() <= MAX_LENGTH_DIGITS && text.bytes().all(|byte| byte.is_ascii_digit());
    let length = text.parse().ok().filter(|_| is_number);
    length.map(Some).ok_or(CallError::InvalidLength)
}

/// The length of a body, unless it is over the limit.
fn checked_length(length: usize) -> Result<usize, CallError> {
    if length > MAX_BODY_BYTES {
        return Err(CallError::BodyTooLong);
    }
    Ok(length)
}

/// The store that a body names.
fn parse_store(body: &[u8]) -> Result<String, CallError> {
    let document: serde_json::Value = serde_json::from_slice(body).map_err(CallError::NotJson)?;
    let members = document.as_object().ok_or(CallError::NotObject)?;
    match members.get(STORE_KEY) {
        None => Err(CallError::StoreMissing),
        Some(serde_json::Value::String(store)) => Ok(store.clone()),
        Some(_) => Err(CallError::StoreNotString),
    }
}
