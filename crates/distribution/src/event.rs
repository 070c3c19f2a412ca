//! A numbered event of the bulletin, as relays keep it: its text unchanged, and what it concerns.
use larchway::Micros;
use serde::Deserialize;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// The number of an event: 1 for the first of a history, each next one larger by 1.
pub type EventNumber = u64;

/// Number of the first event of a history.
pub const FIRST_EVENT: EventNumber = 1;

/// The largest number of an event: the largest integer that every JSON reader keeps exact (RFC 8259, section 6).
pub const MAX_EVENT_NUMBER: EventNumber = (1 << 53) - 1;

/// The digest of an event's data, by which histories are compared.
pub fn digest(data: &str) -> u64 {
    xxh3_64(data.as_bytes())
}

/// What an event concerns: a later event about the same subject replaces an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A purge of an object.
    Object(u64),
    /// A purge of a group.
    Group(u64),
    /// The whole list of stores.
    Roster,
    /// One store of the list, by its host name.
    Store(String),
}

/// Bytes of an index entry about a store beside its host name.
const STORE_INDEX_BYTES: usize = 64;

impl Subject {
    /// Bytes that the subject takes beside its own size, for bounds on memory.
    pub fn name_bytes(&self) -> usize {
        match self {
            Subject::Store(host) => 2 * (host.len() + STORE_INDEX_BYTES),
            _ => 0,
        }
    }
}

/// Why the text of an event cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventError {
    /// It is not JSON of the expected form; says where.
    Malformed(String),
    /// An object's name is not hexadecimal.
    Object(String),
    /// The number is past [`MAX_EVENT_NUMBER`].
    Number(EventNumber),
}

impl std::fmt::Display for EventError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            EventError::Malformed(why) => write!(f, "an event cannot be read: {why}"),
            EventError::Number(number) => write!(f, "no: {number} is past {MAX_EVENT_NUMBER}"),
            EventError::Object(text) => write!(f, "item: {text:?} is no object"),
        }
    }
}

impl std::error::Error for EventError {}

/// An event as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its number.
    pub number: EventNumber,
    /// Its JSON text, unchanged.
    pub data: Arc<str>,
    /// What it concerns; none for what is not known here, which is passed on all the same.
    pub subjects: Vec<Subject>,
    /// For a purge: when it was issued, µs on the Unix clock.
    pub issued: Option<Micros>,
    /// Hash of the text: two histories that differ at a number have different digests there.
    pub digest: u64,
}

#[derive(Deserialize)]
struct Form {
    no: EventNumber,
    roster: Option<RosterForm>,
    recall: Option<RecallForm>,
}

#[derive(Deserialize)]
struct RosterForm {
    #[serde(default)]
    whole: bool,
    #[serde(default)]
    hosts: Vec<HostForm>,
}

#[derive(Deserialize)]
struct HostForm {
    host: String,
}

#[derive(Deserialize)]
struct RecallForm {
    item: Option<String>,
    #[serde(default)]
    lot: u64,
    issued: f64,
}

impl Event {
    /// Whether it carries stores: the whole list or entries of it.
    pub fn is_list(&self) -> bool {
        self.subjects.iter().any(|subject| matches!(subject, Subject::Roster | Subject::Store(_)))
    }

    /// Reads the text of an event: `no` with `roster`, `recall`, or what is not known here.
    pub fn read(data: &str) -> Result<Event, EventError> {
        let form: Form = serde_json::from_str(data).map_err(|e| EventError::Malformed(e.to_string()))?;
        if form.no > MAX_EVENT_NUMBER {
            return Err(EventError::Number(form.no));
        }
        let issued = form.recall.as_ref().map(|recall| (recall.issued * 1000.0) as Micros);
        let subjects = match (form.roster, form.recall) {
            (Some(RosterForm { whole: true, .. }), _) => vec![Subject::Roster],
            (Some(roster), _) => roster.hosts.into_iter().map(|h| Subject::Store(h.host)).collect(),
            (None, Some(RecallForm { item: Some(item), .. })) => {
                let object = u64::from_str_radix(&item, 16).map_err(|_| EventError::Object(item))?;
                vec![Subject::Object(object)]
            }
            (None, Some(recall)) => vec![Subject::Group(recall.lot)],
            (None, None) => Vec::new(),
        };
        Ok(Event { number: form.no, data: data.into(), subjects, issued, digest: digest(data) })
    }
}
