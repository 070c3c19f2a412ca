//! What one gateway found of a store, told to all: a store that does not answer, or one that does again. A word lowers the
//! threshold of those who hear it; each puts a store out by its own requests alone. Words pass from each that hears one
//! for the first time to a few others, at once, so a fleet knows within some hops, and each gateway sends the same
//! whatever their number.
use larchway::{Micros, ServerId};
use std::collections::BTreeMap;

/// µs for which a word is not taken for new again.
const LIVES: Micros = 2_000_000;
/// Words kept at most; at the bound the oldest go.
const MOST: usize = 256;
/// Hops after which a word is not passed on.
const HOPS: u8 = 8;
/// Bytes of a word, and how many a datagram holds.
const WORD: usize = 12;
/// Words that a datagram holds at most.
pub const ENTRIES: usize = crate::wire::BODY / WORD;

/// What was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Found {
    /// It does not answer, or only fails.
    Failing,
    /// It answers again, cold perhaps.
    Back,
}

/// A word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Word {
    /// Which store.
    pub store: ServerId,
    /// What was found of it.
    pub found: Found,
    /// How many have passed it on.
    pub hops: u8,
    /// Who found it.
    pub origin: u16,
}

/// Their bytes.
pub fn write(words: &[Word]) -> Vec<u8> {
    let mut out = Vec::with_capacity(words.len() * WORD);
    for word in words.iter().take(ENTRIES) {
        out.extend_from_slice(&word.store.to_be_bytes());
        out.extend_from_slice(&[u8::from(word.found == Found::Back), word.hops]);
        out.extend_from_slice(&word.origin.to_be_bytes());
    }
    out
}

/// Reads them; none if they cannot be.
pub fn read(b: &[u8]) -> Option<Vec<Word>> {
    if !b.len().is_multiple_of(WORD) {
        return None;
    }
    let one = |c: &[u8]| {
        let found = match c[8] {
            0 => Found::Failing,
            1 => Found::Back,
            _ => return None,
        };
        let store = c[..8].iter().fold(0, |n, b| n << 8 | ServerId::from(*b));
        Some(Word { store, found, hops: c[9], origin: u16::from_be_bytes([c[10], c[11]]) })
    };
    b.chunks_exact(WORD).map(one).collect()
}

/// What is known by words.
#[derive(Debug, Default)]
pub struct Words {
    known: BTreeMap<(ServerId, Found), Micros>,
    /// What is to be passed on, at most [`ENTRIES`].
    waiting: Vec<Word>,
    /// Words of one's own, and those heard for the first time.
    pub told: u64,
    /// See `told`.
    pub heard: u64,
}

impl Words {
    /// This gateway has found something of a store itself.
    pub fn own(&mut self, now: Micros, me: u16, store: ServerId, found: Found) {
        if self.first(now, store, found) {
            self.told += 1;
            self.pass_on(Word { store, found, hops: 0, origin: me });
        }
    }

    /// Words have come: returns those that are new, and passes them on.
    pub fn hear(&mut self, now: Micros, words: Vec<Word>) -> Vec<Word> {
        let mut new = words;
        new.retain(|w| self.first(now, w.store, w.found));
        self.heard += new.len() as u64;
        for word in new.iter().filter(|w| w.hops < HOPS) {
            self.pass_on(Word { hops: word.hops + 1, ..*word });
        }
        new
    }

    fn first(&mut self, now: Micros, store: ServerId, found: Found) -> bool {
        let last = self.known.get(&(store, found));
        if last.is_some_and(|at| now < at + LIVES) {
            return false;
        }
        if self.known.len() >= MOST {
            self.known.retain(|_, at| now < *at + LIVES);
            if let Some(oldest) = self.known.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key) {
                self.known.remove(&oldest);
            }
        }
        self.known.insert((store, found), now);
        true
    }

    fn pass_on(&mut self, word: Word) {
        if self.waiting.len() < ENTRIES {
            self.waiting.push(word);
        }
    }

    /// What is to be passed on now.
    pub fn take(&mut self) -> Vec<Word> {
        std::mem::take(&mut self.waiting)
    }
}

#[cfg(test)]
mod tests;
