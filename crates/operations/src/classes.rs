//! Request classes in numbered slots. Settings may change while requests are in flight, and each request has its class
//! to its end: a slot is given to another class only once no request uses it.

/// A class by its name.
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
    /// Requests in flight that use it.
    in_flight: usize,
}

impl<T> ClassSlot<T> {
    /// Whether new requests get it: its class is in force.
    pub fn is_current(&self) -> bool {
        self.current
    }

    fn is_free(&self) -> bool {
        !self.current && self.in_flight == 0
    }
}

/// A slot whose class is another than before, and which learned evidence it begins with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotChange {
    /// The slot has a new class: evidence begins anew.
    New(usize),
    /// The class has changed and moved to another slot: it begins with the evidence of the previous one.
    Changed {
        /// The slot of the class with its former settings.
        previous: usize,
        /// The slot of the class with its new settings.
        current: usize,
    },
}

/// The slot and name of a class in force before a replacement.
struct FormerClass {
    slot: usize,
    name: String,
}

/// The classes in force and those that requests in flight use. It is as long as the most classes in use at once.
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
    /// Replaces the classes in force. A class with the same settings has its slot as before; one with other settings
    /// gets another if requests in flight use its slot.
    pub fn replace(&mut self, classes: Vec<NamedClass<T>>) -> Vec<SlotChange> {
        let former = self.former_classes();
        for slot in &mut self.slots {
            slot.current = false;
        }
        // Unchanged classes come first: none of their slots may be taken for free.
        let changed = self.keep_unchanged(classes, &former);
        changed.into_iter().filter_map(|class| self.assign_slot(class, &former)).collect()
    }

    fn former_classes(&self) -> Vec<FormerClass> {
        let current_slots = self.slots.iter().enumerate().filter(|(_, slot)| slot.current);
        current_slots.map(|(slot, class)| FormerClass { slot, name: class.name.clone() }).collect()
    }

    /// Lets unchanged classes keep their slots. Returns the others.
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

    /// Puts a class into a slot; none is returned if it stays where its evidence is.
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

    /// A free slot that no former class had: the evidence of those may still be needed.
    fn free_slot(&self, former: &[FormerClass]) -> Option<usize> {
        let held_former_class = |slot: usize| former.iter().any(|class| class.slot == slot);
        (0..self.slots.len()).find(|&slot| self.slots[slot].is_free() && !held_former_class(slot))
    }

    /// Puts a class into the chosen slot, else into a new one. Returns the number of the slot.
    fn fill_slot(&mut self, chosen: Option<usize>, slot: ClassSlot<T>) -> usize {
        if let Some(number) = chosen {
            self.slots[number] = slot;
            return number;
        }
        self.slots.push(slot);
        self.slots.len() - 1
    }

    /// The slot that a new request of this class gets.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.slots.iter().position(|slot| slot.current && slot.name == name)
    }

    /// A slot by its number, also one whose class is no longer in force.
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

    /// A request begins to use a slot.
    pub fn acquire(&mut self, slot: usize) {
        if let Some(slot) = self.slots.get_mut(slot) {
            slot.in_flight += 1;
        }
    }

    /// A request that used a slot has ended.
    pub fn release(&mut self, slot: usize) {
        if let Some(slot) = self.slots.get_mut(slot) {
            slot.in_flight -= 1;
        }
    }
}

#[cfg(test)]
mod tests;
