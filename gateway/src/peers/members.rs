//! Which gateways are alive. Flat membership watches all gateways of the tier with one failure detector. Tiered
//! membership, used if the file of the fleet has sites, watches those of the own site and knows the numbers of live
//! gateways elsewhere.
use super::{member_number, PeerSettings};
use larchway::{mix, MonotonicTime};
use larchway_cluster::failure_detector::{self, FailureDetector};
use larchway_cluster::tiers::{Input, Output, Tier, TieredMembership, TiersReport, Topology};
use larchway_cluster::wire::MessageKind;
use larchway_cluster::FleetFile;
use serde::Serialize;
use std::sync::Arc;

/// The membership of this gateway.
pub(super) enum Members {
    /// Each gateway watches all others.
    Flat(Box<FailureDetector>),
    /// Each gateway watches the others of its site.
    Tiered(Box<Tiered>),
}

/// The membership by site, zone and region, and the arguments that it was created with.
pub(super) struct Tiered {
    topology: Arc<Topology>,
    own_member: u16,
    /// The seed of this process.
    seed: u64,
    membership: TieredMembership,
}

/// The status of the tiers for operators, with the leases that this gateway holds.
#[derive(Serialize)]
pub(super) struct TiersStatus {
    #[serde(rename = "tiers")]
    report: TiersReport,
    /// The leases by which this gateway represents its site, zone and region now, in this order.
    #[serde(rename = "represents")]
    leases: Vec<LeaseStatus>,
}

/// The lease by which this gateway represents its group of a tier.
#[derive(Serialize)]
struct LeaseStatus {
    tier: Tier,
    term: u32,
}

impl Members {
    pub(super) fn new(now: MonotonicTime, file: FleetFile, settings: &PeerSettings) -> Self {
        let own_member = member_number(settings.addresses.own_index);
        let tiered = settings.topology.clone();
        match tiered.and_then(|topology| Tiered::new(now, file.clone(), topology, own_member, settings.seed))
        {
            Some(tiered) => Members::Tiered(Box::new(tiered)),
            None => {
                let members = settings.addresses.all.len();
                let detector = FailureDetector::new(now, file, own_member, members, settings.seed);
                Members::Flat(Box::new(detector))
            }
        }
    }

    /// Replaces the file and the configuration. The state stays, unless the topology or the own member number has
    /// changed.
    pub(super) fn configure(&mut self, now: MonotonicTime, file: FleetFile, settings: &PeerSettings) {
        let own_member = member_number(settings.addresses.own_index);
        match (self, &settings.topology) {
            (Members::Flat(detector), None) => {
                detector.configure(file);
                let members = settings.addresses.all.len();
                let resized = failure_detector::Input::Resized { own_member, members };
                detector.handle(now, resized, &mut Vec::new());
            }
            (Members::Tiered(tiered), Some(topology)) if tiered.has_place(topology, own_member) => {
                tiered.membership.configure(file);
            }
            (members, _) => *members = Members::new(now, file, settings),
        }
    }

    /// Handles that this process has taken over the socket from the old process of an upgrade: resets tiered
    /// membership, since the old process may have granted leases that this one does not know (T1 of
    /// `docs/design/membership-tiers.md`).
    pub(super) fn take_over_socket(&mut self, now: MonotonicTime, file: &FleetFile) {
        let Members::Tiered(tiered) = self else { return };
        let topology = tiered.topology.clone();
        if let Some(restarted) = Tiered::new(now, file.clone(), topology, tiered.own_member, tiered.seed) {
            **tiered = restarted;
        }
    }

    pub(super) fn is_tiered(&self) -> bool {
        matches!(self, Members::Tiered(_))
    }

    /// When [`Input::Tick`] is due.
    pub(super) fn next_due(&self) -> MonotonicTime {
        match self {
            Members::Flat(detector) => detector.next_due(),
            Members::Tiered(tiered) => tiered.membership.next_due(),
        }
    }

    /// Handles an event; messages of the other kind of membership are ignored.
    pub(super) fn handle(&mut self, now: MonotonicTime, input: Input<'_>) -> Vec<Output> {
        match self {
            Members::Flat(detector) => handle_flat(detector, now, input),
            Members::Tiered(tiered) => {
                let mut outputs = Vec::new();
                tiered.membership.handle(now, input, &mut outputs);
                outputs
            }
        }
    }

    /// At most `number` other live members, chosen at random; only of the own site if membership is tiered.
    pub(super) fn random_alive_others(&mut self, number: usize) -> Vec<u16> {
        match self {
            Members::Flat(detector) => detector.random_alive_others(number),
            Members::Tiered(tiered) => tiered.membership.random_alive_others(number),
        }
    }

    /// The report of the members that this gateway watches.
    pub(super) fn report(&self, now: MonotonicTime) -> failure_detector::Report {
        match self {
            Members::Flat(detector) => detector.report(now),
            Members::Tiered(tiered) => tiered.site_report(now),
        }
    }

    /// The status of the tiers, if membership is tiered.
    pub(super) fn tiers_report(&self, now: MonotonicTime) -> Option<TiersStatus> {
        let Members::Tiered(tiered) = self else { return None };
        let membership = &tiered.membership;
        let lease = |tier| Some(LeaseStatus { tier, term: membership.represents(now, tier)? });
        let leases = Tier::ALL.into_iter().filter_map(lease).collect();
        Some(TiersStatus { report: membership.report(now), leases })
    }
}

impl Tiered {
    fn new(
        now: MonotonicTime,
        file: FleetFile,
        topology: Arc<Topology>,
        own_member: u16,
        seed: u64,
    ) -> Option<Self> {
        // The seed differs at each reset, also within one process.
        let started_at = (now - MonotonicTime::MIN).as_micros() as u64;
        let membership =
            TieredMembership::new(now, file, topology.clone(), own_member, mix(seed ^ started_at))?;
        Some(Tiered { topology, own_member, seed, membership })
    }

    fn has_place(&self, topology: &Topology, own_member: u16) -> bool {
        self.own_member == own_member && *self.topology == *topology
    }

    /// The report of the own site. The detector numbers members within the site; here they have their numbers in the
    /// whole fleet.
    fn site_report(&self, now: MonotonicTime) -> failure_detector::Report {
        let site = self.topology.group_of(Tier::Site, self.own_member).unwrap_or_default();
        let members = self.topology.children(Tier::Site, site);
        let number_of =
            |place: &mut u16| *place = members.get(usize::from(*place)).copied().unwrap_or(*place);
        let mut report = self.membership.site_report(now);
        number_of(&mut report.own_member);
        for member in &mut report.not_healthy {
            number_of(&mut member.member);
            member.suspected_by.iter_mut().for_each(number_of);
        }
        report
    }
}

fn handle_flat(detector: &mut FailureDetector, now: MonotonicTime, input: Input<'_>) -> Vec<Output> {
    let input = match input {
        Input::Tick => failure_detector::Input::Tick,
        Input::Leave => failure_detector::Input::Leave,
        Input::Received { kind, from, body } if is_detector_message(kind) => {
            failure_detector::Input::Received { kind, from, body }
        }
        Input::Received { .. } => return Vec::new(),
    };
    let mut outputs = Vec::new();
    detector.handle(now, input, &mut outputs);
    outputs.into_iter().map(tiers_output).collect()
}

/// The kinds of messages that a failure detector of the whole tier handles.
fn is_detector_message(kind: MessageKind) -> bool {
    matches!(kind, MessageKind::Ping | MessageKind::Ack | MessageKind::IndirectPing)
}

fn tiers_output(output: failure_detector::Output) -> Output {
    match output {
        failure_detector::Output::Send { to, kind, body } => Output::Send { to, kind, body },
        failure_detector::Output::StateChanged { member, state } => Output::StateChanged { member, state },
        failure_detector::Output::Paused(duration) => Output::Paused(duration),
        failure_detector::Output::Isolated => Output::Isolated,
        failure_detector::Output::Reconnected => Output::Reconnected,
    }
}

#[cfg(test)]
mod tests;
