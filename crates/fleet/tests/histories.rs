//! Random histories of the fleet's state at one gateway: whatever comes, in whatever order, the invariants of
//! `docs/design/fleet.md` hold.
use larchway_fleet::lease::{Configured, Input as Told, Lease, Terms, WAIT};
use larchway_fleet::members::{Input, Members, Output, Verdict, DAMPING};
use larchway_fleet::wire::{open, seal, Kind, Named, News, Pulse, BODY, LONGEST};
use larchway_fleet::words::{read, Found, Words};
use larchway_fleet::FleetFile;
use proptest::prelude::*;
use std::collections::BTreeMap;

const START: u64 = 1_000_000_000;

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    News(u16, Vec<(u16, u16, u16, bool, Option<u8>)>, bool, bool),
    Bytes(u16, u8, Vec<u8>),
    Farewell,
    Configured(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let one = (0u16..14, 0u16..4, 0u16..0x3fff, any::<bool>(), proptest::option::of(any::<u8>()));
    let step = prop_oneof![
        6 => (1u64..400).prop_map(Step::Wait),
        1 => (700u64..30_000).prop_map(Step::Wait),
        6 => (0u16..14, proptest::collection::vec(one, 0..20), any::<bool>(), any::<bool>())
            .prop_map(|(by, all, paused, ping)| Step::News(by, all, paused, ping)),
        2 => (0u16..14, 0u8..6, proptest::collection::vec(any::<u8>(), 0..300))
            .prop_map(|(by, kind, bytes)| Step::Bytes(by, kind, bytes)),
        1 => Just(Step::Farewell),
        1 => (1usize..14).prop_map(Step::Configured),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// M5, M9: no bytes of others make a gateway send more than it may, name whom there is not, accuse itself, or change
    /// its verdict on one life of a member twice within 10 s, but for one that tells of its own pause.
    #[test]
    fn whatever_others_tell_a_gateway_keeps_to_its_bounds(steps in steps()) {
        let mut now = START;
        let mut members = Members::new(now, FleetFile::default(), 3, 12, 7);
        let mut number = 12;
        let mut changed: BTreeMap<u16, (u64, u16)> = BTreeMap::new();
        for step in steps {
            let mut out = Vec::new();
            let (mut answers, mut paused_told) = (1, false);
            match step {
                Step::Wait(ms) => {
                    now += ms * 1000;
                    answers = 40;
                    members.handle(now, Input::Tick, &mut out);
                }
                Step::News(by, all, paused, ping) => {
                    let pulse = |life, beat, left| Pulse { life, beat, left };
                    let named = all.iter().map(|(who, life, beat, left, accused)| Named {
                        who: *who, pulse: pulse(*life, *beat, *left), accused: *accused,
                    });
                    let own = pulse(all.len() as u16, (now / 200_000) as u16 & 0x3fff, false);
                    let news = News { own, paused, dark: false, named: named.collect(), first: 0, window: vec![] };
                    let kind = if ping { Kind::Ping } else { Kind::Ack };
                    let sealed = seal(kind, by, &news.write());
                    let opened = open(&sealed).expect("an envelope");
                    paused_told = paused;
                    members.handle(now, Input::Heard(kind, by, opened.body), &mut out);
                }
                Step::Bytes(by, kind, bytes) => {
                    let kind = [Kind::Ping, Kind::Ack, Kind::Reach, Kind::Ping, Kind::Reach, Kind::Ack][usize::from(kind)];
                    members.handle(now, Input::Heard(kind, by, &bytes), &mut out);
                }
                Step::Farewell => {
                    answers = 8;
                    members.handle(now, Input::Farewell, &mut out);
                }
                Step::Configured(all) => {
                    number = all;
                    members.handle(now, Input::Configured(3, all), &mut out);
                    changed.clear();
                }
            }
            let sent = out.iter().filter(|o| matches!(o, Output::Send(..))).count();
            prop_assert!(sent <= answers + 17, "{sent} datagrams at once");
            let report = members.report(now);
            for output in out {
                match output {
                    Output::Send(to, kind, body) => {
                        prop_assert!(usize::from(to) < number.max(4) && to != 3);
                        prop_assert!(body.len() <= BODY && seal(kind, 3, &body).len() <= LONGEST);
                    }
                    Output::Changed(who, verdict) => {
                        prop_assert!(who != 3);
                        let life = report.doubted.iter().find(|d| d.member == who).map_or(0, |d| d.life);
                        let last = changed.insert(who, (now, life));
                        if let (Some((at, of)), Verdict::Dead) = (last, verdict) {
                            prop_assert!(of != life || of == 0 || now >= at + DAMPING || paused_told);
                        }
                    }
                    Output::Paused(gone) => prop_assert!(gone >= 700_000),
                    Output::Dark(_) => {}
                }
            }
            prop_assert!(report.alive + report.dead + report.left <= number.max(4) + 1);
        }
    }

    /// L1, L2: without an answer to a sync asked for after the own node was made, and the wait, nothing lent is used; and
    /// what may be used is never under the floor nor over the floor and the whole pool.
    #[test]
    fn a_lease_needs_its_node_its_wait_and_a_view_that_is_whole(
        told in proptest::collection::vec((0u8..9, 0usize..6, 1u64..1500), 1..80)
    ) {
        let terms = Terms::of(&FleetFile::default());
        let mut lease = Lease::new(Configured { all: 6, own_zone: 6, zone: 1 });
        let (mut now, mut registered, mut asked) = (START, None::<u64>, None::<u64>);
        for (what, who, ms) in told {
            now += ms * 1000;
            let input = match what {
                0 | 1 => { registered = Some(now); Told::Registered }
                2 => { (registered, asked) = (None, None); Told::Ended }
                3 => Told::Here(format!("g{who}"), 1),
                4 => Told::Gone(format!("g{who}")),
                5 => Told::Reread,
                6 => Told::Whole,
                7 => { asked = Some(now - 1000); Told::CaughtUp(now - 1000) }
                _ => { registered = registered.map(|_| now); asked = None; Told::Rewound }
            };
            lease.handle(now, input);
            let share = lease.share(&terms, now);
            let (all, near) = share.now(now);
            prop_assert!(all >= 0.5 / 6.0 - 1e-9 && near >= 0.5 / 6.0 - 1e-9);
            prop_assert!(all <= 0.5 / 6.0 + 0.5 + 1e-9 && near <= 0.5 / 6.0 + 0.5 + 1e-9);
            if lease.holds(&terms, now) {
                prop_assert!(registered.is_some_and(|at| at + WAIT <= now), "before the wait");
                prop_assert!(asked.is_some_and(|at| now < at + terms.lease), "after the lease");
            }
        }
    }

    /// Words are read whole or not at all, each is new once within its life, and what is passed on is bounded.
    #[test]
    fn words_of_others_stay_bounded(all in proptest::collection::vec(
        proptest::collection::vec(any::<u8>(), 0..260), 1..40)) {
        let mut words = Words::default();
        for (at, bytes) in all.iter().enumerate() {
            if let Some(told) = read(bytes) {
                let now = START + at as u64 * 10_000;
                let first = words.hear(now, told.clone());
                prop_assert!(first.len() <= told.len() && words.hear(now, told).is_empty());
                prop_assert!(words.take().len() <= larchway_fleet::words::ENTRIES);
            }
        }
        words.own(START, 1, 9, Found::Back);
        prop_assert!(words.take().len() <= larchway_fleet::words::ENTRIES);
    }
}

/// Found by the histories above: while a larger tier is rolled out, a peer names members that this gateway knows nothing of.
#[test]
fn a_peer_that_knows_of_more_members_is_answered() {
    let mut members = Members::new(START, FleetFile::default(), 3, 12, 7);
    let named = Named { who: 12, pulse: Pulse { life: 5, beat: 1, left: false }, accused: Some(3) };
    let news = News { named: vec![named], ..News::default() }.write();
    let mut out = Vec::new();
    members.handle(START, Input::Heard(Kind::Ping, 0, &news), &mut out);
    assert!(matches!(out[..], [Output::Send(0, Kind::Ack, _)]), "{out:?}");
    // And one that was asked to reach a member is configured with fewer before that one answers.
    members.handle(START, Input::Heard(Kind::Reach, 0, &11u16.to_be_bytes()), &mut out);
    members.handle(START, Input::Configured(3, 6), &mut out);
    members.handle(START, Input::Heard(Kind::Ack, 5, &News::default().write()), &mut out);
}
