//! What share of all that is divided among the gateways this one may use: cold budgets, fills at the origin, probes.
//!
//! Messages between gateways alone cannot tell a dead one from one that is cut off, so what a gateway may use cannot be
//! taken up by others on their word (`docs/design/fleet.md`). A part of its configured share, the floor, is a gateway's
//! own always. The rest of all shares is a pool, divided evenly among those whose ephemeral nodes stand. The ensemble
//! is the arbiter:
//!
//! * L1 A gateway uses the pool only until `lease` after it asked for a `sync` that was answered, and its view of the
//!   nodes then held at least all that stood when it asked.
//! * L2 A gateway whose node was made uses the pool only [`WAIT`] later: by then every lease given on a view without it
//!   has lapsed.
//! * L3 A node that is gone counts for [`WAIT`] more: by then every lease of its gateway has lapsed, however its session
//!   ended, and whoever ended it. One that came and went while there was no contact was never seen; so after a new reading
//!   the pool is used only [`WAIT`] later, too.
//!
//! So whoever uses the pool stands in the view of all who do, and no view is smaller than the number of users.
pub mod nodes;

use larchway::{Micros, Shares};
use nodes::Nodes;
use std::collections::BTreeSet;
use std::sync::Arc;

pub use nodes::MOST_NODES;

/// µs that a lease lasts at most, whatever a file says: the wait of L2 holds for the files of all gateways.
pub const LONGEST: Micros = 2_000_000;
/// µs between the own node and the first use of the pool, and for which one that is gone counts: the longest lease, and an
/// eighth for clocks that differ.
pub const WAIT: Micros = LONGEST + LONGEST / 8;

/// What a lease goes by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// The part of each configured share that is never lent.
    pub floor: f64,
    /// µs that a lease lasts, at most [`LONGEST`].
    pub lease: Micros,
    /// µs between the own node and the first use.
    pub wait: Micros,
    /// µs for which a node that is gone counts.
    pub hold: Micros,
}

impl Terms {
    /// By the file of the fleet.
    pub fn of(file: &crate::FleetFile) -> Self {
        Terms { floor: file.floor, lease: (file.lease_ms * 1000).min(LONGEST), wait: WAIT, hold: WAIT }
    }
}

/// The gateways by the settings.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Configured {
    /// All of the tier.
    pub all: u64,
    /// Those of the own zone.
    pub own_zone: u64,
    /// The own zone.
    pub zone: usize,
}

/// What has come from the ensemble.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// The own node stands, under this session.
    Registered,
    /// The session is over, or about to be closed: the own node is gone, or will be.
    Ended,
    /// A gateway's node is there, in this zone.
    Here(String, usize),
    /// A gateway's node is gone.
    Gone(String),
    /// All nodes are read anew: what is not told of again was gone.
    Reread,
    /// The reading is whole.
    Whole,
    /// The server has answered a `sync` asked for at this time, and all that was told before is taken in.
    CaughtUp(Micros),
    /// The ensemble was put back to an older state: what it tells may lack nodes that stood.
    Rewound,
}

/// The lease of one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lease {
    configured: Configured,
    registered: Option<Micros>,
    /// When the nodes were last read anew.
    read: Micros,
    /// When the last `sync` that was answered was asked for.
    confirmed: Option<Micros>,
    /// The gateways' nodes, at most [`MOST_NODES`].
    nodes: Nodes,
    whole: bool,
    /// Nodes not told of since a reading began anew, at most [`MOST_NODES`].
    stale: BTreeSet<Arc<str>>,
}

impl Lease {
    /// None held.
    pub fn new(configured: Configured) -> Self {
        Lease {
            configured,
            registered: None,
            read: 0,
            confirmed: None,
            nodes: Nodes::default(),
            whole: false,
            stale: BTreeSet::new(),
        }
    }

    /// Takes other numbers of gateways.
    pub fn configure(&mut self, configured: Configured) {
        self.configured = configured;
    }

    /// Takes in what has come.
    pub fn handle(&mut self, now: Micros, input: Input) {
        self.nodes.forget_departed(now);
        match input {
            Input::Registered => self.registered = Some(now),
            Input::Ended => (self.registered, self.confirmed) = (None, None),
            Input::Here(name, zone) => {
                self.stale.remove(name.as_str());
                self.nodes.arrived(name.into(), zone);
            }
            Input::Gone(name) => self.nodes.departed(now, &name.into()),
            Input::Reread => {
                (self.whole, self.read) = (false, now);
                self.stale = self.nodes.names().collect();
            }
            Input::Whole => {
                self.whole = true;
                for name in std::mem::take(&mut self.stale) {
                    self.nodes.departed(now, &name);
                }
            }
            Input::CaughtUp(asked) => {
                // L1: the view must hold all that stood when it was asked for.
                if self.whole && self.registered.is_some_and(|at| at <= asked) {
                    self.confirmed = self.confirmed.max(Some(asked));
                }
            }
            Input::Rewound => {
                // As if the own node had only now been made: the others may have lost sight of it.
                self.registered = self.registered.map(|_| now);
                self.confirmed = None;
            }
        }
    }

    /// How many gateways stand, or stood until now, in all and in the own zone; one whose zone is not known may be of any.
    pub fn standing(&self, terms: &Terms, now: Micros) -> (u64, u64) {
        let standing = self.nodes.standing(self.configured.zone, now, terms.hold);
        (standing.all, standing.in_zone)
    }

    /// How many nodes are kept, those that are gone but still count among them; at most [`MOST_NODES`].
    pub fn kept(&self) -> usize {
        self.nodes.len()
    }

    /// Bytes of memory that the nodes take.
    pub fn memory(&self) -> usize {
        self.nodes.memory()
    }

    /// The configured share, of what all divide and of what the own zone divides: used where nothing is lent.
    pub fn whole(&self) -> (f64, f64) {
        (1.0 / self.configured.all.max(1) as f64, 1.0 / self.configured.own_zone.max(1) as f64)
    }

    /// Until when the pool may be used, and what the gateway may use then and after.
    pub fn share(&self, terms: &Terms, now: Micros) -> Shares {
        let whole = self.whole();
        let floor = (terms.floor * whole.0, terms.floor * whole.1);
        let waited =
            self.registered.is_some_and(|at| at + terms.wait <= now) && self.read + terms.hold <= now;
        let until = match self.confirmed {
            Some(at) if waited && self.whole => at + terms.lease,
            _ => 0,
        };
        let (stand, near) = self.standing(terms, now);
        let pool = 1.0 - terms.floor;
        let lent = (floor.0 + pool / stand.max(1) as f64, floor.1 + pool / near.max(1) as f64);
        Shares { until, lent, alone: floor }
    }

    /// Whether the pool may be used now.
    pub fn holds(&self, terms: &Terms, now: Micros) -> bool {
        now < self.share(terms, now).until
    }
}
