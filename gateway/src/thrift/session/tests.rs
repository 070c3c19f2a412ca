use super::super::protocol::{message_type, value_type, VERSION};
use super::*;
use crate::wire_settings::{ClassSettings, WireClass};

const CALL_ID: &str = "00000000000000aa";

fn wire_settings() -> WireSettings {
    let settings = ClassSettings { deadline: Duration::from_millis(300), ..ClassSettings::default() };
    WireSettings { classes: vec![WireClass::current("files", &settings)], ..WireSettings::default() }
}

fn context(wire_settings: &WireSettings) -> Context<'_> {
    Context { wire_settings, has_endpoints: true, has_capacity: true }
}

fn string(text: &str) -> Vec<u8> {
    [&(text.len() as u32).to_be_bytes()[..], text.as_bytes()].concat()
}

/// A frame with a call; `content`: the fields of its arguments.
fn call(name: &str, sequence: i32, content: &[u8]) -> Vec<u8> {
    let head = (VERSION << 16 | u32::from(message_type::CALL)).to_be_bytes();
    let parts = [&head[..], &string(name), &sequence.to_be_bytes(), content, &[value_type::STOP]];
    let message = parts.concat();
    [&(message.len() as u32).to_be_bytes()[..], &message].concat()
}

fn request(sequence: i32, timeout_ms: &str) -> Vec<u8> {
    let fields = [("op", "files"), ("call", CALL_ID), ("row", "000000000000007f"), ("ttl", timeout_ms)];
    let mut content = vec![value_type::MAP, 0, 1, value_type::STRING, value_type::STRING];
    content.extend_from_slice(&(fields.len() as u32).to_be_bytes());
    fields.iter().for_each(|(name, value)| content.extend([string(name), string(value)].concat()));
    call(method::SERVE, sequence, &content)
}

fn cancel(sequence: i32) -> Vec<u8> {
    call(method::CANCEL, 0, &[&[value_type::I32, 0, 1][..], &sequence.to_be_bytes()].concat())
}

#[test]
fn a_request_is_submitted_once_its_frame_is_complete() {
    let settings = wire_settings();
    let (mut session, mut output) = (Session::default(), Vec::new());
    let frame = request(1, "200");
    for cut in 0..frame.len() {
        let handled = session.handle(&frame[..cut], &context(&settings), &mut output);
        assert!(handled.expect("no error").is_none(), "{cut}");
    }
    let handled =
        session.handle(&frame, &context(&settings), &mut output).expect("no error").expect("complete");
    assert_eq!(handled.used, frame.len());
    let Action::Submit { sequence: 1, request } = handled.action else { panic!("{:?}", handled.action) };
    let timeout = Duration::from_millis(200);
    assert_eq!((request.call_id.as_str(), request.object, request.timeout), (CALL_ID, 0x7f, timeout));
    assert!(output.is_empty());
}

#[test]
fn a_sequence_number_is_used_once_and_a_cancellation_uses_none() {
    let settings = wire_settings();
    let (mut session, mut output) = (Session::default(), Vec::new());
    session.handle(&request(5, "200"), &context(&settings), &mut output).expect("no error");
    session.admitted(5, SlotKey(9));
    for _ in 0..2 {
        let handled = session.handle(&cancel(5), &context(&settings), &mut output).expect("no error");
        match handled.expect("complete").action {
            Action::Cancel(key) => assert_eq!(key, SlotKey(9)),
            Action::Flush => assert!(!session.has_open_requests()),
            other => panic!("{other:?}"),
        }
    }
    let error = session.handle(&request(5, "200"), &context(&settings), &mut output).expect_err("used");
    assert_eq!(error.to_string(), "sequence number 5 is not above 5");
}

#[test]
fn a_request_beyond_the_capacity_or_the_limit_of_the_connection_is_rejected() {
    let settings = wire_settings();
    let (mut session, mut output) = (Session::default(), Vec::new());
    let full = Context { has_capacity: false, ..context(&settings) };
    let handled = session.handle(&request(1, "200"), &full, &mut output).expect("no error");
    assert!(matches!(handled.expect("complete").action, Action::Reject { sequence: 1, class: 0 }));
    for sequence in 2..2 + MAX_OPEN_REQUESTS as i32 {
        session.admitted(sequence, SlotKey(sequence as u64));
    }
    let handled = session.handle(&request(90, "200"), &context(&settings), &mut output).expect("no error");
    assert!(matches!(handled.expect("complete").action, Action::Reject { sequence: 90, class: 0 }));
    session.finish(2, &FinalReply::Rejected(Duration::ZERO), &mut output);
    let handled = session.handle(&request(91, "200"), &context(&settings), &mut output).expect("no error");
    assert!(matches!(handled.expect("complete").action, Action::Submit { sequence: 91, .. }));
}

#[test]
fn a_malformed_request_and_an_unknown_method_are_answered_and_the_connection_stays_open() {
    let settings = wire_settings();
    let (mut session, mut output) = (Session::default(), Vec::new());
    let faults = [
        (request(1, "0"), "ttl 0 with a body of 0 bytes"),
        (request(2, "601"), "ttl cannot be \"601\""),
        (call(method::SERVE, 3, &[]), "op is missing"),
        (call("purge", 4, &[]), "the method is unknown"),
    ];
    for (frame, text) in faults {
        let handled = session.handle(&frame, &context(&settings), &mut output).expect("no error");
        assert!(matches!(handled.expect("complete").action, Action::Flush), "{text}");
        let written = String::from_utf8_lossy(&output).into_owned();
        assert!(written.contains(text), "{text}: {written:?}");
        output.clear();
    }
}

/// Guards against replies that repeat all of a large message: a client that does not read has them buffered.
#[test]
fn a_reply_repeats_no_more_than_the_beginning_of_what_it_rejects() {
    const MAX_REPLY_BYTES: usize = 512;
    let settings = wire_settings();
    let long = "x".repeat(100_000);
    let mut content = vec![value_type::MAP, 0, 1, value_type::STRING, value_type::STRING, 0, 0, 0, 1];
    content.extend([string("op"), string(&long)].concat());
    for frame in [call(&long, 1, &[]), call(method::SERVE, 1, &content)] {
        let mut output = Vec::new();
        let handled = Session::default().handle(&frame, &context(&settings), &mut output);
        assert_eq!(handled.expect("no error").expect("complete").used, frame.len());
        assert!((1..MAX_REPLY_BYTES).contains(&output.len()), "{}", output.len());
    }
}
