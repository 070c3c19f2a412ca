//! Aggregation of the document versions that gateways cannot apply.
use super::{
    DocumentId, DocumentVersion, RejectedVersion, MAX_DOCUMENT_NAME_BYTES, MAX_REJECTING_GATEWAYS,
    MAX_REJECTIONS,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of stored rejections of all reporters. A report that would exceed it counts as omitted.
pub const MAX_STORED_REJECTIONS: usize = 16_384;

/// Identifies a rejected version.
type VersionKey = (DocumentId, DocumentVersion);

/// The rejections of one report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReportedRejections {
    /// The rejected versions.
    pub versions: Vec<RejectedVersion>,
    /// Whether further rejections were omitted.
    pub omitted: bool,
}

impl ReportedRejections {
    /// Truncates received rejections to the limits of this package. `gateways` is the number of gateways in the report.
    pub(crate) fn bounded(mut versions: Vec<RejectedVersion>, gateways: u64) -> ReportedRejections {
        let reported = versions.len();
        versions.retain(|version| version.id.name.len() <= MAX_DOCUMENT_NAME_BYTES);
        versions.truncate(MAX_REJECTIONS);
        let omitted = versions.len() < reported;
        versions.iter_mut().for_each(|version| version.truncate_to_bounds(gateways));
        ReportedRejections { versions, omitted }
    }
}

/// The rejections of one version.
#[derive(Debug)]
struct VersionTotals<R> {
    gateways: u64,
    /// The rejection as reported, by reporter.
    reports: BTreeMap<R, RejectedVersion>,
}

/// The versions rejected by one reporter.
#[derive(Debug)]
struct Reporter {
    versions: Vec<VersionKey>,
    omitted: bool,
}

/// The rejections of many reporters, by version. A report costs O(log n) per rejection for n reporters.
#[derive(Debug)]
pub struct RejectionTotals<R> {
    by_version: BTreeMap<VersionKey, VersionTotals<R>>,
    /// The versions in `by_version`, in descending order of rejecting gateways.
    by_gateways: BTreeSet<(Reverse<u64>, VersionKey)>,
    /// Reporters with at least one rejection or with omitted rejections.
    reporters: BTreeMap<R, Reporter>,
    /// Number of rejections in `by_version`; at most [`MAX_STORED_REJECTIONS`].
    stored_count: usize,
    /// Number of reporters with omitted rejections.
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
    /// Adds a report. The reporter must not have one already.
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

    /// Removes and returns a reporter's rejections.
    pub fn remove(&mut self, reporter: R) -> ReportedRejections {
        let Some(removed) = self.reporters.remove(&reporter) else { return ReportedRejections::default() };
        self.stored_count -= removed.versions.len();
        self.omitting_count -= usize::from(removed.omitted);
        let versions = removed.versions.into_iter();
        let versions = versions.filter_map(|key| self.subtract(reporter, key)).collect();
        ReportedRejections { versions, omitted: removed.omitted }
    }

    /// The versions with the most rejecting gateways, at most [`MAX_REJECTIONS`].
    pub fn aggregate(&self) -> ReportedRejections {
        let keys = self.by_gateways.iter().take(MAX_REJECTIONS).map(|(_, key)| key);
        let versions = keys.filter_map(|key| Some(combine_reports(key, self.by_version.get(key)?))).collect();
        ReportedRejections {
            versions,
            omitted: self.omitting_count > 0 || self.by_version.len() > MAX_REJECTIONS,
        }
    }

    /// Whether no gateway rejects a version. False if any reporter has omitted rejections.
    pub fn has_no_rejection_of(&self, id: &DocumentId, version: DocumentVersion) -> bool {
        self.omitting_count == 0 && !self.by_version.contains_key(&(id.clone(), version))
    }

    /// Adds one rejection. Returns `None` if the reporter lists the version twice.
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

/// Combines the reports about a version. Reads at most [`MAX_REJECTING_GATEWAYS`] reports, the number of names listed.
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
