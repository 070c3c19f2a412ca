//! Signed URLs: expiry, key name and an HMAC-SHA256 in the query, bound to method and path.
//!
//! The query is `Expires=SECONDS[&NotBefore=SECONDS]&KeyName=NAME&Signature=BASE64URL`, the signature last. What
//! is signed is the method, a line break, and path and query up to the signature.
use super::{Denied, Keys};

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
pub fn issue(keys: &Keys, key: Option<&str>, grant: &Grant<'_>) -> Result<String, String> {
    let key = keys.signing(key)?;
    let since = grant.not_before.map_or(String::new(), |at| format!("&NotBefore={at}"));
    let bare = format!("{}?Expires={}{since}&KeyName={}", grant.path, grant.expires, key.name);
    let signature = super::encode(&key.sign(format!("{}\n{bare}", grant.method).as_bytes()));
    Ok(format!("{bare}&Signature={signature}"))
}

/// A decimal number in its one form, so that no two texts mean the same link.
pub fn canonical(text: &str) -> Option<u64> {
    let number: u64 = text.parse().ok()?;
    (number.to_string() == text).then_some(number)
}

/// Checks a link at this Unix second. Guards against a signature made for another method, path, time or key.
pub fn check(keys: &Keys, method: &str, path: &str, query: &str, second: u64) -> Result<(), Denied> {
    let (signed, signature) = query.rsplit_once("&Signature=").ok_or(Denied::Unsigned)?;
    let mut fields = signed.split('&').map(|f| f.split_once('=').unwrap_or((f, "")));
    let number = |field: Option<(&str, &str)>, name| match field {
        Some((n, value)) if n == name => canonical(value).ok_or(Denied::Malformed),
        _ => Err(Denied::Malformed),
    };
    let expires = number(fields.next(), "Expires")?;
    let mut next = fields.next();
    let mut not_before = None;
    if next.is_some_and(|(n, _)| n == "NotBefore") {
        not_before = Some(number(next, "NotBefore")?);
        next = fields.next();
    }
    let name = next.filter(|(n, _)| *n == "KeyName").ok_or(Denied::Malformed)?.1;
    if fields.next().is_some() {
        return Err(Denied::Malformed);
    }
    let key = keys.named(name).ok_or(Denied::Signature)?;
    let signature = super::decode(signature).ok_or(Denied::Signature)?;
    let holds = |method: &str| key.holds(format!("{method}\n{path}?{signed}").as_bytes(), &signature);
    if !(holds(method) || method == "HEAD" && holds("GET")) {
        return Err(Denied::Signature);
    }
    super::in_time(second, Some(expires), not_before)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::signed::tests::keys;

    const PATH: &str = "/history-files/17/7f3a9c21e0b4d655/3";

    fn link(method: &str, key: Option<&str>) -> String {
        let grant = Grant { method, path: PATH, expires: 2000, not_before: Some(1000) };
        issue(&keys(), key, &grant).expect("issues")
    }

    fn checked(method: &str, link: &str, second: u64) -> Result<(), Denied> {
        let (path, query) = link.split_once('?').expect("a query");
        check(&keys(), method, path, query, second)
    }

    #[test]
    fn a_link_holds_from_its_start_until_its_expiry() {
        let link = link("GET", None);
        assert_eq!(checked("GET", &link, 999), Err(Denied::Early));
        assert_eq!(checked("GET", &link, 1000), Ok(()));
        assert_eq!(checked("GET", &link, 1999), Ok(()));
        assert_eq!(checked("GET", &link, 2000), Err(Denied::Expired));
    }

    #[test]
    fn any_changed_part_breaks_the_signature() {
        let link = link("GET", None);
        for (from, to) in
            [("d655/3", "d655/4"), ("/17/", "/18/"), ("=2000", "=9000"), ("=1000", "=1"), ("=new", "=old")]
        {
            assert_eq!(checked("GET", &link.replace(from, to), 1500), Err(Denied::Signature), "{to}");
        }
        assert_eq!(checked("GET", &link.replace("=new", "=none"), 1500), Err(Denied::Signature));
        assert_eq!(checked("GET", &link.replace("=2000", "=02000"), 1500), Err(Denied::Malformed));
        assert_eq!(checked("GET", &format!("{link}&x=1"), 1500), Err(Denied::Signature));
        assert_eq!(checked("GET", PATH_UNSIGNED, 1500), Err(Denied::Unsigned));
    }

    const PATH_UNSIGNED: &str = "/history-files/17/7f3a9c21e0b4d655/3?Expires=2000";

    #[test]
    fn a_link_is_bound_to_its_method_and_an_old_key_still_checks() {
        assert_eq!(checked("HEAD", &link("GET", None), 1500), Ok(()));
        assert_eq!(checked("GET", &link("HEAD", None), 1500), Err(Denied::Signature));
        assert_eq!(checked("GET", &link("GET", Some("old")), 1500), Ok(()));
        let grant = Grant { method: "GET", path: PATH, expires: 1, not_before: None };
        assert!(issue(&keys(), Some("none"), &grant).is_err());
    }
}
