//! How many gateways are alive in each zone, from the fleet's own nodes. The number shares the budgets of cold boxes,
//! so a number that is too small lets all gateways together push one over: where it is unknown or falls suddenly,
//! the largest of late holds.
use larchway::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// µs for which a larger number holds.
pub const HOLD: Micros = 30_000_000;
/// Most gateways counted: 12,000 have to fit, together with nodes under new names that came in place of others. A gateway
/// takes some 100 bytes, so that all of them take some 2 MB.
pub const MOST_GATEWAYS: usize = 16_384;
/// Most changes of a zone's number kept; beyond that the largest stays.
const CHANGES: usize = 256;

/// The live gateways.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    /// The zone of each gateway by name, at most [`MOST_GATEWAYS`]; those beyond are not counted.
    zones: BTreeMap<String, usize>,
    /// By zone, how many of them; kept, since it is looked at with every own attempt.
    count: BTreeMap<usize, u64>,
    /// By zone, numbers that held until a time, latest last.
    late: BTreeMap<usize, VecDeque<(Micros, u64)>>,
    known: bool,
    contact: bool,
    /// Names not told of since a reading began anew.
    stale: BTreeSet<String>,
}

impl Peers {
    /// A gateway's node is there.
    pub fn here(&mut self, now: Micros, name: &str, zone: usize) {
        if self.zones.len() < MOST_GATEWAYS || self.zones.contains_key(name) {
            self.stale.remove(name);
            self.note(now, zone);
            self.gone(now, name);
            self.zones.insert(name.to_string(), zone);
            *self.count.entry(zone).or_default() += 1;
        }
    }

    /// All is read anew.
    pub fn reread(&mut self) {
        self.stale = self.zones.keys().cloned().collect();
    }

    /// All nodes have been read.
    pub fn whole(&mut self, now: Micros) {
        self.contact(now, true);
        self.known = true;
        for name in std::mem::take(&mut self.stale) {
            self.remove(&name);
        }
    }

    /// A gateway's node is gone.
    pub fn gone(&mut self, now: Micros, name: &str) {
        let Some(&zone) = self.zones.get(name) else { return };
        self.note(now, zone);
        self.remove(name);
    }

    fn remove(&mut self, name: &str) {
        if let Some(number) = self.zones.remove(name).and_then(|zone| self.count.get_mut(&zone)) {
            *number -= 1;
        }
    }

    /// Contact with the service is held or lost.
    pub fn contact(&mut self, now: Micros, contact: bool) {
        let zones: Vec<usize> = self.count.keys().copied().collect();
        zones.into_iter().for_each(|zone| self.note(now, zone));
        self.contact = contact;
    }

    /// Remembers a zone's number that held until now, before it changes.
    fn note(&mut self, now: Micros, zone: usize) {
        let Some(&number) = self.count.get(&zone) else { return };
        let late = self.late.entry(zone).or_default();
        // Smaller ones before it never decide again.
        while late.back().is_some_and(|(_, n)| *n <= number) {
            late.pop_back();
        }
        if late.len() < CHANGES {
            late.push_back((now, number));
        }
    }

    /// By zone, the number to share budgets by; nothing where none was ever known.
    pub fn numbers(&mut self, now: Micros) -> BTreeMap<usize, u64> {
        if !self.known {
            return BTreeMap::new();
        }
        let mut count = self.count.clone();
        for (zone, late) in &mut self.late {
            // Without contact no number is let go of.
            while self.contact && late.front().is_some_and(|(at, _)| at + HOLD <= now) {
                late.pop_front();
            }
            let held = late.front().map_or(0, |(_, n)| *n);
            let number = count.entry(*zone).or_default();
            *number = (*number).max(held).max(1);
        }
        count
    }

    /// When a number that is held is let go of.
    pub fn next_due(&self) -> Option<Micros> {
        let held = |(zone, late): (&usize, &VecDeque<(Micros, u64)>)| {
            let (at, number) = late.front()?;
            (self.contact && *number > self.count.get(zone).copied().unwrap_or(0)).then_some(at + HOLD)
        };
        self.late.iter().filter_map(held).min()
    }
}
