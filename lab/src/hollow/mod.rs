//! Hollow gateways: the product's own event reader, configuration reader, decision module and purge tables, many of
//! them in one process, without clients and stores. They follow a source of events or a relay as a real gateway does.
//! The case `hollow` of `trial capacity` compares one of them with a real gateway against the same input.
//!
//! * [`follower`]: one connection that reads events; [`gateway`]: what a gateway makes of them.
//! * [`swarm`]: many followers in one loop, and the process that holds them.
//! * [`child`]: such a process as a trial sees it; [`usage`]: processor time and memory of a process.
pub mod child;
pub mod error;
pub mod follower;
pub mod gateway;
pub mod swarm;
pub mod usage;
