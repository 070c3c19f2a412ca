//! Memory while clients send much, or nothing whole, and read nothing.
use crate::scenario::{
    call_frame, connect_narrow, connect_to_both_stores, request_fields, usual_with, Scenario, Setup, CALL,
};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The limit of the process in MB.
const MEMORY_MB: u32 = 32;
/// Descriptors of the process.
const SOCKETS: u32 = 1024;
/// Clients that send half of something: what the share of clients takes in.
const SENDERS: usize = 300;
/// How long one client sends at full speed.
const FLOOD: Duration = Duration::from_secs(2);
/// Time within which a usual client is answered beside it.
const USUAL_ANSWER: Duration = Duration::from_secs(1);

/// Makes the message of this number on the connection.
type NextMessage = fn(u32) -> Vec<u8>;

/// A call of this method with these fields.
fn message(method: &str, sequence: u32, fields: &[(String, String)]) -> Vec<u8> {
    call_frame(CALL, method, sequence as i32, &request_fields(fields))
}

fn fields<const N: usize>(pairs: [(&str, String); N]) -> Vec<(String, String)> {
    pairs.into_iter().map(|(name, value)| (name.to_string(), value)).collect()
}

fn usual_fields(operation: &str, sequence: u32) -> Vec<(String, String)> {
    fields([
        ("op", operation.to_string()),
        ("ttl", "6000".to_string()),
        ("row", format!("{sequence:016x}")),
        ("block", "0".to_string()),
        ("family", "1".to_string()),
        ("call", format!("{:016x}", (1_u64 << 40) + u64::from(sequence))),
    ])
}

fn gateway() -> Scenario {
    let mut s = usual_with(Setup { memory_mb: MEMORY_MB, sockets: SOCKETS, ..Setup::default() });
    s.run("c8 > isWell 1\nc8 < well 1");
    s
}

/// Returns the memory that the process alone uses, in kB.
fn assert_within_limit(s: &Scenario, what: &str) -> usize {
    let kilobytes = s.private_kilobytes();
    assert!(kilobytes <= MEMORY_MB as usize * 1024, "{what}: {kilobytes} kB");
    kilobytes
}

/// Writes what the peer takes in; whether the connection is still open.
fn write_some(stream: &mut TcpStream, bytes: &mut &[u8]) -> bool {
    match stream.write(bytes) {
        Ok(count) => *bytes = &bytes[count..],
        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
        Err(_) => return false,
    }
    true
}

/// Connects to a front without blocking in reads and writes. Where little is to be read, replies wait in the gateway early.
fn connect(address: SocketAddr, reading: Reading) -> TcpStream {
    let stream = match reading {
        Reading::Everything => TcpStream::connect(address).expect("connects"),
        Reading::Nothing => connect_narrow(address),
    };
    stream.set_nonblocking(true).expect("sets");
    stream
}

/// Guards against a process that passes its limit of memory because hundreds of clients write slowly, stop half way through a
/// large request, or send very many short fields.
#[test]
fn hundreds_of_clients_that_send_half_messages_or_many_fields_take_no_more_than_the_limit() {
    let short_fields: Vec<(String, String)> =
        (0..10_000).map(|n| (format!("{n:04x}"), String::new())).collect();
    let complete = message("serve", 2, &short_fields);
    let half = message("serve", 2, &fields([("op", "x".repeat(126_000))]));
    let many_headers: String = (0..1500).map(|n| format!("x{n}: \r\n")).collect();
    let long_headers: String = (0..50).map(|n| format!("x{n}: {}\r\n", "y".repeat(300))).collect();
    let many_headers = format!("GET / HTTP/1.1\r\n{many_headers}").into_bytes();
    let half_head = format!("GET / HTTP/1.1\r\n{long_headers}").into_bytes();
    for (what, front, bytes) in [
        ("half messages", 'q', &half[..half.len() - 1]),
        ("many fields, complete but for the last byte", 'q', &complete[..complete.len() - 1]),
        ("many fields", 'q', &complete[..]),
        ("many headers", 'w', &many_headers[..]),
        ("half heads", 'w', &half_head[..]),
    ] {
        let mut s = gateway();
        let address = s.front_address(front);
        let mut senders: Vec<(TcpStream, &[u8])> =
            (0..SENDERS).map(|_| (connect(address, Reading::Everything), bytes)).collect();
        let mut peak = 0;
        // Slowly: all of them a piece each, in turn.
        for turn in 1_u32.. {
            senders.retain_mut(|(stream, rest)| {
                let mut piece = &rest[..rest.len().min(4 * 1024)];
                let length = piece.len();
                let is_open = write_some(stream, &mut piece);
                *rest = &rest[length - piece.len()..];
                is_open && !rest.is_empty()
            });
            if turn % 4 == 0 {
                s.run(&format!("c8 > isWell {turn}\nc8 < well {turn}"));
            }
            peak = peak.max(assert_within_limit(&s, what));
            if senders.is_empty() || turn > 60 {
                break;
            }
        }
        s.run("wait 200");
        let at_the_end = assert_within_limit(&s, what);
        println!("{what}: {at_the_end} kB at the end, {peak} kB at most");
    }
}

/// Guards against answers that come late or never, and memory that grows, while one client sends at full speed, also under ever
/// new names, or several do that read nothing of what they are sent.
///
/// One client that sent messages of some hundred bytes and read nothing had a reply buffered for each, until the clients' share of
/// the memory was used up: for 10 s nobody else got a request admitted.
#[test]
fn clients_at_full_speed_delay_nobody_and_take_no_more_than_the_limit() {
    let floods: [(&str, char, NextMessage); 6] = [
        ("unknown classes", 'q', |n| message("serve", n, &usual_fields(&format!("class{n}"), n))),
        ("unknown methods", 'q', |n| message(&format!("method{n}"), n, &[])),
        ("long names of classes", 'q', |n| {
            message("serve", n, &usual_fields(&format!("{n}").repeat(2000), n))
        }),
        ("health checks", 'q', |n| message("isWell", n, &[])),
        ("cancellations of nothing", 'q', |n| message("forget", n, &[])),
        ("health checks of the second front", 'w', |_| {
            b"GET /alive HTTP/1.1\r\nHost: files.test\r\n\r\n".to_vec()
        }),
    ];
    for (clients, reading) in [(1, Reading::Everything), (2, Reading::Nothing)] {
        for (what, front, next) in floods {
            let what = format!("{what} by {clients}");
            let mut s = gateway();
            connect_to_both_stores(&mut s);
            let streams = (0..clients).map(|_| connect(s.front_address(front), reading)).collect();
            let flood = std::thread::spawn(move || flood(streams, next, reading));
            let mut slowest = Duration::ZERO;
            for n in 2.. {
                if flood.is_finished() {
                    break;
                }
                let asked_at = Instant::now();
                s.run(&format!("c8 > serve {n} $ask call=b{n}\nstore < PULL b{n}\nstore > b{n} ok remark=HIT | x\nc8 < served {n} | x"));
                slowest = slowest.max(asked_at.elapsed());
                assert_within_limit(&s, &what);
                s.run("wait 20");
            }
            let sent = flood.join().expect("it ends");
            println!(
                "{what}: {sent} sent, the slowest answer took {slowest:?}, {} kB",
                s.private_kilobytes()
            );
            assert!(slowest < USUAL_ANSWER, "{what}: {slowest:?}");
        }
    }
}

/// What a client reads of that which it is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reading {
    Everything,
    Nothing,
}

/// Sends the same messages on all connections at full speed for [`FLOOD`]. Returns how many on each that takes most.
fn flood(mut streams: Vec<TcpStream>, next: NextMessage, reading: Reading) -> u32 {
    let end = Instant::now() + FLOOD;
    let mut buffer = vec![0; 65_536];
    let mut unsent: Vec<(u32, Vec<u8>)> = streams.iter().map(|_| (0, Vec::new())).collect();
    while Instant::now() < end {
        let mut is_stuck = true;
        for (stream, (sent, bytes)) in streams.iter_mut().zip(&mut unsent) {
            if bytes.is_empty() {
                *bytes = (*sent + 1..=*sent + 50).flat_map(next).collect();
                *sent += 50;
            }
            let mut rest = &bytes[..];
            assert!(write_some(stream, &mut rest), "the connection stays open");
            let written = bytes.len() - rest.len();
            bytes.drain(..written);
            is_stuck &= written == 0;
            while reading == Reading::Everything && stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
        }
        if is_stuck {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    unsent.into_iter().map(|(sent, _)| sent).max().unwrap_or_default()
}
