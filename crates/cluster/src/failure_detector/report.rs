//! The report of the members for operators, as JSON under `/ops/fleet`. Its keys are those of `docs/operate/fleet.md`.
use super::timing::MAX_REPORTED;
use super::{FailureDetector, MemberState};
use larchway::MonotonicTime;
use serde::Serialize;

/// One member that is suspected or not alive.
#[derive(Debug, Clone, Serialize)]
pub struct MemberReport {
    /// The member's number.
    pub member: u16,
    /// Its state as this gateway knows it.
    #[serde(rename = "verdict")]
    pub state: MemberState,
    /// Its latest known incarnation; 0 if unknown.
    #[serde(rename = "life")]
    pub incarnation: u16,
    /// ms since its latest known beat.
    pub silent_ms: u64,
    /// Numbers of the members that are known to suspect it now.
    #[serde(rename = "accusers")]
    pub suspected_by: Vec<u16>,
}

/// The state of the tier as one gateway knows it.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The gateway's own number.
    #[serde(rename = "me")]
    pub own_member: u16,
    /// The gateway's own incarnation.
    #[serde(rename = "life")]
    pub incarnation: u16,
    /// The number of configured members.
    pub members: usize,
    /// The number of members that are alive, including this gateway.
    pub alive: usize,
    /// The number of members that are dead.
    pub dead: usize,
    /// The number of members that have left gracefully.
    pub left: usize,
    /// Whether the gateway receives nothing from any other member.
    #[serde(rename = "dark")]
    pub isolated: bool,
    /// How often this gateway itself was paused.
    #[serde(rename = "pauses")]
    pub own_pauses: u64,
    /// ms without an answer after which a member is considered dead at present.
    #[serde(rename = "bound_ms")]
    pub death_timeout_ms: u64,
    /// Moving average of the share of this gateway's pings that were lost, from 0 to 1.
    #[serde(rename = "lost")]
    pub ping_loss: f64,
    /// Changes of members' states so far.
    #[serde(rename = "changes")]
    pub state_changes: u64,
    /// Datagrams sent so far.
    #[serde(rename = "sent")]
    pub datagrams_sent: u64,
    /// Pings and acks received so far.
    #[serde(rename = "heard")]
    pub gossip_received: u64,
    /// Members that are suspected, dead or have left; at most 64.
    #[serde(rename = "doubted")]
    pub not_healthy: Vec<MemberReport>,
}

impl FailureDetector {
    /// The report for operators.
    pub fn report(&self, now: MonotonicTime) -> Report {
        let count = |state| self.others().filter(|number| self.member(*number).state() == state).count();
        let is_not_healthy = |number: &u16| {
            let member = self.member(*number);
            !member.is_alive() || member.suspected_since.is_some()
        };
        let not_healthy = self.others().filter(is_not_healthy).take(MAX_REPORTED);
        Report {
            own_member: self.own_member,
            incarnation: self.incarnation,
            members: self.members.len(),
            alive: 1 + count(MemberState::Alive),
            dead: count(MemberState::Dead),
            left: count(MemberState::Left),
            isolated: self.isolated,
            own_pauses: self.own_pauses,
            death_timeout_ms: self.death_timeout().as_millis() as u64,
            ping_loss: self.ping_loss,
            state_changes: self.state_changes,
            datagrams_sent: self.datagrams_sent,
            gossip_received: self.gossip_received,
            not_healthy: not_healthy.map(|number| self.member_report(number, now)).collect(),
        }
    }

    fn member_report(&self, number: u16, now: MonotonicTime) -> MemberReport {
        let member = self.member(number);
        let mut suspected_by = member.suspected_by.clone();
        if self.suspects_by_own_pings(member, now) {
            suspected_by.push(self.own_member);
        }
        MemberReport {
            member: number,
            state: member.state(),
            incarnation: member.incarnation,
            silent_ms: now.saturating_since(member.last_alive_at()).as_millis() as u64,
            suspected_by,
        }
    }
}
