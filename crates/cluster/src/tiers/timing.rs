//! Spans of the elections and of the numbers.
use std::time::Duration;

/// Spans of an election. All voters and candidates of a group need the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ElectionTiming {
    /// How long a lease holds after the request was sent that a majority granted.
    pub lease_duration: Duration,
    /// How long a voter that granted a request grants no other, after it received it: longer than `lease`, by what
    /// clocks may differ in rate meanwhile.
    pub grant_duration: Duration,
    /// How long a voter does not vote after it started or came into office: `grant`, since it may have forgotten one.
    pub vote_delay: Duration,
    /// Time between two renewals.
    pub renewal_interval: Duration,
    /// Time between two sendings of a campaign's request.
    pub resend_interval: Duration,
    /// How long a campaign waits for a majority.
    pub campaign_timeout: Duration,
    /// Time between the campaigns of two candidates of neighbouring ranks.
    pub rank_delay: Duration,
    /// How long a candidate is passed over that was granted a campaign and never renewed it.
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

/// Ranks that differ in the wait before a campaign.
pub(super) const MAX_RANK: usize = 8;
/// Steps of [`ElectionTiming::rank_delay`] at most from which the wait after failed campaigns is chosen.
pub(super) const MAX_BACKOFF_STEPS: u32 = 8;

/// Time between two ticks at most.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two reports to the representative above; regions report to each other at [`REGION_REPORT_INTERVAL`].
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reports to the other regions.
pub(super) const REGION_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a report after which nothing is known of a site or zone (T6).
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// The same of a region, which reports less often.
pub(super) const REGION_REPORT_TIMEOUT: Duration = Duration::from_secs(8);
/// Time between two sendings of a table that changes.
pub(super) const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// Time between two sendings of a table that does not.
pub(super) const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// How often a change is sent.
pub(super) const CHANGE_REPEATS: u8 = 3;
/// Time without a table after which nothing is known of the groups in it.
pub(super) const TABLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which a representative that sent nothing is looked for again.
pub(super) const CONTACT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two renewals in a site, which has many voters: some renewals may be lost.
pub(super) const SITE_RENEWAL: Duration = Duration::from_millis(300);
