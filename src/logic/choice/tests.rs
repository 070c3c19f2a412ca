//! Compares the choice with a simple reference implementation that walks over all listed servers, and checks
//! how many entries the choice touches.
use super::*;
use crate::hashing::{rendezvous_rank, rendezvous_seed};
use crate::logic::subset::SUBSET_SIZE;
use crate::statistics::mean;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of objects: few, so that requests often find recorded hits.
const OBJECTS: u64 = 40;
/// Number of steps of a history.
const STEPS: u64 = 700;

/// The reference implementation.
impl Router {
    fn plain_ranked<'a>(
        &self,
        key: u64,
        servers: impl Iterator<Item = (&'a Server, f64)>,
    ) -> Vec<&'a Server> {
        let mut all: Vec<_> =
            servers.map(|(s, weight)| (rendezvous_rank(key, s.host.server, weight), s)).collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.host.server.cmp(&b.1.host.server)));
        all.into_iter().map(|(_, s)| s).collect()
    }

    fn plain_weight(&self, s: &Server) -> f64 {
        if self.settings.weighted {
            s.host.weight.max(0.01)
        } else {
            1.0
        }
    }

    fn plain_homes(&self, object: ObjectId, shape: Option<&[ServerWeight]>) -> Vec<&Server> {
        let parents = self.servers.values().filter(|s| Some(s.host.kind) == self.settings.parent_kind);
        let weight = |s: &Server| match shape {
            None => Some(self.plain_weight(s)),
            Some(of) => of.iter().find(|w| w.server == s.host.server && w.weight > 0.0).map(|w| w.weight),
        };
        self.plain_ranked(mix(object), parents.filter_map(|s| Some((s, weight(s)?))))
    }

    fn plain_flows(&self, s: &Server) -> f64 {
        if self.settings.weighted && s.host.weight > 0.0 {
            return s.flows.unwrap_or(s.host.weight);
        }
        let like = self.servers.values().filter(|o| o.host.kind == s.host.kind && o.host.state == State::Up);
        if self.is_cache(s) {
            return s
                .flows
                .or_else(|| mean(like.filter_map(|o| o.flows)))
                .unwrap_or(crate::logic::load::INITIAL_FLOWS);
        }
        let usual =
            mean(like.map(|o| o.rate.mean(self.now, crate::logic::load::USUAL_RATE_SPAN))).unwrap_or(0.0);
        usual * self.settings.routers as f64
    }

    fn plain_origin(&self, work: f64) -> Option<&Server> {
        let kind = self.settings.origin_kind?;
        self.servers.values().find(|s| s.host.kind == kind && self.usable(s, work))
    }

    fn plain_parent(&self, open: &OpenRequest, work: f64) -> Option<ServerId> {
        let failed =
            |s: &Server| open.attempts.iter().any(|a| a.source_failed && a.choice.source == s.host.server);
        let fit = |s: &&Server| self.usable(s, work) && !failed(s);
        let shape = self.parent_weights.as_ref().map(|h| &h.weights[..]);
        let mut homes = self.plain_homes(open.req.object, shape).into_iter().filter(fit);
        let parent = homes.next().map(|first| {
            let over = |s: &Server| 1.0 - CROWDED_STRETCH * s.pace(self.now) / first.pace(self.now);
            let spill = unit(mix(open.req.object) ^ first.host.server);
            homes.find(|next| spill < over(next)).unwrap_or(first)
        });
        parent.or_else(|| self.plain_origin(work).filter(fit)).map(|s| s.host.server)
    }

    fn plain_recorded(&self, req: &Request, server: ServerId) -> bool {
        let item = self.items.get(&(req.object, req.part));
        item.is_some_and(|i| i.hits.iter().any(|&(s, at)| s == server && self.now < at + HIT_RECORD_LIFETIME))
    }

    /// The caches that a request may go to, of all caches of the location in the order of rendezvous hashing.
    fn plain_candidates<'a>(
        &self,
        ranked: &[&'a Server],
        able: &dyn Fn(&&'a Server) -> bool,
    ) -> Vec<&'a Server> {
        let mut up: Vec<ServerId> =
            ranked.iter().filter(|s| s.host.state == State::Up).map(|s| s.host.server).collect();
        up.sort_by_key(|id| (mix(mix(self.identity()) ^ rendezvous_seed(*id)), *id));
        up.truncate(SUBSET_SIZE);
        let members = ranked.iter().copied().filter(|s| up.contains(&s.host.server));
        let members: Vec<&Server> = members.collect();
        let has_room = |s: &&&'a Server| {
            let alone = 1.0 / (self.plain_flows(s) * self.warm_share(s)).max(0.1);
            able(s) && s.backoff.is_zero() && self.stretch(s) <= CROWDED_STRETCH * alone.max(1.0)
        };
        let large = ranked.iter().filter(|s| s.host.state == State::Up).count() > SUBSET_SIZE;
        let roomy = |servers: &[&'a Server]| servers.iter().any(|s| has_room(&s));
        if large && (roomy(&members) || !roomy(ranked) && members.iter().any(able)) {
            members
        } else {
            ranked.to_vec()
        }
    }

    fn plain_choose(&self, open: &OpenRequest, class: &Class) -> Option<Choice> {
        let (req, work) = (&open.req, open.work);
        let mean = self.mean_work(open);
        let key = mix(req.object ^ mix(req.part + 1));
        let own = self.servers.values().filter(|s| self.is_own(s)).map(|s| (s, self.plain_weight(s)));
        let ranked = self.plain_ranked(key, own);
        let unavailable = |a: &Attempt| a.edge_failed || !a.done;
        let avoid =
            |s: &Server| open.attempts.iter().any(|a| a.choice.edge == s.host.server && unavailable(a));
        let in_group = |s: &Server| {
            let first = open.first_run.filter(|_| class.effect == Effect::IdempotencyKey);
            let (zone, cell) = (class.group != Group::All, class.group == Group::Cell);
            first.is_none_or(|f| {
                (!zone || f.location.zone == s.host.zone) && (!cell || f.location.cell == s.host.cell)
            })
        };
        let able = |s: &&Server| self.usable(s, mean) && !avoid(s) && in_group(s);
        let fit: Vec<&Server> = self.plain_candidates(&ranked, &able).into_iter().filter(able).collect();
        let origin = class.uncacheable.then(|| self.plain_origin(mean)).flatten().map(|s| s.host.server);
        let parent = origin.or_else(|| self.plain_parent(open, mean));
        let penalty = self.penalty.or(INITIAL_MISS_PENALTY);
        let expected = work + penalty;
        let plain = |edge, source| Choice { edge, source, expected, link: true, ..Choice::default() };
        if fit.is_empty() {
            let server = parent.filter(|_| self.settings.direct)?;
            let source = self.plain_origin(mean).map_or(server, |o| o.host.server);
            let open_to = |s: &Server| !avoid(s) && in_group(s) && self.in_time(open, class, 1.0, 1.0);
            return self.servers.get(&server).is_some_and(open_to).then(|| plain(server, source));
        }
        let least_busy = fit.iter().map(|s| self.stretch(s)).fold(f64::MAX, f64::min);
        let crowded = |s: &Server| self.stretch(s) > CROWDED_STRETCH.max(2.0 * least_busy);
        let offloads =
            |id: ServerId| unit(key ^ mix(id ^ self.seed)) < self.offload_shares.get(&id).map_or(0.0, |s| *s);
        let default = fit.iter().copied().find(|s| !crowded(s) && !offloads(s.host.server)).unwrap_or(fit[0]);
        if class.uncacheable {
            return Some(plain(default.host.server, parent?));
        }
        let none = self.settings.siblings == Siblings::None || open.attempts.iter().any(|a| a.choice.sibling);
        let can_supply = |s: &&Server| !none && self.usable(s, mean) && self.warm_share(s) >= 1.0;
        let siblings: Vec<&Server> = ranked.iter().copied().filter(can_supply).collect();
        let mut best = (f64::MAX, Choice::default(), 1.0);
        for &edge in &fit {
            let positive = self.plain_recorded(req, edge.host.server);
            if edge.host.server != default.host.server && (!positive || offloads(edge.host.server)) {
                continue;
            }
            let rates = self.indication_rates(&edge.roles.edge, Role::Edge);
            let edge_miss_chance = miss_chance(rates, Indication::from_record(positive));
            let at = self.cost(edge, Role::Edge, work);
            let expected = work + at + if positive { 0.0 } else { penalty };
            let id = edge.host.server;
            for other in siblings.iter().copied().filter(|s| s.host.server != id).map(Some).chain([None]) {
                let (more, lacks, source, known) = match other {
                    Some(s) => {
                        let known = self.plain_recorded(req, s.host.server);
                        let rates = self.indication_rates(&s.roles.source, Role::Source);
                        let lacks = miss_chance(rates, Indication::from_record(known));
                        (self.cost(s, Role::Source, work), lacks, s.host.server, known)
                    }
                    None => (0.0, 1.0, parent.unwrap_or(id), false),
                };
                let (cost, sibling) = (at + more + penalty * edge_miss_chance * lacks, other.is_some());
                if cost < best.0 {
                    let (link, positive) = (!positive, PerRole { edge: positive, source: known });
                    best = (
                        cost,
                        Choice { sibling, link, positive, expected, ..plain(id, source) },
                        edge_miss_chance,
                    );
                }
            }
        }
        let (_, choice, edge_miss_chance) = best;
        self.plain_choose_fill(open, class, choice, edge_miss_chance)
    }

    fn plain_choose_fill(
        &self,
        open: &OpenRequest,
        class: &Class,
        choice: Choice,
        edge_miss_chance: f64,
    ) -> Option<Choice> {
        if choice.source == choice.edge && open.attempts.iter().any(|a| a.choice.edge == choice.edge) {
            return None;
        }
        let stretch = self.servers.get(&choice.edge).map_or(1.0, |s| self.stretch(s));
        let cached_only = !choice.sibling && choice.source != choice.edge && self.withholds_fill(open);
        let parent = self.servers.get(&choice.source).map(|s| s.host.kind) == self.settings.parent_kind;
        let old = self.plain_former_home(open, self.mean_work(open));
        let old = old.filter(|old| parent && !cached_only && *old != choice.source);
        if let Some(source) =
            old.filter(|_| !choice.sibling && self.in_time(open, class, stretch, edge_miss_chance))
        {
            return Some(Choice { source, cached_only: true, ..choice });
        }
        let fill_barred = cached_only && (!parent || open.attempts.iter().any(|a| a.choice.cached_only));
        if !fill_barred && self.in_time(open, class, stretch, edge_miss_chance) {
            return Some(Choice { cached_only, ..choice });
        }
        let look = Choice { source: choice.edge, sibling: false, link: false, ..choice };
        (open.attempts.is_empty() && self.in_time(open, class, stretch, 0.0)).then_some(look)
    }

    fn plain_former_home(&self, open: &OpenRequest, work: f64) -> Option<ServerId> {
        let still_asked = |h: &&ParentWeights| {
            unit(mix(open.req.object) ^ 1) <= h.previous_share && open.attempts.is_empty()
        };
        let before = self.parent_weights.as_ref().filter(still_asked)?;
        let ranked = self.plain_homes(open.req.object, Some(&before.previous));
        ranked.into_iter().find(|s| self.usable(s, work)).map(|s| s.host.server)
    }
}

/// A seeded random number generator.
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0) % bound.max(1)
    }
    /// A random span of less than `bound` microseconds.
    fn span_below(&mut self, bound: u64) -> Duration {
        Duration::from_micros(self.below(bound))
    }
    fn percent(&mut self, share: u64) -> bool {
        self.below(100) < share
    }
    fn of<T: Clone>(&mut self, all: &[T]) -> T {
        all[self.below(all.len() as u64) as usize].clone()
    }
}

fn drawn_class(draws: &mut Draws) -> Class {
    Class {
        latency_objective: Duration::from_millis(50) + draws.span_below(600_000),
        objective_stretch: draws.below(3) as f64,
        effect: draws.of(&[Effect::Idempotent, Effect::IdempotencyKey, Effect::Unsafe]),
        group: draws.of(&[Group::All, Group::Zone, Group::Cell]),
        window: Duration::from_secs(1) + draws.span_below(3_000_000),
        uncacheable: draws.percent(15),
        ..Class::default()
    }
}

fn drawn_settings(draws: &mut Draws) -> Settings {
    Settings {
        routers: 1 + draws.below(400),
        zone: 1,
        zone_routers: vec![0, 1 + draws.below(60), 1 + draws.below(60)],
        classes: (0..3).map(|_| drawn_class(draws)).collect(),
        parent_kind: draws.percent(90).then_some(1),
        origin_kind: draws.percent(90).then_some(2),
        flow_kb_per_s: if draws.percent(80) { 1000.0 } else { 0.0 },
        link_kb_per_s: draws.of(&[0.0, 5000.0]),
        weighted: draws.percent(50),
        siblings: draws.of(&[Siblings::None, Siblings::Any, Siblings::Any]),
        direct: draws.percent(50),
        cancel: draws.percent(50),
        duplicates: draws.percent(50),
        max_attempts: 1 + draws.below(8),
        ..Settings::default()
    }
}

fn drawn_host(draws: &mut Draws, servers: u64, now: MonotonicTime) -> Host {
    let server = 1 + draws.below(servers);
    let usual = [0, 0, 0, 0, 0, 0, 1, 1, 2, 3][(mix(server) % 10) as usize];
    Host {
        server,
        zone: if draws.percent(2) { 2 } else { (mix(server ^ 5) % 3) as usize },
        kind: if draws.percent(2) { draws.below(3) as usize } else { usual },
        cell: server % 2,
        state: draws.of(&[State::Up, State::Up, State::Up, State::Up, State::Draining, State::Removed]),
        weight: draws.of(&[0.0, 1.0, 4.0, 4.0, 7.5, 30.0]),
        started: if draws.percent(15) { now - draws.span_below(15_000_000) } else { Host::STARTED_LONG_AGO },
    }
}

fn drawn_weights(draws: &mut Draws, servers: u64) -> Vec<ServerWeight> {
    let count = draws.below(servers);
    let drawn = |_| ServerWeight { server: 1 + draws.below(servers), weight: draws.below(4) as f64 };
    (0..count).map(drawn).collect()
}

fn drawn_outcome(
    draws: &mut Draws,
    (id, attempt, sent): (u64, u64, MonotonicTime),
    now: MonotonicTime,
    served_percent: u64,
) -> Event {
    const FAILED: [Status; 8] = [
        Status::Error,
        Status::Full,
        Status::Timeout,
        Status::ConnectFailed,
        Status::Reset,
        Status::Cancelled,
        Status::NeverSent,
        Status::Miss,
    ];
    const SERVED: [Note; 4] = [Note::Hit, Note::Hit, Note::Filled, Note::Stale];
    const FAULT: [Note; 5] =
        [Note::None, Note::SourceRefused, Note::SourceLost, Note::SourceLacks, Note::OriginFailed];
    let served = draws.percent(served_percent);
    let (status, note) =
        if served { (Status::Ok, draws.of(&SERVED)) } else { (draws.of(&FAILED), draws.of(&FAULT)) };
    let (latency, waited) =
        (now - sent + draws.span_below(200_000), draws.below(2) as u32 * draws.span_below(100_000));
    let load = if draws.percent(30) { vec![0.5, draws.below(30) as f64 / 10.0] } else { Vec::new() };
    let request = if served { RequestState::Closed } else { RequestState::Open };
    Event::Outcome(Outcome { id, attempt, status, latency, request, note, load, waited })
}

/// A random history of endpoint lists, settings, topologies, answers and failures.
struct History {
    draws: Draws,
    servers: u64,
    /// Share of successful attempts in percent.
    served_percent: u64,
    settings: Settings,
    router: Router,
    now: MonotonicTime,
    in_flight: Vec<(u64, u64, MonotonicTime)>,
    attempts: BTreeMap<u64, u64>,
    /// The full endpoint list, merged from its updates.
    listed: BTreeMap<ServerId, Host>,
}

impl History {
    /// Creates a history whose number of servers is one of `sizes`.
    fn new(seed: u64, sizes: &[u64]) -> Self {
        let mut draws = Draws(mix(seed + 1));
        let settings = drawn_settings(&mut draws);
        let mut router = Router::new(settings.clone(), seed);
        let (servers, now) = (draws.of(sizes), MonotonicTime::from_micros(100_000_000));
        let served_percent = draws.of(&[20, 60, 95]);
        let hosts = (0..servers).map(|_| drawn_host(&mut draws, servers, now)).collect();
        let members = Members { scope: Scope::Full, hosts };
        router.handle(now, Event::Members(members.clone()), &mut Vec::new());
        let (in_flight, attempts, listed) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
        let mut history =
            History { draws, servers, served_percent, settings, router, now, in_flight, attempts, listed };
        history.merge(&members);
        history
    }

    /// Merges an update into the full list.
    fn merge(&mut self, members: &Members) {
        if members.scope == Scope::Full {
            self.listed.clear();
        }
        for host in &members.hosts {
            match host.state {
                State::Removed => self.listed.remove(&host.server),
                _ => self.listed.insert(host.server, host.clone()),
            };
        }
    }

    /// Compares the router's servers with the full list.
    fn compare_list(&self, seed: u64, step: u64) {
        let (router, settings) = (&self.router, &self.settings);
        assert_eq!(router.servers(), self.listed.len(), "seed {seed}, step {step}");
        for (id, host) in &self.listed {
            let is_source =
                settings.parent_kind == Some(host.kind) || settings.origin_kind == Some(host.kind);
            let known = router.servers.get(id).map(|server| &server.host);
            if is_source || host.zone == settings.zone {
                assert_eq!(known, Some(host), "seed {seed}, step {step}");
            }
            // Servers observed before a change of settings stay until the list names them again.
            assert_eq!(known.or(router.unreachable.get(id)), Some(host), "seed {seed}, step {step}");
        }
    }

    fn event(&mut self, step: u64) -> Event {
        let (draws, servers, now) = (&mut self.draws, self.servers, self.now);
        match draws.below(1000) {
            0..=1 => {
                let hosts = (0..2 * servers).map(|_| drawn_host(draws, servers, now)).collect();
                Event::Members(Members { scope: Scope::Full, hosts })
            }
            2..=25 => {
                let hosts = (0..draws.below(4)).map(|_| drawn_host(draws, servers, now)).collect();
                Event::Members(Members { scope: Scope::Changes, hosts })
            }
            26..=35 => Event::Timer(0),
            36..=39 => Event::Purged {
                age: Duration::ZERO,
                group: draws.below(4),
                object: Some(draws.below(OBJECTS)),
            },
            40..=42 => {
                let (weights, before) = (drawn_weights(draws, servers), drawn_weights(draws, servers));
                let homes =
                    ParentWeights { weights, previous: before, previous_share: draws.of(&[0.0, 0.5, 1.0]) };
                Event::ParentWeights(draws.percent(70).then_some(homes))
            }
            43..=46 => {
                Event::OffloadShares([(1 + draws.below(servers), draws.below(10) as f64 / 10.0)].into())
            }
            47..=49 => Event::Suspected(1 + draws.below(servers)),
            50..=53 => {
                self.settings.zone = draws.of(&[1, 1, 1, 2]);
                self.settings.weighted = draws.percent(50);
                self.router.configure(self.settings.clone(), &[]);
                Event::Timer(0)
            }
            54..=56 => self.next_process(),
            57..=550 if !self.in_flight.is_empty() => {
                let at = draws.below(self.in_flight.len() as u64) as usize;
                let attempt = self.in_flight.swap_remove(at);
                drawn_outcome(draws, attempt, now, self.served_percent)
            }
            _ => Event::Request(Request {
                id: step,
                class: draws.below(3) as usize,
                object: draws.below(OBJECTS),
                part: draws.below(2),
                group: draws.below(4),
                ttl: Duration::from_millis(300) + draws.span_below(5_000_000),
                size_kb: if draws.percent(70) { draws.below(400) as f64 } else { 0.0 },
                spare_origin: draws.percent(5),
            }),
        }
    }

    /// Replaces the router by a new process that imports its observations.
    fn next_process(&mut self) -> Event {
        let learned = self.router.learned(self.now, 1000);
        let hosts = self.listed.values().cloned().collect();
        self.router = Router::new(self.settings.clone(), 5);
        let list = Event::Members(Members { scope: Scope::Full, hosts });
        self.router.handle(self.now, list, &mut Vec::new());
        self.router.take_over(learned, &[Some(0), Some(1), Some(2)]);
        self.in_flight.clear();
        Event::Timer(0)
    }

    fn step(&mut self, step: u64) {
        self.now += self.draws.span_below(20_000);
        let event = self.event(step);
        if let Event::Members(members) = &event {
            self.merge(members);
        }
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::Get(get) = action {
                let attempt = self.attempts.entry(get.id).or_default();
                self.in_flight.push((get.id, *attempt, self.now));
                *attempt += 1;
            }
        }
    }

    /// Compares the present choice for some open requests; returns the number of those with a choice.
    fn compare(&self, seed: u64, step: u64) -> u64 {
        self.compare_list(seed, step);
        let router = &self.router;
        for s in router.servers.values() {
            let (flows, plain) = (router.flows(s), router.plain_flows(s));
            assert_eq!(flows.to_bits(), plain.to_bits(), "seed {seed}, step {step}: {:?}", s.host);
        }
        let up = |s: &&Server| router.is_own(s) && s.host.state == State::Up;
        let caches = router.servers.values().filter(up).count().max(1);
        assert_eq!(router.own_caches_up, caches as f64, "seed {seed}, step {step}");
        let waiting: Vec<&OpenRequest> = router.open.values().filter(|open| !open.closed).collect();
        // The latest requests and some of the others.
        let compared = waiting.iter().rev().take(3).chain(waiting.iter().step_by(7));
        compared
            .map(|open| {
                let class = &router.settings.classes[open.req.class];
                let (chosen, plain) = (router.choose(open, class), router.plain_choose(open, class));
                assert_eq!(chosen, plain, "seed {seed}, step {step}: {:?}", open.req);
                u64::from(chosen.is_some())
            })
            .sum()
    }
}

/// All gateways agree on the homes of objects without communication, so the choice must be exactly that of
/// the reference implementation.
#[test]
fn the_choice_is_that_of_the_plain_walk_over_all_servers() {
    let mut choices = 0;
    for seed in 0..40 {
        let mut history = History::new(seed, &[3, 8, 30, 120]);
        for step in 0..STEPS {
            history.step(step);
            choices += history.compare(seed, step);
            // Invariant 9 of docs/design/large-fleet.md: locations of this size are used as a whole.
            assert!(history.router.candidates.subset.members().is_none(), "seed {seed}, step {step}");
        }
    }
    assert!(choices > 10_000, "{choices} choices compared");
}

/// Invariant 11 of docs/design/large-fleet.md. Each choice outside the subset takes a connection, and
/// requests that stay within an unavailable subset are rejected.
#[test]
fn the_choice_in_a_large_location_is_that_of_the_plain_walk_over_the_subset() {
    let (mut choices, mut in_subset) = (0, 0);
    for seed in 0..5 {
        let mut history = History::new(seed, &[400]);
        for step in 0..STEPS / 2 {
            history.step(step);
            choices += history.compare(seed, step);
            in_subset += u64::from(history.router.candidates.subset.members().is_some());
        }
    }
    assert!(choices > 2_000, "{choices} choices compared");
    assert!(in_subset > STEPS, "{in_subset} steps with a subset");
}

/// A router with these numbers of listed own caches, parents and caches of other locations.
fn listed_router(own: u64, parents: u64, elsewhere: u64, siblings: Siblings) -> Router {
    let classes = vec![Class {
        latency_objective: Duration::from_millis(250),
        objective_stretch: 2.0,
        ..Class::default()
    }];
    let settings = Settings {
        classes,
        zone: 1,
        zone_routers: vec![0, 15, 15],
        routers: 300,
        parent_kind: Some(1),
        origin_kind: Some(2),
        flow_kb_per_s: 1000.0,
        siblings,
        max_attempts: 6,
        ..Settings::default()
    };
    let host = |server: u64, zone, kind| Host { server: mix(server), zone, kind, ..Host::default() };
    let mut hosts = vec![host(1, 0, 2)];
    hosts.extend((0..own).map(|n| host(10_000 + n, 1, 0)));
    hosts.extend((0..parents).map(|n| host(20_000 + n, 0, 1)));
    hosts.extend((0..elsewhere).map(|n| host(30_000 + n, 2, 0)));
    let mut router = Router::new(settings, 3);
    let members = Members { scope: Scope::Full, hosts };
    router.handle(MonotonicTime::MIN, Event::Members(members), &mut Vec::new());
    router
}

/// Servers examined and ranks computed for each request, with these numbers of own caches, parents and caches
/// of other locations.
fn entries_touched_per_request(own: u64, parents: u64, elsewhere: u64, siblings: Siblings) -> (f64, f64) {
    const REQUESTS: u64 = 400;
    let mut router = listed_router(own, parents, elsewhere, siblings);
    let mut actions = Vec::new();
    let before = router.entries_touched();
    for id in 0..REQUESTS {
        let now = MonotonicTime::from_micros(1_000_000 + id * 25_000);
        let req = Request {
            id,
            object: id % 150,
            ttl: Duration::from_secs(2),
            size_kb: 20.0,
            ..Request::default()
        };
        actions.clear();
        router.handle(now, Event::Request(req), &mut actions);
        assert!(actions.iter().any(|a| matches!(a, Action::Get(_))), "request {id} is sent");
        let (status, note, latency) = (Status::Ok, Note::Filled, Duration::from_millis(20));
        let load = Vec::new();
        let end = Outcome {
            id,
            attempt: 0,
            status,
            latency,
            request: RequestState::Closed,
            note,
            load,
            waited: Duration::ZERO,
        };
        router.handle(now + latency, Event::Outcome(end), &mut actions);
    }
    let after = router.entries_touched();
    let each = |after: u64, before: u64| (after - before) as f64 / REQUESTS as f64;
    (each(after.servers, before.servers), each(after.places, before.places))
}

/// Invariant 14 of docs/design/large-fleet.md: with sixteen times the caches, only the subset is searched for
/// an edge cache.
#[test]
fn finding_an_edge_cache_touches_no_more_than_the_subset_however_large_the_location() {
    let without_siblings = |own| entries_touched_per_request(own, 40, 0, Siblings::None);
    let (servers, places) = without_siblings(SUBSET_SIZE as u64);
    for own in [4, 16].map(|times| times * SUBSET_SIZE as u64) {
        let (more_servers, more_places) = without_siblings(own);
        assert!(more_places <= places, "{own} caches: {places} ranks computed, then {more_places}");
        assert!(
            more_servers <= servers + 2.0,
            "{own} caches: {servers} servers examined, then {more_servers}"
        );
    }
}

/// S4 of docs/design/site-lists.md: for stores of other locations only the entry is stored, and requests do
/// not touch it.
#[test]
fn what_is_learned_and_touched_does_not_grow_with_stores_elsewhere() {
    const ELSEWHERE: u64 = 300;
    let touched =
        [1, 4, 16].map(|times| entries_touched_per_request(6, 10, times * ELSEWHERE, Siblings::Any));
    assert!(touched[0] == touched[1] && touched[1] == touched[2], "{touched:?}");
    for elsewhere in [1, 4, 16].map(|times| times * ELSEWHERE) {
        let router = listed_router(6, 10, elsewhere, Siblings::Any);
        assert_eq!((router.servers.len() as u64, router.unreachable.len() as u64), (6 + 10 + 1, elsewhere));
    }
}

/// The cost of a request must not grow with the number of listed stores: it was 4.8 times as high with 3,200
/// stores as with 200.
#[test]
fn a_request_computes_ranks_of_its_candidates_and_examines_few_of_them() {
    let (servers, places) = entries_touched_per_request(10, 40, 150, Siblings::Any);
    // Sixteen times the stores, the further ones in other locations: no more entries are touched.
    assert_eq!(entries_touched_per_request(10, 40, 3150, Siblings::Any), (servers, places));
    // Sixteen times the candidates: a rank is computed for each, but few more are examined.
    let (more_servers, more_places) = entries_touched_per_request(160, 640, 2400, Siblings::Any);
    assert!(more_servers < 4.0 * servers, "{servers} servers examined, then {more_servers}");
    assert!(more_places < 17.0 * places, "{places} ranks computed, then {more_places}");
    assert!(places < 4.0 * (10.0 + 40.0), "{places} ranks computed");
}
