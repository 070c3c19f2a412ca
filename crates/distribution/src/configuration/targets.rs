//! The target gateways of a staged version.
use super::document::is_name;
use super::{DocumentError, DocumentId};
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3;

/// Maximum number of zones of a staged version.
pub const MAX_ZONES: usize = 1024;

/// Number of hash bits converted to a fraction: the precision of an `f64`.
const FRACTION_BITS: u32 = 53;

/// The gateways that a staged version is for: a share of all gateways, and all gateways of some zones.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// Share of all gateways, from 0 to 1.
    #[serde(default)]
    pub share: f64,
    /// Names of zones whose gateways are all included.
    #[serde(default)]
    pub zones: Vec<String>,
}

/// Validated targets never have a share of NaN, so equality is reflexive.
impl Eq for Targets {}

impl Hash for Targets {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.share.to_bits().hash(state);
        self.zones.hash(state);
    }
}

impl Targets {
    /// Targets a share of all gateways, from 0 to 1, and no zones.
    pub fn share(share: f64) -> Targets {
        Targets { share, zones: Vec::new() }
    }

    /// Whether this gateway is included. The share is selected by a hash of gateway, document and version. So different
    /// changes reach different gateways first, and a larger share of a version includes a smaller one.
    pub fn includes(&self, gateway: &str, zone: &str, id: &DocumentId, version: u64) -> bool {
        self.zones.iter().any(|name| name == zone) || rollout_fraction(gateway, id, version) < self.share
    }

    /// Whether these targets include every gateway that `narrower` includes.
    pub fn contains(&self, narrower: &Targets) -> bool {
        self.share >= narrower.share && narrower.zones.iter().all(|zone| self.zones.contains(zone))
    }

    /// Checks that the share is in range, the zones are valid, and some gateway may be included.
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

/// Hashes a gateway, a document and its version to a fraction from 0 to 1 that is the same on every machine.
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
