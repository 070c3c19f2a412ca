//! What a case measured at each of its sizes, as series.
use crate::capacity::fit::Point;
use crate::capacity::series::Series;
use crate::trial::TrialError;

/// Measurements by size.
pub(super) struct Sizes<T> {
    case: &'static str,
    size_unit: &'static str,
    target: f64,
    /// Sizes and what was measured at them, in order.
    pub(super) measured: Vec<(f64, T)>,
}

impl<T: Send> Sizes<T> {
    /// None yet, of a case, what grows in it, and the size that has to be carried in two years.
    pub(super) fn new(case: &'static str, size_unit: &'static str, target: f64) -> Self {
        Sizes { case, size_unit, target, measured: Vec::new() }
    }

    /// Measures one size after the other.
    pub(super) fn one_by_one(
        mut self,
        sizes: &[f64],
        measure: impl Fn(f64) -> Result<T, TrialError>,
    ) -> Result<Self, TrialError> {
        for &size in sizes {
            self.measured.push((size, measure(size)?));
        }
        Ok(self)
    }

    /// Measures all sizes at the same time, each on a thread of its own.
    pub(super) fn at_once(
        mut self,
        sizes: &[f64],
        measure: impl Fn(f64) -> Result<T, TrialError> + Sync,
    ) -> Result<Self, TrialError> {
        std::thread::scope(|scope| {
            let measure = &measure;
            let started: Vec<_> =
                sizes.iter().map(|&size| (size, scope.spawn(move || measure(size)))).collect();
            for (size, thread) in started {
                let found = thread
                    .join()
                    .map_err(|_| TrialError::Unexpected(format!("{}: size {size} failed", self.case)))?;
                self.measured.push((size, found?));
            }
            Ok(self)
        })
    }

    /// The series of one of the quantities that were measured.
    pub(super) fn series(&self, quantity: &str, unit: &str, value: fn(&T) -> f64) -> Series {
        let points = self.measured.iter().map(|(size, found)| Point { size: *size, value: value(found) });
        Series::new(self.case, quantity, unit, self.size_unit, self.target, points.collect())
    }
}
