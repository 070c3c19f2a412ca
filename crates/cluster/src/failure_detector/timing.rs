//! Times, thresholds and bounds of the failure detector.
use larchway::duration_micros;
use std::time::Duration;

/// The unit of incarnations and of the age of a claimed suspicion.
pub(super) const DECISECOND: Duration = Duration::from_millis(100);
/// Time between two beats of a member.
pub(super) const BEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time between two ticks: short enough to detect pauses of this gateway and to change states in time.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time between two changes of a member's state, unless it has a new incarnation or reports its own pause
/// (M5).
pub const STATE_HOLD: Duration = Duration::from_secs(10);
/// Time between two inputs from which on this gateway itself is taken to have been paused.
pub(super) const OWN_PAUSE_THRESHOLD: Duration = Duration::from_millis(700);
/// Time for which this gateway reports its own pause, and the longest for which it suspects nobody after a pause.
pub(super) const PAUSE_ANNOUNCEMENT: Duration = Duration::from_secs(3);
/// Time without any datagram after which this gateway may be isolated (M6).
pub(super) const ISOLATION_SILENCE: Duration = Duration::from_millis(2500);
/// Pings sent since the last datagram received from which on this gateway may be isolated (M6).
pub(super) const ISOLATION_PINGS: u32 = 4;
/// Time within which this gateway must have received something to consider others dead.
pub(super) const MAX_SILENCE_FOR_DEATH: Duration = Duration::from_secs(1);
/// Time for which gossip still claims a member as unsuspected after a suspicion was refuted, so that all learn of it.
pub(super) const REFUTATION_ANNOUNCEMENT: Duration = Duration::from_secs(2);

/// Time after which a ping counts as unanswered.
pub(super) const PING_TIMEOUT: Duration = Duration::from_millis(200);
/// Lower bound of the unanswered pings from which on a member is suspected; below it, pings are retried at once.
pub(super) const MIN_UNANSWERED_PINGS: u8 = 3;
/// Upper bound of the unanswered pings from which on a member is suspected, whatever the ping loss.
pub(super) const MAX_UNANSWERED_PINGS: u8 = 8;
/// Accepted probability that all pings before a suspicion were lost.
pub(super) const ACCEPTED_LOSS_PROBABILITY: f64 = 0.01;
/// Range to which the measured ping loss is limited when computing the unanswered pings before a suspicion.
pub(super) const ASSUMED_PING_LOSS: std::ops::RangeInclusive<f64> = 0.01..=0.9;
/// Weight of the newest ping in the moving average of ping loss.
pub(super) const PING_LOSS_WEIGHT: f64 = 0.05;

/// Time within which the end of a pause becomes known to all members of a small tier without loss.
pub(super) const SETTLING_TIME: Duration = Duration::from_millis(700);
/// Multiple of [`SETTLING_TIME`] that is added at a ping loss of 1; proportionally less at a lower loss.
pub(super) const LOSS_MARGIN: f64 = 4.0;
/// Size of a small tier, in members: gossip takes more hops in a larger one.
pub(super) const SMALL_TIER: f64 = 64.0;
/// Time added to the death timeout for each doubling over [`SMALL_TIER`].
pub(super) const MARGIN_PER_DOUBLING: Duration = Duration::from_millis(400);
/// Members that must suspect a member before it is considered dead, if that many could (M1).
pub(super) const SUSPECTORS_NEEDED: usize = 2;
/// Members that must suspect a member during a mass failure; also the number of other suspectors from which on this
/// gateway passes on their suspicion in its own claims.
pub(super) const SUSPECTORS_NEEDED_IN_MASS_FAILURE: usize = 3;
/// Greatest number of suspectors stored per member.
pub(super) const MAX_SUSPECTORS: usize = 3;
/// Number of members that must have declared a member dead for this gateway to adopt it.
pub(super) const DECLARATIONS_NEEDED: usize = 2;
/// Datagrams without a later beat that are needed in a mass failure, counted after the longest pause.
pub(super) const CONFIRMATIONS_IN_MASS_FAILURE: usize = 2;
/// Datagrams without a later beat that are needed for each doubling over [`SMALL_TIER`]. By chance all of them may come
/// from members that do not know of a later beat yet; the number of members that this may happen to, and the delay of
/// gossip, grow with the tier.
pub(super) const CONFIRMATIONS_PER_DOUBLING: f64 = 3.0;

/// Number of silent members above which there is a mass failure: there is no time to ping each from here.
pub(super) const MASS_FAILURE_THRESHOLD: usize = 6;
/// Time for which a mass failure is assumed to last after [`MASS_FAILURE_THRESHOLD`] was last exceeded.
pub(super) const MASS_FAILURE_HOLD: Duration = Duration::from_secs(3);
/// Time after the assumed end of a mass failure before another one gets an extra grant of the send budget.
pub(super) const MASS_FAILURE_ALLOWANCE_INTERVAL: Duration = Duration::from_secs(30);

/// Time between two rounds of probes of suspected members and of those with old beats.
pub(super) const STALE_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Greatest number of members with old beats probed in such a round.
pub(super) const STALE_PROBES_PER_ROUND: usize = 4;
/// Age of the latest known beat of a member from which on it is probed in such a round, without ping loss.
pub(super) const STALE_AFTER: Duration = Duration::from_millis(1500);
/// Multiple of [`STALE_AFTER`] that is added at a ping loss of 1; proportionally less at a lower loss.
pub(super) const STALE_LOSS_MARGIN: f64 = 4.0;
/// Average number of members that probe a suspected one in a round: hundreds must not probe it at once.
pub(super) const CONCURRENT_PROBERS: f64 = 6.0;
/// Number of members asked to ping a member that does not answer.
pub(super) const INDIRECT_PROBERS: usize = 2;
/// Greatest number of indirect probes in flight for others; further requests are ignored.
pub(super) const MAX_INDIRECT_PROBES: usize = 16;
/// Time for which an answer to an indirect probe is forwarded.
pub(super) const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_micros(2 * duration_micros(PING_TIMEOUT));
/// Number of members notified of a graceful leave.
pub(super) const LEAVE_FANOUT: usize = 8;
/// Number of random members out of which the one with the latest beat is probed during a mass failure.
pub(super) const PROBE_CHOICES: usize = 4;
/// One in this many periodic probes may go to a member that is not alive, so that partitions heal.
pub(super) const DEAD_PROBE_ODDS: usize = 8;
/// Resolution of random fractions: the number of steps from 0 to 1.
pub(super) const FRACTION_STEPS: usize = 1_024;

/// Greatest number of claims in a datagram.
pub(super) const MAX_CLAIMS: usize = 24;
/// Greatest number of members listed in a report for operators.
pub(super) const MAX_REPORTED: usize = 64;

/// The number of whole units of time in a span.
pub(super) fn units_in(span: Duration, unit: Duration) -> u64 {
    duration_micros(span) / duration_micros(unit)
}
