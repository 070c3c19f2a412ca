//! Which gateways a staged version is for.
use super::document::is_name;
use super::{DocumentError, DocumentId};
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3;

/// Zones of a staged version at most.
pub const MAX_ZONES: usize = 1024;

/// Bits of a hash that become a fraction: as many as a float represents exactly.
const FRACTION_BITS: u32 = 53;

/// The gateways that a staged version is for: a share of all, and all of some zones.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// Share of all gateways, from 0 to 1.
    #[serde(default)]
    pub share: f64,
    /// Zones whose gateways are all included.
    #[serde(default)]
    pub zones: Vec<String>,
}

/// The share is never NaN in targets that were checked.
impl Eq for Targets {}

impl Hash for Targets {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.share.to_bits().hash(state);
        self.zones.hash(state);
    }
}

impl Targets {
    /// A share of all gateways.
    pub fn share(share: f64) -> Targets {
        Targets { share, zones: Vec::new() }
    }

    /// Whether this gateway is included. The share is drawn by document and version, so that changes do not all meet
    /// the same gateways first, and a wider share of a version includes a narrower one.
    pub fn includes(&self, gateway: &str, zone: &str, id: &DocumentId, version: u64) -> bool {
        self.zones.iter().any(|name| name == zone) || rollout_fraction(gateway, id, version) < self.share
    }

    /// Whether every gateway that `narrower` includes is included here as well.
    pub fn contains(&self, narrower: &Targets) -> bool {
        self.share >= narrower.share && narrower.zones.iter().all(|zone| self.zones.contains(zone))
    }

    /// Checks that the share is one and that some gateway may be included.
    pub(super) fn check(&self) -> Result<(), DocumentError> {
        if !(0.0..=1.0).contains(&self.share) {
            return Err(DocumentError::Share(self.share));
        }
        if self.zones.len() > MAX_ZONES {
            return Err(DocumentError::TooManyZones(self.zones.len()));
        }
        if let Some(index) = self.zones.iter().position(|zone| !is_name(zone)) {
            return Err(DocumentError::Zone(index));
        }
        if self.share == 0.0 && self.zones.is_empty() {
            return Err(DocumentError::NoTargets);
        }
        Ok(())
    }
}

/// The place of a gateway from 0 to 1, the same on every machine.
fn rollout_fraction(gateway: &str, id: &DocumentId, version: u64) -> f64 {
    let mut hash = Xxh3::new();
    for part in [gateway, id.kind.name(), &id.name] {
        hash.update(part.as_bytes());
        hash.update(&[0]);
    }
    hash.update(&version.to_le_bytes());
    let bits = hash.digest() >> (u64::BITS - FRACTION_BITS);
    bits as f64 / (1_u64 << FRACTION_BITS) as f64
}
