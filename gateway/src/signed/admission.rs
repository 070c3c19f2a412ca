//! Admission of a request by its signature or token.
use super::error::Denied;
use super::http::Request;
use super::settings::FrontSettings;
use super::{link, token};

/// Checks a request by a token in the query, a token in a cookie, or a signature in the query. `now_unix_s`: the
/// current Unix time.
pub(super) fn check(front: &FrontSettings, request: &Request<'_>, now_unix_s: u64) -> Result<(), Denied> {
    let is_token =
        |field: &str| field.trim().split_once('=').is_some_and(|(name, _)| name == token::PARAMETER);
    let (tokens, rest): (Vec<&str>, Vec<&str>) =
        request.query.split('&').filter(|field| !field.is_empty()).partition(|field| is_token(field));
    let cookie = request.cookie.split(';').find(|field| is_token(field));
    // A signature takes precedence over a cookie, which may remain from an earlier visit.
    let is_signed = rest.iter().any(|field| field.starts_with("Signature="));
    let token = match (tokens.as_slice(), cookie) {
        ([field], _) => Some(*field),
        ([], cookie) => cookie.filter(|_| !is_signed),
        _ => return Err(Denied::Malformed),
    };
    let Some(token) = token else {
        return link::check(&front.keys, request.method, request.path, request.query, now_unix_s);
    };
    let query = if rest.is_empty() { String::new() } else { format!("?{}", rest.join("&")) };
    let uri = format!("{}{}{query}", front.base, request.path);
    let value = token.trim().split_once('=').map_or("", |(_, value)| value);
    token::check(&front.keys, &front.parties, value, &uri, now_unix_s)
}
