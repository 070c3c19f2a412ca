//! The reports of groups, as received by the representative that publishes their table.
use super::count::{Count, Version};
use super::message::Table;
use larchway::MonotonicTime;
use std::time::Duration;

/// The latest report of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Report {
    version: Version,
    author: u16,
    count: Count,
    received_at: MonotonicTime,
}

/// The outcome of a received report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It is the latest report of its group now.
    Accepted,
    /// It is not later than the known one: a duplicate, or delayed.
    Ignored,
    /// It is from an earlier representative than the known report (T4), or of the same term from another one.
    Stale {
        /// The term of the latest report.
        term: u32,
    },
}

/// The latest reports of the groups of one table by index; one entry per group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Reports {
    timeout: Duration,
    latest: Vec<Option<Report>>,
}

impl Reports {
    /// An empty record for a number of groups. A report older than `timeout` is no longer used (T6).
    pub fn new(groups: usize, timeout: Duration) -> Self {
        Reports { timeout, latest: vec![None; groups] }
    }

    fn is_fresh(&self, report: &Report, now: MonotonicTime) -> bool {
        now < report.received_at + self.timeout
    }

    /// T4: accepts a report that is later than the known one. If the known one has timed out, a report of the same
    /// term is accepted whatever its sequence, since its author may have restarted.
    pub fn receive(
        &mut self,
        now: MonotonicTime,
        group_index: usize,
        author: u16,
        version: Version,
        count: Count,
    ) -> ReportOutcome {
        let known = self.latest.get(group_index).copied().flatten();
        if let Some(known) = known {
            let is_fresh = self.is_fresh(&known, now);
            let is_from_other_author = version.term == known.version.term && author != known.author;
            if version.term < known.version.term || is_from_other_author && is_fresh {
                return ReportOutcome::Stale { term: known.version.term };
            }
            if is_fresh && version <= known.version {
                return ReportOutcome::Ignored;
            }
        }
        let Some(latest) = self.latest.get_mut(group_index) else { return ReportOutcome::Ignored };
        *latest = Some(Report { version, author, count, received_at: now });
        ReportOutcome::Accepted
    }

    /// The count of a group of this size: unknown without a report within the timeout (T6), and limited to the size
    /// (T5).
    pub fn count(&self, now: MonotonicTime, group_index: usize, size: u16) -> Count {
        match self.latest.get(group_index).copied().flatten() {
            Some(report) if self.is_fresh(&report, now) => report.count.clamped(size),
            _ => Count::unknown(size),
        }
    }

    /// Adopts the counts that an earlier representative published, with the time of their table, for groups that have
    /// not reported since. Otherwise a new representative would count all groups as unknown until they report to it.
    pub fn adopt(&mut self, table: &Table, received_at: MonotonicTime) {
        for (latest, count) in self.latest.iter_mut().zip(&table.counts) {
            let is_known = latest.is_some_and(|report| report.received_at >= received_at);
            if is_known || count.live == 0 {
                continue;
            }
            let (version, author) = latest.map(|report| (report.version, report.author)).unwrap_or_default();
            *latest = Some(Report { version, author, count: *count, received_at });
        }
    }
}
