use super::*;

const CAPACITY: usize = 64 * 1024;

fn filled(bytes: usize) -> PageBuffer {
    let mut buffer = PageBuffer::with_capacity(CAPACITY).expect("pages");
    assert_eq!(buffer.append(&vec![7; bytes]), bytes);
    buffer
}

#[test]
fn only_pages_that_were_written_to_are_counted() {
    let mut buffer = filled(1);
    assert_eq!(page_use(), PageUse { occupied_bytes: PAGE_BYTES, spare_bytes: 0 });
    assert_eq!(buffer.append(&vec![8; CAPACITY]), CAPACITY - 1, "as much as there is room for");
    assert_eq!((buffer.bytes()[0], buffer.bytes()[1], buffer.bytes().len()), (7, 8, CAPACITY));
    assert_eq!(page_use().occupied_bytes, CAPACITY);
    buffer.remove_front(CAPACITY - 2);
    assert_eq!(buffer.bytes(), [8, 8]);
    assert_eq!(buffer.used_bytes(), CAPACITY, "they stay in memory");
}

#[test]
fn pages_are_kept_for_the_next_buffer_as_far_as_all_together_are_allowed_to() {
    set_max_bytes(CAPACITY);
    let buffers = [filled(CAPACITY), filled(CAPACITY)];
    drop(buffers);
    assert_eq!(
        page_use(),
        PageUse { occupied_bytes: 0, spare_bytes: CAPACITY },
        "the other ones are given back"
    );
    let buffer = PageBuffer::with_capacity(CAPACITY).expect("pages");
    assert!(buffer.bytes().is_empty());
    assert_eq!(page_use(), PageUse { occupied_bytes: CAPACITY, spare_bytes: 0 });
    drop(buffer);
    // One of another capacity needs other pages, which take the place of the spare ones.
    let mut other = PageBuffer::with_capacity(2 * CAPACITY).expect("pages");
    other.append(&[1]);
    assert_eq!(page_use(), PageUse { occupied_bytes: PAGE_BYTES, spare_bytes: 0 });
}

#[test]
fn pages_that_no_buffer_needed_since_the_last_time_are_given_back() {
    set_max_bytes(8 * CAPACITY);
    drop([filled(CAPACITY), filled(CAPACITY), filled(CAPACITY)]);
    drop_unneeded();
    drop(filled(CAPACITY));
    assert_eq!(page_use().spare_bytes, 3 * CAPACITY, "a first time there is nothing to compare with");
    drop_unneeded();
    assert_eq!(page_use().spare_bytes, CAPACITY, "one of them was needed");
    drop_unneeded();
    assert_eq!(page_use().spare_bytes, 0);
}
