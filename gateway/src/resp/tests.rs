use super::{
    decode_array, decode_load, decode_reply, encode_array, encode_request, field, ProtocolError,
    MAX_STRING_BYTES,
};
use crate::core::StoreRequest;
use crate::wire_settings::{ClassSettings, WireClass};
use larchway::{Note, Status};

fn decoded_length(text: &[u8]) -> Result<Option<usize>, ProtocolError> {
    decode_reply(text).map(|reply| reply.map(|(_, used)| used))
}

#[test]
fn a_reply_is_decoded_only_once_complete() {
    let mut text = Vec::new();
    encode_array(
        &mut text,
        &[b"aa", b"ok", b"remark=MISS_ORIGIN,entity=t1,report=util:0.5;x1:2", b"\r\n$\0\xff"],
    );
    for length in 0..text.len() {
        assert_eq!(decoded_length(&text[..length]), Ok(None), "{length}");
    }
    text.extend_from_slice(b"*1");
    let (reply, used) = decode_reply(&text).expect("a valid reply").expect("a complete reply");
    assert_eq!((reply.id, reply.status, reply.note), ("aa", Some(Status::Ok), Note::FilledByOrigin));
    assert_eq!((reply.entity_tag, reply.body, used), (Some("t1"), &b"\r\n$\0\xff"[..], text.len() - 2));
}

#[test]
fn a_request_for_cached_objects_only_is_flagged() {
    let request =
        crate::core::Request { call_id: "aa".into(), object_name: "7f".into(), ..Default::default() };
    let mut store_request = StoreRequest {
        request: &request,
        source: Some("s-1"),
        max_wait_ms: 9,
        max_age_ms: 0,
        rank: 1,
        join_fill: false,
        cached_only: true,
        renew_stale: true,
        via: None,
    };
    let fields = |store_request: &StoreRequest<'_>| {
        let mut output = Vec::new();
        encode_request(&mut output, store_request, &[WireClass::current("files", &ClassSettings::default())]);
        let array = decode_array(&output).expect("a valid request").expect("a complete request");
        field(std::str::from_utf8(array.strings[2]).expect("text"), "f").map(str::to_string)
    };
    assert_eq!(fields(&store_request).as_deref(), Some("peek+swr"));
    (store_request.cached_only, store_request.renew_stale) = (false, false);
    assert_eq!(fields(&store_request), None);
}

#[test]
fn a_probe_reply_has_a_load_report_and_no_status() {
    for status in [&b"yes"[..], b"no"] {
        let mut text = Vec::new();
        encode_array(&mut text, &[b"p1", status, b"report=inflight:7;util:0.61"]);
        let (reply, length) = decode_reply(&text).expect("a valid reply").expect("a complete reply");
        assert_eq!(
            (reply.status, reply.load_report, length),
            (None, Some("inflight:7;util:0.61"), text.len())
        );
    }
}

#[test]
fn a_load_report_is_decoded_by_field_name_in_any_order() {
    let names = ["util", "x1", "x0"].map(String::from);
    assert_eq!(decode_load("x0:0.7;x1:2;util:0.25", &names), [0.25, 2.0, 0.7]);
    assert_eq!(decode_load("x1:1.5", &names)[1], 1.5);
    for malformed in ["", "util", "x1:", "x1:many;util:x", ";;:"] {
        assert!(decode_load(malformed, &names).iter().all(|v| v.is_nan()), "{malformed:?}");
    }
    assert!(decode_load("util:1", &[]).is_empty());
}

#[test]
fn malformed_input_is_rejected_before_it_is_buffered() {
    for text in ["+OK\r\n", "*0\r\n", "*99\r\n", "*1\r\n$999999999\r\n", "*1\r\n$-1\r\n", "*1\r\n$1\r\nabc"] {
        assert!(decoded_length(text.as_bytes()).is_err(), "{text:?}");
    }
    assert!(decoded_length(&[b"*", &[b'1'; 40][..]].concat()).is_err());
    assert!(decoded_length(b"*2\r\n$1\r\na\r\n$1\r\n\xff\r\n").is_err(), "a status that is not UTF-8");
}

#[test]
fn an_array_of_several_long_strings_is_rejected_at_the_length_that_passes_the_limit() {
    let half = format!("$150000\r\n{}\r\n", "x".repeat(150_000));
    let input = format!("*4\r\n{half}{half}$150000\r\n").into_bytes();
    assert_eq!(decode_array(&input), Err(ProtocolError::StringTooLong(150_000)));
    assert_eq!(decode_array(&input[..input.len() - 9]), Ok(None));
    let mut longest = Vec::new();
    encode_array(&mut longest, &[b"id", b"ok", b"-", &vec![0; MAX_STRING_BYTES]]);
    assert!(decode_array(&longest).is_ok_and(|array| array.is_some()));
}
