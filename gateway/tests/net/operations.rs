//! The operators' days: console, figures, stores out by hand, retuning. Numbers are those of
//! `docs/design/operations.md`.
use crate::scenario::faults::FolderFaults;
use crate::scenario::{
    entry, leave_answers_unread, read_unread_answers, unix_ms, usual_with, Scenario, Setup, ROW,
};
use larchway_operations::handover::{Frame, ProcessStatus};
use std::io::Write;
use std::os::unix::net::UnixStream;

fn served() -> Scenario {
    usual_with(Setup { console: true, ..Setup::default() })
}

#[test]
fn a_call_cut_at_any_byte_is_answered_and_silent_callers_keep_nobody_out() {
    let mut s = served();
    for n in 0..20 {
        s.run(&format!("o-quiet{n} connect\no-half{n} text PUT /ops/stores/down HTTP/1.1\\r\\nContent-Le"));
    }
    for byte in "GET /ops/readiness HTTP/1.1\r\n\r\n".bytes() {
        s.run(&format!("o1 raw {byte:02x}\nwait 1"));
    }
    let begun = unix_ms();
    s.run(
        "o1 < 200
         o2 > GET /ops/nothing
         o2 < 404
         o3 > PUT /ops/stores/down | {\"who\":\"s-nobody\"}
         o3 < 404
         o4 > PUT /ops/stores/down | {\"whom\":\"s-a1\"}
         o4 < 400
         o5 > POST /ops/stats
         o5 < 405 Allow=GET
         o6 > GET /ops/readiness
         o6 < 200
         c1 > isWell 1
         c1 < well 1",
    );
    assert!(unix_ms() - begun < 5_000);
}

#[test]
fn each_request_is_counted_once_as_it_ended() {
    let mut s = served();
    s.run(
        "figure passed.history-files 0
         figure passed.bid-submit 0
         figure known_stores 4
         figure skipped_stores 0
         c1 > serve 1 $ask call=aa
         store < PULL aa
         figure in_progress 1
         figure upstream_tries 1
         store > aa ok remark=HIT | #200000
         c1 < served 1 | #200000
         c1 > serve 2 $ask call=bb
         store < PULL bb
         store > bb error remark=ORIGIN_ERR
         c1 < busy 2 pushback 1000
         c1 > serve 3 op=bid-status call=cc ttl=300 row=$row block=0 family=1
         store < PULL cc
         c1 < failed 3
         c1 > serve 4 op=bid-status call=dd ttl=2000 row=$row block=0 family=1
         store < PULL dd
         c1 > forget 0 4
         store < KILL dd
         figure passed.history-files 1
         figure dropped.history-files 1
         figure bad_gateway.bid-status 2
         figure in_progress 0
         figure loads 0
         hup
         figure loads 1
         put config
         hup
         figure load_errors 1
         figure loads 1",
    );
}

#[test]
fn a_store_out_by_hand_gets_nothing_until_it_is_called_back_whatever_the_list_says() {
    let mut s = served();
    let a1: std::net::SocketAddr = s.var("a1").parse().expect("an address");
    for health in ["up", "removed"] {
        let text = entry("a1", a1, "standard", health);
        s.set(&format!("entry_{health}"), &text);
    }
    s.run(
        "bulletin < call last=1
         o1 > PUT /ops/stores/down | {\"who\":\"s-a1\"}
         o1 < 200
         o2 > PUT /ops/stores/down | {\"who\":\"s-a1\"}
         o2 < 200
         figure skipped_stores 1
         bulletin > {\"no\":2,\"roster\":{\"seq\":2,\"whole\":false,\"hosts\":[$entry_up]}}
         bulletin > {\"no\":3,\"roster\":{\"seq\":3,\"whole\":false,\"hosts\":[$entry_removed]}}
         figure known_stores 3
         bulletin > {\"no\":4,\"roster\":{\"seq\":4,\"whole\":false,\"hosts\":[$entry_up]}}
         figure known_stores 4
         hup
         figure loads 1",
    );
    assert!(places(&mut s, 100).iter().all(|at| at == "a2"), "nothing goes to a store that is out");
    s.run(
        "o3 > PUT /ops/stores/up | {\"who\":\"s-a1\"}
         o3 < 200
         figure skipped_stores 0",
    );
    // One call back answers two out. Its return is cold, so that work comes back by and by.
    let back = places(&mut s, 200);
    assert!(back.iter().any(|at| at == "a1"), "{back:?}");
}

#[test]
fn with_all_stores_out_requests_are_refused_at_once() {
    let mut s = served();
    for who in ["s-a1", "s-a2", "s-b1", "s-c1"] {
        s.run(&format!("o-{who} > PUT /ops/stores/down | {{\"who\":\"{who}\"}}\no-{who} < 200"));
    }
    s.run(
        "c1 > serve 1 $ask call=aa
         c1 < busy 1 pushback 100
         c1 > serve 2 op=bid-submit call=bb ttl=3000 row=$row block=0 family=1 dedupe=k1 | a bid
         c1 < busy 2 pushback 134
         never PULL aa",
    );
}

#[test]
fn classes_appear_move_and_go_while_a_request_under_way_keeps_its_own() {
    let mut s = served();
    s.run(
        "c1 > serve 1 op=bid-status call=aa ttl=2500 row=$row block=0 family=1
         store < PULL aa profile=bid-status f=swr
         edit config [0,8000,0] => [0,0,5000]
         edit config [false,false,true] => [false,true,false]
         edit config \"bid-submit\" => \"bid-watch\"
         edit config \"bid-status\" => \"bid-submit\"
         edit config \"effect\":\"token\" => \"effect\":\"pure\"
         hup
         figure loads 1
         figure passed.bid-watch 0
         c1 > serve 2 op=bid-status call=bb ttl=2000 row=$row block=0 family=1
         c1 < exception 2
         c1 > serve 3 op=bid-watch call=cc ttl=2000 row=$row block=0 family=1
         store < PULL cc profile=bid-watch f=swr
         store reset aa
         store < PULL aa profile=bid-status
         store > aa ok remark=HIT | as it was
         c1 < served 1 | as it was
         store > cc ok remark=HIT | new
         c1 < served 3 | new
         figure passed.bid-status 1
         figure passed.bid-watch 1
         figure in_progress 0",
    );
}

/// Each of these files is turned down whole, and what ran goes on (invariant 5).
#[test]
fn a_file_that_cannot_be_used_is_rejected_by_the_name_of_its_key() {
    let mut s = served();
    let faults = [
        ("\"maxAttempts\":8", "\"maxAttempts\":0", "settings.limits.maxAttempts"),
        ("\"maxAttempts\":8", "\"maxAttempts\":-2", "settings.limits.maxAttempts"),
        ("\"maxAttempts\":8", "\"maxAttempts\":null", "settings.limits.maxAttempts"),
        ("\"maxAttempts\":8", "\"maxAttempts\":\"8\"", "settings.limits.maxAttempts"),
        ("\"maxAttempts\":8", "\"mostAttempts\":8", "settings.limits.maxAttempts"),
        ("\"deadlineMs\":2500", "\"deadlineMs\":0", "settings.services[1].deadlineMs"),
        ("\"deadlineMs\":2500", "\"deadlineMs\":-5", "settings.services[1].deadlineMs"),
        ("\"deadlineMs\":2500", "\"deadlineMs\":NaN", "JSON"),
        ("\"deadlineMs\":2500", "\"deadlineMs\":[2500]", "settings.services[1].deadlineMs"),
        ("\"deadlineMs\":2500", "\"deadlinesMs\":2500", "settings.services[1].deadlineMs"),
        ("\"name\":\"bid-status\"", "\"named\":\"bid-status\"", "settings.services[1].name"),
        (
            "\"name\":\"bid-status\",\"targetMs\":400",
            "\"name\":\"bid-submit\",\"targetMs\":400",
            "settings.services[2].name",
        ),
        ("\"effect\":\"token\"", "\"effect\":7", "settings.services[2].effect"),
        ("\"windowMs\":3000", "\"windowMs\":\"long\"", "settings.services[2].windowMs"),
        ("\"targetMs\":800", "\"targetMs\":-1", "settings.services[2].targetMs"),
        ("\"services\":[", "\"services\":[],\"others\":[", "settings.services"),
        ("\"settings\"", "\"setting\"", "settings"),
        ("\"oneFlowKbPerS\":7800", "\"flowKbPerS\":7800", "settings.familyInfo.oneFlowKbPerS"),
        ("\"upperColdMs\":21000", "\"upperColdMs\":\"21000\"", "settings.familyInfo.upperColdMs"),
        ("\"limits\":{\"cancel\"", "\"limit\":{\"cancel\"", "settings.limits"),
        ("\"locality\":1", "\"place\":1", "settings.locality"),
        (
            "\"noteLevel\":\"all\"",
            "\"noteLevel\":\"all\",\"noticeTimeMs\":-1",
            "settings.familyInfo.noticeTimeMs",
        ),
        (
            "\"services\":[",
            "\"rules\":{\"stopSendingWithinMs\":\"soon\"},\"services\":[",
            "settings.rules.stopSendingWithinMs",
        ),
        ("\"known\":{\"no\":1", "\"known\":{\"no\":\"1\"", "known.no"),
    ];
    // A place may write five lines a second to the log.
    for (n, (from, to, key)) in faults.iter().enumerate() {
        s.run(&format!(
            "edit config {from} => {to}
             hup
             figure load_errors {}
             log < {key}
             wait 250
             edit config {to} => {from}",
            n + 1
        ));
    }
    let n = faults.len();
    s.run(&format!(
        "put config
         hup
         figure load_errors {}
         put config {{\"seed\":\"8c
         hup
         figure load_errors {}
         figure loads 0
         figure known_stores 4
         c1 > serve 1 op=bid-status call=aa ttl=2000 row=$row block=0 family=1
         store < PULL aa
         store > aa ok remark=HIT | as before
         c1 < served 1 | as before",
        n + 1,
        n + 2
    ));
}

/// Asks for twenty objects and returns which stores were asked.
fn places(s: &mut Scenario, from: u64) -> Vec<String> {
    let mut places = Vec::new();
    for n in from..from + 20 {
        s.run(&format!(
            "c{n} > serve 1 op=history-files ttl=6000 row={n:016x} block=0 family=1 call=y{n}
             store < PULL y{n} at=?box
             store > y{n} ok remark=HIT | got
             c{n} < served 1 | got"
        ));
        places.push(s.var("box").to_string());
    }
    places
}

#[test]
fn a_second_process_takes_clients_in_while_the_old_one_ends_what_it_took() {
    let mut s = served();
    s.run(
        "c1 > serve 1 $ask call=aa
         store < PULL aa
         c2 > isWell 1
         c2 < well 1
         o1 > PUT /ops/stores/down | {\"who\":\"s-a1\"}
         o1 < 200
         start
         log < takes over
         o2 > GET /ops/readiness
         o2 < 200
         figure skipped_stores 1
         figure passed.history-files 0
         old term
         c2 < closed
         c3 > serve 1 $ask call=bb
         store < PULL bb
         store > bb ok remark=HIT | by the new one
         c3 < served 1 | by the new one
         c1 > serve 2 op=bid-status call=cc ttl=2000 row=$row block=0 family=1
         store < PULL cc
         store > aa ok remark=HIT | by the old one
         c1 < served 1 | by the old one
         store > cc ok remark=HIT | too
         c1 < served 2 | too
         c1 < closed
         old exit 0
         figure passed.history-files 1",
    );
    assert!(
        places(&mut s, 300).iter().all(|at| at == "a2"),
        "what the old one was told holds for the new one"
    );
    // A second upgrade; the call back goes to the last process.
    s.run(
        "start
         old term
         old exit 0
         figure skipped_stores 1
         o5 > PUT /ops/stores/up | {\"who\":\"s-a1\"}
         o5 < 200
         figure skipped_stores 0",
    );
    assert!(places(&mut s, 400).iter().any(|at| at == "a1"));
}

/// Makes the state that a process hands over longer than a socket holds: by some 600 KB of names of stores.
fn lengthen_state(s: &mut Scenario) {
    const STORES: usize = 4000;
    let entries: Vec<String> = (0..STORES)
        .map(|n| {
            let name = format!("{n:0100}");
            let address = format!("10.0.{}.{}:4100", n / 250, n % 250).parse().expect("an address");
            entry(&name, address, "standard", "draining")
        })
        .collect();
    let list = entries.join(",");
    s.run(&format!(
        "bulletin < call last=1
         bulletin > {{\"no\":2,\"roster\":{{\"seq\":2,\"whole\":false,\"hosts\":[{list}]}}}}
         figure known_stores {}",
        STORES + 4
    ));
}

/// Guards against a state that is never sent to its end because it is longer than what a socket holds at once.
///
/// During an upgrade an operator ejected a store, and the new process kept using it. The old process had read the Hello frame of
/// the new one, determined that it had no output, and then replied with its state: some 200 KB went into the socket, and the
/// rest had to wait until the socket was writable. The outdated interest was applied last, so the socket was not polled for
/// that. The new process timed out after 1.5 s ("cannot get the state of another process"), and each acted as the only one.
#[test]
fn a_state_longer_than_a_socket_holds_is_handed_over_in_an_upgrade() {
    let mut s = served();
    lengthen_state(&mut s);
    s.run(
        "o1 connect
         start
         log < takes over
         o1 > PUT /ops/stores/down | {\"who\":\"s-a1\"}
         o1 < 200",
    );
    assert!(
        places(&mut s, 800).iter().all(|at| at == "a2"),
        "a call to the old process holds in the new one"
    );
    s.run("old term\nold exit 0");
    assert!(places(&mut s, 900).iter().all(|at| at == "a2"), "also once the old one has ended");
}

/// Connects to the gateway's process as another one does.
fn connect_as_process(s: &Scenario) -> UnixStream {
    let files = std::fs::read_dir(s.var("folder")).expect("the folder").flatten().map(|file| file.path());
    let socket = files.into_iter().find(|path| path.extension().is_some_and(|name| name == "sock"));
    UnixStream::connect(socket.expect("the socket of the process")).expect("connects")
}

/// Guards against a process that counts as the next one although it has ended: its status was handled after its connection had
/// failed under the reply to its greeting, and at SIGTERM all clients would be left to it.
#[test]
fn a_process_that_ended_before_its_frames_were_handled_is_no_successor() {
    let mut s = served();
    s.run("pause");
    let mut ended = connect_as_process(&s);
    let hello = Frame::Hello { name: "n1".into() }.encode();
    let status = Frame::Status(ProcessStatus { serving: true, stopping: false }).encode();
    ended.write_all(&[hello, status].concat()).expect("writes");
    drop(ended);
    s.run(
        "resume
         log < another process of this gateway has ended
         term
         log < told to stop: taking requests
         exit 0",
    );
}

/// Guards against a process that waits for another one to read its state.
#[test]
fn a_process_that_never_reads_the_state_keeps_the_other_from_nothing() {
    // The platform sends SIGKILL 3.7 s after SIGTERM.
    const KILL_MS: u64 = 3700;
    let mut s = served();
    lengthen_state(&mut s);
    let mut silent = connect_as_process(&s);
    let hello = Frame::Hello { name: "n1".into() }.encode();
    silent.write_all(&hello).expect("writes");
    s.run(
        "log < another process of this gateway has started
         o1 > PUT /ops/stores/down | {\"who\":\"s-a1\"}
         o1 < 200",
    );
    assert!(places(&mut s, 1100).iter().all(|at| at == "a2"));
    let told = unix_ms();
    s.run("term\nexit 0");
    let took = unix_ms() - told;
    assert!(took < KILL_MS, "exited after {took} ms");
}

/// Guards against processes of one gateway that do not know of each other, because the old one was paused for as long as the new
/// one waits for its state: the time-out drops the connection and the frames received on it.
#[test]
fn a_process_that_stands_still_while_the_next_one_starts_shares_calls_with_it_afterwards() {
    let mut s = served();
    s.run(
        "o1 connect
         pause
         start
         old cont
         o1 > PUT /ops/stores/down | {\"who\":\"s-a1\"}
         o1 < 200
         figure skipped_stores 1",
    );
    assert!(places(&mut s, 1000).iter().all(|at| at == "a2"));
}

#[test]
fn a_call_to_either_process_holds_in_both_and_a_killed_process_takes_none_along() {
    let mut s = served();
    s.run(
        "start
         o1 > PUT /ops/stores/down | {\"who\":\"s-a2\"}
         o1 < 200
         old kill
         log < has ended",
    );
    assert!(places(&mut s, 500).iter().all(|at| at == "a1"));
    s.run(
        "start
         old kill
         log < has ended
         figure skipped_stores 1",
    );
    assert!(places(&mut s, 600).iter().all(|at| at == "a1"));
}

#[test]
fn a_call_that_cannot_be_saved_says_so_and_is_saved_once_the_folder_is_back() {
    // The answer names the error of the last attempt, which is to be that of the missing folder.
    let folder_faults = FolderFaults::ForcedOnly;
    let mut s = Scenario::new(Setup { console: true, folder_faults, ..Setup::default() });
    let folder = s.var("folder").to_string();
    let away = format!("{folder}.away");
    std::fs::rename(&folder, &away).expect("takes the folder away");
    s.run("o1 > PUT /ops/stores/down | {\"who\":\"s-a1\"}\n o1 < 200");
    let reason = "No such file or directory (os error 2)";
    assert_eq!(s.var("body"), format!("s-a1 is out, but a restart would forget it yet: {reason}\n"));
    s.run("figure unsaved_files 1\n log < cannot be written, and is tried again");
    assert!(places(&mut s, 700).iter().all(|at| at == "a2"), "the call holds in this process");
    std::fs::rename(&away, &folder).expect("puts the folder back");
    s.run(
        "log < is written again
         figure unsaved_files 0
         kill
         start
         figure skipped_stores 1",
    );
    s.call_store_until_durable("down", "s-a2");
}

#[test]
fn a_call_answered_as_done_outlives_the_kill_of_the_only_process() {
    // The call is to be answered as done; state_folder.rs has the same with calls that fail.
    let folder_faults = FolderFaults::ForcedOnly;
    let mut s = Scenario::new(Setup { console: true, folder_faults, ..Setup::default() });
    s.call_store_until_durable("down", "s-a1");
    s.run("kill\n start\n figure skipped_stores 1");
    assert!(places(&mut s, 800).iter().all(|at| at == "a2"));
}

#[test]
fn slow_readers_fill_bounded_memory_then_requests_are_refused_and_nothing_taken_is_lost() {
    // Little memory: it must be full well before the first of them counts as one that does not read.
    let mut s = Scenario::new(Setup { console: true, memory_mb: 32, ..Setup::default() });
    s.set("row", ROW).set("ask", &format!("op=history-files ttl=6000 row={ROW} block=3 family=17"));
    let mut refused = None;
    let mut taken = Vec::new();
    // Each leaves its answers unread. Beyond what the sockets hold, the gateway keeps them.
    'all: for client in 0..60 {
        taken.push(0);
        for n in 1..=20 {
            s.run(&format!("c{client} > serve {n} op=history-files ttl=6000 row=$row block=3 family=17 call=z{client}z{n}"));
            if !s.asked_soon(&format!("z{client}z{n}")) {
                refused = Some(client);
                break 'all;
            }
            // It is kept for the client by then, so that the next request is refused and not the answer to this one.
            s.run("store > * ok remark=HIT | #240000\nfigure in_progress 0");
            taken[client] = n;
        }
    }
    let refused = refused.expect("at some point requests are refused");
    assert!(refused > 0, "one slow reader alone is no reason");
    for (client, n) in taken.iter().enumerate() {
        for _ in 0..*n {
            s.next_seq(&format!("c{client}"), 240_000);
        }
    }
    s.run(&format!("c{refused} < busy {} pushback 200", taken[refused] + 1));
    // With the answers read there is room again.
    s.run(
        "c99 > serve 1 $ask call=aa
         store < PULL aa
         store > aa ok remark=HIT | again
         c99 < served 1 | again
         figure in_progress 0",
    );
}

#[test]
fn answers_on_their_way_survive_a_request_that_crosses_the_close_of_their_connection() {
    let mut s = served();
    leave_answers_unread(&mut s, "c1");
    s.run(
        "start
         old term
         wait 200
         c1 > serve 99 op=history-files ttl=6000 row=$row block=3 family=17 call=late
         wait 50",
    );
    read_unread_answers(&mut s, "c1");
    s.run("c1 < closed\nold exit 0");
}
