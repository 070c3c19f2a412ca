//! Durations and limits of the elections, reports and tables.
use std::time::Duration;

/// Durations of an election. They must be the same at all voters and candidates of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ElectionTiming {
    /// Duration of a lease, from the sending of the request that a majority granted.
    pub lease_duration: Duration,
    /// Time after receiving a request that it grants for which a voter grants no other candidate; longer than
    /// `lease_duration`, since the clocks of gateways may run at different rates.
    pub grant_duration: Duration,
    /// Time for which a new voter does not vote: as long as a grant, since the same voter before a restart, or its
    /// predecessor, may have given one.
    pub vote_delay: Duration,
    /// Time between two renewals.
    pub renewal_interval: Duration,
    /// Time between two sendings of the request of a campaign.
    pub resend_interval: Duration,
    /// Time after which a campaign without a majority is given up.
    pub campaign_timeout: Duration,
    /// Delay before a campaign for each rank of the candidate.
    pub rank_delay: Duration,
    /// Time after an expired grant for which a voter refuses a candidate that never renewed the granted lease.
    pub candidate_cooldown: Duration,
}

impl Default for ElectionTiming {
    fn default() -> Self {
        let grant_duration = Duration::from_millis(1300);
        ElectionTiming {
            lease_duration: Duration::from_millis(1200),
            grant_duration,
            vote_delay: grant_duration,
            renewal_interval: Duration::from_millis(200),
            resend_interval: Duration::from_millis(100),
            campaign_timeout: Duration::from_millis(500),
            rank_delay: Duration::from_millis(150),
            candidate_cooldown: Duration::from_secs(1),
        }
    }
}

/// Rank above which the delay before a campaign does not grow further.
pub(super) const MAX_RANK: usize = 8;
/// Greatest range of the random backoff after failed campaigns, in steps of [`ElectionTiming::rank_delay`].
pub(super) const MAX_BACKOFF_STEPS: u32 = 8;

/// Longest time between two ticks.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two reports to the representative above; regions report to each other at [`REGION_REPORT_INTERVAL`].
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reports to the other regions.
pub(super) const REGION_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a report after which a site or zone counts as unknown (T6).
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a report after which a region counts as unknown; longer, since regions report less often.
pub(super) const REGION_REPORT_TIMEOUT: Duration = Duration::from_secs(8);
/// Shortest time between two sendings of a table that changes.
pub(super) const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// Time between two sendings of an unchanged table.
pub(super) const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Number of sendings of a changed table, [`CHANGE_INTERVAL`] apart; then [`REFRESH_INTERVAL`] applies.
pub(super) const CHANGE_REPEATS: u8 = 3;
/// Time without a new table after which the groups in it count as unknown.
pub(super) const TABLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time without a message of a representative, or a redirect to it, after which it is no longer used as a contact.
pub(super) const CONTACT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two renewals in a site, which has many voters; still short enough that some renewals may be lost.
pub(super) const SITE_RENEWAL: Duration = Duration::from_millis(300);
