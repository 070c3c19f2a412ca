//! Event numbers, and the distinction between full lists and deltas.

/// The number of an event: [`FIRST_EVENT`] for the first event of a history, incremented by 1 for each later event.
pub type EventNumber = u64;

/// Number of the first event of a history.
pub const FIRST_EVENT: EventNumber = 1;

/// The largest number of an event: the largest integer that every JSON reader represents exactly (RFC 8259, section 6).
pub const MAX_EVENT_NUMBER: EventNumber = (1 << 53) - 1;

/// Whether a list event carries all entries or only changed ones. A boolean on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ListKind {
    /// All entries; replaces the previous list.
    Full,
    /// Only the entries that have changed.
    Delta,
}

impl ListKind {
    /// Converts the boolean of the wire format.
    pub(crate) fn from_wire(is_full: bool) -> ListKind {
        match is_full {
            true => ListKind::Full,
            false => ListKind::Delta,
        }
    }
}
