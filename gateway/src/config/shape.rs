//! The keys of a configuration file and the types of their values, by which one file may replace another.
use miniserde::json::Value;
use std::collections::BTreeMap;
use std::fmt;
use thiserror::Error;

/// The list of classes, whose members are compared by the keys that all have.
const CLASSES: &str = "settings.services";
/// How a key of every class is written.
const EACH_CLASS: &str = "settings.services[]";
/// The last known events, which are state and no configuration.
const KNOWN_EVENTS: &str = "known";

/// The type of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueKind {
    /// Null, which stands for any type.
    Null,
    /// True or false.
    Boolean,
    /// A number.
    Number,
    /// A string.
    String,
    /// A list.
    List,
    /// An object.
    Object,
}

impl ValueKind {
    fn of(value: &Value) -> Self {
        match value {
            Value::Null => ValueKind::Null,
            Value::Bool(_) => ValueKind::Boolean,
            Value::Number(_) => ValueKind::Number,
            Value::String(_) => ValueKind::String,
            Value::Array(_) => ValueKind::List,
            Value::Object(_) => ValueKind::Object,
        }
    }

    fn replaces(self, old: ValueKind) -> bool {
        self == old || self == ValueKind::Null || old == ValueKind::Null
    }
}

impl fmt::Display for ValueKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ValueKind::Null => "null",
            ValueKind::Boolean => "a truth value",
            ValueKind::Number => "a number",
            ValueKind::String => "a string",
            ValueKind::List => "a list",
            ValueKind::Object => "an object",
        })
    }
}

/// Why a file cannot replace the one in force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ShapeError {
    /// It lacks a key.
    #[error("{0} is missing, and the file in force has it")]
    Missing(String),
    /// A key has a value of another type.
    #[error("{key} is of another type: {found}, and {in_force} in the file in force")]
    OtherType {
        /// The path of the key.
        key: String,
        /// The type in the new file.
        found: ValueKind,
        /// The type in the file in force.
        in_force: ValueKind,
    },
}

/// The keys of a file and the types of their values; of classes the keys that all have. The platform writes
/// its files completely: a key that the file in force has and the next one lacks is a sign of a truncated
/// file or of a slip.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shape(BTreeMap<String, ValueKind>);

impl Shape {
    /// The shape of a file.
    pub fn of(file: &Value) -> Self {
        let mut keys = BTreeMap::new();
        collect(file, "", &mut keys);
        Shape(keys)
    }

    /// Whether a file of this shape can replace one of another. A key is removed by setting it to null.
    pub fn replaces(&self, old: &Shape) -> Result<(), ShapeError> {
        for (key, in_force) in &old.0 {
            match self.0.get(key) {
                None => return Err(ShapeError::Missing(key.clone())),
                Some(found) if !found.replaces(*in_force) => {
                    let (key, found, in_force) = (key.clone(), *found, *in_force);
                    return Err(ShapeError::OtherType { key, found, in_force });
                }
                Some(_) => {}
            }
        }
        Ok(())
    }
}

/// Adds the keys of an object under a path.
fn collect(value: &Value, path: &str, keys: &mut BTreeMap<String, ValueKind>) {
    let Value::Object(members) = value else { return };
    for (key, value) in members {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        keys.insert(path.clone(), ValueKind::of(value));
        match value {
            Value::Array(classes) if path == CLASSES => keys.extend(common_keys(classes.iter())),
            _ if path == KNOWN_EVENTS => {}
            value => collect(value, &path, keys),
        }
    }
}

/// The keys that all classes have with values of the same type.
fn common_keys<'a>(classes: impl Iterator<Item = &'a Value>) -> BTreeMap<String, ValueKind> {
    let mut shapes = classes.map(|class| {
        let mut keys = BTreeMap::new();
        collect(class, EACH_CLASS, &mut keys);
        keys
    });
    let mut common = shapes.next().unwrap_or_default();
    for shape in shapes {
        common.retain(|key, kind| shape.get(key) == Some(kind));
    }
    common
}
