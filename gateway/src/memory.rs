//! The memory of the process: where the bytes of connections are kept, and how the limit is divided among their uses.
//!
//! A limit on memory is a limit on what the kernel has given to the process. Memory that is freed to the allocator of
//! the heap stays with the process, so large buffers are kept on pages of their own ([`page_buffer`]), which go back
//! to the kernel. What the heap takes, with all that it keeps, is measured ([`private_memory`]), and the rest of the
//! limit is divided ([`budget`]).
pub mod budget;
pub mod input_buffer;
pub mod output_buffer;
pub mod page_buffer;
pub mod private_memory;

pub use budget::{MemoryShares, MemoryUse};
pub use input_buffer::InputBuffer;
pub use output_buffer::OutputBuffer;
