//! The changes of configuration that a case makes, by their version, each about another part of the file than the last.
use serde_json::{json, Value};

/// Kinds that documents take turns at.
const KINDS: [&str; 4] = ["class", "limit", "store", "peers"];
/// Gateways of a site, which a list of peers names.
const SITE_GATEWAYS: u64 = 15;

/// A change.
#[derive(Debug, Clone)]
pub(super) struct Change {
    /// Its version, 1 for the first change of a case.
    pub version: u64,
    /// Kind and name of the document; none where it goes as a file.
    document: Option<(&'static str, &'static str)>,
}

impl Change {
    /// The document of this version.
    pub fn new(version: u64) -> Change {
        let kind = KINDS[version as usize % KINDS.len()];
        let name = match kind {
            "class" => "history-files",
            "limit" => "settings.limits.maxAttempts",
            "store" => "s-0",
            _ => "peers",
        };
        Change { version, document: Some((kind, name)) }
    }

    /// The file of this version.
    pub fn file(version: u64) -> Change {
        Change { version, document: None }
    }

    /// The entry of the documents event that carries it.
    pub fn entry(&self) -> String {
        let (kind, name) = self.document.unwrap_or_default();
        let version = self.version;
        json!({"kind": kind, "name": name, "version": version, "stage": 0, "content": self.content(kind)})
            .to_string()
    }

    /// Whether a gateway has it in force, by what it reports of its documents and how often it has read its file.
    pub fn is_in_force(&self, documents: &Value, loads: u64) -> bool {
        let Some((kind, name)) = self.document else { return loads >= self.version };
        let in_force = documents["in_force"].as_array().into_iter().flatten();
        let mut same = in_force.filter(|document| document["kind"] == kind && document["name"] == name);
        same.any(|document| document["version"].as_u64().is_some_and(|version| version >= self.version))
    }

    fn content(&self, kind: &str) -> Value {
        let varied = self.version % 10;
        match kind {
            "class" => {
                json!({"aimStretch": 2, "deadlineMs": 2000 + varied, "effect": "pure", "targetMs": 250})
            }
            "limit" => json!(8 + varied),
            "store" => json!({"share": 4 + varied}),
            _ => (0..SITE_GATEWAYS).map(|at| json!(format!("127.1.{varied}.{at}:7400"))).collect(),
        }
    }
}
