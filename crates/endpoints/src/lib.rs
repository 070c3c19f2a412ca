//! Which endpoints (cache servers) are in service.
//!
//! [`EndpointSet`] merges three views into one roster: the endpoint list of the bulletin, ephemeral nodes in a
//! coordination service such as ZooKeeper, and the outcome of this gateway's own attempts. It is a pure state machine:
//! it has no sockets, clocks or files, and the same inputs give the same outputs.
//!
//! ```
//! use larchway::MonotonicTime;
//! use larchway_endpoints::{Endpoint, EndpointSet, Input, ListScope, Output, Policy};
//!
//! let mut endpoints = EndpointSet::new(Policy::default());
//! let mut outputs = Vec::new();
//! let listed = Endpoint { host: Default::default(), name: "cache-0a".into(), dial: None };
//! let now = MonotonicTime::from_micros(1_000_000);
//! endpoints.handle(now, Input::List { scope: ListScope::Complete, endpoints: vec![listed] }, &mut outputs);
//! assert!(outputs.iter().any(|output| matches!(output, Output::Change { scope: ListScope::Complete, .. })));
//! ```
//!
//! The owner feeds [`Input`]s together with the time, applies the [`Output`]s, and calls again with [`Input::Tick`] at
//! the time given by [`EndpointSet::next_due`]. All times are of a monotonic clock.
//!
//! | concern | modules |
//! | --- | --- |
//! | the state machine | [`endpoint_set`], [`input`], [`output`], [`reason`], [`status`] |
//! | its parts | [`damping`], [`evidence`], [`gateway_counts`], [`mass_departure`] |
//! | configuration | [`policy`] |
//! | parsing of endpoints | [`endpoint`], [`mod@format`] |
//! | stored data | [`snapshot`], [`checksummed`] |
//!
//! The design and its numbered invariants (M1 to M9) are described in `docs/design/membership.md`.
pub mod checksummed;
pub mod damping;
pub mod endpoint;
pub mod endpoint_set;
pub mod evidence;
pub mod format;
pub mod gateway_counts;
pub mod input;
pub mod mass_departure;
pub mod output;
pub mod policy;
pub mod reason;
pub mod snapshot;
pub mod status;

pub use endpoint::Endpoint;
pub use endpoint_set::EndpointSet;
pub use input::{Connectivity, Input, ListScope, Source};
pub use output::{LogEvent, Output};
pub use policy::Policy;
