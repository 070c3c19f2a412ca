//! The registration of this gateway in the ensemble.
use serde::Serialize;

/// This gateway; the data of its node are the serialized fields as JSON.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OwnInstance {
    /// The name of the gateway and of its node.
    #[serde(skip)]
    pub name: String,
    /// The address on which it listens for clients.
    pub listen: String,
    /// The zone of the gateway, as an index into the zones of the settings.
    pub zone: usize,
    /// The path whose children are changes of the hierarchy.
    #[serde(skip)]
    pub changes_path: Option<String>,
}

/// The zone that the data of a gateway's node state, if they can be parsed.
pub(super) fn zone_of_node(data: &[u8]) -> Option<usize> {
    let node: serde_json::Value = serde_json::from_slice(data).ok()?;
    node["zone"].as_u64().map(|zone| zone as usize)
}
