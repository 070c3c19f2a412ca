//! The merge of all views of the endpoints into one roster.
//!
//! Inputs change the records (`record`); each endpoint whose record has changed, or whose timer has fired, is
//! reviewed: the rules of `decision` give its state, and a state that has changed is published.
mod decision;
mod list_source;
mod node_source;
mod persistence;
mod pools;
mod process;
mod publication;
mod record;
mod review;
mod status_rows;
mod timers;

pub use crate::endpoint::MAX_ENDPOINTS;
use crate::evidence::EndpointEvidence;
use crate::gateway_counts::GatewayCounts;
use crate::input::{Connectivity, Input, Source};
use crate::mass_departure::MassDepartureDetector;
use crate::output::{LogEvent, Output};
use crate::policy::Policy;
use crate::status::{PublishedRoster, RosterEntry, SourceStatus};
use imbl::OrdMap;
use larchway::{MonotonicTime, ServerId};
use pools::Pools;
use publication::Publication;
pub use publication::MAX_HISTORY;
use record::EndpointRecord;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use timers::ReviewTimers;

/// The least time between two moments.
const INSTANT: Duration = Duration::from_micros(1);

/// The endpoints known to this gateway, and the state that each of them has.
#[derive(Debug, Clone)]
pub struct EndpointSet {
    policy: Policy,
    records: BTreeMap<ServerId, EndpointRecord>,
    endpoint_of_node: BTreeMap<String, ServerId>,
    pools: Pools,
    timers: ReviewTimers,
    /// Endpoints whose last node is gone.
    departed: BTreeSet<ServerId>,
    mass_departures: MassDepartureDetector,
    /// Whether the service was restored to an older state, and not all nodes have been read since.
    rewound: bool,
    gateways: GatewayCounts,
    published_gateways: BTreeMap<usize, u64>,
    list: SourceStatus,
    last_list_heartbeat: MonotonicTime,
    nodes: SourceStatus,
    publication: Publication,
    cold_starts: u64,
}

impl EndpointSet {
    /// A set without endpoints.
    pub fn new(policy: Policy) -> Self {
        EndpointSet {
            policy,
            records: BTreeMap::new(),
            endpoint_of_node: BTreeMap::new(),
            pools: Pools::default(),
            timers: ReviewTimers::default(),
            departed: BTreeSet::new(),
            mass_departures: MassDepartureDetector::default(),
            rewound: false,
            gateways: GatewayCounts::default(),
            published_gateways: BTreeMap::new(),
            list: SourceStatus::default(),
            last_list_heartbeat: MonotonicTime::MIN,
            nodes: SourceStatus::default(),
            publication: Publication::default(),
            cold_starts: 0,
        }
    }

    /// The policy in force.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// The time at which [`Input::Tick`] has to be fed, if any.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        self.timers.next_due().into_iter().chain(self.gateways.next_due()).min()
    }

    /// The number of known endpoints, including those that have departed.
    pub fn endpoint_count(&self) -> usize {
        self.records.len()
    }

    /// How many processes were found to have started since their endpoint became known.
    pub fn cold_starts(&self) -> u64 {
        self.cold_starts
    }

    /// The endpoints that are not removed, as published.
    pub fn roster(&self) -> &OrdMap<ServerId, RosterEntry> {
        self.publication.roster()
    }

    /// The last published rosters (at most [`MAX_HISTORY`]), the oldest first.
    pub fn history(&self) -> impl Iterator<Item = &PublishedRoster> {
        self.publication.history()
    }

    /// The state of a source.
    pub fn source_status(&self, source: Source) -> SourceStatus {
        match source {
            Source::List => self.list,
            Source::Nodes => self.nodes,
        }
    }

    /// Applies an input, reviews the endpoints that are due, and appends what has to be done to `outputs`.
    pub fn handle(&mut self, now: MonotonicTime, input: Input, outputs: &mut Vec<Output>) {
        self.apply_input(now, input, outputs);
        while let Some(id) = self.timers.pop_due(now) {
            self.review(now, id, outputs);
        }
        self.publish_gateways(now, outputs);
        self.publish_changes(now, outputs);
    }

    fn apply_input(&mut self, now: MonotonicTime, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::List { scope, endpoints } => self.update_list(now, scope, endpoints, outputs),
            Input::Heartbeat(Source::List) => self.list_heartbeat(now, outputs),
            Input::Heartbeat(Source::Nodes) | Input::Tick => {}
            Input::Connection(source, connectivity) => {
                self.set_connectivity(now, source, connectivity, outputs);
            }
            Input::NodeAppeared { node, endpoint, session } => {
                self.node_appeared(now, node, endpoint, session, outputs);
            }
            Input::NodeUnreadable { node, error } => {
                outputs.push(Output::Log(LogEvent::NodeUnreadable { node, error }));
            }
            Input::NodeGone(node) => self.node_gone(now, &node, outputs),
            Input::NodesComplete => self.nodes_complete(now, outputs),
            Input::Rewound => self.rewound = true,
            Input::RereadStarted => self.start_reread(),
            Input::Evidence(evidence) => self.record_evidence(now, evidence, outputs),
            Input::GatewayAppeared { node, zone } => self.gateways.add(now, &node, zone),
            Input::GatewayGone(node) => self.gateways.remove(now, &node),
            Input::GatewaysComplete => self.gateways.finish_reread(now),
            Input::Policy(policy) => {
                self.policy = policy;
                self.review_all(now, outputs);
            }
            Input::Restore(snapshot) => self.restore(now, snapshot, outputs),
        }
    }

    fn set_connectivity(
        &mut self,
        now: MonotonicTime,
        source: Source,
        connectivity: Connectivity,
        outputs: &mut Vec<Output>,
    ) {
        let connected = connectivity.is_connected();
        match source {
            Source::List => {
                self.list.connected = connected;
                if connected {
                    self.last_list_heartbeat = self.last_list_heartbeat.max(now);
                }
                // Only a list that can be reached outweighs the end of a session.
                self.review_departed(now, outputs);
            }
            Source::Nodes => {
                self.nodes.connected = connected;
                self.gateways.set_connectivity(now, connectivity);
            }
        }
    }

    fn record_evidence(&mut self, now: MonotonicTime, evidence: EndpointEvidence, outputs: &mut Vec<Output>) {
        let EndpointEvidence { server: id, evidence } = evidence;
        let Some(record) = self.records.get_mut(&id) else { return };
        record.attempts.record(now, evidence);
        // Evidence arrives with every request, and decides nothing about an endpoint that is up and has its nodes.
        if record.departure.is_some() || !record.membership.in_service {
            self.review(now, id, outputs);
        }
    }

    fn publish_gateways(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        let counts = self.gateways.counts(now);
        if counts != self.published_gateways {
            self.published_gateways.clone_from(&counts);
            outputs.push(Output::Gateways(counts));
        }
    }
}
