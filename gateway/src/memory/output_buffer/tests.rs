use super::*;
use crate::memory::page_buffer::page_use;

/// Replies of several sizes, each of a byte of its own.
fn replies() -> impl Iterator<Item = Vec<u8>> {
    let sizes = [10, 5_000, 240_000, 1, 32 * 1024, 100, 70_000];
    sizes.into_iter().cycle().zip(0..=255).map(|(size, byte)| vec![byte; size])
}

#[test]
fn bytes_are_written_in_order_however_few_the_peer_takes() {
    let (mut output, mut scratch) = (OutputBuffer::default(), Vec::new());
    let (mut expected, mut written) = (Vec::<u8>::new(), Vec::<u8>::new());
    for (n, reply) in replies().take(60).enumerate() {
        output.use_scratch(&mut scratch);
        output.tail().extend(&reply);
        expected.extend(reply);
        // None, a few, or many more than one reply, in two pieces.
        let mut room = [0, 3, 300_000, 40_000][n % 4];
        let count = output.write_with(|bytes| {
            let count = room.min(bytes.len());
            written.extend(&bytes[..count]);
            room -= count;
            Ok(count)
        });
        assert!(count.is_ok());
        output.compact(&mut scratch);
        assert_eq!(output.len(), expected.len() - written.len());
        assert!(output.allocated_bytes() < output.len() + 2 * OUTPUT_BLOCK_BYTES + 2 * MAX_HEAP_OUTPUT_BYTES);
    }
    let rest = output.write_with(|bytes| {
        written.extend(bytes);
        Ok(bytes.len())
    });
    assert!(rest.is_ok() && output.is_empty() && written == expected);
    output.compact(&mut scratch);
    assert_eq!((output.allocated_bytes(), page_use().occupied_bytes), (0, 0));
    assert!(scratch.capacity() >= 240_000 && scratch.is_empty(), "it is used again");
}

#[test]
fn a_write_that_fails_ends_the_writing() {
    let mut output = OutputBuffer::default();
    output.tail().extend([1; 100]);
    assert!(output.write_with(|_| Err(io::ErrorKind::ConnectionReset.into())).is_err());
    assert_eq!(output.len(), 100);
}
