//! Stores out by hand. A store gets work only where the list, the operators and its own evidence each allow it; this
//! machine joins the list with the operators' word, and the decision module adds the evidence.
use larchway::{Host, Micros, ServerId, State};
use larchway_members::entry::store_id;
use larchway_members::Entry;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Stores that may be out by hand at once. At the bound a further call is told no: one that was said yes to and
/// forgotten would be worse.
pub const MOST_MARKS: usize = 4096;
/// Ids remembered of stores that have gone, the oldest forgotten first.
const MOST_GONE: usize = 4096;
/// µs for which the other process's word on the list holds without own news: the bulletin has told all by then.
const DOUBTED: Micros = 3_000_000;
/// µs for which the return of a store is kept, so that both processes of an upgrade treat it as cold. Stores are warm
/// long before.
const RETURNED: Micros = 600_000_000;

/// The operators' last word on a store.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Mark {
    /// The store's id.
    pub who: String,
    /// Whether it is out.
    pub down: bool,
    /// When that was said.
    pub at: Micros,
}

/// What happens.
#[derive(Debug, Clone)]
pub enum Input {
    /// News of the list.
    List {
        /// Whether the entries are the whole list.
        whole: bool,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// An operator calls a store out or back.
    Call {
        /// The store's id.
        who: String,
        /// Out or back.
        down: bool,
    },
    /// The word that another process of this gateway has, or that one has kept.
    Marks(Vec<Mark>),
    /// What another process of this gateway knows of the list: its stores, and whether each is to get work. Its news
    /// may be newer than the list that this one began with.
    Doubts(Vec<(String, bool)>),
    /// A time named by [`Cordon::next_due`] has come.
    Tick,
}

/// What an operator is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is so.
    Yes,
    /// Nobody has that id.
    Unknown,
    /// Too many are out.
    Full,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Tell the decision module of these.
    List {
        /// Whether they are all.
        whole: bool,
        /// The entries as they count.
        entries: Vec<Entry>,
    },
    /// Keep these marks, and tell the gateway's other process: they have changed. It comes before the verdict.
    Keep(Vec<Mark>),
    /// Tell the caller.
    Verdict(Verdict),
}

/// The machine.
#[derive(Debug, Clone, Default)]
pub struct Cordon {
    /// As listed.
    listed: BTreeMap<ServerId, Entry>,
    /// The last word on each store that is out or has come back lately; [`MOST_MARKS`] at most.
    marks: BTreeMap<ServerId, Mark>,
    /// Listed stores that another process knows as draining or gone, and until when that holds without own news of
    /// them. Only listed ones stand here.
    doubted: BTreeMap<ServerId, Micros>,
    /// Ids that were listed once, in the order in which they went; [`MOST_GONE`] at most.
    gone: VecDeque<ServerId>,
}

impl Cordon {
    /// Takes in what happens.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::List { whole, entries } => {
                // Own news is the newer word: doubts end with it.
                for entry in &entries {
                    self.doubted.remove(&entry.host.server);
                }
                let seen = entries.iter().map(|e| self.counts(e)).collect();
                self.list(whole, entries);
                out.push(Output::List { whole, entries: seen });
            }
            Input::Call { who, down } => {
                let verdict = self.call(now, who, down, out);
                out.push(Output::Verdict(verdict));
            }
            Input::Marks(marks) => {
                let told: Vec<ServerId> = marks.into_iter().filter_map(|mark| self.take(now, mark)).collect();
                // Both keep what both know: calls that came to two processes at once must not overwrite each other.
                if !told.is_empty() {
                    out.push(Output::Keep(self.marks.values().cloned().collect()));
                }
                self.tell(&told, out);
            }
            Input::Doubts(stores) => {
                let fit: BTreeSet<&str> = stores.iter().filter(|s| s.1).map(|s| s.0.as_str()).collect();
                let up = self.listed.values().filter(|e| e.host.state == State::Up);
                let doubted: Vec<ServerId> =
                    up.filter(|e| !fit.contains(e.name.as_str())).map(|e| e.host.server).collect();
                self.doubted.extend(doubted.iter().map(|id| (*id, now + DOUBTED)));
                self.tell(&doubted, out);
            }
            Input::Tick => {
                let over: Vec<ServerId> =
                    self.doubted.iter().filter(|(_, until)| **until <= now).map(|(id, _)| *id).collect();
                self.doubted.retain(|_, until| *until > now);
                self.tell(&over, out);
            }
        }
    }

    /// When a tick is wanted.
    pub fn next_due(&self) -> Option<Micros> {
        self.doubted.values().min().copied()
    }

    fn list(&mut self, whole: bool, entries: Vec<Entry>) {
        if whole {
            let named: BTreeSet<ServerId> = entries.iter().map(|e| e.host.server).collect();
            let gone: Vec<ServerId> = self.listed.keys().copied().filter(|id| !named.contains(id)).collect();
            gone.into_iter().for_each(|id| self.leave(id));
        }
        for entry in entries {
            let id = entry.host.server;
            if entry.host.state == State::Removed {
                self.leave(id);
            } else {
                self.listed.insert(id, entry);
                // It stands in the list again.
                self.gone.retain(|g| *g != id);
            }
        }
    }

    fn leave(&mut self, id: ServerId) {
        self.doubted.remove(&id);
        if self.listed.remove(&id).is_some() {
            self.gone.push_back(id);
            if self.gone.len() > MOST_GONE {
                self.gone.pop_front();
            }
        }
    }

    fn call(&mut self, now: Micros, who: String, down: bool, out: &mut Vec<Output>) -> Verdict {
        let id = store_id(&who);
        let named = |e: &Entry| e.name == who;
        let listed = self.listed.get(&id).is_some_and(named);
        let out_now = self.marks.get(&id).is_some_and(|m| m.down && m.who == who);
        // One that has gone takes its call back, so that its return is not barred for ever.
        let back = !down && (out_now || self.gone.contains(&id));
        if !listed && !back {
            return Verdict::Unknown;
        }
        if out_now == down {
            return Verdict::Yes;
        }
        if down && self.out().count() >= MOST_MARKS {
            return Verdict::Full;
        }
        // A word is never older than the one before it, whatever the clock does.
        let at = self.marks.get(&id).map_or(now, |m| now.max(m.at + 1));
        if self.take(now, Mark { who, down, at }).is_some() {
            out.push(Output::Keep(self.marks.values().cloned().collect()));
            self.tell(&[id], out);
        }
        Verdict::Yes
    }

    /// Takes in a mark, where it is newer than what is known of that store.
    fn take(&mut self, now: Micros, mark: Mark) -> Option<ServerId> {
        let id = store_id(&mark.who);
        // Of two words of one moment the one that takes the store out holds.
        let newer = |old: &Mark| (mark.at, mark.down) > (old.at, old.down);
        if !self.marks.get(&id).is_none_or(newer) {
            return None;
        }
        self.marks.insert(id, mark);
        self.marks.retain(|_, m| m.down || now < m.at + RETURNED);
        while self.marks.len() > MOST_MARKS {
            let oldest =
                self.marks.iter().filter(|(_, m)| !m.down).min_by_key(|(_, m)| m.at).map(|(&id, _)| id);
            let Some(oldest) = oldest else { break };
            self.marks.remove(&oldest);
        }
        Some(id)
    }

    /// An entry as it counts: out by hand is a drain, and one that came back has started then.
    fn counts(&self, entry: &Entry) -> Entry {
        if self.doubted.contains_key(&entry.host.server) && entry.host.state == State::Up {
            let host = Host { state: State::Draining, ..entry.host.clone() };
            return Entry { host, ..entry.clone() };
        }
        let Some(mark) = self.marks.get(&entry.host.server).filter(|m| m.who == entry.name) else {
            return entry.clone();
        };
        let host = match (mark.down, entry.host.state) {
            (true, State::Up) => Host { state: State::Draining, ..entry.host.clone() },
            (true, _) => entry.host.clone(),
            // Operators restart a store while it is out: its cold budget and its evidence begin anew.
            (false, _) => Host { started: entry.host.started.max(mark.at), ..entry.host.clone() },
        };
        Entry { host, ..entry.clone() }
    }

    fn tell(&self, ids: &[ServerId], out: &mut Vec<Output>) {
        let entries: Vec<Entry> =
            ids.iter().filter_map(|id| self.listed.get(id)).map(|e| self.counts(e)).collect();
        if !entries.is_empty() {
            out.push(Output::List { whole: false, entries });
        }
    }

    /// The operators' last words.
    pub fn marks(&self) -> impl Iterator<Item = &Mark> {
        self.marks.values()
    }

    /// The stores that are out by hand, listed or not.
    pub fn out(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.marks.iter().filter(|(_, m)| m.down).map(|(&id, _)| id)
    }

    /// Whether a store is in the list, draining ones among them.
    pub fn lists(&self, id: ServerId) -> bool {
        self.listed.contains_key(&id)
    }

    /// The listed stores, each with whether the list lets it have work.
    pub fn stores(&self) -> impl Iterator<Item = (&str, bool)> {
        self.listed.values().map(|e| {
            let fit = e.host.state == State::Up && !self.doubted.contains_key(&e.host.server);
            (e.name.as_str(), fit)
        })
    }

    /// How many stores are in the list.
    pub fn listed(&self) -> usize {
        self.listed.len()
    }
}
