//! Property tests of one gateway's load sharing, and tests with a simulated fleet. Invariants are numbered as in
//! `docs/design/spread.md`.
use larchway::{mix, unit, MonotonicTime};
use larchway_load_sharing::{wire, Input, LoadSharing, OffloadShare, Output, SpreadFile, TierPosition};
use proptest::prelude::*;
use std::time::Duration;

/// A point in time, in ms after the earliest one.
fn at_ms(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_micros(milliseconds * 1000)
}

#[derive(Debug, Clone)]
enum Step {
    Stores(Vec<u64>),
    Report(u64, f64),
    Datagram(Vec<u8>),
    Corrupted(usize, u8),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let load = prop_oneof![6 => 0.0..1.5f64, 1 => Just(f64::NAN), 1 => Just(-3.0), 1 => Just(1e300)];
    let step = prop_oneof![
        1 => proptest::collection::vec(0..200u64, 0..150).prop_map(Step::Stores),
        8 => (0..200u64, load).prop_map(|(store, load)| Step::Report(store, load)),
        2 => proptest::collection::vec(any::<u8>(), 0..300).prop_map(Step::Datagram),
        2 => (0..256usize, any::<u8>()).prop_map(|(at, byte)| Step::Corrupted(at, byte)),
        6 => (0..700u64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn for_any_input_shares_stay_bounded_and_datagrams_short(steps in steps()) {
        let settings = SpreadFile { probes_per_s: 9.0, ..SpreadFile::default() };
        let position = TierPosition { own_index: 2, gateways: 5 };
        let mut load_sharing = LoadSharing::new(at_ms(1), settings, 1, position, 7);
        let (mut now, mut listed_stores, mut last_datagram) = (at_ms(1), Vec::new(), Vec::new());
        for step in steps {
            let mut outputs = Vec::new();
            match step {
                Step::Stores(stores) => {
                    listed_stores = stores.clone();
                    load_sharing.handle(now, Input::StoresChanged { stores, quota_divisor: 5 }, &mut outputs);
                }
                Step::Report(store, load) => load_sharing.handle(now, Input::LoadReport { store, load }, &mut outputs),
                Step::Datagram(bytes) => load_sharing.handle(now, Input::Datagram(&bytes), &mut outputs),
                // The gateway's own last datagram with one corrupted byte.
                Step::Corrupted(at, byte) => {
                    let mut bytes: Vec<u8> = last_datagram.clone();
                    if let Some(original_byte) = bytes.get_mut(at) {
                        *original_byte = byte;
                    }
                    load_sharing.handle(now, Input::Datagram(&bytes), &mut outputs);
                }
                Step::Wait(ms) => {
                    now += Duration::from_millis(ms);
                    load_sharing.handle(now, Input::Tick, &mut outputs);
                    prop_assert!(load_sharing.next_due() > now, "invariant 5: the next round is due immediately");
                }
            }
            for output in outputs {
                match output {
                    Output::Send { peer, body } => {
                        prop_assert!(body.len() <= wire::MAX_BODY_BYTES, "invariant 1");
                        prop_assert!(peer < 5 && peer != 2, "invariant 1: sent to an unknown peer or to itself");
                        last_datagram = body;
                    }
                    Output::SampleLoad(store) => {
                        prop_assert!(listed_stores.contains(&store), "invariant 6: sampled a store that is not listed");
                    }
                    Output::OffloadShares(shares) => for OffloadShare { store, share } in shares {
                        prop_assert!(
                            listed_stores.contains(&store),
                            "invariant 2: an offload share of a store that is not listed",
                        );
                        prop_assert!(share > 0.0 && share <= 0.6, "invariant 2: {share}");
                    },
                }
            }
            let status = load_sharing.status(now);
            prop_assert!(status.stores.iter().all(|store| store.load.is_finite() && (0.0..=100.0).contains(&store.load)));
        }
    }
}

/// Runs a fleet of gateways in front of 12 stores with uneven demand, and returns the final loads of the stores. Each
/// gateway receives a load report of each store about every 3 s. `loss` is the share of lost datagrams, from 0 to 1.
fn simulated_loads(gateways: usize, loss: f64, seconds: u64) -> Vec<f64> {
    let demand: [f64; 12] = [1.6, 0.7, 1.0, 1.3, 0.8, 0.6, 1.1, 0.9, 1.4, 0.75, 0.85, 1.0];
    let stores: Vec<u64> = (0..12).map(|store| 1000 + store).collect();
    let mut fleet: Vec<LoadSharing> = (0..gateways)
        .map(|own_index| {
            let mut load_sharing = LoadSharing::new(
                MonotonicTime::MIN,
                SpreadFile::default(),
                0,
                TierPosition { own_index, gateways },
                77 + own_index as u64,
            );
            load_sharing.handle(
                MonotonicTime::MIN,
                Input::StoresChanged { stores: stores.clone(), quota_divisor: gateways as u64 },
                &mut Vec::new(),
            );
            load_sharing
        })
        .collect();
    let mut shares_by_gateway = vec![vec![0.0; 12]; gateways];
    let mut loads = demand.to_vec();
    let mut random_draws = 0u64;
    let mut random_fraction = || {
        random_draws += 1;
        unit(mix(random_draws ^ 0xfeed))
    };
    for step in 0..seconds * 10 {
        let now = at_ms(step * 100);
        // Offloaded demand is divided evenly among all stores.
        let retained = |store_index: usize| {
            1.0 - shares_by_gateway.iter().map(|shares| shares[store_index]).sum::<f64>() / gateways as f64
        };
        let offloaded: f64 =
            (0..12).map(|store_index| demand[store_index] * (1.0 - retained(store_index))).sum();
        loads = (0..12)
            .map(|store_index| demand[store_index] * retained(store_index) + offloaded / 12.0)
            .collect();
        for gateway in 0..gateways {
            let mut outputs = Vec::new();
            for (store_index, load) in loads.iter().enumerate() {
                if random_fraction() < 0.033 {
                    let noisy = 0.5 * load * (1.0 + 0.3 * (random_fraction() - 0.5));
                    fleet[gateway].handle(
                        now,
                        Input::LoadReport { store: stores[store_index], load: noisy },
                        &mut outputs,
                    );
                }
            }
            fleet[gateway].handle(now, Input::Tick, &mut outputs);
            for output in outputs {
                match output {
                    Output::Send { peer, body } if random_fraction() >= loss => {
                        fleet[peer].handle(now, Input::Datagram(&body), &mut Vec::new());
                    }
                    Output::Send { .. } | Output::SampleLoad(_) => {}
                    Output::OffloadShares(shares) => {
                        shares_by_gateway[gateway] = vec![0.0; 12];
                        for OffloadShare { store, share } in shares {
                            shares_by_gateway[gateway][store as usize - 1000] = share;
                        }
                    }
                }
            }
        }
    }
    loads
}

#[test]
fn a_fleet_of_any_size_settles_at_an_even_load_also_with_datagrams_lost() {
    for (gateways, loss, max_ratio) in [(200, 0.2, 1.08), (20, 0.2, 1.08), (20, 1.0, 1.1), (200, 1.0, 1.1)] {
        let loads = simulated_loads(gateways, loss, 40);
        let mean = loads.iter().sum::<f64>() / 12.0;
        let highest = loads.iter().copied().fold(0.0, f64::max) / mean;
        let lowest = loads.iter().copied().fold(9.0, f64::min) / mean;
        assert!(
            highest < max_ratio && lowest > 0.75,
            "{gateways} gateways, {loss} lost: {highest:.3}, {lowest:.3}"
        );
    }
}

#[test]
fn gossip_of_another_list_is_rejected_and_a_store_without_reports_takes_its_objects_back() {
    let mut load_sharing = LoadSharing::new(
        MonotonicTime::MIN,
        SpreadFile::default(),
        0,
        TierPosition { own_index: 0, gateways: 2 },
        1,
    );
    load_sharing.handle(
        MonotonicTime::MIN,
        Input::StoresChanged { stores: vec![1, 2, 3], quota_divisor: 2 },
        &mut Vec::new(),
    );
    let mut other = LoadSharing::new(
        MonotonicTime::MIN,
        SpreadFile::default(),
        0,
        TierPosition { own_index: 1, gateways: 2 },
        2,
    );
    other.handle(
        MonotonicTime::MIN,
        Input::StoresChanged { stores: vec![1, 2, 4], quota_divisor: 2 },
        &mut Vec::new(),
    );
    let mut offload_share = 0.0;
    for now in (1..140).map(|index| at_ms(index * 500)) {
        let mut outputs = Vec::new();
        if now < at_ms(10_000) {
            for (store, load) in [(1, 0.9), (2, 0.3), (3, 0.3)] {
                load_sharing.handle(now, Input::LoadReport { store, load }, &mut outputs);
                other.handle(now, Input::LoadReport { store, load: 0.5 }, &mut Vec::new());
            }
        }
        other.handle(now, Input::Tick, &mut outputs);
        let summaries: Vec<Vec<u8>> = outputs
            .drain(..)
            .filter_map(|output| if let Output::Send { body, .. } = output { Some(body) } else { None })
            .collect();
        summaries.iter().for_each(|bytes| load_sharing.handle(now, Input::Datagram(bytes), &mut outputs));
        load_sharing.handle(now, Input::Tick, &mut outputs);
        for output in outputs {
            if let Output::OffloadShares(shares) = output {
                offload_share = shares.iter().find(|share| share.store == 1).map_or(0.0, |share| share.share);
            }
        }
        if now == at_ms(9_500) {
            assert!(offload_share > 0.3, "{offload_share}");
        }
    }
    assert_eq!(offload_share, 0.0);
    let status = load_sharing.status(at_ms(70_000));
    assert!(status.received == 0 && status.rejected > 50);
}

/// Invariant 6: the gateways together keep to one budget of load samples, whatever their number, and sample only stores
/// that report rarely.
#[test]
fn samples_of_a_store_keep_to_one_budget_for_any_number_of_gateways() {
    for gateways in [1usize, 20, 300] {
        let settings = SpreadFile { probes_per_s: 2.0, ..SpreadFile::default() };
        let mut samples = [0u64; 2];
        for own_index in 0..gateways {
            let mut load_sharing = LoadSharing::new(
                MonotonicTime::MIN,
                settings.clone(),
                0,
                TierPosition { own_index, gateways },
                5 + own_index as u64,
            );
            load_sharing.handle(
                MonotonicTime::MIN,
                Input::StoresChanged { stores: vec![1, 2], quota_divisor: gateways as u64 },
                &mut Vec::new(),
            );
            for now in (0..100).map(|index| at_ms(index * 500)) {
                let mut outputs = Vec::new();
                (0..4).for_each(|_| {
                    load_sharing.handle(now, Input::LoadReport { store: 2, load: 0.5 }, &mut outputs);
                });
                load_sharing.handle(now, Input::Tick, &mut outputs);
                for output in outputs {
                    if let Output::SampleLoad(store) = output {
                        samples[store as usize - 1] += 1;
                    }
                }
            }
        }
        assert!(
            (60..=130).contains(&samples[0]),
            "{gateways} gateways: {samples:?} samples in 50 s at 2 per second"
        );
        assert_eq!(samples[1], 0, "{gateways} gateways: sampled a store that reports frequently");
    }
}
