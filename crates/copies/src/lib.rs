//! Copies of a gateway's own (`docs/design/copies.md`): objects kept in memory as stores served them, which answer
//! later requests without a store. No I/O; the clock is an argument.
pub mod uplink;

use larchway::purges::{PurgeTable, PurgeTarget};
use larchway::Micros;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::rc::Rc;
use uplink::Uplink;

/// Part of the room that copies asked for again may take; what was asked for once has the rest at least, so that
/// objects wanted only once pass through without pushing out those that are not.
const PROTECTED: f64 = 0.8;
/// Bytes that a copy takes besides its own: its entry, its places in the orders, and what the allocator rounds up.
const OVERHEAD: usize = 256;
/// µs that a copy may be given out in the future by the clock here; one beyond that would never grow old.
const AHEAD: Micros = 1_000_000;
/// µs without a word from the bulletin from which purges may have been missed: it says something every second.
const DOUBT: Micros = 1_500_000;

/// The file of the copies under `deploy/`. Its schema is printed by `larchway schema copies`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CopiesFile {
    /// Part of the memory limit that copies may take, in percent, from 1 to 50. What clients' connections hold goes off
    /// it, so both together never take more than the larger of their two bounds.
    #[serde(default = "memory_percent")]
    pub memory_percent: u8,
    /// Part of that room that a single copy may take, in percent, from 1 to 100.
    #[serde(default = "largest_percent")]
    pub largest_percent: u8,
    /// Part of a class's aim that an answer may wait for those before it on the gateway's link, in percent, up to 100;
    /// a request that would wait for longer goes to the stores.
    #[serde(default = "wait_percent")]
    pub wait_percent: u8,
}

fn memory_percent() -> u8 {
    25
}

fn largest_percent() -> u8 {
    10
}

fn wait_percent() -> u8 {
    25
}

impl Default for CopiesFile {
    fn default() -> Self {
        let (memory_percent, largest_percent) = (memory_percent(), largest_percent());
        CopiesFile { memory_percent, largest_percent, wait_percent: wait_percent() }
    }
}

impl CopiesFile {
    /// Whether its numbers can be used; names the one that cannot.
    pub fn check(&self) -> Result<(), String> {
        let within = |key: &str, value: u8, (least, most): (u8, u8)| match (least..=most).contains(&value) {
            true => Ok(()),
            false => Err(format!("{key}: {value} is not from {least} to {most}")),
        };
        within("memory_percent", self.memory_percent, (1, 50))?;
        within("largest_percent", self.largest_percent, (1, 100))?;
        within("wait_percent", self.wait_percent, (0, 100))
    }
}

/// A part of an object, of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id {
    /// The object.
    pub object: u64,
    /// The part.
    pub part: u64,
    /// The class, by slot.
    pub class: usize,
}

/// Bytes as a store served them.
#[derive(Debug, PartialEq, Eq)]
pub struct Copy {
    /// The tag, if one was told.
    pub tag: Option<String>,
    /// When the origin gave it out, on the Unix clock.
    pub issued: Micros,
    /// The bytes.
    pub bytes: Box<[u8]>,
}

/// What a request needs of a copy.
#[derive(Debug, Clone, Copy)]
pub struct Want<'a> {
    /// For how long a copy is fresh, from when it was given out; 0: until it is purged.
    pub fresh: Micros,
    /// The class's aim, without what it adds for the sending time.
    pub aim: Micros,
    /// For how long the client still waits.
    pub ttl: Micros,
    /// The tag of the client's own copy.
    pub mine: Option<&'a str>,
}

/// An answer of one's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found {
    /// The copy.
    pub copy: Rc<Copy>,
    /// Whether the client holds the same.
    pub same: bool,
}

/// Whether what the bulletin tells of purges can be relied on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Word {
    /// Nobody tells of purges here.
    Untold,
    /// It was heard at that time.
    Heard(Micros),
    /// It is not connected.
    Lost,
}

struct Entry {
    copy: Rc<Copy>,
    group: u64,
    /// Its place in the order of use.
    stamp: u64,
    /// Whether it was asked for again since it was kept.
    again: bool,
}

impl Entry {
    fn cost(&self) -> usize {
        OVERHEAD + self.copy.bytes.len() + self.copy.tag.as_ref().map_or(0, String::len)
    }
}

/// What became of the requests that were looked up, for operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Answered here.
    pub served: u64,
    /// Bytes of these.
    pub served_bytes: u64,
    /// Not held.
    pub absent: u64,
    /// Held, but past its fresh time.
    pub aged: u64,
    /// Held, but the bulletin was silent.
    pub doubted: u64,
    /// Held, but the link was busy.
    pub waits: u64,
    /// Copies kept, pushed out for room, and dropped after word of a purge.
    pub kept: u64,
    /// See `kept`.
    pub pushed_out: u64,
    /// See `kept`.
    pub purged: u64,
}

/// What operators are told.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Copies held.
    pub copies: usize,
    /// Bytes that they take, and may take now.
    pub bytes: usize,
    /// See `bytes`.
    pub room: usize,
    /// Whether the bulletin has been heard of late, so that copies may answer.
    pub trusted: bool,
    /// What became of requests.
    pub counts: Counts,
}

/// All parts of an object, of any class.
fn ids_of(object: u64) -> RangeInclusive<Id> {
    Id { object, part: 0, class: 0 }..=Id { object, part: u64::MAX, class: usize::MAX }
}

/// The copies of a gateway. Segmented LRU: what is asked for again moves from the lower order to the upper one, whose
/// oldest come back down; the oldest of the lower one go first.
pub struct Copies {
    terms: CopiesFile,
    /// Bounded by `room`.
    entries: BTreeMap<Id, Entry>,
    /// The same copies by group, so that the purge of a group touches that group alone.
    by_group: BTreeSet<(u64, Id)>,
    /// By stamp: what was asked for once, and what was asked for again.
    orders: [BTreeMap<u64, Id>; 2],
    /// Bytes of both.
    used: [usize; 2],
    stamp: u64,
    room: usize,
    uplink: Uplink,
    purges: PurgeTable,
    word: Word,
    /// µs without a word from the bulletin from which purges may have been missed.
    doubt: Micros,
    /// What became of requests.
    pub counts: Counts,
}

impl Copies {
    /// None yet, on a link as told: bytes a second of one transfer and of all, without bound where they are 0.
    pub fn new(terms: CopiesFile, link: (f64, f64)) -> Self {
        Copies {
            terms,
            entries: BTreeMap::new(),
            by_group: BTreeSet::new(),
            orders: Default::default(),
            used: [0; 2],
            stamp: 0,
            room: 0,
            uplink: Uplink::new(link),
            purges: PurgeTable::default(),
            word: Word::Lost,
            doubt: DOUBT,
            counts: Counts::default(),
        }
    }

    /// Takes other terms; what is held stays as far as there is room.
    pub fn configure(&mut self, terms: CopiesFile, link: (f64, f64)) {
        self.terms = terms;
        self.uplink.configure(link);
    }

    /// Sets the room: the terms' part of this memory limit, less what else is held of it.
    pub fn fit(&mut self, memory: usize, held: usize) {
        self.room = (memory / 100 * usize::from(self.terms.memory_percent)).saturating_sub(held);
        self.push_out();
    }

    /// Whether a bulletin tells of purges here. If it does, copies answer only while it is heard.
    pub fn told_by_bulletin(&mut self, told: bool) {
        self.word = match self.word {
            _ if !told => Word::Untold,
            Word::Untold => Word::Lost,
            word => word,
        };
    }

    /// Sets for how long copies answer after the bulletin was heard, µs; none: the usual time.
    pub fn doubt_after(&mut self, silence: Option<Micros>) {
        self.doubt = silence.unwrap_or(DOUBT);
    }

    /// The bulletin has said something.
    pub fn heard(&mut self, now: Micros) {
        self.word = Word::Heard(now);
    }

    /// The bulletin is not connected.
    pub fn lost(&mut self) {
        self.word = Word::Lost;
    }

    /// Danger: a purge that is not heard, since the bulletin is silent, leaves copies here that are dropped everywhere
    /// else. Harm: requests go to the stores for the seconds until it is heard again.
    fn trusted(&self, now: Micros) -> bool {
        match self.word {
            Word::Untold => true,
            Word::Heard(at) => now <= at + self.doubt,
            Word::Lost => false,
        }
    }

    /// The copy that answers a request now, if there is one. It counts as sent.
    pub fn find(&mut self, now: Micros, id: Id, want: Want<'_>) -> Option<Found> {
        let trusted = self.trusted(now);
        let Some(entry) = self.entries.get(&id) else {
            self.counts.absent += 1;
            return None;
        };
        let copy = entry.copy.clone();
        if want.fresh > 0 && now > copy.issued + want.fresh {
            self.counts.aged += 1;
            self.drop_one(id);
            return None;
        }
        if !trusted {
            self.counts.doubted += 1;
            return None;
        }
        let same = want.mine.is_some() && want.mine == copy.tag.as_deref();
        let bytes = copy.bytes.len();
        let most = want.aim / 100 * Micros::from(self.terms.wait_percent);
        if !self.uplink.takes(now, bytes, same, most, want.ttl) {
            self.counts.waits += 1;
            return None;
        }
        self.touch(id);
        self.counts.served += 1;
        self.counts.served_bytes += if same { 0 } else { bytes as u64 };
        Some(Found { copy, same })
    }

    /// Keeps what a store has served, unless a purge that was told is younger, or what is held is no older.
    pub fn keep(&mut self, now: Micros, id: Id, group: u64, copy: Copy) {
        let held = self.entries.get(&id).map(|e| e.copy.issued);
        let entry = Entry { copy: Rc::new(copy), group, stamp: 0, again: false };
        let (issued, cost) = (entry.copy.issued, entry.cost());
        let too_large = cost > self.room / 100 * usize::from(self.terms.largest_percent);
        let odd = issued == 0 || issued > now + AHEAD || entry.copy.bytes.is_empty();
        if odd || too_large || held.is_some_and(|at| at >= issued) {
            return;
        }
        // One of the same moment as the purge may be from before it.
        if self.purges.latest(now, id.object, group).is_some_and(|purged| issued <= purged) {
            return;
        }
        let again = self.drop_one(id).is_some_and(|old| old.again);
        self.stamp += 1;
        self.counts.kept += 1;
        self.used[usize::from(again)] += cost;
        self.orders[usize::from(again)].insert(self.stamp, id);
        self.by_group.insert((group, id));
        self.entries.insert(id, Entry { stamp: self.stamp, again, ..entry });
        self.push_out();
    }

    /// Word of a purge of an object or, with none, of a group: `issued` when it was purged, `keep` for how long older
    /// copies may still come from stores.
    pub fn purge(&mut self, now: Micros, object: Option<u64>, group: u64, issued: Micros, keep: Micros) {
        let target = PurgeTarget::new(object, group);
        self.purges.record(now, target, issued, now + keep);
        let ids: Vec<Id> = match target {
            PurgeTarget::Object(object) => self.entries.range(ids_of(object)).map(|(id, _)| *id).collect(),
            PurgeTarget::Group(group) => {
                let (first, last) = (*ids_of(0).start(), *ids_of(u64::MAX).end());
                self.by_group.range((group, first)..=(group, last)).map(|(_, id)| *id).collect()
            }
        };
        let void = |id: &Id| self.entries.get(id).is_some_and(|entry| entry.copy.issued <= issued);
        let ids: Vec<Id> = ids.into_iter().filter(void).collect();
        self.counts.purged += ids.len() as u64;
        ids.into_iter().for_each(|id| drop(self.drop_one(id)));
    }

    /// Drops everything: something was told that could not be read, and may have been a purge.
    pub fn forget_all(&mut self) {
        self.counts.purged += self.entries.len() as u64;
        self.entries.clear();
        self.by_group.clear();
        self.orders = Default::default();
        self.used = [0; 2];
    }

    /// Purges up to now may have been missed: drops everything, and keeps nothing that was given out before. That is
    /// remembered for `keep`, for which copies of before may still come from stores.
    pub fn void_before(&mut self, now: Micros, keep: Micros) {
        self.forget_all();
        self.purges.raise_floor(now, now + keep);
    }

    /// Drops all of a class: its slot has another meaning from now on.
    pub fn forget_class(&mut self, class: usize) {
        let ids: Vec<Id> = self.entries.keys().filter(|id| id.class == class).copied().collect();
        ids.into_iter().for_each(|id| drop(self.drop_one(id)));
    }

    /// What operators are told.
    pub fn report(&self, now: Micros) -> Report {
        Report {
            copies: self.entries.len(),
            bytes: self.bytes(),
            room: self.room,
            trusted: self.trusted(now),
            counts: self.counts,
        }
    }

    /// Bytes that all copies take.
    pub fn bytes(&self) -> usize {
        self.used[0] + self.used[1]
    }

    fn touch(&mut self, id: Id) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let cost = entry.cost();
        self.orders[usize::from(entry.again)].remove(&entry.stamp);
        self.used[usize::from(entry.again)] -= cost;
        self.stamp += 1;
        (entry.stamp, entry.again) = (self.stamp, true);
        self.orders[1].insert(self.stamp, id);
        self.used[1] += cost;
        // The oldest of those asked for again come back down, as the youngest there.
        while self.used[1] as f64 > PROTECTED * self.room as f64 {
            let Some((_, id)) = self.orders[1].pop_first() else { return };
            let Some(entry) = self.entries.get_mut(&id) else { return };
            self.stamp += 1;
            (entry.stamp, entry.again) = (self.stamp, false);
            self.orders[0].insert(self.stamp, id);
            let cost = entry.cost();
            self.used[1] -= cost;
            self.used[0] += cost;
        }
    }

    fn drop_one(&mut self, id: Id) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        self.by_group.remove(&(entry.group, id));
        self.orders[usize::from(entry.again)].remove(&entry.stamp);
        self.used[usize::from(entry.again)] -= entry.cost();
        Some(entry)
    }

    fn push_out(&mut self) {
        while self.bytes() > self.room {
            let oldest = self.orders[0].first_key_value().or_else(|| self.orders[1].first_key_value());
            let Some(id) = oldest.map(|(_, id)| *id) else { return };
            self.drop_one(id);
            self.counts.pushed_out += 1;
        }
    }
}
