//! Tests through the public interface which caches of a large location a router uses. The invariants are those of
//! `docs/design/large-fleet.md`.
use larchway::*;
use std::collections::BTreeSet;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const ORIGIN: ServerId = 9_000;
const PARENTS: std::ops::Range<ServerId> = 8_000..8_040;
/// Maximum number of caches in a router's subset.
const BOUND: usize = 32;
/// Number of caches of a location that is sixteen times as large.
const LARGE: u64 = 16 * BOUND as u64;
const OBJECTS: u64 = 2_000;

/// Settings without siblings, hedged requests and direct requests to parents.
fn settings() -> Settings {
    let page = Class { latency_objective: 250 * MS, objective_stretch: 2.0, ..Class::default() };
    Settings {
        zone: 1,
        routers: 300,
        zone_routers: vec![0, 20, 20],
        classes: vec![page],
        parent_kind: Some(1),
        origin_kind: Some(2),
        flow_kb_per_s: 1000.0,
        weighted: true,
        max_attempts: 8,
        max_retry_after: 500 * MS,
        slow_start_span: 10_000 * MS,
        slow_start_share: 0.2,
        ..Settings::default()
    }
}

fn cache(number: u64) -> Host {
    Host { server: 1 + number, zone: 1, kind: 0, weight: 8.0, ..Host::default() }
}

fn hosts(caches: u64) -> Vec<Host> {
    let parents = PARENTS.map(|server| Host { server, kind: 1, weight: 64.0, ..Host::default() });
    let origin = Host { server: ORIGIN, kind: 2, weight: 64.0, ..Host::default() };
    (0..caches).map(cache).chain(parents).chain([origin]).collect()
}

/// A router with a clock; numbers its requests and answers them.
struct TestRouter {
    router: Router,
    now: MonotonicTime,
    next: RequestId,
}

impl TestRouter {
    fn new(settings: Settings, seed: u64, hosts: Vec<Host>) -> Self {
        let mut rig = TestRouter {
            router: Router::new(settings, seed),
            now: MonotonicTime::MIN + 100_000 * MS,
            next: 0,
        };
        rig.handle(Event::Members(Members { scope: Scope::Full, hosts }));
        rig
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    /// Sends a request; returns its first attempt.
    fn ask(&mut self, object: ObjectId) -> Option<Get> {
        self.now += 20 * MS;
        self.next += 1;
        let (id, ttl) = (self.next, 3000 * MS);
        let request = Request { id, object, ttl, size_kb: 20.0, ..Request::default() };
        first_attempt(&self.handle(Event::Request(request)))
    }

    /// Ends an attempt of the last request; returns the next attempt.
    fn end(&mut self, attempt: u64, status: Status, note: Note) -> Option<Get> {
        let request = if status == Status::Ok { RequestState::Closed } else { RequestState::Open };
        let (id, latency, load) = (self.next, 15 * MS, Vec::new());
        let end = Outcome { id, attempt, status, latency, request, note, waited: Duration::ZERO, load };
        first_attempt(&self.handle(Event::Outcome(end)))
    }

    /// Sends a request and answers its first attempt.
    fn serve(&mut self, object: ObjectId) -> Get {
        let get = self.ask(object).expect("sent");
        self.end(0, Status::Ok, Note::Filled);
        get
    }

    /// The caches that receive requests for all objects.
    fn asked(&mut self) -> BTreeSet<ServerId> {
        (0..OBJECTS).map(|object| self.serve(object).server).collect()
    }

    /// Sends a request that fails at the caches `out` and succeeds at all others; returns the caches that received it.
    fn serve_without(&mut self, out: &BTreeSet<ServerId>, object: ObjectId) -> Vec<ServerId> {
        let mut asked = Vec::new();
        let mut next = self.ask(object);
        for attempt in 0.. {
            let Some(get) = next else { break };
            asked.push(get.server);
            let (status, note) = if out.contains(&get.server) {
                (Status::Error, Note::None)
            } else {
                (Status::Ok, Note::Filled)
            };
            next = self.end(attempt, status, note);
        }
        asked
    }
}

fn first_attempt(actions: &[Action]) -> Option<Get> {
    actions.iter().find_map(|action| if let Action::Get(get) = action { Some(get.clone()) } else { None })
}

/// Invariants 9 and 10: without a subset, a router's requests would go to all caches of its location, with a connection
/// to each.
#[test]
fn a_router_asks_no_more_caches_of_a_large_location_than_of_one_at_the_bound() {
    let at_bound = TestRouter::new(settings(), 1, hosts(BOUND as u64)).asked();
    assert_eq!(at_bound.len(), BOUND, "all caches of a location at the bound are used");
    let mut all = BTreeSet::new();
    for seed in 0..60 {
        let asked = TestRouter::new(settings(), seed, hosts(LARGE)).asked();
        assert_eq!(asked.len(), BOUND, "seed {seed}");
        assert_ne!(asked, at_bound, "seed {seed}");
        all.extend(asked);
    }
    // Each cache is in 3.75 of the sixty subsets on average, so only about one in forty is in none.
    assert!(all.len() > LARGE as usize * 9 / 10, "{} of {LARGE} caches are used by some router", all.len());
}

/// Invariant 12: if the subset depended on a seed that changes at each start, all objects of a restarted fleet would
/// move.
#[test]
fn a_subset_is_that_of_the_routers_number_and_outlives_a_restart() {
    let numbered = |index| Settings { router_index: Some(index), ..settings() };
    let subset = TestRouter::new(numbered(5), 1, hosts(LARGE)).asked();
    assert_eq!(TestRouter::new(numbered(5), 2, hosts(LARGE)).asked(), subset);
    assert_ne!(TestRouter::new(numbered(6), 1, hosts(LARGE)).asked(), subset);
    // A router without an index uses its seed, which the next process takes over in an upgrade.
    let mut before = TestRouter::new(settings(), 1, hosts(LARGE));
    let asked = before.asked();
    let mut next = TestRouter::new(settings(), 2, hosts(LARGE));
    next.now = before.now;
    next.router.take_over(before.router.learned(before.now, 0), &[Some(0)]);
    assert_eq!(next.asked(), asked);
    // New settings may state an index.
    next.router.configure(numbered(5), &[]);
    assert_eq!(next.asked(), subset);
}

/// Invariant 11: caches outside the subset are used only while all of its members fail.
#[test]
fn other_caches_are_asked_only_while_all_of_the_subset_is_out() {
    let mut rig = TestRouter::new(settings(), 1, hosts(LARGE));
    let subset = rig.asked();
    // All members but one fail: that one is used.
    let last = *subset.first().expect("a member");
    let out: BTreeSet<ServerId> = subset.iter().copied().filter(|id| *id != last).collect();
    for object in 0..OBJECTS {
        let asked = rig.serve_without(&out, object);
        assert!(asked.iter().all(|id| subset.contains(id)), "{asked:?}");
    }
    let mut outside = 0;
    for object in 0..OBJECTS {
        let asked = rig.serve_without(&subset, object);
        outside += usize::from(asked.last().is_some_and(|id| !subset.contains(id)));
    }
    assert!(outside > OBJECTS as usize * 9 / 10, "{outside} of {OBJECTS} served outside of the subset");
    // After successful trials at the members, all requests go to the subset again.
    rig.asked();
    assert_eq!(rig.asked(), subset);
}

/// Invariants 11 and 12: a draining member is replaced by one other cache until it is up again.
#[test]
fn a_drained_cache_gives_its_place_to_one_other() {
    let mut rig = TestRouter::new(settings(), 1, hosts(LARGE));
    let subset = rig.asked();
    let drained = *subset.first().expect("a member");
    let list = |state| {
        let host = Host { state, ..cache(drained - 1) };
        Event::Members(Members { scope: Scope::Changes, hosts: vec![host] })
    };
    rig.handle(list(State::Draining));
    let without = rig.asked();
    assert!(!without.contains(&drained));
    assert_eq!((without.len(), without.difference(&subset).count()), (BOUND, 1));
    rig.handle(list(State::Up));
    assert_eq!(rig.asked(), subset);
}

/// Invariant 11: members that have just started get work up to their slow start budgets, other caches get the rest.
#[test]
fn what_a_cold_subset_may_not_be_sent_goes_to_other_caches() {
    let subset = TestRouter::new(settings(), 1, hosts(LARGE)).asked();
    let cold = |host: Host| {
        let is_cold = subset.contains(&host.server);
        let started = if is_cold { MonotonicTime::MIN + 100_000 * MS } else { Host::STARTED_LONG_AGO };
        Host { started, ..host }
    };
    let mut rig = TestRouter::new(settings(), 1, hosts(LARGE).into_iter().map(cold).collect());
    // Sends so much at once that the budgets are used up.
    let asked: Vec<ServerId> = (0..400)
        .map(|object| {
            rig.now = rig.now - 19 * MS;
            rig.serve(object).server
        })
        .collect();
    let outside = asked.iter().filter(|id| !subset.contains(id)).count();
    assert!(outside > 0, "all of {} went to cold caches", asked.len());
    // One of twenty routers, at cold caches of 8 transfers: its share of a span's work is less than one request.
    for id in &subset {
        let count = asked.iter().filter(|asked| *asked == id).count();
        assert!(count <= 8, "cold cache {id} was sent {count} of {}", asked.len());
    }
}

/// Invariant 11: if the subset is saturated, other caches get part of the work.
#[test]
fn a_subset_that_has_too_much_to_do_leaves_work_to_other_caches() {
    let alone = Settings { routers: 2, zone_routers: vec![0, 1, 1], ..settings() };
    let mut rig = TestRouter::new(alone, 1, hosts(LARGE));
    let different = |asked: &[ServerId]| asked.iter().collect::<BTreeSet<_>>().len();
    let mut asked = Vec::new();
    // Unanswered requests, four times as many as the subset carries.
    for object in 0..4 * 8 * BOUND as u64 {
        rig.now = rig.now - 20 * MS;
        asked.extend(rig.ask(object).map(|get| get.server));
    }
    // Up to half of the subset's capacity, all requests stay in the subset.
    assert!(different(&asked[..4 * BOUND]) <= BOUND, "{} caches used", different(&asked[..4 * BOUND]));
    assert!(different(&asked) > 2 * BOUND, "{} caches used", different(&asked));
}

/// Invariant 13: the router needs no connection to the source of a fill, so any cache of the location may be the
/// source.
#[test]
fn siblings_outside_of_the_subset_are_named_as_sources() {
    const ROUTERS: u64 = 60;
    let siblings = Settings { siblings: Siblings::Location, ..settings() };
    let mut outside = 0;
    for seed in 0..ROUTERS {
        let subset = TestRouter::new(settings(), seed, hosts(LARGE)).asked();
        let first = TestRouter::new(siblings.clone(), seed, hosts(LARGE)).ask(seed).expect("sent");
        assert!(subset.contains(&first.server), "{first:?}");
        let is_sibling = first.source <= LARGE && first.source != first.server;
        outside += u64::from(is_sibling && !subset.contains(&first.source));
    }
    assert!(outside > ROUTERS / 2, "{outside} of {ROUTERS} siblings are outside of the subset");
}

/// Invariant 13: all fills of an object go to one parent, whatever the subset of the router.
#[test]
fn homes_at_parents_are_the_same_for_routers_of_different_subsets() {
    let mut few = TestRouter::new(settings(), 1, hosts(4));
    let mut one = TestRouter::new(settings(), 2, hosts(LARGE));
    let mut other = TestRouter::new(settings(), 3, hosts(LARGE));
    for object in 0..OBJECTS {
        let home = few.serve(object).source;
        assert!(PARENTS.contains(&home));
        assert_eq!(one.serve(object).source, home);
        assert_eq!(other.serve(object).source, home);
    }
}
