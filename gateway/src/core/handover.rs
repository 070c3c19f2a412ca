//! What the processes of one gateway exchange during an upgrade: learned state and the work sent to warming
//! stores.
use super::Core;
use larchway::{Learned, MonotonicTime, SentWork, ServerId};

/// Objects that are handed to the next process: minutes of traffic, about 1 MB.
const MAX_OBJECTS_HANDED_OVER: usize = 10_000;

/// What a process has learned.
#[derive(Debug)]
pub struct LearnedState {
    /// The names of the classes, by slot.
    pub classes: Vec<String>,
    /// What the module has learned, of classes by slot.
    pub learned: Learned,
}

impl Core {
    /// What was learned, for the next process of this gateway.
    pub fn learned(&self, now: MonotonicTime) -> LearnedState {
        let classes = self.classes.slots().iter().map(|slot| slot.name.clone()).collect();
        LearnedState { classes, learned: self.router.learned(now, MAX_OBJECTS_HANDED_OVER) }
    }

    /// Takes over what another process of this gateway has learned; classes are matched by their names.
    pub fn take_over(&mut self, classes: &[String], learned: Learned) {
        let slots: Vec<_> = classes.iter().map(|name| self.classes.find(name)).collect();
        self.router.take_over(learned, &slots);
    }

    /// The work sent to stores in slow start after `since`.
    pub fn sent_after(&self, now: MonotonicTime, since: MonotonicTime) -> Vec<(ServerId, f64)> {
        let sent = self.router.sent_after(now, since);
        sent.iter().map(|sent| (sent.server, sent.work_micros)).collect()
    }

    /// Another process of this gateway has sent this work to stores in slow start.
    pub fn record_peer_sends(&mut self, now: MonotonicTime, sent: &[(ServerId, f64)]) {
        let named = |&(server, work_micros): &(ServerId, f64)| SentWork { server, work_micros };
        let sent: Vec<SentWork> = sent.iter().map(named).collect();
        self.router.record_work_sent_elsewhere(now, &sent);
    }
}
