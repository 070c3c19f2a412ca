//! Measured series: the values of one quantity at several sizes, with the line that fits them. The trial `capacity`
//! writes them, and the capacity page reads them.
use super::fit::{Fit, Point};
use serde::{Deserialize, Serialize};

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
