//! Rare moments (`docs/design/rare-moments.md`): the bad order of two events is made to happen each time.
use crate::scenario::{unix_ms, Scenario, Setup, ROW, SETTINGS};

fn scenario(setup: Setup) -> Scenario {
    let mut s = Scenario::new(setup);
    s.set("row", ROW).set("ask", &format!("op=history-files ttl=6000 row={ROW} block=3 family=17"));
    s
}

fn settings(edits: &[(&str, &str)]) -> &'static str {
    let mut text = SETTINGS.to_string();
    for (from, to) in edits {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    text.leak()
}

// Starts, and the list.

#[test]
fn a_start_waits_for_an_address_that_the_process_before_still_holds() {
    scenario(Setup { occupied: true, ..Setup::default() }).run(
        "log < it is tried again
         c1 > isWell 1
         c1 < well 1",
    );
}

#[test]
fn after_an_outage_the_list_is_asked_for_within_the_time_in_which_its_news_counts() {
    let edits = [("\"services\"", "\"rules\":{\"stopSendingWithinMs\":250},\"services\"")];
    let mut s = scenario(Setup { settings: settings(&edits), ..Setup::default() });
    s.run("bulletin < call last=1\n bulletin vanish\n edit config $old => $feed\n hup");
    // Pauses have grown to their longest.
    s.run(&"log < the bulletin is lost\n".repeat(8));
    s.run("bulletin rise");
    let risen = unix_ms();
    s.run("bulletin < call at=$feed last=1");
    let took = unix_ms() - risen;
    assert!(took < 1000, "asked after {took} ms");
}

#[test]
fn events_that_a_new_configuration_leaps_over_may_be_purges_so_copies_go() {
    let mut s = scenario(Setup { copies: Some("{}"), ..Setup::default() });
    s.run("bulletin < call last=1");
    let (words, _) = s.until_held(
        "c1",
        "op=history-files ttl=6000 row=$row block=3 family=17",
        "ok remark=HIT,entity=t1,issued=$now | x",
    );
    assert!(words.starts_with("served"), "{words}");
    s.run(
        "edit config \"known\":{\"no\":1, => \"known\":{\"no\":5,
         hup
         log < is read again
         c9 > serve 1 $ask call=after
         store < PULL after
         store > after ok remark=HIT | y
         c9 < served 1 | y",
    );
}

// Another customer's settings.

#[test]
fn a_request_is_judged_by_the_settings_it_came_with() {
    // It came when clients could be told to stay away for 300 ms at most, and is given up when it is 1,000.
    let mut s = scenario(Setup {
        settings: settings(&[("\"maxRetryAfterMs\":1000", "\"maxRetryAfterMs\":300")]),
        console: true,
        ..Setup::default()
    });
    s.run(
        "c1 > serve 1 $ask call=aa
         store < PULL aa
         edit config \"maxRetryAfterMs\":300 => \"maxRetryAfterMs\":1000
         hup
         figure loads 1
         c1 > serve 2 $ask call=bb
         store < PULL bb
         store > aa error remark=ORIGIN_ERR
         c1 < busy 1 pushback 300
         store > bb error remark=ORIGIN_ERR
         c1 < busy 2 pushback 1000",
    );
}

#[test]
fn a_client_for_which_there_is_no_room_is_told_no_more_than_its_settings_allow() {
    for (edit, advice) in
        [("\"maxRetryAfterMs\":90", " pushback 90"), ("\"maxRetryAfterMs\":1000", " pushback 200")]
    {
        refused_at_the_door(settings(&[("\"maxRetryAfterMs\":1000", edit)]), advice);
    }
    refused_at_the_door(settings(&[("\"retryAfter\":true", "\"retryAfter\":false")]), "");
}

fn refused_at_the_door(settings: &'static str, advice: &str) {
    let mut s = scenario(Setup { settings, ..Setup::default() });
    // All in one turn of the loop, so that none of them ends before the last comes.
    s.run("c1 > isWell 1\n c1 < well 1\n pause");
    for n in 2..=34 {
        s.run(&format!("c1 > serve {n} $ask call=k{n}"));
    }
    s.run(&format!("resume\n c1 < busy 34{advice}"));
}
