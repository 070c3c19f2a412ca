//! SWIM as published (Das 2002), with suspicion and incarnations.
use super::{Actions, Detector};
use larchway::Micros;
use std::collections::BTreeMap;

/// µs between two probes.
const PROBE_PERIOD: Micros = 1_000_000;
/// µs after which a probe without an acknowledgement is repeated by other members.
const INDIRECT_PROBE_AFTER: Micros = 300_000;
/// µs after which a member without an acknowledgement is suspected.
const SUSPECT_AFTER: Micros = 900_000;
/// µs after which a suspected member is considered dead.
const DEAD_AFTER: Micros = 2_500_000;
/// µs for which a probe on behalf of another member is remembered.
const DELEGATED_PROBE_SPAN: Micros = 600_000;
/// Members that are asked to probe one that does not acknowledge.
const INDIRECT_PROBERS: usize = 3;
/// How often an update about the member itself is sent.
const OWN_UPDATE_SENDS: u32 = 20;
/// How often another update is sent, for each doubling of the members.
const SENDS_PER_DOUBLING: u32 = 3;
/// Updates of a datagram.
const MAX_UPDATES: usize = 26;
/// Bytes of an update: member, incarnation, state.
const UPDATE_LENGTH: usize = 9;
/// Bytes before the updates: kind, subject.
const HEADER_LENGTH: usize = 5;
/// µs of the unit in which a first incarnation is numbered by the time.
const INCARNATION_UNIT: Micros = 100_000;
/// One in how many draws may probe a dead member.
const DEAD_PROBE_INTERVAL: u64 = 9;

/// The kinds of datagrams, as they are numbered on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Probe = 0,
    Acknowledgement = 1,
    IndirectProbe = 2,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum MemberState {
    Alive,
    Suspect,
    Dead,
}

impl MemberState {
    const ALL: [MemberState; 3] = [MemberState::Alive, MemberState::Suspect, MemberState::Dead];
}

/// What a member is known by.
#[derive(Debug, Clone, Copy)]
struct MemberRecord {
    state: MemberState,
    incarnation: u32,
    since: Micros,
}

/// A probe without an acknowledgement yet.
#[derive(Debug, Clone, Copy)]
struct PendingProbe {
    member: usize,
    sent_at: Micros,
    /// Whether other members were asked to probe it.
    indirect: bool,
}

/// A probe on behalf of another member.
#[derive(Debug, Clone, Copy)]
struct DelegatedProbe {
    member: usize,
    requester: usize,
    expires_at: Micros,
}

/// SWIM with suspicion and incarnations: one member probed each second, three asked to probe one that does not
/// acknowledge, updates carried by what is sent anyway.
pub struct Swim {
    own_number: usize,
    incarnation: u32,
    members: Vec<MemberRecord>,
    /// Updates to pass on by member, and how often yet.
    pending_updates: BTreeMap<usize, u32>,
    probe: Option<PendingProbe>,
    delegated_probes: Vec<DelegatedProbe>,
    due: Micros,
    draws: u64,
    seed: u64,
}

impl Swim {
    /// The detector of a gateway that has just started.
    pub fn new(now: Micros, own_number: usize, members: usize, seed: u64) -> Self {
        let record = MemberRecord { state: MemberState::Alive, incarnation: 0, since: now };
        Swim {
            own_number,
            incarnation: (now / INCARNATION_UNIT) as u32,
            members: vec![record; members],
            pending_updates: BTreeMap::from([(own_number, OWN_UPDATE_SENDS)]),
            probe: None,
            delegated_probes: Vec::new(),
            due: now + larchway::mix(seed) % PROBE_PERIOD,
            draws: 0,
            seed,
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.draws += 1;
        (larchway::mix(self.seed ^ larchway::mix(self.draws)) % below.max(1) as u64) as usize
    }

    /// Another member, drawn at random; a dead one rarely.
    fn draw_member(&mut self) -> usize {
        loop {
            let member = self.draw(self.members.len());
            let is_dead = self.members[member].state == MemberState::Dead;
            if member != self.own_number && (!is_dead || self.draws.is_multiple_of(DEAD_PROBE_INTERVAL)) {
                return member;
            }
        }
    }

    /// A datagram: kind, subject, then the updates that were sent least often.
    fn encode(&mut self, kind: Kind, subject: usize) -> Vec<u8> {
        let mut out = vec![kind as u8];
        out.extend_from_slice(&(subject as u32).to_be_bytes());
        let mut updates: Vec<_> =
            self.pending_updates.iter().map(|(member, sends)| (*sends, *member)).collect();
        updates.sort_unstable_by(|a, b| b.cmp(a));
        for (sends_left, member) in updates.into_iter().take(MAX_UPDATES) {
            let MemberRecord { state, incarnation, .. } = self.record_of(member);
            out.extend_from_slice(&(member as u32).to_be_bytes());
            out.extend_from_slice(&incarnation.to_be_bytes());
            out.push(state as u8);
            match sends_left {
                0 | 1 => drop(self.pending_updates.remove(&member)),
                _ => drop(self.pending_updates.insert(member, sends_left - 1)),
            }
        }
        out
    }

    fn record_of(&self, member: usize) -> MemberRecord {
        if member == self.own_number {
            return MemberRecord { state: MemberState::Alive, incarnation: self.incarnation, since: 0 };
        }
        self.members[member]
    }

    fn send(&mut self, kind: Kind, subject: usize, to: usize, actions: &mut Actions) {
        let bytes = self.encode(kind, subject);
        actions.send(to, bytes);
    }

    /// Takes an update in: a higher incarnation overrides, and in the same one a worse state.
    fn update(
        &mut self,
        now: Micros,
        member: usize,
        state: MemberState,
        incarnation: u32,
        actions: &mut Actions,
    ) {
        if member == self.own_number {
            self.refute(state, incarnation);
            return;
        }
        let known = self.members[member];
        let was_dead = known.state == MemberState::Dead;
        let overrides = incarnation > known.incarnation
            || incarnation == known.incarnation && state > known.state && !was_dead;
        if !overrides || was_dead && state != MemberState::Alive {
            return;
        }
        self.members[member] = MemberRecord { state, incarnation, since: now };
        let doublings = (self.members.len() as f64).log2().ceil() as u32;
        self.pending_updates.insert(member, SENDS_PER_DOUBLING * doublings);
        if was_dead != (state == MemberState::Dead) {
            actions.change(member, state != MemberState::Dead);
        }
    }

    /// Answers a suspicion of the member itself with a new incarnation.
    fn refute(&mut self, state: MemberState, incarnation: u32) {
        if state != MemberState::Alive && incarnation >= self.incarnation {
            self.incarnation = incarnation + 1;
            self.pending_updates.insert(self.own_number, OWN_UPDATE_SENDS);
        }
    }

    /// Follows up on a probe that was not acknowledged in time.
    fn check_probe(&mut self, now: Micros, actions: &mut Actions) {
        let Some(PendingProbe { member, sent_at, indirect }) = self.probe else { return };
        if !indirect && now >= sent_at + INDIRECT_PROBE_AFTER {
            self.probe = Some(PendingProbe { member, sent_at, indirect: true });
            for _ in 0..INDIRECT_PROBERS {
                let prober = self.draw_member();
                self.send(Kind::IndirectProbe, member, prober, actions);
            }
        } else if indirect && now >= sent_at + SUSPECT_AFTER {
            self.probe = None;
            let incarnation = self.members[member].incarnation;
            self.update(now, member, MemberState::Suspect, incarnation, actions);
        }
    }

    /// Considers members dead that were suspected for too long.
    fn check_suspects(&mut self, now: Micros, actions: &mut Actions) {
        for member in 0..self.members.len() {
            let MemberRecord { state, incarnation, since } = self.members[member];
            if state == MemberState::Suspect && now > since + DEAD_AFTER {
                self.update(now, member, MemberState::Dead, incarnation, actions);
            }
        }
    }

    /// Handles an acknowledgement, and passes it on to the members that asked for it.
    fn acknowledged(&mut self, now: Micros, member: usize, actions: &mut Actions) {
        if self.probe.is_some_and(|probe| probe.member == member) {
            self.probe = None;
        }
        let is_about = |probe: &DelegatedProbe| probe.member == member;
        let done: Vec<_> = self.delegated_probes.iter().copied().filter(is_about).collect();
        self.delegated_probes.retain(|probe| !is_about(probe) && probe.expires_at > now);
        for probe in done {
            self.send(Kind::Acknowledgement, member, probe.requester, actions);
        }
    }
}

impl Detector for Swim {
    fn due(&self) -> Micros {
        let probe_due = self.probe.map_or(Micros::MAX, |probe| {
            probe.sent_at + if probe.indirect { SUSPECT_AFTER } else { INDIRECT_PROBE_AFTER }
        });
        self.due.min(probe_due)
    }

    fn tick(&mut self, now: Micros, actions: &mut Actions) {
        self.check_probe(now, actions);
        self.check_suspects(now, actions);
        if now >= self.due {
            self.due = now + PROBE_PERIOD;
            let member = self.draw_member();
            self.probe = Some(PendingProbe { member, sent_at: now, indirect: false });
            self.send(Kind::Probe, member, member, actions);
        }
    }

    fn receive(&mut self, now: Micros, from: usize, bytes: &[u8], actions: &mut Actions) {
        let subject = u32_at(bytes, 1) as usize;
        for offset in (HEADER_LENGTH..bytes.len()).step_by(UPDATE_LENGTH) {
            let state = MemberState::ALL[usize::from(bytes[offset + 8])];
            let (member, incarnation) = (u32_at(bytes, offset) as usize, u32_at(bytes, offset + 4));
            self.update(now, member, state, incarnation, actions);
        }
        match bytes[0] {
            kind if kind == Kind::Probe as u8 => {
                self.send(Kind::Acknowledgement, self.own_number, from, actions);
            }
            kind if kind == Kind::Acknowledgement as u8 => self.acknowledged(now, subject, actions),
            _ => {
                let expires_at = now + DELEGATED_PROBE_SPAN;
                let probe = DelegatedProbe { member: subject, requester: from, expires_at };
                self.delegated_probes.push(probe);
                self.send(Kind::Probe, subject, subject, actions);
            }
        }
    }
}

/// The big-endian number at an offset.
fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_be_bytes([bytes[offset], bytes[offset + 1], bytes[offset + 2], bytes[offset + 3]])
}
