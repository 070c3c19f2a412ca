//! Stand-ins, written from the public specifications of what they stand for.
mod accepted;
pub mod bulletin;
pub mod ensemble;
pub mod event_source;
pub mod link;
pub mod meter;
pub mod registrar;
pub mod relay;
pub mod service_time;
pub mod source;
pub mod store;
mod store_load;
pub mod tier;
