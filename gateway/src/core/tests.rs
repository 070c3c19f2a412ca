use super::attempts::SHORTEST_WAIT;
use super::requests::LONGEST_REPLY_MARGIN;
use super::{AttemptResult, Command, Core, FailureCause, ReplyHandle, Request};
use crate::bulletin::Change;
use crate::clock::wire::CopyTimes;
use crate::deadlines::DeadlineKind;
use crate::slots::SlotKey;
use crate::wire_settings::ClassSettings;
use larchway::{Class, Effect, Host, MonotonicTime, Note, ServerId, Settings, State, Status};
use larchway_endpoints::{Endpoint, ListScope};
use larchway_hierarchy::loop_detection::LoopInferenceSettings;
use larchway_hierarchy::origin_admission::{AdmissionSettings, OriginAdmission};
use larchway_object_cache::{CopiesFile, LinkRates, MemoryBudget, ObjectCache, PurgeSource};
use larchway_operations::classes::NamedClass;
use larchway_operations::shutdown::final_reply_deadline;
use std::collections::BTreeMap;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const MICROSECOND: Duration = Duration::from_micros(1);
const START: MonotonicTime = MonotonicTime::from_micros(1_000_000_000);

fn store(server: ServerId, kind: usize, state: State) -> Endpoint {
    let host = Host { server, kind, state, weight: 4.0, ..Host::default() };
    Endpoint { host, name: format!("s-{server}"), dial: None }
}

fn configured_core() -> Core {
    let class = |latency_objective, effect, fresh| Class {
        latency_objective,
        objective_stretch: 2.0,
        effect,
        fresh,
        ..Class::default()
    };
    let classes =
        [class(600 * MS, Effect::Idempotent, Duration::ZERO), class(400 * MS, Effect::Idempotent, 8000 * MS)];
    let settings_of = |class: &Class| ClassSettings {
        class: class.clone(),
        deadline: 6000 * MS,
        needs_idempotency_key: false,
    };
    let classes = classes
        .iter()
        .zip(["files", "status"])
        .map(|(class, name)| NamedClass { name: name.into(), settings: settings_of(class) })
        .collect();
    let settings = Settings {
        parent_kind: Some(1),
        origin_kind: Some(2),
        cancel: true,
        duplicates: true,
        max_attempts: 8,
        ..Settings::default()
    };
    let mut core = Core::new(1);
    core.configure(START, settings, classes);
    let stores = vec![
        store(1, 0, State::Up),
        store(2, 0, State::Up),
        store(50, 1, State::Up),
        store(90, 2, State::Up),
    ];
    core.apply_event(START, &Change::EndpointList { scope: ListScope::Complete, endpoints: stores });
    core
}

fn reply_to(sequence: u64) -> ReplyHandle {
    ReplyHandle { connection: SlotKey(9), sequence }
}

fn new_request(class: usize, object: u64) -> Request {
    Request {
        class,
        object,
        group: 17,
        timeout: 6000 * MS,
        call_id: format!("{object:x}"),
        ..Request::default()
    }
}

fn take_sent(core: &mut Core) -> Vec<SlotKey> {
    let commands = std::mem::take(&mut core.commands);
    commands
        .into_iter()
        .filter_map(|command| if let Command::SendAttempt(key) = command { Some(key) } else { None })
        .collect()
}

#[test]
fn a_waiting_attempt_goes_elsewhere_after_a_drain_event() {
    let mut core = configured_core();
    core.admit(START, reply_to(1), new_request(0, 7));
    let waiting = take_sent(&mut core)[0];
    core.attempt(waiting).expect("an open attempt").connection = Some(SlotKey(5));
    let (server, _) = core.target(waiting).expect("a target");
    core.apply_event(
        START + MICROSECOND,
        &Change::EndpointList {
            scope: ListScope::Changes,
            endpoints: vec![store(server, 0, State::Draining)],
        },
    );
    assert!(
        matches!(core.commands.front(), Some(Command::AbandonAttempt { attempt, .. }) if *attempt == waiting)
    );
    let resent = take_sent(&mut core);
    assert_eq!(resent.len(), 1);
    assert_ne!(core.target(resent[0]).expect("a target").0, server);
    assert!(
        core.store_request(START + 2 * MICROSECOND, waiting).is_none(),
        "the withdrawn attempt is not sent"
    );
}

#[test]
fn a_waiting_attempt_is_decided_again_after_a_purge_but_a_sent_one_is_not() {
    let mut core = configured_core();
    for object in [7, 8] {
        core.admit(START, reply_to(object), new_request(0, object));
    }
    let keys = take_sent(&mut core);
    core.attempt(keys[1]).expect("an open attempt").first_byte_at = Some(START);
    let purge = Change::Purge { object: None, group: 17, issued: START - 50 * MS, age: 50 * MS };
    core.apply_event(START, &purge);
    assert!(core.attempt(keys[0]).is_none() && core.attempt(keys[1]).is_some());
    let resent = take_sent(&mut core);
    assert_eq!(
        core.store_request(START, resent[0]).expect("an open attempt").max_age_ms,
        40,
        "less the margin"
    );
    // While the attempt waits, the age bound grows with the time since the purge.
    assert_eq!(core.store_request(START + 100 * MS, resent[0]).expect("an open attempt").max_age_ms, 140);
}

#[test]
fn the_age_bound_never_exceeds_the_fresh_time() {
    let mut core = configured_core();
    let (issued, age) = (START - 7990 * MS, 7990 * MS);
    core.apply_event(START, &Change::Purge { object: Some(7), group: 0, issued, age });
    core.admit(START, reply_to(1), new_request(1, 7));
    let key = take_sent(&mut core)[0];
    assert_eq!(core.store_request(START, key).expect("an open attempt").max_age_ms, 7980);
    assert_eq!(core.store_request(START + 500 * MS, key).expect("an open attempt").max_age_ms, 8000);
}

#[test]
fn removed_stores_leave_no_state_behind() {
    let mut core = configured_core();
    for n in 0..1000 {
        core.apply_event(
            START,
            &Change::EndpointList {
                scope: ListScope::Changes,
                endpoints: vec![store(1000 + n, 0, State::Up)],
            },
        );
        core.admit(START, reply_to(n), new_request(0, n));
        core.apply_event(
            START,
            &Change::EndpointList {
                scope: ListScope::Changes,
                endpoints: vec![store(1000 + n, 0, State::Draining)],
            },
        );
        core.apply_event(
            START,
            &Change::EndpointList {
                scope: ListScope::Changes,
                endpoints: vec![store(1000 + n, 0, State::Removed)],
            },
        );
    }
    assert_eq!((core.stores.len(), core.router.servers()), (4, 4));
    core.apply_event(
        START,
        &Change::EndpointList { scope: ListScope::Complete, endpoints: vec![store(1, 0, State::Up)] },
    );
    assert_eq!((core.stores.len(), core.router.servers()), (1, 1));
}

#[test]
fn the_reply_margin_takes_little_of_a_short_timeout() {
    let mut core = configured_core();
    core.admit(START, reply_to(1), Request { timeout: 50 * MS, ..new_request(1, 7) });
    let key = take_sent(&mut core)[0];
    assert!((45..50).contains(&core.store_request(START, key).expect("an open attempt").max_wait_ms));
}

/// Guards against a store that works for a client that has given up: the wait stated to it must never exceed the
/// client's time left, whenever the bytes are written.
#[test]
fn an_attempt_never_passes_on_more_than_is_left_and_needs_a_millisecond() {
    const TTL: Duration = Duration::from_secs(6);
    for time_left in (0..40).map(|n| n * 100 * MICROSECOND).chain([TTL / 2, TTL - LONGEST_REPLY_MARGIN]) {
        let mut core = configured_core();
        core.admit(START, reply_to(1), new_request(0, 7));
        let end = core.requests.values_mut().next().expect("an open request").deadline;
        let at = end - time_left;
        // A withdrawn attempt is decided again, with no more attempts than the settings allow.
        let (mut begun, mut decided) = (0, 0);
        while let Some(key) = take_sent(&mut core).pop() {
            decided += 1;
            if core.may_send(at, key) {
                begun += 1;
                let max_wait_ms = core.store_request(at, key).expect("an open attempt").max_wait_ms;
                assert!(Duration::from_millis(max_wait_ms) <= time_left, "{time_left:?}");
                core.record_first_byte(at, key);
            }
        }
        assert!(decided <= 8, "{decided} attempts with {time_left:?}");
        assert!((begun > 0) == (time_left >= SHORTEST_WAIT), "{begun} begun with {time_left:?}");
        while let Some(due) = core.deadlines.pop(end) {
            core.handle_deadline(end, due);
        }
        assert_eq!(core.unanswered_requests(), 0, "one final reply, with {time_left:?}");
    }
}

#[test]
fn an_attempt_reconnects_only_once() {
    let mut core = configured_core();
    core.admit(START, reply_to(1), new_request(0, 7));
    let waiting = take_sent(&mut core)[0];
    assert!(core.reconnect_once(waiting) && !core.reconnect_once(waiting));
}

#[test]
fn a_call_id_in_use_is_rejected_until_its_request_has_ended() {
    let mut core = configured_core();
    let request = core.admit(START, reply_to(1), new_request(0, 7)).expect("admitted");
    assert!(core.admit(START, reply_to(2), new_request(0, 7)).is_none());
    core.client_left(START, request);
    assert!(core.admit(START, reply_to(3), new_request(0, 7)).is_some());
}

#[test]
fn each_request_gets_one_final_reply_despite_late_events() {
    let mut core = configured_core();
    let request = core.admit(START, reply_to(1), new_request(0, 7)).expect("admitted");
    let first = take_sent(&mut core)[0];
    core.attempt(first).expect("an open attempt").first_byte_at = Some(START);
    assert_eq!(core.end_attempt(START + 5 * MICROSECOND, first, Status::Ok, Note::Hit), Some(reply_to(1)));
    assert_eq!(core.end_attempt(START + 6 * MICROSECOND, first, Status::Ok, Note::Hit), None);
    core.client_left(START + 7 * MICROSECOND, request);
    core.handle_deadline(START + 6000 * MS, DeadlineKind::Request(request));
    let final_replies = core
        .commands
        .iter()
        .filter(|command| matches!(command, Command::ReplyRejected(..) | Command::ReplyFailed(..)))
        .count();
    assert_eq!((final_replies, core.open_requests(), core.request_body_bytes), (0, 0, 0));
}

#[test]
fn at_the_deadline_a_request_fails_and_its_attempt_is_abandoned() {
    let mut core = configured_core();
    let request = core.admit(START, reply_to(1), new_request(0, 7)).expect("admitted");
    let key = take_sent(&mut core)[0];
    let attempt = core.attempt(key).expect("an open attempt");
    (attempt.first_byte_at, attempt.connection) = (Some(START), Some(SlotKey(5)));
    let at = core
        .deadlines
        .next()
        .map_or(MonotonicTime::MIN, |next| next.max(START + 6000 * MS - LONGEST_REPLY_MARGIN));
    core.handle_deadline(at, DeadlineKind::Request(request));
    assert!(at < START + 6000 * MS, "before the client gives up");
    let commands: Vec<Command> = core.commands.drain(..).collect();
    assert!(commands
        .iter()
        .any(|command| matches!(command, Command::AbandonAttempt { attempt, .. } if *attempt == key)));
    assert_eq!(
        commands
            .iter()
            .filter(|command| **command == Command::ReplyFailed(reply_to(1), FailureCause::DeadlineExceeded))
            .count(),
        1
    );
    assert_eq!((core.open_requests(), core.unanswered_requests()), (0, 0));
}

/// The platform may kill the process after its longest deadline (3 s at most) and 0.7 s from the signal to stop. All
/// attempts hang, and requests arrive before and after the signal.
#[test]
fn all_requests_are_answered_before_the_process_may_be_killed() {
    const STEP: Duration = Duration::from_millis(10);
    for longest in [50 * MS, 200 * MS, 1000 * MS, 3000 * MS, 6000 * MS] {
        let mut core = configured_core();
        let announced_at = START + 500 * MS;
        let killed_at = announced_at + longest.min(3000 * MS) + 700 * MS;
        let mut answered = 0;
        let mut number = 0;
        let mut at = START;
        while at < killed_at {
            if at == announced_at {
                core.answer_all_by(at, final_reply_deadline(at, longest));
            }
            number += 1;
            core.admit(
                at,
                reply_to(number),
                Request { timeout: longest, ..new_request(number as usize % 2, number) },
            );
            for key in take_sent_and_count_replies(&mut core, &mut answered) {
                core.record_first_byte(at, key);
            }
            // Deadlines within a step are handled at its end.
            at += STEP;
            while let Some(due) = core.deadlines.pop(at) {
                core.handle_deadline(at, due);
            }
            take_sent_and_count_replies(&mut core, &mut answered)
                .into_iter()
                .for_each(|key| core.record_first_byte(at, key));
        }
        assert_eq!((core.unanswered_requests(), answered), (0, number), "with deadlines of {longest:?}");
    }
}

/// Takes the attempts that are to be sent, and counts the rejections and failures among the commands.
fn take_sent_and_count_replies(core: &mut Core, answered: &mut u64) -> Vec<SlotKey> {
    let final_replies = core
        .commands
        .iter()
        .filter(|command| matches!(command, Command::ReplyRejected(..) | Command::ReplyFailed(..)));
    *answered += final_replies.count() as u64;
    take_sent(core)
}

/// Invariant 1 of `docs/design/operations.md`, over random histories: the counters must match the replies sent.
#[test]
fn each_received_request_is_counted_once_by_its_outcome() {
    for seed in 0..40u64 {
        let mut drawn = 0;
        let mut draw = |most: u64| {
            drawn += 1;
            larchway::mix(larchway::mix(seed + 1) ^ larchway::mix(drawn)) % most
        };
        let mut core = configured_core();
        // Half of the histories have an object cache (invariant 6 of `docs/design/copies.md`).
        let mut cache = ObjectCache::new(CopiesFile::default(), LinkRates::default());
        cache.set_capacity(MemoryBudget { limit: 1_000_000, reserved: 0 });
        cache.set_purge_source(PurgeSource::None);
        core.object_cache = (seed % 2 == 1).then_some(cache);
        let mut cached = 0;
        let (mut at, mut received, mut left) = (START, 0u64, 0u64);
        let mut expected = [0u64; 3];
        let mut requests: Vec<SlotKey> = Vec::new();
        let mut attempts: Vec<SlotKey> = Vec::new();
        for step in 0..400 {
            at += Duration::from_millis(draw(40));
            match draw(10) {
                0..=3 => {
                    let call_id = format!("{step:x}");
                    let timeout = Duration::from_millis(1 + draw(900));
                    let request =
                        Request { timeout, call_id, ..new_request(draw(2) as usize, 1000 + draw(30)) };
                    received += 1;
                    requests.extend(core.admit(at, reply_to(step), request));
                }
                4..=6 if !attempts.is_empty() => {
                    let key = attempts.swap_remove(draw(attempts.len() as u64) as usize);
                    let all = [Status::Ok, Status::Error, Status::Full, Status::Reset, Status::Miss];
                    let status = all[draw(5) as usize];
                    if status == Status::Ok {
                        core.cache_copy(at, key, CopyTimes { issued: at, issued_local: at }, None, b"bytes");
                    }
                    if core.end_attempt(at, key, status, Note::None).is_some() {
                        expected[0] += 1;
                    }
                }
                7 if !requests.is_empty() => {
                    let key = requests.swap_remove(draw(requests.len() as u64) as usize);
                    let before = core.unanswered_requests();
                    core.client_left(at, key);
                    left += (before - core.unanswered_requests()) as u64;
                }
                8 => {
                    received += 1;
                    expected[1] += 1;
                    core.count_rejected(draw(2) as usize);
                }
                _ => {}
            }
            while let Some(due) = core.deadlines.pop(at) {
                core.handle_deadline(at, due);
            }
            for command in std::mem::take(&mut core.commands) {
                match command {
                    Command::SendAttempt(key) => attempts.push(key),
                    Command::ReplyFromCache(..) => {
                        expected[0] += 1;
                        cached += 1;
                    }
                    Command::ReplyRejected(..) => expected[1] += 1,
                    Command::ReplyFailed(..) => expected[2] += 1,
                    Command::AbandonAttempt { .. } => {}
                }
            }
            let sum = |get: fn(&larchway_operations::request_counters::ClassCounts) -> u64| {
                core.counters.classes().map(|class| get(&class.counts)).sum::<u64>()
            };
            let actual = [sum(|c| c.served), sum(|c| c.rejected), sum(|c| c.failed)];
            assert_eq!(actual, [expected[0], expected[1], expected[2] + left], "seed {seed}, step {step}");
            assert_eq!(core.counters.in_progress(), core.unanswered_requests() as u64);
            assert_eq!(core.counters.received(), received);
            assert_eq!(received, actual.iter().sum::<u64>() + core.counters.in_progress());
        }
        assert_eq!(cached > 0, core.object_cache.is_some(), "seed {seed}");
    }
}

fn core_with_shield(initial_limit: f64) -> Core {
    let mut core = configured_core();
    let settings = AdmissionSettings { initial_limit, min_limit: 1.0, ..AdmissionSettings::default() };
    core.configure_shield(Some(settings), BTreeMap::from([(50, "east".to_string())]));
    core
}

/// H7 of `docs/design/hierarchy.md`; a request whose fill is refused is rejected or asks caches only, at once.
#[test]
fn fills_beyond_the_shield_limit_are_rejected_or_cached_only_and_resume_below_it() {
    let mut core = core_with_shield(2.0);
    for n in 0..10 {
        core.admit(START, reply_to(n), new_request(0, 100 + n));
    }
    let refused =
        core.commands.iter().filter(|command| matches!(command, Command::ReplyRejected(..))).count();
    let sent = take_sent(&mut core);
    let fetches = |core: &Core, key: &SlotKey| {
        core.store_request(START, *key)
            .is_some_and(|p| p.source.is_some_and(|s| s == "s-50" || s == "s-90") && !p.cached_only)
    };
    let fills: Vec<SlotKey> = sent.iter().copied().filter(|key| fetches(&core, key)).collect();
    assert_eq!((fills.len(), sent.len() + refused), (2, 10));
    assert!(core
        .shield()
        .is_some_and(|shield| shield.in_flight() == 2 && shield.in_flight() <= shield.limit()));
    for key in fills {
        core.end_attempt(START + 20 * MS, key, Status::Ok, Note::FilledByOrigin);
    }
    assert_eq!(core.shield().map(OriginAdmission::in_flight), Some(0));
    core.admit(START + 30 * MS, reply_to(20), new_request(0, 500));
    let resent = take_sent(&mut core);
    assert!(resent.iter().any(|key| fetches(&core, key)), "the limit allows fetches again");
}

#[test]
fn cache_hits_are_no_fills_and_a_failing_origin_lowers_the_limit() {
    let mut core = core_with_shield(4.0);
    for n in 0..12 {
        let at = START + Duration::from_millis(n * 400);
        core.admit(at, reply_to(n), new_request(0, 7));
        for key in take_sent(&mut core) {
            core.end_attempt(at + 10 * MS, key, Status::Ok, Note::Hit);
        }
    }
    let shield = core.shield().expect("a shield");
    assert_eq!((shield.in_flight(), shield.rejected, shield.remembered(), shield.limit()), (0, 0, 0, 4));
    for n in 0..6 {
        let at = START + Duration::from_secs(10 + n);
        core.admit(at, reply_to(100 + n), new_request(0, 1000 + n));
        for key in take_sent(&mut core) {
            core.end_attempt(at + 50 * MS, key, Status::Error, Note::OriginFailed);
        }
    }
    assert_eq!(core.shield().map(OriginAdmission::limit), Some(1));
}

#[test]
fn a_run_of_rejected_fills_makes_a_parent_suspect_and_hits_do_not() {
    let mut core = configured_core();
    core.configure_shield(None, BTreeMap::from([(50, "east".to_string())]));
    core.configure_loop_inference(Some(LoopInferenceSettings {
        window: 4,
        threshold: 0.75,
        exclusion: Duration::from_secs(1),
    }));
    let mut at = START;
    let mut request_all = |core: &mut Core, from: u64, end: (Status, Note)| {
        for n in from..from + 12 {
            at += 500 * MS;
            core.admit(at, reply_to(n), new_request(0, n));
            for key in take_sent(core) {
                let (status, note) = end;
                let result =
                    AttemptResult { source_wait: 440 * MS, ..AttemptResult::without_reply(status, note) };
                core.end_attempt_with_reply(at + 450 * MS, key, result);
            }
            core.commands.clear();
        }
    };
    request_all(&mut core, 100, (Status::Ok, Note::Hit));
    request_all(&mut core, 200, (Status::Ok, Note::Filled));
    assert!(core.suspected_parents.is_empty());
    request_all(&mut core, 300, (Status::Full, Note::SourceRefused));
    assert_eq!(core.suspected_parents.first(), Some(&50));
}
