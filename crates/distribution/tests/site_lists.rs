//! With the store list reduced to a site and its sources, the decision module makes the same choices as with the full
//! list (S2 of `docs/design/site-lists.md`). Uses random lists, requests, outcomes and list changes with stores that
//! move between sites. Planted faults in scopes must be detected.
mod common;
use larchway::{
    Action, Class, Effect, Event, Group, Host, Members, MonotonicTime, Note, Outcome, ParentWeights, Request,
    RequestState, Router, ServerId, ServerWeight, Settings, Siblings, State, Status,
};
use larchway_distribution::scope::{Scope, SourceScope};
use larchway_distribution::stores::ListEvent;
use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestRunner};
use std::time::Duration;

/// Sites and classes are listed by their indices in the settings.
const OWN_SITE: usize = 1;
const SITES: usize = 4;
const CACHE: usize = 0;
const PARENT: usize = 1;
const ORIGIN: usize = 2;
const STORES: u64 = 24;
const OBJECTS: u64 = 12;
const CLASSES: usize = 3;
const START: MonotonicTime = MonotonicTime::from_micros(100_000_000);
const STATES: [&str; 3] = ["up", "draining", "removed"];

/// The entry of a store.
#[derive(Debug, Clone, Copy)]
struct RandomEntry {
    store: u64,
    site: usize,
    class: usize,
    state: usize,
    weight: u32,
    /// Time since its start in ms; `None` if it started long ago.
    age_ms: Option<u64>,
}

impl RandomEntry {
    fn json(self, now: MonotonicTime) -> String {
        let RandomEntry { store, site, class, state, weight, age_ms } = self;
        let state = STATES[state];
        let started = age_ms.map_or(0, |age| now.as_micros() - age * 1000);
        let cell = store % 2;
        let place = format!(r#""site":{site},"class":{class},"cell":{cell}"#);
        format!(r#"{{"host":"s-{store}",{place},"health":"{state}","share":{weight},"born":{started}}}"#)
    }
}

/// An entry as read by a gateway. Numbers missing in a removal are 0.
fn host(json: &str) -> Host {
    let value: serde_json::Value = serde_json::from_str(json).expect("an entry");
    let number = |key: &str| value[key].as_u64().unwrap_or(0);
    let state = match value["health"].as_str() {
        Some("draining") => State::Draining,
        Some("removed") => State::Removed,
        _ => State::Up,
    };
    let name = value["host"].as_str().expect("a host");
    let started = match number("born") {
        0 => Host::STARTED_LONG_AGO,
        micros => MonotonicTime::from_micros(micros),
    };
    Host {
        server: id(name.trim_start_matches("s-").parse().expect("a number")),
        zone: number("site") as usize,
        kind: number("class") as usize,
        cell: number("cell"),
        state,
        weight: number("share") as f64,
        started,
    }
}

fn id(store: u64) -> ServerId {
    larchway::mix(store + 1)
}

#[derive(Debug, Clone)]
enum Step {
    Changes(Vec<RandomEntry>),
    FullList(Vec<RandomEntry>),
    Request {
        class: usize,
        object: u64,
        size_kb: u32,
        ttl_ms: u64,
    },
    /// The outcome of an attempt in flight.
    Outcome {
        which: prop::sample::Index,
        status: Status,
        note: Note,
        load: Option<u32>,
    },
    ClientLeft(prop::sample::Index),
    Purged {
        object: u64,
    },
    Suspected(u64),
    Offload {
        store: u64,
        percent: u32,
    },
    ParentWeights(Option<Vec<(u64, u32)>>),
    Timer,
    Pass {
        milliseconds: u64,
    },
}

fn entry() -> impl Strategy<Value = RandomEntry> {
    // Most caches are at one of two sites, so that they often move into and out of the router's own site.
    let site = prop_oneof![4 => Just(OWN_SITE), 2 => Just(OWN_SITE + 1), 1 => 0..SITES];
    let class = prop_oneof![6 => Just(CACHE), 2 => Just(PARENT), 1 => Just(ORIGIN), 1 => Just(CACHE + 3)];
    let state = prop_oneof![8 => Just(0_usize), 1 => Just(1), 1 => Just(2)];
    let age_ms = prop::option::weighted(0.2, 0..15_000_u64);
    (0..STORES, site, class, state, 0..5_u32, age_ms).prop_map(
        |(store, site, class, state, weight, age_ms)| RandomEntry {
            store,
            site,
            class,
            state,
            weight,
            age_ms,
        },
    )
}

fn outcome() -> impl Strategy<Value = Step> {
    let ended = prop_oneof![
        4 => Just((Status::Ok, Note::Hit)),
        4 => Just((Status::Ok, Note::Filled)),
        1 => Just((Status::Ok, Note::Stale)),
        1 => Just((Status::Error, Note::None)),
        1 => Just((Status::Error, Note::SourceLost)),
        1 => Just((Status::Full, Note::SourceRefused)),
        1 => Just((Status::ConnectFailed, Note::None)),
        1 => Just((Status::Reset, Note::None)),
        1 => Just((Status::Miss, Note::SourceLacks)),
        1 => Just((Status::Timeout, Note::None)),
        1 => Just((Status::NeverSent, Note::None)),
    ];
    let load = prop::option::weighted(0.3, 0..300_u32);
    (any::<prop::sample::Index>(), ended, load).prop_map(|(which, (status, note), load)| Step::Outcome {
        which,
        status,
        note,
        load,
    })
}

fn step() -> impl Strategy<Value = Step> {
    let index = any::<prop::sample::Index>();
    let weights = prop::option::of(prop::collection::vec((0..STORES, 0..4_u32), 0..6));
    prop_oneof![
        4 => prop::collection::vec(entry(), 1..4).prop_map(Step::Changes),
        1 => prop::collection::vec(entry(), 0..30).prop_map(Step::FullList),
        16 => (0..CLASSES, 0..OBJECTS, 0..200_u32, 200..4_000_u64).prop_map(|(class, object, size_kb, ttl_ms)| {
            Step::Request { class, object, size_kb, ttl_ms }
        }),
        14 => outcome(),
        1 => index.prop_map(Step::ClientLeft),
        1 => (0..OBJECTS).prop_map(|object| Step::Purged { object }),
        1 => (0..STORES).prop_map(Step::Suspected),
        1 => (0..STORES, 0..100_u32).prop_map(|(store, percent)| Step::Offload { store, percent }),
        1 => weights.prop_map(Step::ParentWeights),
        3 => Just(Step::Timer),
        12 => (1..400_u64).prop_map(|milliseconds| Step::Pass { milliseconds }),
    ]
}

fn class(effect: Effect, uncacheable: bool) -> Class {
    Class {
        latency_objective: Duration::from_millis(250),
        objective_stretch: 2.0,
        effect,
        group: Group::Cell,
        window: Duration::from_secs(2),
        uncacheable,
        ..Class::default()
    }
}

fn settings() -> impl Strategy<Value = Settings> {
    let siblings = prop_oneof![Just(Siblings::None), Just(Siblings::Any)];
    (any::<bool>(), any::<bool>(), any::<bool>(), 1..50_u64, siblings).prop_map(
        |(weighted, direct, duplicates, routers, siblings)| Settings {
            routers,
            zone: OWN_SITE,
            zone_routers: vec![1, routers.div_ceil(2), 2, 3],
            classes: vec![
                class(Effect::Idempotent, false),
                class(Effect::IdempotencyKey, false),
                class(Effect::IdempotencyKey, true),
            ],
            parent_kind: Some(PARENT),
            origin_kind: Some(ORIGIN),
            flow_kb_per_s: 1000.0,
            link_kb_per_s: 5000.0,
            weighted,
            siblings,
            joins: true,
            direct,
            cancel: true,
            duplicates,
            max_attempts: 6,
            max_retry_after: Duration::from_secs(1),
            report: vec!["x1".to_string()],
            ..Settings::default()
        },
    )
}

/// How the list of a router is reduced.
#[derive(Debug, Clone)]
enum Reduction {
    Scope(Scope),
    /// A planted fault: entries outside of the scope are omitted instead of removed, so a moved store stays listed.
    WithoutRemovals(Scope),
}

impl Reduction {
    fn reduce(&self, data: &str) -> String {
        match self {
            Reduction::Scope(scope) => scope.filter(1, data),
            Reduction::WithoutRemovals(scope) => {
                let mut event = ListEvent::read(data).expect("a list");
                event.stores.retain(|store| scope.contains(store));
                event.data(1)
            }
        }
    }
}

fn names(indices: &[usize]) -> Vec<String> {
    indices.iter().map(ToString::to_string).collect()
}

/// The scope of the router's own site and its sources.
fn site_scope() -> Scope {
    let sources = SourceScope { classes: names(&[PARENT, ORIGIN]), sites: Vec::new() };
    Scope { sites: names(&[OWN_SITE]), sources: Some(sources), ..Scope::default() }
}

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    request: u64,
    attempt: u64,
    sent: MonotonicTime,
}

/// A router with the full list, and one with the reduced list.
struct Pair {
    whole: Router,
    reduced: Router,
    reduction: Reduction,
    now: MonotonicTime,
    next_request: u64,
    in_flight: Vec<InFlight>,
    attempts: std::collections::BTreeMap<u64, u64>,
    gets: usize,
}

impl Pair {
    fn new(settings: &Settings, reduction: Reduction) -> Pair {
        Pair {
            whole: Router::new(settings.clone(), 7),
            reduced: Router::new(settings.clone(), 7),
            reduction,
            now: START,
            next_request: 1,
            in_flight: Vec::new(),
            attempts: std::collections::BTreeMap::new(),
            gets: 0,
        }
    }

    /// Passes the same event to both routers and compares their actions.
    fn handle(&mut self, event: &Event) -> Result<(), TestCaseError> {
        self.handle_each(event.clone(), event.clone())
    }

    fn handle_each(&mut self, whole: Event, reduced: Event) -> Result<(), TestCaseError> {
        let (mut expected, mut actions) = (Vec::new(), Vec::new());
        self.whole.handle(self.now, whole, &mut expected);
        self.reduced.handle(self.now, reduced, &mut actions);
        prop_assert_eq!(&actions, &expected);
        let touched = (self.reduced.entries_touched(), self.whole.entries_touched());
        prop_assert_eq!(touched.0, touched.1);
        let avoided = |router: &Router| router.avoided(self.now).collect::<Vec<_>>();
        prop_assert_eq!(avoided(&self.reduced), avoided(&self.whole));
        for action in expected {
            if let Action::Get(get) = action {
                let attempt = self.attempts.entry(get.id).or_default();
                self.in_flight.push(InFlight { request: get.id, attempt: *attempt, sent: self.now });
                *attempt += 1;
                self.gets += 1;
            }
        }
        Ok(())
    }

    fn list(&mut self, entries: &[RandomEntry], is_full: bool) -> Result<(), TestCaseError> {
        let hosts: Vec<String> = entries.iter().map(|entry| entry.json(self.now)).collect();
        let hosts = hosts.join(",");
        let data = format!(r#"{{"no":1,"roster":{{"seq":1,"whole":{is_full},"hosts":[{hosts}]}}}}"#);
        let scope = if is_full { larchway::Scope::Full } else { larchway::Scope::Changes };
        let members = |data: &str| {
            let event = ListEvent::read(data).expect("a list");
            Event::Members(Members {
                scope,
                hosts: event.stores.iter().map(|store| host(&store.json)).collect(),
            })
        };
        let reduced = self.reduction.reduce(&data);
        self.handle_each(members(&data), members(&reduced))
    }

    fn end(
        &mut self,
        which: prop::sample::Index,
        status: Status,
        note: Note,
        load: Option<u32>,
    ) -> Result<(), TestCaseError> {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let InFlight { request: id, attempt, sent } =
            self.in_flight.swap_remove(which.index(self.in_flight.len()));
        let request = if status == Status::Ok { RequestState::Closed } else { RequestState::Open };
        let latency = self.now - sent + Duration::from_millis(5);
        let load = load.map(|load| f64::from(load) / 100.0).into_iter().collect();
        let waited = Duration::ZERO;
        self.handle(&Event::Outcome(Outcome { id, attempt, status, latency, request, note, load, waited }))
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::Changes(entries) => self.list(entries, false),
            Step::FullList(entries) => self.list(entries, true),
            Step::Request { class, object, size_kb, ttl_ms } => {
                let (id, ttl) = (self.next_request, Duration::from_millis(*ttl_ms));
                self.next_request += 1;
                let size_kb = f64::from(*size_kb);
                self.handle(&Event::Request(Request {
                    id,
                    class: *class,
                    object: *object,
                    ttl,
                    size_kb,
                    ..Request::default()
                }))
            }
            Step::Outcome { which, status, note, load } => self.end(*which, *status, *note, *load),
            Step::ClientLeft(which) => {
                self.handle(&Event::ClientLeft(which.index(self.next_request as usize) as u64))
            }
            Step::Purged { object } => {
                self.handle(&Event::Purged { age: Duration::ZERO, group: 0, object: Some(*object) })
            }
            Step::Suspected(store) => self.handle(&Event::Suspected(id(*store))),
            Step::Offload { store, percent } => {
                let share = f64::from(*percent) / 100.0;
                self.handle(&Event::OffloadShares([(id(*store), share)].into()))
            }
            Step::ParentWeights(weights) => {
                let weight = |&(store, weight): &(u64, u32)| ServerWeight {
                    server: id(store),
                    weight: f64::from(weight),
                };
                let weights = weights.as_ref().map(|weights| ParentWeights {
                    weights: weights.iter().map(weight).collect(),
                    previous: weights.iter().rev().map(weight).collect(),
                    previous_share: 0.5,
                });
                self.handle(&Event::ParentWeights(weights))
            }
            Step::Timer => self.handle(&Event::Timer(0)),
            Step::Pass { milliseconds } => {
                self.now += Duration::from_millis(*milliseconds);
                Ok(())
            }
        }
    }
}

/// A random history: settings, the first list, and steps.
type RandomHistory = (Settings, Vec<RandomEntry>, Vec<Step>);

fn history() -> impl Strategy<Value = RandomHistory> {
    (settings(), prop::collection::vec(entry(), 1..30), prop::collection::vec(step(), 1..200))
}

/// Runs a history. Fails at the first difference between the routers. Returns the number of attempts.
fn run_history(
    (settings, first, steps): &RandomHistory,
    reduction: Reduction,
) -> Result<usize, TestCaseError> {
    let mut pair = Pair::new(settings, reduction);
    pair.list(first, true)?;
    for step in steps {
        pair.step(step)?;
    }
    Ok(pair.gets)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..ProptestConfig::default() })]

    #[test]
    fn a_site_and_its_sources_lead_to_the_same_choices_as_the_full_list(history in history()) {
        run_history(&history, Reduction::Scope(site_scope()))?;
    }
}

/// A scope may include more than the site needs. Also checks that the compared histories contain enough attempts.
#[test]
fn wider_scopes_lead_to_the_same_choices() {
    let wider = Scope { sites: names(&[OWN_SITE, OWN_SITE + 1]), ..site_scope() };
    let config = ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() };
    let attempts = std::cell::Cell::new(0);
    let result = TestRunner::new(config).run(&history(), |history| {
        attempts.set(attempts.get() + run_history(&history, Reduction::Scope(wider.clone()))?);
        Ok(())
    });
    result.expect("the same choices");
    assert!(attempts.get() > 2_000, "{} attempts compared", attempts.get());
}

/// Each planted fault must be detected within the number of histories with which the property is tested.
#[test]
fn planted_faults_of_a_scope_change_choices() {
    let site_alone = Scope { sources: None, ..site_scope() };
    let sources = |sources| Scope { sources: Some(sources), ..site_scope() };
    let no_origin = sources(SourceScope { classes: names(&[PARENT]), sites: Vec::new() });
    let near_parents = sources(SourceScope { classes: names(&[PARENT, ORIGIN]), sites: names(&[OWN_SITE]) });
    let faults = [
        Reduction::Scope(site_alone),
        Reduction::Scope(no_origin),
        Reduction::Scope(near_parents),
        Reduction::WithoutRemovals(site_scope()),
    ];
    for fault in faults {
        let config = ProptestConfig {
            cases: 600,
            max_shrink_iters: 0,
            failure_persistence: None,
            ..ProptestConfig::default()
        };
        let found = TestRunner::new(config)
            .run(&history(), |history| run_history(&history, fault.clone()).map(|_| ()));
        assert!(found.is_err(), "{fault:?} is not found");
    }
}
