//! The tables of counts at one gateway: published here, or received and forwarded.
use super::count::{Count, Version};
use super::message::Table;
use super::timing::{CHANGE_INTERVAL, CHANGE_REPEATS, REFRESH_INTERVAL, TABLE_TIMEOUT};
use larchway::MonotonicTime;

/// One table, and when to send it to the recipients below.
#[derive(Debug, Clone)]
pub(super) struct TableState {
    table: Table,
    /// The configured number of gateways of each group.
    sizes: Vec<u16>,
    /// When the table was last published or received; `None` if never.
    updated_at: Option<MonotonicTime>,
    /// When the table was last sent.
    sent_at: MonotonicTime,
    next_send_at: MonotonicTime,
    /// Number of remaining sendings of a changed table before [`REFRESH_INTERVAL`] applies.
    repeats_left: u8,
}

impl TableState {
    pub(super) fn new(sizes: Vec<u16>) -> Self {
        TableState {
            table: Table::default(),
            sizes,
            updated_at: None,
            sent_at: MonotonicTime::MIN,
            next_send_at: MonotonicTime::MIN,
            repeats_left: 0,
        }
    }

    /// Whether the table was updated within [`TABLE_TIMEOUT`].
    pub(super) fn is_fresh(&self, now: MonotonicTime) -> bool {
        self.updated_at.is_some_and(|at| now < at + TABLE_TIMEOUT)
    }

    /// The table and the time of its last update; `None` if it was never published or received.
    pub(super) fn latest(&self) -> Option<(&Table, MonotonicTime)> {
        self.updated_at.map(|at| (&self.table, at))
    }

    /// The representative that published the table, if it is fresh.
    pub(super) fn author(&self, now: MonotonicTime) -> Option<u16> {
        self.is_fresh(now).then_some(self.table.author)
    }

    /// The term under which the table was published; 0 if it never was.
    pub(super) fn term(&self) -> u32 {
        self.table.version.term
    }

    /// The count of the group at an index; unknown if the table is stale.
    pub(super) fn count(&self, now: MonotonicTime, group_index: usize) -> Count {
        let size = self.sizes.get(group_index).copied().unwrap_or(0);
        match self.table.counts.get(group_index) {
            Some(count) if self.is_fresh(now) => count.clamped(size),
            _ => Count::unknown(size),
        }
    }

    /// Publishes counts as the representative of this term, if they have changed or the table needs a refresh.
    pub(super) fn publish(&mut self, now: MonotonicTime, author: u16, term: u32, counts: Vec<Count>) {
        let is_same_term = (self.table.author, self.table.version.term) == (author, term);
        let is_changed = !is_same_term || self.table.counts != counts;
        let needs_refresh = self.updated_at.is_none_or(|at| now >= at + REFRESH_INTERVAL);
        if !is_changed && !needs_refresh {
            return;
        }
        let sequence = if is_same_term { self.table.version.sequence.wrapping_add(1) } else { 1 };
        self.replace(now, Table { author, version: Version { term, sequence }, counts });
    }

    /// T4: accepts a received table if it is later than the known one, or the known one is stale. Returns the known
    /// term if the received table is of an earlier term, or of the same term from another author: after a restart,
    /// the voters that elected that author did not know the term.
    pub(super) fn receive(&mut self, now: MonotonicTime, table: Table) -> Option<u32> {
        let (known_term, received_term) = (self.table.version.term, table.version.term);
        let is_fresh = self.is_fresh(now);
        let is_from_other_author = received_term == known_term && table.author != self.table.author;
        if is_fresh && (received_term < known_term || is_from_other_author) {
            return Some(known_term);
        }
        let is_usable = table.counts.len() == self.sizes.len();
        if is_usable && (table.version > self.table.version || !is_fresh) {
            self.replace(now, table);
        }
        None
    }

    fn replace(&mut self, now: MonotonicTime, table: Table) {
        if table.counts != self.table.counts {
            self.repeats_left = CHANGE_REPEATS;
        }
        self.table = table;
        self.updated_at = Some(now);
        self.next_send_at = self.next_send_at.min(now.max(self.sent_at + CHANGE_INTERVAL));
    }

    /// Returns the table if it is due to be sent, and schedules the next sending.
    pub(super) fn take_due(&mut self, now: MonotonicTime) -> Option<Table> {
        if !self.is_fresh(now) || now < self.next_send_at {
            return None;
        }
        self.repeats_left = self.repeats_left.saturating_sub(1);
        let interval = if self.repeats_left > 0 { CHANGE_INTERVAL } else { REFRESH_INTERVAL };
        self.sent_at = now;
        self.next_send_at = now + interval;
        Some(self.table.clone())
    }
}
