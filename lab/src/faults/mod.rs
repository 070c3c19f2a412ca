//! The fault harness: one plan of faults between gateways and of their processes, played in virtual time over the state
//! packages ([`world`]) and over real processes by way of the relay ([`crate::stand::relay`]).
pub mod detectors;
pub mod plan;
pub mod world;
