//! One member's record: its latest sign of life, who suspects it, and the pings that it has not answered.
use super::timing::{BEAT_INTERVAL, MAX_SUSPECTORS, PING_TIMEOUT, REFUTATION_ANNOUNCEMENT};
use crate::wire::{is_later_beat, Heartbeat, BEAT_MASK};
use larchway::{duration_micros, MonotonicTime};
use serde::Serialize;
use std::time::Duration;

/// The state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It runs, as far as is known.
    Alive,
    /// It has failed: several members got no answer from it, and nobody has a later sign of life.
    Dead,
    /// It has left gracefully.
    Left,
}

/// A member as one gateway knows it.
#[derive(Debug, Clone, Default)]
pub(super) struct Member {
    /// Its incarnation; 0: unknown so far.
    pub(super) incarnation: u16,
    /// Its latest beat that is known, modulo 2^14.
    beat: u16,
    /// The same without wrap-around, counted from its start or from the first heartbeat received.
    beat_count: u64,
    /// When its beat 0 was, dated by the beat that was received with the least delay; this gateway's start at first.
    first_beat_at: MonotonicTime,
    /// Whether it is considered dead.
    pub(super) dead: bool,
    /// Whether it has left gracefully.
    pub(super) left: bool,
    /// When its state last changed, if it has in this incarnation.
    pub(super) state_changed_at: Option<MonotonicTime>,
    /// Since when it is suspected: it was pinged then, and no later beat is known.
    pub(super) suspected_since: Option<MonotonicTime>,
    /// Other members that suspect it, at most [`MAX_SUSPECTORS`].
    pub(super) suspected_by: Vec<u16>,
    /// Other members that consider it dead, at most [`MAX_SUSPECTORS`].
    pub(super) declared_dead_by: Vec<u16>,
    /// When this gateway sent the first of its unanswered pings; [`MonotonicTime::MIN`] without any.
    pub(super) first_unanswered_ping_at: MonotonicTime,
    /// When this gateway last pinged it.
    pub(super) last_ping_at: MonotonicTime,
    /// Pings of this gateway without an answer.
    pub(super) unanswered_pings: u8,
    /// Datagrams of others since the longest pause that had no later beat of it.
    pub(super) confirmations: usize,
    /// Until when it is claimed alive since a suspicion was refuted.
    pub(super) announce_refutation_until: MonotonicTime,
}

impl Member {
    /// A member that has sent nothing, known since `now`.
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

    /// When its latest known beat was.
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

    /// Whether this gateway has pings to it without an answer, or anybody suspects it.
    pub(super) fn is_silent(&self) -> bool {
        self.unanswered_pings > 0 || self.suspected_since.is_some()
    }

    /// Whether the last ping to it has had the time to be answered.
    pub(super) fn last_ping_timed_out(&self, now: MonotonicTime) -> bool {
        now >= self.last_ping_at + PING_TIMEOUT
    }

    /// Whether its state changed less than this span ago.
    pub(super) fn changed_within(&self, now: MonotonicTime, span: Duration) -> bool {
        self.state_changed_at.is_some_and(|changed_at| now < changed_at + span)
    }

    /// Takes the first heartbeat of a new incarnation. It can have begun before this gateway did: beats are dated from
    /// this one on.
    pub(super) fn begin_incarnation(&mut self, now: MonotonicTime, heartbeat: Heartbeat) {
        self.incarnation = heartbeat.incarnation;
        self.beat = heartbeat.beat;
        self.beat_count = u64::from(heartbeat.beat);
        self.first_beat_at = now.saturating_sub(self.time_since_first_beat());
    }

    /// Takes a later heartbeat of the same incarnation; one that is not later changes nothing.
    pub(super) fn advance(&mut self, now: MonotonicTime, heartbeat: Heartbeat) {
        if !is_later_beat(heartbeat.beat, self.beat) {
            return;
        }
        self.beat_count += u64::from(heartbeat.beat.wrapping_sub(self.beat) & BEAT_MASK);
        self.beat = heartbeat.beat;
        let first_beat_at = now.saturating_sub(self.time_since_first_beat());
        self.first_beat_at = self.first_beat_at.min(first_beat_at);
    }

    /// Moves its beats by the time for which this gateway was itself paused (M2).
    pub(super) fn skip_own_pause(&mut self, paused_for: Duration) {
        self.first_beat_at += paused_for;
        self.clear_suspicion();
    }

    pub(super) fn forget_unanswered_pings(&mut self) {
        self.first_unanswered_ping_at = MonotonicTime::MIN;
        self.unanswered_pings = 0;
    }

    /// Suspects it since a time, or since an earlier one if it is suspected already.
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

    /// Clears a suspicion that a sign of life refutes, so that others hear of it.
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

    /// Bytes of memory that it takes beyond its own size.
    pub(super) fn heap_bytes(&self) -> usize {
        (self.suspected_by.capacity() + self.declared_dead_by.capacity()) * size_of::<u16>()
    }
}

/// Adds a member to a list of at most [`MAX_SUSPECTORS`]; at the bound it is left out.
fn push_bounded(members: &mut Vec<u16>, member: u16) {
    if !members.contains(&member) && members.len() < MAX_SUSPECTORS {
        members.push(member);
    }
}
