//! The state that the processes of one gateway exchange during an upgrade: what the decision module has learned, and
//! the work sent to stores in slow start.
use super::Core;
use larchway::{Learned, MonotonicTime, SentWork, ServerId};

/// Most objects handed over to the next process: some minutes of traffic, about 1 MB.
const MAX_OBJECTS_HANDED_OVER: usize = 10_000;

/// The learned state of a process.
#[derive(Debug)]
pub struct LearnedState {
    /// The names of the classes, by slot.
    pub classes: Vec<String>,
    /// The learned state of the module, with classes by slot.
    pub learned: Learned,
}

impl Core {
    /// The learned state, for the next process of this gateway.
    pub fn learned(&self, now: MonotonicTime) -> LearnedState {
        let classes = self.classes.slots().iter().map(|slot| slot.name.clone()).collect();
        LearnedState { classes, learned: self.router.learned(now, MAX_OBJECTS_HANDED_OVER) }
    }

    /// Takes over the learned state of another process of this gateway; classes are matched by name.
    pub fn take_over(&mut self, classes: &[String], learned: Learned) {
        let slots: Vec<_> = classes.iter().map(|name| self.classes.find(name)).collect();
        self.router.take_over(learned, &slots);
    }

    /// The work sent after `since` to each store in slow start, in microseconds.
    pub fn sent_after(&self, now: MonotonicTime, since: MonotonicTime) -> Vec<(ServerId, f64)> {
        let sent = self.router.sent_after(now, since);
        sent.iter().map(|sent| (sent.server, sent.work_micros)).collect()
    }

    /// Records the work, in microseconds, that another process of this gateway has sent to stores in slow start.
    pub fn record_peer_sends(&mut self, now: MonotonicTime, sent: &[(ServerId, f64)]) {
        let named = |&(server, work_micros): &(ServerId, f64)| SentWork { server, work_micros };
        let sent: Vec<SentWork> = sent.iter().map(named).collect();
        self.router.record_work_sent_elsewhere(now, &sent);
    }
}
