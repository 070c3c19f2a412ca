//! The report of membership for operators, as JSON. Its keys are those of `docs/operate/membership.md`.
use super::Membership;
use imbl::ordmap::DiffItem;
use larchway::{MonotonicTime, ServerId};
use larchway_endpoints::reason::state_name;
use larchway_endpoints::status::{EndpointStatus, PublishedRoster, RosterEntry, SourceStatus};
use larchway_endpoints::Source;
use serde::Serialize;
use std::collections::BTreeMap;

/// Most changes of the roster in a report.
const MAX_REPORTED_CHANGES: usize = 20;

#[derive(Serialize)]
struct Report {
    name: String,
    session: SessionReport,
    list: SourceReport,
    nodes: SourceReport,
    #[serde(rename = "boxes")]
    endpoints: Vec<EndpointStatus>,
    /// The last changes of the roster, the latest first.
    changes: Vec<RosterChange>,
}

#[derive(Serialize)]
struct SessionReport {
    id: String,
    #[serde(rename = "contact")]
    connected: bool,
    server: Option<String>,
    registered: bool,
    zxid: String,
}

#[derive(Serialize)]
struct SourceReport {
    ready: bool,
    #[serde(rename = "contact")]
    connected: bool,
}

impl From<SourceStatus> for SourceReport {
    fn from(status: SourceStatus) -> Self {
        SourceReport { ready: status.ready, connected: status.connected }
    }
}

/// The difference between a roster and the previous one.
#[derive(Serialize)]
struct RosterChange {
    ago_ms: u64,
    /// Descriptions of the changed endpoints.
    #[serde(rename = "boxes")]
    endpoints: Vec<String>,
}

/// The names of endpoints, by their ids.
struct EndpointNames(BTreeMap<String, String>);

impl EndpointNames {
    /// The name of an endpoint, or its id where no name is known.
    fn name(&self, server: ServerId) -> String {
        let id = format!("{server:08x}");
        self.0.get(&id).cloned().unwrap_or(id)
    }

    fn describe(&self, change: &DiffItem<'_, '_, ServerId, RosterEntry>) -> String {
        match change {
            DiffItem::Add(server, entry) | DiffItem::Update { new: (server, entry), .. } => {
                format!("{} {}: {}", self.name(**server), state_name(entry.state), entry.reason.description())
            }
            DiffItem::Remove(server, _) => format!("{} out", self.name(**server)),
        }
    }
}

impl Membership {
    /// The report for operators, as JSON.
    pub fn report(&self, now: MonotonicTime) -> String {
        let endpoints = self.endpoints.statuses(now);
        let report = Report {
            name: self.own.name.clone(),
            session: self.session_report(),
            list: self.endpoints.source_status(Source::List).into(),
            nodes: self.endpoints.source_status(Source::Nodes).into(),
            changes: self.roster_changes(now, &endpoints),
            endpoints,
        };
        let failure = |error: serde_json::Error| format!("{{\"error\":{:?}}}", error.to_string());
        serde_json::to_string(&report).unwrap_or_else(failure)
    }

    fn session_report(&self) -> SessionReport {
        let session = self.client.session();
        SessionReport {
            id: format!("{:#x}", session.id()),
            connected: self.connected,
            server: self.last_server.filter(|_| self.connected).map(|server| server.to_string()),
            registered: self.client.registered(),
            zxid: format!("{:#x}", session.last_zxid()),
        }
    }

    /// The last changes of the roster, the latest first.
    fn roster_changes(&self, now: MonotonicTime, endpoints: &[EndpointStatus]) -> Vec<RosterChange> {
        let names = endpoints.iter().map(|endpoint| (endpoint.id.clone(), endpoint.name.clone()));
        let names = EndpointNames(names.collect());
        let history: Vec<&PublishedRoster> = self.endpoints.history().collect();
        let change = |pair: &[&PublishedRoster]| {
            let (old, new) = (pair[0], pair[1]);
            RosterChange {
                ago_ms: now.saturating_since(new.published_at).as_millis() as u64,
                endpoints: old.endpoints.diff(&new.endpoints).map(|item| names.describe(&item)).collect(),
            }
        };
        history.windows(2).rev().take(MAX_REPORTED_CHANGES).map(change).collect()
    }
}
