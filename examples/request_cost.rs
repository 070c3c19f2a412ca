//! Measures the cost of a request in the decision module by the number of listed stores: processor time, entries
//! touched and memory. Run with `cargo run --release --example request_cost`
use larchway::*;
use std::time::{Duration, Instant};

/// Numbers of listed stores to measure.
const SIZES: [u64; 5] = [12, 120, 1_200, 4_900, 12_000];
/// Number of stores of a site.
const STORES_PER_SITE: u64 = 6;
/// One of this many stores is a parent.
const PARENT_EVERY: u64 = 5;
/// Number of parents for [`Parents::Few`].
const FEW_PARENTS: u64 = 3;
const OWN_SITE: usize = 0;
const PARENT: usize = 1;
const ORIGIN: usize = 2;
const ORIGIN_ID: ServerId = 1;
/// Number of measured requests, which follow as many warm-up requests.
const REQUESTS: u64 = 100_000;
const OBJECTS: u64 = 20_000;
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(25);
const LATENCY: Duration = Duration::from_millis(20);
/// Number of measured list changes.
const CHANGES: u64 = 10_000;

/// How many parents are listed.
#[derive(Debug, Clone, Copy)]
enum Parents {
    /// A fixed share of all stores.
    Growing,
    /// A fixed number, whatever the number of stores.
    Few,
}

/// The measurements for one number of stores, for each request or list change.
struct Measurement {
    request_ns: f64,
    servers: f64,
    places: f64,
    change_ns: f64,
}

fn settings() -> Settings {
    let class =
        Class { latency_objective: Duration::from_millis(250), objective_stretch: 2.0, ..Class::default() };
    Settings {
        classes: vec![class],
        zone: OWN_SITE,
        zone_routers: vec![15; 800],
        routers: 12_000,
        parent_kind: Some(PARENT),
        origin_kind: Some(ORIGIN),
        flow_kb_per_s: 7800.0,
        siblings: Siblings::Any,
        max_attempts: 8,
        ..Settings::default()
    }
}

fn store(at: u64, parents: Parents) -> Host {
    let is_parent = at % PARENT_EVERY == PARENT_EVERY - 1;
    let may_be_parent = match parents {
        Parents::Growing => true,
        Parents::Few => at < PARENT_EVERY * FEW_PARENTS,
    };
    let kind = if is_parent && may_be_parent { PARENT } else { 0 };
    // A store that may be a parent is never in the own site, so that this site has the same caches in both cases.
    let site = (at / STORES_PER_SITE) as usize;
    let zone = if is_parent && site == OWN_SITE { 1 } else { site };
    Host { server: mix(at + 2), zone, kind, weight: 4.0, ..Host::default() }
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0 kB");
    line.trim().trim_end_matches(" kB").trim().parse::<u64>().unwrap_or(0) << 10
}

fn run_requests(router: &mut Router, first: u64) {
    let mut actions = Vec::new();
    for id in first..first + REQUESTS {
        let now = MonotonicTime::from_micros(1_000_000) + INTERVAL * id as u32;
        let ttl = Duration::from_secs(2);
        let object = mix(id) % OBJECTS;
        let request = Request { id, object, ttl, size_kb: 1.0, ..Request::default() };
        actions.clear();
        router.handle(now, Event::Request(request), &mut actions);
        let outcome = Outcome {
            id,
            attempt: 0,
            status: Status::Ok,
            latency: LATENCY,
            request: RequestState::Closed,
            note: if id.is_multiple_of(3) { Note::Filled } else { Note::Hit },
            load: Vec::new(),
            waited: Duration::ZERO,
        };
        router.handle(now + LATENCY, Event::Outcome(outcome), &mut actions);
    }
}

fn change_list(router: &mut Router, stores: u64, parents: Parents) -> f64 {
    let now = MonotonicTime::from_micros(1_000_000) + INTERVAL * (2 * REQUESTS) as u32;
    let began = Instant::now();
    for change in 0..CHANGES {
        let state = if (change / stores).is_multiple_of(2) { State::Draining } else { State::Up };
        let host = Host { state, ..store(change % stores, parents) };
        let members = Members { scope: Scope::Changes, hosts: vec![host] };
        router.handle(now, Event::Members(members), &mut Vec::new());
    }
    began.elapsed().as_nanos() as f64 / CHANGES as f64
}

/// A router with a full endpoint list.
fn listed_router(stores: u64, parents: Parents) -> Router {
    let mut hosts = vec![Host { server: ORIGIN_ID, zone: 1, kind: ORIGIN, weight: 4.0, ..Host::default() }];
    hosts.extend((0..stores).map(|at| store(at, parents)));
    let mut router = Router::new(settings(), 1);
    let members = Members { scope: Scope::Full, hosts };
    router.handle(MonotonicTime::from_micros(1_000_000), Event::Members(members), &mut Vec::new());
    router
}

/// Resident bytes for each listed store. Must be measured before other memory is freed, which would be reused.
fn bytes_per_store(parents: Parents) -> u64 {
    let before = resident_bytes();
    let routers: Vec<Router> = SIZES.iter().map(|&stores| listed_router(stores, parents)).collect();
    let stores: usize = routers.iter().map(Router::servers).sum();
    resident_bytes().saturating_sub(before) / stores as u64
}

fn measure(stores: u64, parents: Parents) -> Measurement {
    let mut router = listed_router(stores, parents);
    run_requests(&mut router, 1);
    let touched_before = router.entries_touched();
    let began = Instant::now();
    run_requests(&mut router, 1 + REQUESTS);
    let request_ns = began.elapsed().as_nanos() as f64 / REQUESTS as f64;
    let touched = router.entries_touched();
    let each = |after: u64, before: u64| (after - before) as f64 / REQUESTS as f64;
    Measurement {
        request_ns,
        servers: each(touched.servers, touched_before.servers),
        places: each(touched.places, touched_before.places),
        change_ns: change_list(&mut router, stores, parents),
    }
}

fn main() {
    println!("a fifth are parents: {} bytes a store", bytes_per_store(Parents::Growing));
    println!("| parents | stores | request | servers looked at | places drawn | list change |");
    println!("| --- | ---: | ---: | ---: | ---: | ---: |");
    for parents in [Parents::Few, Parents::Growing] {
        for stores in SIZES {
            let Measurement { request_ns, servers, places, change_ns } = measure(stores, parents);
            print!("| {parents:?} | {stores} | {request_ns:.0} ns | {servers:.1} | {places:.1} ");
            println!("| {change_ns:.0} ns |");
        }
    }
}
