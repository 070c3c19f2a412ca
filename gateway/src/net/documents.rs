//! Documents of the event stream, put in force over the gateway's own file the way a reload puts that file in force.
use super::errors::ConfigurationError;
use super::Gateway;
use crate::bulletin::StoreAttributes;
use crate::config::{ConfigError, FileSet, Loaded};
use crate::deadlines::DeadlineKind;
use crate::system_errors::SystemCallError;
use larchway::MonotonicTime;
use larchway_distribution::configuration::{Candidate, DocumentChange, DocumentId};
use larchway_distribution::EventNumber;
use larchway_endpoints::ListScope;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tracing::{error, info, warn};

/// The time after which documents are tried again for which this machine was short of something.
const SHORTAGE_BACKOFF: Duration = Duration::from_millis(500);

/// The time after which the rest of documents is tried once a part was rejected. Danger: at once, a snapshot with many
/// that cannot be used would hold up one turn of the loop with all of them.
const PENDING_DELAY: Duration = Duration::from_millis(1);

/// The document because of which others that came with it cannot be used either.
struct FaultyDocument {
    id: DocumentId,
    error: ConfigError,
}

impl Gateway {
    /// Puts documents in force, or leaves all as it was; what came with the one at fault is rejected, and the rest is
    /// tried in the next turn.
    pub(super) fn apply_documents(&mut self, now: MonotonicTime, candidate: Candidate) {
        // A later candidate holds all that an earlier one has left.
        self.pending_documents = None;
        match self.try_documents(now, &candidate) {
            Ok(()) => {
                info!(documents = document_names(&candidate), "documents are in force");
                self.events.accept_documents(candidate);
            }
            Err(error) if error.is_local_shortage() => {
                warn!(documents = document_names(&candidate), "{error}; it is tried again");
                self.reject_documents(now, candidate, None, &error);
                self.schedule_documents(now + SHORTAGE_BACKOFF);
            }
            Err(error) => match self.find_faulty_document(&candidate) {
                Some(FaultyDocument { id, error }) => {
                    self.reject_documents(now, candidate, Some(&id), &error.into());
                }
                None => self.reject_documents(now, candidate, None, &error),
            },
        }
    }

    /// Leaves documents out because of one of them, or all if it is not known which.
    fn reject_documents(
        &mut self,
        now: MonotonicTime,
        candidate: Candidate,
        faulty: Option<&DocumentId>,
        error: &ConfigurationError,
    ) {
        let document = faulty.map(DocumentId::to_string).unwrap_or_else(|| document_names(&candidate));
        error!(document, %error, "documents are rejected, and the configuration stays as it was");
        self.pending_documents = self.events.reject_documents(candidate, faulty, &error.to_string());
        if self.pending_documents.is_some() {
            self.schedule_documents(now + PENDING_DELAY);
        }
    }

    /// Tries what is left of documents, or those again for which this machine was short of something.
    pub(super) fn check_documents(&mut self, now: MonotonicTime) {
        self.documents_deadline = None;
        match self.pending_documents.take() {
            Some(candidate) => self.apply_documents(now, candidate),
            None => self.retry_documents(now),
        }
    }

    /// Tries the documents again that were rejected: the file may be another one.
    pub(super) fn retry_documents(&mut self, now: MonotonicTime) {
        self.pending_documents = None;
        if let Some(candidate) = self.events.retry_documents() {
            self.apply_documents(now, candidate);
        }
    }

    /// Puts documents about stores in the place of those in force.
    pub(super) fn override_stores(
        &mut self,
        now: MonotonicTime,
        documents: &BTreeMap<String, StoreAttributes>,
    ) {
        let current = |id| self.manual_ejections.listed(id);
        let endpoints = self.store_overrides.replace(documents, current);
        if !endpoints.is_empty() {
            self.apply_list_entries(now, ListScope::Changes, endpoints);
        }
    }

    fn schedule_documents(&mut self, at: MonotonicTime) {
        self.core.deadlines.reschedule(&mut self.documents_deadline, Some(at), DeadlineKind::Documents);
    }

    /// Reads the file in force anew with these documents over it, and puts that in force.
    fn try_documents(&mut self, now: MonotonicTime, candidate: &Candidate) -> Result<(), ConfigurationError> {
        let Some(files) = &self.files_in_force else { return Ok(()) };
        let loaded = self.load_changes(files, candidate, EventNumber::MAX)?.without_hierarchy();
        let listeners = self.prepare_reload(&loaded)?;
        self.replace_configuration(now, loaded, listeners)
    }

    /// The document with whose event the file cannot be used any more. It is searched for by halving: a snapshot has
    /// hundreds.
    fn find_faulty_document(&self, candidate: &Candidate) -> Option<FaultyDocument> {
        let files = self.files_in_force.as_ref()?;
        let load = |last: EventNumber| self.load_changes(files, candidate, last);
        let numbers: BTreeSet<EventNumber> = candidate.changes().iter().map(|change| change.number).collect();
        let numbers: Vec<EventNumber> = numbers.into_iter().collect();
        let number = *numbers.get(numbers.partition_point(|number| load(*number).is_ok()))?;
        let error = load(number).err()?;
        let change = candidate.changes().iter().find(|change| change.number == number)?;
        Some(FaultyDocument { id: change.id.clone(), error })
    }

    /// The file with those of these documents over it that came up to an event.
    fn load_changes(
        &self,
        files: &FileSet,
        candidate: &Candidate,
        last: EventNumber,
    ) -> Result<Loaded, ConfigError> {
        let changes = candidate.changes().iter().filter(|change| change.number <= last);
        files.load(&self.events.overlay_with(changes))
    }
}

/// The documents of a candidate, as they are logged.
fn document_names(candidate: &Candidate) -> String {
    let name = |change: &DocumentChange| format!("{} {}", change.id, change.version);
    candidate.changes().iter().map(name).collect::<Vec<_>>().join(", ")
}
