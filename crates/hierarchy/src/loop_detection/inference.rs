//! Inference of loops from the results of fills, for protocols that carry no trace.
use larchway::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// A fill that timed out suggests a loop if it took longer than this multiple of the usual duration.
const SLOW_FILL_FACTOR: u32 = 4;
/// Lower bound of the usual duration of a fill in comparisons.
const MIN_FILL_DURATION: Duration = Duration::from_micros(1);

/// Settings of [`LoopInference`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoopInferenceSettings {
    /// The number of recent fills through a parent that are evaluated.
    pub window: usize,
    /// The fraction of these fills, from 0 to 1, that must suggest a loop for the parent to be suspected.
    pub threshold: f64,
    /// The time for which a suspected parent is excluded.
    pub exclusion: Duration,
}

/// The outcome of a fill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FillOutcome {
    /// The source rejected the fill for lack of capacity.
    Rejected,
    /// The source was unreachable, closed the connection early or exceeded the deadline.
    TimedOut,
    /// The fill ended in another way, which does not suggest a loop.
    Other,
}

/// The outcome and duration of a fill.
#[derive(Debug, Clone, Copy)]
pub struct FillObservation {
    /// The outcome of the fill.
    pub outcome: FillOutcome,
    /// The time from the start of the fill to its end.
    pub waited: Duration,
}

impl FillObservation {
    fn suggests_loop(self, usual: Duration) -> bool {
        match self.outcome {
            FillOutcome::Rejected => true,
            FillOutcome::TimedOut => self.waited > SLOW_FILL_FACTOR * usual.max(MIN_FILL_DURATION),
            FillOutcome::Other => false,
        }
    }
}

/// Whether the end of a fill made a parent suspected of being part of a loop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspicionChange {
    /// The parent has become suspected with this fill.
    Begun,
    /// The parent is still suspected, or still not suspected.
    Unchanged,
}

/// Infers from its recent fills whether a parent is part of a loop. In a loop, every fill of an object that no parent
/// has cached waits until the first of them times out, and occupies capacity at each parent on its path. The sign of a
/// loop is therefore a run of fills through one parent that time out or are rejected while fills through other parents
/// succeed. A parent whose upstream is unreachable shows the same sign; in both cases the parent is excluded for a
/// limited time.
#[derive(Debug, Clone)]
pub struct LoopInference {
    /// For each recent fill, whether it suggested a loop.
    recent: VecDeque<bool>,
    settings: LoopInferenceSettings,
    suspected_until: MonotonicTime,
}

impl LoopInference {
    /// Creates an inference without observations, whose parent is not suspected.
    pub fn new(settings: LoopInferenceSettings) -> Self {
        let settings = LoopInferenceSettings { window: settings.window.max(1), ..settings };
        LoopInference { recent: VecDeque::new(), settings, suspected_until: MonotonicTime::MIN }
    }

    /// Records the end of a fill; `usual` is the usual duration of a fill.
    pub fn observe(&mut self, now: MonotonicTime, fill: FillObservation, usual: Duration) -> SuspicionChange {
        self.recent.push_back(fill.suggests_loop(usual));
        if self.recent.len() > self.settings.window {
            self.recent.pop_front();
        }
        if !self.threshold_reached() || now < self.suspected_until {
            return SuspicionChange::Unchanged;
        }
        self.suspected_until = now + self.settings.exclusion;
        self.recent.clear();
        SuspicionChange::Begun
    }

    fn threshold_reached(&self) -> bool {
        let LoopInferenceSettings { window, threshold, .. } = self.settings;
        let suggestive = self.recent.iter().filter(|suggests_loop| **suggests_loop).count();
        self.recent.len() == window && suggestive as f64 >= threshold * window as f64
    }

    /// Whether the parent is suspected now and therefore to be excluded.
    pub fn is_suspected(&self, now: MonotonicTime) -> bool {
        now < self.suspected_until
    }
}
