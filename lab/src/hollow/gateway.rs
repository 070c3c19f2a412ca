//! What a gateway makes of the events it reads: the core with its decision module, and the copies' purge table.
use larchway::Micros;
use larchway_copies::{Copies, CopiesFile};
use larchway_gateway::bulletin;
use larchway_gateway::config;
use larchway_gateway::core::Core;
use larchway_gateway::terms::Terms;

/// A gateway without sockets, clients and stores.
pub struct HollowGateway {
    core: Core,
    terms: Terms,
    cursor: u64,
}

impl HollowGateway {
    /// By a gateway's configuration, with copies of its own or without.
    pub fn new(now: Micros, configuration: &str, copies: Option<CopiesFile>) -> Result<Self, String> {
        let listen = "127.0.0.1:0".to_string();
        let config = config::read(configuration, Some("hollow".into()), Some(listen), None)?;
        let mut core = Core::new(config.seed);
        core.copies = copies.map(|file| Copies::new(file, config.uplink));
        core.configure(now, config.settings, config.classes);
        for item in &config.items {
            core.apply_event(now, &item.body);
        }
        Ok(HollowGateway { core, terms: config.terms, cursor: config.known })
    }

    /// The number of the event that was applied last.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Applies the data of an event; one that was applied already is passed over.
    pub fn apply(&mut self, now: Micros, data: &str) -> Result<(), String> {
        let item = bulletin::event(data, &self.terms)?;
        if item.no > self.cursor {
            self.cursor = item.no;
            self.core.apply_event(now, &item.body);
        }
        Ok(())
    }

    /// Lets the deadlines that have come by now take effect, as the gateway's loop does.
    pub fn expire(&mut self, now: Micros) {
        while let Some(due) = self.core.deadlines.pop(now) {
            self.core.due(now, due);
        }
    }
}
