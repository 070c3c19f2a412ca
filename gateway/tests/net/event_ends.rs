//! Responses of the source of events that begin late, or that end in order (RFC 9112, section 7.1: the last chunk) with
//! events just before the end.
use crate::scenario::{usual, Scenario};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// A source of events that answers by `Transfer-Encoding: chunked`, in the place of the usual one.
struct ChunkedSource {
    listener: TcpListener,
}

impl ChunkedSource {
    /// Starts one and has the gateway go over to it.
    fn replace(s: &mut Scenario) -> ChunkedSource {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let address = listener.local_addr().expect("an address");
        s.set("chunked", &address.to_string());
        s.run("bulletin < call last=1\nedit config $feed => $chunked\nhup");
        ChunkedSource { listener }
    }

    /// Takes the next call, which must ask for what comes after this event, and begins to answer it.
    fn expect_call(&self, last: u64) -> TcpStream {
        let mut stream = self.expect_unanswered_call(last);
        begin_response(&mut stream);
        stream
    }

    /// Takes the next call, which must ask for what comes after this event.
    fn expect_unanswered_call(&self, last: u64) -> TcpStream {
        let (mut stream, _) = self.listener.accept().expect("it is called");
        let mut head = String::new();
        let mut byte = [0];
        while !head.ends_with("\r\n\r\n") {
            stream.read_exact(&mut byte).expect("a request");
            head.push(byte[0] as char);
        }
        let wanted = format!("Last-Event-ID: {last}\r\n");
        assert!(head.contains(&wanted), "no {wanted:?} in {head:?}");
        stream
    }
}

/// Writes the head of a response.
fn begin_response(stream: &mut TcpStream) {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("writes");
}

/// Writes an event and the end of the response in one piece.
fn write_last_event(stream: &mut TcpStream, data: &str) {
    let event = format!("id: 0\ndata: {data}\n\n");
    let piece = format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len());
    stream.write_all(piece.as_bytes()).expect("writes");
}

/// Guards against a purge that is dropped because the end of the response comes in the same piece of input.
///
/// A bulletin that shut down gracefully sent a purge as its last event and then ended its response. The gateway received the
/// complete purge and did not apply it: the decoder reported the end as an error and discarded the events before it. For 5 s
/// stores were asked for copies of any age, and the next subscription asked for the events after the one before the purge.
#[test]
fn a_purge_that_comes_with_the_end_of_the_response_is_applied_while_the_source_is_down() {
    let mut s = usual();
    let source = ChunkedSource::replace(&mut s);
    let mut stream = source.expect_call(1);
    let purge = format!("{{\"no\":2,\"recall\":{{\"lot\":17,\"issued\":{}}}}}", crate::scenario::unix_ms());
    write_last_event(&mut stream, &purge);
    drop((stream, source));
    s.run(
        "log < the bulletin is lost
         c1 > serve 1 $ask call=aa
         store < PULL aa within=?age
         store > aa ok remark=MISS | new
         c1 < served 1 | new",
    );
    let age: u64 = s.var("age").parse().expect("a bound on the age of copies");
    assert!(age < 5000, "{age}");
    s.run("edit config $chunked => $feed\nhup\nbulletin < call last=2");
}

/// Guards against a source whose events are never applied because it ends each response after an event: each subscription asked
/// for the same event again.
#[test]
fn a_source_that_ends_each_response_behind_an_event_is_heard() {
    const EVENTS: u64 = 6;
    let mut s = usual();
    let source = ChunkedSource::replace(&mut s);
    for number in 2..=EVENTS {
        // The connection stays open: it is for the gateway to leave it.
        let mut stream = source.expect_call(number - 1);
        write_last_event(&mut stream, &format!("{{\"no\":{number},\"recall\":{{\"lot\":17,\"issued\":1}}}}"));
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).expect("the gateway closes it");
    }
    source.expect_call(EVENTS);
}

/// Guards against a drain that is never heard of while the source is slow: each call was given up 2.5 s after it, also one whose
/// head had come, and the next one waited no longer.
#[test]
fn a_source_that_answers_each_call_three_seconds_late_is_heard() {
    const LATENESS: Duration = Duration::from_secs(3);
    for head_is_late in [true, false] {
        let mut s = usual();
        let source = ChunkedSource::replace(&mut s);
        let mut stream = source.expect_unanswered_call(1);
        if !head_is_late {
            begin_response(&mut stream);
        }
        std::thread::sleep(LATENESS);
        if head_is_late {
            begin_response(&mut stream);
        }
        write_last_event(&mut stream, "{\"no\":2,\"recall\":{\"lot\":17,\"issued\":1}}");
        source.expect_unanswered_call(2);
    }
}
