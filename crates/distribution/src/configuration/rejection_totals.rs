//! What many reports say together of the versions that gateways cannot apply.
use super::{
    DocumentId, DocumentVersion, RejectedVersion, MAX_DOCUMENT_NAME_BYTES, MAX_REJECTING_GATEWAYS,
    MAX_REJECTIONS,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Rejections of all reporters held at most; a reporter past it counts as one that has left its rejections out.
pub const MAX_STORED_REJECTIONS: usize = 16_384;

/// A rejected version.
type VersionKey = (DocumentId, DocumentVersion);

/// The rejections of one report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReportedRejections {
    /// The versions.
    pub versions: Vec<RejectedVersion>,
    /// Whether there are more.
    pub omitted: bool,
}

impl ReportedRejections {
    /// The rejections of so many gateways within the bounds that this package states, whoever reported them.
    pub(crate) fn bounded(mut versions: Vec<RejectedVersion>, gateways: u64) -> ReportedRejections {
        let reported = versions.len();
        versions.retain(|version| version.id.name.len() <= MAX_DOCUMENT_NAME_BYTES);
        versions.truncate(MAX_REJECTIONS);
        let omitted = versions.len() < reported;
        versions.iter_mut().for_each(|version| version.truncate_to_bounds(gateways));
        ReportedRejections { versions, omitted }
    }
}

/// Who rejects a version.
#[derive(Debug)]
struct VersionTotals<R> {
    gateways: u64,
    /// By reporter, what it says.
    reports: BTreeMap<R, RejectedVersion>,
}

/// What a reporter has reported.
#[derive(Debug)]
struct Reporter {
    versions: Vec<VersionKey>,
    omitted: bool,
}

/// The rejections of many reporters, by version. A report costs O(log n) for n reporters and each of its rejections.
#[derive(Debug)]
pub struct RejectionTotals<R> {
    by_version: BTreeMap<VersionKey, VersionTotals<R>>,
    /// The versions in `by_version`, those that the most gateways reject first.
    by_gateways: BTreeSet<(Reverse<u64>, VersionKey)>,
    /// Reporters that reject anything.
    reporters: BTreeMap<R, Reporter>,
    /// Rejections in `by_version`; at most [`MAX_STORED_REJECTIONS`], see there.
    stored_count: usize,
    /// Reporters that have left rejections out.
    omitting_count: usize,
}

impl<R> Default for RejectionTotals<R> {
    fn default() -> RejectionTotals<R> {
        RejectionTotals {
            by_version: BTreeMap::new(),
            by_gateways: BTreeSet::new(),
            reporters: BTreeMap::new(),
            stored_count: 0,
            omitting_count: 0,
        }
    }
}

impl<R: Ord + Copy> RejectionTotals<R> {
    /// Adds what a reporter without rejections so far has reported.
    pub fn insert(&mut self, reporter: R, mut report: ReportedRejections) {
        if self.stored_count + report.versions.len() > MAX_STORED_REJECTIONS {
            report = ReportedRejections { versions: Vec::new(), omitted: true };
        }
        if report == ReportedRejections::default() {
            return;
        }
        let mut versions = Vec::new();
        for version in report.versions {
            versions.extend(self.add(reporter, version));
        }
        self.stored_count += versions.len();
        self.omitting_count += usize::from(report.omitted);
        self.reporters.insert(reporter, Reporter { versions, omitted: report.omitted });
    }

    /// Removes what a reporter has reported, and returns it.
    pub fn remove(&mut self, reporter: R) -> ReportedRejections {
        let Some(removed) = self.reporters.remove(&reporter) else { return ReportedRejections::default() };
        self.stored_count -= removed.versions.len();
        self.omitting_count -= usize::from(removed.omitted);
        let versions = removed.versions.into_iter();
        let versions = versions.filter_map(|key| self.subtract(reporter, key)).collect();
        ReportedRejections { versions, omitted: removed.omitted }
    }

    /// The versions that the most gateways reject, at most [`MAX_REJECTIONS`].
    pub fn aggregate(&self) -> ReportedRejections {
        let keys = self.by_gateways.iter().take(MAX_REJECTIONS).map(|(_, key)| key);
        let versions = keys.filter_map(|key| Some(combine_reports(key, self.by_version.get(key)?))).collect();
        ReportedRejections {
            versions,
            omitted: self.omitting_count > 0 || self.by_version.len() > MAX_REJECTIONS,
        }
    }

    /// Whether no gateway is known to reject a version, and none may.
    pub fn has_no_rejection_of(&self, id: &DocumentId, version: DocumentVersion) -> bool {
        self.omitting_count == 0 && !self.by_version.contains_key(&(id.clone(), version))
    }

    /// Adds one rejection; none if the reporter names the version twice.
    fn add(&mut self, reporter: R, version: RejectedVersion) -> Option<VersionKey> {
        let key = (version.id.clone(), version.version);
        let empty = || VersionTotals { gateways: 0, reports: BTreeMap::new() };
        let totals = self.by_version.entry(key.clone()).or_insert_with(empty);
        if totals.reports.contains_key(&reporter) {
            return None;
        }
        self.by_gateways.remove(&(Reverse(totals.gateways), key.clone()));
        totals.gateways += version.gateways;
        totals.reports.insert(reporter, version);
        self.by_gateways.insert((Reverse(totals.gateways), key.clone()));
        Some(key)
    }

    fn subtract(&mut self, reporter: R, key: VersionKey) -> Option<RejectedVersion> {
        let totals = self.by_version.get_mut(&key)?;
        let version = totals.reports.remove(&reporter)?;
        self.by_gateways.remove(&(Reverse(totals.gateways), key.clone()));
        totals.gateways -= version.gateways;
        if totals.reports.is_empty() {
            self.by_version.remove(&key);
        } else {
            self.by_gateways.insert((Reverse(totals.gateways), key));
        }
        Some(version)
    }
}

/// What all reporters say of a version together. No more of them are looked at than gateways are named.
fn combine_reports<R>((id, version): &VersionKey, totals: &VersionTotals<R>) -> RejectedVersion {
    let reports = || totals.reports.values().take(MAX_REJECTING_GATEWAYS);
    let mut names: Vec<String> = reports().flat_map(|report| report.names.iter().cloned()).collect();
    names.sort();
    names.truncate(MAX_REJECTING_GATEWAYS);
    RejectedVersion {
        id: id.clone(),
        version: *version,
        reason: reports().next().map(|report| report.reason.clone()).unwrap_or_default(),
        gateways: totals.gateways,
        names,
    }
}
