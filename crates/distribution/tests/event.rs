//! Parsing of the bulletin's event forms by `Event::read`.
use larchway_distribution::event::MAX_EVENT_NUMBER;
use larchway_distribution::{Event, EventError, Subject};
use larchway_unix_time::UnixMicros;

#[test]
fn reads_each_event_form() {
    let store = Subject::Store("s-1".to_string());
    let cases = [
        (
            r#"{"no":1,"roster":{"seq":1,"whole":true,"hosts":[{"host":"s-1"}]}}"#,
            vec![Subject::StoreList],
            None,
        ),
        (r#"{"no":2,"roster":{"seq":2,"hosts":[{"host":"s-1","health":"removed"}]}}"#, vec![store], None),
        (
            r#"{"no":42,"recall":{"item":"7f3a9c21e0b4d655","issued":1764576000123}}"#,
            vec![Subject::Object(0x7f3a_9c21_e0b4_d655)],
            Some(1_764_576_000_123_000),
        ),
        (
            r#"{"no":43,"recall":{"lot":17,"issued":1764576000480}}"#,
            vec![Subject::Group(17)],
            Some(1_764_576_000_480_000),
        ),
        (r#"{"no":44}"#, vec![], None),
        (r#"{"no":45,"document":{"name":"a"}}"#, vec![], None),
    ];
    for (data, subjects, issued) in cases {
        let event = Event::read(data).unwrap_or_else(|error| panic!("{data}: {error}"));
        assert_eq!(event.subjects, subjects, "{data}");
        assert_eq!(event.issued, issued.map(UnixMicros::from_micros), "{data}");
        assert_eq!(&*event.data, data);
    }
}

#[test]
fn rejects_malformed_events() {
    let malformed = [
        "",
        "[]",
        "{}",
        r#"{"no":-1}"#,
        r#"{"no":1,"recall":{"lot":1}}"#,
        r#"{"no":1,"roster":{"hosts":[{}]}}"#,
    ];
    for data in malformed {
        assert!(matches!(Event::read(data), Err(EventError::Malformed(_))), "{data}");
    }
    let largest = MAX_EVENT_NUMBER;
    assert!(Event::read(&format!("{{\"no\":{largest}}}")).is_ok());
    let past = largest + 1;
    let error = Event::read(&format!("{{\"no\":{past}}}"));
    assert!(matches!(error, Err(EventError::NumberTooLarge(number)) if number == past), "{error:?}");
    let object = Event::read(r#"{"no":1,"recall":{"item":"zz","issued":1}}"#);
    assert!(matches!(&object, Err(EventError::ObjectName(name)) if name == "zz"), "{object:?}");
}

#[test]
fn events_with_different_text_have_different_digests() {
    let digest = |data| Event::read(data).expect("an event").digest;
    assert_ne!(digest(r#"{"no":1}"#), digest(r#"{"no":1 }"#));
}
