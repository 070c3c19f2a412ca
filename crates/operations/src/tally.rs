//! The figures that operators read: counted where the event happens, and nowhere a second time.
use std::collections::BTreeMap;
use std::fmt::Write;

/// Classes of which counts are kept. Beyond it new names are counted under [`OTHER`], so that weeks of renamed
/// classes take no more memory than this.
const MOST: usize = 1000;
/// The name under which classes beyond [`MOST`] are counted.
const OTHER: &str = "other";

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It was served.
    Passed,
    /// It was refused: trying again is harmless.
    Dropped,
    /// It failed, or its client left before its answer.
    BadGateway,
}

/// Ended requests of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Served.
    pub passed: u64,
    /// Refused.
    pub dropped: u64,
    /// Failed.
    pub bad_gateway: u64,
}

/// What is not counted here but asked of its owner when the figures are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Gauges {
    /// Stores in the list.
    pub known_stores: usize,
    /// Listed stores that are avoided now.
    pub skipped_stores: usize,
}

/// Counts since the process began.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    classes: BTreeMap<String, Counts>,
    taken: u64,
    ended: u64,
    tries: u64,
    loads: u64,
    load_errors: u64,
}

/// A class's name as it stands in a line: what would end the name or the line is written as `%` and two hexadecimal
/// digits, as in RFC 3986; letters beyond ASCII stay.
pub fn escaped(name: &str) -> String {
    let mut out = String::new();
    for c in name.chars() {
        match c {
            ':' | '|' | '@' | '#' | '%' | '.' => {
                let _ = write!(out, "%{:02X}", u32::from(c));
            }
            c if c.is_whitespace() || c.is_control() => {
                let mut bytes = [0; 4];
                for byte in c.encode_utf8(&mut bytes).bytes() {
                    let _ = write!(out, "%{byte:02X}");
                }
            }
            c => out.push(c),
        }
    }
    out
}

impl Tally {
    /// Names the classes in force: each is reported from now on, also while nothing came of it.
    pub fn declare<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        for name in names {
            self.counts(name);
        }
    }

    fn counts(&mut self, name: &str) -> &mut Counts {
        let known = self.classes.contains_key(name);
        let name = if known || self.classes.len() < MOST { name } else { OTHER };
        // The lookup comes first: a request should not cost an allocation for its class's name.
        if !known && !self.classes.contains_key(name) {
            self.classes.insert(name.to_string(), Counts::default());
        }
        self.classes.get_mut(name).expect("it was put there")
    }

    /// A request was taken.
    pub fn taken(&mut self) {
        self.taken += 1;
    }

    /// A request that was taken has ended.
    pub fn ended(&mut self, class: &str, end: End) {
        self.ended += 1;
        let counts = self.counts(class);
        match end {
            End::Passed => counts.passed += 1,
            End::Dropped => counts.dropped += 1,
            End::BadGateway => counts.bad_gateway += 1,
        }
    }

    /// An attempt was written whole to a store.
    pub fn tried(&mut self) {
        self.tries += 1;
    }

    /// So many files were read again; whether they were taken.
    pub fn read(&mut self, files: u64, taken: bool) {
        *(if taken { &mut self.loads } else { &mut self.load_errors }) += files;
    }

    /// Requests taken and not ended.
    pub fn in_progress(&self) -> u64 {
        self.taken - self.ended
    }

    /// Requests taken.
    pub fn all_taken(&self) -> u64 {
        self.taken
    }

    /// The counts of a class.
    pub fn of(&self, class: &str) -> Counts {
        self.classes.get(class).copied().unwrap_or_default()
    }

    /// All classes with their counts.
    pub fn classes(&self) -> impl Iterator<Item = (&str, Counts)> {
        self.classes.iter().map(|(name, counts)| (name.as_str(), *counts))
    }

    /// All figures as lines of StatsD: `|c` counts since the process began, `|g` is as it is now.
    pub fn report(&self, gauges: Gauges) -> String {
        let mut out = String::new();
        for (name, counts) in &self.classes {
            let name = escaped(name);
            let _ = write!(
                out,
                "svc.passed.{name}:{}|c\nsvc.dropped.{name}:{}|c\nsvc.bad_gateway.{name}:{}|c\n",
                counts.passed, counts.dropped, counts.bad_gateway
            );
        }
        let _ = write!(
            out,
            "svc.upstream_tries:{}|c\nsvc.in_progress:{}|g\nsvc.known_stores:{}|g\nsvc.skipped_stores:{}|g\n\
             svc.loads:{}|c\nsvc.load_errors:{}|c\n",
            self.tries,
            self.in_progress(),
            gauges.known_stores,
            gauges.skipped_stores,
            self.loads,
            self.load_errors
        );
        out
    }
}

#[cfg(test)]
mod tests;
