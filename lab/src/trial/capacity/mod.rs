//! `trial capacity`: what one gateway, the fleet and the source of events cost as each of their sizes grows. Each case
//! measures one or more series at four sizes or more and fits a line; `docs/CAPACITY.md` is worked out from them.
pub mod fleet;
pub mod gateway;
pub mod source;

use super::Outcome;
use crate::capacity::fit::Fit;
use crate::capacity::series::Series;
use crate::capacity::slopes::Slopes;
use crate::trial::TrialError;
use serde_json::Value;
use std::fmt::Write as _;
use std::path::Path;

/// What a case found.
#[derive(Debug, Default)]
pub struct Played {
    /// What it measured.
    pub series: Vec<Series>,
    /// The bounds that were broken.
    pub broken: Vec<String>,
}

/// A case of the trial.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    /// Its name, for `--case`.
    pub name: &'static str,
    /// Plays it with a seed.
    pub play: fn(u64) -> Result<Played, TrialError>,
}

/// All cases, in the order in which they are played.
pub fn cases() -> Vec<Case> {
    [gateway::cases(), fleet::cases(), source::cases()].concat()
}

/// Plays all cases, or the one that is named.
pub fn play(seed: u64, only: Option<&str>) -> Result<Outcome, TrialError> {
    let chosen: Vec<Case> = cases().into_iter().filter(|c| only.is_none_or(|name| name == c.name)).collect();
    if chosen.is_empty() {
        let names: Vec<&str> = cases().iter().map(|c| c.name).collect();
        return Err(TrialError::UnknownCase { name: only.unwrap_or("").into(), known: names.join(", ") });
    }
    let mut outcome = Outcome { table: String::new(), figures: Value::Null, broken: Vec::new() };
    let mut all = Vec::new();
    for case in chosen {
        let played = (case.play)(seed)?;
        outcome.broken.extend(played.broken.iter().map(|why| format!("{}: {why}", case.name)));
        for series in played.series {
            write_series(&mut outcome.table, &series);
            all.push(series);
        }
    }
    let slopes = Slopes { seed, series: all };
    outcome.figures = serde_json::to_value(slopes)?;
    Ok(outcome)
}

/// The figures of some cases, with those that an older file has of the other cases.
pub fn with_other_cases(figures: Value, older: &Path) -> Result<Value, TrialError> {
    let mut slopes: Slopes = serde_json::from_value(figures)?;
    slopes.keep_other_cases(Slopes::read(older)?);
    Ok(serde_json::to_value(slopes)?)
}

fn write_series(table: &mut String, series: &Series) {
    let _ = writeln!(table, "{} {} ({} by {})", series.case, series.quantity, series.unit, series.size_unit);
    for point in &series.points {
        let _ = writeln!(table, "    {:>10} {:>14.3}", point.size, point.value);
    }
    let Fit { intercept, slope, residual, exponent } = series.fit;
    let _ = writeln!(
        table,
        "    fit {intercept:.4} + {slope:.6} x, residual {residual:.3}, exponent {exponent:.2}"
    );
}
