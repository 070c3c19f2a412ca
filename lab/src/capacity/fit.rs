//! Least-squares fits of measured series.
use serde::{Deserialize, Serialize};

/// One point of a series.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// What grows: see [`super::series::Series::size_unit`].
    pub size: f64,
    /// What was measured at that size, in [`super::series::Series::unit`].
    pub value: f64,
}

/// A line through the points of a series, and how well it describes them.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The value at size 0.
    pub intercept: f64,
    /// The growth of the value for each unit of size.
    pub slope: f64,
    /// Root mean square of the line's relative errors; above 0.15 the series is not linear.
    pub residual: f64,
    /// The slope of the logarithms: 0 is flat, 1 linear, 2 quadratic.
    pub exponent: f64,
}

impl Fit {
    /// The least-squares line, each point weighted by the inverse square of its value, so that small sizes count as
    /// much as large ones.
    pub fn of(points: &[Point]) -> Self {
        let floor = points.iter().map(|p| p.value.abs()).fold(0.0, f64::max) * 1e-6;
        let weighted: Vec<(f64, f64, f64)> = points
            .iter()
            .map(|p| (p.size, p.value, 1.0 / p.value.abs().max(floor).max(1e-12).powi(2)))
            .collect();
        let (intercept, slope) = line(&weighted);
        let error = |&(x, y, weight): &(f64, f64, f64)| (intercept + slope * x - y).powi(2) * weight;
        let residual = (weighted.iter().map(error).sum::<f64>() / points.len().max(1) as f64).sqrt();
        let logs: Vec<(f64, f64, f64)> = points
            .iter()
            .filter(|p| p.size > 0.0 && p.value > 0.0)
            .map(|p| (p.size.ln(), p.value.ln(), 1.0))
            .collect();
        Fit { intercept, slope, residual, exponent: line(&logs).1 }
    }

    /// The value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Intercept and slope of the weighted least-squares line through `(x, y, weight)`.
fn line(points: &[(f64, f64, f64)]) -> (f64, f64) {
    let sum = |term: fn(&(f64, f64, f64)) -> f64| points.iter().map(term).sum::<f64>();
    let weight = sum(|p| p.2);
    if weight == 0.0 {
        return (0.0, 0.0);
    }
    let (mean_x, mean_y) = (sum(|p| p.0 * p.2) / weight, sum(|p| p.1 * p.2) / weight);
    let covariance: f64 = points.iter().map(|p| p.2 * (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| p.2 * (p.0 - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (mean_y - slope * mean_x, slope)
}
