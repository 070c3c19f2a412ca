//! Numbers of the platform's settings.
use crate::json_fields::{KeyError, KeyProblem};
use larchway::settings::{as_f64, get};
use miniserde::json::Value;

/// A number above 0 that must be there.
pub(super) fn above_zero(value: &Value, key: &str) -> Result<f64, KeyError> {
    let member = get(value, key).ok_or_else(|| KeyError::new(key, KeyProblem::Missing))?;
    as_f64(member)
        .filter(|number| *number > 0.0 && number.is_finite())
        .ok_or_else(|| KeyError::new(key, KeyProblem::NotAboveZero))
}

/// A number from 0 in a part of the settings, if there is one.
pub(super) fn from_zero(settings: &Value, part: &str, key: &str) -> Result<Option<f64>, KeyError> {
    match get(settings, part).and_then(|part| get(part, key)) {
        None | Some(Value::Null) => Ok(None),
        Some(member) => as_f64(member)
            .filter(|number| *number >= 0.0 && number.is_finite())
            .map(Some)
            .ok_or_else(|| KeyError::new(format!("settings.{part}.{key}"), KeyProblem::NotFromZero)),
    }
}
