//! Distribution of numbered events (purges, store list changes, configuration documents) to all gateways, and tracking
//! of which events they have applied (`docs/design/event-distribution.md`). Performs no I/O; callers pass in the time.
pub mod batch;
pub mod configuration;
pub mod event;
mod event_number;
pub mod events_file;
pub mod log;
pub mod positions;
pub mod relay;
pub mod scope;
pub mod stores;
pub mod subscriber;

pub use event::{Event, EventError, EventNumber, Subject};
