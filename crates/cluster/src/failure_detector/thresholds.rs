//! Thresholds that depend on ping loss, the size of the tier and mass failures.
use super::timing::{
    ACCEPTED_LOSS_PROBABILITY, ASSUMED_PING_LOSS, LOSS_MARGIN, MARGIN_PER_DOUBLING,
    MASS_FAILURE_ALLOWANCE_INTERVAL, MASS_FAILURE_HOLD, MASS_FAILURE_THRESHOLD, MAX_UNANSWERED_PINGS,
    MIN_UNANSWERED_PINGS, SETTLING_TIME, SMALL_TIER,
};
use super::FailureDetector;
use larchway::{duration_micros, MonotonicTime};
use std::time::Duration;

impl FailureDetector {
    /// How long a member must be suspected to be considered dead: the longest pause, plus the time within which other
    /// members learn that a pause has ended. It grows with ping loss and the size of the tier.
    pub(super) fn death_timeout(&self) -> Duration {
        self.longest_pause() + SETTLING_TIME + self.timeout_margin()
    }

    /// Time added before a member is considered dead, compared with a small tier without loss: pings get lost, and
    /// refutations take more hops.
    pub(super) fn timeout_margin(&self) -> Duration {
        let for_loss = duration_micros(SETTLING_TIME) as f64 * LOSS_MARGIN * self.ping_loss;
        let for_size = duration_micros(MARGIN_PER_DOUBLING) as f64 * self.size_doublings();
        Duration::from_micros((for_loss + for_size) as u64)
    }

    /// How often the size [`SMALL_TIER`] must be doubled to reach the size of this tier; 0 for smaller tiers.
    pub(super) fn size_doublings(&self) -> f64 {
        (self.members.len() as f64 / SMALL_TIER).log2().max(0.0)
    }

    /// Number of unanswered pings from which on this gateway suspects a member: so many that they are all lost only
    /// with [`ACCEPTED_LOSS_PROBABILITY`].
    pub(super) fn pings_to_suspect(&self) -> u8 {
        let loss = self.ping_loss.clamp(*ASSUMED_PING_LOSS.start(), *ASSUMED_PING_LOSS.end());
        let pings = (ACCEPTED_LOSS_PROBABILITY.ln() / loss.ln()).round();
        // In a mass failure there is no time to ping each member more than once: one ping suffices, and more members
        // must suspect instead.
        let min_pings = if self.is_mass_failure() { 1 } else { MIN_UNANSWERED_PINGS };
        (pings as u8).clamp(min_pings, MAX_UNANSWERED_PINGS)
    }

    /// Whether so many members are silent, or were within [`MASS_FAILURE_HOLD`], that there is no time to ping each
    /// from here.
    pub(super) fn is_mass_failure(&self) -> bool {
        self.last_handled_at.is_some_and(|now| now < self.mass_failure_until)
    }

    /// Records a mass failure if more than [`MASS_FAILURE_THRESHOLD`] live members are silent.
    pub(super) fn update_mass_failure(&mut self, now: MonotonicTime) {
        let silent = self.members.iter().filter(|member| member.is_alive() && member.is_silent());
        if silent.count() <= MASS_FAILURE_THRESHOLD {
            return;
        }
        if now >= self.mass_failure_until + MASS_FAILURE_ALLOWANCE_INTERVAL {
            self.send_budget.grant_for_mass_failure();
        }
        self.mass_failure_until = now + MASS_FAILURE_HOLD;
    }
}
