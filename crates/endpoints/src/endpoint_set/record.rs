//! What is recorded of one endpoint.
use super::pools::{PoolId, PoolMembership};
use crate::damping::Damping;
use crate::endpoint::Endpoint;
use crate::evidence::AttemptRecord;
use crate::reason::Reason;
use crate::status::RosterEntry;
use larchway::{MonotonicTime, State};
use std::collections::BTreeMap;

/// Limit on the nodes of one endpoint; one that registers again has two for a while. The oldest is dropped.
pub(super) const MAX_NODES_PER_ENDPOINT: usize = 8;

/// What the list says of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum ListRecord {
    NeverListed,
    Listed { changed_at: MonotonicTime, endpoint: Endpoint },
    Removed { at: MonotonicTime },
}

impl ListRecord {
    pub(super) fn is_listed(&self) -> bool {
        matches!(self, ListRecord::Listed { .. })
    }
}

/// A node of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct NodeRecord {
    pub(super) changed_at: MonotonicTime,
    pub(super) endpoint: Endpoint,
    pub(super) session: i64,
    /// Known only from a snapshot, or from before a reread that is not complete.
    pub(super) unconfirmed: bool,
}

impl NodeRecord {
    pub(super) fn is_draining(&self) -> bool {
        self.endpoint.host.state == State::Draining
    }
}

/// The loss of an endpoint's last node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Departure {
    pub(super) at: MonotonicTime,
    /// Whether the node said that the endpoint was draining.
    pub(super) after_drain: bool,
    /// Whether very many other sessions ended at the same time.
    pub(super) in_mass_departure: bool,
    pub(super) session: i64,
    /// Whether there was another departure lately; there is no grace period then.
    pub(super) repeated: bool,
}

/// What is recorded of one endpoint.
#[derive(Debug, Clone)]
pub(super) struct EndpointRecord {
    /// As last described by any source.
    pub(super) latest: Endpoint,
    pub(super) list: ListRecord,
    /// Its nodes by name, at most [`MAX_NODES_PER_ENDPOINT`].
    pub(super) nodes: BTreeMap<String, NodeRecord>,
    pub(super) departure: Option<Departure>,
    pub(super) attempts: AttemptRecord,
    pub(super) damping: Damping,
    /// Latest start of its process that a source has reported; [`MonotonicTime::MIN`] if none has.
    pub(super) reported_start: MonotonicTime,
    /// Start of its process as published; [`MonotonicTime::MIN`] if it started long ago.
    pub(super) started: MonotonicTime,
    pub(super) first_seen: MonotonicTime,
    /// Whether it was in service in the restored snapshot.
    pub(super) restored: bool,
    /// Number of its process, counted from 1.
    pub(super) incarnation: u32,
    pub(super) membership: PoolMembership,
    /// Its state and the reason for it, and since when it has had both.
    pub(super) status: RosterEntry,
    pub(super) status_since: MonotonicTime,
    /// Since when it is not up.
    pub(super) out_since: Option<MonotonicTime>,
    /// As last published; none if it has not been published or was published as removed.
    pub(super) published: Option<Endpoint>,
}

impl EndpointRecord {
    /// The record of an endpoint that has just become known.
    pub(super) fn new(now: MonotonicTime, endpoint: Endpoint, started: MonotonicTime) -> Self {
        EndpointRecord {
            membership: PoolMembership { pool: PoolId::of(&endpoint.host), in_service: false },
            reported_start: endpoint.host.started,
            latest: endpoint,
            list: ListRecord::NeverListed,
            nodes: BTreeMap::new(),
            departure: None,
            attempts: AttemptRecord::default(),
            damping: Damping::default(),
            started,
            first_seen: now,
            restored: false,
            incarnation: 1,
            status: RosterEntry { state: State::Removed, reason: Reason::Unknown },
            status_since: now,
            out_since: None,
            published: None,
        }
    }

    /// Adds or replaces a node. Returns the name of the node that was dropped for it, if any.
    pub(super) fn insert_node(&mut self, name: String, mut node: NodeRecord) -> Option<String> {
        let mut dropped = None;
        match self.nodes.get(&name) {
            Some(known) if known.endpoint == node.endpoint && known.session == node.session => {
                node.changed_at = known.changed_at;
            }
            None if self.nodes.len() >= MAX_NODES_PER_ENDPOINT => dropped = self.oldest_node(),
            _ => {}
        }
        if let Some(oldest) = &dropped {
            self.nodes.remove(oldest);
        }
        self.nodes.insert(name, node);
        dropped
    }

    fn oldest_node(&self) -> Option<String> {
        self.nodes.iter().min_by_key(|(_, node)| node.changed_at).map(|(name, _)| name.clone())
    }

    /// What is published of the endpoint in this state: the latest description by any source, and the start of its
    /// process.
    pub(super) fn to_publish(&self, state: State) -> Endpoint {
        let listed = match &self.list {
            ListRecord::Listed { changed_at, endpoint } => Some((*changed_at, endpoint)),
            _ => None,
        };
        let described = self.nodes.values().map(|node| (node.changed_at, &node.endpoint)).chain(listed);
        let latest = described.max_by_key(|(at, _)| *at).map_or(&self.latest, |(_, endpoint)| endpoint);
        let mut endpoint = latest.clone();
        endpoint.host.state = state;
        endpoint.host.started = self.started;
        endpoint
    }
}
