//! The budget of the link to clients, which replies from the cache share. A single transfer is limited to the rate of
//! one client; all transfers queue for the link in the order of their replies.
use larchway::MonotonicTime;
use std::time::Duration;

/// Cost of a reply without content, as a share of the object's size.
const NOT_MODIFIED_COST: f64 = 0.05;
const MICROS_PER_SECOND: f64 = 1e6;

/// Rates of the link in bytes per second; 0 stands for no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkRates {
    /// Maximum rate of a single transfer.
    pub per_transfer: f64,
    /// Maximum rate of all transfers together.
    pub total: f64,
}

/// A reply that is to be sent over the link.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Transfer {
    /// The size of the object, in bytes.
    pub(crate) bytes: usize,
    /// Whether the client already holds the same object, so that its content is not sent.
    pub(crate) not_modified: bool,
    /// Maximum wait for the transfers admitted before it.
    pub(crate) max_wait: Duration,
    /// Time until the client's deadline for the complete reply.
    pub(crate) time_left: Duration,
}

impl Transfer {
    fn cost(&self) -> f64 {
        let share = if self.not_modified { NOT_MODIFIED_COST } else { 1.0 };
        self.bytes as f64 * share
    }
}

/// The time until which the link is occupied by admitted transfers.
#[derive(Debug, Default)]
pub(crate) struct LinkBudget {
    rates: LinkRates,
    /// When the link has carried all admitted transfers.
    free_at: MonotonicTime,
}

impl LinkBudget {
    /// Creates a budget for an idle link.
    pub(crate) fn new(rates: LinkRates) -> Self {
        LinkBudget { rates, free_at: MonotonicTime::MIN }
    }

    /// Replaces the rates. Admitted transfers keep their times.
    pub(crate) fn configure(&mut self, rates: LinkRates) {
        self.rates = rates;
    }

    /// Admits a transfer if it neither exceeds its maximum wait nor ends after its client's deadline. Returns whether it
    /// was admitted.
    pub(crate) fn admit(&mut self, now: MonotonicTime, transfer: Transfer) -> bool {
        let cost = transfer.cost();
        let time_alone = transfer_time(cost, self.rates.per_transfer);
        let time_on_link = transfer_time(cost, self.rates.total);
        let link_free_at = self.free_at.max(now) + time_on_link;
        let done_at = link_free_at.max(now + time_alone);
        // With a longer wait the cache would be slower than the stores whose load it should reduce.
        let wait = done_at - now - time_alone.max(time_on_link);
        if wait > transfer.max_wait || done_at > now + transfer.time_left {
            return false;
        }
        self.free_at = link_free_at;
        true
    }
}

/// Time to transfer a number of bytes at a rate in bytes per second; a rate of 0 means no limit.
fn transfer_time(bytes: f64, rate: f64) -> Duration {
    if rate > 0.0 {
        Duration::from_micros((bytes / rate * MICROS_PER_SECOND) as u64)
    } else {
        Duration::ZERO
    }
}

#[cfg(test)]
mod tests;
