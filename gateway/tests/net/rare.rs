//! Rare moments (`docs/design/rare-moments.md`): the bad order of two events is made to happen each time.
use crate::scenario::{Scenario, Setup, ROW, SETTINGS};

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
