//! The validity period of a link or a token.
use super::error::Denied;

/// Checks that the Unix time `now_unix_s` is within a validity period: from `not_before` on and before `expires`.
pub(super) fn check_time(
    now_unix_s: u64,
    expires: Option<u64>,
    not_before: Option<u64>,
) -> Result<(), Denied> {
    if not_before.is_some_and(|start| now_unix_s < start) {
        return Err(Denied::NotYetValid);
    }
    if expires.is_some_and(|end| now_unix_s >= end) {
        return Err(Denied::Expired);
    }
    Ok(())
}
