//! Suspicions, the evidence for and against them, and the resulting changes of members' states.
use super::member::{Member, MemberState};
use super::timing::{
    CONFIRMATIONS_IN_MASS_FAILURE, CONFIRMATIONS_PER_DOUBLING, DECISECOND, DECLARATIONS_NEEDED,
    MAX_SILENCE_FOR_DEATH, PING_LOSS_WEIGHT, PING_TIMEOUT, STATE_HOLD, SUSPECTORS_NEEDED,
    SUSPECTORS_NEEDED_IN_MASS_FAILURE,
};
use super::{FailureDetector, Output};
use crate::wire::{is_later_incarnation, ClaimedState, Heartbeat, MemberClaim};
use larchway::{duration_micros, MonotonicTime};
use std::time::Duration;

/// Number of unanswered pings from which on a member is probed like a suspected one.
const PROBED_UNANSWERED_PINGS: u8 = 2;

/// A heartbeat of a member, and the member that sent it here.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedHeartbeat {
    /// The member whose heartbeat it is.
    pub(super) member: u16,
    /// The member whose datagram contained it.
    pub(super) reporter: u16,
    pub(super) heartbeat: Heartbeat,
    /// Whether the member reports that it was itself paused.
    pub(super) paused: bool,
}

/// The conditions under which a suspected member is considered dead at present.
struct DeathCriteria {
    /// Number of members that could suspect it: live ones that are not suspected themselves, including this gateway.
    possible_suspectors: usize,
    /// Number of members that must suspect it (M1).
    needed_suspectors: usize,
    /// Number of datagrams without a later beat that are needed before this gateway's own pings suffice (M7).
    needed_confirmations: usize,
    /// Whether there is a mass failure, which leaves no time to ping each member from here.
    mass_failure: bool,
}

impl FailureDetector {
    /// Live members that are suspected by this gateway or others, or that this gateway is about to suspect.
    pub(super) fn suspects(&self) -> Vec<u16> {
        let min_pings = self.pings_to_suspect().min(PROBED_UNANSWERED_PINGS);
        let is_suspect = |number: &u16| {
            let member = self.member(*number);
            let suspected = member.suspected_since.is_some() || member.unanswered_pings >= min_pings;
            member.is_alive() && suspected
        };
        self.others().filter(is_suspect).collect()
    }

    /// Whether this gateway suspects a member by its own unanswered pings.
    pub(super) fn suspects_by_own_pings(&self, member: &Member, now: MonotonicTime) -> bool {
        // In a small tier a suspected member is pinged again as soon as a ping has timed out. Only timed-out pings are
        // counted: if a ping in flight withdrew the suspicion, two survivors would hardly ever suspect a dead member
        // at the same time.
        let timed_out_pings =
            member.unanswered_pings.saturating_sub(u8::from(!member.last_ping_timed_out(now)));
        timed_out_pings >= self.pings_to_suspect()
            && member.last_alive_at() < member.first_unanswered_ping_at
            && self.last_received_at > member.first_unanswered_ping_at
            && !self.isolated
            && now >= self.suspect_nobody_until
    }

    /// Marks suspected members that meet the criteria as dead, and dead members with recent beats as alive.
    pub(super) fn update_states(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        let suspects = self.suspects();
        let criteria = self.death_criteria(suspects.len());
        for number in suspects {
            self.suspect_by_own_pings(now, number);
            if self.meets_death_criteria(now, number, &criteria) {
                self.change_state(now, number, |member| member.dead = true, outputs);
            }
        }
        self.revive_members_with_recent_beats(now, outputs);
    }

    fn death_criteria(&self, suspects: usize) -> DeathCriteria {
        let mass_failure = self.is_mass_failure();
        // M1: two members must suspect it, if there are two that could.
        let possible_suspectors = 1 + self.alive_others().count().saturating_sub(suspects);
        let suspectors = if mass_failure { SUSPECTORS_NEEDED_IN_MASS_FAILURE } else { SUSPECTORS_NEEDED };
        let confirmations = (CONFIRMATIONS_PER_DOUBLING * self.size_doublings()).ceil() as usize;
        DeathCriteria {
            possible_suspectors,
            needed_suspectors: possible_suspectors.min(suspectors),
            // In a mass failure there is no time to collect that many confirmations for each member.
            needed_confirmations: if mass_failure { 0 } else { confirmations },
            mass_failure,
        }
    }

    fn suspect_by_own_pings(&mut self, now: MonotonicTime, number: u16) {
        if self.suspects_by_own_pings(self.member(number), now) {
            let member = self.member_mut(number);
            member.suspect_since(member.first_unanswered_ping_at);
        }
    }

    fn meets_death_criteria(&self, now: MonotonicTime, number: u16, criteria: &DeathCriteria) -> bool {
        let member = self.member(number);
        let Some(since) = member.suspected_since else { return false };
        // M5: a state that changed less than `STATE_HOLD` ago is held. M2, M6: a gateway that was paused or receives
        // nothing cannot tell that others are dead.
        if member.changed_within(now, STATE_HOLD) || !self.may_declare_death(now) {
            return false;
        }
        // M7: each gateway pings the member itself, once more after the longest pause, and in a large tier some other
        // members must confirm that they know of no later beat. In a mass failure, or once enough members have declared
        // the member dead, the evidence of the others decides.
        let suspected_by_own_pings = self.suspects_by_own_pings(member, now);
        let pinged_after_pause = member.last_ping_at >= since + self.longest_pause() + self.timeout_margin()
            && member.last_ping_timed_out(now);
        let by_own_pings = suspected_by_own_pings
            && pinged_after_pause
            && member.confirmations >= criteria.needed_confirmations;
        let confirmations = CONFIRMATIONS_IN_MASS_FAILURE.min(criteria.possible_suspectors - 1);
        let by_others = criteria.mass_failure
            && now >= since + self.death_timeout()
            && member.confirmations >= confirmations;
        let suspectors = usize::from(suspected_by_own_pings) + member.suspected_by.len();
        (by_own_pings || by_others) && suspectors >= criteria.needed_suspectors
            || member.declared_dead_by.len() >= DECLARATIONS_NEEDED
    }

    /// Whether this gateway has received something recently enough, and has run for long enough since a pause of its
    /// own, to consider others dead.
    fn may_declare_death(&self, now: MonotonicTime) -> bool {
        !self.isolated
            && now >= self.suspect_nobody_until
            && now < self.last_received_at + MAX_SILENCE_FOR_DEATH
    }

    /// Marks dead members as alive whose beats continued while their state was held (M5).
    fn revive_members_with_recent_beats(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        let recent = Duration::from_micros(duration_micros(self.death_timeout()) / 2);
        let should_revive = |number: &u16| {
            let member = self.member(*number);
            let is_state_held = member.state_changed_at.is_none() || member.changed_within(now, STATE_HOLD);
            let has_recent_beat = now.saturating_since(member.last_alive_at()) < recent;
            member.state() == MemberState::Dead && !is_state_held && has_recent_beat
        };
        let all = 0..self.members.len() as u16;
        for number in all.filter(should_revive).collect::<Vec<_>>() {
            self.change_state(now, number, |member| member.dead = false, outputs);
        }
    }

    fn change_state(
        &mut self,
        now: MonotonicTime,
        number: u16,
        change: impl FnOnce(&mut Member),
        outputs: &mut Vec<Output>,
    ) {
        let member = self.member_mut(number);
        let before = member.state();
        change(member);
        let after = member.state();
        if before != after {
            member.state_changed_at = Some(now);
            member.clear_suspicion();
            self.state_changes += 1;
            outputs.push(Output::StateChanged { member: number, state: after });
        }
    }

    /// Moves this gateway to a later incarnation if a member claims a later one, which happens if the clock was set
    /// back before this start, or claims that the current one has left though it has not.
    pub(super) fn refute_claim_about_self(&mut self, claimed: Heartbeat) {
        let claims_wrong_leave = claimed.incarnation == self.incarnation && claimed.left && !self.leaving;
        if is_later_incarnation(claimed.incarnation, self.incarnation) || claims_wrong_leave {
            self.incarnation = claimed.incarnation.wrapping_add(1).max(1);
        }
    }

    /// Applies a heartbeat of a member: it may refute a suspicion or a death, or report that the member has left.
    pub(super) fn apply_heartbeat(
        &mut self,
        now: MonotonicTime,
        reported: ReportedHeartbeat,
        outputs: &mut Vec<Output>,
    ) {
        let (number, heartbeat) = (reported.member, reported.heartbeat);
        let member = self.member(number);
        let is_new_incarnation = is_later_incarnation(heartbeat.incarnation, member.incarnation);
        let is_current = heartbeat.incarnation == member.incarnation;
        if heartbeat.incarnation == 0 || !is_new_incarnation && !is_current {
            return;
        }
        let is_direct = reported.reporter == number;
        if is_direct {
            self.count_answer(number);
        }
        let member = self.member_mut(number);
        if is_new_incarnation {
            member.begin_incarnation(now, heartbeat);
        } else {
            member.advance(now, heartbeat);
        }
        self.count_lost_ping(number);
        self.refute_suspicion(now, number, is_new_incarnation, is_direct);
        // M3, M5: a new incarnation, or a member that reports its own pause, refutes a death at once.
        if is_new_incarnation || reported.paused {
            let revive = |member: &mut Member| {
                member.dead = false;
                member.left = member.left && !is_new_incarnation;
            };
            self.change_state(now, number, revive, outputs);
        }
        if is_new_incarnation {
            // The time until which a state is held applies to the previous incarnation only.
            self.member_mut(number).state_changed_at = None;
        }
        if !is_direct {
            self.count_confirmation(now, number);
        }
        // A heartbeat without the leave flag does not bring back a member that has left: its last answers may still be
        // in flight.
        let member = self.member(number);
        if heartbeat.left && heartbeat.incarnation == member.incarnation && !member.left {
            self.change_state(now, number, |member| member.left = true, outputs);
        }
    }

    /// Records an answer of a member: if more than one ping was unanswered, the earlier ones count as a loss.
    fn count_answer(&mut self, number: u16) {
        let unanswered = self.member(number).unanswered_pings;
        if unanswered > 0 {
            let lost = f64::from(unanswered - 1).min(1.0);
            self.ping_loss += PING_LOSS_WEIGHT * (lost - self.ping_loss);
            self.member_mut(number).forget_unanswered_pings();
        }
    }

    /// M4: a beat after the first unanswered ping shows that the ping, or its answer, was lost. So does a beat of the
    /// same moment: after a pause of this gateway, queued datagrams get the same time as the pings sent then. Without
    /// that case such pings would never count as lost nor as unanswered, and a dead member would stay alive.
    fn count_lost_ping(&mut self, number: u16) {
        let member = self.member(number);
        if member.unanswered_pings > 0 && member.last_alive_at() >= member.first_unanswered_ping_at {
            self.ping_loss += PING_LOSS_WEIGHT * (1.0 - self.ping_loss);
            self.member_mut(number).forget_unanswered_pings();
        }
    }

    /// M4: clears the suspicion of a member on a beat after it began, an answer of the member itself or a new
    /// incarnation.
    fn refute_suspicion(
        &mut self,
        now: MonotonicTime,
        number: u16,
        is_new_incarnation: bool,
        is_direct: bool,
    ) {
        let member = self.member_mut(number);
        let last_alive_at = member.last_alive_at();
        let refuted = member.suspected_since.is_some_and(|since| is_direct || last_alive_at > since);
        if is_new_incarnation || refuted {
            member.refute_suspicion(now);
        }
    }

    /// Counts a datagram of another member as a confirmation if the member has been suspected for longer than the
    /// longest pause.
    fn count_confirmation(&mut self, now: MonotonicTime, number: u16) {
        let pause_with_margin = self.longest_pause() + PING_TIMEOUT;
        let member = self.member_mut(number);
        if member.suspected_since.is_some_and(|since| now.saturating_since(since) >= pause_with_margin) {
            member.confirmations = member.confirmations.saturating_add(1);
        }
    }

    /// Applies a claim of `reporter` about whether it suspects a member.
    pub(super) fn apply_suspicion(&mut self, now: MonotonicTime, reporter: u16, claim: &MemberClaim) {
        let pause_with_margin = self.longest_pause() + PING_TIMEOUT;
        let Some(member) = self.members.get_mut(usize::from(claim.member)) else { return };
        if !member.is_alive() || claim.heartbeat.incarnation != member.incarnation {
            return;
        }
        match claim.state {
            ClaimedState::Unsuspected => member.remove_suspector(reporter),
            ClaimedState::SuspectedFor(age) => {
                let since = now.saturating_sub(u32::from(age) * DECISECOND);
                // M4: a later beat that is known here refutes the claim.
                if member.last_alive_at() <= since {
                    member.suspect_since(since);
                    member.add_suspector(reporter);
                }
            }
            ClaimedState::Dead => {
                // M4: accepted only if no beat within the longest pause is known here.
                if now.saturating_since(member.last_alive_at()) >= pause_with_margin {
                    member.suspected_since = member.suspected_since.or(Some(now));
                    member.add_death_declaration(reporter);
                }
            }
        }
    }
}
