//! A shield for the origin: how many fills it gets, from each hub and from all, what is asked of it at once and how
//! often, and what it could not give of late. Writes are never behind fills: they are counted, and never held.
//!
//! The limit follows what the origin shows. Weighed: Vegas and gradient limiters (Netflix concurrency-limits) follow
//! latency alone and drift up with an origin that slows for all; plain AIMD on refusals hears of trouble too late for an
//! origin that stops. Taken: AIMD whose sign of trouble is a refusal, a failure, or an answer time over a multiple of the
//! least of late, decreased once per answer time at most, so that one burst is one sign.
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// The figures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Fills out at once at the beginning, at least, and at most, over all hubs.
    pub first: f64,
    /// See above.
    pub least: f64,
    /// See above.
    pub most: f64,
    /// Factor of a decrease.
    pub decrease: f64,
    /// An answer slower than the least of late times this is a sign of trouble.
    pub slow: f64,
    /// µs for which the least answer time counts.
    pub memory: Micros,
    /// Share of the limit that one hub may take while others want it too.
    pub hub_share: f64,
    /// µs between two fills of one object where they can't be joined.
    pub space: Micros,
    /// µs for which what the origin could not give is not asked for again.
    pub forget: Micros,
    /// Objects remembered; the oldest goes.
    pub objects: usize,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            first: 16.0,
            least: 2.0,
            most: 4096.0,
            decrease: 0.7,
            slow: 4.0,
            memory: 10_000_000,
            hub_share: 0.6,
            space: 200_000,
            forget: 1_000_000,
            objects: 65_536,
        }
    }
}

/// What becomes of a fill that is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It goes out; tell how it ended by [`Shield::ended`].
    Go,
    /// The same object is on its way: wait for it, where joining is allowed.
    Join,
    /// The limit is reached: come back after so long.
    Full(Micros),
    /// It was asked for a moment ago: come back after so long.
    Spaced(Micros),
    /// The origin could not give it of late: come back after so long.
    Barren(Micros),
}

/// How a fill ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It came.
    Came,
    /// The origin has no such object.
    Nothing,
    /// The origin refused, failed or ran out of time.
    Trouble,
    /// It was given up from this side; that says nothing of the origin.
    GivenUp,
    /// The origin was not asked: a cache or a parent held the object. Nothing is remembered of it.
    Unasked,
}

#[derive(Debug, Clone, Copy)]
struct Object {
    out: u32,
    began: Micros,
    barren: Option<Micros>,
}

/// The shield of one gateway.
#[derive(Debug, Clone)]
pub struct Shield {
    terms: Terms,
    limit: f64,
    /// Fills out, by hub; and writes, which only count.
    out: BTreeMap<String, u32>,
    writes: u32,
    /// Objects asked for of late, at most [`Terms::objects`], and their order.
    objects: BTreeMap<u64, Object>,
    order: VecDeque<u64>,
    /// Least answer time of late, and when it was seen; the one before, while a new one is looked for.
    least: [(Micros, Micros); 2],
    decreased: Micros,
    /// Gateways that share the origin.
    gateways: u64,
    /// Fills turned away, by what they were told.
    pub turned_away: u64,
}

impl Shield {
    /// A shield that has seen nothing, of one of so many gateways.
    pub fn new(terms: Terms, gateways: u64) -> Self {
        Shield {
            limit: (terms.first / gateways.max(1) as f64).max(1.0),
            terms,
            out: BTreeMap::new(),
            writes: 0,
            objects: BTreeMap::new(),
            order: VecDeque::new(),
            least: [(Micros::MAX, 0); 2],
            decreased: 0,
            gateways: gateways.max(1),
            turned_away: 0,
        }
    }

    /// The number of live gateways has changed; each has its part of the bounds.
    pub fn shared_by(&mut self, gateways: u64) {
        let gateways = gateways.max(1);
        self.limit = (self.limit * self.gateways as f64 / gateways as f64).max(1.0);
        self.gateways = gateways;
    }

    /// Its figures.
    pub fn terms(&self) -> Terms {
        self.terms
    }

    /// Fills that may be out at once from here.
    pub fn limit(&self) -> u32 {
        (self.limit.floor() as u32).max(1)
    }

    /// Fills out from here.
    pub fn out(&self) -> u32 {
        self.out.values().sum()
    }

    /// Objects remembered.
    pub fn remembered(&self) -> usize {
        self.objects.len()
    }

    /// The usual answer time of late: the least one.
    pub fn usual(&self) -> Option<Micros> {
        let least = self.least[0].0.min(self.least[1].0);
        (least < Micros::MAX).then_some(least)
    }

    /// A write goes to the origin, whatever the fills do.
    pub fn write(&mut self, begins: bool) {
        self.writes = if begins { self.writes + 1 } else { self.writes.saturating_sub(1) };
    }

    /// Why a fill of an object would be turned away now, whichever hub it goes through, or that it would join one that
    /// runs; none if it may go.
    pub fn look(&self, now: Micros, object: u64, may_join: bool) -> Option<Verdict> {
        let terms = self.terms;
        if let Some(known) = self.objects.get(&object) {
            if let Some(at) = known.barren.filter(|at| now < at + terms.forget) {
                return Some(Verdict::Barren(at + terms.forget - now));
            }
            if known.out > 0 && may_join {
                return Some(Verdict::Join);
            }
            if now < known.began + terms.space {
                return Some(Verdict::Spaced(known.began + terms.space - now));
            }
        }
        let full = self.out() + self.writes >= self.limit();
        // Writes go first: what they take, fills have not.
        full.then(|| self.full())
    }

    fn full(&self) -> Verdict {
        Verdict::Full(self.usual().unwrap_or(100_000).max(1000))
    }

    /// A fill of an object through a hub is wanted.
    pub fn want(&mut self, now: Micros, hub: &str, object: u64, may_join: bool) -> Verdict {
        let terms = self.terms;
        match self.look(now, object, may_join) {
            Some(Verdict::Join) => return Verdict::Join,
            Some(verdict) => {
                self.turned_away += 1;
                return verdict;
            }
            None => {}
        }
        let limit = self.limit();
        let own = self.out.get(hub).copied().unwrap_or(0);
        // A hub alone may take it all; beside others it leaves them room.
        let others = self.out.iter().any(|(name, n)| name != hub && *n > 0);
        let most = if others { ((f64::from(limit) * terms.hub_share).ceil() as u32).max(1) } else { limit };
        if own >= most {
            self.turned_away += 1;
            return self.full();
        }
        *self.out.entry(hub.to_string()).or_default() += 1;
        if !self.objects.contains_key(&object) {
            self.order.push_back(object);
            while self.order.len() > terms.objects.max(1) {
                self.drop_oldest();
            }
        }
        let entry = self.objects.entry(object).or_insert(Object { out: 0, began: now, barren: None });
        (entry.out, entry.began, entry.barren) = (entry.out + 1, now, None);
        Verdict::Go
    }

    fn drop_oldest(&mut self) {
        // One that is on its way is kept: it would be asked for twice.
        for _ in 0..self.order.len() {
            let Some(oldest) = self.order.pop_front() else { return };
            if self.objects.get(&oldest).is_some_and(|o| o.out > 0) {
                self.order.push_back(oldest);
            } else {
                self.objects.remove(&oldest);
                return;
            }
        }
    }

    /// A fill that went out has ended, after so long.
    pub fn ended(&mut self, now: Micros, hub: &str, object: u64, end: End, took: Micros) {
        let used = 2 * (self.out() + self.writes) >= self.limit();
        if let Some(n) = self.out.get_mut(hub) {
            *n = n.saturating_sub(1);
            if *n == 0 {
                self.out.remove(hub);
            }
        }
        if let Some(known) = self.objects.get_mut(&object) {
            known.out = known.out.saturating_sub(1);
            if matches!(end, End::Nothing | End::Trouble) {
                known.barren = Some(now);
            }
        }
        let usual = self.usual();
        match end {
            End::GivenUp => {}
            End::Unasked => {
                // Its place in the order stays behind, so that what is remembered is that of the last wants.
                if self.objects.get(&object).is_some_and(|known| known.out == 0) {
                    self.objects.remove(&object);
                }
            }
            End::Trouble => self.decrease(now, took),
            End::Came | End::Nothing => {
                if usual.is_some_and(|usual| took as f64 > usual.max(1000) as f64 * self.terms.slow) {
                    self.decrease(now, took);
                } else if used {
                    // A limit that is hardly used has not shown that it is not too high.
                    let share = self.gateways as f64;
                    self.limit =
                        (self.limit + 1.0 / self.limit.max(1.0)).min((self.terms.most / share).max(1.0));
                }
                self.note(now, took);
            }
        }
    }

    /// Remembers the least answer time over the last one to two spans.
    fn note(&mut self, now: Micros, took: Micros) {
        if now >= self.least[0].1 + self.terms.memory {
            self.least = [(Micros::MAX, now), self.least[0]];
            if now >= self.least[1].1 + 2 * self.terms.memory {
                self.least[1].0 = Micros::MAX;
            }
        }
        self.least[0].0 = self.least[0].0.min(took);
    }

    fn decrease(&mut self, now: Micros, took: Micros) {
        // What was out together shows one trouble together.
        if now < self.decreased + took.max(1) {
            return;
        }
        self.decreased = now;
        let least = (self.terms.least / self.gateways as f64).max(1.0);
        self.limit = (self.limit * self.terms.decrease).max(least);
    }
}
