//! The output of a connection that is not written yet.
use super::page_buffer::PageBuffer;
use std::collections::VecDeque;
use std::io;

/// Capacity of one block of output in bytes. A connection wastes less than two blocks.
pub const OUTPUT_BLOCK_BYTES: usize = 32 * 1024;
/// Number of unwritten bytes up to which output is kept on the heap.
const MAX_HEAP_OUTPUT_BYTES: usize = 4 * 1024;

/// Bytes of which some are written already.
struct Block {
    pages: PageBuffer,
    written: usize,
}

impl Block {
    fn unwritten(&self) -> &[u8] {
        &self.pages.bytes()[self.written..]
    }
}

/// The bytes to be written to a connection: blocks that wait for the peer to read, then the newest bytes.
#[derive(Default)]
pub struct OutputBuffer {
    blocks: VecDeque<Block>,
    /// Number of unwritten bytes in the blocks.
    block_bytes: usize,
    tail: Vec<u8>,
    /// Number of written bytes at the front of the tail.
    written_tail: usize,
}

impl OutputBuffer {
    /// The newest bytes, to which output is appended.
    pub fn tail(&mut self) -> &mut Vec<u8> {
        &mut self.tail
    }

    /// Number of unwritten bytes.
    pub fn len(&self) -> usize {
        self.block_bytes + self.tail.len() - self.written_tail
    }

    /// Whether everything is written.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes of memory that the buffer takes.
    pub fn allocated_bytes(&self) -> usize {
        let blocks: usize = self.blocks.iter().map(|block| block.pages.used_bytes()).sum();
        blocks + self.tail.capacity()
    }

    /// Writes the bytes in order with `write`, which returns how many it has written, until it writes fewer than it
    /// was given. Returns how many were written in all. After an error nothing more is to be written.
    pub fn write_with(&mut self, mut write: impl FnMut(&[u8]) -> io::Result<usize>) -> io::Result<usize> {
        let mut total = 0;
        while let Some(block) = self.blocks.front_mut() {
            let count = write(block.unwritten())?;
            block.written += count;
            self.block_bytes -= count;
            total += count;
            if !block.unwritten().is_empty() {
                return Ok(total);
            }
            self.blocks.pop_front();
        }
        if self.written_tail < self.tail.len() {
            let count = write(&self.tail[self.written_tail..])?;
            self.written_tail += count;
            total += count;
        }
        Ok(total)
    }

    /// Uses memory that was reserved for long replies, unless there is some already.
    pub fn use_scratch(&mut self, scratch: &mut Vec<u8>) {
        if self.tail.capacity() == 0 {
            std::mem::swap(&mut self.tail, scratch);
        }
    }

    /// Moves what waits for the peer to read off the heap, unless it is short. Without memory for pages it stays there.
    /// Memory that is no longer needed becomes `scratch` if it is larger.
    pub fn compact(&mut self, scratch: &mut Vec<u8>) {
        if self.tail.len() - self.written_tail > MAX_HEAP_OUTPUT_BYTES {
            self.move_to_blocks();
        }
        if self.written_tail == 0 && self.tail.capacity() <= MAX_HEAP_OUTPUT_BYTES {
            return;
        }
        let unwritten = self.tail[self.written_tail..].to_vec();
        let mut unneeded = std::mem::replace(&mut self.tail, unwritten);
        self.written_tail = 0;
        if unneeded.capacity() > scratch.capacity() {
            unneeded.clear();
            *scratch = unneeded;
        }
    }

    fn move_to_blocks(&mut self) {
        while self.written_tail < self.tail.len() && self.ensure_room().is_ok() {
            let Some(block) = self.blocks.back_mut() else { return };
            let count = block.pages.append(&self.tail[self.written_tail..]);
            self.written_tail += count;
            self.block_bytes += count;
        }
    }

    /// Makes sure that the last block has room for some bytes.
    fn ensure_room(&mut self) -> io::Result<()> {
        if self.blocks.back().is_none_or(|block| block.pages.spare_capacity() == 0) {
            let pages = PageBuffer::with_capacity(OUTPUT_BLOCK_BYTES)?;
            self.blocks.push_back(Block { pages, written: 0 });
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
