//! The cluster of the tier's gateways, for [`super::Peers`]: the failure detector, the quota lease and the gossip of
//! stores' health, with their report for operators. No I/O is done here.
use super::members::{Members, TiersStatus};
use super::PeerSettings;
use larchway::{MonotonicTime, Quotas, ServerId, Shares};
use larchway_cluster::failure_detector;
use larchway_cluster::lease::{self, Lease, LeaseSettings, NodeCounts};
use larchway_cluster::store_health::{self, HealthGossip, HealthReport, StoreHealth};
use larchway_cluster::tiers::{Input, Output};
use larchway_cluster::wire::DecodeError;
use larchway_cluster::FleetFile;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time between two rounds of health reports of stores.
const HEALTH_REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Number of members to which a round of health reports is sent.
const HEALTH_REPORT_FANOUT: usize = 3;
/// Smallest relative change of a quota of which the decision module is notified.
const MIN_QUOTA_CHANGE: f64 = 0.01;

/// Whether the usable quotas, or the number of gateways that share them, have changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QuotaChange {
    /// They have changed by enough to notify the decision module.
    Changed,
    /// They have not changed by that much.
    Unchanged,
}

/// A round of health reports to be sent.
pub(super) struct HealthRound {
    /// The members that receive it.
    pub(super) receivers: Vec<u16>,
    /// The body of the message.
    pub(super) body: Vec<u8>,
}

/// Membership, quotas and gossip of stores' health at this gateway.
pub(super) struct Cluster {
    file: FleetFile,
    members: Members,
    health_gossip: HealthGossip,
    /// The earliest time of the next round of health reports.
    health_reports_due: MonotonicTime,
    /// The stores that this gateway itself avoided at the last tick, by its own observations.
    avoided: BTreeSet<ServerId>,
    lease: Lease,
    /// Whether quotas are leased; otherwise the configured ones apply.
    quotas_leased: bool,
    /// The quotas of which the decision module was last notified, if they are leased.
    quotas: Option<Quotas>,
    /// The number of gateways whose nodes exist, while the lease is held.
    standing: Option<NodeCounts>,
}

#[derive(Serialize)]
struct Report {
    members: failure_detector::Report,
    #[serde(flatten)]
    tiers: Option<TiersStatus>,
    lease: LeaseReport,
    #[serde(rename = "words_told")]
    health_reports_originated: u64,
    #[serde(rename = "words_heard")]
    health_reports_received: u64,
    #[serde(rename = "turned_down")]
    rejected: BTreeMap<DecodeError, u64>,
}

#[derive(Serialize)]
struct LeaseReport {
    /// Whether quotas are leased.
    #[serde(rename = "lent")]
    quotas_leased: bool,
    /// Whether this gateway holds a lease now.
    held: bool,
    /// Number of gateways whose nodes exist.
    standing: u64,
    /// Number of those in the own zone.
    #[serde(rename = "standing_near")]
    standing_in_zone: u64,
    /// The share of the quotas of the whole tier that this gateway may use now.
    share: f64,
    /// The share of the quotas of the own zone that this gateway may use now.
    #[serde(rename = "share_near")]
    share_in_zone: f64,
}

impl Cluster {
    pub(super) fn new(now: MonotonicTime, file: FleetFile, settings: &PeerSettings) -> Self {
        Cluster {
            members: Members::new(now, file.clone(), settings),
            file,
            health_gossip: HealthGossip::default(),
            health_reports_due: MonotonicTime::MIN,
            avoided: BTreeSet::new(),
            lease: Lease::new(settings.configured.clone()),
            // A gateway that has just started holds no lease, and must not use its full quota before it does.
            quotas_leased: settings.quotas_leased,
            quotas: None,
            standing: None,
        }
    }

    /// Replaces the file and the configuration; the state stays.
    pub(super) fn configure(&mut self, now: MonotonicTime, file: FleetFile, settings: &PeerSettings) {
        self.members.configure(now, file.clone(), settings);
        self.lease.configure(settings.configured.clone());
        self.quotas_leased = settings.quotas_leased;
        self.file = file;
    }

    pub(super) fn next_due(&self) -> MonotonicTime {
        self.members.next_due()
    }

    pub(super) fn quotas(&self) -> Option<Quotas> {
        self.quotas
    }

    pub(super) fn standing(&self) -> Option<NodeCounts> {
        self.standing
    }

    /// Whether membership is tiered: gateways watch each other by site.
    pub(super) fn is_tiered(&self) -> bool {
        self.members.is_tiered()
    }

    /// Passes an event to the membership.
    pub(super) fn handle_membership(&mut self, now: MonotonicTime, input: Input<'_>) -> Vec<Output> {
        self.members.handle(now, input)
    }

    /// Handles that this process has taken over the gateway's socket from another one.
    pub(super) fn take_over_socket(&mut self, now: MonotonicTime) {
        self.members.take_over_socket(now, &self.file);
    }

    /// Handles an event of the session with the ensemble.
    pub(super) fn handle_session(&mut self, now: MonotonicTime, input: lease::Input) {
        self.lease.handle(now, input);
    }

    /// Handles health reports of another gateway; returns the stores that are newly reported as failing.
    pub(super) fn receive_health(
        &mut self,
        now: MonotonicTime,
        body: &[u8],
    ) -> Result<Vec<ServerId>, DecodeError> {
        if !self.file.health_gossip {
            return Ok(Vec::new());
        }
        let reports = store_health::decode(body).ok_or(DecodeError::Malformed)?;
        let new = self.health_gossip.receive(now, reports);
        let failing = |report: &HealthReport| report.health == StoreHealth::Failing;
        Ok(new.iter().filter(|report| failing(report)).map(|report| report.store).collect())
    }

    /// Records which stores this gateway itself avoids now, and queues health reports of the changes.
    pub(super) fn observe_avoided(
        &mut self,
        now: MonotonicTime,
        own_member: u16,
        avoided: BTreeSet<ServerId>,
    ) {
        let before = std::mem::replace(&mut self.avoided, avoided);
        if !self.file.health_gossip {
            return;
        }
        for store in self.avoided.difference(&before) {
            self.health_gossip.observe(now, own_member, *store, StoreHealth::Failing);
        }
        for store in before.difference(&self.avoided) {
            self.health_gossip.observe(now, own_member, *store, StoreHealth::Recovered);
        }
    }

    /// Takes the round of health reports that is due, if one is.
    pub(super) fn take_health_round(&mut self, now: MonotonicTime) -> Option<HealthRound> {
        if now < self.health_reports_due {
            return None;
        }
        let reports = self.health_gossip.take_pending();
        if reports.is_empty() {
            return None;
        }
        self.health_reports_due = now + HEALTH_REPORT_INTERVAL;
        let receivers = self.members.random_alive_others(HEALTH_REPORT_FANOUT);
        Some(HealthRound { receivers, body: store_health::encode(&reports) })
    }

    /// Computes the quotas that may be used now.
    pub(super) fn update_quotas(&mut self, now: MonotonicTime) -> QuotaChange {
        let settings = LeaseSettings::from_file(&self.file);
        let quotas = self.quotas_leased.then(|| self.lease.share(&settings, now));
        let is_held = quotas.is_some_and(|quotas| now < quotas.until);
        let standing = is_held.then(|| self.lease.node_counts(&settings, now));
        let changed = quotas_differ(self.quotas.as_ref(), quotas.as_ref()) || self.standing != standing;
        self.quotas = quotas;
        self.standing = standing;
        if changed {
            QuotaChange::Changed
        } else {
            QuotaChange::Unchanged
        }
    }

    /// The report for operators, as JSON. Its keys are those of `docs/operate/fleet.md`.
    pub(super) fn report(&self, now: MonotonicTime, rejected: &BTreeMap<DecodeError, u64>) -> String {
        let report = Report {
            members: self.members.report(now),
            tiers: self.members.tiers_report(now),
            lease: self.lease_report(now),
            health_reports_originated: self.health_gossip.originated,
            health_reports_received: self.health_gossip.received,
            rejected: rejected.clone(),
        };
        serde_json::to_string(&report).unwrap_or_default()
    }

    fn lease_report(&self, now: MonotonicTime) -> LeaseReport {
        let settings = LeaseSettings::from_file(&self.file);
        let standing = self.lease.node_counts(&settings, now);
        let shares = match self.quotas_leased {
            true => self.lease.share(&settings, now).now(now),
            false => self.lease.configured_share(),
        };
        LeaseReport {
            quotas_leased: self.quotas_leased,
            held: self.quotas_leased && self.lease.is_held(&settings, now),
            standing: standing.all,
            standing_in_zone: standing.in_zone,
            share: shares.of_all,
            share_in_zone: shares.of_own_zone,
        }
    }
}

/// Whether quotas differ by enough to notify the decision module.
fn quotas_differ(old: Option<&Quotas>, new: Option<&Quotas>) -> bool {
    let differ = |old: f64, new: f64| (old - new).abs() > MIN_QUOTA_CHANGE * new;
    let any_differs =
        |old: Shares, new: Shares| differ(old.of_all, new.of_all) || differ(old.of_own_zone, new.of_own_zone);
    match (old, new) {
        (Some(old), Some(new)) => {
            old.until != new.until
                || any_differs(old.leased, new.leased)
                || any_differs(old.unleased, new.unleased)
        }
        (old, new) => old.is_some() != new.is_some(),
    }
}
