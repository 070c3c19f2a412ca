//! Signed URLs: expiry, key name and an HMAC-SHA256 in the query, bound to method and path.
//!
//! The query is `Expires=SECONDS[&NotBefore=SECONDS]&KeyName=NAME&Signature=BASE64URL`, the signature last. What
//! is signed is the method, a line break, and path and query up to the signature.
use super::error::{Denied, UnknownKey};
use super::keys::{decode_base64url, encode_base64url, Keys};
use super::validity::check_time;

/// What a link grants.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant<'a> {
    /// The method; one for `GET` also serves `HEAD`.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// Unix second from which it no longer holds.
    pub expires: u64,
    /// Unix second from which it holds.
    pub not_before: Option<u64>,
}

/// Issues a link: path and signed query.
pub fn issue(keys: &Keys, key: Option<&str>, grant: &Grant<'_>) -> Result<String, UnknownKey> {
    let key = keys.signing(key)?;
    let start = grant.not_before.map_or(String::new(), |second| format!("&NotBefore={second}"));
    let unsigned_url = format!("{}?Expires={}{start}&KeyName={}", grant.path, grant.expires, key.name);
    let signature = encode_base64url(&key.sign(format!("{}\n{unsigned_url}", grant.method).as_bytes()));
    Ok(format!("{unsigned_url}&Signature={signature}"))
}

/// A decimal number in its one form, so that no two texts mean the same link.
pub fn parse_canonical_number(text: &str) -> Option<u64> {
    let number: u64 = text.parse().ok()?;
    (number.to_string() == text).then_some(number)
}

/// Checks a link at this Unix second. Guards against a signature made for another method, path, time or key.
pub fn check(keys: &Keys, method: &str, path: &str, query: &str, second: u64) -> Result<(), Denied> {
    let (signed, signature) = query.rsplit_once("&Signature=").ok_or(Denied::Unsigned)?;
    let mut fields = signed.split('&').map(|field| field.split_once('=').unwrap_or((field, "")));
    let number = |field: Option<(&str, &str)>, name| match field {
        Some((key, value)) if key == name => parse_canonical_number(value).ok_or(Denied::Malformed),
        _ => Err(Denied::Malformed),
    };
    let expires = number(fields.next(), "Expires")?;
    let mut next_field = fields.next();
    let mut not_before = None;
    if next_field.is_some_and(|(key, _)| key == "NotBefore") {
        not_before = Some(number(next_field, "NotBefore")?);
        next_field = fields.next();
    }
    let name = next_field.filter(|(key, _)| *key == "KeyName").ok_or(Denied::Malformed)?.1;
    if fields.next().is_some() {
        return Err(Denied::Malformed);
    }
    let key = keys.named(name).ok_or(Denied::InvalidSignature)?;
    let signature = decode_base64url(signature).ok_or(Denied::InvalidSignature)?;
    let is_signed_for =
        |method: &str| key.verifies(format!("{method}\n{path}?{signed}").as_bytes(), &signature);
    if !(is_signed_for(method) || method == "HEAD" && is_signed_for("GET")) {
        return Err(Denied::InvalidSignature);
    }
    check_time(second, Some(expires), not_before)
}

#[cfg(test)]
mod tests;
