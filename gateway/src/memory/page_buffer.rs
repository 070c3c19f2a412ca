//! Byte buffers on anonymous pages outside of the heap. Pages count as used from the first byte that is written to
//! them, and are given back to the kernel, except for those that are kept for the next buffers.
//!
//! Danger: the allocator of the heap keeps most of the large blocks that are freed, so that a burst of large messages
//! would take up memory for as long as the process runs.
use memmap2::{Advice, MmapMut};
use std::cell::RefCell;
use std::io;

/// Granularity in which the use of pages is counted, in bytes: a multiple of the page size of most kernels.
const PAGE_BYTES: usize = 4096;
/// Used bytes of all pages up to which spare ones are kept until [`set_max_bytes`] is called.
const DEFAULT_MAX_BYTES: usize = 512 * 1024;

thread_local! {
    static POOL: RefCell<PagePool> = const { RefCell::new(PagePool::new()) };
}

/// Bytes of pages that the buffers of this thread use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PageUse {
    /// Of pages that are part of a buffer.
    pub occupied_bytes: usize,
    /// Of pages that are kept for the next buffers.
    pub spare_bytes: usize,
}

/// The use of pages by the buffers of this thread.
pub fn page_use() -> PageUse {
    POOL.with_borrow(|pool| pool.page_use)
}

/// Sets the used bytes of all pages, occupied ones included, up to which spare ones are kept for the next buffers of
/// this thread.
pub fn set_max_bytes(bytes: usize) {
    POOL.with_borrow_mut(|pool| {
        pool.max_bytes = bytes;
        pool.drop_excess();
    });
}

/// Gives pages back to the kernel that were spare all the time since this was last called.
pub fn drop_unneeded() {
    POOL.with_borrow_mut(|pool| {
        let kept = pool.page_use.spare_bytes - pool.least_spare_bytes;
        pool.drop_spare_above(kept);
        pool.least_spare_bytes = pool.page_use.spare_bytes;
    });
}

/// Adjacent pages, none or all of them occupied by one buffer.
struct Pages {
    map: MmapMut,
    /// Bytes of the pages that were ever written to, which the kernel counts as memory of the process.
    used_bytes: usize,
}

impl Pages {
    fn map(capacity: usize) -> io::Result<Self> {
        let map = MmapMut::map_anon(capacity)?;
        // A huge page would take up far more memory than was written to. A kernel without them returns an error.
        let _ = map.advise(Advice::NoHugePage);
        Ok(Pages { map, used_bytes: 0 })
    }
}

/// The pages of this thread's buffers: the spare ones, and how many there are in all.
struct PagePool {
    spare: Vec<Pages>,
    page_use: PageUse,
    max_bytes: usize,
    /// The fewest spare bytes since unneeded ones were last dropped.
    least_spare_bytes: usize,
}

impl PagePool {
    const fn new() -> Self {
        PagePool {
            spare: Vec::new(),
            page_use: PageUse { occupied_bytes: 0, spare_bytes: 0 },
            max_bytes: DEFAULT_MAX_BYTES,
            least_spare_bytes: 0,
        }
    }

    /// Takes pages of this capacity: spare ones if there are some.
    fn take(&mut self, capacity: usize) -> io::Result<Pages> {
        let Some(place) = self.spare.iter().rposition(|pages| pages.map.len() == capacity) else {
            return Pages::map(capacity);
        };
        let pages = self.spare.swap_remove(place);
        self.page_use.spare_bytes -= pages.used_bytes;
        self.page_use.occupied_bytes += pages.used_bytes;
        self.least_spare_bytes = self.least_spare_bytes.min(self.page_use.spare_bytes);
        Ok(pages)
    }

    fn give_back(&mut self, pages: Pages) {
        self.page_use.occupied_bytes -= pages.used_bytes;
        self.page_use.spare_bytes += pages.used_bytes;
        self.spare.push(pages);
        self.drop_excess();
    }

    /// Counts bytes that an occupied buffer has begun to use; spare pages make room for them.
    fn record_growth(&mut self, bytes: usize) {
        self.page_use.occupied_bytes += bytes;
        self.drop_excess();
    }

    /// Gives spare pages back to the kernel while there are too many.
    fn drop_excess(&mut self) {
        self.drop_spare_above(self.max_bytes.saturating_sub(self.page_use.occupied_bytes));
    }

    fn drop_spare_above(&mut self, bytes: usize) {
        while self.page_use.spare_bytes > bytes {
            let Some(pages) = self.spare.pop() else { return };
            self.page_use.spare_bytes -= pages.used_bytes;
        }
        self.least_spare_bytes = self.least_spare_bytes.min(self.page_use.spare_bytes);
    }
}

/// A buffer of fixed capacity on pages of its own.
pub struct PageBuffer {
    /// Absent only while the buffer is dropped.
    pages: Option<Pages>,
    length: usize,
}

impl PageBuffer {
    /// An empty buffer. An error: the kernel has no memory, or too many mappings.
    pub fn with_capacity(capacity: usize) -> io::Result<Self> {
        let pages = POOL.with_borrow_mut(|pool| pool.take(capacity))?;
        Ok(PageBuffer { pages: Some(pages), length: 0 })
    }

    /// Number of bytes that it can hold.
    pub fn capacity(&self) -> usize {
        self.pages.as_ref().map_or(0, |pages| pages.map.len())
    }

    /// Bytes of memory that it takes.
    pub fn used_bytes(&self) -> usize {
        self.pages.as_ref().map_or(0, |pages| pages.used_bytes)
    }

    /// Its bytes.
    pub fn bytes(&self) -> &[u8] {
        self.pages.as_ref().map_or(&[], |pages| &pages.map[..self.length])
    }

    /// Number of bytes that can still be appended.
    pub fn spare_capacity(&self) -> usize {
        self.capacity() - self.length
    }

    /// Appends as many of these bytes as there is room for and returns their number.
    pub fn append(&mut self, bytes: &[u8]) -> usize {
        let count = bytes.len().min(self.spare_capacity());
        self.unused_mut(count).copy_from_slice(&bytes[..count]);
        self.extend(count);
        count
    }

    /// At most `count` bytes behind the last one, to be written to before [`PageBuffer::extend`].
    pub fn unused_mut(&mut self, count: usize) -> &mut [u8] {
        let end = (self.length + count).min(self.capacity());
        self.pages.as_mut().map_or(&mut [], |pages| &mut pages.map[self.length..end])
    }

    /// Adds `count` of the bytes behind the last one, which were written to.
    pub fn extend(&mut self, count: usize) {
        self.length += count;
        let Some(pages) = &mut self.pages else { return };
        let used_bytes = self.length.next_multiple_of(PAGE_BYTES);
        if used_bytes > pages.used_bytes {
            let added = used_bytes - pages.used_bytes;
            pages.used_bytes = used_bytes;
            POOL.with_borrow_mut(|pool| pool.record_growth(added));
        }
    }

    /// Removes bytes at the front.
    pub fn remove_front(&mut self, count: usize) {
        let Some(pages) = &mut self.pages else { return };
        pages.map.copy_within(count..self.length, 0);
        self.length -= count;
    }
}

impl Drop for PageBuffer {
    fn drop(&mut self) {
        if let Some(pages) = self.pages.take() {
            // While the thread ends there may be no pool any more, and nothing is counted.
            let _ = POOL.try_with(|pool| pool.borrow_mut().give_back(pages));
        }
    }
}

#[cfg(test)]
mod tests;
