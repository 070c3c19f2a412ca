//! The same failure detector in one flat tier, at the sizes that it can bear.
use crate::faults::detectors::Own;
use crate::faults::plan::Plan;
use crate::faults::world;
use crate::trial::TrialError;
use serde_json::{json, Value};

const SIZES: [usize; 3] = [15, 300, 1_000];
const SPAN_MS: u64 = 30_000;
const KILL_AT_MS: u64 = 8_000;

/// Plays one kill at each size; adds to the table.
pub(super) fn play(seed: u64, table: &mut String) -> Result<Value, TrialError> {
    let mut figures = Vec::new();
    for members in SIZES {
        let text = format!(
            r#"{{"seed":{seed},"members":{members},"for_ms":{SPAN_MS},
                "faults":[{{"at_ms":{KILL_AT_MS},"what":"kill","who":[{}]}}]}}"#,
            members / 2
        );
        let seen = world::play(&Plan::read(&text)?, Own::new);
        let known = seen.known_ms.iter().max().map_or("not known".into(), |ms| format!("{ms} ms"));
        table.push_str(&format!(
            "flat  {members:>6} gateways  false removals {}  one killed known everywhere {known}  \
             {:.1} datagrams/s  {:.0} bytes/s\n",
            seen.false_removals, seen.datagrams, seen.bytes
        ));
        figures.push(json!({ "members": members, "seen": seen }));
    }
    Ok(Value::Array(figures))
}
