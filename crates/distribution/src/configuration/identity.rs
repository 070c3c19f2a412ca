//! Identities and versions of documents.
use serde::{Deserialize, Serialize};
use std::fmt;

/// The kind of object that a document configures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DocumentKind {
    /// A class of objects.
    Class,
    /// A limit.
    Limit,
    /// A store.
    Store,
    /// A list of peers.
    Peers,
}

impl DocumentKind {
    /// Name of the kind on the wire.
    pub fn name(self) -> &'static str {
        match self {
            DocumentKind::Class => "class",
            DocumentKind::Limit => "limit",
            DocumentKind::Store => "store",
            DocumentKind::Peers => "peers",
        }
    }
}

/// The identity of a document, which all its versions share.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DocumentId {
    /// Kind of the configured object.
    pub kind: DocumentKind,
    /// Name of the document, unique within its kind.
    pub name: String,
}

impl DocumentId {
    /// Creates the identity of the document with this kind and name.
    pub fn new(kind: DocumentKind, name: impl Into<String>) -> DocumentId {
        DocumentId { kind, name: name.into() }
    }
}

impl fmt::Display for DocumentId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind.name(), self.name)
    }
}

/// The version of a document. The stages of a version have the same content and target more and more gateways.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DocumentVersion {
    /// Version number, from 1. Every change of the content increases it.
    pub version: u64,
    /// Stage within the version, from 0.
    #[serde(default)]
    pub stage: u32,
}

impl fmt::Display for DocumentVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.version, self.stage)
    }
}
