//! Cached objects and the keys under which they are stored.
use larchway::MonotonicTime;

/// Bytes of memory that an entry takes in addition to its object: the entry itself, its index entries and the
/// allocator's rounding.
const ENTRY_OVERHEAD: usize = 256;

/// The key of a cached object: a part of an object, as served to a request class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheKey {
    /// The object.
    pub object: u64,
    /// The part of the object.
    pub part: u64,
    /// The slot number of the request class.
    pub class: usize,
}

impl CacheKey {
    /// The smallest key of an object, as the start of a key range.
    pub(crate) const fn first_of(object: u64) -> Self {
        CacheKey { object, part: 0, class: 0 }
    }

    /// The largest key of an object, as the end of a key range.
    pub(crate) const fn last_of(object: u64) -> Self {
        CacheKey { object, part: u64::MAX, class: usize::MAX }
    }
}

/// A part of an object as a store served it.
#[derive(Debug, PartialEq, Eq)]
pub struct CachedObject {
    /// The entity tag, if the store sent one.
    pub entity_tag: Option<String>,
    /// Issue time by the origin's clock, or [`MonotonicTime::MIN`] if the origin gave none. Comparable only with the
    /// issue times of purges.
    pub issued: MonotonicTime,
    /// Issue time by the local clock. The time to live starts here.
    pub issued_local: MonotonicTime,
    /// The content of the part.
    pub bytes: Box<[u8]>,
}

impl CachedObject {
    /// Bytes of memory that the object takes as an entry of the cache.
    pub(crate) fn memory_size(&self) -> usize {
        let tag_size = self.entity_tag.as_ref().map_or(0, String::len);
        ENTRY_OVERHEAD + self.bytes.len() + tag_size
    }
}
