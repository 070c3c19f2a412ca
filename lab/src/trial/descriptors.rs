//! Descriptors that scenarios which play side by side may open together. One that has to wait for another's is played
//! later, and one that needs more than the process may open is refused: neither is made smaller.
use super::TrialError;
use std::sync::{Condvar, Mutex, MutexGuard, OnceLock, PoisonError};

/// What the rest of the process may have open: its own files, pipes, and connections that are on their way out.
const SPARE: usize = 400;
/// The kernel's table of this process's limits, and the row of descriptors.
const LIMITS_FILE: &str = "/proc/self/limits";
const LIMIT_ROW: &str = "Max open files";

/// Descriptors that can be reserved.
pub struct DescriptorBudget {
    total: usize,
    reserved: Mutex<usize>,
    released: Condvar,
}

impl DescriptorBudget {
    /// A budget of so many.
    pub fn new(total: usize) -> Self {
        DescriptorBudget { total, reserved: Mutex::new(0), released: Condvar::new() }
    }

    /// What this process may open.
    ///
    /// # Errors
    /// The kernel's table cannot be read.
    pub fn of_process() -> Result<&'static DescriptorBudget, TrialError> {
        static BUDGET: OnceLock<DescriptorBudget> = OnceLock::new();
        if let Some(budget) = BUDGET.get() {
            return Ok(budget);
        }
        let limits = std::fs::read_to_string(LIMITS_FILE).map_err(TrialError::io(LIMITS_FILE))?;
        let row = limits.lines().find_map(|line| line.strip_prefix(LIMIT_ROW));
        let soft_limit = row.and_then(|row| row.split_whitespace().next());
        // The kernel says "unlimited" where there is no limit.
        let limit = soft_limit.and_then(|limit| limit.parse().ok()).unwrap_or(usize::MAX);
        Ok(BUDGET.get_or_init(|| DescriptorBudget::new(limit.saturating_sub(SPARE))))
    }

    fn lock(&self) -> MutexGuard<'_, usize> {
        self.reserved.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves so many, as soon as others have released them.
    ///
    /// # Errors
    /// [`TrialError::TooManyDescriptors`]: it is more than there are in all.
    pub fn reserve(&self, needed: usize) -> Result<Reservation<'_>, TrialError> {
        let total = self.total;
        if needed > total {
            return Err(TrialError::TooManyDescriptors { needed, total });
        }
        let is_short = |reserved: &mut usize| *reserved + needed > total;
        let waited = self.released.wait_while(self.lock(), is_short);
        *waited.unwrap_or_else(PoisonError::into_inner) += needed;
        Ok(Reservation { budget: self, count: needed })
    }
}

/// Reserved descriptors; they are released with this.
pub struct Reservation<'a> {
    budget: &'a DescriptorBudget,
    count: usize,
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        *self.budget.lock() -= self.count;
        self.budget.released.notify_all();
    }
}
