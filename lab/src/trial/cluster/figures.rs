//! The figures of one variant, and the polls that find some of them.
use super::status::{sum_of_quotas, ClusterStatuses};
use super::world::World;
use larchway::Micros;
use serde_json::{json, Value};
use std::time::Duration;

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A gateway that runs, and is taken for dead by another.
#[derive(Debug, Clone, Copy)]
pub(super) struct FalseRemoval {
    pub by: usize,
    pub member: usize,
    /// ms of the script.
    pub ms: u64,
}

/// The load of cold stores in their busiest second, over what they could do then.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ColdPeaks {
    /// Of those that started while seven in ten gateways were dead.
    pub while_dead: f64,
    /// Of those that started while these returned.
    pub while_returning: f64,
}

/// Datagrams a second of one gateway, in the mean.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DatagramRates {
    pub calm: f64,
    /// With losses, pauses and cut links.
    pub faulty: f64,
}

/// What one variant showed. Times are ms since what caused them; none if it did not come about.
#[derive(Debug, Default)]
pub(super) struct Figures {
    pub name: &'static str,
    pub false_removals: Vec<FalseRemoval>,
    /// The largest sum of quotas in use at once, and how often it was looked at.
    pub largest_quota_sum: f64,
    pub samples: usize,
    /// All know that one gateway was killed.
    pub one_known: Option<u64>,
    /// All know that seven in ten were killed.
    pub most_known: Option<u64>,
    /// The rest has taken up their quotas.
    pub taken_up: Option<u64>,
    /// All know that they have returned, and all have a lease.
    pub returned: Option<u64>,
    pub datagrams: DatagramRates,
    /// The longest datagram, bytes.
    pub longest_datagram: u64,
    pub cold_peaks: ColdPeaks,
    /// Service over the worst 10 s.
    pub worst: f64,
    pub service: f64,
    /// Largest delay of a sender itself, µs: a sender that runs late voids the run.
    pub sender_delay: Micros,
}

impl Figures {
    /// Polls all gateways that are not paused until so many ms of the script have gone; returns when what is wanted
    /// held first. Those that are `gone` may be taken for dead.
    pub fn watch(
        &mut self,
        world: &World,
        until_ms: u64,
        gone: &[usize],
        paused: &[usize],
        wanted: impl Fn(&ClusterStatuses) -> bool,
    ) -> Option<u64> {
        let mut found = None;
        while world.elapsed_ms() < until_ms {
            let statuses = world.statuses(paused);
            self.samples += 1;
            self.largest_quota_sum = self.largest_quota_sum.max(sum_of_quotas(&statuses));
            self.note_false_removals(world, &statuses, gone);
            if found.is_none() && !statuses.is_empty() && wanted(&statuses) {
                found = Some(world.elapsed_ms());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        found
    }

    fn note_false_removals(&mut self, world: &World, statuses: &ClusterStatuses, gone: &[usize]) {
        for (by, status) in statuses {
            for member in status.dead_members.iter().filter(|member| !gone.contains(member)) {
                self.false_removals.push(FalseRemoval { by: *by, member: *member, ms: world.elapsed_ms() });
            }
        }
    }

    /// The figures as the trial writes them.
    pub fn json(&self) -> Value {
        json!({
            "way": self.name, "false_removals": self.false_removals.len(), "one_known_ms": self.one_known,
            "most_known_ms": self.most_known, "taken_up_ms": self.taken_up, "back_ms": self.returned,
            "most_shares": self.largest_quota_sum, "samples": self.samples,
            "cold": [self.cold_peaks.while_dead, self.cold_peaks.while_returning], "worst_10_s": self.worst,
            "service": self.service, "datagrams_calm": self.datagrams.calm, "datagrams_loss": self.datagrams.faulty,
            "longest": self.longest_datagram, "sender_behind_us": self.sender_delay,
        })
    }
}
