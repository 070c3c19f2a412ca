//! The case `model`: the failure detector of the cluster beside two others, in virtual time, in clusters of several
//! sizes and under several faults.
use super::report::LONGEST_DATAGRAM;
use crate::faults::detectors::{Heartbeats, Own, Swim};
use crate::faults::plan::Plan;
use crate::faults::world::{self, Seen};
use crate::trial::bounds::Bounds;
use crate::trial::TrialError;
use serde_json::{json, Value};

const CLUSTER_SIZES: [usize; 4] = [3, 30, 300, 1000];
/// Heartbeats from all to all are a million datagrams a second at 1,000: they are played up to this size.
const MOST_WITH_HEARTBEATS: usize = 300;
const SPAN_MS: u64 = 40_000;

/// Faults that are played with each size.
struct FaultScenario {
    name: &'static str,
    /// The faults of its plan, as JSON without the brackets around them.
    faults: String,
}

/// What a failure detector showed.
struct DetectorResult {
    detector: &'static str,
    seen: Seen,
}

/// The name of the cluster's own detector.
const OWN: &str = "own";

fn scenarios(members: usize) -> Vec<FaultScenario> {
    let most: Vec<usize> = (0..members).filter(|number| number % 10 < 7).collect();
    let one = members / 2;
    let scenario = |name, faults| FaultScenario { name, faults };
    let loss = r#"{"at_ms":1000,"for_ms":39000,"what":"loss","from":"all","to":"all","share":0.3}"#;
    vec![
        scenario("calm", String::new()),
        scenario("30 % lost", loss.into()),
        scenario("pause of 2 s", format!(r#"{{"at_ms":9000,"for_ms":2000,"what":"pause","who":[{one},1]}}"#)),
        scenario(
            "one hears nothing",
            format!(r#"{{"at_ms":9000,"for_ms":20000,"what":"cut","from":"all","to":[{one}]}}"#),
        ),
        scenario("one killed", format!(r#"{{"at_ms":9000,"what":"kill","who":[{one}]}}"#)),
        scenario("seven in ten killed", format!(r#"{{"at_ms":9000,"what":"kill","who":{most:?}}}"#)),
    ]
}

/// Plays a plan with each failure detector.
fn play_detectors(plan: &Plan, members: usize) -> Vec<DetectorResult> {
    let result = |detector, seen| DetectorResult { detector, seen };
    let mut results =
        vec![result(OWN, world::play(plan, Own::new)), result("swim", world::play(plan, Swim::new))];
    if members <= MOST_WITH_HEARTBEATS {
        results.push(result("heartbeats", world::play(plan, Heartbeats::new)));
    }
    results
}

fn header() -> String {
    format!(
        "{:<11} {:>7} {:<20} {:>6} {:>22} {:>8} {:>9} {:>9}\n",
        "model", "members", "world", "false", "known dead ms: half/all", "unknown", "datagrams", "bytes"
    )
}

fn row(result: &DetectorResult, members: usize, scenario: &str) -> String {
    let DetectorResult { detector, seen } = result;
    let mut known = seen.known_ms.clone();
    known.sort_unstable();
    let quantiles = match known.last() {
        Some(last) => format!("{}/{last}", known[known.len() / 2]),
        None => "-".into(),
    };
    format!(
        "{detector:<11} {members:>7} {scenario:<20} {:>6} {quantiles:>22} {:>8} {:>9.1} {:>9.0}\n",
        seen.false_removals, seen.unknown, seen.datagrams, seen.bytes
    )
}

fn check(result: &DetectorResult, members: usize, scenario: &str, bounds: &mut Bounds) {
    let false_removals = result.seen.false_removals;
    let holds = false_removals == 0 && result.seen.longest as u64 <= LONGEST_DATAGRAM;
    bounds.check(result.detector != OWN || holds, || {
        format!("model, {members} members, {scenario}: {false_removals} false removals")
    });
}

/// Plays all sizes and scenarios; adds to the table, and returns the figures.
pub(super) fn play(seed: u64, table: &mut String, bounds: &mut Bounds) -> Result<Value, TrialError> {
    table.push_str(&header());
    let mut figures = Vec::new();
    for members in CLUSTER_SIZES {
        for FaultScenario { name, faults } in scenarios(members) {
            let text =
                format!(r#"{{"seed":{seed},"members":{members},"for_ms":{SPAN_MS},"faults":[{faults}]}}"#);
            let plan = Plan::read(&text)?;
            for result in play_detectors(&plan, members) {
                table.push_str(&row(&result, members, name));
                check(&result, members, name, bounds);
                let DetectorResult { detector, seen } = result;
                figures.push(json!({ "way": detector, "members": members, "world": name, "seen": seen }));
            }
        }
    }
    Ok(Value::Array(figures))
}
