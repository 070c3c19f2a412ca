//! Documents of the event stream laid over the gateway's own file, as JSON: what results is read and checked as the
//! file alone would be.
use super::shape::{Shape, ShapeError};
use larchway::settings::get;
use larchway_distribution::configuration::{DocumentId, DocumentKind};
use miniserde::json::{Array, Value};
use thiserror::Error;

/// The settings of the file.
const SETTINGS: &str = "settings";
/// The classes of the settings.
const CLASSES: &str = "services";
/// The name of a class.
const CLASS_NAME: &str = "name";
/// The list of peers, and the one name that a document of it has.
const PEERS: &str = "peers";

/// Parts of the file that limits stand in. The rest is the gateway's identity, its addresses, or its first state.
const LIMIT_PARTS: [&str; 4] = [SETTINGS, "limits", "flow_bytes_per_s", "link_bytes_per_s"];
/// Settings that the file alone decides: who the gateway is, names that may only grow, and what has its own kind.
const FILE_ONLY: [&str; 5] =
    ["settings.me", "settings.locality", "settings.zones", "settings.models", "settings.services"];

/// A document that stands over the file.
#[derive(Debug, Clone)]
pub struct OverlayDocument {
    /// What it is about.
    pub id: DocumentId,
    /// The value that stands over that of the file.
    pub content: Value,
}

/// The documents that stand over the file, each about something else.
#[derive(Debug, Clone, Default)]
pub struct Overlay {
    /// At most as many as the stream's own bound on documents.
    documents: Vec<OverlayDocument>,
}

/// Why documents cannot stand over the file. The texts name the key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OverlayError {
    /// The file has no such key, so that nothing would read it.
    #[error("{0} is not in the file")]
    UnknownKey(String),
    /// The key is not one that documents may change.
    #[error("{0}: only the file can change it")]
    FileOnly(String),
    /// A limit is one value, and no object of several.
    #[error("{0} must be one value, and is an object")]
    Object(String),
    /// A class is an object.
    #[error("settings.services[{0}] must be an object")]
    ClassNotObject(String),
    /// The content of a class names another one.
    #[error("settings.services[{0}].name: it is not the name of the document")]
    OtherClass(String),
    /// The value is of another type than the file's.
    #[error(transparent)]
    Shape(#[from] ShapeError),
    /// There is one list of peers, of this name.
    #[error("peers: {0:?} is no name of the list of peers, which is \"peers\"")]
    PeersName(String),
}

impl Overlay {
    /// These documents.
    pub fn new(documents: Vec<OverlayDocument>) -> Self {
        Overlay { documents }
    }

    /// Whether there is no document.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }

    /// The documents about stores, which stand over the endpoint list and not over the file.
    pub(super) fn stores(&self) -> impl Iterator<Item = &OverlayDocument> {
        self.documents.iter().filter(|document| document.id.kind == DocumentKind::Store)
    }

    /// The file with the documents in the place of its values.
    pub(super) fn lay_over(&self, file: &Value) -> Result<Value, OverlayError> {
        let mut effective = file.clone();
        for document in &self.documents {
            document.lay_over(&mut effective)?;
        }
        Shape::of(&effective).replaces(&Shape::of(file))?;
        Ok(effective)
    }
}

impl OverlayDocument {
    fn lay_over(&self, file: &mut Value) -> Result<(), OverlayError> {
        match self.id.kind {
            DocumentKind::Class => self.replace_class(file),
            DocumentKind::Limit => self.replace_limit(file),
            DocumentKind::Peers => self.replace_peers(file),
            DocumentKind::Store => Ok(()),
        }
    }

    /// Replaces the class of this name in its place, or adds it behind the others.
    fn replace_class(&self, file: &mut Value) -> Result<(), OverlayError> {
        let name = &self.id.name;
        let Value::Object(members) = &self.content else {
            return Err(OverlayError::ClassNotObject(name.clone()));
        };
        let mut class = members.clone();
        let named = class.entry(CLASS_NAME.to_string()).or_insert_with(|| Value::String(name.clone()));
        if !is_text(named, name) {
            return Err(OverlayError::OtherClass(name.clone()));
        }
        let classes = classes_mut(file)?;
        let is_same = |other: &Value| get(other, CLASS_NAME).is_some_and(|other| is_text(other, name));
        match classes.iter().position(is_same) {
            Some(index) => classes[index] = Value::Object(class),
            None => classes.push(Value::Object(class)),
        }
        Ok(())
    }

    /// Replaces the one value at the path that the name is.
    fn replace_limit(&self, file: &mut Value) -> Result<(), OverlayError> {
        let path = &self.id.name;
        let part = path.split('.').next().unwrap_or_default();
        if !LIMIT_PARTS.contains(&part) || FILE_ONLY.iter().any(|key| is_at_or_below(path, key)) {
            return Err(OverlayError::FileOnly(path.clone()));
        }
        let mut value = file;
        for key in path.split('.') {
            let Value::Object(members) = value else { return Err(OverlayError::UnknownKey(path.clone())) };
            value = members.get_mut(key).ok_or_else(|| OverlayError::UnknownKey(path.clone()))?;
        }
        if matches!(self.content, Value::Object(_)) || matches!(value, Value::Object(_)) {
            return Err(OverlayError::Object(path.clone()));
        }
        *value = self.content.clone();
        Ok(())
    }

    fn replace_peers(&self, file: &mut Value) -> Result<(), OverlayError> {
        if self.id.name != PEERS {
            return Err(OverlayError::PeersName(self.id.name.clone()));
        }
        let Value::Object(members) = file else { return Err(OverlayError::UnknownKey(PEERS.into())) };
        members.insert(PEERS.into(), self.content.clone());
        Ok(())
    }
}

/// Whether a path is that of a key or leads below it.
fn is_at_or_below(path: &str, key: &str) -> bool {
    path.strip_prefix(key).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

fn is_text(value: &Value, text: &str) -> bool {
    matches!(value, Value::String(value) if value == text)
}

/// The classes of the file.
fn classes_mut(file: &mut Value) -> Result<&mut Array, OverlayError> {
    let unknown = || OverlayError::UnknownKey(format!("{SETTINGS}.{CLASSES}"));
    let Value::Object(members) = file else { return Err(unknown()) };
    let Some(Value::Object(settings)) = members.get_mut(SETTINGS) else { return Err(unknown()) };
    match settings.get_mut(CLASSES) {
        Some(Value::Array(classes)) => Ok(classes),
        _ => Err(unknown()),
    }
}
