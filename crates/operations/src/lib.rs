//! Operation of a gateway: manual ejections, request classes, counters, and the handover between processes during an
//! upgrade. Without I/O: the time is an argument, and effects are returned as data. Invariant numbers refer to
//! `docs/design/operations.md`.
pub mod classes;
pub mod handover;
pub mod manual_ejection;
pub mod process_group;
pub mod request_counters;
pub mod shutdown;

pub use classes::ClassTable;
pub use manual_ejection::ManualEjections;
pub use process_group::ProcessGroup;
pub use request_counters::{RequestCounters, RequestEnd};
