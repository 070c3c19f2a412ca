//! Names and limits that the wires need of the settings.
use larchway::{Class, Micros};

/// A class as a request keeps it to its end.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ClassTerms {
    /// What the module needs of it.
    pub class: Class,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Whether its requests carry an idempotency key.
    pub keyed: bool,
}

/// Names and limits of the settings that concern the wires.
#[derive(Debug, Clone, Default)]
pub struct Terms {
    /// Names of the classes, by slot.
    pub classes: Vec<String>,
    /// By slot, whether only requests under way have that class.
    pub retired: Vec<bool>,
    /// Attempts that a connection to a store carries before another one is opened.
    pub streams: usize,
    /// Names of the values in a store's report of its load.
    pub report: Vec<String>,
    /// By class, how long a client waits in all.
    pub deadlines: Vec<Micros>,
    /// By class, whether its requests carry an idempotency key.
    pub keyed: Vec<bool>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
    /// A connection not made by then has failed.
    pub connect_timeout: Micros,
    /// Stores close a connection that is idle for so long.
    pub idle: Micros,
    /// Whether stores may be probed.
    pub probes: bool,
    /// Within so long of word of it a drain or a purge must be heeded, the shorter of the two; none: not told.
    pub notice: Option<Micros>,
}

impl Terms {
    /// Takes the classes, in the order of their slots.
    pub fn name<'a>(&mut self, classes: &mut dyn Iterator<Item = (&'a str, &'a ClassTerms, bool)>) {
        (self.classes, self.retired, self.deadlines, self.keyed) = Default::default();
        for (name, terms, current) in classes {
            self.classes.push(name.to_string());
            self.retired.push(!current);
            self.deadlines.push(terms.deadline);
            self.keyed.push(terms.keyed);
        }
    }

    /// The slot of a class that new requests may have.
    pub fn class(&self, name: &str) -> Option<usize> {
        let retired = |at: usize| self.retired.get(at) == Some(&true);
        self.classes.iter().enumerate().position(|(at, n)| n == name && !retired(at))
    }

    /// Whether these names can take the place of others while requests are open. Stores are kept by the places of
    /// their zone and kind, so those names may be added behind the others but not changed.
    pub fn extends(&self, old: &Terms) -> Result<(), String> {
        for (key, new, old) in [("zones", &self.zones, &old.zones), ("models", &self.kinds, &old.kinds)] {
            if !new.starts_with(old) {
                return Err(format!("settings.{key} may only grow while the gateway runs"));
            }
        }
        Ok(())
    }
}
