//! Clients that leave with much still unread, and ids that come again.
use crate::scenario::{connect_to_both_stores, usual_with, Setup, SECOND};

/// Guards against requests that are begun for a client which left before they were read: its end lies behind more than a turn
/// of the loop reads, and behind more than the kernel takes in at once.
#[test]
fn nothing_is_begun_for_a_client_that_left_with_much_unread() {
    // Small messages: more than a turn handles. Large ones: more than the kernel takes in.
    for (messages, body) in [(30, 2), (200, 2), (24, 48_000)] {
        for end in ["close", "reset"] {
            let mut s = usual_with(Setup { console: true, ..Setup::default() });
            connect_to_both_stores(&mut s);
            s.run("c1 > isWell 1\nc1 < well 1\npause");
            for n in 2..2 + messages {
                s.run(&format!(
                    "c1 > serve {n} op=bid-submit call=w{n} ttl=3000 row=$row block=0 family=1 dedupe=k{n} | #{body}"
                ));
            }
            s.run(&format!(
                "c1 {end}\nwait 150\nresume\nc8 > isWell 99\nc8 < well 99\nwait 300\nnever PULL *"
            ));
            s.run("figure in_progress 0");
        }
    }
}

/// Guards against a request that runs twice because its id comes again after its client has left: the id was forgotten with the
/// client, while the store was still at work or just after it had answered.
#[test]
fn a_request_that_must_not_run_twice_is_not_run_again_under_its_id_after_its_client_left() {
    // The store is still at work, or its answer has come, before the id comes again.
    for answer in ["", "store > aa ok | done"] {
        let mut s = usual_with(Setup { settings: SECOND, console: true, ..Setup::default() });
        let filing = "op=submit-reading call=aa ttl=3000 row=$row block=0 family=1 | a reading";
        s.run(&format!(
            "c1 > serve 1 {filing}
             store < PULL aa | a reading
             c1 close
             {answer}
             wait 200
             c2 > serve 1 {filing}
             c2 < exception 1
             c2 > serve 2 {filing}
             c2 < exception 2
             never PULL aa
             // Another request is another one.
             c2 > serve 3 op=submit-reading call=bb ttl=3000 row=$row block=0 family=1 | a reading
             store < PULL bb | a reading"
        ));
    }
}

/// Guards against the same at the other process of an upgrade, which does not know what the old one has running.
#[test]
fn a_request_that_must_not_run_twice_is_not_run_again_under_its_id_by_the_next_process() {
    let mut s = usual_with(Setup { settings: SECOND, console: true, ..Setup::default() });
    let filing = "op=submit-reading call=aa ttl=3000 row=$row block=0 family=1 | a reading";
    s.run(&format!(
        "c1 > serve 1 {filing}
         store < PULL aa | a reading
         start
         old term
         wait 200
         c2 > serve 1 {filing}
         wait 500
         never PULL aa"
    ));
}
