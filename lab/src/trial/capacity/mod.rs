//! `trial capacity`: what one gateway, the fleet and the source of events cost as each of their sizes grows. Each case
//! measures one or more series at four sizes or more and fits a line; `docs/CAPACITY.md` is worked out from them.
pub mod fit;
pub mod fleet;
pub mod gateway;
pub mod source;

use super::Outcome;
use crate::capacity::slopes::Slopes;
use fit::Fit;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt::Write as _;
use std::path::Path;

/// One point of a series.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// What grows: see [`Series::size_unit`].
    pub size: f64,
    /// What was measured at that size, in [`Series::unit`].
    pub value: f64,
}

/// A quantity measured at several sizes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// The case that measured it.
    pub case: String,
    /// What was measured, unique within the case, such as `cpu_per_request`.
    pub quantity: String,
    /// Its unit, such as `us` or `bytes/s`.
    pub unit: String,
    /// What grows, such as `stores`.
    pub size_unit: String,
    /// The size that has to be carried in two years.
    pub target: f64,
    /// The points, in the order of their sizes; four or more.
    pub points: Vec<Point>,
    /// The line through them.
    pub fit: Fit,
}

impl Series {
    /// A series with its fit.
    pub fn new(
        case: &str,
        quantity: &str,
        unit: &str,
        size_unit: &str,
        target: f64,
        points: Vec<Point>,
    ) -> Self {
        let fit = Fit::of(&points);
        let [case, quantity, unit, size_unit] = [case, quantity, unit, size_unit].map(String::from);
        Series { case, quantity, unit, size_unit, target, points, fit }
    }
}

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
    pub play: fn(u64) -> Result<Played, String>,
}

/// All cases, in the order in which they are played.
pub fn cases() -> Vec<Case> {
    [gateway::cases(), fleet::cases(), source::cases()].concat()
}

/// Plays all cases, or the one that is named.
pub fn play(seed: u64, only: Option<&str>) -> Result<Outcome, String> {
    let chosen: Vec<Case> = cases().into_iter().filter(|c| only.is_none_or(|name| name == c.name)).collect();
    if chosen.is_empty() {
        let names: Vec<&str> = cases().iter().map(|c| c.name).collect();
        return Err(format!("there is no case {:?}; there are: {}", only.unwrap_or(""), names.join(", ")));
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
    outcome.figures = serde_json::to_value(slopes).map_err(|e| e.to_string())?;
    Ok(outcome)
}

/// The figures of some cases, with those that an older file has of the other cases.
pub fn with_other_cases(figures: Value, older: &Path) -> Result<Value, String> {
    let mut slopes: Slopes = serde_json::from_value(figures).map_err(|e| e.to_string())?;
    slopes.keep_other_cases(Slopes::read(older)?);
    serde_json::to_value(slopes).map_err(|e| e.to_string())
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
