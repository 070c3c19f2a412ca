use super::*;

#[test]
fn events_are_read_from_pieces_of_any_size_plain_or_in_chunks() {
    let plain = "HTTP/1.1 200 OK\r\n\r\n: hello\r\n\r\nid: 4\ndata: {\"no\":4}\n\ndata:a\ndata: b\n\n";
    let chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: {\"n\r\nE;x=y\r\no\":4}\n\ndata:a\n\r\n9\r\ndata: b\n\n\r\n";
    for text in [plain, chunked] {
        for size in [1, 3, 1000] {
            let mut reader = Reader::default();
            let pieces = text.as_bytes().chunks(size);
            let events: Vec<String> = pieces.flat_map(|p| reader.take(p).expect("reads")).collect();
            assert_eq!(events, ["{\"no\":4}", "a\nb"], "{size}");
        }
    }
    assert!(Reader::default().take(b"HTTP/1.1 503 No\r\n\r\n").is_err());
    assert!(Reader::default().take(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n").is_err());
}

#[test]
fn entries_and_purges_are_read_and_faults_named() {
    let terms = Terms {
        zones: vec!["east".into(), "edge-1".into()],
        kinds: vec!["standard".into(), "parent".into()],
        ..Terms::default()
    };
    let read = |data: &str| event(data, &terms);
    let host = r#"{"host":"s-00c41f7a","dial":"10.1.0.9:4100","site":"edge-1","class":"std","health":"draining","share":4,"born_ms":5}"#;
    let list = format!(r#"{{"no":41,"roster":{{"seq":7,"whole":false,"hosts":[{host}]}}}}"#);
    let News::Roster { whole: false, stores } = read(&list).expect("reads").news else { panic!("no list") };
    let found = &stores[0].host;
    assert_eq!((found.server, found.zone, found.kind, found.started), (0x00c4_1f7a, 1, 0, 5000));
    assert_eq!((found.state, found.weight), (State::Draining, 4.0));
    let purge = read(r#"{"no":42,"recall":{"item":"7f3a9c21e0b4d655","issued":1764576000123}}"#);
    let Item { no: 42, news: News::Recall { object, issued, .. } } = purge.expect("reads") else {
        panic!("no purge")
    };
    assert_eq!((object, issued), (Some(0x7f3a_9c21_e0b4_d655), 1_764_576_000_123_000));
    for (from, to, key) in [("std", "odd", "class"), ("edge-1", "x", "site"), ("10.1.0.9:", "x", "dial")] {
        assert!(read(&list.replace(from, to)).is_err_and(|e| e.contains(key)), "{key}");
    }
}
