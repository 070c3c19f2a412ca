//! Applies configuration documents of the event stream as an overlay on the gateway's own files, in the way of a
//! reload.
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

/// Delay before documents that failed because of a local shortage are tried again.
const SHORTAGE_BACKOFF: Duration = Duration::from_millis(500);

/// Delay before the remaining documents are tried after some were rejected. Trying them at once would block one
/// iteration of the event loop for as long as a snapshot with many invalid documents takes.
const PENDING_DELAY: Duration = Duration::from_millis(1);

/// The document that makes a candidate invalid.
struct FaultyDocument {
    id: DocumentId,
    error: ConfigError,
}

impl Gateway {
    /// Applies the documents of a candidate, or leaves the configuration unchanged: then the documents of the faulty
    /// document's event are rejected, and the others are tried in a later iteration.
    pub(super) fn apply_documents(&mut self, now: MonotonicTime, candidate: Candidate) {
        // A later candidate contains what remains of an earlier one.
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

    /// Rejects documents because of the faulty one, or all of them if it is not known which one is faulty.
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

    /// Tries the remaining documents, or retries those that failed because of a local shortage.
    pub(super) fn check_documents(&mut self, now: MonotonicTime) {
        self.documents_deadline = None;
        match self.pending_documents.take() {
            Some(candidate) => self.apply_documents(now, candidate),
            None => self.retry_documents(now),
        }
    }

    /// Retries rejected documents: they may be valid with changed files.
    pub(super) fn retry_documents(&mut self, now: MonotonicTime) {
        self.pending_documents = None;
        if let Some(candidate) = self.events.retry_documents() {
            self.apply_documents(now, candidate);
        }
    }

    /// Replaces the store documents in force and applies the endpoints that change with them.
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

    /// Loads the files in force with these documents as an overlay, and applies the result.
    fn try_documents(&mut self, now: MonotonicTime, candidate: &Candidate) -> Result<(), ConfigurationError> {
        let Some(files) = &self.files_in_force else { return Ok(()) };
        let loaded = self.load_changes(files, candidate, EventNumber::MAX)?.without_hierarchy();
        let listeners = self.prepare_reload(&loaded)?;
        self.replace_configuration(now, loaded, listeners)
    }

    /// Finds the first event whose documents make the files invalid, by binary search, since a snapshot has hundreds of
    /// documents.
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

    /// Loads the files with an overlay of the candidate's documents up to the event number `last`.
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

/// The ids and versions of a candidate's documents, for the log.
fn document_names(candidate: &Candidate) -> String {
    let name = |change: &DocumentChange| format!("{} {}", change.id, change.version);
    candidate.changes().iter().map(name).collect::<Vec<_>>().join(", ")
}
