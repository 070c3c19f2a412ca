//! The gateway's own link to its clients, which copies of its own go over: one transfer runs at a client's pace at most,
//! and all share the link in the order of their answers.
use larchway::Micros;

/// What telling a client that its copy holds costs, of what its bytes would.
const SAME: f64 = 0.05;

/// The link.
#[derive(Debug, Default)]
pub struct Uplink {
    /// Bytes a second of one transfer and of all; 0: without bound.
    pace: (f64, f64),
    /// When the link has carried all that was answered.
    free: Micros,
}

impl Uplink {
    /// A link on which nothing is under way.
    pub fn new(pace: (f64, f64)) -> Self {
        Uplink { pace, free: 0 }
    }

    /// Takes another pace; what is under way stays so.
    pub fn configure(&mut self, pace: (f64, f64)) {
        self.pace = pace;
    }

    /// Takes an answer of so many bytes if it need not wait for others for longer than `most`, and is through within
    /// `ttl`. `same`: it only tells that the client's copy holds.
    pub fn takes(&mut self, now: Micros, bytes: usize, same: bool, most: Micros, ttl: Micros) -> bool {
        let cost = bytes as f64 * if same { SAME } else { 1.0 };
        let span = |pace: f64| if pace > 0.0 { (cost / pace * 1e6) as Micros } else { 0 };
        let carried = self.free.max(now) + span(self.pace.1);
        let done = carried.max(now + span(self.pace.0));
        // Danger: a link as busy as that makes copies slower than the stores that they should spare.
        let waits = done - now - span(self.pace.0).max(span(self.pace.1));
        if waits > most || done > now + ttl {
            return false;
        }
        self.free = carried;
        true
    }
}

#[cfg(test)]
mod tests;
