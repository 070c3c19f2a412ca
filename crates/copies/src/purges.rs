//! Purges that were told, for as long as an older copy may still come from a store.
use larchway::Micros;
use std::collections::BTreeMap;

/// Most purges remembered: at the busiest deployment's 1.1 a second, hours of them.
pub const MOST: usize = 10_000;

/// The purges told.
#[derive(Debug, Default)]
pub struct Purges {
    /// When an object, or (with none) a group, was purged, and until when that is remembered. At most [`MOST`]; at the
    /// bound the one that ends first turns into `floor`.
    told: BTreeMap<(Option<u64>, u64), (Micros, Micros)>,
    /// Copies given out no later than this are void, whatever they are of: of purges that there is no room for.
    floor: Micros,
}

impl Purges {
    /// Word of a purge.
    pub fn told(&mut self, now: Micros, object: Option<u64>, group: u64, issued: Micros, keep: Micros) {
        // An object's purge holds whatever group is told with it.
        let key = (object, if object.is_some() { 0 } else { group });
        self.told.retain(|_, (_, until)| now < *until);
        let told = self.told.entry(key).or_insert((issued, now + keep));
        *told = (issued.max(told.0), told.1.max(now + keep));
        while self.told.len() > MOST {
            let first = self.told.iter().min_by_key(|(_, (_, until))| *until).map(|(key, _)| *key);
            let Some((issued, _)) = first.and_then(|key| self.told.remove(&key)) else { return };
            self.floor = self.floor.max(issued);
        }
    }

    /// Whether a copy that was given out at this time is from before a purge. One of the same moment may be either.
    pub fn void(&self, object: u64, group: u64, issued: Micros) -> bool {
        let keys = [(Some(object), 0), (None, group)];
        let before = |key: &(Option<u64>, u64)| self.told.get(key).is_some_and(|(at, _)| issued <= *at);
        keys.iter().any(before) || (self.floor > 0 && issued <= self.floor)
    }
}

#[cfg(test)]
mod tests;
