//! The program's own failure detector.
use super::{Actions, Detector};
use larchway::{Micros, MonotonicTime};
use larchway_cluster::failure_detector::{FailureDetector, Input, MemberState, Output};
use larchway_cluster::wire::{decode, encode};
use larchway_cluster::FleetFile;

/// The program's own failure detector.
pub struct Own {
    own_number: u16,
    detector: FailureDetector,
}

impl Own {
    /// The detector of a gateway that has just started.
    pub fn new(now: Micros, own_number: usize, members: usize, seed: u64) -> Self {
        let (time, own_number) = (MonotonicTime::from_micros(now), own_number as u16);
        let detector = FailureDetector::new(time, FleetFile::default(), own_number, members, seed);
        Own { own_number, detector }
    }

    fn carry_out(&self, outputs: Vec<Output>, actions: &mut Actions) {
        for output in outputs {
            match output {
                Output::Send { to, kind, body } => {
                    actions.send(usize::from(to), encode(kind, self.own_number, &body));
                }
                Output::StateChanged { member, state } => {
                    actions.change(usize::from(member), state == MemberState::Alive);
                }
                Output::Paused(_) | Output::Isolated | Output::Reconnected => {}
            }
        }
    }
}

impl Detector for Own {
    fn due(&self) -> Micros {
        self.detector.next_due().as_micros()
    }

    fn tick(&mut self, now: Micros, actions: &mut Actions) {
        let mut outputs = Vec::new();
        self.detector.handle(MonotonicTime::from_micros(now), Input::Tick, &mut outputs);
        self.carry_out(outputs, actions);
    }

    fn receive(&mut self, now: Micros, from: usize, bytes: &[u8], actions: &mut Actions) {
        let Ok(envelope) = decode(bytes) else { return };
        if usize::from(envelope.from) != from {
            return;
        }
        let mut outputs = Vec::new();
        let input = Input::Received { kind: envelope.kind, from: envelope.from, body: envelope.body };
        self.detector.handle(MonotonicTime::from_micros(now), input, &mut outputs);
        self.carry_out(outputs, actions);
    }
}
