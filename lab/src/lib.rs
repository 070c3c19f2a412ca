//! The laboratory: stand-ins for all that a fleet talks to, with scripted faults, and trials that measure what the
//! daemon does with them. Nothing here is used by the daemon.
pub mod capacity;
pub mod clock;
pub mod faults;
pub mod followers;
pub mod hollow;
pub mod http;
pub mod load;
pub mod stand;
pub mod trial;
