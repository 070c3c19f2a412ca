use super::*;
use flate2::{Compress, Compression, FlushCompress};
use std::time::Duration;

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const GZIP_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n";

fn event(data: &str) -> StreamItem {
    StreamItem::Event(data.to_string())
}

/// What is read of a stream that comes in pieces of this size, up to an error.
fn read_all(stream: &[u8], size: usize) -> StreamRead {
    let mut reader = StreamReader::default();
    let mut all = StreamRead::default();
    for piece in stream.chunks(size) {
        let StreamRead { items, error } = reader.read(piece);
        all.items.extend(items);
        all.error = error;
        if all.error.is_some() {
            break;
        }
    }
    all
}

/// What is read of a stream that comes in pieces of this size, or its error.
fn read(stream: &[u8], size: usize) -> Result<Vec<StreamItem>, StreamError> {
    let StreamRead { items, error } = read_all(stream, size);
    error.map_or(Ok(items), Err)
}

/// A piece of a gzip body as a relay makes it: by a compressor of its own, ended by a full flush.
fn deflated(text: &str) -> Vec<u8> {
    let mut compressor = Compress::new(Compression::new(6), false);
    let mut piece = Vec::with_capacity(text.len() + 1024);
    compressor.compress_vec(text.as_bytes(), &mut piece, FlushCompress::Full).expect("deflates");
    piece
}

/// A gzip response of these pieces.
fn gzipped(pieces: &[&str]) -> Vec<u8> {
    let mut stream = [GZIP_HEAD.as_bytes(), &[0x1f, 0x8b, 8, 0, 0, 0, 0, 0, 0, 255]].concat();
    pieces.iter().for_each(|piece| stream.extend(deflated(piece)));
    stream
}

#[test]
fn events_are_read_from_pieces_of_any_size_plain_or_in_chunks() {
    let plain = "HTTP/1.1 200 OK\r\n\r\n: hello\r\n\r\nid: 4\ndata: {\"no\":4}\n\ndata:a\ndata: b\n\n";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                   9\r\ndata: {\"n\r\nE;x=y\r\no\":4}\n\ndata:a\n\r\n9\r\ndata: b\n\n\r\n";
    for text in [plain, chunked] {
        for size in [1, 3, 1000] {
            let parts = read(text.as_bytes(), size).expect("reads");
            let events: Vec<StreamItem> =
                parts.into_iter().filter(|part| matches!(part, StreamItem::Event(_))).collect();
            assert_eq!(events, [event("{\"no\":4}"), event("a\nb")], "{size}");
        }
    }
    assert!(read(b"HTTP/1.1 503 No\r\n\r\n", 1000).is_err());
    assert!(read(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 1000).is_err());
}

#[test]
fn comments_come_in_their_place_among_events() {
    let stream = format!("{HEAD}data: a\n\n: heard 17\n\n:\ndata: b\n\n");
    let comment = |text: &str| StreamItem::Comment(text.to_string());
    for size in [1, 4, 1000] {
        let parts = read(stream.as_bytes(), size).expect("reads");
        assert_eq!(parts, [event("a"), comment(" heard 17"), comment(""), event("b")], "{size}");
    }
}

#[test]
fn gzip_of_separate_pieces_is_read_however_it_is_cut() {
    let stream = gzipped(&["data: one\n\nda", "ta: two\n\n", ": heard 5\n\ndata: three\n\n"]);
    for size in [1, 7, 100_000] {
        let parts = read(&stream, size).expect("reads");
        let expected = [event("one"), event("two"), StreamItem::Comment(" heard 5".into()), event("three")];
        assert_eq!(parts, expected, "{size}");
    }
}

#[test]
fn what_cannot_be_decoded_is_an_error() {
    let mut spoilt = gzipped(&["data: one\n\n"]);
    // A deflate block of the type that there is none of (RFC 1951, section 3.2.3).
    spoilt.extend([0xff; 4]);
    assert_eq!(read(&spoilt, 1000), Err(StreamError::Decode(DecodeError::Deflate)));
    let no_gzip = format!("{GZIP_HEAD}data: one, and more of it\n\n");
    assert_eq!(read(no_gzip.as_bytes(), 1000), Err(StreamError::Decode(DecodeError::Header)));
    let other = "HTTP/1.1 200 OK\r\nContent-Encoding: br\r\n\r\n";
    assert_eq!(read(other.as_bytes(), 1000), Err(StreamError::ContentCoding("br".into())));
    // Zeros that deflate to a thousandth: more than is taken at once.
    let zeros = format!("data: {}\n\n", "0".repeat(3 << 20));
    let bomb = gzipped(&[zeros.as_str(); 12]);
    assert!(bomb.len() < 100_000, "{}", bomb.len());
    assert_eq!(read(&bomb, bomb.len()), Err(StreamError::Decode(DecodeError::TooLarge)));
    let long = gzipped(&[&format!("data: {}", "0".repeat(5 << 20))]);
    assert_eq!(read(&long, long.len()), Err(StreamError::EventTooLong));
}

#[test]
fn a_refusal_has_its_status_and_retry_after() {
    let refused = |status, retry_after| Err(StreamError::Refused { status, retry_after });
    let busy = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r\n\r\n";
    assert_eq!(read(busy.as_bytes(), 5), refused(503, Some(Duration::from_secs(3))));
    assert_eq!(read(b"HTTP/1.1 412 Precondition Failed\r\n\r\n", 1000), refused(412, None));
}

#[test]
fn a_full_list_of_4900_stores_is_read_from_pieces_of_any_size() {
    const REST: &str = r#""share":4,"born_ms":1764576000123"#;
    let host = |n: u32| {
        format!(
            r#"{{"host":"s-{n:08x}","dial":"10.1.{}.{}:4100","site":"edge-{}","class":"std","health":"up",{REST}}}"#,
            n / 250,
            n % 250,
            n % 800
        )
    };
    let hosts: Vec<String> = (0..4_900).map(host).collect();
    let list = format!(r#"{{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[{}]}}}}"#, hosts.join(","));
    let list = format!("{HEAD}id: 1\ndata: {list}\n\n");
    for size in [1_460, 8_192, 524_288] {
        let parts = read(list.as_bytes(), size).expect("reads");
        assert!(matches!(&parts[..], [StreamItem::Event(data)] if data.len() > 500_000), "{size}");
    }
    let coded = gzipped(&[&list[HEAD.len()..]]);
    assert_eq!(read(&coded, 8_192), read(list.as_bytes(), 8_192));
}

/// This body in one chunk, with what stands behind it.
fn chunk(body: &[u8], rest: &str) -> Vec<u8> {
    [format!("{:x}\r\n", body.len()).as_bytes(), body, b"\r\n", rest.as_bytes()].concat()
}

/// Guards against events that are dropped because an error, or the end of the stream, comes in the same piece of input.
#[test]
fn events_that_are_complete_are_returned_beside_an_error_or_the_end_behind_them() {
    const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let events = "data: one\n\ndata: two\n\n";
    let chunked = |rest: &str| [CHUNKED_HEAD.as_bytes(), &chunk(events.as_bytes(), rest)].concat();
    let too_long = format!("{HEAD}{events}data: {}", "0".repeat(MAX_EVENT_BYTES));
    // A deflate block of the type that there is none of.
    let spoilt_gzip = [gzipped(&[events]), vec![0xff; 4]].concat();
    // A last block of no bytes (RFC 1951, section 3.2.4).
    let ended_gzip = [gzipped(&[events]), vec![1, 0, 0, 0xff, 0xff]].concat();
    let gzip_body = &ended_gzip[GZIP_HEAD.len()..];
    let both_head = CHUNKED_HEAD.replace("\r\n\r\n", "\r\nContent-Encoding: gzip\r\n\r\n");
    let ended_both = [both_head.as_bytes(), &chunk(gzip_body, "0\r\n\r\n")].concat();
    let cases = [
        (chunked("0\r\n\r\n"), StreamError::Ended),
        (chunked("zz\r\n"), StreamError::ChunkSize("zz".into())),
        (chunked("ffffffff\r\n"), StreamError::ChunkTooLong),
        (too_long.into_bytes(), StreamError::EventTooLong),
        (spoilt_gzip, StreamError::Decode(DecodeError::Deflate)),
        (ended_gzip.clone(), StreamError::Ended),
        (ended_both, StreamError::Ended),
    ];
    for (stream, error) in cases {
        for size in [1, 7, stream.len()] {
            let StreamRead { items, error: got } = read_all(&stream, size);
            assert_eq!(items, [event("one"), event("two")], "{error:?} in pieces of {size}");
            assert_eq!(got.as_ref(), Some(&error), "in pieces of {size}");
        }
    }
}
