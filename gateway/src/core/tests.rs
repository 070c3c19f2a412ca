use super::*;
use larchway::{Class, Effect, Host};

const MS: Micros = 1000;
const START: Micros = 1_000_000 * MS;

fn store(server: ServerId, kind: usize, state: State) -> Store {
    let host = Host { server, kind, state, weight: 4.0, ..Host::default() };
    Store { host, name: format!("s-{server}"), dial: None }
}

fn core() -> Core {
    let class = |aim, effect, fresh| Class { aim, aim_stretch: 2.0, effect, fresh, ..Class::default() };
    let classes = [class(600 * MS, Effect::Pure, 0), class(400 * MS, Effect::Pure, 8000 * MS)];
    let terms = |c: &Class| ClassTerms { class: c.clone(), deadline: 6000 * MS, keyed: false };
    let classes = classes.iter().zip(["files", "status"]).map(|(c, n)| (n.into(), terms(c))).collect();
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
    core.apply_event(START, &EventBody::Roster { whole: true, stores });
    core
}

fn ticket(seq: u64) -> Ticket {
    Ticket { client: Key(9), seq }
}

fn ask(class: usize, object: u64) -> Ask {
    Ask { class, object, group: 17, ttl: 6000 * MS, call: format!("{object:x}"), ..Ask::default() }
}

fn sent(core: &mut Core) -> Vec<Key> {
    let orders = std::mem::take(&mut core.orders);
    orders.into_iter().filter_map(|o| if let Order::Send(key) = o { Some(key) } else { None }).collect()
}

#[test]
fn an_attempt_that_waits_goes_elsewhere_after_word_of_a_drain() {
    let mut core = core();
    core.request(START, ticket(1), ask(0, 7));
    let waiting = sent(&mut core)[0];
    core.attempt(waiting).expect("there").carrier = Some(Key(5));
    let (server, _) = core.target(waiting).expect("a target");
    core.apply_event(
        START + 1,
        &EventBody::Roster { whole: false, stores: vec![store(server, 0, State::Draining)] },
    );
    assert!(matches!(core.orders.front(), Some(Order::Kill { attempt, .. }) if *attempt == waiting));
    let again = sent(&mut core);
    assert_eq!(again.len(), 1);
    assert_ne!(core.target(again[0]).expect("a target").0, server);
    assert!(core.pull(START + 2, waiting).is_none(), "it is not sent any more");
}

#[test]
fn an_attempt_that_waits_is_decided_again_after_word_of_a_purge_but_one_sent_is_not() {
    let mut core = core();
    for object in [7, 8] {
        core.request(START, ticket(object), ask(0, object));
    }
    let keys = sent(&mut core);
    core.attempt(keys[1]).expect("there").begun = Some(START);
    let purge = EventBody::Recall { object: None, group: 17, issued: START - 50 * MS };
    core.apply_event(START, &purge);
    assert!(core.attempt(keys[0]).is_none() && core.attempt(keys[1]).is_some());
    let again = sent(&mut core);
    assert_eq!(core.pull(START, again[0]).expect("it waits").within, 40, "less the margin");
    // While it waits the bound moves on with the clock: the purge is longer ago by then.
    assert_eq!(core.pull(START + 100 * MS, again[0]).expect("it waits").within, 140);
}

#[test]
fn the_bound_on_age_never_passes_the_fresh_time() {
    let mut core = core();
    core.apply_event(START, &EventBody::Recall { object: Some(7), group: 0, issued: START - 7990 * MS });
    core.request(START, ticket(1), ask(1, 7));
    let key = sent(&mut core)[0];
    assert_eq!(core.pull(START, key).expect("it waits").within, 7980);
    assert_eq!(core.pull(START + 500 * MS, key).expect("it waits").within, 8000);
}

#[test]
fn stores_that_are_replaced_for_weeks_leave_nothing_behind() {
    let mut core = core();
    for n in 0..1000 {
        core.apply_event(
            START,
            &EventBody::Roster { whole: false, stores: vec![store(1000 + n, 0, State::Up)] },
        );
        core.request(START, ticket(n), ask(0, n));
        core.apply_event(
            START,
            &EventBody::Roster { whole: false, stores: vec![store(1000 + n, 0, State::Draining)] },
        );
        core.apply_event(
            START,
            &EventBody::Roster { whole: false, stores: vec![store(1000 + n, 0, State::Removed)] },
        );
    }
    assert_eq!((core.stores.len(), core.router.servers()), (4, 4));
    core.apply_event(START, &EventBody::Roster { whole: true, stores: vec![store(1, 0, State::Up)] });
    assert_eq!((core.stores.len(), core.router.servers()), (1, 1));
}

#[test]
fn a_short_wait_is_not_spent_on_the_margin() {
    let mut core = core();
    core.request(START, ticket(1), Ask { ttl: 50 * MS, ..ask(1, 7) });
    let key = sent(&mut core)[0];
    assert!((45..50).contains(&core.pull(START, key).expect("it waits").max));
}

#[test]
fn an_attempt_takes_another_connection_only_once() {
    let mut core = core();
    core.request(START, ticket(1), ask(0, 7));
    let waiting = sent(&mut core)[0];
    assert!(core.again(waiting) && !core.again(waiting));
}

#[test]
fn an_id_that_is_open_is_not_taken_again_until_its_request_has_ended() {
    let mut core = core();
    let request = core.request(START, ticket(1), ask(0, 7)).expect("taken");
    assert!(core.request(START, ticket(2), ask(0, 7)).is_none());
    core.gone(START, request);
    assert!(core.request(START, ticket(3), ask(0, 7)).is_some());
}

#[test]
fn each_request_gets_one_final_answer_whatever_comes_late() {
    let mut core = core();
    let request = core.request(START, ticket(1), ask(0, 7)).expect("taken");
    let first = sent(&mut core)[0];
    core.attempt(first).expect("there").begun = Some(START);
    assert_eq!(core.outcome(START + 5, first, Status::Ok, Note::Hit), Some(ticket(1)));
    assert_eq!(core.outcome(START + 6, first, Status::Ok, Note::Hit), None);
    core.gone(START + 7, request);
    core.due(START + 6000 * MS, Due::Request(request));
    let finals = core.orders.iter().filter(|o| matches!(o, Order::Refused(..) | Order::Failed(..))).count();
    assert_eq!((finals, core.open(), core.held), (0, 0, 0));
}

#[test]
fn at_the_deadline_a_request_fails_and_its_attempt_is_given_up() {
    let mut core = core();
    let request = core.request(START, ticket(1), ask(0, 7)).expect("taken");
    let key = sent(&mut core)[0];
    let attempt = core.attempt(key).expect("there");
    (attempt.begun, attempt.carrier) = (Some(START), Some(Key(5)));
    let at = core.deadlines.next().map_or(0, |next| next.max(START + 6000 * MS - MARGIN.0));
    core.due(at, Due::Request(request));
    assert!(at < START + 6000 * MS, "before the client gives up");
    let orders: Vec<Order> = core.orders.drain(..).collect();
    assert!(orders.iter().any(|o| matches!(o, Order::Kill { attempt, .. } if *attempt == key)));
    assert_eq!(orders.iter().filter(|o| **o == Order::Failed(ticket(1), true)).count(), 1);
    assert_eq!((core.open(), core.unanswered()), (0, 0));
}

/// Invariant 1 of `docs/design/operations.md`, over random histories, against what the sockets were told.
#[test]
fn each_request_taken_is_counted_once_by_how_it_ended() {
    for seed in 0..40u64 {
        let mut drawn = 0;
        let mut draw = |most: u64| {
            drawn += 1;
            larchway::mix(larchway::mix(seed + 1) ^ larchway::mix(drawn)) % most
        };
        let mut core = core();
        // Half of the histories with copies of the gateway's own (invariant 6 of `docs/design/copies.md`).
        let mut copies = Copies::new(larchway_copies::CopiesFile::default(), (0.0, 0.0));
        copies.fit(1_000_000, 0);
        copies.told_by_bulletin(false);
        core.copies = (seed % 2 == 1).then_some(copies);
        let mut held = 0;
        let (mut at, mut taken, mut left) = (START, 0u64, 0u64);
        let mut counted = [0u64; 3];
        let mut requests: Vec<Key> = Vec::new();
        let mut attempts: Vec<Key> = Vec::new();
        for step in 0..400 {
            at += draw(40) * MS;
            match draw(10) {
                0..=3 => {
                    let call = format!("{step:x}");
                    let ttl = (1 + draw(900)) * MS;
                    let ask = Ask { ttl, call, ..ask(draw(2) as usize, 1000 + draw(30)) };
                    taken += 1;
                    requests.extend(core.request(at, ticket(step), ask));
                }
                4..=6 if !attempts.is_empty() => {
                    let key = attempts.swap_remove(draw(attempts.len() as u64) as usize);
                    let all = [Status::Ok, Status::Error, Status::Full, Status::Reset, Status::Miss];
                    let status = all[draw(5) as usize];
                    if status == Status::Ok {
                        core.keep_copy(at, key, at, None, b"bytes");
                    }
                    if core.outcome(at, key, status, Note::None).is_some() {
                        counted[0] += 1;
                    }
                }
                7 if !requests.is_empty() => {
                    let key = requests.swap_remove(draw(requests.len() as u64) as usize);
                    let before = core.unanswered();
                    core.gone(at, key);
                    left += (before - core.unanswered()) as u64;
                }
                8 => {
                    taken += 1;
                    counted[1] += 1;
                    core.turn_away(draw(2) as usize);
                }
                _ => {}
            }
            while let Some(due) = core.deadlines.pop(at) {
                core.due(at, due);
            }
            for order in std::mem::take(&mut core.orders) {
                match order {
                    Order::Send(key) => attempts.push(key),
                    Order::Held(..) => {
                        counted[0] += 1;
                        held += 1;
                    }
                    Order::Refused(..) => counted[1] += 1,
                    Order::Failed(..) => counted[2] += 1,
                    Order::Kill { .. } => {}
                }
            }
            let sum = |get: fn(&larchway_operations::tally::Counts) -> u64| {
                core.tally.classes().map(|(_, c)| get(&c)).sum::<u64>()
            };
            let found = [sum(|c| c.passed), sum(|c| c.dropped), sum(|c| c.bad_gateway)];
            assert_eq!(found, [counted[0], counted[1], counted[2] + left], "seed {seed}, step {step}");
            assert_eq!(core.tally.in_progress(), core.unanswered() as u64);
            assert_eq!(core.tally.all_taken(), taken);
            assert_eq!(taken, found.iter().sum::<u64>() + core.tally.in_progress());
        }
        assert_eq!(held > 0, core.copies.is_some(), "seed {seed}");
    }
}

fn shielded(first: f64) -> Core {
    let mut core = core();
    let terms = ShieldTerms { first, least: 1.0, ..ShieldTerms::default() };
    core.shield_origin(Some(terms), BTreeMap::from([(50, "east".to_string())]));
    core
}

/// H7 of `docs/design/hierarchy.md`, and that what is turned away has its answer or a look at once.
#[test]
fn fills_beyond_the_shields_limit_become_looks_or_refusals_at_once_and_come_back_with_it() {
    let mut core = shielded(2.0);
    for n in 0..10 {
        core.request(START, ticket(n), ask(0, 100 + n));
    }
    let refused = core.orders.iter().filter(|o| matches!(o, Order::Refused(..))).count();
    let out = sent(&mut core);
    let fetches = |core: &Core, key: &Key| {
        core.pull(START, *key)
            .is_some_and(|p| p.source.is_some_and(|s| s == "s-50" || s == "s-90") && !p.peek)
    };
    let fills: Vec<Key> = out.iter().copied().filter(|key| fetches(&core, key)).collect();
    assert_eq!((fills.len(), out.len() + refused), (2, 10));
    assert!(core.shield().is_some_and(|s| s.out() == 2 && s.out() <= s.limit()));
    for key in fills {
        core.answered(START + 20 * MS, key, Status::Ok, Note::FilledByOrigin, 0, Vec::new());
    }
    assert_eq!(core.shield().map(Shield::out), Some(0));
    core.request(START + 30 * MS, ticket(20), ask(0, 500));
    let again = sent(&mut core);
    assert!(again.iter().any(|key| fetches(&core, key)), "there is room again");
}

#[test]
fn what_the_caches_hold_is_no_fill_and_a_failing_origin_is_asked_by_fewer() {
    let mut core = shielded(4.0);
    for n in 0..12 {
        let at = START + n * 400 * MS;
        core.request(at, ticket(n), ask(0, 7));
        for key in sent(&mut core) {
            core.answered(at + 10 * MS, key, Status::Ok, Note::Hit, 0, Vec::new());
        }
    }
    let shield = core.shield().expect("a shield");
    assert_eq!((shield.out(), shield.turned_away, shield.remembered(), shield.limit()), (0, 0, 0, 4));
    for n in 0..6 {
        let at = START + (10 + n) * 1000 * MS;
        core.request(at, ticket(100 + n), ask(0, 1000 + n));
        for key in sent(&mut core) {
            core.answered(at + 50 * MS, key, Status::Error, Note::OriginFailed, 0, Vec::new());
        }
    }
    assert_eq!(core.shield().map(Shield::limit), Some(1));
}

#[test]
fn a_run_of_fills_that_no_parent_brings_makes_it_suspect_and_hits_say_nothing() {
    let mut core = core();
    core.shield_origin(None, BTreeMap::from([(50, "east".to_string())]));
    core.infer_loops(Some(InferFile { window: 4, share: 0.75, hold_ms: 1000 }));
    let mut at = START;
    let mut ask_all = |core: &mut Core, from: u64, end: (Status, Note)| {
        for n in from..from + 12 {
            at += 500 * MS;
            core.request(at, ticket(n), ask(0, n));
            for key in sent(core) {
                core.answered(at + 450 * MS, key, end.0, end.1, 440 * MS, Vec::new());
            }
            core.orders.clear();
        }
    };
    ask_all(&mut core, 100, (Status::Ok, Note::Hit));
    ask_all(&mut core, 200, (Status::Ok, Note::Filled));
    assert!(core.suspects.is_empty());
    ask_all(&mut core, 300, (Status::Full, Note::SourceRefused));
    assert_eq!(core.suspects.first(), Some(&50));
}
