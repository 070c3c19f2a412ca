//! The estimated load and the offload share of each store of the location.
use crate::load_estimate::LoadEstimate;
use crate::output::OffloadShare;
use crate::status::StoreStatus;
use crate::wire::StoreLoad;
use larchway::{mix, MonotonicTime, ServerId};
use std::collections::BTreeMap;

/// Greatest number of stores of a location with an estimate; further stores offload nothing.
pub const MAX_STORES: usize = 4096;
/// Ratio of a store's load to the mean up to which it is not corrected, since it may be noise in the reports.
const TOLERATED_LOAD_RATIO: f64 = 1.02;
/// Least excess load, relative to the mean, that is corrected in one step.
const MIN_EXCESS: f64 = -0.5;
/// Greatest excess load, relative to the mean, that is corrected in one step.
const MAX_EXCESS: f64 = 1.0;
/// Part of the excess by which the offload share changes each second. A change shows in reports only seconds later,
/// so a larger gain oscillates.
const OFFLOAD_GAIN_PER_S: f64 = 0.2;
/// Greatest share of its objects that a store offloads.
const MAX_OFFLOAD_SHARE: f64 = 0.6;
/// Mean load below which imbalance does no harm and is not corrected.
const MIN_MEAN_LOAD: f64 = 0.02;

/// The state of one store.
#[derive(Debug, Clone, Copy, Default)]
struct StoreState {
    estimate: LoadEstimate,
    /// The share of its objects that the store offloads at this gateway.
    offload_share: f64,
}

/// The mean load of the stores with a usable estimate.
#[derive(Debug, Clone, Copy)]
struct MeanLoad {
    load: f64,
    /// The number of stores with a usable estimate.
    stores: usize,
}

/// The stores of the location that are up, at most [`MAX_STORES`], ordered by number.
#[derive(Debug, Default)]
pub(crate) struct StoreEstimates {
    stores: BTreeMap<ServerId, StoreState>,
    /// Identifies the list of stores, so that gossip of another list is not merged.
    list_digest: u32,
}

impl StoreEstimates {
    pub(crate) fn list_digest(&self) -> u32 {
        self.list_digest
    }

    pub(crate) fn len(&self) -> usize {
        self.stores.len()
    }

    /// Replaces the list of stores. A store that was not in the previous list begins without an estimate and offloads
    /// nothing.
    pub(crate) fn replace_stores(&mut self, mut stores: Vec<ServerId>) {
        stores.sort_unstable();
        stores.truncate(MAX_STORES);
        let previous = std::mem::take(&mut self.stores);
        let state = |store| previous.get(store).copied().unwrap_or_default();
        self.stores = stores.iter().map(|store| (*store, state(store))).collect();
        self.list_digest = digest(&stores);
    }

    /// Adds a load report of a store; ignores that of an unknown store.
    pub(crate) fn record_report(&mut self, now: MonotonicTime, store: ServerId, load: f64) {
        if let Some(state) = self.stores.get_mut(&store) {
            state.estimate.record_report(now, load);
        }
    }

    /// Merges the estimates of a peer for the stores from `first_index` on.
    pub(crate) fn merge(&mut self, now: MonotonicTime, first_index: usize, entries: Vec<StoreLoad>) {
        let states = self.stores.values_mut().skip(first_index);
        for (state, entry) in states.zip(entries) {
            state.estimate.merge(now, entry.load, entry.weight);
        }
    }

    /// The estimates of at most `count` stores from `first_index` on, for gossip.
    pub(crate) fn entries(&self, now: MonotonicTime, first_index: usize, count: usize) -> Vec<StoreLoad> {
        let states = self.stores.values().skip(first_index).take(count);
        states
            .map(|state| StoreLoad { load: state.estimate.load(), weight: state.estimate.weight_at(now) })
            .collect()
    }

    /// The stores that report too rarely.
    pub(crate) fn stores_to_sample(&self, now: MonotonicTime) -> Vec<ServerId> {
        let rarely_reported = self.stores.iter().filter(|(_, state)| state.estimate.needs_sample(now));
        rarely_reported.map(|(store, _)| *store).collect()
    }

    /// The mean load of the stores with a usable estimate; 0 if there is none.
    pub(crate) fn mean_load(&self, now: MonotonicTime) -> f64 {
        self.mean(now).load
    }

    fn mean(&self, now: MonotonicTime) -> MeanLoad {
        let estimates = self.stores.values().map(|state| &state.estimate);
        let mut sum = 0.0;
        let mut stores = 0;
        for estimate in estimates.filter(|estimate| estimate.is_usable(now)) {
            sum += estimate.load();
            stores += 1;
        }
        MeanLoad { load: sum / stores.max(1) as f64, stores }
    }

    /// Increases the offload shares of stores above the mean load and decreases those of the others. `seconds` is the
    /// time since the last adjustment.
    pub(crate) fn adjust_offload(&mut self, now: MonotonicTime, seconds: f64) {
        let mean = self.mean(now);
        // Without estimates of a majority of the stores, the mean says little about the location.
        let has_majority = 2 * mean.stores > self.stores.len() && mean.stores > 1;
        let is_conclusive = has_majority && mean.load >= MIN_MEAN_LOAD;
        for state in self.stores.values_mut() {
            let is_correctable = is_conclusive && state.estimate.is_usable(now);
            state.adjust_offload(is_correctable.then_some(mean.load), seconds);
        }
    }

    /// The stores that offload objects, with their shares.
    pub(crate) fn offload_shares(&self) -> Vec<OffloadShare> {
        let offloading = self.stores.iter().filter(|(_, state)| state.offload_share > 0.0);
        offloading.map(|(store, state)| OffloadShare { store: *store, share: state.offload_share }).collect()
    }

    /// The status of each store for operators.
    pub(crate) fn status(&self, now: MonotonicTime) -> Vec<StoreStatus> {
        let status = |(store, state): (&ServerId, &StoreState)| StoreStatus {
            store: *store,
            load: state.estimate.load(),
            weight: state.estimate.weight_at(now),
            offload_share: state.offload_share,
        };
        self.stores.iter().map(status).collect()
    }
}

impl StoreState {
    /// Changes the offload share in proportion to the excess over the mean load. Without a mean to compare with, it
    /// decreases to 0: a store must not go on offloading because of an outdated estimate.
    fn adjust_offload(&mut self, mean_load: Option<f64>, seconds: f64) {
        let change = match mean_load {
            // The rule is the same in both directions, so that the share settles where the load is balanced.
            Some(mean_load) => {
                let excess = self.estimate.load() / mean_load - TOLERATED_LOAD_RATIO;
                excess.clamp(MIN_EXCESS, MAX_EXCESS) * OFFLOAD_GAIN_PER_S * seconds
            }
            None => -OFFLOAD_GAIN_PER_S * seconds,
        };
        let share = self.offload_share + change * (1.0 - self.offload_share);
        self.offload_share = share.clamp(0.0, MAX_OFFLOAD_SHARE);
    }
}

/// A digest of a list of stores.
fn digest(stores: &[ServerId]) -> u32 {
    stores.iter().fold(stores.len() as u64, |digest, store| mix(digest ^ mix(*store))) as u32
}
