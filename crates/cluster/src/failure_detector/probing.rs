//! Pings: the choice of the next member to ping, retries, and indirect probes through other members.
use super::timing::{
    CONCURRENT_PROBERS, DEAD_PROBE_ODDS, FRACTION_STEPS, INDIRECT_PROBERS, INDIRECT_PROBE_TIMEOUT,
    MAX_CLAIMS, MAX_INDIRECT_PROBES, MIN_UNANSWERED_PINGS, PROBE_CHOICES, STALE_AFTER, STALE_LOSS_MARGIN,
    STALE_PROBES_PER_ROUND, STALE_PROBE_INTERVAL, SUSPECTORS_NEEDED_IN_MASS_FAILURE,
};
use super::{FailureDetector, Output};
use crate::wire::MessageKind;
use larchway::{duration_micros, MonotonicTime};
use std::time::Duration;

/// A probe of a member at the request of another member.
#[derive(Debug, Clone, Copy)]
pub(super) struct IndirectProbe {
    target: u16,
    requester: u16,
    expires_at: MonotonicTime,
}

impl FailureDetector {
    /// Sends the periodic ping if it is due.
    pub(super) fn probe_next(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        if now < self.next_probe_at {
            return;
        }
        let period = self.settings.period();
        // The jitter keeps gateways that started together from pinging at the same moments.
        let jitter = (period / 4) * self.random.below(FRACTION_STEPS) as u32 / FRACTION_STEPS as u32;
        self.next_probe_at = now + period * 7 / 8 + jitter;
        if let Some(target) = self.next_probe_target() {
            self.send_ping(now, target, outputs);
        }
    }

    /// While some members are suspected, others may have failed too: probes those with the oldest known beats, and the
    /// suspected ones.
    pub(super) fn probe_suspects_and_stale(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        let suspects = self.suspects();
        if suspects.is_empty() || now < self.next_stale_probe_at {
            return;
        }
        self.next_stale_probe_at = now + STALE_PROBE_INTERVAL;
        self.probe_stale_members(now, outputs);
        self.probe_suspects(now, &suspects, outputs);
    }

    /// Probes the members with the oldest known beats out of a random choice.
    fn probe_stale_members(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        let candidates = self.random_alive_others(MAX_CLAIMS);
        let loss_margin = duration_micros(STALE_AFTER) as f64 * STALE_LOSS_MARGIN * self.ping_loss;
        let stale_after = STALE_AFTER + Duration::from_micros(loss_margin as u64);
        let is_stale = |number: &u16| {
            let member = self.member(*number);
            !member.is_silent() && member.last_alive_at() + stale_after <= now
        };
        let mut stale: Vec<u16> = candidates.into_iter().filter(is_stale).collect();
        stale.sort_unstable_by_key(|number| self.member(*number).last_alive_at());
        for target in stale.into_iter().take(STALE_PROBES_PER_ROUND) {
            if self.send_budget.allows(now, 1) {
                self.send_ping(now, target, outputs);
            }
        }
    }

    /// Probes suspected members, beginning with a random one, until the send budget is used up.
    fn probe_suspects(&mut self, now: MonotonicTime, suspects: &[u16], outputs: &mut Vec<Output>) {
        let others = self.alive_others().count().max(1);
        let share_of_probes = (CONCURRENT_PROBERS / others as f64 * FRACTION_STEPS as f64) as usize;
        let first = self.random.below(suspects.len());
        for offset in 0..suspects.len() {
            let target = suspects[(first + offset) % suspects.len()];
            let is_chosen = self.random.below(FRACTION_STEPS) < share_of_probes;
            if !self.should_probe_suspect(now, target, is_chosen) {
                continue;
            }
            if !self.send_budget.allows(now, 1) {
                return;
            }
            self.send_ping(now, target, outputs);
        }
    }

    /// Whether to probe a suspected member now. `is_chosen`: whether this gateway was drawn as one of the few that
    /// probe it in this round.
    fn should_probe_suspect(&self, now: MonotonicTime, target: u16, is_chosen: bool) -> bool {
        let member = self.member(target);
        let mass_failure = self.is_mass_failure();
        let enough_suspectors =
            mass_failure && member.suspected_by.len() >= SUSPECTORS_NEEDED_IN_MASS_FAILURE;
        if enough_suspectors || !member.last_ping_timed_out(now) {
            return false;
        }
        let pause = self.longest_pause();
        let pause_with_margin = pause + self.timeout_margin();
        let suspected_for =
            member.suspected_since.map_or(Duration::ZERO, |since| now.saturating_since(since));
        let needs_more_pings = member.unanswered_pings < self.pings_to_suspect();
        // Once this gateway has begun to ping a member, it goes on until it suspects the member; after that other
        // gateways probe it. M7: it is pinged once more when the longest pause is over.
        let has_unanswered_pings = member.unanswered_pings > 0 && needs_more_pings;
        let is_suspected_for_long = suspected_for >= pause / 4 && needs_more_pings;
        let is_unpinged_after_pause = suspected_for >= pause_with_margin
            && member.last_ping_at + suspected_for < now + pause_with_margin;
        is_chosen
            || has_unanswered_pings
            || !mass_failure && (is_suspected_for_long || is_unpinged_after_pause)
    }

    /// Retries pings that timed out; before the last retry, other members are asked to ping the member too.
    pub(super) fn retry_unanswered_pings(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        // In a mass failure there is no time for retries: other gateways ping the same members.
        if self.is_mass_failure() {
            return;
        }
        let needs_retry = |number: &u16| {
            let member = self.member(*number);
            let retries_left = (1..MIN_UNANSWERED_PINGS).contains(&member.unanswered_pings);
            retries_left && member.last_ping_timed_out(now) && member.is_alive()
        };
        let all = 0..self.members.len() as u16;
        for target in all.filter(needs_retry).collect::<Vec<_>>() {
            if !self.send_budget.allows(now, 2) {
                return;
            }
            if self.member(target).unanswered_pings == MIN_UNANSWERED_PINGS - 1 {
                self.request_indirect_probes(now, target, outputs);
            }
            self.send_ping(now, target, outputs);
        }
    }

    fn request_indirect_probes(&mut self, now: MonotonicTime, target: u16, outputs: &mut Vec<Output>) {
        for prober in self.random_alive_others(INDIRECT_PROBERS) {
            if prober != target {
                let body = target.to_be_bytes().to_vec();
                self.send(now, prober, MessageKind::IndirectPing, body, outputs);
            }
        }
    }

    /// Pings a member at the request of another; ignores a malformed request, one beyond [`MAX_INDIRECT_PROBES`] and
    /// one for which the send budget does not suffice.
    pub(super) fn start_indirect_probe(
        &mut self,
        now: MonotonicTime,
        requester: u16,
        body: &[u8],
        outputs: &mut Vec<Output>,
    ) {
        let Ok(number) = <[u8; 2]>::try_from(body) else { return };
        let target = u16::from_be_bytes(number);
        let has_capacity = self.indirect_probes.len() < MAX_INDIRECT_PROBES;
        if has_capacity && self.is_other(target) && self.send_budget.allows(now, 1) {
            let expires_at = now + INDIRECT_PROBE_TIMEOUT;
            self.indirect_probes.push(IndirectProbe { target, requester, expires_at });
            self.send_ping(now, target, outputs);
        }
    }

    /// Forwards the answer of a member to the members that requested a probe of it.
    pub(super) fn finish_indirect_probes(
        &mut self,
        now: MonotonicTime,
        target: u16,
        outputs: &mut Vec<Output>,
    ) {
        self.indirect_probes.retain(|probe| probe.expires_at > now);
        let is_finished = |probe: &IndirectProbe| probe.target == target;
        let finished: Vec<IndirectProbe> = self.indirect_probes.iter().copied().filter(is_finished).collect();
        self.indirect_probes.retain(|probe| !is_finished(probe));
        for probe in finished {
            self.send_gossip(now, probe.requester, MessageKind::Ack, &[target], outputs);
        }
    }

    /// The target of the next periodic ping.
    fn next_probe_target(&mut self) -> Option<u16> {
        if self.is_mass_failure() {
            if let Some(target) = self.most_recently_alive_candidate() {
                return Some(target);
            }
        }
        // M8: every other round goes to the next live member by number, so that each live member is pinged regularly,
        // whatever the random order.
        self.probe_rounds += 1;
        if self.probe_rounds.is_multiple_of(2) {
            if let Some(target) = self.ring_neighbour() {
                return Some(target);
            }
        }
        self.next_in_random_order().or_else(|| self.random_other())
    }

    /// Out of a random choice of members, the one with the latest beat: in a mass failure it is the most likely to
    /// answer, so that the survivors learn of each other.
    fn most_recently_alive_candidate(&mut self) -> Option<u16> {
        let candidates = self.random_alive_others(PROBE_CHOICES);
        candidates.into_iter().max_by_key(|number| {
            let member = self.member(*number);
            (!member.is_silent(), member.last_alive_at())
        })
    }

    /// The next member after this gateway by number, with wrap-around, that is alive and not silent.
    fn ring_neighbour(&self) -> Option<u16> {
        let members = self.members.len();
        let own = usize::from(self.own_member);
        let mut ring = (1..members).map(|distance| ((own + distance) % members) as u16);
        ring.find(|number| {
            let member = self.member(*number);
            member.is_alive() && !member.is_silent()
        })
    }

    /// The next live member of the random order that is not suspected; in one of [`DEAD_PROBE_ODDS`] calls, on average,
    /// a member that is not alive may be returned too.
    fn next_in_random_order(&mut self) -> Option<u16> {
        let probes_dead = self.random.below(DEAD_PROBE_ODDS) == 0;
        for _attempt in 0..2 {
            while let Some(&target) = self.probe_order.get(self.probe_position) {
                self.probe_position += 1;
                let member = self.member(target);
                let is_trusted = member.is_alive() && member.suspected_since.is_none();
                if is_trusted || probes_dead && !member.is_alive() {
                    return Some(target);
                }
            }
            self.probe_position = 0;
            self.probe_order = self.others().collect();
            self.random.shuffle(&mut self.probe_order);
        }
        None
    }

    /// A random other member, for when all others are suspected or not alive; `None` if there is no other.
    fn random_other(&mut self) -> Option<u16> {
        let others: Vec<u16> = self.others().collect();
        (!others.is_empty()).then(|| others[self.random.below(others.len())])
    }

    fn send_ping(&mut self, now: MonotonicTime, target: u16, outputs: &mut Vec<Output>) {
        self.pings_since_received = self.pings_since_received.saturating_add(1);
        let member = self.member_mut(target);
        if member.unanswered_pings == 0 {
            member.first_unanswered_ping_at = now;
        }
        member.unanswered_pings = member.unanswered_pings.saturating_add(1);
        member.last_ping_at = now;
        self.send_gossip(now, target, MessageKind::Ping, &[], outputs);
    }
}
