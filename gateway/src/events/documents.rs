//! The documents of the event stream at this gateway: what is in force, what is to be tried, and what is rejected.
use crate::config::{Overlay, OverlayDocument};
use larchway_distribution::configuration::{
    Candidate, Document, DocumentChange, DocumentId, DocumentsEvent, GatewayDocuments, RejectedVersion,
    Rejection,
};
use larchway_distribution::positions::PositionReport;
use larchway_distribution::EventNumber;
use miniserde::json;
use serde::Serialize;
use std::collections::BTreeMap;

/// What the next event follows on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Continuity {
    /// The events before it, all of which came.
    Complete,
    /// A gap, or a history begun anew.
    Gap,
}

/// The documents of the event stream, where they are applied.
#[derive(Debug)]
pub struct Documents {
    name: String,
    zone: String,
    state: GatewayDocuments,
    continuity: Continuity,
    /// Events passed over since the last one that was applied, because they could not be read.
    passed_over: u64,
    /// Candidates accepted since the start.
    applied: u64,
    /// Candidates rejected since the start.
    rejected: u64,
}

/// What operators see of the documents. The names of its fields are those of the console.
#[derive(Debug, Serialize)]
pub(super) struct DocumentsReport {
    in_force: Vec<DocumentInForce>,
    rejections: Vec<RejectedVersion>,
    applied: u64,
    rejected: u64,
}

/// A document in force, as operators see it.
#[derive(Debug, Serialize)]
struct DocumentInForce {
    kind: &'static str,
    name: String,
    version: u64,
    stage: u32,
}

impl Documents {
    /// Those of a gateway of this name in this zone; none has come yet.
    pub(super) fn new(name: &str, zone: &str) -> Documents {
        Documents {
            name: name.to_string(),
            zone: zone.to_string(),
            state: GatewayDocuments::new(name, zone),
            continuity: Continuity::Complete,
            passed_over: 0,
            applied: 0,
            rejected: 0,
        }
    }

    /// The next event is passed over: it cannot be read, and neither can documents that it may carry.
    pub(super) fn passed_over(&mut self) {
        self.passed_over += 1;
    }

    /// So many events are missing before the next one; none: it is of another history. Danger: those that were passed
    /// over would count as missing too, and one bad entry of a list would drop all documents.
    pub(super) fn missed(&mut self, events: Option<u64>) {
        if events.is_none_or(|events| events > self.passed_over) {
            self.continuity = Continuity::Gap;
        }
    }

    /// Takes in the next event, with the documents that it carries. Returns what is to be tried, if anything.
    pub(super) fn take(&mut self, number: EventNumber, event: Option<DocumentsEvent>) -> Option<Candidate> {
        self.passed_over = 0;
        match (std::mem::replace(&mut self.continuity, Continuity::Complete), event) {
            (Continuity::Gap, event) => self.state.handle_gap(number, event),
            (Continuity::Complete, Some(event)) => self.state.handle(number, event),
            (Continuity::Complete, None) => None,
        }
    }

    /// A candidate is in force.
    pub(super) fn accept(&mut self, candidate: Candidate) {
        self.applied += 1;
        self.state.accept(candidate);
    }

    /// A candidate cannot be put in force, because of this document if that is known. Returns what is to be tried next.
    pub(super) fn reject(
        &mut self,
        candidate: Candidate,
        fault: Option<&DocumentId>,
        reason: &str,
    ) -> Option<Candidate> {
        self.rejected += 1;
        self.state.reject(candidate, fault, reason)
    }

    /// Returns the rejected versions, to be tried again.
    pub(super) fn retry(&mut self) -> Option<Candidate> {
        self.state.retry()
    }

    /// Whether nothing is left to be tried, so that the position may be reported.
    pub(super) fn is_settled(&self) -> bool {
        self.state.is_settled()
    }

    /// The gateway's report of its position, with the versions that it rejects.
    pub(super) fn add_to_report(&self, report: PositionReport) -> PositionReport {
        let mut report = report.with_rejections(self.state.rejections());
        report.rejections_omitted |= self.state.rejections_omitted();
        report
    }

    /// The versions that are rejected.
    fn rejections(&self) -> Vec<RejectedVersion> {
        let of_gateway = |rejection: &Rejection| RejectedVersion::of_gateway(&self.name, rejection);
        self.state.rejections().map(of_gateway).collect()
    }

    /// The documents in force, to be laid over the file.
    pub(super) fn overlay(&self) -> Overlay {
        overlay(self.state.in_force())
    }

    /// The documents that would be in force with these changes.
    pub(super) fn overlay_with<'a>(&'a self, changes: impl Iterator<Item = &'a DocumentChange>) -> Overlay {
        let mut documents: BTreeMap<&DocumentId, &Document> =
            self.state.in_force().map(|document| (&document.id, document)).collect();
        for change in changes {
            match &change.document {
                Some(document) => documents.insert(&change.id, document),
                None => documents.remove(&change.id),
            };
        }
        overlay(documents.into_values())
    }

    /// What operators see.
    pub(super) fn report(&self) -> DocumentsReport {
        let in_force = self.state.in_force().map(|document| DocumentInForce {
            kind: document.id.kind.name(),
            name: document.id.name.clone(),
            version: document.version.version,
            stage: document.version.stage,
        });
        DocumentsReport {
            in_force: in_force.collect(),
            rejections: self.rejections(),
            applied: self.applied,
            rejected: self.rejected,
        }
    }

    /// Whether they are those of a gateway of this name in this zone.
    pub(super) fn are_of(&self, name: &str, zone: &str) -> bool {
        self.name == name && self.zone == zone
    }
}

/// The documents that have a content, as JSON. What the stream carried as JSON can be parsed.
fn overlay<'a>(documents: impl Iterator<Item = &'a Document>) -> Overlay {
    let parsed = documents.filter_map(|document| {
        let content = json::from_str(document.content.as_deref()?).ok()?;
        Some(OverlayDocument { id: document.id.clone(), content })
    });
    Overlay::new(parsed.collect())
}
