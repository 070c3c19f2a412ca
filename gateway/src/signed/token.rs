//! URI Signing tokens (RFC 9246): a JWT, here with HS256, in the query or a cookie.
use super::error::{Denied, UnknownKey};
use super::keys::{decode_base64url, encode_base64url, Keys, Secret};
use super::validity::check_time;
use crate::json_fields;
use larchway::settings::{as_f64, get};
use miniserde::json::{self, Value};
use regex::RegexBuilder;
use sha2::{Digest, Sha256};

/// The name of the query parameter and of the cookie that carry a token.
pub const PARAMETER: &str = "URISigningPackage";
/// Maximum length of a token in bytes.
const MAX_TOKEN_BYTES: usize = 4096;
/// The supported claims: `cdnicrit` may name only these.
const SUPPORTED_CLAIMS: [&str; 7] = ["iss", "aud", "exp", "nbf", "iat", "cdniv", "cdniuc"];

/// The parties that a token may name.
#[derive(Debug, Clone, Default)]
pub struct Parties {
    /// The accepted issuers; checked if a token names its issuer.
    pub issuers: Vec<String>,
    /// The audience that identifies this service; checked if a token names audiences.
    pub audience: Option<String>,
}

/// The URI container of exactly one URI: its hash in the URL segment format of RFC 6920.
pub fn uri_container(uri: &str) -> String {
    format!("hash:sha-256;{}", encode_base64url(&Sha256::digest(uri.as_bytes())))
}

/// The request that a token grants.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant<'a> {
    /// The complete URI, without the token.
    pub uri: &'a str,
    /// When the token expires, in Unix seconds.
    pub expires: u64,
    /// When the token becomes valid, in Unix seconds.
    pub not_before: Option<u64>,
}

/// Issues a token for one URI. `key`: the name of the signing key; the first one if none.
pub fn issue(
    keys: &Keys,
    key: Option<&str>,
    parties: &Parties,
    grant: &Grant<'_>,
) -> Result<String, UnknownKey> {
    let Grant { uri, expires, not_before } = *grant;
    let key = keys.signing(key)?;
    let text = |text: &str| json::to_string(&text.to_string());
    let mut claims = format!("{{\"cdniv\":1,\"cdniuc\":{},\"exp\":{expires}", text(&uri_container(uri)));
    if let Some(second) = not_before {
        claims.push_str(&format!(",\"nbf\":{second}"));
    }
    if let Some(issuer) = parties.issuers.first() {
        claims.push_str(&format!(",\"iss\":{}", text(issuer)));
    }
    if let Some(audience) = &parties.audience {
        claims.push_str(&format!(",\"aud\":{}", text(audience)));
    }
    claims.push('}');
    let head = format!("{{\"alg\":\"HS256\",\"kid\":{},\"typ\":\"JWT\"}}", text(&key.name));
    let signed = format!("{}.{}", encode_base64url(head.as_bytes()), encode_base64url(claims.as_bytes()));
    let signature = encode_base64url(&key.sign(signed.as_bytes()));
    Ok(format!("{signed}.{signature}"))
}

fn decode_json_part(part: &str) -> Result<Value, Denied> {
    let bytes = decode_base64url(part).ok_or(Denied::Malformed)?;
    let text = std::str::from_utf8(&bytes).map_err(|_| Denied::Malformed)?;
    json_fields::parse(text).map_err(|_| Denied::Malformed)
}

/// Whether a URI container includes a URI. A pattern must match the complete URI, so that it does not grant more than
/// intended.
fn contains(container: &str, uri: &str) -> Result<bool, Denied> {
    if let Some(pattern) = container.strip_prefix("regex:") {
        let mut built = RegexBuilder::new(&format!("^(?:{pattern})$"));
        let regex = built.size_limit(1 << 16).build().map_err(|_| Denied::Malformed)?;
        return Ok(regex.is_match(uri));
    }
    if container.starts_with("hash:") {
        return Ok(container == uri_container(uri));
    }
    Err(Denied::Malformed)
}

/// Checks a token for a URI, given without the token, at the Unix time `now_unix_s`. A token with an unsupported
/// restricting claim is rejected, as the RFC requires.
pub fn check(keys: &Keys, parties: &Parties, token: &str, uri: &str, now_unix_s: u64) -> Result<(), Denied> {
    let claims = verified_claims(keys, token)?;
    let text = |key| json_fields::text(&claims, key).map_err(|_| Denied::Malformed);
    // Fractions of a second are rounded so that the validity period does not become longer.
    let expires = number_claim(&claims, "exp")?.map(|number| number as u64);
    let not_before = number_claim(&claims, "nbf")?.map(|number| number.ceil() as u64);
    check_restrictions(&claims)?;
    if text("iss")?.is_some_and(|issuer| !parties.issuers.iter().any(|known| known == issuer)) {
        return Err(Denied::UnsatisfiedClaim);
    }
    let audience = audience(&claims)?;
    if !audience.is_empty() && !audience.iter().any(|name| Some(name) == parties.audience.as_ref()) {
        return Err(Denied::UnsatisfiedClaim);
    }
    if !contains(text("cdniuc")?.ok_or(Denied::Malformed)?, uri)? {
        return Err(Denied::OtherUri);
    }
    check_time(now_unix_s, expires, not_before)
}

/// Verifies the signature of a token and returns its claims.
fn verified_claims(keys: &Keys, token: &str) -> Result<Value, Denied> {
    if token.len() > MAX_TOKEN_BYTES {
        return Err(Denied::Malformed);
    }
    let (signed, signature) = token.rsplit_once('.').ok_or(Denied::Malformed)?;
    let (head, claims) =
        signed.split_once('.').filter(|(_, claims)| !claims.contains('.')).ok_or(Denied::Malformed)?;
    let head = decode_json_part(head)?;
    let signature = decode_base64url(signature).ok_or(Denied::InvalidSignature)?;
    // Only HS256 is accepted: a token must not select `none` or an algorithm for another type of key.
    if json_fields::text(&head, "alg") != Ok(Some("HS256")) || get(&head, "crit").is_some() {
        return Err(Denied::InvalidSignature);
    }
    let is_signed_by = |key: &Secret| key.verifies(signed.as_bytes(), &signature);
    let is_signed = match json_fields::text(&head, "kid").map_err(|_| Denied::Malformed)? {
        Some(name) => keys.named(name).is_some_and(is_signed_by),
        None => keys.all().any(is_signed_by),
    };
    if !is_signed {
        return Err(Denied::InvalidSignature);
    }
    decode_json_part(claims)
}

/// Rejects tokens with restricting claims that are not supported.
fn check_restrictions(claims: &Value) -> Result<(), Denied> {
    if get(claims, "cdniv").is_some_and(|version| as_f64(version) != Some(1.0)) {
        return Err(Denied::UnsatisfiedClaim);
    }
    let critical = json_fields::texts(claims, "cdnicrit").map_err(|_| Denied::Malformed)?;
    if critical.iter().any(|claim| !SUPPORTED_CLAIMS.contains(&claim.as_str())) {
        return Err(Denied::UnsatisfiedClaim);
    }
    // Restriction to a client address, single use, and renewal are not supported.
    let renews = get(claims, "cdnistt").is_some_and(|renewal| as_f64(renewal) != Some(0.0));
    if renews || get(claims, "cdniip").is_some() || get(claims, "jti").is_some() {
        return Err(Denied::UnsatisfiedClaim);
    }
    Ok(())
}

/// The value of a numeric claim, which must not be negative; none if the claim is absent.
fn number_claim(claims: &Value, key: &str) -> Result<Option<f64>, Denied> {
    match get(claims, key) {
        None => Ok(None),
        Some(value) => as_f64(value).filter(|number| *number >= 0.0).map(Some).ok_or(Denied::Malformed),
    }
}

/// The audiences that a token names; empty if it names none.
fn audience(claims: &Value) -> Result<Vec<String>, Denied> {
    match get(claims, "aud") {
        None => Ok(Vec::new()),
        Some(Value::String(name)) => Ok(vec![name.clone()]),
        Some(_) => json_fields::texts(claims, "aud").map_err(|_| Denied::Malformed),
    }
}

#[cfg(test)]
mod tests;
