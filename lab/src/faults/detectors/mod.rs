//! Failure detectors for the world in virtual time: the program's own, and those it was compared with.
mod heartbeats;
mod own;
mod swim;

pub use heartbeats::Heartbeats;
pub use own::Own;
pub use swim::Swim;

use larchway::Micros;

/// The failure detector of one gateway.
pub trait Detector {
    /// When [`Detector::tick`] is due.
    fn due(&self) -> Micros;
    /// Time has passed: appends datagrams to send, and changes of members' states.
    fn tick(&mut self, now: Micros, actions: &mut Actions);
    /// Handles a datagram.
    fn receive(&mut self, now: Micros, from: usize, bytes: &[u8], actions: &mut Actions);
}

/// Datagrams to send, and changes of members' states.
#[derive(Debug, Default)]
pub struct Actions {
    /// The datagrams.
    pub sent: Vec<Datagram>,
    /// The changes.
    pub changed: Vec<StateChange>,
}

impl Actions {
    fn send(&mut self, to: usize, bytes: Vec<u8>) {
        self.sent.push(Datagram { to, bytes });
    }

    fn change(&mut self, member: usize, alive: bool) {
        self.changed.push(StateChange { member, alive });
    }
}

/// A datagram to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// The member that receives it.
    pub to: usize,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// A change of a member's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StateChange {
    /// The member.
    pub member: usize,
    /// Whether it is considered alive now.
    pub alive: bool,
}
