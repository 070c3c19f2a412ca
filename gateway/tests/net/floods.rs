//! Clients that send small or unsound requests at full speed beside usual ones.
use crate::scenario::{connect_to_both_stores, usual_with, Scenario, Setup, PATIENCE};
use std::time::Instant;

/// Clients that send more than their share.
const BAD_CLIENTS: usize = 60;
/// Messages of each. They fit into what the kernel takes in for a process that reads nothing.
const MESSAGES: usize = 300;

/// Sends the messages of a client.
type SendMessages = fn(&mut Scenario, &str);

/// The messages of a client of the platform's front that names an unknown class.
fn unknown_classes(s: &mut Scenario, client: &str) {
    for n in 2..2 + MESSAGES {
        s.run(&format!("{client} > serve {n} op=none ttl=5000 row=$row block=0 family=1 call=x{n}"));
    }
}

/// The messages of a client that uses the front for signed links to ask for the gateway's health.
fn health_checks(s: &mut Scenario, client: &str) {
    let request = "GET /alive HTTP/1.1\\r\\nHost: files.test\\r\\n\\r\\n";
    s.run(&format!("{client} text {}", request.repeat(MESSAGES)));
}

/// Guards against a request that waits until all messages which other clients have sent before it are answered: a turn of the
/// loop took up to 512 KB of small messages from one client, and each such client had its turn before each step of a usual
/// request.
#[test]
fn a_request_does_not_wait_until_all_that_bad_clients_have_sent_is_answered() {
    let floods: [(&str, &str, SendMessages); 2] =
        [("q", "> isWell 1\n< well 1", unknown_classes), ("w", "connect", health_checks)];
    for (kind, greeting, send_messages) in floods {
        let mut s = usual_with(Setup { sockets: 512, ..Setup::default() });
        connect_to_both_stores(&mut s);
        s.run("c8 > isWell 1\nc8 < well 1");
        let bad_clients: Vec<String> = (0..BAD_CLIENTS).map(|n| format!("{kind}{n}")).collect();
        for client in &bad_clients {
            for line in greeting.lines() {
                s.run(&format!("{client} {line}"));
            }
        }
        s.run("c7 > isWell 1\nc7 < well 1\npause");
        bad_clients.iter().for_each(|client| send_messages(&mut s, client));
        s.run("c8 > serve 2 $ask call=aa\nc8 arrived\nresume\nstore < PULL aa\npause");
        let answered: usize = bad_clients.iter().map(|client| s.replies_so_far(client)).sum();
        assert!(answered < BAD_CLIENTS * MESSAGES / 2, "{kind}: {answered} were answered before");
        s.run("resume\nstore > aa ok remark=HIT | x\nc8 < served 2 | x");
        // What was left to later turns is answered as well.
        let mut rest = BAD_CLIENTS * MESSAGES - answered;
        let end = Instant::now() + PATIENCE;
        while rest > 0 {
            assert!(Instant::now() < end, "{kind}: {rest} are not answered");
            s.run("wait 20");
            rest -= bad_clients.iter().map(|client| s.replies_so_far(client)).sum::<usize>();
        }
    }
}
