//! The share that this gateway may use of what all gateways divide: cold budgets, fills at the origin, health checks.
//!
//! Messages between gateways alone cannot distinguish a dead one from one that is partitioned, so what a gateway may
//! use cannot be taken over because others say so (`docs/design/fleet.md`). A part of its configured share, the floor,
//! is always its own. The rest of all shares is a pool, divided evenly among the gateways whose ephemeral nodes exist.
//! The ensemble is the arbiter:
//!
//! * L1 A gateway uses the pool only until `lease` after it sent a `sync` that was answered, and its view of the nodes
//!   then held at least all that existed when it sent it.
//! * L2 A gateway whose node was created uses the pool only [`EXPIRY_WAIT`] later: by then every lease granted on a
//!   view without it has expired.
//! * L3 A deleted node counts for [`EXPIRY_WAIT`] more: by then every lease of its gateway has expired, however its
//!   session ended, and whoever ended it. A node that was created and deleted during a disconnection was never seen; so
//!   after the nodes were read again the pool is used only [`EXPIRY_WAIT`] later, too.
//!
//! So whoever uses the pool is in the view of all who do, and no view is smaller than the number of users.
pub mod nodes;

use larchway::{duration_micros, MonotonicTime, Quotas, Shares};
use nodes::Nodes;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

pub use nodes::{NodeCounts, MAX_NODES};

/// How long a lease lasts at most, whatever a file says: the wait of L2 holds for the files of all gateways.
pub const MAX_LEASE: Duration = Duration::from_secs(2);
/// Time after which every lease has expired: the longest lease, and an eighth for clocks that drift.
pub const EXPIRY_WAIT: Duration = Duration::from_micros(duration_micros(MAX_LEASE) / 8 * 9);

/// The settings of a lease.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseSettings {
    /// The part of each configured share that is never lent, from 0 to 1.
    pub floor: f64,
    /// How long a lease lasts, at most [`MAX_LEASE`].
    pub lease: Duration,
    /// Time between the creation of the own node and the first use of the pool.
    pub first_use_delay: Duration,
    /// Time for which a deleted node counts.
    pub deleted_node_hold: Duration,
}

impl LeaseSettings {
    /// The settings by the operators' file.
    pub fn from_file(file: &crate::FleetFile) -> Self {
        LeaseSettings {
            floor: file.floor,
            lease: Duration::from_millis(file.lease_ms).min(MAX_LEASE),
            first_use_delay: EXPIRY_WAIT,
            deleted_node_hold: EXPIRY_WAIT,
        }
    }
}

/// The number of gateways by the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct ClusterSize {
    /// All of the tier.
    pub all: u64,
    /// Those of the own zone.
    pub own_zone: u64,
    /// The own zone.
    pub zone: usize,
}

/// An event of the session with the ensemble.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// The own node was created under the current session.
    Registered,
    /// The session has ended, or is about to be closed: the own node is deleted, or will be.
    SessionEnded,
    /// The node of a gateway exists.
    NodeAppeared {
        /// Its name.
        name: String,
        /// The zone of the gateway.
        zone: usize,
    },
    /// The node of this name is deleted.
    NodeGone(String),
    /// All nodes are read again: those that do not appear until the end were deleted.
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
    /// When the own node was created.
    registered_at: Option<MonotonicTime>,
    /// When the nodes were last read again.
    reread_at: MonotonicTime,
    /// When the last `sync` that was answered was sent.
    synced_at: Option<MonotonicTime>,
    /// The gateways' nodes, at most [`MAX_NODES`].
    nodes: Nodes,
    /// Whether all nodes have been read since the last reading began.
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

    /// Takes the number of gateways of a new configuration.
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
                // L1: the view must hold all nodes that existed when the sync was sent.
                if self.view_complete && self.registered_at.is_some_and(|created_at| created_at <= sent_at) {
                    self.synced_at = self.synced_at.max(Some(sent_at));
                }
            }
            Input::Rewound => {
                // As if the own node had only now been created: the others may have lost sight of it.
                self.registered_at = self.registered_at.map(|_| now);
                self.synced_at = None;
            }
        }
    }

    /// How many nodes count, those deleted less than `hold` ago among them; one of an unknown zone counts for any.
    pub fn node_counts(&self, settings: &LeaseSettings, now: MonotonicTime) -> NodeCounts {
        self.nodes.counts(self.size.zone, now, settings.deleted_node_hold)
    }

    /// How many nodes are stored, deleted ones that still count among them; at most [`MAX_NODES`].
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Bytes of memory that the nodes take.
    pub fn memory_bytes(&self) -> usize {
        self.nodes.memory_bytes()
    }

    /// The configured share, of what all divide and of what the own zone divides: used where nothing is lent.
    pub fn configured_share(&self) -> Shares {
        Shares {
            of_all: 1.0 / self.size.all.max(1) as f64,
            of_own_zone: 1.0 / self.size.own_zone.max(1) as f64,
        }
    }

    /// Until when the pool may be used, and the shares that the gateway may use until then and afterwards.
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

    /// Until when the pool may be used, [`MonotonicTime::MIN`] if it may not be.
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
