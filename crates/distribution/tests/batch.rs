//! The encoded event stream, decoded by a standard gzip decoder.
use flate2::read::GzDecoder;
use larchway_distribution::batch::{
    encode, encode_at_level, write_event, write_heartbeat, Encoding, GZIP_HEADER,
};
use larchway_unix_time::UnixMicros;
use std::io::Read;

fn text(from: u64, to: u64) -> String {
    let mut text = String::new();
    for number in from..to {
        write_event(&mut text, number, &format!("{{\"no\":{number}}}"));
    }
    write_heartbeat(&mut text, UnixMicros::from_micros(1_764_576_000_123_456));
    text
}

#[test]
fn events_and_heartbeats_have_the_wire_format() {
    assert_eq!(text(7, 8), "id: 7\ndata: {\"no\":7}\n\n: heard 1764576000123\n\n");
}

#[test]
fn identity_is_the_text() {
    assert_eq!(&*encode(&text(1, 9), Encoding::Identity), text(1, 9).as_bytes());
}

#[test]
fn pieces_of_any_length_and_level_join_to_one_gzip_stream() {
    for level in [0, 1, 6, 9] {
        let mut body = GZIP_HEADER.to_vec();
        let mut expected = String::new();
        for piece in [text(1, 1), text(1, 2), text(2, 400), text(400, 20_000), text(1, 3)] {
            body.extend_from_slice(&encode_at_level(&piece, Encoding::Gzip, level));
            expected.push_str(&piece);
        }
        let mut read = vec![0; expected.len()];
        GzDecoder::new(&body[..]).read_exact(&mut read).expect("gzip");
        assert_eq!(String::from_utf8(read).expect("text"), expected);
    }
}

#[test]
fn encoding_a_piece_is_deterministic() {
    assert_eq!(encode(&text(1, 50), Encoding::Gzip), encode(&text(1, 50), Encoding::Gzip));
}
