//! URI Signing tokens as in RFC 9246: a JWT, here with HS256, in the query or a cookie.
use super::{Denied, Keys};
use crate::json_fields;
use larchway::settings::{as_f64, get};
use miniserde::json::{self, Value};
use regex::RegexBuilder;
use sha2::{Digest, Sha256};

/// The parameter and cookie that carry a token.
pub const NAME: &str = "URISigningPackage";
/// Longest token read.
const LONGEST: usize = 4096;
/// Claims that are understood here, for `cdnicrit`.
const UNDERSTOOD: [&str; 7] = ["iss", "aud", "exp", "nbf", "iat", "cdniv", "cdniuc"];

/// Whom a token may name.
#[derive(Debug, Clone, Default)]
pub struct Parties {
    /// Issuers that are accepted where a token names one.
    pub issuers: Vec<String>,
    /// The audience that this service is, where a token names one.
    pub audience: Option<String>,
}

/// The URI container for exactly one URI: its hash in the URL segment form of RFC 6920.
pub fn container(uri: &str) -> String {
    format!("hash:sha-256;{}", super::encode(&Sha256::digest(uri.as_bytes())))
}

/// Issues a token for one URI.
pub fn issue(
    keys: &Keys,
    key: Option<&str>,
    parties: &Parties,
    uri: &str,
    expires: u64,
    not_before: Option<u64>,
) -> Result<String, String> {
    let key = keys.signing(key)?;
    let text = |t: &str| json::to_string(&t.to_string());
    let mut claims = format!("{{\"cdniv\":1,\"cdniuc\":{},\"exp\":{expires}", text(&container(uri)));
    if let Some(at) = not_before {
        claims.push_str(&format!(",\"nbf\":{at}"));
    }
    if let Some(issuer) = parties.issuers.first() {
        claims.push_str(&format!(",\"iss\":{}", text(issuer)));
    }
    if let Some(audience) = &parties.audience {
        claims.push_str(&format!(",\"aud\":{}", text(audience)));
    }
    claims.push('}');
    let head = format!("{{\"alg\":\"HS256\",\"kid\":{},\"typ\":\"JWT\"}}", text(&key.name));
    let signed = format!("{}.{}", super::encode(head.as_bytes()), super::encode(claims.as_bytes()));
    let signature = super::encode(&key.sign(signed.as_bytes()));
    Ok(format!("{signed}.{signature}"))
}

fn object(part: &str) -> Result<Value, Denied> {
    let bytes = super::decode(part).ok_or(Denied::Malformed)?;
    let text = std::str::from_utf8(&bytes).map_err(|_| Denied::Malformed)?;
    json_fields::parse(text).map_err(|_| Denied::Malformed)
}

/// Whether a URI is within a container. A pattern must fit the whole URI, so that none grants more than it says.
fn contains(container: &str, uri: &str) -> Result<bool, Denied> {
    if let Some(pattern) = container.strip_prefix("regex:") {
        let mut built = RegexBuilder::new(&format!("^(?:{pattern})$"));
        let regex = built.size_limit(1 << 16).build().map_err(|_| Denied::Malformed)?;
        return Ok(regex.is_match(uri));
    }
    if container.starts_with("hash:") {
        return Ok(container == self::container(uri));
    }
    Err(Denied::Malformed)
}

/// Checks a token for a URI, given without the token, at this Unix second. A claim that restricts the token in a
/// way unknown here denies it, as the RFC asks.
pub fn check(keys: &Keys, parties: &Parties, token: &str, uri: &str, second: u64) -> Result<(), Denied> {
    if token.len() > LONGEST {
        return Err(Denied::Malformed);
    }
    let (signed, signature) = token.rsplit_once('.').ok_or(Denied::Malformed)?;
    let (head, claims) = signed.split_once('.').filter(|(_, c)| !c.contains('.')).ok_or(Denied::Malformed)?;
    let head = object(head)?;
    let signature = super::decode(signature).ok_or(Denied::Signature)?;
    // The algorithm is this side's choice: a token may not pick none, or one with another kind of key.
    if json_fields::text(&head, "alg") != Ok(Some("HS256")) || get(&head, "crit").is_some() {
        return Err(Denied::Signature);
    }
    let holds = match json_fields::text(&head, "kid").map_err(|_| Denied::Malformed)? {
        Some(name) => keys.named(name).is_some_and(|k| k.holds(signed.as_bytes(), &signature)),
        None => keys.all().any(|k| k.holds(signed.as_bytes(), &signature)),
    };
    if !holds {
        return Err(Denied::Signature);
    }
    let claims = object(claims)?;
    let text = |key| json_fields::text(&claims, key).map_err(|_| Denied::Malformed);
    let second_of = |key| match get(&claims, key) {
        None => Ok(None),
        Some(v) => as_f64(v).filter(|n| *n >= 0.0).map(Some).ok_or(Denied::Malformed),
    };
    // Parts of a second are rounded against the bearer.
    let (expires, not_before) =
        (second_of("exp")?.map(|n| n as u64), second_of("nbf")?.map(|n| n.ceil() as u64));
    if get(&claims, "cdniv").is_some_and(|v| as_f64(v) != Some(1.0)) {
        return Err(Denied::Claim);
    }
    let critical = json_fields::texts(&claims, "cdnicrit").map_err(|_| Denied::Malformed)?;
    if critical.iter().any(|c| !UNDERSTOOD.contains(&c.as_str())) {
        return Err(Denied::Claim);
    }
    // Addresses, single use and renewal are not kept here: a token that demands one of them is denied.
    let renews = get(&claims, "cdnistt").is_some_and(|v| as_f64(v) != Some(0.0));
    if renews || get(&claims, "cdniip").is_some() || get(&claims, "jti").is_some() {
        return Err(Denied::Claim);
    }
    if text("iss")?.is_some_and(|i| !parties.issuers.iter().any(|known| known == i)) {
        return Err(Denied::Claim);
    }
    let audience = match get(&claims, "aud") {
        None => Vec::new(),
        Some(Value::String(one)) => vec![one.clone()],
        Some(_) => json_fields::texts(&claims, "aud").map_err(|_| Denied::Malformed)?,
    };
    if !audience.is_empty() && !audience.iter().any(|a| Some(a) == parties.audience.as_ref()) {
        return Err(Denied::Claim);
    }
    if !contains(text("cdniuc")?.ok_or(Denied::Malformed)?, uri)? {
        return Err(Denied::Path);
    }
    super::in_time(second, expires, not_before)
}

#[cfg(test)]
mod tests;
