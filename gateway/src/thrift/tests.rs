use super::decode::{decode_frame, decode_message};
use super::encode::write_busy;
use super::request::read_size_kb;

#[test]
fn a_length_beyond_its_frame_is_rejected() {
    assert!(decode_frame(&[0x7f, 0xff, 0xff, 0xff]).is_err() && decode_frame(&[0xff; 4]).is_err());
    assert_eq!(decode_frame(&[0, 0, 0, 2, 7]), Ok(None));
    let call = |rest: &[u8]| {
        let head: &[u8] = &[0x80, 1, 0, 1, 0, 0, 0, 5, b's', b'e', b'r', b'v', b'e', 0, 0, 0, 9];
        decode_message(&[head, rest].concat()).map(|message| message.sequence)
    };
    assert_eq!(call(&[0]), Ok(9));
    for malformed in [
        &[13, 0, 1, 11, 11, 0x7f, 0xff, 0xff, 0xff][..],
        &[11, 0, 2, 0xff, 0xff, 0xff, 0xff],
        &[11, 0, 2, 0, 0, 0, 9, 1],
        &[15, 0, 7, 12, 0x7f, 0xff, 0xff, 0xff],
        &[99, 0, 1],
        &[],
    ] {
        assert!(call(malformed).is_err(), "{malformed:?}");
    }
    // Nested structs beyond the maximum depth.
    assert!(call(&[12, 0, 9].repeat(5000)).is_err());
}

#[test]
fn a_size_must_be_a_plain_decimal() {
    assert_eq!(read_size_kb("412.5"), Ok(412.5));
    assert_eq!(read_size_kb("0"), Ok(0.0));
    for malformed in ["", "-1", "nan", "inf", "1e5", "4 12", "soon", "1000000001", "0x10"] {
        assert_eq!(
            read_size_kb(malformed).map_err(|error| error.to_string()),
            Err(format!("heap cannot be {malformed:?}")),
            "{malformed}"
        );
    }
}

#[test]
fn a_busy_answer_has_a_retry_time_only_if_one_is_known() {
    let mut output = Vec::new();
    write_busy(&mut output, 3, 250);
    assert!(output.windows(8).any(|w| w == b"pushback") && output.windows(3).any(|w| w == b"250"));
    output.clear();
    write_busy(&mut output, 3, 0);
    assert!(!output.windows(8).any(|w| w == b"pushback"));
}
