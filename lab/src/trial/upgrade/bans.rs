//! Times in which a store was to get nothing new, and requests that came to it all the same; and writes that ran twice.
use super::world::World;
use crate::stand::store::Seen;
use larchway::Micros;
use std::collections::BTreeMap;

/// µs after the notice from which nothing new may go to the store.
const GRACE: Micros = 1_050_000;

/// Why a store was to get nothing new.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BanReason {
    /// An operator took it out.
    OutByHand,
    /// The list has it drained.
    Draining,
}

impl BanReason {
    const fn text(self) -> &'static str {
        match self {
            BanReason::OutByHand => "out by hand",
            BanReason::Draining => "draining",
        }
    }
}

/// A time in which a store was to get nothing new, µs of the Unix clock.
#[derive(Debug, Clone)]
pub(super) struct Ban {
    pub store: &'static str,
    pub from: Micros,
    pub until: Micros,
    pub reason: BanReason,
}

impl Ban {
    /// Whether a request that came to a store breaks it: by the store itself, or by the source that it names.
    fn is_broken_by(&self, store: &str, request: &Seen) -> bool {
        let concerns = self.store == store || request.source.as_deref() == Some(self.store);
        concerns && request.at > self.from + GRACE && request.at < self.until
    }
}

/// The bans that were broken, a line for each request.
pub(super) fn broken_bans(world: &World, bans: &[Ban]) -> Vec<String> {
    let mut broken = Vec::new();
    for (name, classed) in &world.stores {
        for request in classed.store.seen() {
            if let Some(ban) = bans.iter().find(|ban| ban.is_broken_by(name, &request)) {
                let late_ms = (request.at - ban.from) / 1000;
                broken.push(format!(
                    "{}: {}, and asked {late_ms} ms after the word",
                    ban.store,
                    ban.reason.text()
                ));
            }
        }
    }
    broken
}

/// Writes that ran more than once, by their idempotency keys.
pub(super) fn count_doubled_writes(world: &World) -> usize {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    let requests = world.stores.values().flat_map(|classed| classed.store.seen());
    for key in requests.filter_map(|request| request.replay) {
        *runs.entry(key).or_default() += 1;
    }
    runs.values().filter(|runs| **runs > 1).count()
}
