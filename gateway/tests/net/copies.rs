//! Copies of the gateway's own. Numbers are those of `docs/design/copies.md`.
use crate::scenario::{file, Scenario, Setup, FILES, ROW, SECOND};
use std::path::Path;
use std::process::Command;

fn keeping() -> Scenario {
    let mut s =
        Scenario::new(Setup { settings: SECOND, copies: Some("{}"), console: true, ..Setup::default() });
    s.set("row", ROW).set("ask", &format!("op=guide-video ttl=5000 row={ROW} family=17 block=0"));
    // Copies answer from when the bulletin has been heard.
    s.report("/ops/copies", "\"trusted\":true");
    s
}

#[test]
fn what_a_store_served_answers_the_next_request_and_a_client_that_holds_it_gets_no_bytes() {
    let mut s = keeping();
    let ask = s.var("ask").to_string();
    let answer = "ok entity=t1,remark=MISS,issued=$now | #5000";
    let (words, body) = s.until_held("c1", &ask, answer);
    assert!(words.starts_with("served") && body.len() == 5000, "{words}");
    let (words, body) = s.until_held("c1", &format!("{ask} cached=t1"), answer);
    assert!(words.ends_with("keep 1") && body.is_empty(), "{words}");
    let (words, body) = s.until_held("c1", &format!("{ask} cached=t0"), answer);
    assert!(!words.contains("keep") && body.len() == 5000, "{words}");
    // Invariant 6: each is counted once, as served.
    let told = s.report("/ops/copies", "\"copies\":1,");
    let served: u64 =
        told.split("\"served\":").nth(1).and_then(|t| t.split(',').next()?.parse().ok()).expect("a count");
    assert!(served >= 3, "{told}");
    let stats = s.stats();
    assert!(stats.contains("svc.in_progress:0|g"), "{stats}");
}

/// Invariant 2, under the second deployment's window of 500 ms: word of a purge acts at once.
#[test]
fn after_a_purge_no_older_copy_answers_whether_cached_or_on_its_way() {
    let mut s = keeping();
    let ask = s.var("ask").to_string();
    s.until_held("c1", &ask, "ok entity=t1,remark=MISS,issued=$now | old");
    // Another part is on its way when the word comes.
    s.run(
        "c2 > serve 1 op=guide-video ttl=5000 row=$row family=17 block=1 call=bb
         store < PULL bb
         bulletin > {\"no\":2,\"recall\":{\"item\":\"$row\",\"issued\":$now}}",
    );
    s.report("/ops/copies", "\"purged\":1");
    s.run(
        "store > bb ok entity=t1,remark=MISS,issued=5000 | old
         c2 < served 1 | old
         c2 > serve 2 $ask call=cc
         store < PULL cc within=?within
         store > cc ok entity=t2,remark=MISS,issued=$now | new
         c2 < served 2 | new
         c2 > serve 3 op=guide-video ttl=5000 row=$row family=17 block=1 call=dd
         store < PULL dd
         store > dd ok entity=t2,remark=MISS,issued=$now | new
         c2 < served 3 | new",
    );
    let (_, body) = s.until_held("c1", &ask, "ok entity=t2,remark=MISS,issued=$now | new");
    assert_eq!(body, b"new");
    // A group's purge drops what is of it.
    s.run("bulletin > {\"no\":3,\"recall\":{\"lot\":17,\"issued\":$now}}");
    s.report("/ops/copies", "\"copies\":0,");
    s.run("c2 > serve 4 $ask call=ee\nstore < PULL ee");
}

#[test]
fn a_copy_past_its_fresh_time_and_a_write_go_to_the_stores() {
    let mut s = keeping();
    // Fresh for 12 s, and given out 60 s ago; a kept write would answer the next one.
    s.run(
        "c1 > serve 1 op=meter-photo ttl=2000 row=$row block=0 family=1 call=aa
         store < PULL aa
         store > aa ok entity=t1,remark=HIT,issued=5000 | photo
         c1 < served 1 | photo
         c1 > serve 2 op=meter-photo ttl=2000 row=$row block=0 family=1 call=bb
         store < PULL bb
         store > bb ok entity=t1,remark=HIT,issued=$now | photo
         c1 < served 2 | photo
         c1 > serve 3 op=submit-reading ttl=3000 row=$row block=0 family=1 call=cc | a reading
         store < PULL cc | a reading
         store > cc ok entity=t1,issued=$now | filed
         c1 < served 3 | filed
         c1 > serve 4 op=submit-reading ttl=3000 row=$row block=0 family=1 call=dd | a reading
         store < PULL dd | a reading",
    );
}

/// Invariant 4.
#[test]
fn while_the_bulletin_is_silent_or_gone_copies_answer_nothing() {
    let mut s = keeping();
    let ask = s.var("ask").to_string();
    let answer = "ok entity=t1,remark=MISS,issued=$now | x";
    s.until_held("c1", &ask, answer);
    s.run("bulletin mute");
    s.report("/ops/copies", "\"trusted\":false");
    s.run(
        "c2 > serve 1 $ask call=aa
         store < PULL aa
         store > aa ok entity=t1,remark=HIT,issued=$now | x
         c2 < served 1 | x",
    );
    s.run("bulletin speak");
    s.report("/ops/copies", "\"trusted\":true");
    s.until_held("c1", &ask, answer);
}

/// Guards against copies that answer after a purge which the source has but has not sent yet: it answered each call at once
/// with the head of its response, and sent the events later.
#[test]
fn copies_answer_nothing_between_the_head_of_a_response_and_the_events_that_were_missed() {
    let mut s = keeping();
    let ask = s.var("ask").to_string();
    s.until_held("c1", &ask, "ok entity=t1,remark=MISS,issued=$now | old");
    s.run("bulletin < call last=1\nbulletin mute\nbulletin close\nbulletin < call last=1\nwait 100");
    s.run(
        "c2 > serve 1 $ask call=aa
         store < PULL aa
         store > aa ok entity=t2,remark=MISS,issued=$now | new
         c2 < served 1 | new
         bulletin > {\"no\":2,\"recall\":{\"lot\":17,\"issued\":$now}}",
    );
    s.report("/ops/copies", "\"purged\":1");
    s.report("/ops/copies", "\"trusted\":false");
    s.run("bulletin speak");
    s.report("/ops/copies", "\"trusted\":true");
    s.until_held("c1", &ask, "ok entity=t2,remark=MISS,issued=$now | new");
}

/// Invariant 2: what cannot be read may have been a purge.
#[test]
fn an_event_that_is_spoilt_or_missing_for_good_takes_all_copies_with_it() {
    let mut s = keeping();
    let ask = s.var("ask").to_string();
    let answer = "ok entity=t1,remark=MISS,issued=$now | x";
    s.until_held("c1", &ask, answer);
    // Asked for again once; it comes no better.
    let spoilt = r#"bulletin > {"no":2,"recall":{"item":"$row"}}"#;
    s.run(&format!("bulletin < call last=1\n{spoilt}\nbulletin < call last=1\n{spoilt}\nlog < passed over"));
    s.report("/ops/copies", r#""copies":0,"#);
    s.until_held("c1", &ask, answer);
    // What was numbered between never comes.
    s.run(r#"bulletin > {"no":5,"other":{}}"#);
    s.report("/ops/copies", r#""copies":0,"#);
    s.until_held("c1", &ask, answer);
}

#[test]
fn the_second_front_is_answered_from_the_same_copies() {
    let mut s = keeping();
    let path = FILES.replace("history-files", "guide-video").replace("/3", "/0");
    s.link("link", &path, -10, 600, false);
    let ask = s.var("ask").to_string();
    s.until_held("c1", &ask, "ok entity=t1,remark=MISS,issued=$now | #70000");
    s.run("w1 > GET $link\nw1 < 200 ETag=\"t1\" | #70000\nw2 > GET $link ; If-None-Match: \"t1\"\nw2 < 304");
}

#[test]
fn the_file_is_read_again_and_a_faulty_one_is_named_and_changes_nothing() {
    let mut s = keeping();
    let ask = s.var("ask").to_string();
    let answer = "ok entity=t1,remark=MISS,issued=$now | #3000";
    s.until_held("c1", &ask, answer);
    s.run("put copies {\"memory_percent\":90}\nhup\nlog < memory_percent: 90 is not from 1 to 50");
    s.run("put copies {\"memory\":1}\nhup\nlog < memory");
    s.until_held("c1", &ask, answer);
    let room =
        |told: &str| told.split("\"room\":").nth(1).and_then(|t| t.split(',').next()?.parse::<u64>().ok());
    let before = room(&s.report("/ops/copies", "\"copies\":1,")).expect("a number");
    s.run("put copies {\"memory_percent\":1}\nhup\nlog < read again");
    let after = room(&s.report("/ops/copies", "\"copies\":1,")).expect("a number");
    assert_eq!((before, after), (16_000_000, 640_000));
}

/// Under the second deployment's window of 500 ms: word of a drain acts at once, whatever the window.
#[test]
fn after_a_drain_event_nothing_new_goes_there_as_request_or_source() {
    let mut s = Scenario::new(Setup { settings: SECOND, console: true, ..Setup::default() });
    s.set("row", ROW);
    s.run("bulletin < call last=1");
    let drain = |s: &mut Scenario, no: usize, name: &str, class: &str, health: &str| {
        let dial = s.var(name).parse().expect("an address");
        let entry = crate::scenario::entry(name, dial, class, health);
        s.run(&format!(
            "bulletin > {{\"no\":{no},\"roster\":{{\"seq\":{no},\"whole\":false,\"hosts\":[{entry}]}}}}"
        ));
    };
    drain(&mut s, 2, "a1", "standard", "draining");
    drain(&mut s, 3, "b1", "parent", "draining");
    // A store that is new shows in the figures that all before it was taken in.
    drain(&mut s, 4, "a2", "standard", "up");
    s.run("bulletin > {\"no\":5,\"roster\":{\"seq\":5,\"whole\":false,\"hosts\":[{\"host\":\"s-c1\",\"health\":\"removed\"}]}}");
    s.run("figure known_stores 3");
    for n in 0..8 {
        s.set("n", &n.to_string()).run(
            "c1 > serve 1$n op=guide-video ttl=5000 row=000000000000000$n block=0 family=1 call=a$n
             store < PULL a$n at=a2 miss=none
             store > a$n ok remark=HIT,issued=$now | x
             c1 < served 1$n | x",
        );
    }
}

#[test]
fn the_example_and_the_schema_under_deploy_are_those_of_this_program() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy");
    let example = deploy.join("copies.json").display().to_string();
    larchway_gateway::config::copies_file(&example).expect("well configured");
    let schema = std::fs::read_to_string(deploy.join("copies.schema.json")).expect("reads");
    assert_eq!(schema.trim(), larchway_gateway::config::copies_schema().trim(), "larchway schema copies");
    let config =
        format!(r#"{{"name":"n1","listen":"127.0.0.1:0","link_bytes_per_s":"fast","settings":{SECOND}}}"#);
    let mut command = Command::new(env!("CARGO_BIN_EXE_larchway"));
    command.arg("check-config").env("EDGE_CONFIG", file("bad.json", &config));
    command.env_remove("EDGE_NAME").env_remove("EDGE_LISTEN");
    let said = String::from_utf8(command.output().expect("runs").stderr).expect("text");
    assert!(said.contains("link_bytes_per_s"), "{said}");
}
