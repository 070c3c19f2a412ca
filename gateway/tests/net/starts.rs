//! What a process believes of when stores have started, by each way in which it learns of them, under clocks that are
//! wrong. A store that has just started is cold; one that is known to be up for long is warm.
use crate::clock::{
    asked_of, first_list, publish, slow_to_warm, started_at, unix_ms, COLD_SHARE, HALF_AN_HOUR_MS, OBJECTS,
    WARM_SHARE,
};
use crate::membership::{keepers, place};
use crate::scenario::{entry, Scenario, Setup};
use larchway_lab::clock::now;
use std::time::{Duration, Instant};

/// Seconds by which the wall clock is ahead.
const CLOCKS_AHEAD: [i64; 4] = [0, 20, 3600, -3600];
/// Settings under which a store that has started gets a part of its work until it is warm, which takes an hour.
const USUAL_SHARE: &str = "\"startCapacity\":0.15,\"warmWithinMs\":3600000";

/// Has one request answered by a store whose copy the origin has just issued.
fn report_the_time(s: &mut Scenario) {
    s.run(
        "c3 > serve 1 op=history-files ttl=6000 row=00000000000000aa block=0 family=1 call=zz
         store < PULL zz
         store > zz ok remark=FILL,issued=$now | filled
         c3 < served 1 | filled",
    );
}

/// A list whose newest start is from hours ago tells nothing of the clock. The first answer of a store does.
#[test]
fn stores_that_are_up_for_hours_are_warm_once_an_answer_reports_the_time() {
    let settings = slow_to_warm().replace("\"startCapacity\":0.0001,\"warmWithinMs\":3600000", USUAL_SHARE);
    let settings: &'static str = settings.leak();
    for clock_ahead in [0, 3600] {
        let up_for = 10 * HALF_AN_HOUR_MS;
        let mut s = first_list(clock_ahead, settings, [up_for, up_for]);
        // The budgets of a process grow for the span in which work counts towards a fall.
        s.run("wait 2200");
        report_the_time(&mut s);
        s.run("log < starts of stores turn out to be earlier");
        let (one, all) = (asked_of(&mut s, "c1", 100, "a1"), OBJECTS as usize);
        assert!((WARM_SHARE..=all - WARM_SHARE).contains(&one), "{clock_ahead}: {one} of {all}");
    }
}

/// A purge that is heard reports the time as well.
#[test]
fn stores_that_are_up_for_hours_are_warm_once_a_purge_reports_the_time() {
    let up_for = 10 * HALF_AN_HOUR_MS;
    let mut s = first_list(0, slow_to_warm(), [up_for, up_for]);
    s.run(
        "bulletin > {\"no\":2,\"recall\":{\"lot\":200,\"issued\":$now}}
         log < starts of stores turn out to be earlier",
    );
    assert!(asked_of(&mut s, "c1", 100, "a1") >= WARM_SHARE);
}

/// SIGHUP reads the known list anew: it may name a start that no event has told.
#[test]
fn a_store_that_a_list_read_at_sighup_names_as_started_is_cold_whatever_the_clock_says() {
    for clock_ahead in CLOCKS_AHEAD {
        let mut s = Scenario::new(Setup { settings: slow_to_warm(), clock_ahead, ..Setup::default() });
        s.run("bulletin < call last=1");
        assert!(asked_of(&mut s, "c1", 100, "a1") >= WARM_SHARE, "it is warm at first");
        let before = entry("a1", s.var("a1").parse().expect("an address"), "standard", "up");
        let started = started_at(&s, "a1", unix_ms());
        s.replace("config", &before, &started);
        s.replace("config", "\"no\":1", "\"no\":2");
        s.run("hup\nlog < is read again");
        let cold = asked_of(&mut s, "c1", 200, "a1");
        assert!(cold <= COLD_SHARE, "{clock_ahead}: {cold} of {OBJECTS}");
    }
}

/// The same start comes again by an event, and by a list without it and with it: it stays one start, and cold.
#[test]
fn a_start_that_is_listed_again_and_again_stays_cold_whatever_the_clock_says() {
    for clock_ahead in CLOCKS_AHEAD {
        let mut s = first_list(clock_ahead, slow_to_warm(), [0, 10 * HALF_AN_HOUR_MS]);
        let started = started_at(&s, "a1", unix_ms() - 100);
        let removed = started.replace("\"up\"", "\"removed\"");
        for (number, entry) in [(2, &started), (3, &removed), (4, &started), (5, &started)] {
            publish(&mut s, number, entry);
        }
        s.run("wait 50");
        let cold = asked_of(&mut s, "c1", 100, "a1");
        assert!(cold <= COLD_SHARE, "{clock_ahead}: {cold} of {OBJECTS}");
    }
}

/// Nodes of the ensemble state starts as the list does, and are read one by one.
#[test]
fn a_store_whose_node_states_a_start_is_cold_whatever_the_clock_says() {
    for clock_ahead in CLOCKS_AHEAD {
        let keepers = keepers();
        let setup = Setup {
            ensemble: Some(keepers.servers[0]),
            known: false,
            settings: slow_to_warm(),
            clock_ahead,
            ..Setup::default()
        };
        let mut s = Scenario::new(setup);
        let stores = [("a1", "standard"), ("a2", "standard"), ("b1", "parent"), ("c1", "origin")];
        for (at, (name, class)) in stores.iter().enumerate() {
            let up_for = if *name == "a1" { 0 } else { 10 * HALF_AN_HOUR_MS };
            let standard = started_at(&s, name, unix_ms() - up_for);
            let data = standard.replace("\"standard\"", &format!("\"{class}\""));
            keepers.with(|e| e.put(now(), &format!("/stores/{name}"), data.as_bytes(), 50 + at as i64));
        }
        s.run("wait 800");
        let cold = asked_of(&mut s, "c1", 100, "a1");
        assert!(cold <= COLD_SHARE, "{clock_ahead}: {cold} of {OBJECTS}");
    }
}

/// The roster is read by a process whose clock is ahead of the one that has saved it.
#[test]
fn a_store_of_the_saved_roster_that_has_just_started_is_cold_whatever_the_clock_says() {
    let (keepers, folder) = (keepers(), place("starts"));
    std::fs::create_dir_all(&folder).expect("a folder");
    let extra = format!(r#","state":"{}""#, folder.display());
    let gateway = |clock_ahead| {
        let ensemble = Some(keepers.servers[0]);
        Scenario::new(Setup { ensemble, known: false, extra: extra.clone(), clock_ahead, ..Setup::default() })
    };
    let first = gateway(0);
    // The roster is saved by the clock as it stays then.
    let saved_ahead = first.settle_clock();
    let data = started_at(&first, "a1", unix_ms());
    keepers.with(|e| e.put(now(), "/stores/a1", data.as_bytes(), 50));
    let roster = folder.join("members-n1.roster");
    let end = Instant::now() + Duration::from_secs(15);
    while !std::fs::read(&roster).is_ok_and(|bytes| bytes.windows(4).any(|name| name == b"s-a1")) {
        assert!(Instant::now() < end, "no roster is saved");
        std::thread::sleep(Duration::from_millis(20));
    }
    drop(first);
    keepers.with(|e| e.servers.iter_mut().for_each(|server| server.stalled = true));
    for (clock_ahead, by_own_clock) in [(20, "2"), (300, "30")] {
        let mut next = gateway(saved_ahead + clock_ahead);
        next.set("age", by_own_clock).run(
            "log < begins from a roster of 1 boxes
             log < a store has started store=\"s-a1\" age_ms=0 by_own_clock_ms=$age",
        );
    }
    std::fs::remove_dir_all(&folder).expect("removes");
}

/// A store that operators have called back counts as started then, by the file of their calls too.
#[test]
fn a_store_that_was_called_back_is_cold_after_a_restart_whatever_the_clock_says() {
    for step in ["+3600", "+20", "-3600"] {
        let mut s = Scenario::new(Setup { console: true, settings: slow_to_warm(), ..Setup::default() });
        s.run(&format!(
            "o1 > PUT /ops/stores/down | {{\"who\":\"s-a1\"}}
             o1 < 200
             o2 > PUT /ops/stores/up | {{\"who\":\"s-a1\"}}
             o2 < 200
             kill
             clock step {step}s
             start"
        ));
        let cold = asked_of(&mut s, "c9", 200, "a1");
        assert!(cold <= COLD_SHARE, "{step}: {cold} of {OBJECTS}");
    }
}
