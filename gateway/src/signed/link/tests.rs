use super::*;
use crate::signed::tests::keys;

const PATH: &str = "/history-files/17/7f3a9c21e0b4d655/3";

fn link(method: &str, key: Option<&str>) -> String {
    let grant = Grant { method, path: PATH, expires: 2000, not_before: Some(1000) };
    issue(&keys(), key, &grant).expect("issues")
}

fn check_link(method: &str, link: &str, second: u64) -> Result<(), Denied> {
    let (path, query) = link.split_once('?').expect("a query");
    check(&keys(), method, path, query, second)
}

#[test]
fn a_link_is_valid_from_its_start_until_its_expiry() {
    let link = link("GET", None);
    assert_eq!(check_link("GET", &link, 999), Err(Denied::NotYetValid));
    assert_eq!(check_link("GET", &link, 1000), Ok(()));
    assert_eq!(check_link("GET", &link, 1999), Ok(()));
    assert_eq!(check_link("GET", &link, 2000), Err(Denied::Expired));
}

#[test]
fn any_changed_part_breaks_the_signature() {
    let link = link("GET", None);
    for (from, to) in
        [("d655/3", "d655/4"), ("/17/", "/18/"), ("=2000", "=9000"), ("=1000", "=1"), ("=new", "=old")]
    {
        assert_eq!(check_link("GET", &link.replace(from, to), 1500), Err(Denied::InvalidSignature), "{to}");
    }
    assert_eq!(check_link("GET", &link.replace("=new", "=none"), 1500), Err(Denied::InvalidSignature));
    assert_eq!(check_link("GET", &link.replace("=2000", "=02000"), 1500), Err(Denied::Malformed));
    assert_eq!(check_link("GET", &format!("{link}&x=1"), 1500), Err(Denied::InvalidSignature));
    assert_eq!(check_link("GET", PATH_UNSIGNED, 1500), Err(Denied::Unsigned));
}

const PATH_UNSIGNED: &str = "/history-files/17/7f3a9c21e0b4d655/3?Expires=2000";

#[test]
fn a_link_is_bound_to_its_method_and_an_old_key_still_verifies() {
    assert_eq!(check_link("HEAD", &link("GET", None), 1500), Ok(()));
    assert_eq!(check_link("GET", &link("HEAD", None), 1500), Err(Denied::InvalidSignature));
    assert_eq!(check_link("GET", &link("GET", Some("old")), 1500), Ok(()));
    let grant = Grant { method: "GET", path: PATH, expires: 1, not_before: None };
    assert!(issue(&keys(), Some("none"), &grant).is_err());
}
