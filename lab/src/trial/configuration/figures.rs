//! What a case measured: its figures, their table, and the bounds that must hold.
use super::observer::Samples;
use super::world::Spent;
use super::{Case, Made, FOLLOWERS, GATEWAYS, SETTLE, SPAN};
use crate::followers::Seen;
use larchway::Micros;
use serde::Serialize;

/// Within this each change must be in force everywhere, ms.
pub(super) const CHANGE_BOUND_MS: f64 = 4_000.0;

/// The figures of a case. Times are in ms. Bytes and processor time are those of a gateway, purges included, divided by
/// the time of the complete case.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Figures {
    case: String,
    gateways: usize,
    followers: usize,
    changes: usize,
    /// Time until a change was in force at all real gateways: too long by the time between two looks at most.
    in_force_p50: f64,
    in_force_max: f64,
    /// Time until all hollow followers had received a change.
    followers_max: f64,
    /// Changes that were not in force at all gateways.
    incomplete: usize,
    /// Bytes of a change to one gateway before any compression, on average.
    bytes_a_change: f64,
    /// Bytes of all changes to one gateway, a second, before any compression.
    change_bytes_per_s: f64,
    /// Metered bytes between a gateway and its relay, a second, in both directions; files do not count.
    metered_bytes_per_s: f64,
    /// Processor time of a gateway, in thousandths of a core; looks at its console included.
    cpu_per_mille: f64,
    /// Gaps of hollow followers.
    gaps: u64,
}

/// Works the figures out.
pub(super) fn measure(
    case: &Case,
    made: &[Made],
    samples: &[Samples],
    seen: &[Seen],
    spent: &Spent,
) -> Figures {
    let seconds = (SPAN + SETTLE).as_secs_f64();
    let gateways = GATEWAYS as f64;
    let delays: Vec<Option<Micros>> = made.iter().map(|made| delay(made, samples)).collect();
    let mut known: Vec<Micros> = delays.iter().flatten().copied().collect();
    known.sort_unstable();
    let bytes: usize = made.iter().map(|made| made.bytes).sum();
    Figures {
        case: case.name.to_string(),
        gateways: GATEWAYS,
        followers: FOLLOWERS,
        changes: made.len(),
        in_force_p50: ms(known.get(known.len() / 2).copied().unwrap_or(0)),
        in_force_max: ms(known.last().copied().unwrap_or(0)),
        followers_max: ms(made.iter().filter_map(|made| follower_delay(made, seen)).max().unwrap_or(0)),
        incomplete: delays.iter().filter(|delay| delay.is_none()).count(),
        bytes_a_change: bytes as f64 / made.len().max(1) as f64,
        change_bytes_per_s: bytes as f64 / SPAN.as_secs_f64(),
        metered_bytes_per_s: spent.gateway_bytes as f64 / gateways / seconds,
        cpu_per_mille: spent.gateway_cpu.as_secs_f64() * 1000.0 / gateways / seconds,
        gaps: seen.iter().map(|seen| seen.gaps).sum(),
    }
}

/// The time until a change was in force at all gateways; none if it never was.
fn delay(made: &Made, samples: &[Samples]) -> Option<Micros> {
    let in_force = samples.iter().map(|samples| samples.in_force_at(&made.change));
    let last = in_force.collect::<Option<Vec<_>>>()?.into_iter().max()?;
    Some(last.saturating_sub(made.at))
}

/// The time until all hollow followers had received a change.
fn follower_delay(made: &Made, seen: &[Seen]) -> Option<Micros> {
    let number = made.number?;
    let last = seen.iter().filter_map(|seen| Some(seen.applied.get(&number)?.last)).max()?;
    Some(last.saturating_sub(made.at))
}

fn ms(micros: Micros) -> f64 {
    micros as f64 / 1000.0
}

impl Figures {
    /// The bounds that are broken.
    pub fn broken(&self) -> Vec<String> {
        let case = &self.case;
        let mut broken = Vec::new();
        for (what, value) in [("in force", self.in_force_max), ("at a follower", self.followers_max)] {
            if value > CHANGE_BOUND_MS {
                broken.push(format!(
                    "{case}: a change was {what} after {value:.0} ms, over {CHANGE_BOUND_MS:.0}"
                ));
            }
        }
        if self.incomplete > 0 {
            broken.push(format!("{case}: {} changes were not in force at all gateways", self.incomplete));
        }
        if self.gaps > 0 {
            broken.push(format!("{case}: {} gaps, though nothing was out of the logs", self.gaps));
        }
        broken
    }

    /// The line of the table.
    pub fn row(&self) -> String {
        format!(
            "{:<10} {:>7} | {:>8.0} {:>8.0} {:>9.0} {:>10} | {:>10.0} {:>10.0} {:>9.0} {:>7.1} {:>5}",
            self.case,
            self.changes,
            self.in_force_p50,
            self.in_force_max,
            self.followers_max,
            self.incomplete,
            self.bytes_a_change,
            self.change_bytes_per_s,
            self.metered_bytes_per_s,
            self.cpu_per_mille,
            self.gaps
        )
    }
}

/// The head of the table.
pub(super) fn header() -> String {
    format!(
        "{:<10} {:>7} | {:>8} {:>8} {:>9} {:>10} | {:>10} {:>10} {:>9} {:>7} {:>5}\n",
        "case",
        "changes",
        "p50 ms",
        "max ms",
        "followers",
        "incomplete",
        "B/change",
        "change B/s",
        "meter B/s",
        "cpu ‰",
        "gaps"
    )
}
