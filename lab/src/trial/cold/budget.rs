//! What a store that warms up is allowed, and the window in which most came to it for that.
use super::capacity;
use larchway::Micros;

/// A store that starts can do this share of what it can do warm; as the settings have it.
pub(super) const COLD_START_SHARE: f64 = 0.2;
/// ms in which it warms up; as the settings have it.
pub(super) const WARM_UP_MS: f64 = 60_000.0;
/// It is pushed over by this multiple of what it can do, within so many ms.
const OVERLOAD: f64 = 2.0;
const WINDOW_MS: u64 = 1000;
const WINDOW: Micros = WINDOW_MS * 1000;

/// A window of time: the requests that came in it, and the budget N at its end.
#[derive(Debug, Clone, Copy)]
pub struct Window {
    /// Requests that came.
    pub requests: usize,
    /// Requests that are allowed.
    pub budget: f64,
}

impl Window {
    /// What is allowed with what is put down to chance: N + 2 x root of N + 2.
    pub fn bound(&self) -> f64 {
        self.budget + 2.0 * self.budget.sqrt() + 2.0
    }

    /// Requests beyond the budget, in standard deviations.
    fn excess(&self) -> f64 {
        (self.requests as f64 - self.budget) / self.budget.sqrt()
    }
}

/// The requests that a window ending at a time allows a store that started at another.
fn budget(time: Micros, started_at: Micros) -> f64 {
    let warmed = time.saturating_sub(started_at) as f64 / 1000.0 / WARM_UP_MS;
    let share = (COLD_START_SHARE + (1.0 - COLD_START_SHARE) * warmed).min(1.0);
    OVERLOAD * capacity() * WINDOW_MS as f64 / 1000.0 * share
}

/// The window, of those that end with a request, in which most came beyond the budget. `times` are those of all
/// requests, in ascending order.
pub(super) fn worst_window(times: &[Micros], started_at: Micros) -> Window {
    let mut worst = Window { requests: 0, budget: budget(started_at, started_at) };
    let (mut first, mut most) = (0, f64::MIN);
    for (last, time) in times.iter().enumerate() {
        while times[first] + WINDOW < *time {
            first += 1;
        }
        let window = Window { requests: last + 1 - first, budget: budget(*time, started_at) };
        if window.excess() > most {
            most = window.excess();
            worst = window;
        }
    }
    worst
}
