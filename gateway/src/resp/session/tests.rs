use super::super::encode_array;
use super::*;

const ATTEMPT: SlotKey = SlotKey(3);

/// A session with one attempt under the id `aa`.
fn session() -> Session {
    let mut session = Session::new(1);
    session.open.push(("aa".into(), ATTEMPT));
    session
}

fn reply(id: &str, status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut text = Vec::new();
    encode_array(&mut text, &[id.as_bytes(), status.as_bytes(), fields.as_bytes(), body]);
    text
}

fn handle<'a>(
    session: &mut Session,
    input: &'a [u8],
    is_copy_offered: bool,
) -> Result<StoreInput<'a>, ProtocolError> {
    let load_fields = ["util".to_string()];
    let context = Context { load_fields: &load_fields, is_copy_offered: &|_| is_copy_offered };
    let handled = session.handle(input, &context)?.expect("complete");
    assert_eq!(handled.used, input.len());
    Ok(handled.input)
}

#[test]
fn a_reply_ends_its_attempt_once() {
    let mut session = session();
    let text = reply("aa", "ok", "report=util:0.5", b"x");
    let Ok(StoreInput::Reply(ended)) = handle(&mut session, &text, false) else { panic!("no reply") };
    assert_eq!(
        (ended.attempt, ended.status, ended.load, ended.reply.body),
        (ATTEMPT, Status::Ok, vec![0.5], &b"x"[..])
    );
    assert!(session.is_idle() && session.has_used("aa") && !session.has_used("bb"));
    for id in ["aa", "bb"] {
        let text = reply(id, "ok", "report=util:0.5", b"x");
        assert!(matches!(handle(&mut session, &text, false), Ok(StoreInput::Ignored)), "{id}");
    }
}

#[test]
fn a_probe_reply_ends_no_attempt_and_may_report_the_load() {
    let mut session = session();
    let text = reply("p1", "yes", "report=util:0.5", b"");
    let Ok(StoreInput::LoadReport(load)) = handle(&mut session, &text, false) else { panic!("no report") };
    assert_eq!(load, [0.5]);
    assert!(matches!(handle(&mut session, &reply("p1", "no", "-", b""), false), Ok(StoreInput::Ignored)));
    assert_eq!(session.attempt_count(), 1);
}

#[test]
fn a_not_modified_reply_requires_an_offered_copy() {
    let text = reply("aa", "current", "-", b"");
    let mut session = session();
    let error = handle(&mut session, &text, false).expect_err("none was offered");
    assert_eq!(error.to_string(), "the reply to aa is not modified, but no copy was offered");
    assert_eq!(session.attempt_count(), 1);
    let Ok(StoreInput::Reply(ended)) = handle(&mut session, &text, true) else { panic!("no reply") };
    assert!(ended.reply.not_modified);
}

#[test]
fn a_silent_connection_is_doubtful_until_a_reply_arrives() {
    let mut output = Vec::new();
    let mut silent = session();
    assert_eq!(silent.abandon(ATTEMPT, "aa", SILENCE_TIMEOUT, &mut output), Some(AfterAbandon::Close));
    assert_eq!(output, b"*2\r\n$4\r\nKILL\r\n$2\r\naa\r\n");
    assert!(silent.is_doubtful);
    let text = reply("p1", "yes", "-", b"");
    assert!(matches!(handle(&mut silent, &text, false), Ok(StoreInput::Ignored)));
    assert!(!silent.is_doubtful);
    let mut responsive = session();
    let after = responsive.abandon(ATTEMPT, "aa", SILENCE_TIMEOUT - Duration::from_micros(1), &mut output);
    assert_eq!((after, responsive.is_doubtful), (Some(AfterAbandon::Continue), false));
}

#[test]
fn an_unsent_attempt_is_abandoned_without_a_message() {
    let mut output = Vec::new();
    let mut session = Session::new(1);
    session.waiting.push_back(ATTEMPT);
    assert_eq!(session.abandon(ATTEMPT, "aa", SILENCE_TIMEOUT, &mut output), None);
    assert!(session.is_idle() && output.is_empty());
}
