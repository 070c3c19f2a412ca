//! Rollouts: stages, halts and rollbacks (C5, C6 and L2 of `docs/design/configuration-events.md`).
mod common;
use common::documents::{id, version};
use common::{SECOND, START};
use larchway::MonotonicTime;
use larchway_distribution::configuration::{
    DocumentVersion, HaltReason, Observation, RejectedVersion, Rejection, Rollout, RolloutInput,
    RolloutOutput, RolloutPlan, RolloutStage, RolloutState, Targets, MAX_CONTENT_BYTES,
};
use larchway_distribution::EventNumber;
use proptest::prelude::*;
use std::time::Duration;

const SOAK: Duration = Duration::from_secs(10);
const STAGE_TIME: Duration = Duration::from_secs(30);

/// A plan with two stages by share, two by zone, and the final one for all gateways.
fn plan() -> RolloutPlan {
    RolloutPlan {
        id: id("a"),
        version: 7,
        content: Some("2".into()),
        previous: Some("1".into()),
        stages: RolloutPlan::stages(&[0.01, 0.05], &["z1".to_string(), "z2".to_string()]),
        minimum_soak: SOAK,
        tolerated_rejections: 0,
        max_stage_time: STAGE_TIME,
        roll_back_when_halted: true,
    }
}

/// A rollout with a virtual clock, and relays that store each published version with the next event number.
struct Driver {
    rollout: Rollout,
    now: MonotonicTime,
    last: EventNumber,
}

impl Driver {
    fn start(plan: RolloutPlan) -> (Driver, Vec<RolloutOutput>) {
        let rollout = Rollout::new(plan).expect("a plan");
        let mut driver = Driver { rollout, now: START, last: 100 };
        let out = driver.input(RolloutInput::Start);
        (driver, out)
    }

    fn input(&mut self, input: RolloutInput) -> Vec<RolloutOutput> {
        let mut out = Vec::new();
        self.rollout.handle(self.now, input, &mut out);
        for output in &out {
            let (RolloutOutput::Publish(document) | RolloutOutput::RollBack(document)) = output else {
                continue;
            };
            self.last += 1;
            let stored = RolloutInput::VersionStored { version: document.version, number: self.last };
            self.rollout.handle(self.now, stored, &mut Vec::new());
        }
        out
    }

    fn advance(&mut self, time: Duration) -> Vec<RolloutOutput> {
        self.now += time;
        self.input(RolloutInput::Tick)
    }

    fn observe(&mut self, applied: EventNumber, rejections: Vec<RejectedVersion>) -> Vec<RolloutOutput> {
        let observation = Observation { applied, gateways: 100, rejections, ..Observation::default() };
        self.input(RolloutInput::Observed(observation))
    }
}

fn rejected(version: DocumentVersion, gateways: u64) -> RejectedVersion {
    let rejection = Rejection { id: id("a"), version, reason: "a.limit: too large".to_string(), number: 1 };
    RejectedVersion { gateways, ..RejectedVersion::of_gateway("g", &rejection) }
}

fn published(out: &[RolloutOutput]) -> Option<u32> {
    match out {
        [RolloutOutput::Publish(document)] => Some(document.version.stage),
        _ => None,
    }
}

#[test]
fn a_rollout_widens_stage_by_stage_and_completes() {
    let (mut driver, out) = Driver::start(plan());
    assert_eq!(published(&out), Some(0));
    for stage in 0..4 {
        assert_eq!(driver.observe(driver.last - 1, vec![]), [], "not applied by all");
        assert_eq!(driver.observe(driver.last, vec![]), [], "not soaked");
        assert_eq!(driver.advance(SOAK), [], "only a report that came after the soak counts");
        assert_eq!(published(&driver.observe(driver.last, vec![])), Some(stage + 1));
    }
    assert_eq!(driver.observe(driver.last, vec![]), [RolloutOutput::Completed]);
    assert_eq!(*driver.rollout.state(), RolloutState::Completed);
    let documents: Vec<_> = (0..5).map(|stage| driver.rollout.plan().document(stage)).collect();
    let shares = documents
        .iter()
        .map(|document| document.targets.as_ref().map(|targets| (targets.share, targets.zones.len())));
    let expected = [Some((0.01, 0)), Some((0.05, 0)), Some((0.05, 1)), Some((0.05, 2)), None];
    assert_eq!(shares.collect::<Vec<_>>(), expected);
}

#[test]
fn rejections_halt_a_rollout_and_roll_it_back() {
    let (mut driver, _) = Driver::start(plan());
    let rejections = vec![rejected(version(7, 0), 1)];
    let out = driver.observe(driver.last, rejections.clone());
    let [RolloutOutput::Halted(reason), RolloutOutput::RollBack(document)] = &out[..] else {
        panic!("{out:?}")
    };
    assert_eq!(*reason, HaltReason::Rejected(rejections));
    assert_eq!((document.version, document.content.as_deref()), (version(8, 0), Some("1")));
    assert_eq!(document.targets, None);
    assert_eq!(driver.observe(driver.last, vec![rejected(version(8, 0), 1)]), [], "not applied by all");
    assert_eq!(driver.observe(driver.last, vec![]), [RolloutOutput::RolledBack]);
    // Rejections of a different version, or no more than tolerated, do not halt the rollout.
    let (mut driver, _) = Driver::start(RolloutPlan { tolerated_rejections: 2, ..plan() });
    let tolerated = vec![rejected(version(7, 0), 2), rejected(version(6, 0), 9)];
    assert_eq!(driver.observe(driver.last, tolerated.clone()), []);
    driver.advance(SOAK);
    assert_eq!(published(&driver.observe(driver.last, tolerated)), Some(1));
}

#[test]
fn a_stage_that_is_not_applied_in_time_halts_the_rollout() {
    let (mut driver, _) = Driver::start(RolloutPlan { roll_back_when_halted: false, ..plan() });
    assert_eq!(driver.rollout.next_due(), Some(START + STAGE_TIME));
    driver.observe(driver.last, vec![]);
    assert_eq!(driver.rollout.next_due(), None, "applied");
    // A gateway joins with an older position, so the stage is no longer applied by all.
    driver.observe(driver.last - 1, vec![]);
    assert_eq!(driver.advance(STAGE_TIME), [RolloutOutput::Halted(HaltReason::StageOverdue { stage: 0 })]);
    assert_eq!(driver.observe(driver.last, vec![]), [], "the rollout stays halted");
    let [RolloutOutput::RollBack(_)] = driver.input(RolloutInput::RollBack)[..] else {
        panic!("no rollback")
    };
}

#[test]
fn nothing_counts_as_applied_without_gateways_or_with_omitted_rejections() {
    let (mut driver, _) = Driver::start(plan());
    let observation = Observation { applied: u64::MAX, ..Observation::default() };
    assert_eq!(driver.input(RolloutInput::Observed(observation.clone())), []);
    assert!(matches!(driver.rollout.state(), RolloutState::Applying { .. }));
    let omitted = Observation { gateways: 1, rejections_omitted: true, ..observation };
    let out = driver.input(RolloutInput::Observed(omitted));
    assert_eq!(out[0], RolloutOutput::Halted(HaltReason::RejectionsOmitted));
}

#[test]
fn a_restarted_publisher_resumes_at_the_stored_stage() {
    let mut rollout = Rollout::resume(START, plan(), version(7, 2)).expect("a plan");
    let mut out = Vec::new();
    rollout.handle(START, RolloutInput::Start, &mut out);
    assert_eq!((out, rollout.is_under_way()), (vec![], true));
    let resumed = |stored| Rollout::resume(START, plan(), stored).expect("a plan").state().clone();
    assert_eq!(resumed(version(8, 0)), RolloutState::RollingBack { number: None });
    assert_eq!(resumed(version(6, 0)), RolloutState::Planned);
}

#[test]
fn an_error_of_a_plan_names_the_key() {
    let stage = |share| RolloutStage { targets: Targets::share(share) };
    let long: std::sync::Arc<str> = "1".repeat(MAX_CONTENT_BYTES + 1).into();
    let cases = [
        (RolloutPlan { stages: vec![stage(0.5), stage(0.2)], ..plan() }, "stages[1].targets: narrower"),
        (RolloutPlan { stages: vec![stage(0.5), stage(2.0)], ..plan() }, "stages[1]: targets.share: 2"),
        (RolloutPlan { stages: vec![stage(0.5); 1000], ..plan() }, "stages: 1000"),
        (RolloutPlan { version: 0, ..plan() }, "version: 0"),
        (RolloutPlan { content: Some(long.clone()), ..plan() }, "content: 65537 bytes"),
        (RolloutPlan { previous: Some(long), ..plan() }, "previous: content: 65537 bytes"),
        (RolloutPlan { max_stage_time: Duration::ZERO, ..plan() }, "max_stage_time"),
    ];
    for (plan, key) in cases {
        let error = Rollout::new(plan).expect_err(key).to_string();
        assert!(error.contains(key), "{error}: {key}");
    }
}

#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    /// A report of the relays: number of events behind the last, number of rejecting gateways, and whether rejections
    /// are omitted.
    Observe {
        events_behind: u64,
        rejecting: u64,
        omitted: bool,
    },
    Halt,
    RollBack,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let observe = (0..3_u64, prop_oneof![9 => Just(0), 1 => 0..4_u64], prop::bool::weighted(0.02)).prop_map(
        |(events_behind, rejecting, omitted)| Step::Observe {
            events_behind: events_behind / 2,
            rejecting,
            omitted,
        },
    );
    let step = prop_oneof![
        6 => observe,
        4 => (1..15_u64).prop_map(Step::Pass),
        1 => prop::bool::weighted(0.1).prop_map(|halt| if halt { Step::Halt } else { Step::Pass(1) }),
        1 => prop::bool::weighted(0.1).prop_map(|back| if back { Step::RollBack } else { Step::Pass(1) }),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// C6 and L2 compared with a simple reference: a stage follows only after a report in which the previous stage is
    /// applied, and it was applied in every report for at least the soak time.
    #[test]
    fn a_stage_follows_only_what_is_applied_by_all_before_it(steps in steps(), tolerated in 0..3_u64) {
        let (mut driver, _) = Driver::start(RolloutPlan { tolerated_rejections: tolerated, ..plan() });
        let (mut stage, mut stage_since, mut applied_since) = (0, START, None);
        let (mut is_over, mut rollbacks) = (false, 0);
        for step in steps {
            let was_over = is_over;
            let stage_number = driver.last;
            let (out, observed) = match step {
                Step::Pass(seconds) => (driver.advance(seconds as u32 * SECOND), None),
                Step::Halt => (driver.input(RolloutInput::Halt), None),
                Step::RollBack => (driver.input(RolloutInput::RollBack), None),
                Step::Observe { events_behind, rejecting, omitted } => {
                    let rejections = (rejecting > 0).then(|| rejected(version(7, stage), rejecting));
                    let observation = Observation {
                        applied: stage_number - events_behind,
                        gateways: 100,
                        lost: 0,
                        rejections: rejections.into_iter().collect(),
                        rejections_omitted: omitted,
                    };
                    let is_applied = events_behind == 0 && rejecting <= tolerated && !omitted;
                    (driver.input(RolloutInput::Observed(observation)), Some(is_applied))
                }
            };
            match observed {
                Some(true) => { applied_since.get_or_insert(driver.now); }
                Some(false) => applied_since = None,
                None => {}
            }
            for output in out {
                match output {
                    RolloutOutput::Publish(document) => {
                        prop_assert!(!was_over && observed == Some(true));
                        prop_assert!(applied_since.is_some_and(|since| since + SOAK <= driver.now));
                        prop_assert_eq!(document.version, version(7, stage + 1));
                        (stage, stage_since, applied_since) = (stage + 1, driver.now, None);
                    }
                    RolloutOutput::Completed => {
                        prop_assert!(!was_over && observed == Some(true));
                        prop_assert_eq!(stage, 4);
                        is_over = true;
                    }
                    RolloutOutput::Halted(_) => {
                        prop_assert!(!was_over);
                        is_over = true;
                    }
                    RolloutOutput::RollBack(document) => {
                        rollbacks += 1;
                        prop_assert_eq!((document.version, rollbacks), (version(8, 0), 1));
                        is_over = true;
                    }
                    RolloutOutput::RolledBack => prop_assert!(is_over && rollbacks == 1 && observed.is_some()),
                }
            }
            // L2: no stage stays unapplied for longer than the maximum stage time.
            let is_late = applied_since.is_none() && stage_since + STAGE_TIME <= driver.now;
            prop_assert!(is_over || !is_late, "stage {} since {:?}", stage, stage_since);
        }
    }
}
