//! A bounded table of the requested objects, without any decision; the least recently requested are evicted
//! first. Indexes by purge group and by server let the purge of a group, or the removal of a server, touch
//! only the items concerned.
use crate::interface::{ObjectId, ServerId};
use crate::purges::PurgeTarget;
use crate::records::Item;
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Maximum number of requests in the eviction queue: minutes of traffic of one router, a few MB.
const MAX_REQUESTS: usize = 50_000;

/// An object and its part.
pub(crate) type ItemKey = (ObjectId, u64);

/// At most [`MAX_REQUESTS`] items; beyond that, the least recently requested are evicted.
#[derive(Default)]
pub(crate) struct ItemTable {
    items: BTreeMap<ItemKey, Item>,
    by_group: BTreeSet<(u64, ItemKey)>,
    /// One entry for each recorded hit.
    by_server: BTreeSet<(ServerId, ItemKey)>,
    /// Number of items examined by [`ItemTable::forget_server`] since the table was created.
    items_examined: u64,
    /// One entry for each request, the oldest first. An item is evicted with the entry of its last request.
    requests_by_age: VecDeque<(MonotonicTime, ItemKey)>,
}

impl ItemTable {
    /// Counts a request; after a pause longer than `memory` it counts as the first. Returns the item's
    /// sending time in microseconds, if observed.
    pub fn count(&mut self, now: MonotonicTime, key: ItemKey, group: u64, memory: Duration) -> Option<f64> {
        let item = self.items.entry(key).or_default();
        let forgotten = now > item.last + memory;
        item.seen = if forgotten { 1 } else { item.seen.saturating_add(1) };
        item.last = now;
        let old_group = std::mem::replace(&mut item.group, group);
        let work = item.work;
        if old_group != group {
            self.by_group.remove(&(old_group, key));
        }
        if old_group != group || item.seen == 1 {
            self.by_group.insert((group, key));
        }
        self.requests_by_age.push_back((now, key));
        self.evict();
        work
    }

    /// The item with this key, if it is in the table.
    pub fn get(&self, key: &ItemKey) -> Option<&Item> {
        self.items.get(key)
    }

    /// Like [`ItemTable::get`], mutable.
    pub fn get_mut(&mut self, key: &ItemKey) -> Option<&mut Item> {
        self.items.get_mut(key)
    }

    /// Records a hit at a server and drops the item's records older than `life`.
    pub fn record_hit(&mut self, key: ItemKey, server: ServerId, now: MonotonicTime, life: Duration) {
        let Some(item) = self.items.get_mut(&key) else { return };
        let by_server = &mut self.by_server;
        item.hits.retain(|&(other, since)| {
            let is_retained = other != server && now < since + life;
            if !is_retained {
                by_server.remove(&(other, key));
            }
            is_retained
        });
        item.hits.push((server, now));
        by_server.insert((server, key));
    }

    /// Inserts an item as the most recently requested one.
    pub fn insert(&mut self, key: ItemKey, item: Item) {
        self.drop_hits(key);
        self.requests_by_age.push_back((item.last, key));
        self.by_group.insert((item.group, key));
        self.by_server.extend(item.hits.iter().map(|&(server, _)| (server, key)));
        let old = self.items.insert(key, item);
        let group = self.items.get(&key).map(|item| item.group);
        if let Some(old) = old.filter(|old| Some(old.group) != group) {
            self.by_group.remove(&(old.group, key));
        }
    }

    /// The items, the most recently requested first.
    pub fn latest(&self) -> impl Iterator<Item = (ItemKey, &Item)> + '_ {
        let items =
            self.requests_by_age.iter().rev().filter_map(|(at, key)| Some((at, *key, self.items.get(key)?)));
        items.filter(|(at, _, item)| item.last == **at).map(|(_, key, item)| (key, item))
    }

    /// Drops the recorded hits of the purged items.
    pub fn purge(&mut self, target: PurgeTarget) {
        let keys: Vec<ItemKey> = match target {
            PurgeTarget::Object(object) => {
                self.items.range((object, 0)..=(object, u64::MAX)).map(|(key, _)| *key).collect()
            }
            PurgeTarget::Group(group) => {
                let keys = self.by_group.range((group, (0, 0))..=(group, (u64::MAX, u64::MAX)));
                keys.map(|(_, key)| *key).collect()
            }
        };
        keys.into_iter().for_each(|key| self.drop_hits(key));
    }

    /// Drops the hits recorded at a server that has lost its copies.
    pub fn forget_server(&mut self, id: ServerId) {
        let records = self.by_server.range((id, (0, 0))..=(id, (u64::MAX, u64::MAX)));
        let records: Vec<(ServerId, ItemKey)> = records.copied().collect();
        self.items_examined += records.len() as u64;
        for record in records {
            self.by_server.remove(&record);
            let item = self.items.get_mut(&record.1);
            item.into_iter().for_each(|item| item.hits.retain(|&(server, _)| server != id));
        }
    }

    /// Number of items examined by [`ItemTable::forget_server`] since the table was created.
    #[cfg(test)]
    fn items_examined(&self) -> u64 {
        self.items_examined
    }

    fn drop_hits(&mut self, key: ItemKey) {
        let hits = self.items.get_mut(&key).map(|item| std::mem::take(&mut item.hits));
        for (server, _) in hits.unwrap_or_default() {
            self.by_server.remove(&(server, key));
        }
    }

    fn evict(&mut self) {
        while self.requests_by_age.len() > MAX_REQUESTS {
            let Some((at, key)) = self.requests_by_age.pop_front() else { return };
            if self.items.get(&key).is_some_and(|item| item.last <= at) {
                self.remove(key);
            }
        }
    }

    fn remove(&mut self, key: ItemKey) {
        self.drop_hits(key);
        if let Some(item) = self.items.remove(&key) {
            self.by_group.remove(&(item.group, key));
        }
    }
}

#[cfg(test)]
mod tests;
