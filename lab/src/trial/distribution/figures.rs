//! What a case measured: its figures, their table, and the bounds that must hold.
use super::observer::Samples;
use super::spent::Spent;
use super::world::{FaultEnd, GroupSeen, World};
use super::{Case, FIRST_EVENTS, GATEWAYS, SPAN};
use hdrhistogram::Histogram;
use larchway::Micros;
use larchway_distribution::EventNumber;
use serde::Serialize;
use std::time::Duration;

/// Longest delay that is distinguished, µs.
const LONGEST_DELAY: Micros = 60_000_000;
/// Within this each purge, and each change of the list, must be applied everywhere, µs.
const PURGE_BOUND: Micros = 9_100_000;
const LIST_BOUND: Micros = 4_000_000;

/// The figures of a case. Times are in ms; bytes and processor time of the complete case, that of stragglers
/// included, are divided by the time for which events were published. What could not be received during a cut, a
/// pause or an absence counts from its end.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Figures {
    case: String,
    followers: usize,
    gateways: usize,
    rate: u64,
    events: usize,
    purge_p50: f64,
    purge_p99: f64,
    purge_max: f64,
    list_max: f64,
    /// The same of real gateways, too long by the time between two looks at most.
    gateway_purge_max: f64,
    gateway_list_max: f64,
    gateway_lag_max: u64,
    /// Events that not all followers and gateways applied.
    incomplete: usize,
    gaps: u64,
    /// Gateways whose cursor went back.
    out_of_order: usize,
    dials: u64,
    bytes_a_follower_per_s: f64,
    cpu_us_a_follower_per_s: f64,
    bytes_a_gateway_per_s: f64,
    cpu_per_mille_a_gateway: f64,
    source_bytes_per_s: f64,
    source_cpu_per_mille: f64,
    relay_bytes_per_s: f64,
    relay_cpu_per_mille: f64,
    /// Where a fault has ended.
    recovery: Option<Recovery>,
}

/// What followed the end of a fault.
#[derive(Debug, Clone, Serialize)]
struct Recovery {
    /// Time until all had applied what was published before, ms; none if they never did.
    caught_up_ms: Option<f64>,
    /// For so long the following was counted, ms.
    span_ms: f64,
    source_bytes: u64,
    source_cpu_ms: f64,
    /// Of all relays together.
    relay_bytes: u64,
    relay_cpu_ms: f64,
}

/// When an event was published and applied, and from when that counts.
struct Applications<'a> {
    seen: &'a [GroupSeen],
    samples: &'a [Samples],
    fault_end: Option<&'a FaultEnd>,
    /// Whether the fault is felt by those behind links alone.
    links_only: bool,
}

impl Applications<'_> {
    /// Of an event that was published then. What was applied before the fault's end was not held up by it.
    fn delay(&self, published: Micros, applied: Micros, behind_links: bool) -> Micros {
        let felt = self.fault_end.filter(|end| applied >= end.at && (behind_links || !self.links_only));
        applied.saturating_sub(felt.map_or(published, |end| published.max(end.at)))
    }

    /// The largest delay of a hollow follower.
    fn follower_delay(&self, number: EventNumber, published: Micros) -> Micros {
        let delay = |group: &GroupSeen| {
            let applied = group.seen.applied.get(&number)?;
            Some(self.delay(published, applied.last, group.behind_links))
        };
        self.seen.iter().filter_map(delay).max().unwrap_or(0)
    }

    /// The largest delay of a real gateway.
    fn gateway_delay(&self, number: EventNumber, published: Micros) -> Micros {
        let delay = |samples: &Samples| {
            let applied = samples.applied_at(number)?;
            Some(self.delay(published, applied, samples.behind_links))
        };
        self.samples.iter().filter_map(delay).max().unwrap_or(0)
    }

    fn is_complete(&self, number: EventNumber, followers: usize) -> bool {
        let applied = self.seen.iter().filter_map(|group| group.seen.applied.get(&number));
        let applied: usize = applied.map(|applied| applied.followers).sum();
        applied >= followers && self.samples.iter().all(|samples| samples.applied_at(number).is_some())
    }

    /// When the last one had applied an event.
    fn last_applied(&self, number: EventNumber, followers: usize) -> Option<Micros> {
        let last = self.seen.iter().filter_map(|group| Some(group.seen.applied.get(&number)?.last)).max()?;
        let gateways = self.samples.iter().filter_map(|samples| samples.applied_at(number)).max()?;
        self.is_complete(number, followers).then_some(last.max(gateways))
    }
}

/// The delays of all events, µs, and how many events were not applied by all.
struct Delays {
    /// Of purges, at hollow followers.
    purges: Histogram<u64>,
    list_max: Micros,
    gateway_purge_max: Micros,
    gateway_list_max: Micros,
    incomplete: usize,
}

impl Delays {
    fn of(case: &Case, sent: &[Micros], applications: &Applications) -> Self {
        let purges = Histogram::new_with_bounds(1, LONGEST_DELAY, 3).expect("bounds that fit");
        let mut delays =
            Delays { purges, list_max: 0, gateway_purge_max: 0, gateway_list_max: 0, incomplete: 0 };
        for (number, published) in (1..).zip(sent).skip(FIRST_EVENTS as usize) {
            delays.incomplete += usize::from(!applications.is_complete(number, case.followers));
            let delay = applications.follower_delay(number, *published);
            let gateway_delay = applications.gateway_delay(number, *published);
            if (number - 1 - FIRST_EVENTS).is_multiple_of(case.rate) {
                delays.list_max = delays.list_max.max(delay);
                delays.gateway_list_max = delays.gateway_list_max.max(gateway_delay);
            } else {
                delays.purges.saturating_record(delay.max(1));
                delays.gateway_purge_max = delays.gateway_purge_max.max(gateway_delay);
            }
        }
        delays
    }
}

/// Works the figures out; `spent` is of the complete case.
pub(super) fn measure(
    case: &Case,
    sent: &[Micros],
    fault_end: &Option<FaultEnd>,
    seen: &[GroupSeen],
    samples: &[Samples],
    spent: &Spent,
) -> Figures {
    let links_only = case.fault == super::Fault::RegionCut;
    let applications = Applications { seen, samples, fault_end: fault_end.as_ref(), links_only };
    let delays = Delays::of(case, sent, &applications);
    let seconds = SPAN.as_secs_f64();
    let per_mille = |spent: Duration| spent.as_secs_f64() * 1000.0 / seconds;
    let read: u64 = seen.iter().map(|group| group.seen.bytes).sum();
    let (followers, gateways) = (case.followers as f64, GATEWAYS as f64);
    let relays = World::relays(case) as f64;
    let follower_gaps: u64 = seen.iter().map(|group| group.seen.gaps).sum();
    Figures {
        case: case.name.to_string(),
        followers: case.followers,
        gateways: GATEWAYS,
        rate: case.rate,
        events: sent.len(),
        purge_p50: ms(delays.purges.value_at_quantile(0.5)),
        purge_p99: ms(delays.purges.value_at_quantile(0.99)),
        purge_max: ms(delays.purges.max()),
        list_max: ms(delays.list_max),
        gateway_purge_max: ms(delays.gateway_purge_max),
        gateway_list_max: ms(delays.gateway_list_max),
        gateway_lag_max: samples.iter().map(Samples::largest_lag_ms).max().unwrap_or(0),
        incomplete: delays.incomplete,
        gaps: follower_gaps + samples.iter().map(Samples::gaps).sum::<u64>(),
        out_of_order: samples.iter().filter(|samples| !samples.in_order()).count(),
        dials: seen.iter().map(|group| group.seen.dials).sum(),
        bytes_a_follower_per_s: read as f64 / followers / seconds,
        cpu_us_a_follower_per_s: spent.follower_cpu.as_micros() as f64 / followers / seconds,
        bytes_a_gateway_per_s: spent.gateway_bytes as f64 / gateways / seconds,
        cpu_per_mille_a_gateway: per_mille(spent.gateway_cpu) / gateways,
        source_bytes_per_s: spent.source_bytes as f64 / seconds,
        source_cpu_per_mille: per_mille(spent.source_cpu),
        relay_bytes_per_s: spent.relay_bytes as f64 / relays / seconds,
        relay_cpu_per_mille: per_mille(spent.relay_cpu) / relays,
        recovery: fault_end.as_ref().map(|end| recovery(end, &applications, case.followers)),
    }
}

fn recovery(end: &FaultEnd, applications: &Applications, followers: usize) -> Recovery {
    let last_applied = applications.last_applied(end.last, followers);
    Recovery {
        caught_up_ms: last_applied.map(|at| ms(at.saturating_sub(end.at))),
        span_ms: end.elapsed.as_secs_f64() * 1000.0,
        source_bytes: end.spent.source_bytes,
        source_cpu_ms: end.spent.source_cpu.as_secs_f64() * 1000.0,
        relay_bytes: end.spent.relay_bytes,
        relay_cpu_ms: end.spent.relay_cpu.as_secs_f64() * 1000.0,
    }
}

fn ms(micros: Micros) -> f64 {
    micros as f64 / 1000.0
}

impl Figures {
    /// The bounds that are broken.
    pub fn broken(&self) -> Vec<String> {
        let case = &self.case;
        let mut broken = Vec::new();
        let mut bound = |what: &str, value: f64, most: Micros| {
            let most = ms(most);
            if value > most {
                broken.push(format!("{case}: {what} took {value:.0} ms, over {most:.0}"));
            }
        };
        bound("a purge", self.purge_max, PURGE_BOUND);
        bound("a purge at a gateway", self.gateway_purge_max, PURGE_BOUND);
        bound("a change of the list", self.list_max, LIST_BOUND);
        bound("a change of the list at a gateway", self.gateway_list_max, LIST_BOUND);
        if self.incomplete > 0 {
            broken.push(format!("{case}: {} events were not applied by all", self.incomplete));
        }
        if self.gaps > 0 {
            broken.push(format!("{case}: {} gaps, though nothing was out of the logs", self.gaps));
        }
        if self.out_of_order > 0 {
            broken.push(format!("{case}: the cursors of {} gateways went back", self.out_of_order));
        }
        broken
    }

    /// The line of the table.
    pub fn row(&self) -> String {
        let caught_up = self.recovery.as_ref().and_then(|recovery| recovery.caught_up_ms);
        format!(
            "{:<13} {:>9} {:>6} {:>6} | {:>7.0} {:>7.0} {:>7.0} {:>7.0} | {:>8.0} {:>8.0} {:>7} \
             {:>9} | {:>10} {:>5} {:>6} | {:>8.0} {:>8.0} | {:>7.0} {:>6.1} | \
             {:>10.0} {:>7.1} | {:>10.0} {:>7.1}",
            self.case,
            self.followers,
            self.rate,
            self.events,
            self.purge_p50,
            self.purge_p99,
            self.purge_max,
            self.list_max,
            self.gateway_purge_max,
            self.gateway_list_max,
            self.gateway_lag_max,
            caught_up.map_or_else(|| "-".to_string(), |time| format!("{time:.0}")),
            self.incomplete,
            self.gaps,
            self.dials,
            self.bytes_a_follower_per_s,
            self.cpu_us_a_follower_per_s,
            self.bytes_a_gateway_per_s,
            self.cpu_per_mille_a_gateway,
            self.source_bytes_per_s,
            self.source_cpu_per_mille,
            self.relay_bytes_per_s,
            self.relay_cpu_per_mille
        )
    }
}

/// The head of the table. `gw` is a real gateway, `each` a hollow follower.
pub(super) fn header() -> String {
    format!(
        "{:<13} {:>9} {:>6} {:>6} | {:>7} {:>7} {:>7} {:>7} | {:>8} {:>8} {:>7} {:>9} | {:>10} \
         {:>5} {:>6} | {:>8} {:>8} | {:>7} {:>6} | {:>10} {:>7} | {:>10} {:>7}\n",
        "case",
        "followers",
        "rate/s",
        "events",
        "p50 ms",
        "p99 ms",
        "max ms",
        "list ms",
        "gw max",
        "gw list",
        "gw lag",
        "caught up",
        "incomplete",
        "gaps",
        "dials",
        "B/s each",
        "us/s each",
        "gw B/s",
        "cpu ‰",
        "source B/s",
        "cpu ‰",
        "relay B/s",
        "cpu ‰"
    )
}
