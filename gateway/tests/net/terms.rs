//! The terms of the operators' standing page that bind in every case (`docs/design/rare-moments.md`): the bad order of
//! events is forced each time.
use crate::scenario::{
    connect_to_both_stores, edited_settings, leave_answers_unread, read_unread_answers, unix_ms, usual_with,
    Scenario, Setup, FILES, ROW,
};
use larchway_gateway::resp::encode_array;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

// A client that has gone.

#[test]
fn no_further_attempt_is_made_for_a_client_whose_end_lies_behind_other_messages_of_its_own() {
    let ends = [
        "c1 > isWell 2\nc1 close",
        "c1 > isWell 2\nc1 reset",
        "c1 > forget 0 1",
        "c1 > isWell 2\nc1 > forget 0 1",
    ];
    // An attempt that ends as one of these is followed by another, at once or after a pause.
    for outcome in ["error", "refused remark=NO_FILL", "nothing"] {
        for end in ends {
            let mut s = usual_with(Setup::default());
            connect_to_both_stores(&mut s);
            s.run(&format!(
                "c1 > serve 1 $ask call=aa
                 store < PULL aa
                 pause
                 store > aa {outcome}
                 {end}
                 wait 150
                 resume
                 c9 > isWell 99
                 c9 < well 99
                 never PULL aa"
            ));
        }
    }
}

#[test]
fn no_further_attempt_is_made_for_a_client_whose_end_lies_behind_more_than_is_read_at_once() {
    for end in ["close", "reset"] {
        let mut s = usual_with(Setup::default());
        connect_to_both_stores(&mut s);
        s.run("c1 > serve 1 $ask call=aa\nstore < PULL aa\npause\nstore > aa error");
        // Over half a megabyte of writes: each reading of a connection ends before that.
        for n in 2..=14 {
            s.run(&format!(
                "c1 > serve {n} op=bid-submit call=w{n} ttl=3000 row=$row block=0 family=1 dedupe=k{n} | #48000"
            ));
        }
        s.run(&format!("c1 {end}\nwait 150\nresume\nc9 > isWell 99\nc9 < well 99\nnever PULL aa"));
    }
}

#[test]
fn no_further_attempt_is_made_for_a_client_of_whom_not_all_was_read_in_the_turn_before() {
    for end in ["close", "reset", "close", "close", "close"] {
        let mut s = usual_with(Setup::default());
        connect_to_both_stores(&mut s);
        s.run("c1 > serve 1 $ask call=aa\nstore < PULL aa\npause");
        // What the client sent is read first, as far as is read at once; then comes the store's answer.
        for n in 2..=24 {
            s.run(&format!(
                "c1 > serve {n} op=bid-submit call=w{n} ttl=3000 row=$row block=0 family=1 dedupe=k{n} | #48000"
            ));
        }
        s.run(&format!(
            "c1 {end}\nwait 150\nstore > aa error\nwait 50\nresume\nc9 > isWell 99\nc9 < well 99\nnever PULL aa"
        ));
    }
}

#[test]
fn no_hedge_or_retry_that_fell_due_meanwhile_is_sent_for_a_client_that_left() {
    let begin = |call: &str| {
        let mut s = usual_with(Setup::default());
        connect_to_both_stores(&mut s);
        s.run(&format!("c1 > serve 1 $ask call={call}\nstore < PULL {call}"));
        s
    };
    // Nothing answers: where the client stays, a further attempt comes before its time is over.
    assert!(begin("aa").asked_within("aa", Duration::from_secs(5)), "a further attempt is due");
    for end in ["c1 close", "c1 reset", "c1 > forget 0 1", "c1 > isWell 2\nc1 close"] {
        begin("bb").run(&format!(
            "pause
             {end}
             wait 5000
             resume
             c9 > isWell 99
             c9 < well 99
             never PULL bb"
        ));
    }
}

/// A gateway whose one store is there and takes no connection in yet.
fn with_a_connection_that_comes_up_late(console: bool) -> Scenario {
    let edits = [("\"connectTimeoutMs\":400", "\"connectTimeoutMs\":8000")];
    usual_with(Setup {
        dead: &["a2"],
        held: &["a1"],
        settings: edited_settings(&edits),
        console,
        ..Setup::default()
    })
}

#[test]
fn what_waits_for_a_connection_ends_with_its_client_over_a_reload_and_in_an_upgrade() {
    let between = [
        "edit config \"cancel\":true => \"cancel\":false\nhup\nfigure loads 1",
        "start\nlog < takes over\nold term",
        "term\nlog < told to stop",
    ];
    for event in between {
        for end in ["close", "reset"] {
            let mut s = with_a_connection_that_comes_up_late(true);
            s.run(&format!(
                "c1 > serve 1 $ask call=aa
                 c2 > serve 1 $ask call=stays
                 c2 > isWell 2
                 c2 < well 2
                 {event}
                 c1 {end}
                 wait 100
                 store admit a1
                 store < PULL stays
                 store > stays ok remark=HIT | x
                 c2 < served 1 | x
                 never PULL aa"
            ));
        }
    }
}

// Read, then closed.

#[test]
fn a_client_whose_message_does_not_go_on_gets_what_it_asked_for_before() {
    let mut s = usual_with(Setup::default());
    s.run(
        "c1 > serve 1 $ask call=aa
         store < PULL aa
         c1 raw 000000ff80
         wait 3000
         never KILL aa
         store > aa ok remark=HIT | one
         c1 < served 1 | one
         c1 < closed",
    );
}

#[test]
fn a_client_whose_message_does_not_go_on_loses_no_answer_on_its_way() {
    let mut s = usual_with(Setup { console: true, ..Setup::default() });
    leave_answers_unread(&mut s, "c1");
    // What comes after the close would reset the connection, and the answers with it.
    s.run(
        "c1 raw 000000ff80
         c2 raw 000000ff80
         c2 < closed
         wait 100
         c1 raw 000000
         wait 100",
    );
    read_unread_answers(&mut s, "c1");
    s.run("c1 < closed");
}

#[test]
fn a_client_that_cannot_be_understood_gets_an_answer_to_what_it_asked_for_before() {
    let mut s = usual_with(Setup { console: true, ..Setup::default() });
    // A read is refused with a promise of no effect; a write that may have run has failed.
    s.run(
        "c1 > serve 1 $ask call=aa
         store < PULL aa
         c1 > serve 2 op=bid-submit call=bb ttl=3000 row=$row block=0 family=1 dedupe=k1 | a bid
         store < PULL bb | a bid
         c1 raw 7fffffff
         c1 < busy 1 pushback 200
         c1 < failed 2
         store < KILL aa
         c1 < closed
         figure in_progress 0
         figure dropped.history-files 1
         figure bad_gateway.bid-submit 1",
    );
}

#[test]
fn a_write_that_is_unsent_is_refused_where_its_client_cannot_be_understood() {
    let mut s = with_a_connection_that_comes_up_late(true);
    s.run(
        "c1 > serve 1 op=bid-submit call=bb ttl=3000 row=$row block=0 family=1 dedupe=k1 | a bid
         c1 > isWell 2
         c1 < well 2
         store dialled a1
         c1 raw 7fffffff
         c1 < busy 1 pushback 200
         c1 < closed
         store admit a1
         store < admitted a1
         never PULL bb
         figure in_progress 0",
    );
}

#[test]
fn a_client_that_cannot_be_understood_loses_no_answer_on_its_way() {
    let mut s = usual_with(Setup { console: true, ..Setup::default() });
    leave_answers_unread(&mut s, "c1");
    s.run(
        "c1 raw 7fffffff
         log < a connection is closed
         wait 100
         c1 raw 000000
         wait 100",
    );
    read_unread_answers(&mut s, "c1");
    s.run("c1 < closed");
}

/// Reads this many answers of a client, each of another number, and returns how many of them were served.
fn all_answered(s: &mut Scenario, client: &str, count: usize) -> usize {
    let (mut numbers, mut served) = (BTreeSet::new(), 0);
    for _ in 0..count {
        let (words, body) = s.next_answer(client);
        let mut parts = words.split(' ');
        if parts.next() == Some("served") {
            assert_eq!(body.len(), 240_000, "{words}");
            served += 1;
        } else {
            // Shown where the test fails: why one was not served.
            println!("{client}: {words}");
        }
        numbers.insert(parts.next().map(str::to_string));
    }
    assert_eq!(numbers.len(), count, "one answer for each");
    served
}

/// Has stores answer what they are asked for with a large object each, until nothing more comes.
fn serve_all(s: &mut Scenario) {
    let body = vec![7; 240_000];
    while s.asked_within("*", Duration::from_millis(500)) {
        let call = s.last_call().to_string();
        let mut answer = Vec::new();
        encode_array(&mut answer, &[call.as_bytes(), b"ok", b"remark=HIT", &body]);
        s.try_store_bytes(&call, &answer);
    }
}

#[test]
fn clients_that_read_nothing_of_more_answers_than_there_is_room_for_lose_none() {
    // Their sockets hold some 2.4 MB for each client, so that the first two leave room for requests, and not for
    // answers to all of the others.
    const GROUPS: [(&[&str], usize); 3] = [(&["c1"], 24), (&["c2"], 24), (&["c3", "c4", "c5"], 31)];
    // All clients together may hold a third of the memory: 10.6 MB.
    let mut s = usual_with(Setup { memory_mb: 32, ..Setup::default() });
    for (clients, requests) in GROUPS {
        for client in clients {
            s.run(&format!("{client} narrow\n{client} > isWell 1\n{client} < well 1"));
        }
        // In one turn of the loop each is taken before any is answered.
        s.run("pause");
        for client in clients {
            for n in 2..=requests + 1 {
                s.run(&format!(
                    "{client} > serve {n} op=history-files call={client}x{n} ttl=6000 row={n:016x} block=0 family=1"
                ));
            }
        }
        s.run("resume");
        serve_all(&mut s);
    }
    s.run("c9 > isWell 1\nc9 < well 1");
    let (mut asked, mut served) = (0, 0);
    for (clients, requests) in GROUPS {
        asked += clients.len() * requests;
        served += clients.iter().map(|client| all_answered(&mut s, client, requests)).sum::<usize>();
    }
    assert!((40..asked).contains(&served), "there is room for many and not for all: {served}");
}

#[test]
fn half_messages_that_take_up_the_memory_cost_only_those_who_sent_them() {
    const REQUESTS: usize = 24;
    const SENDERS: usize = 84;
    let mut s = usual_with(Setup { memory_mb: 32, console: true, ..Setup::default() });
    // One reader that is slow to take its answers holds more than any sender of half a message.
    for n in 1..=REQUESTS {
        s.run(&format!(
            "c1 > serve {n} $ask call=k{n}
             store < PULL k{n}
             store > k{n} ok remark=HIT | #240000"
        ));
    }
    for n in 1..=SENDERS {
        s.run(&format!("q{n} connect"));
    }
    // A frame of 128 KB, less a little, of each of the others.
    let half = format!("0001ffff{}", "00".repeat(126_000));
    s.run("pause");
    for n in 1..=SENDERS {
        s.run(&format!("q{n} raw {half}"));
    }
    s.run("resume\nlog < a client is cut off\nc9 > isWell 1\nc9 < well 1");
    assert_eq!(all_answered(&mut s, "c1", REQUESTS), REQUESTS);
}

/// A client was refused an answer that its store had given: 23 of 24 were served, while 84 others had each sent half a
/// message and nothing more. Together these took what clients' connections may hold, and an answer that came then found no
/// room, though half of a message is owed nothing. The senders were cut off only by bytes that came after.
///
/// ```text
/// a client is cut off: too many bytes wait to be dealt with client_input_bytes=126004 all_clients_bytes=10755062
/// ```
#[test]
fn an_answer_takes_precedence_over_half_messages_that_have_taken_up_the_memory() {
    const SENDERS: usize = 84;
    let mut s = usual_with(Setup { memory_mb: 32, console: true, ..Setup::default() });
    s.run("c1 > serve 1 $ask call=k1\nstore < PULL k1");
    // Read at once: 10.6 MB of the 10.7 MB that all clients may have. Nobody is cut off, and the answer has no room.
    let half = format!("0001ffff{}", "00".repeat(126_000));
    for n in 1..=SENDERS {
        s.run(&format!("q{n} connect"));
    }
    s.run("c9 connect\npause");
    for n in 1..=SENDERS {
        s.run(&format!("q{n} raw {half}"));
    }
    s.run("resume\nc9 > isWell 1\nc9 < well 1\nstore > k1 ok remark=HIT | #240000");
    let (words, body) = s.next_answer("c1");
    assert_eq!((words.as_str(), body.len()), ("served 1", 240_000));
    s.run("log < a client is cut off");
}

// The deadline passed to a store.

/// How long a store may take for the request that is asked for next, in ms; none is asked for but this.
fn passed_deadline(s: &mut Scenario, words: &str) -> u64 {
    s.run(&format!("store < PULL {words} max=?passed"));
    s.var("passed").parse().expect("a number")
}

#[test]
fn the_deadline_passed_on_is_counted_when_a_connection_has_come_up() {
    let mut s = with_a_connection_that_comes_up_late(false);
    s.link("ok", FILES, -10, 600, false);
    let begun = unix_ms();
    s.run("c1 > serve 1 $ask call=aa\nw1 > GET $ok\nc2 > isWell 1\nc2 < well 1\nwait 1200");
    let waited = unix_ms() - begun;
    s.run("store admit a1");
    for _ in 0..2 {
        let passed = passed_deadline(&mut s, "*");
        assert!(passed <= 6000 - waited + 150, "{passed} ms after {waited} ms");
    }
}

#[test]
fn the_deadline_passed_on_with_a_further_attempt_is_what_is_left() {
    let mut s = usual_with(Setup::default());
    connect_to_both_stores(&mut s);
    s.run("c1 > serve 1 $ask call=aa\nstore < PULL aa\npause");
    let begun = unix_ms();
    s.run("wait 1000");
    let waited = unix_ms() - begun;
    s.run("store > aa error\nresume");
    let passed = passed_deadline(&mut s, "aa");
    assert!(passed <= 6000 - waited + 150, "{passed} ms after {waited} ms");
}

#[test]
fn the_deadline_passed_on_of_a_pipelined_request_of_the_second_front_counts_from_its_arrival() {
    let mut s = usual_with(Setup::default());
    s.link("one", FILES, -10, 600, false);
    s.link("two", "/history-files/17/7f3a9c21e0b4d655/4", -10, 600, false);
    s.run("w1 > GET $one\nw1 > GET $two\nstore < PULL * nth=3");
    s.run("c2 > isWell 1\nc2 < well 1");
    let arrived = unix_ms();
    s.run("wait 1500");
    let waited = unix_ms() - arrived;
    s.run("store > * ok remark=HIT | one\nw1 < 200 | one");
    let passed = passed_deadline(&mut s, "* nth=4");
    assert!(passed <= 6000 - waited + 150, "{passed} ms after {waited} ms");
}

#[test]
fn a_request_with_less_than_a_millisecond_left_goes_to_no_store() {
    let mut s = usual_with(Setup::default());
    // Three requests in a row wait for a store that says nothing. The first ends 30 ms before its client's time is over,
    // the second, which came with it, 2 ms before, and for the third nothing is left.
    for part in 3..=5 {
        s.link("link", &format!("/history-files/17/{ROW}/{part}"), -10, 600, false).run("w1 > GET $link");
    }
    s.run("w1 < 504\nw1 < 504\nw1 < 503\nnever PULL * nth=5");
}

// Shutdown.

/// The usual settings with deadlines of 200 ms in all classes.
fn short_deadlines() -> &'static str {
    edited_settings(&[
        ("\"deadlineMs\":6000", "\"deadlineMs\":200"),
        ("\"deadlineMs\":2500", "\"deadlineMs\":200"),
        ("\"deadlineMs\":3000", "\"deadlineMs\":200"),
        ("\"targetMs\":600", "\"targetMs\":150"),
        ("\"targetMs\":400", "\"targetMs\":150"),
        ("\"targetMs\":800", "\"targetMs\":150"),
    ])
}

/// A client of a shutdown: what it asked and when, what it got, and whether its connection has ended in order.
#[derive(Default)]
struct Sender {
    sent: Vec<Instant>,
    answered: BTreeSet<usize>,
    ended: bool,
}

impl Sender {
    /// Sends one more request, unless the connection has ended, and takes the answers that have come.
    fn go_on(&mut self, s: &mut Scenario, client: usize) {
        self.take_answers(s, client);
        if !self.ended && self.sent.len() - self.answered.len() < 30 {
            self.sent.push(Instant::now());
            let n = self.sent.len();
            s.run(&format!(
                "c{client} > serve {n} op=bid-status call={:016x} ttl=200 row={:016x} block=0 family=1",
                client * 100_000 + n,
                client * 100 + n % 10
            ));
        }
    }

    fn take_answers(&mut self, s: &mut Scenario, client: usize) {
        if !self.ended {
            let (answers, ended) = s.answers_so_far(&format!("c{client}"));
            self.ended = ended;
            let number = |words: &String| words.split(' ').nth(1).and_then(|n| n.parse().ok());
            for number in answers.iter().filter_map(number) {
                assert!(self.answered.insert(number), "c{client}: two answers to {number}");
            }
        }
    }
}

/// That the answers come in time is shown in virtual time, by the tests of the core; here they come in order, from a
/// program whose clients go on sending.
#[test]
fn with_short_deadlines_all_is_answered_and_ended_in_order_though_stores_hang_and_clients_go_on() {
    // Up to then each request is taken; later ones may cross the end of their connection.
    const TAKEN: Duration = Duration::from_millis(600);
    // Far above the 0.9 s after which the platform may end the process, and below the deadlines of the usual settings.
    const AT_MOST: Duration = Duration::from_secs(3);
    let mut s = usual_with(Setup { settings: short_deadlines(), ..Setup::default() });
    let mut senders: Vec<Sender> = (0..6).map(|_| Sender::default()).collect();
    while senders.iter().any(|sender| sender.sent.len() < 20) {
        senders.iter_mut().enumerate().for_each(|(client, sender)| sender.go_on(&mut s, client));
    }
    s.run("term");
    let told = Instant::now();
    while senders.iter().any(|sender| !sender.ended) {
        assert!(told.elapsed() < AT_MOST, "connections do not end");
        senders.iter_mut().enumerate().for_each(|(client, sender)| sender.go_on(&mut s, client));
        std::thread::sleep(Duration::from_millis(2));
    }
    s.run("kill");
    for (client, sender) in senders.iter().enumerate() {
        let late = |n: &usize| sender.sent[n - 1] < told + TAKEN && !sender.answered.contains(n);
        let lost: Vec<usize> = (1..=sender.sent.len()).filter(late).collect();
        assert!(lost.is_empty(), "c{client}: {lost:?} of {} are not answered", sender.sent.len());
    }
}

// Trouble elsewhere.

/// What all stores do with each request.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    Hang,
    Close,
    /// An answer begins, goes on byte by byte and never ends.
    AnswerWithoutEnd,
}

const TROUBLES: [Trouble; 3] = [Trouble::Hang, Trouble::Close, Trouble::AnswerWithoutEnd];

/// Has the stores deal with an attempt of this request, if one has come.
fn give_trouble(s: &mut Scenario, trouble: Trouble, call: &str, begun: &mut BTreeSet<String>) {
    let came = s.asked_within(call, Duration::from_millis(5));
    match trouble {
        Trouble::Hang => {}
        Trouble::Close if came => drop(s.run(&format!("store reset {call}"))),
        Trouble::Close => {}
        Trouble::AnswerWithoutEnd if came => {
            s.run(&format!(
                "store raw {call} *4\\r\\n$16\\r\\n{call}\\r\\n$2\\r\\nok\\r\\n$1\\r\\n-\\r\\n$240000\\r\\nx"
            ));
            begun.insert(call.to_string());
        }
        Trouble::AnswerWithoutEnd if begun.contains(call) => s.try_store_bytes(call, b"x"),
        Trouble::AnswerWithoutEnd => {}
    }
}

/// One request of each class, with the time that its client gives it.
const ONE_OF_EACH_CLASS: [(&str, u64); 3] = [
    ("op=history-files ttl=4000 block=3 family=17", 4000),
    ("op=bid-status ttl=1500 block=0 family=1", 1500),
    ("op=bid-submit ttl=3000 block=0 family=1 dedupe=k1", 3000),
];

#[test]
fn with_all_stores_in_trouble_and_clients_that_flood_each_request_has_one_answer_in_its_time() {
    // Half a second is what the page gives; the rest is for a busy machine.
    const SLACK: u64 = 1500;
    for trouble in TROUBLES {
        let mut s = usual_with(Setup::default());
        s.run("c1 > isWell 1\nc1 < well 1");
        // They read nothing of what they ask for.
        for n in 1..=5000 {
            s.run(&format!("f1 > isWell {n}\nf2 > isWell {n}"));
        }
        let begun = unix_ms();
        let mut open: BTreeSet<usize> = BTreeSet::new();
        for (place, (ask, _)) in ONE_OF_EACH_CLASS.iter().enumerate() {
            let n = place + 2;
            s.run(&format!("c1 > serve {n} {ask} row={:016x} call={n:016x}", n * 77));
            open.insert(n);
        }
        let mut answering = BTreeSet::new();
        while !open.is_empty() {
            for n in 2..=ONE_OF_EACH_CLASS.len() + 1 {
                give_trouble(&mut s, trouble, &format!("{n:016x}"), &mut answering);
            }
            let (answers, ended) = s.answers_so_far("c1");
            assert!(!ended, "{trouble:?}: the connection has ended");
            for words in answers {
                let n: usize = words.split(' ').nth(1).and_then(|n| n.parse().ok()).expect("a number");
                assert!(open.remove(&n), "{trouble:?}: {words} was answered before");
                let (took, given) = (unix_ms() - begun, ONE_OF_EACH_CLASS[n - 2].1);
                assert!(took < given + SLACK, "{trouble:?}: {words} after {took} of {given} ms");
            }
            assert!(unix_ms() - begun < 10_000, "{trouble:?}: {open:?} have no answer");
        }
        // Nothing more comes for any of them.
        s.run("wait 200\nc1 > isWell 9\nc1 < well 9");
    }
}
