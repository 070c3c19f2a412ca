//! Random histories of the fleet's view, and a small fleet of views alone. Numbers are those of the invariants in
//! `docs/design/spread.md`.
use larchway::{mix, unit};
use larchway_spread::{wire, Input, Output, Spread, SpreadFile};
use proptest::prelude::*;

const MS: u64 = 1000;

#[derive(Debug, Clone)]
enum Step {
    Stores(Vec<u64>),
    Report(u64, f64),
    Told(Vec<u8>),
    Spoilt(usize, u8),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let load = prop_oneof![6 => 0.0..1.5f64, 1 => Just(f64::NAN), 1 => Just(-3.0), 1 => Just(1e300)];
    let step = prop_oneof![
        1 => proptest::collection::vec(0..200u64, 0..150).prop_map(Step::Stores),
        8 => (0..200u64, load).prop_map(|(s, l)| Step::Report(s, l)),
        2 => proptest::collection::vec(any::<u8>(), 0..300).prop_map(Step::Told),
        2 => (0..256usize, any::<u8>()).prop_map(|(at, byte)| Step::Spoilt(at, byte)),
        6 => (0..700u64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn whatever_is_told_shares_stay_bounded_and_datagrams_short(steps in steps()) {
        let mut spread = Spread::new(MS, SpreadFile { probes_per_s: 9.0, ..SpreadFile::default() }, 1, (2, 5), 7);
        let (mut now, mut listed, mut last) = (MS, Vec::new(), Vec::new());
        for step in steps {
            let mut out = Vec::new();
            match step {
                Step::Stores(stores) => {
                    listed = stores.clone();
                    spread.handle(now, Input::Stores(stores, 5), &mut out);
                }
                Step::Report(store, load) => spread.handle(now, Input::Report(store, load), &mut out),
                Step::Told(bytes) => spread.handle(now, Input::Datagram(&bytes), &mut out),
                // Its own words, spoilt on the way.
                Step::Spoilt(at, byte) => {
                    let mut bytes: Vec<u8> = last.clone();
                    if let Some(old) = bytes.get_mut(at) {
                        *old = byte;
                    }
                    spread.handle(now, Input::Datagram(&bytes), &mut out);
                }
                Step::Wait(ms) => {
                    now += ms * MS;
                    spread.handle(now, Input::Tick, &mut out);
                    prop_assert!(spread.next_due() > now, "invariant 5: it is due again at once");
                }
            }
            for output in out {
                match output {
                    Output::Send(peer, bytes) => {
                        prop_assert!(bytes.len() <= wire::LONGEST, "invariant 1");
                        prop_assert!(peer < 5 && peer != 2, "invariant 1: it tells itself");
                        last = bytes;
                    }
                    Output::Probe(store) => {
                        prop_assert!(listed.contains(&store), "invariant 6: a store that is not listed");
                    }
                    Output::Shed(shares) => for (store, share) in shares {
                        prop_assert!(listed.contains(&store), "invariant 2: a store that is not listed");
                        prop_assert!(share > 0.0 && share <= 0.6, "invariant 2: {share}");
                    },
                }
            }
            let report = spread.report(now);
            prop_assert!(report.stores.iter().all(|s| s.load.is_finite() && (0.0..=100.0).contains(&s.load)));
        }
    }
}

/// A fleet of views against stores whose homes are uneven; each gateway hears of a store about once in three seconds.
fn played(gateways: usize, lost: f64, seconds: u64) -> Vec<f64> {
    let homes: [f64; 12] = [1.6, 0.7, 1.0, 1.3, 0.8, 0.6, 1.1, 0.9, 1.4, 0.75, 0.85, 1.0];
    let stores: Vec<u64> = (0..12).map(|s| 1000 + s).collect();
    let mut fleet: Vec<Spread> = (0..gateways)
        .map(|me| {
            let mut spread = Spread::new(0, SpreadFile::default(), 0, (me, gateways), 77 + me as u64);
            spread.handle(0, Input::Stores(stores.clone(), gateways as u64), &mut Vec::new());
            spread
        })
        .collect();
    let mut shed = vec![vec![0.0; 12]; gateways];
    let mut loads = homes.to_vec();
    let mut draws = 0u64;
    let mut draw = || {
        draws += 1;
        unit(mix(draws ^ 0xfeed))
    };
    for step in 0..seconds * 10 {
        let now = step * 100 * MS;
        // What a store sheds goes to the next homes, which are anywhere.
        let kept = |s: usize| 1.0 - shed.iter().map(|g| g[s]).sum::<f64>() / gateways as f64;
        let gone: f64 = (0..12).map(|s| homes[s] * (1.0 - kept(s))).sum();
        loads = (0..12).map(|s| homes[s] * kept(s) + gone / 12.0).collect();
        for g in 0..gateways {
            let mut out = Vec::new();
            for (s, load) in loads.iter().enumerate() {
                if draw() < 0.033 {
                    let noisy = 0.5 * load * (1.0 + 0.3 * (draw() - 0.5));
                    fleet[g].handle(now, Input::Report(stores[s], noisy), &mut out);
                }
            }
            fleet[g].handle(now, Input::Tick, &mut out);
            for output in out {
                match output {
                    Output::Send(peer, bytes) if draw() >= lost => {
                        fleet[peer].handle(now, Input::Datagram(&bytes), &mut Vec::new());
                    }
                    Output::Send(..) | Output::Probe(_) => {}
                    Output::Shed(shares) => {
                        shed[g] = vec![0.0; 12];
                        shares.into_iter().for_each(|(store, share)| shed[g][store as usize - 1000] = share);
                    }
                }
            }
        }
    }
    loads
}

#[test]
fn a_fleet_of_any_size_settles_where_its_stores_carry_alike_also_with_datagrams_lost() {
    for (gateways, lost, bound) in [(200, 0.2, 1.08), (20, 0.2, 1.08), (20, 1.0, 1.1), (200, 1.0, 1.1)] {
        let loads = played(gateways, lost, 40);
        let mean = loads.iter().sum::<f64>() / 12.0;
        let most = loads.iter().copied().fold(0.0, f64::max) / mean;
        let least = loads.iter().copied().fold(9.0, f64::min) / mean;
        assert!(most < bound && least > 0.75, "{gateways} gateways, {lost} lost: {most:.3}, {least:.3}");
    }
}

#[test]
fn words_of_another_list_are_turned_down_and_a_store_that_nobody_hears_of_takes_its_objects_back() {
    let mut spread = Spread::new(0, SpreadFile::default(), 0, (0, 2), 1);
    spread.handle(0, Input::Stores(vec![1, 2, 3], 2), &mut Vec::new());
    let mut other = Spread::new(0, SpreadFile::default(), 0, (1, 2), 2);
    other.handle(0, Input::Stores(vec![1, 2, 4], 2), &mut Vec::new());
    let mut shed = 0.0;
    for now in (1..140).map(|n| n * 500 * MS) {
        let mut out = Vec::new();
        if now < 10_000 * MS {
            for (store, load) in [(1, 0.9), (2, 0.3), (3, 0.3)] {
                spread.handle(now, Input::Report(store, load), &mut out);
                other.handle(now, Input::Report(store, 0.5), &mut Vec::new());
            }
        }
        other.handle(now, Input::Tick, &mut out);
        let words: Vec<Vec<u8>> =
            out.drain(..).filter_map(|o| if let Output::Send(_, b) = o { Some(b) } else { None }).collect();
        words.iter().for_each(|bytes| spread.handle(now, Input::Datagram(bytes), &mut out));
        spread.handle(now, Input::Tick, &mut out);
        for output in out {
            if let Output::Shed(shares) = output {
                shed = shares.iter().find(|s| s.0 == 1).map_or(0.0, |s| s.1);
            }
        }
        if now == 9_500 * MS {
            assert!(shed > 0.3, "{shed}");
        }
    }
    assert_eq!(shed, 0.0);
    let report = spread.report(70_000 * MS);
    assert!(report.heard == 0 && report.turned_down > 50);
}

/// Invariant 6: the budget of probes is the fleet's, whatever its size, and goes to what is not heard of.
#[test]
fn probes_of_a_store_keep_to_one_budget_for_any_number_of_gateways() {
    for gateways in [1usize, 20, 300] {
        let terms = SpreadFile { probes_per_s: 2.0, ..SpreadFile::default() };
        let mut probes = [0u64; 2];
        for me in 0..gateways {
            let mut spread = Spread::new(0, terms.clone(), 0, (me, gateways), 5 + me as u64);
            spread.handle(0, Input::Stores(vec![1, 2], gateways as u64), &mut Vec::new());
            for now in (0..100).map(|n| n * 500 * MS) {
                let mut out = Vec::new();
                (0..4).for_each(|_| spread.handle(now, Input::Report(2, 0.5), &mut out));
                spread.handle(now, Input::Tick, &mut out);
                for output in out {
                    if let Output::Probe(store) = output {
                        probes[store as usize - 1] += 1;
                    }
                }
            }
        }
        assert!((60..=130).contains(&probes[0]), "{gateways}: {probes:?} in 50 s at 2 a second");
        assert_eq!(probes[1], 0, "{gateways}: one that answers is not probed");
    }
}
