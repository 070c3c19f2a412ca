//! Issued and forged URI Signing tokens, and what their claims restrict.
use super::*;
use crate::signed::tests::keys;

const URI: &str = "https://files.test/history-files/17/7f3a9c21e0b4d655/3";

fn parties() -> Parties {
    Parties { issuers: vec!["desk".into()], audience: Some("larchway".into()) }
}

/// A token with any header and claims, signed with the first key.
fn sign_token(head: &str, claims: &str) -> String {
    let signed = format!("{}.{}", encode_base64url(head.as_bytes()), encode_base64url(claims.as_bytes()));
    let keys = keys();
    let signature = encode_base64url(&keys.signing(None).expect("a key").sign(signed.as_bytes()));
    format!("{signed}.{signature}")
}

/// Checks a token for `URI` at a Unix time in seconds.
fn check_token(token: &str, second: u64) -> Result<(), Denied> {
    check(&keys(), &parties(), token, URI, second)
}

#[test]
fn a_token_is_valid_for_its_uri_within_its_validity_period() {
    let token = issue(&keys(), None, &parties(), &Grant { uri: URI, expires: 2000, not_before: Some(1000) })
        .expect("issues");
    assert_eq!(check_token(&token, 1500), Ok(()));
    assert_eq!(check_token(&token, 999), Err(Denied::NotYetValid));
    assert_eq!(check_token(&token, 2000), Err(Denied::Expired));
    let other = check(&keys(), &parties(), &token, &URI.replace("d655/3", "d655/4"), 1500);
    assert_eq!(other, Err(Denied::OtherUri));
}

#[test]
fn a_token_cannot_choose_its_algorithm_or_key() {
    let claims = "{\"cdniuc\":\"regex:.*\"}";
    assert_eq!(
        check_token(&sign_token("{\"alg\":\"HS256\"}", claims), 1500),
        Ok(()),
        "without a kid, the signature may be of any key"
    );
    for head in [
        "{\"alg\":\"none\"}",
        "{}",
        "{\"alg\":\"HS256\",\"kid\":\"old\"}",
        "{\"alg\":\"HS256\",\"crit\":[\"b64\"]}",
    ] {
        assert_eq!(check_token(&sign_token(head, claims), 1500), Err(Denied::InvalidSignature), "{head}");
    }
    let valid = sign_token("{\"alg\":\"HS256\"}", claims);
    let unsigned = valid.rsplit_once('.').expect("parts").0;
    assert_eq!(check_token(&format!("{unsigned}."), 1500), Err(Denied::InvalidSignature));
    assert_eq!(check_token(unsigned, 1500), Err(Denied::Malformed));
}

#[test]
fn an_unsupported_restriction_denies_the_token() {
    let head = "{\"alg\":\"HS256\",\"kid\":\"new\"}";
    let uri_claim = "\"cdniuc\":\"regex:https://files[.]test/history-files/17/[0-9a-f]{16}/3\"";
    let check_with = |claim: &str| check_token(&sign_token(head, &format!("{{{uri_claim}{claim}}}")), 1500);
    assert_eq!(check_with(""), Ok(()));
    assert_eq!(
        check_with(",\"iss\":\"desk\",\"aud\":[\"x\",\"larchway\"],\"cdniv\":1,\"cdnicrit\":[\"exp\"]"),
        Ok(())
    );
    for claim in [
        ",\"iss\":\"other\"",
        ",\"aud\":\"other\"",
        ",\"cdniv\":2",
        ",\"cdnicrit\":[\"cdniip\"]",
        ",\"cdniip\":\"x\"",
        ",\"jti\":\"once\"",
        ",\"cdnistt\":1",
    ] {
        assert_eq!(check_with(claim), Err(Denied::UnsatisfiedClaim), "{claim}");
    }
    assert_eq!(
        check_token(&sign_token(head, "{\"exp\":9999}"), 1500),
        Err(Denied::Malformed),
        "no URI container"
    );
    assert_eq!(
        check_token(&sign_token(head, "{\"cdniuc\":\"regex:history-files\"}"), 1500),
        Err(Denied::OtherUri)
    );
    assert_eq!(check_token(&sign_token(head, "{\"cdniuc\":\"regex:((a\"}"), 1500), Err(Denied::Malformed));
}
