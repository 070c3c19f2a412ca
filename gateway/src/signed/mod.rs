//! The second front: HTTP/1.1 with signed URLs and URI Signing tokens. It checks whether a request may pass;
//! what becomes of it the core decides, as for the platform's front.
pub mod http;
pub mod link;
pub mod token;

use crate::config::Front;
use crate::connection::{Conn, Final, Life, Role};
use crate::core::{Ask, Ticket};
use crate::json_fields;
use crate::log;
use crate::net::Gateway;
use crate::slots::Key;
use crate::terms::Terms;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, Mac};
use http::{Answer, Input, Request};
use larchway::settings::get;
use larchway::Micros;
use miniserde::json::{self, Value};
use sha2::Sha256;

/// Why a request may not pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// Neither signature nor token.
    Unsigned,
    /// A signature or token that cannot be read.
    Malformed,
    /// The signature does not hold.
    Signature,
    /// Its time is over.
    Expired,
    /// Its time has not come.
    Early,
    /// A claim that is not met, or not kept here.
    Claim,
    /// It is for another URI.
    Path,
}

impl Denied {
    fn text(self) -> &'static str {
        match self {
            Denied::Unsigned => "a signature or token is needed",
            Denied::Malformed => "the signature or token is malformed",
            Denied::Signature => "the signature does not hold",
            Denied::Expired => "the link has expired",
            Denied::Early => "the link does not hold yet",
            Denied::Claim => "a claim of the token is not met",
            Denied::Path => "the token is for something else",
        }
    }
}

/// A named secret.
#[derive(Clone)]
pub struct Secret {
    /// Its name.
    pub name: String,
    secret: Vec<u8>,
}

impl std::fmt::Debug for Secret {
    /// Tells the name only: secrets must not reach a log.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Secret({})", self.name)
    }
}

impl Secret {
    /// A secret under a name.
    pub fn new(name: String, secret: Vec<u8>) -> Self {
        Secret { name, secret }
    }

    fn mac(&self, text: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).ok()?;
        mac.update(text);
        Some(mac)
    }

    fn sign(&self, text: &[u8]) -> Vec<u8> {
        self.mac(text).map_or_else(Vec::new, |mac| mac.finalize().into_bytes().to_vec())
    }

    /// Whether a signature is right, compared in constant time.
    fn holds(&self, text: &[u8], signature: &[u8]) -> bool {
        self.mac(text).is_some_and(|mac| mac.verify_slice(signature).is_ok())
    }

    /// Whether a credential is this secret: both are put through the HMAC, so the time taken tells nothing.
    fn is(&self, credential: &[u8]) -> bool {
        self.holds(&self.secret, &self.sign(credential))
    }
}

/// The named keys: the first one signs, all of them check, so that keys can be changed one at a time.
#[derive(Debug, Clone, Default)]
pub struct Keys(pub Vec<Secret>);

impl Keys {
    fn named(&self, name: &str) -> Option<&Secret> {
        self.0.iter().find(|k| k.name == name)
    }
    fn all(&self) -> impl Iterator<Item = &Secret> {
        self.0.iter()
    }
    fn signing(&self, name: Option<&str>) -> Result<&Secret, String> {
        let key = name.map_or(self.0.first(), |name| self.named(name));
        key.ok_or_else(|| format!("there is no key {:?}", name.unwrap_or("")))
    }
}

fn encode(bytes: &[u8]) -> String {
    URL_SAFE_NO_PAD.encode(bytes)
}

fn decode(text: &str) -> Option<Vec<u8>> {
    URL_SAFE_NO_PAD.decode(text).ok()
}

fn in_time(second: u64, expires: Option<u64>, not_before: Option<u64>) -> Result<(), Denied> {
    if not_before.is_some_and(|at| second < at) {
        return Err(Denied::Early);
    }
    if expires.is_some_and(|at| second >= at) {
        return Err(Denied::Expired);
    }
    Ok(())
}

/// What a path names: `/CLASS/FAMILY/OBJECT/PART`, each in its one form. The group is in the path so that it is
/// signed with it: a purge of the group must reach what was asked for by a link.
pub fn object<'a>(
    terms: &Terms,
    front: &Front,
    path: &'a str,
) -> Result<(usize, u64, &'a str, u64), (u16, &'static str)> {
    let missing = (404, "there is nothing here");
    let mut parts = path.strip_prefix('/').ok_or(missing)?.split('/');
    let (Some(class), Some(group), Some(thing), Some(part), None) =
        (parts.next(), parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(missing);
    };
    let class_at = terms.class(class).ok_or(missing)?;
    let group = link::canonical(group).filter(|g| *g < 256).ok_or(missing)?;
    let part = link::canonical(part).ok_or(missing)?;
    if thing.len() != 16 || !thing.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b)) {
        return Err(missing);
    }
    if !front.classes.iter().any(|c| c == class) {
        return Err((403, "this class is not passed on by links"));
    }
    Ok((class_at, group, thing, part))
}

/// Whether a request may pass: by a token in the query, a token in a cookie, or a signature in the query. The
/// answer is that of the moment when the request is taken.
fn admitted(front: &Front, request: &Request<'_>, second: u64) -> Result<(), Denied> {
    let is_token = |f: &str| f.trim().split_once('=').is_some_and(|(name, _)| name == token::NAME);
    let (tokens, rest): (Vec<&str>, Vec<&str>) =
        request.query.split('&').filter(|f| !f.is_empty()).partition(|f| is_token(f));
    let cookie = request.cookie.split(';').find(|f| is_token(f));
    // A signature beside a cookie from an earlier visit is the newer word.
    let signed = rest.iter().any(|f| f.starts_with("Signature="));
    let token = match (tokens.as_slice(), cookie) {
        ([one], _) => Some(*one),
        ([], cookie) => cookie.filter(|_| !signed),
        _ => return Err(Denied::Malformed),
    };
    let Some(token) = token else {
        return link::check(&front.keys, request.method, request.path, request.query, second);
    };
    let query = if rest.is_empty() { String::new() } else { format!("?{}", rest.join("&")) };
    let uri = format!("{}{}{query}", front.base, request.path);
    let value = token.trim().split_once('=').map_or("", |(_, value)| value);
    token::check(&front.keys, &front.parties, value, &uri, second)
}

/// Issues what a holder of an issuing credential, or the operator at the command line, asks for.
pub fn issue(
    terms: &Terms,
    front: &Front,
    order: &Value,
    second: u64,
) -> Result<(String, u64), (u16, String)> {
    let bad = |e: String| (400, e);
    let path = json_fields::text(order, "path").map_err(bad)?.ok_or_else(|| bad("path is missing".into()))?;
    object(terms, front, path).map_err(|(status, why)| (status, format!("path: {why}")))?;
    let span = json_fields::whole(order, "expires_in", 3600, 1).map_err(bad)?;
    if span > front.longest {
        return Err(bad(format!("expires_in is {} at most", front.longest)));
    }
    let not_before = match get(order, "not_before") {
        None => None,
        Some(_) => Some(json_fields::whole(order, "not_before", 0, 0).map_err(bad)?),
    };
    let method = json_fields::text(order, "method").map_err(bad)?.unwrap_or("GET");
    if method != "GET" && method != "HEAD" {
        return Err(bad("method must be GET or HEAD".into()));
    }
    let key = json_fields::text(order, "key").map_err(bad)?;
    let expires = second + span;
    let url = match json_fields::text(order, "kind").map_err(bad)?.unwrap_or("url") {
        "url" => {
            let grant = link::Grant { method, path, expires, not_before };
            format!("{}{}", front.base, link::issue(&front.keys, key, &grant).map_err(bad)?)
        }
        "token" => {
            let uri = format!("{}{path}", front.base);
            let token =
                token::issue(&front.keys, key, &front.parties, &uri, expires, not_before).map_err(bad)?;
            format!("{uri}?{}={token}", token::NAME)
        }
        other => return Err(bad(format!("kind: {other:?} is neither url nor token"))),
    };
    Ok((url, expires))
}

// The driver.

/// µs in which a request must be whole, from its first byte, and the first byte must come.
pub const SLOW: Micros = 2_000_000;

/// Bytes of answers that may wait before the next request on a connection has its turn.
const UNREAD: usize = 256 * 1024;

/// A client's connection. Requests on it are answered one after another.
#[derive(Debug, Default)]
pub struct Session {
    /// The request that waits for its answer.
    pub open: Option<Key>,
    /// When the first byte of a request came that is not whole yet.
    pub begun: Option<Micros>,
    /// Whether leave to send a body was given.
    continued: bool,
    head: bool,
    keep_alive: bool,
    /// The tags that the client holds, as it told them.
    held: String,
    count: u64,
}

/// Whether one of the tags told by the client is this one.
fn matches(held: &str, entity: &str) -> bool {
    held.split(',')
        .map(|t| t.trim().trim_start_matches("W/").trim_matches('"'))
        .any(|t| t == "*" || t == entity)
}

/// Takes one request off the input of a connection and returns how much was used.
pub fn drive(gateway: &mut Gateway, at: Micros, key: Key, input: &[u8]) -> Result<usize, String> {
    let Some(Conn { role: Role::Web(session), output, .. }) = gateway.conn(key) else { return Ok(0) };
    // A client that sends on and on and reads nothing must not have its answers pile up.
    if session.open.is_some() || input.is_empty() || output.rest().len() > UNREAD {
        return Ok(0);
    }
    let (request, used) = match http::request(input) {
        Ok(Input::Whole(request, used)) => (request, used),
        Ok(Input::Partial(expects)) => {
            session.begun.get_or_insert(at);
            if expects && !std::mem::replace(&mut session.continued, true) {
                output.bytes.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                gateway.flush(at, key);
            }
            return Ok(0);
        }
        Err((status, why)) => {
            log!("a request of the second front is malformed: {why}");
            session.keep_alive = false;
            reply(gateway, at, key, status, &[], why.as_bytes());
            return Ok(input.len());
        }
    };
    (session.begun, session.continued) = (None, false);
    (session.head, session.keep_alive) = (request.method == "HEAD", request.keep_alive);
    session.held = request.if_none_match.to_string();
    session.count += 1;
    let count = session.count;
    let (status, why): (u16, &str) = match (request.path, request.method) {
        ("/alive", "GET" | "HEAD") if gateway.core.well => (200, "well"),
        ("/alive", "GET" | "HEAD") => (503, "the list of stores is not known yet"),
        ("/sign", "POST") => {
            sign(gateway, at, key, &request);
            return Ok(used);
        }
        ("/sign", _) => {
            reply(gateway, at, key, 405, &[("Allow", "POST")], b"only POST");
            return Ok(used);
        }
        (_, "GET" | "HEAD") => match take(gateway, at, key, &request, count) {
            Ok(()) => return Ok(used),
            Err(refused) => refused,
        },
        _ => {
            reply(gateway, at, key, 405, &[("Allow", "GET, HEAD")], b"only GET and HEAD");
            return Ok(used);
        }
    };
    let advised = status == 503 && gateway.core.advice(None, 1) > 0;
    let retry: &[(&str, &str)] = if advised { &[("Retry-After", "1")] } else { &[] };
    reply(gateway, at, key, status, retry, why.as_bytes());
    Ok(used)
}

/// Takes a request for an object in, if its signature or token holds at this moment.
fn take(
    gateway: &mut Gateway,
    at: Micros,
    key: Key,
    request: &Request<'_>,
    count: u64,
) -> Result<(), (u16, &'static str)> {
    let Some(front) = gateway.front.as_ref() else { return Err((404, "there is nothing here")) };
    let (class, group, thing, part) = object(&gateway.terms, front, request.path)?;
    admitted(front, request, at / 1_000_000).map_err(|denied| (403, denied.text()))?;
    if !gateway.has_room(key) {
        gateway.core.turn_away(class);
        return Err((503, "too much is under way"));
    }
    let via = request.cdn_loop.join(", ");
    if !gateway.may_pass(&via) {
        gateway.core.turn_away(class);
        return Err((508, "the request has been here before"));
    }
    // One tag can go on to the store; of several, or of any, the answer's tag is compared here.
    let one = request.if_none_match.trim_start_matches("W/").trim_matches('"');
    let plain = !one.is_empty() && one.len() <= 64 && one.bytes().all(|b| b.is_ascii_alphanumeric());
    let ask = Ask {
        class,
        call: format!("{:016x}", gateway.random()),
        thing: thing.to_string(),
        object: u64::from_str_radix(thing, 16).map_err(|_| (404, "there is nothing here"))?,
        part,
        group,
        ttl: gateway.terms.deadlines.get(class).copied().unwrap_or(3_000_000),
        mine: plain.then(|| one.to_string()),
        via,
        ..Ask::default()
    };
    let opened = gateway.core.request(at, Ticket { client: key, seq: count }, ask);
    let opened = opened.ok_or((503, "too much is under way"))?;
    if let Some(Conn { role: Role::Web(session), .. }) = gateway.conn(key) {
        session.open = Some(opened);
    }
    Ok(())
}

/// The endpoint that issues links and tokens to holders of an issuing credential.
fn sign(gateway: &mut Gateway, at: Micros, key: Key, request: &Request<'_>) {
    let Some(front) = gateway.front.as_ref() else { return };
    let credential = request.authorization.strip_prefix("Bearer ").unwrap_or("");
    let holder = front.holders.iter().find(|h| h.is(credential.as_bytes())).map(|h| h.name.clone());
    let Some(holder) = holder else {
        let challenge = [("WWW-Authenticate", "Bearer realm=\"larchway\"")];
        return reply(gateway, at, key, 401, &challenge, b"an issuing credential is needed");
    };
    let order = std::str::from_utf8(request.body).map_err(|_| "it is not UTF-8".to_string());
    let order =
        order.and_then(|text| json_fields::parse(text).map_err(|_| "it is not a JSON object".to_string()));
    let issued = match order {
        Ok(order) => issue(&gateway.terms, front, &order, at / 1_000_000),
        Err(why) => Err((400, why)),
    };
    match issued {
        Ok((url, expires)) => {
            log!("{holder} was issued a link that expires at {expires}");
            let body = format!("{{\"url\":{},\"expires\":{expires}}}\n", json::to_string(&url));
            let kind = [("Content-Type", "application/json"), ("Cache-Control", "no-store")];
            reply(gateway, at, key, 201, &kind, body.as_bytes());
        }
        Err((status, why)) => reply(gateway, at, key, status, &[], why.as_bytes()),
    }
}

/// Writes an answer and lets the next request on the connection have its turn.
fn reply(gateway: &mut Gateway, at: Micros, key: Key, status: u16, headers: &[(&str, &str)], body: &[u8]) {
    let stopping = gateway.stopping();
    let Some(Conn { role: Role::Web(session), output, life, .. }) = gateway.conn(key) else { return };
    let keep_alive = session.keep_alive && !stopping;
    if !keep_alive && *life == Life::Open {
        *life = Life::Finishing;
    }
    http::answer(&mut output.bytes, &Answer { status, headers, body, head: session.head, keep_alive });
    gateway.flush(at, key);
}

/// Passes on the final answer of a request.
pub fn finish(gateway: &mut Gateway, at: Micros, ticket: Ticket, done: &Final<'_>) {
    let Some(Conn { role: Role::Web(session), .. }) = gateway.conn(ticket.client) else { return };
    if session.count != ticket.seq || session.open.take().is_none() {
        return;
    }
    let held = std::mem::take(&mut session.held);
    let key = ticket.client;
    match done {
        Final::Served(served) => {
            let tag = served.entity.map(|t| format!("\"{t}\""));
            let mut headers = vec![("Cache-Control", "private, no-cache")];
            if let Some(tag) = &tag {
                headers.push(("ETag", tag));
            }
            if served.same || served.entity.is_some_and(|t| matches(&held, t)) {
                reply(gateway, at, key, 304, &headers, &[]);
            } else {
                headers.push(("Content-Type", "application/octet-stream"));
                reply(gateway, at, key, 200, &headers, served.body);
            }
        }
        Final::Refused(pushback) => {
            // Whole seconds are all that HTTP has for it; where nothing is advised, nothing is told.
            let seconds = pushback.div_ceil(1_000_000).to_string();
            let advice = [("Retry-After", &seconds[..])];
            reply(gateway, at, key, 503, if *pushback > 0 { &advice } else { &[] }, b"not now");
        }
        Final::Failed { late: true } => reply(gateway, at, key, 504, &[], b"no answer in time"),
        Final::Failed { late: false } => reply(gateway, at, key, 502, &[], b"no store could answer"),
    }
    gateway.resume(key);
}

#[cfg(test)]
pub(crate) mod tests;
