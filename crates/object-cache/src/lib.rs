//! An in-memory cache of objects as stores served them, which answers later requests without a store
//! (`docs/design/copies.md`). It does no I/O and reads no clock: the time is an argument.
mod cache;
mod link_budget;
mod lookup;
mod metrics;
mod object;
mod operator_file;
mod purge_feed;
mod segmented_lru;

pub use cache::{MemoryBudget, ObjectCache};
pub use link_budget::LinkRates;
pub use lookup::{CacheHit, Lookup};
pub use metrics::{CacheCounts, CacheReport};
pub use object::{CacheKey, CachedObject};
pub use operator_file::{CopiesFile, CopiesFileError};
pub use purge_feed::PurgeSource;
