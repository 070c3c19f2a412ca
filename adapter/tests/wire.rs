//! Runs the adapter on short protocol transcripts.
use std::io::Write;
use std::process::{Command, Output, Stdio};

const INFO: &str = r#"{"balancers":1,"locality":0,"models":["cache","parent","origin"],"zones":["z"],"new":{"key":1},
"services":[{"deadlineMs":3000.0,"targetMs":250.0,"effect":"pure","name":"page"}],
"familyInfo":{"shieldKind":1,"storeKind":2,"oneFlowKbPerS":1000.0,"peersFill":"none"},
"limits":{"cancel":true,"maxAttempts":4,"mayDuplicate":false}}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_larchway-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    child.stdin.take().expect("piped").write_all(input.as_bytes()).expect("writes");
    child.wait_with_output().expect("ends")
}

fn create_lines(who: &str) -> String {
    let info = INFO.replace('\n', "");
    format!("SELECT who={who}\nCREATE entropy=5 info={info}\nVIEW index=1 scope=remembered hosts=2\nROW server=11 site=0 shape=0 unitGroup=0 state=up units=1 extra=9\nROW server=30 site=0 shape=2 unitGroup=1 state=up units=1\n")
}

fn replies(input: &str) -> String {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn requests_are_answered_under_the_name_of_their_instance() {
    let arrival = "ARRIVAL handle=77 category=0 object=5 ttlMs=900.5 bytesK=40 unknown=1\n";
    let input = format!(
        "BATCH simTimeMs=10.5\n{}{}FLUSH\n\nBATCH simTimeMs=12\nSELECT who=router-2\n{arrival}FLUSH\n",
        create_lines("router-1"),
        create_lines("router-2")
    );
    let out = replies(&input);
    let lines: Vec<&str> = out.lines().collect();
    assert_eq!(lines[0], "ACK");
    assert_eq!(lines[1], "AS who=router-2");
    assert!(lines[2].starts_with("ANSWER_FROM handle=77 server=11 source=30 "), "{out}");
    assert!(lines[3].starts_with("WAKE_AT whenMs=32.000"), "{out}");
    assert_eq!(lines.last(), Some(&"ACK"));
}

#[test]
fn a_killed_instance_starts_empty() {
    let input = format!(
        "BATCH simTimeMs=1\n{}ARRIVAL handle=7 category=0 object=5 ttlMs=900\nFLUSH\nBATCH simTimeMs=2\nSELECT who=router-1\nCRASH_NOW\n{}OUTCOME handle=7 attempt=0 server=11 outcome=13 delaySeenMs=1.0\nFLUSH\n",
        create_lines("router-1"),
        create_lines("router-1")
    );
    let out = replies(&input);
    assert_eq!(out.matches("ANSWER_FROM").count(), 1, "{out}");
    assert!(out.ends_with("ACK\nACK\n"), "{out}");
}

#[test]
fn many_instances_share_nothing() {
    let request_lines = |who: &str| {
        format!("SELECT who={who}\nARRIVAL handle=7 category=0 object=5 ttlMs=900\nOUTCOME handle=7 attempt=0 server=11 outcome=13 delaySeenMs=1.0\n")
    };
    let alone = replies(&format!(
        "BATCH simTimeMs=1\n{}{}FLUSH\n",
        create_lines("router-1"),
        request_lines("router-1")
    ));
    let both = replies(&format!(
        "BATCH simTimeMs=1\n{}{}{}{}FLUSH\n",
        create_lines("router-0"),
        request_lines("router-0"),
        create_lines("router-1"),
        request_lines("router-1")
    ));
    let tail = both.split_once("AS who=router-1").expect("both act").1;
    assert_eq!(alone.split_once("AS who=router-1").expect("acts").1, tail);
}

#[test]
fn malformed_lines_end_it_with_one_plain_message() {
    let begun = format!("BATCH simTimeMs=1\n{}", create_lines("router-1"));
    for (before, line) in [
        (begun.as_str(), "ARRIVAL handle=abc category=0"),
        (&begun, "ARRIVAL handle=1"),
        (&begun, "OUTCOME handle=1 attempt=0 server=11 outcome=99"),
        (&begun, "NONSENSE x=1"),
        (&begun, "RING mark"),
        (&begun, "CREATE entropy=1 info={\"balancers\":"),
        ("BATCH simTimeMs=1\n", "RING mark=1"),
        ("BATCH simTimeMs=1\nSELECT who=router-9\n", "RING mark=1"),
        ("", "FLUSH"),
        ("", "BATCH simTimeMs=-4"),
    ] {
        let output = run(&format!("{before}{line}\nFLUSH\n"));
        let message = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success(), "{line}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(message.contains(line), "{message} should name {line}");
    }
}

#[test]
fn an_empty_batch_is_acknowledged() {
    assert_eq!(replies("BATCH simTimeMs=8412.25\nFLUSH\n\n"), "ACK\n");
    assert_eq!(replies(""), "");
}
