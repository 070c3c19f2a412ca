//! Thresholds that depend on the loss of pings, the size of the tier and mass failures.
use super::timing::{
    ACCEPTED_LOSS_PROBABILITY, ASSUMED_PING_LOSS, LOSS_MARGIN, MARGIN_PER_DOUBLING,
    MASS_FAILURE_ALLOWANCE_INTERVAL, MASS_FAILURE_HOLD, MASS_FAILURE_THRESHOLD, MAX_UNANSWERED_PINGS,
    MIN_UNANSWERED_PINGS, SETTLING_TIME, SMALL_TIER,
};
use super::FailureDetector;
use larchway::{duration_micros, MonotonicTime};
use std::time::Duration;

impl FailureDetector {
    /// How long a member must be suspected to be considered dead: the longest pause, and the time in which its end
    /// becomes known. It grows where datagrams are lost.
    pub(super) fn death_timeout(&self) -> Duration {
        self.longest_pause() + SETTLING_TIME + self.timeout_margin()
    }

    /// How long a death waits beyond what it would in a small tier without loss: for pings that get lost, and for
    /// refutations that take more hops.
    pub(super) fn timeout_margin(&self) -> Duration {
        let for_loss = duration_micros(SETTLING_TIME) as f64 * LOSS_MARGIN * self.ping_loss;
        let for_size = duration_micros(MARGIN_PER_DOUBLING) as f64 * self.size_doublings();
        Duration::from_micros((for_loss + for_size) as u64)
    }

    /// How often a tier of [`SMALL_TIER`] members is to be doubled to have this one's size.
    pub(super) fn size_doublings(&self) -> f64 {
        (self.members.len() as f64 / SMALL_TIER).log2().max(0.0)
    }

    /// Unanswered pings from which on this gateway suspects: as many as are hardly all lost.
    pub(super) fn pings_to_suspect(&self) -> u8 {
        let loss = self.ping_loss.clamp(*ASSUMED_PING_LOSS.start(), *ASSUMED_PING_LOSS.end());
        let pings = (ACCEPTED_LOSS_PROBABILITY.ln() / loss.ln()).round();
        // Where there is no time to ping each more than once, one ping is enough, and more members must suspect.
        let min_pings = if self.is_mass_failure() { 1 } else { MIN_UNANSWERED_PINGS };
        (pings as u8).clamp(min_pings, MAX_UNANSWERED_PINGS)
    }

    /// Whether so many members are silent, or were until now, that there is no time for own pings to each.
    pub(super) fn is_mass_failure(&self) -> bool {
        self.last_handled_at.is_some_and(|now| now < self.mass_failure_until)
    }

    /// Notes a mass failure where so many members are silent.
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
