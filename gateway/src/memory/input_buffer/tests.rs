use super::*;
use crate::memory::page_buffer::page_use;

/// Appends bytes as one read that returns them all.
fn append(input: &mut InputBuffer, bytes: &[u8]) {
    let mut scratch = vec![0; bytes.len()];
    let read = |space: &mut [u8]| {
        space[..bytes.len()].copy_from_slice(bytes);
        Ok(ReadOutcome::Received(bytes.len()))
    };
    let outcome = input.read_with(bytes.len(), &mut scratch, read).expect("reads");
    assert_eq!(outcome, ReadOutcome::Received(bytes.len()));
}

#[test]
fn short_input_is_on_the_heap_and_long_input_on_pages_until_little_of_it_is_left() {
    let mut input = InputBuffer::default();
    append(&mut input, &[1; MAX_HEAP_INPUT_BYTES]);
    assert!(!input.is_on_pages());
    append(&mut input, &[2; 100_000]);
    assert!(input.is_on_pages() && input.allocated_bytes() >= 100_000);
    input.consume(MAX_HEAP_INPUT_BYTES + 99_998);
    assert_eq!(input.remaining(), [2, 2]);
    input.compact();
    assert_eq!(input.remaining(), [2, 2]);
    assert!(!input.is_on_pages() && input.allocated_bytes() <= 16);
    assert_eq!(page_use().occupied_bytes, 0);
    input.consume(2);
    assert_eq!(input.allocated_bytes(), 0);
}

#[test]
fn input_longer_than_its_pages_is_kept_in_order() {
    let mut input = InputBuffer::default();
    let mut expected = Vec::new();
    for n in 0..20_u8 {
        append(&mut input, &[n; 65_536]);
        expected.extend([n; 65_536]);
        if n == 3 {
            input.consume(70_000);
            expected.drain(..70_000);
        }
    }
    assert!(expected.len() > INPUT_PAGES_BYTES);
    assert_eq!(input.remaining(), expected);
}

#[test]
fn a_read_of_nothing_or_an_error_changes_nothing() {
    let mut input = InputBuffer::default();
    append(&mut input, &[1; 20_000]);
    let mut scratch = vec![0; 65_536];
    let ended = input.read_with(65_536, &mut scratch, |_| Ok(ReadOutcome::Ended));
    assert_eq!(ended.expect("reads"), ReadOutcome::Ended);
    assert!(input.read_with(65_536, &mut scratch, |_| Err(io::ErrorKind::ConnectionReset.into())).is_err());
    assert_eq!(input.remaining(), [1; 20_000]);
}
