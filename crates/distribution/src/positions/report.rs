//! What gateways and relays report of the events applied: constant in size at each level of the tree.
use crate::configuration::{
    GatewayDocuments, Observation, RejectedVersion, Rejection, ReportedRejections, MAX_GATEWAY_NAME_BYTES,
};
use crate::event::EventNumber;
use serde::{Deserialize, Serialize};

/// Gateways named in a report: those that are furthest behind.
pub const MAX_STRAGGLERS: usize = 5;

/// Bytes of a gateway's name in a report at most; longer ones are cut.
pub const MAX_NAME_BYTES: usize = MAX_GATEWAY_NAME_BYTES;

/// Gateways counted for one report at most: a report that says more is wrong, and must not make the sums overflow.
const MAX_GATEWAYS_PER_REPORT: u64 = 1 << 32;

/// A gateway and how far it has applied the events.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Straggler {
    /// Name of the gateway.
    pub name: String,
    /// Its last event applied.
    pub applied: EventNumber,
}

/// How far all gateways below a relay, or one gateway, have applied the events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionReport {
    /// Every gateway has applied all events up to this one. Without meaning if there are no gateways.
    pub applied: EventNumber,
    /// Gateways counted in `applied`, those lost included.
    pub gateways: u64,
    /// Gateways that are gone, counted with their last position for a bounded time.
    pub lost: u64,
    /// The gateways furthest behind, the furthest first; at most [`MAX_STRAGGLERS`].
    pub furthest: Vec<Straggler>,
    /// Versions of documents that gateways cannot apply, those that the most reject first; at most
    /// [`MAX_REJECTIONS`](crate::configuration::MAX_REJECTIONS).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rejections: Vec<RejectedVersion>,
    /// Whether there are more of them.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub rejections_omitted: bool,
}

impl PositionReport {
    /// A gateway's report of itself.
    pub fn of_gateway(name: &str, applied: EventNumber) -> PositionReport {
        let name = bounded_name(name);
        let own_position = Straggler { name: name.to_string(), applied };
        PositionReport { applied, gateways: 1, furthest: vec![own_position], ..PositionReport::default() }
    }

    /// The report of a gateway that cannot apply these versions, whose name is that of the report.
    pub fn with_rejections<'a>(
        mut self,
        rejections: impl IntoIterator<Item = &'a Rejection>,
    ) -> PositionReport {
        let name = self.furthest.first().map_or("", |own_position| own_position.name.as_str());
        let versions = rejections.into_iter().map(|rejection| RejectedVersion::of_gateway(name, rejection));
        self.rejections = versions.collect();
        self.bounded()
    }

    /// The report of a gateway with these documents.
    pub fn with_documents(mut self, documents: &GatewayDocuments) -> PositionReport {
        self.rejections_omitted = documents.rejections_omitted();
        self.with_rejections(documents.rejections())
    }

    /// What a rollout needs of the report.
    pub fn observation(&self) -> Observation {
        Observation {
            applied: self.applied,
            gateways: self.gateways,
            lost: self.lost,
            rejections: self.rejections.clone(),
            rejections_omitted: self.rejections_omitted,
        }
    }

    /// The report within the bounds that this module states, whoever made it.
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

    /// Takes the rejections out of the report.
    pub(super) fn take_rejections(&mut self) -> ReportedRejections {
        ReportedRejections {
            versions: std::mem::take(&mut self.rejections),
            omitted: std::mem::take(&mut self.rejections_omitted),
        }
    }
}

/// The longest beginning of a name that fits [`MAX_NAME_BYTES`].
pub(super) fn bounded_name(name: &str) -> &str {
    let fits = |end: &usize| *end <= MAX_NAME_BYTES;
    let ends = name.char_indices().map(|(start, letter)| start + letter.len_utf8());
    &name[..ends.take_while(fits).last().unwrap_or(0)]
}
