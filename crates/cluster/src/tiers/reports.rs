//! The reports of groups at the representative above them.
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

/// What became of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It is the latest now.
    Accepted,
    /// It is not later than the one known: a duplicate, or late on its way.
    Ignored,
    /// It is of an earlier representative than the one known (T4).
    Stale {
        /// The term of the latest report.
        term: u32,
    },
}

/// The reports of the groups of one table, by their places; as many as those groups.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Reports {
    timeout: Duration,
    latest: Vec<Option<Report>>,
}

impl Reports {
    /// No report of so many groups. One that is older than `timeout` counts no more (T6).
    pub fn new(groups: usize, timeout: Duration) -> Self {
        Reports { timeout, latest: vec![None; groups] }
    }

    fn is_fresh(&self, report: &Report, now: MonotonicTime) -> bool {
        now < report.received_at + self.timeout
    }

    /// T4: takes a report in if it is later than the one known. One whose group was silent for long is taken under the
    /// same term again, whatever its sequence: its author may have restarted.
    pub fn receive(
        &mut self,
        now: MonotonicTime,
        place: usize,
        author: u16,
        version: Version,
        count: Count,
    ) -> ReportOutcome {
        let known = self.latest.get(place).copied().flatten();
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
        let Some(latest) = self.latest.get_mut(place) else { return ReportOutcome::Ignored };
        *latest = Some(Report { version, author, count, received_at: now });
        ReportOutcome::Accepted
    }

    /// The numbers of a group of this size: unknown without a report of late (T6), and never beyond its size (T5).
    pub fn count(&self, now: MonotonicTime, place: usize, size: u16) -> Count {
        match self.latest.get(place).copied().flatten() {
            Some(report) if self.is_fresh(&report, now) => report.count.clamped(size),
            _ => Count::unknown(size),
        }
    }

    /// Takes over what an earlier representative published, as of when it was published, for those that have not
    /// reported since. So a new one does not count all as unknown until they have found it.
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
