//! A cache hierarchy whose topology changes in service. The package opens no sockets or files and reads no clock:
//! callers pass the time. `docs/design/hierarchy.md` describes the design and its numbered invariants (H1 to H8).
//!
//! * [`topology`]: parents, hubs, branches and upstreams, and the edits that change them.
//! * [`change_log`]: changes by numbered epochs, which result in the same topology in whatever order they arrive.
//! * [`migration`]: the migration of objects between parents in small steps, within what warming parents can serve.
//! * [`loop_detection`]: detection of fill loops by traces (RFC 8586), and by inference on wires without them.
//! * [`origin_admission`]: limits on concurrent and repeated fetches from the origin.
pub mod change_log;
pub mod loop_detection;
pub mod migration;
pub mod origin_admission;
pub mod topology;
