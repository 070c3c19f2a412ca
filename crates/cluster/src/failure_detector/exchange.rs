//! The exchange of gossip: building the pings and acks that this gateway sends, and applying those that it receives.
use super::member::Member;
use super::suspicion::ReportedHeartbeat;
use super::timing::{
    units_in, BEAT_INTERVAL, DECISECOND, MAX_CLAIMS, STATE_HOLD, SUSPECTORS_NEEDED_IN_MASS_FAILURE,
};
use super::{FailureDetector, Output};
use crate::wire::{ClaimedState, Gossip, Heartbeat, MemberClaim, MessageKind, BEAT_MASK, MAX_SUSPICION_AGE};
use larchway::MonotonicTime;

impl FailureDetector {
    /// Handles a ping, an ack or an indirect ping.
    pub(super) fn receive(
        &mut self,
        now: MonotonicTime,
        kind: MessageKind,
        from: u16,
        body: &[u8],
        outputs: &mut Vec<Output>,
    ) {
        if !self.is_other(from) {
            return;
        }
        if kind == MessageKind::IndirectPing {
            return self.start_indirect_probe(now, from, body, outputs);
        }
        let Some(gossip) = Gossip::decode(body) else { return };
        self.gossip_received += 1;
        self.last_received_at = now;
        self.pings_since_received = 0;
        self.update_isolation(now, outputs);
        self.apply_heartbeats(now, from, &gossip, outputs);
        for claim in gossip.claims.iter().filter(|claim| claim.member != from) {
            if claim.member != self.own_member {
                self.apply_suspicion(now, from, claim);
            }
        }
        // After a pause of this gateway hundreds of pings may be queued: the budget limits how many are answered at
        // once.
        if kind == MessageKind::Ping && !self.leaving && self.send_budget.allows_answer(now) {
            // A ping makes claims about the members that the sender suspects; the answer contains what is known of them
            // here.
            let wanted: Vec<u16> = gossip.claims.iter().map(|claim| claim.member).collect();
            self.send_gossip(now, from, MessageKind::Ack, &wanted, outputs);
        }
        self.finish_indirect_probes(now, from, outputs);
    }

    fn apply_heartbeats(
        &mut self,
        now: MonotonicTime,
        from: u16,
        gossip: &Gossip,
        outputs: &mut Vec<Output>,
    ) {
        let own =
            ReportedHeartbeat { member: from, reporter: from, heartbeat: gossip.own, paused: gossip.paused };
        self.apply_heartbeat(now, own, outputs);
        let window = (usize::from(gossip.window_start)..).zip(&gossip.window);
        let window = window.filter_map(|(number, heartbeat)| Some((u16::try_from(number).ok()?, *heartbeat)));
        let claimed = gossip.claims.iter().map(|claim| (claim.member, claim.heartbeat));
        for (member, heartbeat) in window.chain(claimed) {
            if member == self.own_member {
                self.refute_claim_about_self(heartbeat);
            } else if member != from && self.is_other(member) {
                let reported = ReportedHeartbeat { member, reporter: from, heartbeat, paused: false };
                self.apply_heartbeat(now, reported, outputs);
            }
        }
    }

    /// Sends gossip to a member; it begins with claims about the `wanted` members.
    pub(super) fn send_gossip(
        &mut self,
        now: MonotonicTime,
        to: u16,
        kind: MessageKind,
        wanted: &[u16],
        outputs: &mut Vec<Output>,
    ) {
        let body = self.build_gossip(now, wanted).encode();
        self.send(now, to, kind, body, outputs);
    }

    pub(super) fn send(
        &mut self,
        now: MonotonicTime,
        to: u16,
        kind: MessageKind,
        body: Vec<u8>,
        outputs: &mut Vec<Output>,
    ) {
        self.send_budget.take(now);
        self.datagrams_sent += 1;
        outputs.push(Output::Send { to, kind, body });
    }

    fn build_gossip(&mut self, now: MonotonicTime, wanted: &[u16]) -> Gossip {
        let claimed = self.members_to_claim(now, wanted);
        let (window_start, window) = self.next_window(claimed.len());
        Gossip {
            own: self.own_heartbeat(now),
            paused: now < self.announce_pause_until,
            isolated: self.isolated,
            claims: claimed.into_iter().map(|member| self.claim_about(member, now)).collect(),
            window_start,
            window,
        }
    }

    /// The members to make claims about: the wanted ones, then a random choice of those whose state all members should
    /// learn; at most [`MAX_CLAIMS`].
    fn members_to_claim(&mut self, now: MonotonicTime, wanted: &[u16]) -> Vec<u16> {
        // The sender's configuration may be newer and contain more members.
        let mut claimed: Vec<u16> = wanted.iter().copied().filter(|member| self.is_other(*member)).collect();
        claimed.truncate(MAX_CLAIMS);
        let mut to_announce: Vec<u16> =
            self.others().filter(|member| self.needs_announcement(*member, now)).collect();
        while claimed.len() < MAX_CLAIMS && !to_announce.is_empty() {
            let next = to_announce.swap_remove(self.random.below(to_announce.len()));
            if !claimed.contains(&next) {
                claimed.push(next);
            }
        }
        claimed
    }

    /// Whether all members should learn the state of a member: it is suspected, a suspicion was just refuted, or it was
    /// just declared dead. A death is claimed for [`STATE_HOLD`], so that members that detect it late adopt it too.
    fn needs_announcement(&self, number: u16, now: MonotonicTime) -> bool {
        let member = self.member(number);
        let is_or_was_suspected = member.suspected_since.is_some() || now < member.announce_refutation_until;
        let is_newly_dead = member.dead && member.changed_within(now, STATE_HOLD);
        !member.left && (is_or_was_suspected || is_newly_dead)
    }

    /// The next heartbeats in the order of the members' numbers, as many as fit into a datagram with this many claims.
    /// Returns the number of the first member and the heartbeats.
    fn next_window(&mut self, claims: usize) -> (u16, Vec<Heartbeat>) {
        let members = self.members.len();
        let capacity = Gossip::window_capacity(claims).min(members);
        let first = if capacity == members { 0 } else { self.next_window_start % members };
        let end = (first + capacity).min(members);
        self.next_window_start = end;
        (first as u16, self.members[first..end].iter().map(Member::heartbeat).collect())
    }

    /// The claim about a member. It is claimed as suspected if this gateway suspects it, or enough others do.
    fn claim_about(&self, number: u16, now: MonotonicTime) -> MemberClaim {
        let member = self.member(number);
        let is_suspected = self.suspects_by_own_pings(member, now)
            || member.suspected_by.len() >= SUSPECTORS_NEEDED_IN_MASS_FAILURE;
        let state = match member.suspected_since.filter(|_| is_suspected) {
            _ if member.dead && !member.left => ClaimedState::Dead,
            Some(since) => {
                let age = units_in(now.saturating_since(since), DECISECOND);
                ClaimedState::SuspectedFor(age.min(u64::from(MAX_SUSPICION_AGE)) as u8)
            }
            None => ClaimedState::Unsuspected,
        };
        MemberClaim { member: number, heartbeat: member.heartbeat(), state }
    }

    fn own_heartbeat(&self, now: MonotonicTime) -> Heartbeat {
        let beat = units_in(now.saturating_since(self.started_at), BEAT_INTERVAL) as u16 & BEAT_MASK;
        Heartbeat { incarnation: self.incarnation, beat, left: self.leaving }
    }
}
