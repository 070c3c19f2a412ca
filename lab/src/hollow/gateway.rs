//! What a gateway does with the events it reads: the core with its decision module, and the object cache's purge table.
use super::error::HollowError;
use larchway::MonotonicTime;
use larchway_gateway::bulletin;
use larchway_gateway::clock::wire::{Arrival, WireTimes};
use larchway_gateway::config;
use larchway_gateway::core::Core;
use larchway_gateway::wire_settings::WireSettings;
use larchway_object_cache::{CopiesFile, LinkRates, ObjectCache};

/// A gateway without sockets, clients and stores.
pub struct HollowGateway {
    core: Core,
    wire_settings: WireSettings,
    wire_times: WireTimes,
    cursor: u64,
}

impl HollowGateway {
    /// By a gateway's configuration, with an object cache or without.
    ///
    /// # Errors
    /// [`HollowError::Configuration`] if the configuration is invalid.
    pub fn new(
        now: MonotonicTime,
        configuration: &str,
        copies: Option<CopiesFile>,
    ) -> Result<Self, HollowError> {
        let overrides = config::Overrides {
            name: Some("hollow".into()),
            listen: Some("127.0.0.1:0".into()),
            console: None,
        };
        let config = config::read(configuration, overrides)?;
        let mut core = Core::new(config.seed);
        let rates = LinkRates { per_transfer: config.transfer_bytes_per_s, total: config.uplink_bytes_per_s };
        core.object_cache = copies.map(|file| ObjectCache::new(file, rates));
        core.configure(now, config.settings, config.classes);
        let mut wire_times = WireTimes::default();
        for item in config.known_events {
            wire_times
                .change(now, item.body, Arrival::Initial)
                .iter()
                .for_each(|change| core.apply_event(now, change));
        }
        Ok(HollowGateway {
            core,
            wire_settings: config.wire_settings,
            wire_times,
            cursor: config.last_known_event,
        })
    }

    /// The number of the event that was applied last.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Applies the data of an event; one that was applied already is passed over.
    pub fn apply(&mut self, now: MonotonicTime, data: &str) -> Result<(), HollowError> {
        let item = bulletin::parse_event(data, &self.wire_settings)?;
        if item.number > self.cursor {
            self.cursor = item.number;
            let change = self.wire_times.change(now, item.body, Arrival::Live);
            change.iter().for_each(|change| self.core.apply_event(now, change));
        }
        Ok(())
    }

    /// Lets the deadlines that have come by now take effect, as the gateway's loop does.
    pub fn expire(&mut self, now: MonotonicTime) {
        while let Some(due) = self.core.deadlines.pop(now) {
            self.core.handle_deadline(now, due);
        }
    }
}
