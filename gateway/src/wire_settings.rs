//! Names and limits that the wires need of the settings.
use larchway::Class;
use std::time::Duration;
use thiserror::Error;

/// A list of names was changed that may only grow while the gateway runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("settings.{key} may only grow while the gateway runs")]
pub struct NamesChanged {
    key: &'static str,
}

/// A class as a request holds it until its end.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ClassSettings {
    /// What the module needs of it.
    pub class: Class,
    /// How long a client waits in total.
    pub deadline: Duration,
    /// Whether its requests must carry an idempotency key.
    pub needs_idempotency_key: bool,
}

/// What the wires need of the class in a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireClass {
    /// The name of the class.
    pub name: String,
    /// How long a client waits in total.
    pub deadline: Duration,
    /// Whether its requests must carry an idempotency key.
    pub needs_idempotency_key: bool,
    /// Whether new requests may have it; if not, only requests in flight do.
    pub is_current: bool,
}

impl WireClass {
    /// A class that new requests may have.
    pub fn current(name: &str, settings: &ClassSettings) -> Self {
        WireClass {
            name: name.to_string(),
            deadline: settings.deadline,
            needs_idempotency_key: settings.needs_idempotency_key,
            is_current: true,
        }
    }
}

/// Names and limits of the settings that concern the wires.
#[derive(Debug, Clone, Default)]
pub struct WireSettings {
    /// The classes, by slot.
    pub classes: Vec<WireClass>,
    /// Attempts that a connection to a store carries before another one is opened.
    pub attempts_per_connection: usize,
    /// Names of the values in a store's report of its load.
    pub load_fields: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub machine_kinds: Vec<String>,
    /// The time within which a connection must be established.
    pub connect_timeout: Duration,
    /// Stores close a connection that is idle for this long.
    pub idle_timeout: Duration,
    /// Whether stores may be probed.
    pub probes_allowed: bool,
    /// The time within which a drain and a purge must take effect, the shorter of the two; none if not
    /// stated.
    pub notice_time: Option<Duration>,
}

impl WireSettings {
    /// The slot of a class that new requests may have.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name && class.is_current)
    }

    /// Checks that these names can replace others while requests are in flight. Stores are recorded by the indices of
    /// their zone and kind, so names may be appended but not changed.
    pub fn extends(&self, old: &WireSettings) -> Result<(), NamesChanged> {
        for (key, new, old) in
            [("zones", &self.zones, &old.zones), ("models", &self.machine_kinds, &old.machine_kinds)]
        {
            if !new.starts_with(old) {
                return Err(NamesChanged { key });
            }
        }
        Ok(())
    }
}
