//! The routing decisions of one router in front of edge caches: which cache gets a request, which server
//! fills a miss, and what is cached.
//!
//! The caller passes [`Event`]s to a [`Router`] and carries out the [`Action`]s that it returns:
//!
//! ```
//! use larchway::{Action, Class, Event, Host, Members, Request, Router, Scope, Settings, State};
//! use larchway::MonotonicTime;
//! use std::time::Duration;
//!
//! let class = Class { latency_objective: Duration::from_millis(250), ..Class::default() };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let mut router = Router::new(settings, 7);
//! let mut actions = Vec::new();
//! let now = MonotonicTime::MIN;
//! let host = Host { server: 1, state: State::Up, weight: 1.0, ..Host::default() };
//! router.handle(now, Event::Members(Members { scope: Scope::Full, hosts: vec![host] }), &mut actions);
//! let request = Request { id: 5, object: 42, ttl: Duration::from_millis(500), ..Request::default() };
//! router.handle(now, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Get(get) if get.id == 5 && get.server == 1)));
//! ```
mod hashing;
mod interface;
mod items;
mod logic;
pub mod purges;
mod records;
mod roles;
pub mod settings;
mod statistics;
mod time;

pub use hashing::{mix, rendezvous_rank, unit};
pub use interface::*;
pub use logic::{EntriesTouched, Learned, RejectionCounts, Router, SentWork};
pub use statistics::{miss_chance, Indication, IndicationRates};
pub use time::{duration_micros, MonotonicTime};
