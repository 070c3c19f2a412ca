//! The measured series as the repository has them, and values at sizes that were and were not measured.
use super::error::CapacityError;
use super::figure::{Figure, Growth, Mark};
use super::fit::Point;
use super::series::Series;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Sizes this close to a measured one, relatively, count as measured.
const SAME_SIZE: f64 = 0.01;

/// Residual of the line above which a series is not linear.
pub const NOT_LINEAR: f64 = 0.15;

/// What `larchway-lab trial capacity --json FILE` writes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// The seed of the trial.
    pub seed: u64,
    /// All series that were measured.
    pub series: Vec<Series>,
}

impl Slopes {
    /// Reads a file.
    pub fn read(path: &Path) -> Result<Self, CapacityError> {
        let text = std::fs::read_to_string(path).map_err(CapacityError::read(path))?;
        serde_json::from_str(&text).map_err(CapacityError::json(path))
    }

    /// A series by its case and quantity.
    pub fn find(&self, case: &str, quantity: &str) -> Option<&Series> {
        self.series.iter().find(|series| series.case == case && series.quantity == quantity)
    }

    /// Takes over the series of other cases from an older file, in front of its own.
    pub fn keep_other_cases(&mut self, older: Slopes) {
        let played: Vec<String> = self.series.iter().map(|series| series.case.clone()).collect();
        let mut all: Vec<Series> =
            older.series.into_iter().filter(|series| !played.contains(&series.case)).collect();
        all.append(&mut self.series);
        self.series = all;
    }
}

/// The value of a series at a size, with the mark that it deserves.
pub fn at(series: &Series, size: f64) -> Figure {
    let figure = |value, mark| Figure::new(value, &series.unit, mark);
    let same = |point: &&Point| (point.size - size).abs() <= SAME_SIZE * size.abs();
    if let Some(point) = series.points.iter().find(same) {
        return figure(point.value, Mark::Measured);
    }
    let Some((first, last)) = series.points.first().zip(series.points.last()) else {
        return figure(f64::NAN, Mark::Computed);
    };
    let beyond = |from: &Point, factor: f64| {
        let growth = growth(series);
        let value = match growth {
            Growth::Slope(slope) => from.value + slope * (size - from.size),
            Growth::Exponent(exponent) => from.value * factor.powf(exponent),
        };
        figure(value, Mark::Extrapolated { growth, range: (first.size, last.size), factor })
    };
    if size > last.size {
        return beyond(last, size / last.size);
    }
    if size < first.size {
        return beyond(first, size / first.size);
    }
    figure(between(&series.points, size), Mark::Computed)
}

/// How a series goes on beyond its points.
fn growth(series: &Series) -> Growth {
    if series.fit.residual > NOT_LINEAR {
        Growth::Exponent(series.fit.exponent)
    } else {
        Growth::Slope(series.fit.slope)
    }
}

/// Linear between the two points around a size.
fn between(points: &[Point], size: f64) -> f64 {
    let around = points.windows(2).find(|pair| pair[0].size <= size && size <= pair[1].size);
    around.map_or(f64::NAN, |pair| {
        let share = (size - pair[0].size) / (pair[1].size - pair[0].size);
        pair[0].value + share * (pair[1].value - pair[0].value)
    })
}

/// The size at which a series reaches a budget: by its points where it does so within them, by its growth beyond
/// them; none where it does not grow.
pub fn size_at_budget(series: &Series, budget: f64) -> Option<Figure> {
    let (first, last) = series.points.first().zip(series.points.last())?;
    let figure = |size, mark| Figure::new(size, &series.size_unit, mark);
    if first.value >= budget {
        return Some(figure(first.size, Mark::Measured));
    }
    let crossing = series.points.windows(2).find(|pair| pair[0].value < budget && pair[1].value >= budget);
    if let Some(pair) = crossing {
        let share = (budget - pair[0].value) / (pair[1].value - pair[0].value);
        return Some(figure(pair[0].size + share * (pair[1].size - pair[0].size), Mark::Computed));
    }
    let growth = growth(series);
    let size = match growth {
        Growth::Slope(slope) if slope > 0.0 => last.size + (budget - last.value) / slope,
        Growth::Exponent(exponent) if exponent > 0.0 => {
            last.size * (budget / last.value).powf(1.0 / exponent)
        }
        _ => return None,
    };
    let mark = Mark::Extrapolated { growth, range: (first.size, last.size), factor: size / last.size };
    Some(figure(size, mark))
}
