//! The record of one member: its latest sign of life, the members that suspect it, and its unanswered pings.
use super::timing::{BEAT_INTERVAL, MAX_SUSPECTORS, PING_TIMEOUT, REFUTATION_ANNOUNCEMENT};
use crate::wire::{is_later_beat, Heartbeat, BEAT_MASK};
use larchway::{duration_micros, MonotonicTime};
use serde::Serialize;
use std::time::Duration;

/// The state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// No member has declared it dead, and it has not left.
    Alive,
    /// It has failed: several members got no answer from it, and none knows of a later sign of life.
    Dead,
    /// It announced a graceful shutdown.
    Left,
}

/// What one gateway knows of a member.
#[derive(Debug, Clone, Default)]
pub(super) struct Member {
    /// The member's latest known incarnation; 0 until a heartbeat was received.
    pub(super) incarnation: u16,
    /// The member's latest known beat, modulo 2^14.
    beat: u16,
    /// The latest known beat without wrap-around, counted from the member's start or from the first heartbeat received.
    beat_count: u64,
    /// The time of its beat 0, computed from the beat received with the least delay; at first the time at which this
    /// record was created.
    first_beat_at: MonotonicTime,
    /// Whether this gateway considers the member dead.
    pub(super) dead: bool,
    /// Whether the member has left gracefully.
    pub(super) left: bool,
    /// When its state last changed, if it has in this incarnation.
    pub(super) state_changed_at: Option<MonotonicTime>,
    /// Since when it is suspected: the time of a ping without an answer after which no beat is known.
    pub(super) suspected_since: Option<MonotonicTime>,
    /// Numbers of other members that suspect it, at most [`MAX_SUSPECTORS`].
    pub(super) suspected_by: Vec<u16>,
    /// Numbers of other members that consider it dead, at most [`MAX_SUSPECTORS`].
    pub(super) declared_dead_by: Vec<u16>,
    /// When this gateway sent the first unanswered ping; [`MonotonicTime::MIN`] if there is none.
    pub(super) first_unanswered_ping_at: MonotonicTime,
    /// When this gateway last pinged it.
    pub(super) last_ping_at: MonotonicTime,
    /// The number of this gateway's pings to it since its last answer.
    pub(super) unanswered_pings: u8,
    /// Datagrams of other members that contained no later beat of it, received once it had been suspected for the
    /// longest pause.
    pub(super) confirmations: usize,
    /// Until when gossip claims it as unsuspected because a suspicion was refuted.
    pub(super) announce_refutation_until: MonotonicTime,
}

impl Member {
    /// A member from which nothing has been received; `now` stands in for the time of its beat 0.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Member { first_beat_at: now, ..Member::default() }
    }

    pub(super) fn state(&self) -> MemberState {
        match (self.left, self.dead) {
            (true, _) => MemberState::Left,
            (_, true) => MemberState::Dead,
            _ => MemberState::Alive,
        }
    }

    pub(super) fn is_alive(&self) -> bool {
        self.state() == MemberState::Alive
    }

    /// The time of its latest known beat.
    pub(super) fn last_alive_at(&self) -> MonotonicTime {
        self.first_beat_at + self.time_since_first_beat()
    }

    /// The time from its beat 0 to its latest known one.
    fn time_since_first_beat(&self) -> Duration {
        Duration::from_micros(self.beat_count * duration_micros(BEAT_INTERVAL))
    }

    pub(super) fn heartbeat(&self) -> Heartbeat {
        Heartbeat { incarnation: self.incarnation, beat: self.beat, left: self.left }
    }

    /// Whether a ping of this gateway to it is unanswered, or any member suspects it.
    pub(super) fn is_silent(&self) -> bool {
        self.unanswered_pings > 0 || self.suspected_since.is_some()
    }

    /// Whether the last ping to it is older than [`PING_TIMEOUT`].
    pub(super) fn last_ping_timed_out(&self, now: MonotonicTime) -> bool {
        now >= self.last_ping_at + PING_TIMEOUT
    }

    /// Whether its state changed less than `span` ago, in its current incarnation.
    pub(super) fn changed_within(&self, now: MonotonicTime, span: Duration) -> bool {
        self.state_changed_at.is_some_and(|changed_at| now < changed_at + span)
    }

    /// Applies the first heartbeat of a new incarnation. The incarnation may be older than this gateway, so the times
    /// of its beats are computed from this heartbeat on.
    pub(super) fn begin_incarnation(&mut self, now: MonotonicTime, heartbeat: Heartbeat) {
        self.incarnation = heartbeat.incarnation;
        self.beat = heartbeat.beat;
        self.beat_count = u64::from(heartbeat.beat);
        self.first_beat_at = now.saturating_sub(self.time_since_first_beat());
    }

    /// Applies a later heartbeat of the same incarnation; one that is not later changes nothing.
    pub(super) fn advance(&mut self, now: MonotonicTime, heartbeat: Heartbeat) {
        if !is_later_beat(heartbeat.beat, self.beat) {
            return;
        }
        self.beat_count += u64::from(heartbeat.beat.wrapping_sub(self.beat) & BEAT_MASK);
        self.beat = heartbeat.beat;
        let first_beat_at = now.saturating_sub(self.time_since_first_beat());
        self.first_beat_at = self.first_beat_at.min(first_beat_at);
    }

    /// Shifts the times of its beats by a pause of this gateway itself (M2), and clears its suspicion.
    pub(super) fn skip_own_pause(&mut self, paused_for: Duration) {
        self.first_beat_at += paused_for;
        self.clear_suspicion();
    }

    pub(super) fn forget_unanswered_pings(&mut self) {
        self.first_unanswered_ping_at = MonotonicTime::MIN;
        self.unanswered_pings = 0;
    }

    /// Marks it as suspected since `since`, or keeps an earlier time if it is suspected already.
    pub(super) fn suspect_since(&mut self, since: MonotonicTime) {
        let earlier = self.suspected_since.map_or(since, |known| known.min(since));
        self.suspected_since = Some(earlier);
    }

    pub(super) fn clear_suspicion(&mut self) {
        self.suspected_since = None;
        self.confirmations = 0;
        self.suspected_by.clear();
        self.declared_dead_by.clear();
        self.forget_unanswered_pings();
    }

    /// Clears a suspicion that a sign of life refutes, and has gossip announce that for [`REFUTATION_ANNOUNCEMENT`].
    pub(super) fn refute_suspicion(&mut self, now: MonotonicTime) {
        self.clear_suspicion();
        self.announce_refutation_until = now + REFUTATION_ANNOUNCEMENT;
    }

    pub(super) fn add_suspector(&mut self, reporter: u16) {
        push_bounded(&mut self.suspected_by, reporter);
    }

    pub(super) fn add_death_declaration(&mut self, reporter: u16) {
        push_bounded(&mut self.declared_dead_by, reporter);
        push_bounded(&mut self.suspected_by, reporter);
    }

    pub(super) fn remove_suspector(&mut self, reporter: u16) {
        self.suspected_by.retain(|suspector| *suspector != reporter);
        self.declared_dead_by.retain(|suspector| *suspector != reporter);
    }

    /// Bytes of heap memory that it uses.
    pub(super) fn heap_bytes(&self) -> usize {
        (self.suspected_by.capacity() + self.declared_dead_by.capacity()) * size_of::<u16>()
    }
}

/// Adds a member to a list unless the list already has it or [`MAX_SUSPECTORS`] entries.
fn push_bounded(members: &mut Vec<u16>, member: u16) {
    if !members.contains(&member) && members.len() < MAX_SUSPECTORS {
        members.push(member);
    }
}
