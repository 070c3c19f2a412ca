//! Tables of numbered slots. A key names a slot and its generation, so a late key finds nothing.

/// Names one entry: slot number below, generation above.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(pub u64);

impl Key {
    fn index(self) -> usize {
        (self.0 & 0xffff_ffff) as usize
    }
}

/// A table of numbered slots.
pub struct Slots<T> {
    slots: Vec<(u32, Option<T>)>,
    free: Vec<usize>,
    len: usize,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Slots { slots: Vec::new(), free: Vec::new(), len: 0 }
    }
}

impl<T> Slots<T> {
    /// Puts an entry into a free slot.
    pub fn insert(&mut self, entry: T) -> Key {
        self.len += 1;
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push((0, None));
            self.slots.len() - 1
        });
        let slot = &mut self.slots[index];
        // Guards against a late event that reaches whoever took the slot next.
        slot.0 = slot.0.wrapping_add(1) & 0x7fff_ffff;
        slot.1 = Some(entry);
        Key(u64::from(slot.0) << 32 | index as u64)
    }

    fn current(&self, key: Key) -> bool {
        self.slots.get(key.index()).is_some_and(|s| u64::from(s.0) == key.0 >> 32)
    }

    /// The entry, if it is still there.
    pub fn get(&self, key: Key) -> Option<&T> {
        if self.current(key) {
            self.slots[key.index()].1.as_ref()
        } else {
            None
        }
    }

    /// The entry, to be changed.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        if self.current(key) {
            self.slots[key.index()].1.as_mut()
        } else {
            None
        }
    }

    /// Takes the entry out and frees its slot.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        if !self.current(key) {
            return None;
        }
        let entry = self.slots[key.index()].1.take()?;
        self.free.push(key.index());
        self.len -= 1;
        Some(entry)
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// All entries, to be changed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.slots.iter_mut().filter_map(|(_, entry)| entry.as_mut())
    }

    /// All entries with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        let key = |index: usize, generation: u32| Key(u64::from(generation) << 32 | index as u64);
        self.slots.iter().enumerate().filter_map(move |(i, (g, e))| e.as_ref().map(|e| (key(i, *g), e)))
    }
}

#[cfg(test)]
mod tests;
