//! Who is there. Merges the bulletin's list, ephemeral nodes and the gateway's own evidence into one roster, without
//! sockets, clocks or files. The design and its numbered invariants (M1 to M9) stand in `docs/design/membership.md`.
//!
//! * [`entry`]: a store as it is listed; [`format`]: the forms of node data.
//! * [`policy`]: the operator's choices, with their bounds.
//! * [`members`]: the merge; [`damping`], [`mass`], [`witness`], [`peers`]: its parts.
//! * [`snapshot`]: the last good roster in bytes.
pub mod damping;
pub mod entry;
pub mod format;
pub mod mass;
pub mod members;
pub mod peers;
pub mod policy;
pub mod sealed;
pub mod snapshot;
pub mod witness;

pub use entry::Entry;
pub use larchway::Micros;
pub use members::{Input, Members, Note, Output, Source};
pub use policy::Policy;
