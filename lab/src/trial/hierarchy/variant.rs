//! The ways to migrate that are compared, and the hierarchy's file of each.
use crate::stand::tier::COLD_SPAN;
use serde_json::{json, Value};

/// A way to migrate from one topology to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Variant {
    /// The plain hash over the list, without a topology.
    PlainHash,
    /// All keys migrate at once.
    AtOnce,
    /// Keys migrate step by step.
    Ramp,
    /// All at once, with the origin's shield.
    AtOnceShielded,
    /// Step by step, with the origin's shield.
    RampShielded,
}

/// All variants, in the order of the table.
pub(super) const VARIANTS: [Variant; 5] =
    [Variant::PlainHash, Variant::AtOnce, Variant::Ramp, Variant::AtOnceShielded, Variant::RampShielded];

/// How keys migrate, by the keys of the hierarchy's file.
struct Migration {
    steps: u32,
    step_ms: u64,
    keep_ms: u64,
    cold_from: f64,
}

const AT_ONCE: Migration = Migration { steps: 1, step_ms: 10, keep_ms: 0, cold_from: 1.0 };
const RAMP: Migration = Migration { steps: 16, step_ms: 500, keep_ms: 6000, cold_from: 0.1 };

impl Variant {
    /// Its name in the table and in the figures.
    pub const fn name(self) -> &'static str {
        match self {
            Variant::PlainHash => "plain hash",
            Variant::AtOnce => "at once",
            Variant::Ramp => "ramp",
            Variant::AtOnceShielded => "once+shield",
            Variant::RampShielded => "ramp+shield",
        }
    }

    const fn migration(self) -> Option<Migration> {
        match self {
            Variant::PlainHash => None,
            Variant::AtOnce | Variant::AtOnceShielded => Some(AT_ONCE),
            Variant::Ramp | Variant::RampShielded => Some(RAMP),
        }
    }

    /// Whether the origin's shield is on.
    pub const fn is_shielded(self) -> bool {
        matches!(self, Variant::AtOnceShielded | Variant::RampShielded)
    }

    /// The hierarchy's file with these changes of the topology, if the variant has one.
    fn file(self, changes: &[Value]) -> Option<String> {
        let Migration { steps, step_ms, keep_ms, cold_from } = self.migration()?;
        let mut file = json!({
            "branch": "edge", "epoch": 0, "steps": steps, "step_ms": step_ms, "keep_ms": keep_ms,
            "cold_from": cold_from, "cold_ms": COLD_SPAN / 1000,
            "parents": {"s-b0": parent("east"), "s-b1": parent("east")},
            "branches": {"edge": ["s-b0", "s-b1"]},
            "changes": changes,
        });
        if self.is_shielded() {
            file["shield"] = json!({"first": 16, "least": 2});
        }
        Some(file.to_string())
    }

    /// The file before the migration.
    pub fn file_before(self) -> Option<String> {
        self.file(&[])
    }

    /// The file with the change that begins it: the new parent takes the place of the second one.
    pub fn file_with_change(self) -> Option<String> {
        let change = json!({"id": "c1", "upon": 0, "edits": [
            {"add_parent": {"name": "s-b2", "parent": parent("west")}},
            {"set_branch": {"branch": "edge", "parents": ["s-b0", "s-b2"]}}]});
        self.file(&[change])
    }
}

fn parent(hub: &str) -> Value {
    json!({"hub": hub, "weight": 4.0, "upstream": "origin"})
}
