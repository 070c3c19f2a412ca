//! Classes by name. Settings may change while requests are under way, and each keeps its class to its end: so classes
//! stand in numbered slots, and a slot is given to another class only when no request holds it any more.

/// One slot.
#[derive(Debug, Clone)]
struct Slot<T> {
    name: String,
    spec: T,
    /// Whether new requests get it.
    current: bool,
    /// Requests that hold it.
    open: usize,
}

/// What a slot's learned evidence becomes when classes are replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heir {
    /// The slot is of a new class: evidence begins anew.
    New(usize),
    /// The slot `to` is of a class that changed: it begins with the evidence of `from`.
    Of {
        /// The slot of the class as it was.
        from: usize,
        /// The slot of the class as it is.
        to: usize,
    },
}

/// The classes in force and those with requests under way. Its length is the most classes that were in use at once.
#[derive(Debug, Clone)]
pub struct Book<T> {
    slots: Vec<Slot<T>>,
}

impl<T> Default for Book<T> {
    fn default() -> Self {
        Book { slots: Vec::new() }
    }
}

impl<T: Clone + PartialEq> Book<T> {
    /// Puts classes in the place of those in force. One that is as it was keeps its slot; one that changed gets
    /// another, since requests under way keep the old one.
    pub fn replace(&mut self, classes: Vec<(String, T)>) -> Vec<Heir> {
        let mut heirs = Vec::new();
        let old: Vec<(usize, String)> = self.current().map(|(at, name, _)| (at, name.to_string())).collect();
        for slot in &mut self.slots {
            slot.current = false;
        }
        // Slots that go on are marked first: none of them may be taken for free.
        let same = |slot: &Slot<T>, name: &str, spec: &T| slot.name == name && slot.spec == *spec;
        let mut rest = Vec::new();
        for (name, spec) in classes {
            let stays = old.iter().find(|(at, _)| same(&self.slots[*at], &name, &spec));
            match stays {
                Some(&(at, _)) => self.slots[at].current = true,
                None => rest.push((name, spec)),
            }
        }
        for (name, spec) in rest {
            let from = old.iter().find(|(_, n)| *n == name).map(|(at, _)| *at);
            // The slot of the class as it was may be taken again where no request holds it: evidence stays there.
            let free = |s: &Slot<T>| !s.current && s.open == 0;
            let own = from.filter(|at| free(&self.slots[*at]));
            let reserved = |at: usize| old.iter().any(|(o, _)| *o == at);
            let at = own.or_else(|| (0..self.slots.len()).find(|&at| free(&self.slots[at]) && !reserved(at)));
            let slot = Slot { name, spec, current: true, open: 0 };
            let to = match at {
                Some(at) => {
                    self.slots[at] = slot;
                    at
                }
                None => {
                    self.slots.push(slot);
                    self.slots.len() - 1
                }
            };
            match from {
                Some(from) if from == to => {}
                Some(from) => heirs.push(Heir::Of { from, to }),
                None => heirs.push(Heir::New(to)),
            }
        }
        heirs
    }

    /// The slot that a new request of this class gets.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.slots.iter().position(|s| s.current && s.name == name)
    }

    /// The class in a slot, also one that is no longer in force.
    pub fn get(&self, at: usize) -> Option<(&str, &T)> {
        self.slots.get(at).map(|s| (s.name.as_str(), &s.spec))
    }

    /// All slots in order, each with whether new requests get it.
    pub fn all(&self) -> impl Iterator<Item = (&str, &T, bool)> {
        self.slots.iter().map(|s| (s.name.as_str(), &s.spec, s.current))
    }

    /// The classes in force, by slot.
    pub fn current(&self) -> impl Iterator<Item = (usize, &str, &T)> {
        let slots = self.all().enumerate().filter(|(_, (.., current))| *current);
        slots.map(|(at, (name, spec, _))| (at, name, spec))
    }

    /// A request takes hold of its class.
    pub fn hold(&mut self, at: usize) {
        if let Some(slot) = self.slots.get_mut(at) {
            slot.open += 1;
        }
    }

    /// A request has ended.
    pub fn release(&mut self, at: usize) {
        if let Some(slot) = self.slots.get_mut(at) {
            slot.open -= 1;
        }
    }
}

#[cfg(test)]
mod tests;
