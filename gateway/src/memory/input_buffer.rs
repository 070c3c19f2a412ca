//! The input of a connection that is not handled yet.
use super::page_buffer::PageBuffer;
use crate::nonblocking::ReadOutcome;
use std::io;

/// Number of bytes up to which input is kept on the heap, as is that of most connections.
pub const MAX_HEAP_INPUT_BYTES: usize = 16 * 1024;
/// Capacity of the pages for longer input: a reply of a store with the largest object, and a read beyond it.
pub const INPUT_PAGES_BYTES: usize = 320 * 1024;

/// Where the bytes are kept.
enum Storage {
    Heap(Vec<u8>),
    Pages(PageBuffer),
}

/// The bytes that were received on a connection and are not handled yet. They are contiguous.
pub struct InputBuffer {
    storage: Storage,
    /// Number of handled bytes at the front.
    consumed: usize,
}

impl Default for InputBuffer {
    fn default() -> Self {
        InputBuffer { storage: Storage::Heap(Vec::new()), consumed: 0 }
    }
}

impl InputBuffer {
    fn bytes(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(bytes) => bytes,
            Storage::Pages(pages) => pages.bytes(),
        }
    }

    /// The bytes that are not consumed yet.
    pub fn remaining(&self) -> &[u8] {
        &self.bytes()[self.consumed..]
    }

    /// Whether they are kept on pages.
    pub fn is_on_pages(&self) -> bool {
        matches!(self.storage, Storage::Pages(_))
    }

    /// Bytes of memory that the buffer takes.
    pub fn allocated_bytes(&self) -> usize {
        match &self.storage {
            Storage::Heap(bytes) => bytes.capacity(),
            Storage::Pages(pages) => pages.used_bytes(),
        }
    }

    /// Consumes `count` bytes. An empty buffer takes no memory, so that an idle connection needs almost none.
    pub fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed >= self.bytes().len() {
            *self = InputBuffer::default();
        }
    }

    /// Reads at most `room` bytes with `read` and appends them. `scratch`: space for as many.
    pub fn read_with(
        &mut self,
        room: usize,
        scratch: &mut [u8],
        read: impl FnOnce(&mut [u8]) -> io::Result<ReadOutcome>,
    ) -> io::Result<ReadOutcome> {
        self.remove_consumed();
        if self.bytes().len() + room > MAX_HEAP_INPUT_BYTES {
            self.ensure_on_pages(room);
        }
        match &mut self.storage {
            Storage::Pages(pages) => {
                let outcome = read(pages.unused_mut(room))?;
                if let ReadOutcome::Received(count) = outcome {
                    pages.extend(count);
                }
                Ok(outcome)
            }
            Storage::Heap(kept) => {
                let outcome = read(&mut scratch[..room])?;
                if let ReadOutcome::Received(count) = outcome {
                    kept.extend_from_slice(&scratch[..count]);
                }
                Ok(outcome)
            }
        }
    }

    /// Removes the consumed bytes, and releases pages that are no longer needed.
    pub fn compact(&mut self) {
        if self.is_on_pages() && self.remaining().len() <= MAX_HEAP_INPUT_BYTES {
            self.storage = Storage::Heap(self.remaining().to_vec());
            self.consumed = 0;
        }
        self.remove_consumed();
    }

    fn remove_consumed(&mut self) {
        let consumed = std::mem::take(&mut self.consumed);
        match &mut self.storage {
            _ if consumed == 0 => {}
            Storage::Heap(kept) => drop(kept.drain(..consumed)),
            Storage::Pages(pages) => pages.remove_front(consumed),
        }
    }

    /// Moves the bytes to pages with room for `room` more. Without memory for pages they stay where they are, or move
    /// to the heap if the present pages are full.
    fn ensure_on_pages(&mut self, room: usize) {
        if matches!(&self.storage, Storage::Pages(pages) if pages.spare_capacity() >= room) {
            return;
        }
        let length = self.bytes().len() + room;
        let capacity =
            if length <= INPUT_PAGES_BYTES { INPUT_PAGES_BYTES } else { length.next_power_of_two() };
        self.storage = match PageBuffer::with_capacity(capacity) {
            Ok(mut pages) => {
                pages.append(self.bytes());
                Storage::Pages(pages)
            }
            Err(_) => Storage::Heap(self.bytes().to_vec()),
        };
    }
}

#[cfg(test)]
mod tests;
