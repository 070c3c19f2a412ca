//! Model checking of invariants T1, T4 and T6 of `docs/design/membership-tiers.md`: the production election code with
//! delayed, lost and reordered messages, pauses and restarts; and the reports of two representatives. The checker must
//! also find deliberately planted faults.
use larchway::MonotonicTime;
use larchway_cluster::tiers::election::{Election, Input, Output};
use larchway_cluster::tiers::message::Request;
use larchway_cluster::tiers::{Count, ElectionTiming, Reports, Version};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::time::Duration;

const TICK: Duration = Duration::from_micros(1);
/// The time in µs at which the models begin; the vote delay of all voters is over by then.
const START_MICROS: u64 = 10;
const VOTERS: usize = 3;
/// Number of candidates; the third voter only votes.
const CANDIDATES: usize = 2;
/// Greatest explored term. It bounds the states, since failed campaigns may follow each other within one tick.
const MAX_TERM: u32 = 2;

const CORRECT_TIMING: ElectionTiming = ElectionTiming {
    lease_duration: Duration::from_micros(2),
    grant_duration: Duration::from_micros(2),
    vote_delay: Duration::from_micros(2),
    renewal_interval: TICK,
    resend_interval: TICK,
    campaign_timeout: Duration::from_micros(3),
    rank_delay: Duration::ZERO,
    candidate_cooldown: Duration::ZERO,
};

/// The parameters of an election model with faults.
#[derive(Clone)]
struct ElectionModel {
    timing: ElectionTiming,
    ticks: u64,
    /// Whether a resumed gateway checks its lease with the time at which it was paused (a planted fault).
    uses_stale_clock: bool,
    pauses: u8,
    restarts: u8,
    /// Greatest number of messages in flight.
    in_flight: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request { from: u16, to: u16, term: u32, round: u32, is_renewal: bool },
    Grant { from: u16, to: u16, term: u32, round: u32 },
    Refusal { to: u16, term: u32 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    election: Election,
    is_paused: bool,
    /// When it last handled an input or a tick of the clock.
    last_handled_at: MonotonicTime,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ElectionState {
    now: MonotonicTime,
    gateways: Vec<Gateway>,
    in_flight: BTreeSet<Message>,
    pauses: u8,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    HandleTick(usize),
    Deliver(Message),
    Pause(usize),
    Resume(usize),
    Restart(usize),
}

impl ElectionModel {
    fn election(&self, now: MonotonicTime, number: usize, incarnation: u8) -> Election {
        let seed = (number as u64) << 8 | u64::from(incarnation);
        Election::new(now, self.timing, number as u16, number, VOTERS, seed)
    }

    /// Whether a gateway considers itself the representative now, and is not paused.
    fn acts_as_representative(&self, state: &ElectionState, number: usize) -> bool {
        let gateway = &state.gateways[number];
        let time = if self.uses_stale_clock { gateway.last_handled_at } else { state.now };
        !gateway.is_paused && gateway.election.held_term(time).is_some()
    }
}

impl ElectionState {
    fn handle(&mut self, number: usize, input: Input) {
        let mut outputs = Vec::new();
        let now = self.now;
        let gateway = &mut self.gateways[number];
        gateway.last_handled_at = now;
        gateway.election.handle(now, input, &mut outputs);
        let from = number as u16;
        for output in outputs {
            match output {
                Output::SendRequest(Request { term, round, is_renewal }) => {
                    for to in (0..VOTERS as u16).filter(|to| *to != from) {
                        self.in_flight.insert(Message::Request { from, to, term, round, is_renewal });
                    }
                }
                Output::Grant { candidate, term, round } => {
                    self.in_flight.insert(Message::Grant { from, to: candidate, term, round });
                }
                Output::Refuse { candidate, term } => {
                    self.in_flight.insert(Message::Refusal { to: candidate, term });
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) -> Option<()> {
        let (to, input) = match message {
            Message::Request { from, to, term, round, is_renewal } => {
                let request = Request { term, round, is_renewal };
                (to, Input::Request { candidate: from, request })
            }
            Message::Grant { from, to, term, round } => {
                (to, Input::Grant { voter: usize::from(from), term, round })
            }
            Message::Refusal { to, term } => (to, Input::Refused { term }),
        };
        let is_awake = !self.gateways[usize::from(to)].is_paused;
        is_awake.then(|| self.handle(usize::from(to), input))
    }
}

impl Model for ElectionModel {
    type State = ElectionState;
    type Action = Action;

    fn init_states(&self) -> Vec<ElectionState> {
        let started_at = MonotonicTime::from_micros(START_MICROS) - self.timing.vote_delay;
        let now = MonotonicTime::from_micros(START_MICROS);
        let gateway = |number| Gateway {
            election: self.election(started_at, number, 0),
            is_paused: false,
            last_handled_at: now,
        };
        let gateways = (0..VOTERS).map(gateway).collect();
        vec![ElectionState { now, gateways, in_flight: BTreeSet::new(), pauses: 0, restarts: 0 }]
    }

    fn actions(&self, state: &ElectionState, actions: &mut Vec<Action>) {
        actions.push(Action::Tick);
        actions.extend(state.in_flight.iter().cloned().map(Action::Deliver));
        for (number, gateway) in state.gateways.iter().enumerate() {
            if gateway.is_paused {
                actions.push(Action::Resume(number));
                continue;
            }
            if number < CANDIDATES {
                actions.push(Action::HandleTick(number));
            }
            if state.pauses < self.pauses {
                actions.push(Action::Pause(number));
            }
            if state.restarts < self.restarts {
                actions.push(Action::Restart(number));
            }
        }
    }

    fn next_state(&self, before: &ElectionState, action: Action) -> Option<ElectionState> {
        let mut state = before.clone();
        match action {
            Action::Tick => {
                state.now += TICK;
                let now = state.now;
                state
                    .gateways
                    .iter_mut()
                    .filter(|gateway| !gateway.is_paused)
                    .for_each(|gateway| gateway.last_handled_at = now);
            }
            Action::HandleTick(number) => state.handle(number, Input::Tick { rank: Some(0) }),
            Action::Deliver(message) => {
                state.in_flight.remove(&message);
                state.deliver(message)?;
            }
            Action::Pause(number) => {
                state.gateways[number].is_paused = true;
                state.pauses += 1;
            }
            Action::Resume(number) => state.gateways[number].is_paused = false,
            Action::Restart(number) => {
                state.restarts += 1;
                let election = self.election(state.now, number, state.restarts);
                state.gateways[number] = Gateway { election, is_paused: false, last_handled_at: state.now };
            }
        }
        Some(state)
    }

    fn within_boundary(&self, state: &ElectionState) -> bool {
        let end = MonotonicTime::from_micros(START_MICROS + self.ticks);
        let has_few_terms = state.gateways.iter().all(|gateway| gateway.election.highest_term() <= MAX_TERM);
        state.now <= end && state.in_flight.len() <= self.in_flight && has_few_terms
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one representative", |model: &ElectionModel, state: &ElectionState| {
                (0..CANDIDATES).filter(|number| model.acts_as_representative(state, *number)).count() <= 1
            }),
            Property::sometimes(
                "the second candidate is elected",
                |model: &ElectionModel, state: &ElectionState| {
                    model.acts_as_representative(state, 1) && state.gateways[0].election.highest_term() > 0
                },
            ),
        ]
    }
}

/// Returns whether two gateways represented the group at the same time, and the number of explored states.
fn check_election(model: ElectionModel) -> (bool, usize) {
    let checker = model.checker().threads(2).spawn_bfs().join();
    let is_violated = checker.discovery("one representative").is_some();
    if !is_violated {
        checker.assert_any_discovery("the second candidate is elected");
    }
    (is_violated, checker.unique_state_count())
}

const ELECTION: ElectionModel = ElectionModel {
    timing: CORRECT_TIMING,
    ticks: 2,
    uses_stale_clock: false,
    pauses: 0,
    restarts: 0,
    in_flight: 3,
};

#[test]
fn a_group_never_has_two_representatives_whatever_is_lost_late_paused_or_restarted() {
    let longer_run = ElectionModel { ticks: 4, in_flight: 2, ..ELECTION };
    for model in [
        ElectionModel { pauses: 1, ..ELECTION },
        ElectionModel { restarts: 1, ..ELECTION },
        ElectionModel { pauses: 1, restarts: 1, ..longer_run },
    ] {
        let (is_violated, states) = check_election(model);
        assert!(!is_violated, "two representatives; {states} states explored");
        assert!(states > 10_000, "only {states} states explored");
    }
}

#[test]
fn the_checker_finds_a_lease_used_after_a_pause() {
    assert!(check_election(ElectionModel { uses_stale_clock: true, pauses: 1, ..ELECTION }).0);
}

#[test]
fn the_checker_finds_a_grant_shorter_than_the_lease() {
    let timing = ElectionTiming { grant_duration: TICK, ..CORRECT_TIMING };
    assert!(check_election(ElectionModel { timing, ..ELECTION }).0);
}

#[test]
fn the_checker_finds_a_voter_that_votes_right_after_a_restart() {
    let timing = ElectionTiming { vote_delay: Duration::ZERO, ..CORRECT_TIMING };
    assert!(check_election(ElectionModel { timing, restarts: 1, ..ELECTION }).0);
}

/// A model of the reports of a site of two gateways. The first represents the site and counts two live gateways; after
/// the first is paused or killed, the second represents the site and counts one. Then the second may die too. Reports
/// are delayed and reordered.
#[derive(Clone)]
struct ReportModel {
    timeout: Duration,
    /// Whether reports are compared by sequence only, without the term (a planted fault).
    ignores_term: bool,
    ticks: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct SentReport {
    term: u32,
    sequence: u32,
    live: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ReportState {
    now: MonotonicTime,
    reports: Reports,
    in_flight: BTreeSet<SentReport>,
    /// Number of reports sent by each of the two.
    sent: [u32; 2],
    site_is_dead: bool,
    /// Whether a report of the second gateway has been received.
    second_was_received: bool,
    /// When the last report was received.
    last_received_at: MonotonicTime,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ReportAction {
    Tick,
    FirstSends,
    SecondSends,
    Deliver(SentReport),
    SiteDies,
}

const SITE_SIZE: u16 = 2;
/// Number of live gateways in the reports of each of the two.
const FIRST_LIVE_COUNT: u16 = 2;
const SECOND_LIVE_COUNT: u16 = 1;

impl ReportState {
    fn count(&self) -> Count {
        self.reports.count(self.now, 0, SITE_SIZE)
    }
}

impl Model for ReportModel {
    type State = ReportState;
    type Action = ReportAction;

    fn init_states(&self) -> Vec<ReportState> {
        vec![ReportState {
            now: MonotonicTime::from_micros(START_MICROS),
            reports: Reports::new(1, self.timeout),
            in_flight: BTreeSet::new(),
            sent: [0, 0],
            site_is_dead: false,
            second_was_received: false,
            last_received_at: MonotonicTime::MIN,
        }]
    }

    fn actions(&self, state: &ReportState, actions: &mut Vec<ReportAction>) {
        actions.push(ReportAction::Tick);
        actions.extend(state.in_flight.iter().cloned().map(ReportAction::Deliver));
        if !state.site_is_dead {
            actions.push(ReportAction::SiteDies);
            if state.sent[0] < 3 {
                actions.push(ReportAction::FirstSends);
            }
            if state.sent[1] < 2 {
                actions.push(ReportAction::SecondSends);
            }
        }
    }

    fn next_state(&self, before: &ReportState, action: ReportAction) -> Option<ReportState> {
        let mut state = before.clone();
        match action {
            ReportAction::Tick => state.now += TICK,
            ReportAction::SiteDies => state.site_is_dead = true,
            ReportAction::FirstSends => {
                state.sent[0] += 1;
                let sequence = state.sent[0];
                state.in_flight.insert(SentReport { term: 1, sequence, live: FIRST_LIVE_COUNT });
            }
            ReportAction::SecondSends => {
                state.sent[1] += 1;
                let sequence = state.sent[1];
                state.in_flight.insert(SentReport { term: 2, sequence, live: SECOND_LIVE_COUNT });
            }
            ReportAction::Deliver(report) => {
                state.in_flight.remove(&report);
                let term = if self.ignores_term { 0 } else { report.term };
                let author = if self.ignores_term { 0 } else { report.term as u16 };
                let version = Version { term, sequence: report.sequence };
                let count = Count { live: report.live, unknown: 0 };
                state.reports.receive(state.now, 0, author, version, count);
                state.second_was_received |= report.term == 2;
                state.last_received_at = state.now;
            }
        }
        Some(state)
    }

    fn within_boundary(&self, state: &ReportState) -> bool {
        state.now <= MonotonicTime::from_micros(START_MICROS + self.ticks)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a known death stays known", |_: &ReportModel, state: &ReportState| {
                !state.second_was_received || state.count().live <= SECOND_LIVE_COUNT
            }),
            Property::always("a silent site is unknown", |_: &ReportModel, state: &ReportState| {
                let is_silent = state.now >= state.last_received_at + REPORT_TIMEOUT;
                !is_silent || state.count() == Count::unknown(SITE_SIZE)
            }),
            Property::sometimes(
                "the count of the second representative is used",
                |_: &ReportModel, state: &ReportState| {
                    state.count().live == SECOND_LIVE_COUNT && state.sent[0] > 0
                },
            ),
        ]
    }
}

/// The timeout that the invariant requires; a model may use a different one.
const REPORT_TIMEOUT: Duration = Duration::from_micros(2);
const REPORTS: ReportModel = ReportModel { timeout: REPORT_TIMEOUT, ignores_term: false, ticks: 4 };

fn check_reports(model: ReportModel, property: &'static str) -> bool {
    let checker = model.checker().threads(2).spawn_bfs().join();
    checker.assert_any_discovery("the count of the second representative is used");
    checker.discovery(property).is_some()
}

#[test]
fn reports_of_an_earlier_representative_or_a_silent_site_are_never_used() {
    for property in ["a known death stays known", "a silent site is unknown"] {
        assert!(!check_reports(REPORTS, property), "{property}");
    }
}

#[test]
fn the_checker_finds_counts_accepted_without_regard_to_the_term() {
    let model = ReportModel { ignores_term: true, ..REPORTS };
    assert!(check_reports(model, "a known death stays known"));
}

#[test]
fn the_checker_finds_a_dead_site_that_is_counted_forever() {
    let model = ReportModel { timeout: Duration::from_secs(1), ..REPORTS };
    assert!(check_reports(model, "a silent site is unknown"));
}
