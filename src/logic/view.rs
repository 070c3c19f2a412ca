//! What can be seen of a router from outside; nothing is decided here.
use super::Router;
use crate::interface::{Micros, ServerId};

impl Router {
    /// How many servers are kept.
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    /// The servers that it avoids now by its own choice: those left to single trials after failures.
    pub fn avoided(&self, now: Micros) -> impl Iterator<Item = ServerId> + '_ {
        self.servers.values().filter(move |s| s.suspended(now)).map(|s| s.host.server)
    }
}
