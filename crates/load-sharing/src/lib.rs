//! Load sharing between the stores of a location, for a fleet in which each gateway sees only little of their traffic
//! (`docs/design/spread.md`). Gateways gossip the load that stores report ([`wire`]), and each store that carries more
//! than the mean offloads a share of its objects to others ([`LoadSharing`]). No I/O; the clock is an argument.
mod input;
mod load_estimate;
mod load_sharing;
mod output;
mod random;
mod spread_file;
mod status;
mod store_estimates;
mod tier_position;
pub mod wire;

pub use input::Input;
pub use load_sharing::LoadSharing;
pub use output::{OffloadShare, Output};
pub use spread_file::{SpreadFile, SpreadFileError};
pub use status::{Status, StoreStatus};
pub use store_estimates::MAX_STORES;
pub use tier_position::TierPosition;
