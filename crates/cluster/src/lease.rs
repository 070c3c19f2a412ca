//! The share of each divided quota that this gateway may use: slow-start budgets, fills at the origin, health checks.
//!
//! Messages between gateways alone cannot distinguish a dead gateway from a partitioned one, so the share of a
//! gateway cannot be reassigned because other gateways consider it dead (`docs/design/fleet.md`). A part of its
//! configured share, the floor, is always its own. The rest of all shares is a pool, divided evenly among the
//! gateways whose ephemeral nodes exist in the ensemble:
//!
//! * L1 A gateway uses the pool only until `lease` after it sent a `sync` that was answered, if its view then contained
//!   at least all nodes that existed when the `sync` was sent.
//! * L2 A gateway whose node was created uses the pool only [`EXPIRY_WAIT`] later: by then every lease granted on a
//!   view without it has expired.
//! * L3 A deleted node is counted for [`EXPIRY_WAIT`] more: by then every lease of its gateway has expired, however
//!   its session ended and whoever ended it. A node that was created and deleted during a disconnection was never
//!   seen; therefore a gateway that has read all nodes again uses the pool only [`EXPIRY_WAIT`] later, too.
//!
//! So each gateway that uses the pool is in the views of all others that use it, and each view counts at least as many
//! nodes as there are users.
pub mod nodes;

use larchway::{duration_micros, MonotonicTime, Quotas, Shares};
use nodes::Nodes;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

pub use nodes::{NodeCounts, MAX_NODES};

/// Longest duration of a lease, whatever a gateway's file says: the wait of L2 must cover the leases of all gateways.
pub const MAX_LEASE: Duration = Duration::from_secs(2);
/// Time after which every lease has expired: the longest lease, plus an eighth for clock drift.
pub const EXPIRY_WAIT: Duration = Duration::from_micros(duration_micros(MAX_LEASE) / 8 * 9);

/// Settings of a lease.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseSettings {
    /// Part of each configured share that is not in the pool, from 0 to 1.
    pub floor: f64,
    /// How long a lease lasts, at most [`MAX_LEASE`].
    pub lease: Duration,
    /// Time between the creation of this gateway's node and its first use of the pool (L2).
    pub first_use_delay: Duration,
    /// Time for which a deleted node is still counted (L3), at most [`EXPIRY_WAIT`].
    pub deleted_node_hold: Duration,
}

impl LeaseSettings {
    /// The settings from the operators' file.
    pub fn from_file(file: &crate::FleetFile) -> Self {
        LeaseSettings {
            floor: file.floor,
            lease: Duration::from_millis(file.lease_ms).min(MAX_LEASE),
            first_use_delay: EXPIRY_WAIT,
            deleted_node_hold: EXPIRY_WAIT,
        }
    }
}

/// The configured number of gateways.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct ClusterSize {
    /// Gateways of the whole tier.
    pub all: u64,
    /// Gateways of this gateway's zone.
    pub own_zone: u64,
    /// The index of this gateway's zone.
    pub zone: usize,
}

/// An event of the session with the ensemble.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// This gateway's node was created in the current session.
    Registered,
    /// The session has ended or is about to be closed, so this gateway's node is or will be deleted.
    SessionEnded,
    /// The node of a gateway exists.
    NodeAppeared {
        /// The name of the node.
        name: String,
        /// The index of the gateway's zone; `usize::MAX` if unknown.
        zone: usize,
    },
    /// The node with this name was deleted.
    NodeGone(String),
    /// Reading of all nodes has begun: those that have not appeared by [`Input::RereadComplete`] were deleted.
    RereadStarted,
    /// All nodes have been read.
    RereadComplete,
    /// The server has answered a `sync` sent at this time, and all events before it have been handled.
    Synced(MonotonicTime),
    /// The ensemble was restored to an older state: its answers may lack nodes that existed.
    Rewound,
}

/// The lease of one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lease {
    size: ClusterSize,
    /// When this gateway's node was created in the current session.
    registered_at: Option<MonotonicTime>,
    /// When the last reading of all nodes began.
    reread_at: MonotonicTime,
    /// When the latest answered `sync` was sent, if the view was complete.
    synced_at: Option<MonotonicTime>,
    /// The gateways' nodes, at most [`MAX_NODES`].
    nodes: Nodes,
    /// Whether the last reading of all nodes is complete.
    view_complete: bool,
    /// Nodes that have not appeared since the last reading began, at most [`MAX_NODES`].
    stale: BTreeSet<Arc<str>>,
}

impl Lease {
    /// A lease that is not held.
    pub fn new(size: ClusterSize) -> Self {
        Lease {
            size,
            registered_at: None,
            reread_at: MonotonicTime::MIN,
            synced_at: None,
            nodes: Nodes::default(),
            view_complete: false,
            stale: BTreeSet::new(),
        }
    }

    /// Applies the number of gateways of a new configuration.
    pub fn configure(&mut self, size: ClusterSize) {
        self.size = size;
    }

    /// Handles an event of the session.
    pub fn handle(&mut self, now: MonotonicTime, input: Input) {
        self.nodes.remove_expired(now);
        match input {
            Input::Registered => self.registered_at = Some(now),
            Input::SessionEnded => (self.registered_at, self.synced_at) = (None, None),
            Input::NodeAppeared { name, zone } => {
                self.stale.remove(name.as_str());
                self.nodes.insert(name.into(), zone);
            }
            Input::NodeGone(name) => self.nodes.mark_deleted(now, &name.into()),
            Input::RereadStarted => {
                (self.view_complete, self.reread_at) = (false, now);
                self.stale = self.nodes.names().collect();
            }
            Input::RereadComplete => {
                self.view_complete = true;
                for name in std::mem::take(&mut self.stale) {
                    self.nodes.mark_deleted(now, &name);
                }
            }
            Input::Synced(sent_at) => {
                // L1: the view must contain all nodes that existed when the sync was sent.
                if self.view_complete && self.registered_at.is_some_and(|created_at| created_at <= sent_at) {
                    self.synced_at = self.synced_at.max(Some(sent_at));
                }
            }
            Input::Rewound => {
                // Other gateways may have lost this gateway's node from their views, so L2 applies again from now on.
                self.registered_at = self.registered_at.map(|_| now);
                self.synced_at = None;
            }
        }
    }

    /// The number of nodes, including those deleted less than [`LeaseSettings::deleted_node_hold`] ago; nodes of an
    /// unknown zone are counted in every zone.
    pub fn node_counts(&self, settings: &LeaseSettings, now: MonotonicTime) -> NodeCounts {
        self.nodes.counts(self.size.zone, now, settings.deleted_node_hold)
    }

    /// The number of stored nodes, including deleted ones that are still counted; at most [`MAX_NODES`].
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Bytes of memory that the nodes take.
    pub fn memory_bytes(&self) -> usize {
        self.nodes.memory_bytes()
    }

    /// The configured shares of the quotas divided by all gateways and by those of the zone; they apply where no pool
    /// is leased.
    pub fn configured_share(&self) -> Shares {
        Shares {
            of_all: 1.0 / self.size.all.max(1) as f64,
            of_own_zone: 1.0 / self.size.own_zone.max(1) as f64,
        }
    }

    /// The shares that the gateway may use until the lease expires, and those from then on.
    pub fn share(&self, settings: &LeaseSettings, now: MonotonicTime) -> Quotas {
        let configured = self.configured_share();
        let floor = Shares {
            of_all: settings.floor * configured.of_all,
            of_own_zone: settings.floor * configured.of_own_zone,
        };
        let counts = self.node_counts(settings, now);
        let pool = 1.0 - settings.floor;
        let with_pool = Shares {
            of_all: floor.of_all + pool / counts.all.max(1) as f64,
            of_own_zone: floor.of_own_zone + pool / counts.in_zone.max(1) as f64,
        };
        Quotas { until: self.expires_at(settings, now), leased: with_pool, unleased: floor }
    }

    /// Whether the pool may be used now.
    pub fn is_held(&self, settings: &LeaseSettings, now: MonotonicTime) -> bool {
        now < self.expires_at(settings, now)
    }

    /// Until when the pool may be used; [`MonotonicTime::MIN`] if it may not be used.
    fn expires_at(&self, settings: &LeaseSettings, now: MonotonicTime) -> MonotonicTime {
        let is_first_use_delay_over =
            self.registered_at.is_some_and(|created_at| created_at + settings.first_use_delay <= now);
        let is_reread_hold_over = self.reread_at + settings.deleted_node_hold <= now;
        match self.synced_at {
            Some(sent_at) if is_first_use_delay_over && is_reread_hold_over && self.view_complete => {
                sent_at + settings.lease
            }
            _ => MonotonicTime::MIN,
        }
    }
}
