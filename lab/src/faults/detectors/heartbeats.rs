//! Heartbeats from all members to all.
use super::{Actions, Detector};
use larchway::Micros;

/// µs between two heartbeats.
const PERIOD: Micros = 1_000_000;
/// µs of silence after which a member is considered dead.
const TIMEOUT: Micros = 3_500_000;
/// Bytes of a heartbeat.
const HEARTBEAT_LENGTH: usize = 14;

/// What a member is known by.
#[derive(Debug, Clone, Copy)]
struct MemberRecord {
    last_heartbeat: Micros,
    alive: bool,
}

/// All members send to all, each period; a member that is silent for too long is dead.
pub struct Heartbeats {
    own_number: usize,
    members: Vec<MemberRecord>,
    due: Micros,
}

impl Heartbeats {
    /// The detector of a gateway that has just started.
    pub fn new(now: Micros, own_number: usize, members: usize, seed: u64) -> Self {
        let due = now + larchway::mix(seed) % PERIOD;
        let record = MemberRecord { last_heartbeat: now, alive: true };
        Heartbeats { own_number, members: vec![record; members], due }
    }
}

impl Detector for Heartbeats {
    fn due(&self) -> Micros {
        self.due
    }

    fn tick(&mut self, now: Micros, actions: &mut Actions) {
        if now < self.due {
            return;
        }
        self.due = now + PERIOD;
        for (number, member) in self.members.iter_mut().enumerate() {
            if number == self.own_number {
                continue;
            }
            actions.send(number, vec![0; HEARTBEAT_LENGTH]);
            if member.alive && now > member.last_heartbeat + TIMEOUT {
                member.alive = false;
                actions.change(number, false);
            }
        }
    }

    fn receive(&mut self, now: Micros, from: usize, _: &[u8], actions: &mut Actions) {
        let member = &mut self.members[from];
        member.last_heartbeat = now;
        if !std::mem::replace(&mut member.alive, true) {
            actions.change(from, true);
        }
    }
}
