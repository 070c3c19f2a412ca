//! The numbers of live gateways: against a naive model that looks at all that ever held, and at the bound.
use larchway_members::peers::{Peers, HOLD, MOST_GATEWAYS};
use proptest::prelude::*;
use std::collections::BTreeMap;

const START: u64 = 1_000_000_000;

#[derive(Debug, Clone)]
enum Step {
    Here(usize, usize),
    Gone(usize),
    Reread,
    Whole,
}

/// All numbers that ever held, with the times from which and until which they did.
#[derive(Default)]
struct NaivePeers {
    zones: BTreeMap<String, usize>,
    stale: Vec<String>,
    known: bool,
    held: BTreeMap<usize, Vec<(u64, u64)>>,
}

impl NaivePeers {
    fn take(&mut self, now: u64, step: &Step) {
        let before = self.counts();
        match step {
            Step::Here(who, zone) => {
                self.stale.retain(|stale| *stale != name(*who));
                self.zones.insert(name(*who), *zone);
            }
            Step::Gone(who) => {
                self.zones.remove(&name(*who));
            }
            Step::Reread => self.stale = self.zones.keys().cloned().collect(),
            Step::Whole => {
                self.known = true;
                for stale in std::mem::take(&mut self.stale) {
                    self.zones.remove(&stale);
                }
            }
        }
        for (zone, number) in before {
            self.held.entry(zone).or_default().push((now, number));
        }
    }

    fn counts(&self) -> BTreeMap<usize, u64> {
        let mut counts = BTreeMap::new();
        self.zones.values().for_each(|zone| *counts.entry(*zone).or_default() += 1);
        counts
    }

    /// The largest number of the last [`HOLD`], and 1 at least for a zone that ever had one.
    fn numbers(&self, now: u64) -> BTreeMap<usize, u64> {
        let mut numbers = BTreeMap::new();
        if !self.known {
            return numbers;
        }
        numbers = self.counts();
        for (zone, held) in &self.held {
            let late = held.iter().filter(|(until, _)| until + HOLD > now).map(|(_, number)| *number);
            let number = numbers.entry(*zone).or_default();
            *number = late.max().unwrap_or(0).max(*number).max(1);
        }
        numbers
    }
}

fn name(who: usize) -> String {
    format!("g{who}")
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..10, 0usize..3).prop_map(|(who, zone)| Step::Here(who, zone)),
        5 => (0usize..10).prop_map(Step::Gone),
        1 => Just(Step::Reread),
        1 => Just(Step::Whole),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// With contact held, the number of a zone is the largest of the last 30 s, whatever comes and goes.
    #[test]
    fn a_number_is_the_largest_of_late(steps in proptest::collection::vec((0u64..8_000_000, step()), 1..150)) {
        let (mut peers, mut naive, mut now) = (Peers::default(), NaivePeers::default(), START);
        peers.whole(now);
        naive.take(now, &Step::Whole);
        for (waited, step) in steps {
            now += waited;
            match &step {
                Step::Here(who, zone) => peers.here(now, &name(*who), *zone),
                Step::Gone(who) => peers.gone(now, &name(*who)),
                Step::Reread => peers.reread(),
                Step::Whole => peers.whole(now),
            }
            naive.take(now, &step);
            prop_assert_eq!(peers.numbers(now), naive.numbers(now), "after {:?}", step);
        }
    }
}

/// Gateways beyond the bound are not counted, and those that are kept stay.
#[test]
fn gateways_beyond_the_bound_are_not_counted() {
    const { assert!(MOST_GATEWAYS > 12_000, "the fleet of two years has to fit") };
    let mut peers = Peers::default();
    for who in 0..MOST_GATEWAYS + 10 {
        peers.here(START, &name(who), 0);
    }
    peers.whole(START);
    assert_eq!(peers.numbers(START)[&0], MOST_GATEWAYS as u64);
    peers.gone(START, &name(MOST_GATEWAYS + 5));
    peers.here(START, &name(3), 0);
    assert_eq!(peers.numbers(START + HOLD)[&0], MOST_GATEWAYS as u64);
}
