//! The wall clock of the program steps or is wrong from the start: no span follows it. Numbers are those of
//! `docs/design/time.md`.
use crate::scenario::ensemble::StandIn;
use crate::scenario::{entry, usual, Scenario, Setup, FILES, ROW, SECOND, SETTINGS};

const STEPS: [&str; 2] = ["+3600s", "-3600s"];
const WRONG: [i64; 2] = [3600, -3600];
/// Objects that are asked for to see where they go.
pub(crate) const OBJECTS: u64 = 30;
/// Of these, what a store in slow start gets at most, and what a warm one of two gets at least.
pub(crate) const COLD_SHARE: usize = 5;
pub(crate) const WARM_SHARE: usize = 8;
/// Half of what the wall clock is wrong by, in ms.
pub(crate) const HALF_AN_HOUR_MS: u64 = 1_800_000;

/// An entry of the list for a store that has started, as ms of the Unix clock.
pub(crate) fn started_at(s: &Scenario, name: &str, millis: u64) -> String {
    let dial = s.var(name).parse().expect("an address");
    entry(name, dial, "standard", "up").replace("\"born_ms\":0", &format!("\"born_ms\":{millis}"))
}

/// Publishes changes of the list.
pub(crate) fn publish(s: &mut Scenario, number: u64, entry: &str) {
    s.run(&format!(
        r#"bulletin > {{"no":{number},"roster":{{"seq":{number},"whole":false,"hosts":[{entry}]}}}}"#
    ));
}

/// Settings under which a store that has started may get next to nothing for an hour.
pub(crate) fn slow_to_warm() -> &'static str {
    let rules = "\"balancers\":1,\"rules\":{\"startCapacity\":0.0001,\"warmWithinMs\":3600000}";
    SETTINGS.replace("\"balancers\":1", rules).leak()
}

/// Asks for objects one after the other; how many of them a store is asked for.
pub(crate) fn asked_of(s: &mut Scenario, client: &str, from: u64, store: &str) -> usize {
    let mut count = 0;
    for n in from..from + OBJECTS {
        s.run(&format!(
            "{client} > serve {n} op=history-files ttl=6000 row={n:016x} block=0 family=1 call=y{n}
             store < PULL y{n} at=?box
             store > y{n} ok remark=HIT | got
             {client} < served {n} | got"
        ));
        count += usize::from(s.var("box") == store);
    }
    count
}

pub(crate) fn unix_ms() -> u64 {
    crate::scenario::unix_ms()
}

/// T1: the request's deadline, the attempt's, and the time for a hedged request.
#[test]
fn a_request_in_flight_keeps_its_time_when_the_clock_steps() {
    let settings = SETTINGS.replace("\"targetMs\":600", "\"targetMs\":5000").leak();
    for step in STEPS {
        let mut s = Scenario::new(Setup { settings, ..Setup::default() });
        s.set("step", step);
        s.run(&format!(
            "c1 > serve 1 op=history-files ttl=6000 row={ROW} block=3 family=17 call=aa
             store < PULL aa
             clock step $step
             c2 > isWell 1
             c2 < well 1
             never PULL *
             store > aa ok remark=HIT | in time
             c1 < served 1 | in time"
        ));
    }
}

/// T1: the connection that comes up late, and the attempt that waits for it.
#[test]
fn an_attempt_that_waits_for_its_connection_keeps_its_time_when_the_clock_steps() {
    let settings = SETTINGS.replace("\"connectTimeoutMs\":400", "\"connectTimeoutMs\":5000").leak();
    for step in STEPS {
        let mut s = Scenario::new(Setup { settings, held: &["a1", "a2", "b1"], ..Setup::default() });
        s.set("step", step);
        s.run(&format!(
            "c1 > serve 1 op=history-files ttl=6000 row={ROW} block=3 family=17 call=aa
             c2 > isWell 1
             c2 < well 1
             clock step $step
             c2 > isWell 2
             c2 < well 2
             store admit a1
             store admit a2
             store admit b1
             store < PULL aa
             store > aa ok remark=HIT | in time
             c1 < served 1 | in time"
        ));
    }
}

/// T1: what was taken in is answered within the longest deadline after SIGTERM, and requests are taken for 0.7 s more.
#[test]
fn after_sigterm_what_was_taken_is_answered_when_the_clock_steps() {
    for step in STEPS {
        let mut s = usual();
        s.set("step", step).run(
            "c1 > serve 1 $ask call=aa
             store < PULL aa
             c2 > isWell 1
             c2 < well 1
             term
             clock step $step
             c2 > serve 2 op=bid-status call=bb ttl=2500 row=$row block=0 family=1
             store < PULL bb
             store > bb ok remark=HIT | came after
             c2 < served 2 | came after
             store > aa ok remark=HIT | taken
             c1 < served 1 | taken
             exit 0",
        );
    }
}

/// T1: the session's time; a lost session would be resumed or begun anew.
#[test]
fn the_session_with_the_ensemble_lives_on_when_the_clock_steps() {
    const OWN: &str = "/larchway/n1";
    for step in STEPS {
        let ensemble = StandIn::new();
        let setup = Setup { ensemble: Some(ensemble.address), ..Setup::default() };
        let mut s = Scenario::new(setup);
        ensemble.until("registers", |z| z.nodes.contains_key(OWN));
        ensemble.until("pings", |z| z.asked("11 ") >= 1);
        let pings = ensemble.state().asked("11 ");
        s.run(&format!("clock step {step}\nc1 > isWell 1\nc1 < well 1"));
        ensemble.until("goes on to ping", |z| z.asked("11 ") >= pings + 3);
        let state = ensemble.state();
        assert_eq!((state.asked("session 1"), state.sessions.len()), (0, 1), "{step}");
        assert_eq!(state.asked("1 /larchway/n1"), 1, "{step}: it registers once");
    }
}

fn keeping(clock_ahead: i64) -> Scenario {
    let mut s = Scenario::new(Setup {
        settings: SECOND,
        copies: Some("{}"),
        console: true,
        clock_ahead,
        ..Setup::default()
    });
    s.set("row", ROW).set("ask", &format!("op=guide-video ttl=5000 row={ROW} family=17 block=0"));
    s.set("photo", &format!("op=meter-photo ttl=2000 row={ROW} family=1 block=0"));
    s.report("/ops/copies", "\"trusted\":true");
    s
}

/// T4: a copy that is fresh for 12 s stays so, and one that was purged does not come back.
#[test]
fn copies_are_served_for_their_fresh_time_when_the_clock_steps() {
    for step in STEPS {
        let mut s = keeping(0);
        let photo = s.var("photo").to_string();
        s.until_held("c1", &photo, "ok entity=t1,remark=MISS,issued=$now | kept");
        s.run(&format!(
            "clock step {step}
             c2 > serve 1 $photo call=aa
             never PULL aa
             c2 < served 1 | kept
             bulletin > {{\"no\":2,\"recall\":{{\"item\":\"$row\",\"issued\":$now}}}}"
        ));
        s.report("/ops/copies", "\"purged\":1");
        // T2: one from before the purge and one from after it, both received after the step.
        s.run(
            "c2 > serve 2 $photo call=bb
             store < PULL bb
             store > bb ok entity=t1,remark=HIT,issued=5000 | old
             c2 < served 2 | old
             c2 > serve 3 $photo call=cc
             store < PULL cc",
        );
        s.run(
            "store > cc ok entity=t2,remark=MISS,issued=$now | new
             c2 < served 3 | new",
        );
        let (_, body) = s.until_held("c1", &photo, "ok entity=t2,remark=MISS,issued=$now | new");
        assert_eq!(body, b"new", "{step}");
    }
}

/// T4: the age counts on by the monotonic clock, however far the wall clock went back.
#[test]
fn a_copy_grows_old_when_the_clock_steps_back() {
    let settings =
        SECOND.replace("\"lifetimeByClassMs\":[0,12000,0]", "\"lifetimeByClassMs\":[0,1500,0]").leak();
    let mut s = Scenario::new(Setup { settings, copies: Some("{}"), console: true, ..Setup::default() });
    s.set("photo", &format!("op=meter-photo ttl=2000 row={ROW} family=1 block=0"));
    s.report("/ops/copies", "\"trusted\":true");
    s.run(
        "c1 > serve 1 $photo call=aa
         store < PULL aa
         store > aa ok entity=t1,remark=MISS,issued=$now | kept
         c1 < served 1 | kept",
    );
    s.report("/ops/copies", "\"copies\":1,");
    s.run(
        "clock step -3600s
         wait 1600
         c1 > serve 2 $photo call=bb
         store < PULL bb",
    );
}

/// T3: a purge that is heard binds at once, whatever the own clock says. The bound that goes with a request is the time
/// since the purge.
#[test]
fn a_purge_binds_requests_under_a_clock_that_is_wrong_from_the_start() {
    for clock_ahead in WRONG {
        let mut s = Scenario::new(Setup { clock_ahead, ..Setup::default() });
        s.set("row", ROW).run(
            "bulletin < call last=1
             bulletin > {\"no\":2,\"recall\":{\"item\":\"$row\",\"issued\":$now}}
             wait 50
             c1 > serve 1 op=history-files ttl=6000 row=$row block=3 family=17 call=aa
             store < PULL aa within=?within",
        );
        let within: u64 = s.var("within").parse().expect("a number");
        assert!(within < 6000, "{clock_ahead}: {within} ms since a purge that was just heard");
    }
}

/// T4: under a slow clock nothing is kept before a purge has told how slow it is, and under a fast one nothing that
/// might have outlived its fresh time.
#[test]
fn copies_follow_purges_under_a_clock_that_is_wrong_from_the_start() {
    for clock_ahead in WRONG {
        let mut s = keeping(clock_ahead);
        s.run(
            "bulletin < call last=1\nbulletin > {\"no\":2,\"recall\":{\"lot\":200,\"issued\":$now}}\nwait 50",
        );
        let ask = s.var("ask").to_string();
        // Its class is fresh until it is purged.
        s.until_held("c1", &ask, "ok entity=t1,remark=MISS,issued=$now | kept");
        s.run("bulletin > {\"no\":3,\"recall\":{\"item\":\"$row\",\"issued\":$now}}");
        s.report("/ops/copies", "\"purged\":1");
        s.run(
            "c2 > serve 1 $ask call=aa
             store < PULL aa within=?within
             store > aa ok entity=t2,remark=MISS,issued=$now | new
             c2 < served 1 | new",
        );
        let (_, body) = s.until_held("c1", &ask, "ok entity=t2,remark=MISS,issued=$now | new");
        assert_eq!(body, b"new", "{clock_ahead}");
    }
}

/// T1, T3: a store that has started warms by the steady clock; a step in between does not make it warm.
#[test]
fn a_store_in_slow_start_stays_cold_when_the_clock_steps() {
    for step in STEPS {
        let mut s = Scenario::new(Setup { settings: slow_to_warm(), ..Setup::default() });
        s.run("bulletin < call last=1");
        assert!(asked_of(&mut s, "c1", 100, "a1") >= WARM_SHARE, "it is warm at first");
        let entry = started_at(&s, "a1", unix_ms());
        publish(&mut s, 2, &entry);
        s.run(&format!("wait 50\nclock step {step}"));
        let cold = asked_of(&mut s, "c1", 200, "a1");
        assert!(cold <= COLD_SHARE, "{step}: {cold} of {OBJECTS}");
    }
}

/// T3: news of a start makes a store cold from then on, whatever the own clock says.
#[test]
fn a_store_named_as_started_is_cold_under_a_clock_that_is_wrong_from_the_start() {
    for clock_ahead in WRONG {
        let mut s = Scenario::new(Setup { settings: slow_to_warm(), clock_ahead, ..Setup::default() });
        s.run("bulletin < call last=1");
        assert!(asked_of(&mut s, "c1", 100, "a1") >= WARM_SHARE, "it is warm at first");
        let entry = started_at(&s, "a1", unix_ms());
        publish(&mut s, 2, &entry);
        s.run("wait 50");
        let cold = asked_of(&mut s, "c1", 200, "a1");
        assert!(cold <= COLD_SHARE, "{clock_ahead}: {cold} of {OBJECTS}");
    }
}

/// A gateway that knows no list until it is told one, in which the edge caches a1 and a2 have been up for so long.
pub(crate) fn first_list(clock_ahead: i64, settings: &'static str, up_for_ms: [u64; 2]) -> Scenario {
    let mut s = Scenario::new(Setup { known: false, settings, clock_ahead, ..Setup::default() });
    let now = unix_ms();
    let mut entries: Vec<String> =
        ["a1", "a2"].iter().zip(up_for_ms).map(|(name, up_for)| started_at(&s, name, now - up_for)).collect();
    for (name, class) in [("b1", "parent"), ("c1", "origin")] {
        entries.push(entry(name, s.var(name).parse().expect("an address"), class, "up"));
    }
    let hosts = entries.join(",");
    s.run(&format!(
        r#"bulletin < call
         bulletin > {{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[{hosts}]}}}}"#
    ));
    s
}

/// T3, T5: stores of the first list that have been up for longer than slow start lasts. Under a slow clock they seem to
/// start in the future, and are warm once the span of the settings has passed.
#[test]
fn stores_of_the_first_list_that_are_up_for_long_are_warm_within_the_span_whatever_the_clock_says() {
    const SPAN_MS: u64 = 1_000;
    let settings = slow_to_warm().replace("3600000", &SPAN_MS.to_string()).leak();
    for clock_ahead in WRONG {
        for up_for_ms in [[HALF_AN_HOUR_MS; 2], [10 * HALF_AN_HOUR_MS; 2]] {
            let mut s = first_list(clock_ahead, settings, up_for_ms);
            s.run(&format!("wait {}", SPAN_MS + 200));
            let warm = asked_of(&mut s, "c1", 100, "a1");
            assert!(warm >= WARM_SHARE, "{clock_ahead}, up for {up_for_ms:?} ms: {warm} of {OBJECTS}");
        }
    }
}

/// T3, T5: a store of the first list that has just started is cold whatever the own clock says, also where it seems to
/// have started long ago, or to start in the future.
#[test]
fn a_store_of_the_first_list_that_has_just_started_is_cold_whatever_the_clock_says() {
    for clock_ahead in [0, 20, 3600, -3600] {
        let mut s = first_list(clock_ahead, slow_to_warm(), [0, 10 * HALF_AN_HOUR_MS]);
        s.run("wait 50");
        let cold = asked_of(&mut s, "c1", 100, "a1");
        assert!(cold <= COLD_SHARE, "{clock_ahead}: {cold} of {OBJECTS}");
    }
}

/// T5: under a slow clock a store that has just started seems to start in the future, and warms as any other.
#[test]
fn a_store_that_seems_to_start_in_the_future_warms() {
    let settings = slow_to_warm().replace("3600000", "1000").leak();
    let mut s = Scenario::new(Setup { settings, clock_ahead: -3600, ..Setup::default() });
    s.run("bulletin < call last=1");
    let entry = started_at(&s, "a1", unix_ms());
    publish(&mut s, 2, &entry);
    s.run("wait 1200");
    assert!(asked_of(&mut s, "c1", 100, "a1") >= WARM_SHARE);
}

/// T1: what one process knows as draining holds in the next one until that has news of its own.
#[test]
fn a_drain_received_by_the_old_process_alone_holds_in_the_new_one_when_the_clock_steps() {
    for step in STEPS {
        let mut s = Scenario::new(Setup { console: true, ..Setup::default() });
        let draining = started_at(&s, "a1", 0).replace("\"up\"", "\"draining\"");
        s.run("bulletin < call last=1");
        publish(&mut s, 2, &draining);
        let before = asked_of(&mut s, "c1", 100, "a1");
        // The new one hears nothing of its own.
        s.run(&format!(
            "bulletin mute\nclock step {step}\nstart\nlog < takes over\nold kill\nclock step {step}"
        ));
        let after = asked_of(&mut s, "c2", 200, "a1");
        assert_eq!((before, after), (0, 0), "{step}");
    }
}

/// T1, T3: the later process goes on by the earlier one's clock, so that a store that came back before the step is cold
/// in both, and what was taken is answered.
#[test]
fn a_store_that_came_back_is_cold_in_both_processes_of_an_upgrade_when_the_clock_steps() {
    for step in STEPS {
        let mut s = Scenario::new(Setup { console: true, settings: slow_to_warm(), ..Setup::default() });
        s.run(&format!(
            "o1 > PUT /ops/stores/down | {{\"who\":\"s-a1\"}}
             o1 < 200
             o2 > PUT /ops/stores/up | {{\"who\":\"s-a1\"}}
             o2 < 200
             c9 > serve 1 op=history-files ttl=6000 row={ROW} block=3 family=17 call=aa
             store < PULL aa
             clock step {step}
             start
             log < takes over
             old term
             store > aa ok remark=HIT | by the old one
             c9 < served 1 | by the old one
             old exit 0"
        ));
        let cold = asked_of(&mut s, "c1", 200, "a1");
        assert!(cold <= COLD_SHARE, "{step}: {cold} of {OBJECTS}");
    }
}

/// The only time that follows the wall clock.
#[test]
fn a_link_expires_by_the_wall_clock_and_a_fill_under_way_is_still_answered() {
    let mut s = usual();
    s.link("soon", FILES, -60, 600, false);
    s.run(
        "w1 > GET $soon
         store < PULL *
         clock step +3600s
         w2 > GET $soon
         w2 < 403 | the link has expired
         store > * ok entity=a | granted
         w1 < 200 | granted
         clock step -3600s
         w2 > GET $soon
         store < PULL *
         store > * ok entity=a | again
         w2 < 200 | again",
    );
}

/// T1: the time in which a write may be repeated, after its first attempt was lost.
#[test]
fn a_write_whose_connection_breaks_is_repeated_within_its_window_when_the_clock_steps() {
    for step in STEPS {
        let mut s = usual();
        s.set("step", step).run(
            "c1 > serve 1 op=bid-submit call=aa ttl=3000 dedupe=k1 row=$row block=0 family=1 | a bid
             store < PULL aa replay=k1 | a bid
             clock step $step
             c2 > isWell 1
             c2 < well 1
             store reset aa
             store < PULL aa replay=k1 | a bid
             store > aa ok entity=t1 | filed
             c1 < served 1 | filed",
        );
    }
}
