//! The request classes of the settings.
use super::numbers::above_zero;
use crate::json_fields::{list, text, KeyError, KeyProblem};
use crate::wire_settings::ClassSettings;
use larchway::settings::{as_f64, get, span_of_millis};
use larchway::{Class, Settings};
use larchway_operations::classes::NamedClass;
use miniserde::json::Value;
use thiserror::Error;

/// What a retry of a request does. An unknown value would pass for the mildest.
const EFFECTS: &[&str] = &["pure", KEYED_EFFECT, "side_effect"];
/// The effect of requests that carry an idempotency key.
const KEYED_EFFECT: &str = "token";
/// Which servers drop retries under an idempotency key.
const GROUPS: &[&str] = &["all", "zone", "cell"];
/// Numbers from 0 of a class that the decision module reads.
const NUMBERS: [&str; 3] = ["targetMs", "windowMs", "aimStretch"];
/// Lists with a value for each class. Danger: one that is too short would have the writes of a class cached.
const LISTS_BY_CLASS: [&str; 3] = ["lifetimeByClassMs", "graceForMs", "neverKept"];

/// Why the classes cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ClassesError {
    /// The value of a key cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// A name cannot be sent to stores.
    #[error("settings.services[{index}].name: {name:?} cannot name a class")]
    InvalidName {
        /// The place of the class in the list.
        index: usize,
        /// The name.
        name: String,
    },
    /// Two classes have one name.
    #[error("settings.services[{index}].name: {name:?} stands twice")]
    DuplicateName {
        /// The place of the second one in the list.
        index: usize,
        /// The name.
        name: String,
    },
    /// A list with a value for each class is too short.
    #[error("settings.familyInfo.{key} has {found} of {classes} classes")]
    ShortList {
        /// The name of the list.
        key: &'static str,
        /// Its length.
        found: usize,
        /// The number of classes.
        classes: usize,
    },
}

/// Reads the classes, in the order of the file; `settings` is what the decision module has read of them.
pub(super) fn read(
    value: &Value,
    settings: &Settings,
) -> Result<Vec<NamedClass<ClassSettings>>, ClassesError> {
    let services = list(value, "services").map_err(|error| error.within("settings"))?;
    if services.is_empty() {
        return Err(KeyError::new("settings.services", KeyProblem::MissingOrEmpty).into());
    }
    let mut classes: Vec<NamedClass<ClassSettings>> = Vec::new();
    for (index, (service, class)) in services.iter().zip(&settings.classes).enumerate() {
        let class = read_class(service, index, class)?;
        if classes.iter().any(|other| other.name == class.name) {
            return Err(ClassesError::DuplicateName { index, name: class.name });
        }
        classes.push(class);
    }
    check_lists(value, services.len())?;
    let none = Value::Null;
    let limits = get(value, "limits").unwrap_or(&none);
    above_zero(limits, "maxAttempts").map_err(|error| error.within("settings.limits"))?;
    Ok(classes)
}

/// Reads the class at a place of the list.
fn read_class(
    service: &Value,
    index: usize,
    class: &Class,
) -> Result<NamedClass<ClassSettings>, ClassesError> {
    let nested = |error: KeyError| error.within(&format!("settings.services[{index}]"));
    let name = text(service, "name").map_err(nested)?;
    let name = name.ok_or_else(|| nested(KeyError::new("name", KeyProblem::Missing)))?.to_string();
    if !is_class_name(&name) {
        return Err(ClassesError::InvalidName { index, name });
    }
    let deadline = span_of_millis(above_zero(service, "deadlineMs").map_err(nested)?);
    let effect = accepted_value(service, "effect", EFFECTS).map_err(nested)?;
    accepted_value(service, "group", GROUPS).map_err(nested)?;
    for key in NUMBERS {
        check_from_zero(service, key).map_err(nested)?;
    }
    let needs_idempotency_key = effect == Some(KEYED_EFFECT);
    let settings = ClassSettings { class: class.clone(), deadline, needs_idempotency_key };
    Ok(NamedClass { name, settings })
}

/// Whether a name can be sent to stores: it stands in a list of fields, to which it must not add any.
fn is_class_name(name: &str) -> bool {
    !name.is_empty() && !name.contains([',', '=']) && !name.chars().any(char::is_control)
}

/// One of these values, if there is one.
fn accepted_value<'a>(
    class: &'a Value,
    key: &str,
    accepted: &'static [&'static str],
) -> Result<Option<&'a str>, KeyError> {
    match text(class, key)? {
        Some(value) if !accepted.contains(&value) => {
            let value = value.to_string();
            Err(KeyError::new(key, KeyProblem::UnknownValue { value, accepted }))
        }
        value => Ok(value),
    }
}

/// Checks that a member is a number from 0, if it is there.
fn check_from_zero(value: &Value, key: &str) -> Result<(), KeyError> {
    let wrong = |member: &Value| as_f64(member).is_none_or(|number| number.is_nan() || number < 0.0);
    match get(value, key) {
        Some(member) if wrong(member) => Err(KeyError::new(key, KeyProblem::NotFromZero)),
        _ => Ok(()),
    }
}

/// Checks that the lists with a value for each class are long enough, where they are there.
fn check_lists(settings: &Value, classes: usize) -> Result<(), ClassesError> {
    let none = Value::Null;
    let info = get(settings, "familyInfo").unwrap_or(&none);
    for key in LISTS_BY_CLASS {
        let found = list(info, key).map_err(|error| error.within("settings.familyInfo"))?.len();
        if found > 0 && found < classes {
            return Err(ClassesError::ShortList { key, found, classes });
        }
    }
    Ok(())
}
