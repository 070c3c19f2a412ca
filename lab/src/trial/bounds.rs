//! The bounds that a trial states: those that do not hold are printed, and fail the trial.

/// The bounds that were broken so far, in the order in which they were checked.
#[derive(Debug, Default)]
pub struct Bounds {
    broken: Vec<String>,
}

impl Bounds {
    /// Notes what is broken unless the bound holds.
    pub fn check(&mut self, holds: bool, broken: impl FnOnce() -> String) {
        if !holds {
            self.broken.push(broken());
        }
    }

    /// The bounds that were broken.
    pub fn into_broken(self) -> Vec<String> {
        self.broken
    }
}
