use super::*;

#[test]
fn a_summary_is_decoded_as_it_was_encoded_and_malformed_ones_are_rejected() {
    let entries =
        (0..MAX_ENTRIES).map(|index| StoreLoad { load: index as f64 / 64.0, weight: 2.5 }).collect();
    let summary = LoadSummary { zone: 3, list_digest: 0xdead_beef, first_index: 61, entries };
    let bytes = summary.encode();
    assert!(bytes.len() <= MAX_BODY_BYTES);
    assert_eq!(LoadSummary::decode(&bytes), Some(summary.clone()));
    for length in 0..bytes.len() {
        assert_eq!(LoadSummary::decode(&bytes[..length]), None, "truncated to {length} bytes");
    }
    for (offset, value) in [(0, b'x'), (2, 2), (11, 62)] {
        let mut corrupt = bytes.clone();
        corrupt[offset] = value;
        assert_eq!(LoadSummary::decode(&corrupt), None, "byte {offset}");
    }
    assert_eq!(LoadSummary::decode(&[bytes, vec![0; 4]].concat()), None);
}

/// Gateways of different versions exchange these bytes, so the encoding must not change.
#[test]
fn the_encoding_is_stable() {
    let entries = vec![
        StoreLoad { load: 0.5, weight: 2.5 },
        // Values between two steps are rounded to the nearest, and values out of range are clamped to two bytes.
        StoreLoad { load: 0.3, weight: 0.01 },
        StoreLoad { load: 100.0, weight: 2000.0 },
    ];
    let summary = LoadSummary { zone: 3, list_digest: 0xdead_beef, first_index: 0x0102, entries };
    let expected = [
        [b'l', b's', 1, 3, 0xde, 0xad, 0xbe, 0xef, 1, 2, 0, 3].as_slice(),
        &[2, 0, 0, 160],
        &[1, 51, 0, 1],
        &[255, 255, 255, 255],
    ];
    assert_eq!(summary.encode(), expected.concat());
    assert_eq!(LoadSummary::decode(&expected.concat()).map(|decoded| decoded.entries.len()), Some(3));
    let too_long = LoadSummary { entries: vec![summary.entries[0]; MAX_ENTRIES + 1], ..summary };
    assert_eq!(too_long.encode().len(), HEADER_BYTES + ENTRY_BYTES * MAX_ENTRIES);
}
