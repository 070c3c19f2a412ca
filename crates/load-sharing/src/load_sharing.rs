//! The load sharing of one gateway: exchanges load estimates with peers and computes the offload shares of stores.
use crate::input::Input;
use crate::output::Output;
use crate::random::Random;
use crate::spread_file::SpreadFile;
use crate::status::Status;
use crate::store_estimates::StoreEstimates;
use crate::tier_position::TierPosition;
use crate::wire::{LoadSummary, MAX_ENTRIES};
use larchway::{duration_micros, mix, MonotonicTime};
use std::time::Duration;

/// ms in a second.
const MS_PER_SECOND: f64 = 1_000.0;

/// Numbers of datagrams since the start.
#[derive(Debug, Default)]
struct DatagramCounts {
    sent: u64,
    received: u64,
    rejected: u64,
}

/// The load sharing of one gateway.
#[derive(Debug)]
pub struct LoadSharing {
    settings: SpreadFile,
    estimates: StoreEstimates,
    zone: u8,
    position: TierPosition,
    /// The number of gateways among which the budget of load samples is divided.
    quota_divisor: u64,
    random: Random,
    next_round_at: MonotonicTime,
    /// Number of rounds in which a summary was sent.
    rounds_sent: u64,
    /// Whether any store offloaded objects in the last round.
    is_offloading: bool,
    datagrams: DatagramCounts,
}

impl LoadSharing {
    /// The load sharing of the gateway at `position` in `zone`, without any estimate.
    pub fn new(
        now: MonotonicTime,
        settings: SpreadFile,
        zone: usize,
        position: TierPosition,
        seed: u64,
    ) -> Self {
        // A random delay of the first round keeps gateways that start together from sending at the same time.
        let delay = Duration::from_micros(mix(seed) % duration_micros(settings.period()));
        let next_round_at = now + delay;
        LoadSharing {
            settings,
            estimates: StoreEstimates::default(),
            zone: zone as u8,
            position,
            quota_divisor: 1,
            random: Random::new(seed),
            next_round_at,
            rounds_sent: 0,
            is_offloading: false,
            datagrams: DatagramCounts::default(),
        }
    }

    /// Replaces the settings and the position; the estimates are kept.
    pub fn configure(&mut self, settings: SpreadFile, position: TierPosition) {
        self.settings = settings;
        self.position = position;
    }

    /// When the next [`Input::Tick`] is due.
    pub fn next_due(&self) -> MonotonicTime {
        self.next_round_at
    }

    /// Handles an event and appends the resulting actions to `outputs`.
    pub fn handle(&mut self, now: MonotonicTime, input: Input<'_>, outputs: &mut Vec<Output>) {
        match input {
            Input::StoresChanged { stores, quota_divisor } => {
                self.quota_divisor = quota_divisor.max(1);
                self.estimates.replace_stores(stores);
            }
            Input::LoadReport { store, load } => self.estimates.record_report(now, store, load),
            Input::Datagram(body) => self.receive(now, body),
            Input::Tick if now >= self.next_round_at => self.run_round(now, outputs),
            Input::Tick => {}
        }
    }

    /// The status for operators.
    pub fn status(&self, now: MonotonicTime) -> Status {
        Status {
            mean: self.estimates.mean_load(now),
            sent: self.datagrams.sent,
            received: self.datagrams.received,
            rejected: self.datagrams.rejected,
            stores: self.estimates.status(now),
        }
    }

    /// Merges a summary of the same zone and list of stores; any other datagram is rejected.
    fn receive(&mut self, now: MonotonicTime, body: &[u8]) {
        match LoadSummary::decode(body) {
            Some(summary) if self.matches_own_stores(&summary) => {
                self.datagrams.received += 1;
                self.estimates.merge(now, usize::from(summary.first_index), summary.entries);
            }
            _ => self.datagrams.rejected += 1,
        }
    }

    fn matches_own_stores(&self, summary: &LoadSummary) -> bool {
        summary.zone == self.zone && summary.list_digest == self.estimates.list_digest()
    }

    fn run_round(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        self.next_round_at = now + self.settings.period();
        self.estimates.adjust_offload(now, self.period_seconds());
        outputs.extend(self.changed_offload_shares());
        self.send_summary(now, outputs);
        self.request_samples(now, outputs);
    }

    fn period_seconds(&self) -> f64 {
        self.settings.period_ms as f64 / MS_PER_SECOND
    }

    /// The offload shares; `None` if no store offloads objects now or did in the last round.
    fn changed_offload_shares(&mut self) -> Option<Output> {
        let shares = self.estimates.offload_shares();
        let was_offloading = std::mem::replace(&mut self.is_offloading, !shares.is_empty());
        (was_offloading || self.is_offloading).then_some(Output::OffloadShares(shares))
    }

    /// Sends estimates to random peers. If they do not fit into one datagram, each round sends the next part.
    fn send_summary(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        if self.estimates.len() == 0 || !self.position.has_peers() {
            return;
        }
        let body = self.next_summary(now).encode();
        for _ in 0..self.settings.fanout {
            let peer = self.position.peer_at(self.random.fraction());
            self.datagrams.sent += 1;
            outputs.push(Output::Send { peer, body: body.clone() });
        }
    }

    fn next_summary(&mut self, now: MonotonicTime) -> LoadSummary {
        let part_count = self.estimates.len().div_ceil(MAX_ENTRIES);
        let first_index = (self.rounds_sent as usize % part_count) * MAX_ENTRIES;
        self.rounds_sent += 1;
        LoadSummary {
            zone: self.zone,
            list_digest: self.estimates.list_digest(),
            first_index: first_index as u16,
            entries: self.estimates.entries(now, first_index, MAX_ENTRIES),
        }
    }

    /// Requests load reports from stores that report rarely. Each gateway samples a store with a probability that makes
    /// all gateways together use the location's budget on average, without coordination. The results reach the other
    /// gateways by gossip.
    fn request_samples(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        let period_ms = self.settings.period_ms as f64;
        let samples_per_store = self.settings.probes_per_s * period_ms / MS_PER_SECOND;
        let probability = samples_per_store / self.quota_divisor as f64;
        if probability <= 0.0 {
            return;
        }
        for store in self.estimates.stores_to_sample(now) {
            if self.random.fraction() <= probability {
                outputs.push(Output::SampleLoad(store));
            }
        }
    }
}
