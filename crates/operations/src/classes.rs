//! Request classes in numbered slots. Settings may change while requests are in flight, and a request keeps its class
//! until it ends: a slot is reused for another class only when no request uses it.

/// The name and settings of a class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedClass<T> {
    /// The name of the class.
    pub name: String,
    /// Its settings.
    pub settings: T,
}

/// A class in its slot.
#[derive(Debug, Clone)]
pub struct ClassSlot<T> {
    /// The name of the class.
    pub name: String,
    /// Its settings.
    pub settings: T,
    current: bool,
    /// Number of requests in flight that use the slot.
    in_flight: usize,
}

impl<T> ClassSlot<T> {
    /// Whether the class is in force, so that new requests use this slot.
    pub fn is_current(&self) -> bool {
        self.current
    }

    fn is_free(&self) -> bool {
        !self.current && self.in_flight == 0
    }
}

/// A slot that has received a class, and the learned evidence that it starts with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotChange {
    /// The slot has a new class, which starts without evidence.
    New(usize),
    /// The settings of the class have changed and the class has moved to another slot. It starts with the evidence of
    /// the previous slot.
    Changed {
        /// The slot of the class with its previous settings.
        previous: usize,
        /// The slot of the class with its new settings.
        current: usize,
    },
}

/// The slot and name of a class that was in force before a replacement.
struct FormerClass {
    slot: usize,
    name: String,
}

/// The classes in force and those that requests in flight use. The table is as long as the largest number of slots in
/// use at once.
#[derive(Debug, Clone)]
pub struct ClassTable<T> {
    slots: Vec<ClassSlot<T>>,
}

impl<T> Default for ClassTable<T> {
    fn default() -> Self {
        ClassTable { slots: Vec::new() }
    }
}

impl<T: Clone + PartialEq> ClassTable<T> {
    /// Replaces the classes in force. A class with unchanged settings keeps its slot; one with changed settings gets
    /// another slot if requests in flight use its present one.
    pub fn replace(&mut self, classes: Vec<NamedClass<T>>) -> Vec<SlotChange> {
        let former = self.former_classes();
        for slot in &mut self.slots {
            slot.current = false;
        }
        // Unchanged classes are placed first, so that their slots do not count as free.
        let changed = self.keep_unchanged(classes, &former);
        changed.into_iter().filter_map(|class| self.assign_slot(class, &former)).collect()
    }

    fn former_classes(&self) -> Vec<FormerClass> {
        let current_slots = self.slots.iter().enumerate().filter(|(_, slot)| slot.current);
        current_slots.map(|(slot, class)| FormerClass { slot, name: class.name.clone() }).collect()
    }

    /// Keeps unchanged classes in their slots. Returns the other classes.
    fn keep_unchanged(&mut self, classes: Vec<NamedClass<T>>, former: &[FormerClass]) -> Vec<NamedClass<T>> {
        let mut changed = Vec::new();
        for class in classes {
            let unchanged = former.iter().find(|former| {
                let slot = &self.slots[former.slot];
                slot.name == class.name && slot.settings == class.settings
            });
            match unchanged {
                Some(former) => self.slots[former.slot].current = true,
                None => changed.push(class),
            }
        }
        changed
    }

    /// Assigns a class to a slot. Returns none if the class stays in its slot and so keeps its evidence.
    fn assign_slot(&mut self, class: NamedClass<T>, former: &[FormerClass]) -> Option<SlotChange> {
        let NamedClass { name, settings } = class;
        let previous = former.iter().find(|class| class.name == name).map(|class| class.slot);
        let reusable = previous.filter(|slot| self.slots[*slot].is_free());
        let chosen = reusable.or_else(|| self.free_slot(former));
        let current = self.fill_slot(chosen, ClassSlot { name, settings, current: true, in_flight: 0 });
        match previous {
            Some(previous) if previous == current => None,
            Some(previous) => Some(SlotChange::Changed { previous, current }),
            None => Some(SlotChange::New(current)),
        }
    }

    /// A free slot that held no former class: the evidence of former classes may still be needed.
    fn free_slot(&self, former: &[FormerClass]) -> Option<usize> {
        let held_former_class = |slot: usize| former.iter().any(|class| class.slot == slot);
        (0..self.slots.len()).find(|&slot| self.slots[slot].is_free() && !held_former_class(slot))
    }

    /// Puts a class into the chosen slot, or into a new slot if none is chosen. Returns the number of the slot.
    fn fill_slot(&mut self, chosen: Option<usize>, slot: ClassSlot<T>) -> usize {
        if let Some(number) = chosen {
            self.slots[number] = slot;
            return number;
        }
        self.slots.push(slot);
        self.slots.len() - 1
    }

    /// The slot for new requests of this class; none if no class of this name is in force.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.slots.iter().position(|slot| slot.current && slot.name == name)
    }

    /// A slot by its number, even if its class is no longer in force.
    pub fn get(&self, slot: usize) -> Option<&ClassSlot<T>> {
        self.slots.get(slot)
    }

    /// All slots, by number.
    pub fn slots(&self) -> &[ClassSlot<T>] {
        &self.slots
    }

    /// The slots of the classes in force.
    pub fn current(&self) -> impl Iterator<Item = &ClassSlot<T>> {
        self.slots.iter().filter(|slot| slot.current)
    }

    /// Records that a request starts to use a slot.
    pub fn acquire(&mut self, slot: usize) {
        if let Some(slot) = self.slots.get_mut(slot) {
            slot.in_flight += 1;
        }
    }

    /// Records that a request that used a slot has ended.
    pub fn release(&mut self, slot: usize) {
        if let Some(slot) = self.slots.get_mut(slot) {
            slot.in_flight -= 1;
        }
    }
}

#[cfg(test)]
mod tests;
