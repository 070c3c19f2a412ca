//! Tests of the text form of a trace on the wire (RFC 8586).
use larchway_hierarchy::loop_detection::{append, parse, Hop, TraceError, MAX_TRACE_LENGTH};

fn hop(name: &str, epoch: Option<u64>) -> Hop {
    Hop { name: name.into(), epoch }
}

#[test]
fn a_hop_is_appended_after_a_comma_and_existing_hops_are_unchanged() {
    assert_eq!(append("", "edge-1", 7), "edge-1; epoch=7");
    assert_eq!(append(" other;x=\"a,b\" ", "edge-1", 8), "other;x=\"a,b\", edge-1; epoch=8");
}

#[test]
fn unknown_parameters_and_empty_elements_are_ignored() {
    let hops = parse(", a;EPOCH=3;flag ,, b; x=\"1, \\\"2\"; epoch=no\t,").expect("a trace");
    assert_eq!(hops, [hop("a", Some(3)), hop("b", None)]);
    assert_eq!(parse(" \t"), Ok(Vec::new()));
}

#[test]
fn errors_name_the_first_byte_that_does_not_fit() {
    for (text, offset) in
        [("a;", 2), ("a; =1", 3), ("a; x=", 5), ("a; x=\"1\\", 8), ("a, \"", 3), ("a;x=1 y", 6)]
    {
        assert_eq!(parse(text), Err(TraceError::InvalidByte(offset)), "{text}");
    }
    let longest = "a".repeat(MAX_TRACE_LENGTH);
    assert_eq!(parse(&longest), Ok(vec![hop(&longest, None)]));
    assert_eq!(parse(&format!("{longest}a")), Err(TraceError::TooLong(MAX_TRACE_LENGTH + 1)));
}
