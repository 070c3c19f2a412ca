use super::*;

fn taken(text: &[u8]) -> Result<Option<usize>, String> {
    reply(text).map(|found| found.map(|(_, used)| used))
}

#[test]
fn an_answer_is_read_only_when_it_is_whole() {
    let mut text = Vec::new();
    write_words(
        &mut text,
        &[b"aa", b"ok", b"remark=MISS_ORIGIN,entity=t1,report=util:0.5;x1:2", b"\r\n$\0\xff"],
    );
    for cut in 0..text.len() {
        assert_eq!(taken(&text[..cut]), Ok(None), "{cut}");
    }
    text.extend_from_slice(b"*1");
    let (found, used) = reply(&text).expect("reads").expect("whole");
    assert_eq!((found.id, found.status, found.note), ("aa", Some(Status::Ok), Note::FilledByOrigin));
    assert_eq!((found.entity, found.body, used), (Some("t1"), &b"\r\n$\0\xff"[..], text.len() - 2));
}

#[test]
fn a_source_that_is_only_to_look_is_told_so() {
    let ask = crate::core::Ask { call: "aa".into(), thing: "7f".into(), ..Default::default() };
    let mut told = Pull {
        ask: &ask,
        source: Some("s-1"),
        max: 9,
        within: 0,
        rank: 1,
        join: false,
        peek: true,
        renew: true,
        via: None,
    };
    let fields = |told: &Pull<'_>| {
        let mut out = Vec::new();
        pull(&mut out, told, &["files".into()]);
        let (words, _) = words(&out).expect("reads").expect("whole");
        field(std::str::from_utf8(words[2]).expect("text"), "f").map(str::to_string)
    };
    assert_eq!(fields(&told).as_deref(), Some("peek+swr"));
    (told.peek, told.renew) = (false, false);
    assert_eq!(fields(&told), None);
}

#[test]
fn a_probe_answered_no_ends_nothing_and_spoils_nothing() {
    for word in [&b"yes"[..], b"no"] {
        let mut text = Vec::new();
        write_words(&mut text, &[b"p1", word, b"report=inflight:7;util:0.61"]);
        let (got, length) = reply(&text).expect("readable").expect("whole");
        assert_eq!((got.status, got.report, length), (None, Some("inflight:7;util:0.61"), text.len()));
    }
}

#[test]
fn a_report_is_read_by_the_names_of_the_settings_whatever_its_order() {
    let names = ["util", "x1", "x0"].map(String::from);
    assert_eq!(loads("x0:0.7;x1:2;util:0.25", &names), [0.25, 2.0, 0.7]);
    assert_eq!(loads("x1:1.5", &names)[1], 1.5);
    for spoilt in ["", "util", "x1:", "x1:many;util:x", ";;:"] {
        assert!(loads(spoilt, &names).iter().all(|v| v.is_nan()), "{spoilt:?}");
    }
    assert!(loads("util:1", &[]).is_empty());
}

#[test]
fn what_is_no_answer_is_an_error_before_it_fills_the_memory() {
    for text in ["+OK\r\n", "*0\r\n", "*99\r\n", "*1\r\n$999999999\r\n", "*1\r\n$-1\r\n", "*1\r\n$1\r\nabc"] {
        assert!(taken(text.as_bytes()).is_err(), "{text:?}");
    }
    assert!(taken(&[b"*", &[b'1'; 40][..]].concat()).is_err());
    assert!(taken(b"*2\r\n$1\r\na\r\n$1\r\n\xff\r\n").is_err(), "a word that is not text");
}
