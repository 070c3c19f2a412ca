//! Simulates slow start in a whole fleet in virtual time: all gateways together must stay within the slow start budget
//! of a server, in every span of the configured length, whatever the number of gateways.
use larchway::*;
use std::collections::BTreeMap;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
/// The cold servers: a cache of the own location and a parent.
const CACHE: ServerId = 1;
const PARENT: ServerId = 50;
const ORIGIN: ServerId = 90;
/// The span and the multiple of the overload, and the slow start of servers.
const OVERLOAD_SPAN: Duration = Duration::from_millis(2000);
const OVERLOAD_MULTIPLE: f64 = 2.5;
const SLOW_START_SHARE: f64 = 0.1;
const SLOW_START_SPAN: Duration = Duration::from_millis(20_000);
/// The latency objective, and the mean sending time of a request.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(600);
const WORK: Duration = Duration::from_millis(400);
/// When the servers start (twice), after the fleet has been up for long, and the end of the simulation.
const STARTS: [MonotonicTime; 2] =
    [MonotonicTime::from_micros(100_000_000), MonotonicTime::from_micros(104_000_000)];
const END: MonotonicTime = MonotonicTime::from_micros(107_000_000);
/// Time in milliseconds within which all gateways are notified of a start.
const NOTIFIED_WITHIN_MS: u64 = 400;
/// Time step of the simulation.
const ROUND: Duration = Duration::from_millis(20);

/// Standard deviation of the logarithm of the sending times, for [`Sizes::Spread`].
const SPREAD: f64 = 1.1;
/// Number of cache hits in ten answers of a warm cache, for [`Sizes::Spread`].
const HITS_IN_TEN: u64 = 7;

/// Whether clients state sizes, and how sizes vary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sizes {
    /// All sizes are equal and stated.
    Stated,
    /// All sizes are equal and not stated.
    Equal,
    /// Sizes vary widely and are not stated. Warm caches have most of the objects and slow down under load, so the
    /// first answers that a gateway sees are those of small objects.
    Spread,
}

/// A fleet and its load.
#[derive(Debug, Clone, Copy)]
struct Fleet {
    gateways: u64,
    /// Requests of mean work that the settings allow a cold server in a span right after its start.
    allowed: f64,
    /// The sizes of objects.
    sizes: Sizes,
    /// Share of the gateways that restart at the same time as the servers, in percent.
    restarted: u64,
    /// Whether the cold servers are the only cache and the only parent.
    alone: bool,
}

/// A seeded random number generator.
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0) % bound.max(1)
    }

    /// A random number above 0 and up to 1.
    fn unit(&mut self) -> f64 {
        unit(self.below(u64::MAX))
    }
}

/// A gateway, the times at which it is notified of the servers' starts, the number of starts that it has been notified
/// of, and its attempts in flight.
struct Gateway {
    router: Router,
    notified_at: [MonotonicTime; 2],
    notified: usize,
    transfers: Vec<Transfer>,
}

/// An attempt in flight.
struct Transfer {
    ends: MonotonicTime,
    id: RequestId,
    attempt: u64,
    server: ServerId,
    took: Duration,
}

/// Number of attempts of all gateways in flight, by server.
type InFlight = BTreeMap<ServerId, u64>;

/// The times at which requests were sent to a server after one of its starts, by gateways notified of that start.
type SentTimes = Vec<MonotonicTime>;

/// For the cold cache and the cold parent, the requests sent after each of their starts.
type AllSentTimes = [[SentTimes; 2]; 2];

/// The microseconds of a span, for shares of spans.
fn micros(span: Duration) -> f64 {
    duration_micros(span) as f64
}

impl Fleet {
    /// Number of transfers that a server must carry when warm to be allowed [`Fleet::allowed`] right after its start.
    fn flows(&self) -> f64 {
        self.allowed * micros(WORK) / (OVERLOAD_MULTIPLE * SLOW_START_SHARE * micros(OVERLOAD_SPAN))
    }

    /// The sending time of a request.
    fn work(&self, id: RequestId) -> Duration {
        if self.sizes != Sizes::Spread {
            return WORK;
        }
        let mut draws = Draws(mix(id));
        let radius = (-2.0 * draws.unit().ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * draws.unit()).cos();
        let factor = (SPREAD * normal - SPREAD * SPREAD / 2.0).exp();
        Duration::from_micros((micros(WORK) * factor) as u64)
    }

    /// Duration of a transfer that begins now: longer at a warm server that has more transfers than it carries.
    fn transfer_duration(&self, id: RequestId, server: ServerId, in_flight: &InFlight) -> Duration {
        let transfers = in_flight.get(&server).map_or(1.0, |transfers| *transfers as f64);
        let slows = self.sizes == Sizes::Spread && server != CACHE;
        let stretch = if slows { (transfers / self.flows()).max(1.0) } else { 1.0 };
        Duration::from_micros((micros(self.work(id)) * stretch) as u64)
    }

    fn settings(&self) -> Settings {
        let class =
            Class { latency_objective: LATENCY_OBJECTIVE, objective_stretch: 1.6, ..Class::default() };
        Settings {
            routers: self.gateways,
            zone: 1,
            zone_routers: vec![0, self.gateways, 1],
            classes: vec![class],
            parent_kind: Some(1),
            origin_kind: Some(2),
            flow_kb_per_s: if self.sizes == Sizes::Stated { 1000.0 } else { 0.0 },
            weighted: true,
            cancel: true,
            max_attempts: 4,
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_span: OVERLOAD_SPAN,
            slow_start_share: SLOW_START_SHARE,
            slow_start_span: SLOW_START_SPAN,
            parent_overload_multiple: OVERLOAD_MULTIPLE,
            parent_slow_start_share: SLOW_START_SHARE,
            parent_slow_start_span: SLOW_START_SPAN,
            ..Settings::default()
        }
    }

    /// The cold cache and parent with the capacity for the allowed work, and unless they are alone a warm one of each.
    fn hosts(&self, started: MonotonicTime) -> Vec<Host> {
        let host = |server, kind, weight, started: MonotonicTime| {
            let zone = usize::from(kind == 0);
            Host { server, zone, kind, weight, started, ..Host::default() }
        };
        let (flows, never) = (self.flows(), Host::STARTED_LONG_AGO);
        let mut hosts = vec![
            host(CACHE, 0, flows, started),
            host(PARENT, 1, flows, started),
            host(ORIGIN, 2, 1000.0, never),
        ];
        if !self.alone {
            hosts.extend([host(2, 0, flows, never), host(51, 1, flows, never)]);
        }
        hosts
    }

    /// Starts a gateway that knows of the first `notified` starts of the servers.
    fn gateway(
        &self,
        number: u64,
        now: MonotonicTime,
        notified: usize,
        notified_at: [MonotonicTime; 2],
    ) -> Gateway {
        let mut router = Router::new(self.settings(), mix(number));
        let hosts = self.hosts(if notified > 0 { STARTS[notified - 1] } else { Host::STARTED_LONG_AGO });
        router.handle(now, Event::Members(Members { scope: Scope::Full, hosts }), &mut Vec::new());
        Gateway { router, notified_at, notified, transfers: Vec::new() }
    }

    /// Runs the simulation; returns the requests that notified gateways sent to the cold servers.
    fn simulate(&self, seed: u64) -> AllSentTimes {
        let mut draws = Draws(seed);
        let mut fleet: Vec<Gateway> = (0..self.gateways)
            .map(|n| {
                let notified_at =
                    STARTS.map(|start| start + Duration::from_millis(draws.below(NOTIFIED_WITHIN_MS)));
                self.gateway(seed * 1000 + n, STARTS[0] - 60_000 * MS, 0, notified_at)
            })
            .collect();
        let (mut sent, mut in_flight) = (AllSentTimes::default(), InFlight::new());
        let (mut id, mut round, mut pending) = (0, 0, 0.0);
        // A mean load of four times what a warm server can do, and regular bursts.
        let rate = 4.0 * self.allowed / SLOW_START_SHARE * micros(ROUND) / micros(OVERLOAD_SPAN);
        let mut now = STARTS[0] - 1000 * MS;
        while now < END {
            if let Some(start) = STARTS.iter().position(|start| *start == now) {
                self.restart_some(&mut fleet, start, seed, &mut draws, &mut in_flight);
            }
            for gateway in &mut fleet {
                self.notify(gateway, now);
                self.end(gateway, now, &mut draws, &mut sent, &mut in_flight);
            }
            pending += rate + if round % 60 == 59 { self.allowed * 4.0 } else { 0.0 };
            for _ in 0..pending as u64 {
                let at = draws.below(self.gateways) as usize;
                id += 1;
                self.ask(&mut fleet[at], now, id, &mut sent, &mut in_flight);
            }
            pending -= pending.floor();
            round += 1;
            now += ROUND;
        }
        sent
    }

    /// Restarts some gateways at a start of the servers; their first list includes that start.
    fn restart_some(
        &self,
        fleet: &mut [Gateway],
        start: usize,
        seed: u64,
        draws: &mut Draws,
        in_flight: &mut InFlight,
    ) {
        for (n, gateway) in fleet.iter_mut().enumerate() {
            if draws.below(100) < self.restarted {
                for transfer in &gateway.transfers {
                    in_flight.entry(transfer.server).and_modify(|transfers| *transfers -= 1);
                }
                let number = (seed * 1000 + n as u64) ^ (start as u64 + 1) << 40;
                *gateway = self.gateway(number, STARTS[start], start + 1, gateway.notified_at);
            }
        }
    }

    /// Notifies a gateway of the next start once that is due.
    fn notify(&self, gateway: &mut Gateway, now: MonotonicTime) {
        if gateway.notified < STARTS.len() && now >= gateway.notified_at[gateway.notified] {
            let list = Members { scope: Scope::Changes, hosts: self.hosts(STARTS[gateway.notified]) };
            gateway.notified += 1;
            gateway.router.handle(now, Event::Members(list), &mut Vec::new());
        }
    }

    /// Sends a request through a gateway.
    fn ask(
        &self,
        gateway: &mut Gateway,
        now: MonotonicTime,
        id: RequestId,
        sent: &mut AllSentTimes,
        in_flight: &mut InFlight,
    ) {
        let size_kb = if self.sizes == Sizes::Stated { micros(WORK) / micros(MS) } else { 0.0 };
        // Each object is requested once, so each request is a fill.
        let request = Request { id, object: mix(id), ttl: 60_000 * MS, size_kb, ..Request::default() };
        let mut actions = Vec::new();
        gateway.router.handle(now, Event::Request(request), &mut actions);
        self.carry_out(gateway, now, 0, &actions, sent, in_flight);
    }

    /// Ends the attempts that are complete; one in ten fails and is retried.
    fn end(
        &self,
        gateway: &mut Gateway,
        now: MonotonicTime,
        draws: &mut Draws,
        sent: &mut AllSentTimes,
        in_flight: &mut InFlight,
    ) {
        if gateway.transfers.iter().all(|transfer| transfer.ends > now) {
            return;
        }
        let (due, out) = std::mem::take(&mut gateway.transfers).into_iter().partition(|out| out.ends <= now);
        gateway.transfers = out;
        for Transfer { id, attempt, server, took, .. } in due {
            in_flight.entry(server).and_modify(|transfers| *transfers -= 1);
            let fails = draws.below(10) == 0;
            let is_hit = self.sizes == Sizes::Spread && server != CACHE && draws.below(10) < HITS_IN_TEN;
            let (status, note) = match (fails, is_hit) {
                (true, _) => (Status::Full, Note::SourceRefused),
                (false, true) => (Status::Ok, Note::Hit),
                (false, false) => (Status::Ok, Note::Filled),
            };
            let latency = took;
            let request = if fails { RequestState::Open } else { RequestState::Closed };
            let load = Vec::new();
            let end = Outcome { id, attempt, status, latency, request, note, load, waited: Duration::ZERO };
            let mut actions = Vec::new();
            gateway.router.handle(now, Event::Outcome(end), &mut actions);
            self.carry_out(gateway, now, attempt + 1, &actions, sent, in_flight);
        }
    }

    /// Starts the transfers of a gateway's new attempts and records those sent to the cold servers.
    fn carry_out(
        &self,
        gateway: &mut Gateway,
        now: MonotonicTime,
        attempt: u64,
        actions: &[Action],
        sent: &mut AllSentTimes,
        in_flight: &mut InFlight,
    ) {
        for action in actions {
            let Action::Get(get) = action else { continue };
            let took = self.transfer_duration(get.id, get.server, in_flight);
            *in_flight.entry(get.server).or_default() += 1;
            let (id, server) = (get.id, get.server);
            gateway.transfers.push(Transfer { ends: now + took, id, attempt, server, took });
            let begun = STARTS.iter().filter(|start| now >= **start).count();
            if begun == 0 || gateway.notified < begun {
                continue;
            }
            for (at, reached) in [get.server == CACHE, get.source == PARENT].into_iter().enumerate() {
                sent[at][begun - 1].extend(reached.then_some(now));
            }
        }
    }

    /// Maximum number of requests of mean work allowed in a span that ends `since` after a server's start, with a
    /// margin for statistical deviations.
    fn max_requests(&self, since: Duration) -> f64 {
        let warmth =
            (SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * micros(since) / micros(SLOW_START_SPAN)).min(1.0);
        let allowed = self.allowed * warmth / SLOW_START_SHARE;
        let (times, plus) = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
        allowed + times * allowed.sqrt() + plus
    }

    /// Runs the simulation and checks that no server gets more than its budget in any span.
    fn check_budgets(&self) {
        for (server, lives) in self.simulate(self.gateways + self.allowed as u64).iter().enumerate() {
            for (start, sent) in STARTS.iter().zip(lives) {
                let used = self.used(*start, sent);
                assert!(used <= 1.0, "{self:?}: {used} of the budget of {server} from {start:?}");
            }
        }
    }

    /// The largest share of the budget that is used in any span.
    fn used(&self, start: MonotonicTime, sent: &SentTimes) -> f64 {
        let mut first = 0;
        let used = sent.iter().enumerate().map(|(last, at)| {
            while sent[first] + OVERLOAD_SPAN < *at {
                first += 1;
            }
            (last + 1 - first) as f64 / self.max_requests(*at - start)
        });
        used.fold(0.0, f64::max)
    }
}

/// A server that has just started must not be overloaded by the sum of what all gateways send: fills, retries and
/// bursts, also from gateways that start at the same time and have not observed the work of any request.
#[test]
fn every_span_keeps_the_budget_of_a_cold_server_for_any_number_of_gateways() {
    for gateways in [1, 7, 60, 300, 900] {
        for allowed in [1.0, 5.0, 29.0, 30.0, 200.0] {
            for (restarted, sizes, alone) in [
                (70, Sizes::Stated, false),
                (0, Sizes::Equal, false),
                (70, Sizes::Equal, false),
                (70, Sizes::Equal, true),
            ] {
                Fleet { gateways, allowed, sizes, restarted, alone }.check_budgets();
            }
        }
    }
}

/// All gateways restart together with the servers, without observations of the work of requests. The first answers are
/// those of small objects, so the gateways underestimated the work and together overloaded the servers: 46 of 700
/// starts of a server exceeded its budget, by up to 2.9 times.
#[test]
fn a_fleet_that_has_been_restarted_keeps_every_budget_however_widely_sizes_are_spread() {
    std::thread::scope(|scope| {
        for gateways in [1, 4, 13, 40, 300] {
            for allowed in [1.0, 5.0, 29.0, 30.0, 100.0, 200.0, 1000.0] {
                scope.spawn(move || restarted_fleets_keep_budgets(gateways, allowed));
            }
        }
    });
}

fn restarted_fleets_keep_budgets(gateways: u64, allowed: f64) {
    for (restarted, sizes, alone) in [
        (0, Sizes::Spread, false),
        (100, Sizes::Spread, false),
        (70, Sizes::Spread, true),
        (100, Sizes::Spread, true),
        (100, Sizes::Equal, true),
    ] {
        Fleet { gateways, allowed, sizes, restarted, alone }.check_budgets();
    }
}

/// A list that drops a cold server and names it again must not grant a new slow start budget.
#[test]
fn a_server_that_leaves_the_list_and_returns_has_no_new_budget() {
    let fleet = Fleet { gateways: 1, allowed: 30.0, sizes: Sizes::Stated, restarted: 0, alone: true };
    for scope in [Scope::Changes, Scope::Full] {
        let (mut sent, mut in_flight) = (AllSentTimes::default(), InFlight::new());
        let mut gateway = fleet.gateway(7, STARTS[0] - 60_000 * MS, 1, STARTS);
        let mut now = STARTS[0];
        for id in 0..2_000 {
            now += MS;
            fleet.ask(&mut gateway, now, id, &mut sent, &mut in_flight);
            if id % 100 == 99 {
                let all = fleet.hosts(STARTS[0]);
                let gone = |host: Host| match (host.server == CACHE, scope) {
                    (true, Scope::Full) => None,
                    (true, _) => Some(Host { state: State::Removed, ..host }),
                    (false, _) => Some(host),
                };
                let without = all.iter().cloned().filter_map(gone).collect();
                for hosts in [without, all] {
                    let list = Members { scope, hosts };
                    gateway.router.handle(now, Event::Members(list), &mut Vec::new());
                }
            }
        }
        let used = fleet.used(STARTS[0], &sent[0][0]);
        assert!(used <= 1.0, "{scope:?}: {used} of the budget");
    }
}

/// A parent that has just started must not stay idle until it is warm.
#[test]
fn a_cold_parent_gets_some_work_from_any_number_of_gateways() {
    for gateways in [1, 10, 100, 900] {
        for sizes in [Sizes::Stated, Sizes::Equal] {
            let fleet = Fleet { gateways, allowed: 80.0, sizes, restarted: 0, alone: false };
            let [_, parent] = fleet.simulate(gateways);
            let sent: usize = parent.iter().map(Vec::len).sum();
            assert!(sent as f64 >= fleet.allowed / 10.0, "{fleet:?}: {sent} requests");
        }
    }
}

/// A gateway that had just started rejected requests for the only store of a location, which had just started too. Each
/// request counted with the work assumed when it was sent, so the first ones filled the budget for its whole span
/// although they were answered within milliseconds. On a busy machine, 8 of 15 runs of a scenario with such a store
/// ended with a rejected request; the store could take hundreds in that span.
///
/// ```text
/// a store has started store="s-a2" age_ms=0 by_own_clock_ms=0
/// store < PULL z8 at=a2: only ["call  last=0", ...]
/// ```
#[test]
fn a_lone_gateway_does_not_refuse_a_store_small_requests_that_have_been_answered() {
    let fleet = Fleet { gateways: 1, allowed: 9.0, sizes: Sizes::Equal, restarted: 0, alone: true };
    let mut gateway = fleet.gateway(7, STARTS[0] - 60_000 * MS, 1, STARTS);
    for id in 1..=30 {
        let now = STARTS[0] + 20 * id as u32 * MS;
        let (mut sent, mut in_flight) = (AllSentTimes::default(), InFlight::new());
        fleet.ask(&mut gateway, now, id, &mut sent, &mut in_flight);
        let [transfer] = &gateway.transfers[..] else { panic!("request {id} is not sent") };
        assert_eq!(transfer.server, CACHE);
        let answer = Outcome {
            id,
            attempt: 0,
            status: Status::Ok,
            latency: 5 * MS,
            request: RequestState::Closed,
            note: Note::Hit,
            load: Vec::new(),
            waited: Duration::ZERO,
        };
        gateway.router.handle(now + 5 * MS, Event::Outcome(answer), &mut Vec::new());
        gateway.transfers.clear();
    }
}
