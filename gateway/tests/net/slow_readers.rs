//! Closing of connections whose clients read slowly, or not at all: the replies that the gateway has written are still in the
//! buffers of both kernels.
use crate::scenario::{
    leave_answers_unread, read_unread_answers, unix_ms, usual_with, Scenario, Setup, FILES,
};

/// Longer than the second for which a half-closed connection once waited for its client.
const LATER: &str = "wait 1200";

fn served() -> Scenario {
    usual_with(Setup { console: true, ..Setup::default() })
}

/// Guards against replies that are lost when a slow client sends something after its connection was half-closed.
///
/// At a planned restart a client that read 1 MB a second had eight replies in transit. All were written to the socket, so the
/// connection counted as idle: it was half-closed, and closed a second later. The end of the stream comes after megabytes of
/// replies, so the client did not see it. Its next message reached a closed socket, the kernel reset the connection, and four
/// replies were lost; without that message all eight arrived, although the process had exited.
#[test]
fn answers_on_their_way_survive_what_a_slow_client_sends_long_after_the_end_of_its_connection() {
    let ends = [
        // A plain stop: the connection is half-closed as the others are.
        "c2 > isWell 1\nc2 < well 1\nterm\nc2 < closed",
        // An upgrade.
        "start\nold term\nwait 200",
        // A message that cannot be understood.
        "c1 raw 7fffffff\nlog < a connection is closed",
        // A message that does not go on.
        "c1 raw 000000ff80\nc2 raw 000000ff80\nc2 < closed",
    ];
    for end in ends {
        let mut s = served();
        leave_answers_unread(&mut s, "c1");
        s.run(&format!("{end}\n{LATER}\nc1 raw 000000\nwait 100"));
        read_unread_answers(&mut s, "c1");
        s.run("c1 < closed");
    }
}

/// Guards against the same loss when the connection is half-closed to make room for another client.
#[test]
fn answers_on_their_way_survive_what_a_slow_client_sends_long_after_it_made_room_for_another() {
    let mut s = usual_with(Setup { sockets: 64, console: true, ..Setup::default() });
    leave_answers_unread(&mut s, "c1");
    // Thirteen fill the share of clients.
    for n in 0..13 {
        s.run(&format!("q{n} > isWell 1\nq{n} < well 1"));
    }
    s.run(&format!("{LATER}\nc1 > serve 99 $ask call=late\nnever PULL late"));
    read_unread_answers(&mut s, "c1");
    s.run("c1 < closed");
}

/// Guards against the same loss on the front for signed links, after `Connection: close`.
#[test]
fn an_answer_on_its_way_survives_what_a_slow_client_of_the_second_front_sends_long_after_the_end() {
    let mut s = served();
    s.link("url", FILES, -10, 600, false);
    s.run(&format!(
        "w1 > GET $url ; Connection: close
         store < PULL *
         store > * ok remark=HIT | #240000
         figure in_progress 0
         {LATER}
         w1 > GET $url
         wait 100
         w1 < 200 | #240000"
    ));
}

/// Guards against a process that waits for clients until the platform kills it.
#[test]
fn a_client_that_never_reads_keeps_no_process_from_its_exit_before_the_kill() {
    // The platform sends SIGKILL 3.7 s after SIGTERM.
    const KILL_MS: u64 = 3700;
    for (stop, exit) in [("term", "exit 0"), ("start\nold term", "old exit 0")] {
        let mut s = served();
        leave_answers_unread(&mut s, "c1");
        // Half-closed before the stop, and waited for no longer than the others.
        leave_answers_unread(&mut s, "c2");
        s.run("c2 raw 7fffffff\nlog < a connection is closed");
        let (before_stop, signal) = stop.rsplit_once('\n').unwrap_or(("", stop));
        s.run(before_stop);
        let told = unix_ms();
        s.run(&format!("{signal}\n{exit}"));
        let took = unix_ms() - told;
        assert!(took < KILL_MS, "{stop}: exited after {took} ms");
    }
}

/// Guards against clients that neither read nor close, whose connections add up to more than their share of descriptors.
#[test]
fn clients_that_never_read_nor_close_keep_nobody_out_and_take_no_more_than_their_descriptors() {
    const SOCKETS: u32 = 64;
    const CLIENTS: usize = 40;
    let mut s = usual_with(Setup { sockets: SOCKETS, console: true, ..Setup::default() });
    for n in 0..CLIENTS {
        s.run(&format!(
            "c{n} > serve 1 $ask call=k{n}
             store < PULL k{n}
             store > k{n} ok remark=HIT | #240000
             figure in_progress 0"
        ));
        let descriptors = s.descriptors();
        assert!(descriptors <= SOCKETS as usize, "{descriptors} descriptors are open");
    }
    s.run("c99 > isWell 1\nc99 < well 1");
}
