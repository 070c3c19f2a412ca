//! Signed URLs: expiry, key name and an HMAC-SHA256 in the query, bound to method and path.
//!
//! The query is `Expires=SECONDS[&NotBefore=SECONDS]&KeyName=NAME&Signature=BASE64URL`, the signature last. The signed
//! text is the method, a line feed, and the path and query up to the signature.
use super::error::{Denied, UnknownKey};
use super::keys::{decode_base64url, encode_base64url, Keys};
use super::validity::check_time;

/// The request that a link grants.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant<'a> {
    /// The method; a link for `GET` is also valid for `HEAD`.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// When the link expires, in Unix seconds.
    pub expires: u64,
    /// When the link becomes valid, in Unix seconds.
    pub not_before: Option<u64>,
}

/// Issues a link, consisting of the path and the signed query. `key`: the name of the signing key; the first one if
/// none.
pub fn issue(keys: &Keys, key: Option<&str>, grant: &Grant<'_>) -> Result<String, UnknownKey> {
    let key = keys.signing(key)?;
    let start = grant.not_before.map_or(String::new(), |second| format!("&NotBefore={second}"));
    let unsigned_url = format!("{}?Expires={}{start}&KeyName={}", grant.path, grant.expires, key.name);
    let signature = encode_base64url(&key.sign(format!("{}\n{unsigned_url}", grant.method).as_bytes()));
    Ok(format!("{unsigned_url}&Signature={signature}"))
}

/// Parses a decimal number in canonical form (no sign, no leading zeros), so that each link has only one spelling.
pub fn parse_canonical_number(text: &str) -> Option<u64> {
    let number: u64 = text.parse().ok()?;
    (number.to_string() == text).then_some(number)
}

/// Checks a link at the Unix time `now_unix_s`. Rejects a signature for another method, path, time or key.
pub fn check(keys: &Keys, method: &str, path: &str, query: &str, now_unix_s: u64) -> Result<(), Denied> {
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
    check_time(now_unix_s, Some(expires), not_before)
}

#[cfg(test)]
mod tests;
