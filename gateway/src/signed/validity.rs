//! The validity period of a link or a token.
use super::error::Denied;

/// Checks that the Unix time `second` is within a validity period: from `not_before` on and before `expires`.
pub(super) fn check_time(second: u64, expires: Option<u64>, not_before: Option<u64>) -> Result<(), Denied> {
    if not_before.is_some_and(|start| second < start) {
        return Err(Denied::NotYetValid);
    }
    if expires.is_some_and(|end| second >= end) {
        return Err(Denied::Expired);
    }
    Ok(())
}
