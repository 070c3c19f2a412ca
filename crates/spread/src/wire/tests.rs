use super::*;

#[test]
fn a_datagram_is_read_as_written_and_nothing_else_is() {
    let told = (0..ENTRIES).map(|i| Told { load: i as f64 / 64.0, worth: 2.5 }).collect();
    let summary = Summary { zone: 3, list: 0xdead_beef, first: 61, told };
    let bytes = summary.write();
    assert!(bytes.len() <= LONGEST);
    assert_eq!(Summary::read(&bytes), Some(summary.clone()));
    for cut in 0..bytes.len() {
        assert_eq!(Summary::read(&bytes[..cut]), None, "{cut}");
    }
    for (at, value) in [(0, b'x'), (2, 2), (11, 62)] {
        let mut bad = bytes.clone();
        bad[at] = value;
        assert_eq!(Summary::read(&bad), None, "byte {at}");
    }
    assert_eq!(Summary::read(&[bytes, vec![0; 4]].concat()), None);
}
