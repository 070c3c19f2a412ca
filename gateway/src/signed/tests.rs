use super::*;

/// Two keys, of which the first one is the signing key.
pub fn keys() -> Keys {
    let key = |name: &str, byte| Secret::new(name.into(), vec![byte; 32]);
    Keys(vec![key("new", 1), key("old", 2)])
}

#[test]
fn a_credential_matches_only_the_complete_secret() {
    let secret = Secret::new("desk".into(), b"0123456789abcdef".to_vec());
    assert!(secret.matches(b"0123456789abcdef"));
    assert!(
        !secret.matches(b"0123456789abcde") && !secret.matches(b"") && !secret.matches(b"0123456789abcdeg")
    );
    assert_eq!(format!("{secret:?}"), "Secret(desk)");
}
