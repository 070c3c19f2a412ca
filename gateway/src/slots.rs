//! Tables of numbered slots. A key consists of the slot's index and its generation, so that a stale key does not find a
//! later entry in the same slot.

/// The position in a key of the lowest bit of its generation.
const GENERATION_SHIFT: u32 = 32;
/// Mask of the bits of a key that hold the index of its slot.
const INDEX_MASK: u64 = (1 << GENERATION_SHIFT) - 1;
/// Mask of a generation, which wraps around at 31 bits so that the highest bit of a key stays 0.
const GENERATION_MASK: u32 = 0x7fff_ffff;

/// The key of an entry: the index of its slot in the lower 32 bits, the generation in the bits above.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotKey(pub u64);

impl SlotKey {
    fn new(index: usize, generation: u32) -> Self {
        SlotKey(u64::from(generation) << GENERATION_SHIFT | index as u64)
    }

    fn index(self) -> usize {
        (self.0 & INDEX_MASK) as usize
    }

    fn generation(self) -> u64 {
        self.0 >> GENERATION_SHIFT
    }
}

/// A slot: its generation, incremented with each insertion, and its entry.
struct Slot<T> {
    generation: u32,
    entry: Option<T>,
}

/// A table of numbered slots.
pub struct Slots<T> {
    slots: Vec<Slot<T>>,
    /// Indices of the slots without an entry.
    free: Vec<usize>,
    /// The number of entries.
    len: usize,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Slots { slots: Vec::new(), free: Vec::new(), len: 0 }
    }
}

impl<T> Slots<T> {
    /// Inserts an entry into a free slot and returns its key.
    pub fn insert(&mut self, entry: T) -> SlotKey {
        self.len += 1;
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, entry: None });
            self.slots.len() - 1
        });
        let slot = &mut self.slots[index];
        slot.generation = slot.generation.wrapping_add(1) & GENERATION_MASK;
        slot.entry = Some(entry);
        SlotKey::new(index, slot.generation)
    }

    /// The slot of a key; none if the slot has been reused.
    fn slot(&self, key: SlotKey) -> Option<&Slot<T>> {
        self.slots.get(key.index()).filter(|slot| u64::from(slot.generation) == key.generation())
    }

    fn slot_mut(&mut self, key: SlotKey) -> Option<&mut Slot<T>> {
        self.slots.get_mut(key.index()).filter(|slot| u64::from(slot.generation) == key.generation())
    }

    /// The entry of a key, if it has not been removed.
    pub fn get(&self, key: SlotKey) -> Option<&T> {
        self.slot(key)?.entry.as_ref()
    }

    /// The entry of a key, mutable.
    pub fn get_mut(&mut self, key: SlotKey) -> Option<&mut T> {
        self.slot_mut(key)?.entry.as_mut()
    }

    /// Removes the entry of a key and frees its slot.
    pub fn remove(&mut self, key: SlotKey) -> Option<T> {
        let entry = self.slot_mut(key)?.entry.take()?;
        self.free.push(key.index());
        self.len -= 1;
        Some(entry)
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// All entries, mutable.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.slots.iter_mut().filter_map(|slot| slot.entry.as_mut())
    }

    /// All entries with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (SlotKey, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let entry = slot.entry.as_ref()?;
            Some((SlotKey::new(index, slot.generation), entry))
        })
    }
}

#[cfg(test)]
mod tests;
