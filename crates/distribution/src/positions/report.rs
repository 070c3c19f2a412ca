//! Position reports of gateways and relays. Their size is bounded at each level of the tree.
use crate::configuration::{
    GatewayDocuments, Observation, RejectedVersion, Rejection, ReportedRejections, MAX_GATEWAY_NAME_BYTES,
};
use crate::event::EventNumber;
use serde::{Deserialize, Serialize};

/// Maximum number of gateways named in a report: those furthest behind.
pub const MAX_STRAGGLERS: usize = 5;

/// Maximum length of a gateway's name in a report, in bytes; longer names are truncated.
pub const MAX_NAME_BYTES: usize = MAX_GATEWAY_NAME_BYTES;

/// Maximum number of gateways counted for one report. A larger number is invalid and could overflow the sums.
const MAX_GATEWAYS_PER_REPORT: u64 = 1 << 32;

/// A gateway and its position.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Straggler {
    /// Name of the gateway.
    pub name: String,
    /// The last event it has applied.
    pub applied: EventNumber,
}

/// How far one gateway, or all gateways below a relay, have applied the events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionReport {
    /// Every gateway has applied all events up to this one. Meaningless if `gateways` is 0.
    pub applied: EventNumber,
    /// Number of gateways counted in `applied`, including lost ones.
    pub gateways: u64,
    /// Number of disconnected gateways, counted with their last position until the retention time has passed.
    pub lost: u64,
    /// The gateways furthest behind, lowest position first; at most [`MAX_STRAGGLERS`].
    pub furthest: Vec<Straggler>,
    /// Document versions that gateways cannot apply, in descending order of rejecting gateways; at most
    /// [`MAX_REJECTIONS`](crate::configuration::MAX_REJECTIONS).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rejections: Vec<RejectedVersion>,
    /// Whether further versions are rejected that `rejections` does not list.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub rejections_omitted: bool,
}

impl PositionReport {
    /// A gateway's report of its own position.
    pub fn of_gateway(name: &str, applied: EventNumber) -> PositionReport {
        let name = bounded_name(name);
        let own_position = Straggler { name: name.to_string(), applied };
        PositionReport { applied, gateways: 1, furthest: vec![own_position], ..PositionReport::default() }
    }

    /// Adds the versions that the gateway of this report cannot apply.
    pub fn with_rejections<'a>(
        mut self,
        rejections: impl IntoIterator<Item = &'a Rejection>,
    ) -> PositionReport {
        let name = self.furthest.first().map_or("", |own_position| own_position.name.as_str());
        let versions = rejections.into_iter().map(|rejection| RejectedVersion::of_gateway(name, rejection));
        self.rejections = versions.collect();
        self.bounded()
    }

    /// Adds the rejections of the gateway's documents to its report.
    pub fn with_documents(mut self, documents: &GatewayDocuments) -> PositionReport {
        self.rejections_omitted = documents.rejections_omitted();
        self.with_rejections(documents.rejections())
    }

    /// The parts of the report that a rollout needs.
    pub fn observation(&self) -> Observation {
        Observation {
            applied: self.applied,
            gateways: self.gateways,
            lost: self.lost,
            rejections: self.rejections.clone(),
            rejections_omitted: self.rejections_omitted,
        }
    }

    /// Truncates a received report to the limits of this module.
    pub(super) fn bounded(mut self) -> PositionReport {
        self.furthest.truncate(MAX_STRAGGLERS);
        for straggler in &mut self.furthest {
            straggler.name.truncate(bounded_name(&straggler.name).len());
        }
        self.gateways = self.gateways.min(MAX_GATEWAYS_PER_REPORT);
        self.lost = self.lost.min(self.gateways);
        self.bound_rejections();
        self
    }

    fn bound_rejections(&mut self) {
        let rejections = ReportedRejections::bounded(std::mem::take(&mut self.rejections), self.gateways);
        self.rejections_omitted |= rejections.omitted;
        self.rejections = rejections.versions;
    }

    /// Moves the rejections out of the report.
    pub(super) fn take_rejections(&mut self) -> ReportedRejections {
        ReportedRejections {
            versions: std::mem::take(&mut self.rejections),
            omitted: std::mem::take(&mut self.rejections_omitted),
        }
    }
}

/// The longest prefix of a name that fits [`MAX_NAME_BYTES`].
pub(super) fn bounded_name(name: &str) -> &str {
    let fits = |end: &usize| *end <= MAX_NAME_BYTES;
    let ends = name.char_indices().map(|(start, letter)| start + letter.len_utf8());
    &name[..ends.take_while(fits).last().unwrap_or(0)]
}
