//! Property tests of tiered membership: small fleets under random faults must keep invariants T1 to T10 of
//! `docs/design/membership-tiers.md`, and single components must match naive models.
use super::fleet_simulation::{Fleet, Shape, START};
use larchway::MonotonicTime;
use larchway_cluster::tiers::message::{Content, Message, Request, Table};
use larchway_cluster::tiers::{
    Count, Input, Output, ReportOutcome, Reports, Tier, TieredMembership, Version, MAX_CHILDREN,
};
use larchway_cluster::wire::{decode, encode, MessageKind, MAX_BODY_BYTES, MAX_DATAGRAM_BYTES};
use larchway_cluster::FleetFile;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const FLEET_SHAPE: Shape = Shape { regions: 2, zones: 2, sites: 2, members: 3 };
const MEMBERS: u16 = 24;
/// Time within which all counts are correct again after the last fault: a silent region becomes unknown after 8 s, a
/// table is sent every 2 s, and a new representative is known after 2 s.
const RECOVERY_TIME: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
enum Fault {
    Pause(u16, u64),
    Kill(u16),
    Restart(u16),
    Cut(u16, u16),
    Loss(u64),
}

fn faults() -> impl Strategy<Value = Vec<(Fault, u64)>> {
    let fault = prop_oneof![
        3 => (0..MEMBERS, 100u64..6_000).prop_map(|(member, ms)| Fault::Pause(member, ms)),
        2 => (0..MEMBERS).prop_map(Fault::Kill),
        2 => (0..MEMBERS).prop_map(Fault::Restart),
        2 => (0..MEMBERS, 0..MEMBERS).prop_map(|(from, to)| Fault::Cut(from, to)),
        1 => (0u64..400).prop_map(Fault::Loss),
    ];
    proptest::collection::vec((fault, 50u64..2_500), 1..12)
}

/// T1: checks that no group has more than one representative.
fn check_single_representatives(fleet: &Fleet) {
    for tier in Tier::ALL {
        for group in 0..fleet.topology.members() as u16 {
            let exists = (0..MEMBERS).any(|member| fleet.topology.group_of(tier, member) == Some(group));
            if !exists {
                break;
            }
            let holders = fleet.holders(tier, group);
            assert!(holders.len() <= 1, "T1: {holders:?} represent {tier:?} {group}");
        }
    }
}

fn check_counts_within_sizes(fleet: &Fleet) {
    fleet.for_each_count(|member, tier, group, count| {
        let size = fleet.topology.size(tier, group);
        assert!(
            count.live + count.unknown <= size,
            "T5: {member} counts {count:?} of {size} in {tier:?} {group}"
        );
    });
}

fn apply(fleet: &mut Fleet, fault: &Fault, resumes: &mut BTreeMap<u16, MonotonicTime>) {
    match *fault {
        Fault::Pause(member, ms) if fleet.is_alive(member) => {
            fleet.pause(member);
            resumes.insert(member, fleet.now + Duration::from_millis(ms));
        }
        Fault::Kill(member) => {
            fleet.kill(member);
            resumes.remove(&member);
        }
        Fault::Restart(member) => {
            fleet.start(member);
            resumes.remove(&member);
        }
        Fault::Cut(from, to) => fleet.cut_links.push((from, to)),
        Fault::Loss(share) => fleet.loss_per_mille = share,
        Fault::Pause(..) => {}
    }
}

/// Runs the fleet for a time, and resumes processes whose pause ends within it.
fn run_with_resumes(fleet: &mut Fleet, span: Duration, resumes: &mut BTreeMap<u16, MonotonicTime>) {
    let end = fleet.now + span;
    while fleet.now < end {
        let next = resumes.values().min().copied().unwrap_or(end).clamp(fleet.now, end);
        fleet.run_for(next - fleet.now, check_single_representatives);
        check_counts_within_sizes(fleet);
        let now = fleet.now;
        let resumed: Vec<u16> =
            resumes.iter().filter(|(_, at)| **at <= now).map(|(member, _)| *member).collect();
        for member in resumed {
            resumes.remove(&member);
            fleet.resume(member);
            check_single_representatives(fleet);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

    /// T1 and T5 hold at any time; T8 to T10 hold once the faults have ended and each site has a majority.
    #[test]
    fn each_group_has_one_representative_and_counts_recover_after_faults(faults in faults(), seed in any::<u64>()) {
        let mut fleet = Fleet::new(FLEET_SHAPE, seed);
        let mut resumes = BTreeMap::new();
        run_with_resumes(&mut fleet, Duration::from_secs(6), &mut resumes);
        for (fault, ms) in &faults {
            apply(&mut fleet, fault, &mut resumes);
            run_with_resumes(&mut fleet, Duration::from_millis(*ms), &mut resumes);
        }
        fleet.cut_links.clear();
        fleet.loss_per_mille = 0;
        let paused: Vec<u16> = resumes.keys().copied().collect();
        paused.into_iter().for_each(|member| fleet.resume(member));
        resumes.clear();
        // T8 needs a majority of each site: all killed members but the first of each site are restarted.
        for site in 0..MEMBERS / 3 {
            let members = fleet.topology.children(Tier::Site, site).to_vec();
            let killed: Vec<u16> = members.into_iter().filter(|member| !fleet.is_alive(*member)).collect();
            killed.iter().skip(1).for_each(|member| fleet.start(*member));
        }
        run_with_resumes(&mut fleet, RECOVERY_TIME, &mut resumes);
        for tier in Tier::ALL {
            for group in 0..2u16 {
                prop_assert_eq!(fleet.holders(tier, group).len(), 1, "T8: {:?} {}", tier, group);
            }
        }
        let mut wrong_counts = Vec::new();
        fleet.for_each_count(|member, tier, group, count| {
            let expected = Count { live: fleet.live_members(tier, group), unknown: 0 };
            if count != expected {
                wrong_counts.push((member, tier, group, count, expected));
            }
        });
        prop_assert!(wrong_counts.is_empty(), "T9, T10: {:?}", wrong_counts);
    }

    /// T5, T7: whatever bytes any member sends, a gateway's output is bounded, its counts do not exceed the configured
    /// sizes, and it sends only to configured members.
    #[test]
    fn arbitrary_messages_never_make_a_gateway_exceed_its_bounds(
        steps in proptest::collection::vec((0..MEMBERS + 3, 0u8..4, message_or_bytes(), 0u64..600), 1..80)
    ) {
        let topology = Arc::new(FLEET_SHAPE.topology());
        let mut now = START;
        let new_membership = TieredMembership::new(now, FleetFile::default(), topology.clone(), 4, 7);
        let mut membership = new_membership.expect("a member");
        for (from, kind, body, ms) in steps {
            now += Duration::from_millis(ms);
            let mut outputs = Vec::new();
            membership.handle(now, Input::Tick, &mut outputs);
            let kinds = [MessageKind::Tiers, MessageKind::Tiers, MessageKind::SitePing, MessageKind::SiteIndirectPing];
            let kind = kinds[usize::from(kind)];
            membership.handle(now, Input::Received { kind, from, body: &body }, &mut outputs);
            prop_assert!(outputs.len() < 60, "{} outputs", outputs.len());
            for output in outputs {
                if let Output::Send { to, kind, body } = output {
                    prop_assert!(to < MEMBERS && to != 4);
                    prop_assert!(body.len() <= MAX_BODY_BYTES);
                    prop_assert!(encode(kind, 4, &body).len() <= MAX_DATAGRAM_BYTES);
                }
            }
            for tier in Tier::ALL {
                let own = topology.group_of(tier, 4).expect("a member");
                for (group_index, group) in topology.siblings(tier, own).iter().enumerate() {
                    let count = membership.count(now, tier, group_index);
                    prop_assert!(count.live + count.unknown <= topology.size(tier, *group));
                }
            }
        }
    }

    /// T4, T6 against a naive model: the count is that of the latest received report by (term, sequence), if it was
    /// received within the timeout.
    #[test]
    fn reports_match_a_naive_model(
        steps in proptest::collection::vec((0u64..900, 1u32..5, 0u32..20, 0u16..9), 1..60)
    ) {
        let timeout = Duration::from_secs(5);
        let mut reports = Reports::new(1, timeout);
        let mut now = START;
        let mut latest: Option<(Version, Count, MonotonicTime)> = None;
        for (ms, term, sequence, live) in steps {
            now += Duration::from_millis(ms);
            let (version, count) = (Version { term, sequence }, Count { live, unknown: 0 });
            // Each term has one author (T2).
            let receipt = reports.receive(now, 0, term as u16, version, count);
            let is_latest = match latest {
                None => true,
                // After the timeout the author may have restarted, so that its sequence begins again.
                Some((known, _, at)) if now >= at + timeout => term >= known.term,
                Some((known, _, _)) => version > known,
            };
            prop_assert_eq!(receipt == ReportOutcome::Accepted, is_latest);
            if is_latest {
                latest = Some((version, count, now));
            }
            let expected = match latest {
                Some((_, count, at)) if now < at + timeout => count.clamped(6),
                _ => Count::unknown(6),
            };
            prop_assert_eq!(reports.count(now, 0, 6), expected);
        }
        let silent = reports.count(now + timeout, 0, 6);
        prop_assert_eq!(silent, Count::unknown(6));
    }

    /// Encoded messages are decoded unchanged, and truncated ones are rejected, except for tables, whose length varies.
    #[test]
    fn messages_are_decoded_as_they_were_encoded(message in messages(), cut in any::<prop::sample::Index>()) {
        let body = message.encode();
        prop_assert!(body.len() <= MAX_BODY_BYTES);
        let datagram = encode(MessageKind::Tiers, 9, &body);
        let envelope = decode(&datagram).expect("a valid envelope");
        prop_assert_eq!(envelope.kind, MessageKind::Tiers);
        prop_assert_eq!(Message::decode(envelope.body), Some(message.clone()));
        let truncated = Message::decode(&body[..cut.index(body.len())]);
        prop_assert!(truncated.is_none() || matches!(message.content, Content::Table(_)));
    }
}

fn contents() -> impl Strategy<Value = Content> {
    let count = || (0u16..9, 0u16..9).prop_map(|(live, unknown)| Count { live, unknown });
    let version = || (0u32..5, 0u32..99).prop_map(|(term, sequence)| Version { term, sequence });
    let request = (0u32..6, any::<u32>(), any::<bool>());
    let table = (0..MEMBERS, version(), proptest::collection::vec(count(), 0..=MAX_CHILDREN));
    prop_oneof![
        request.prop_map(|(term, round, is_renewal)| Content::Request(Request { term, round, is_renewal })),
        (0u32..6, any::<u32>()).prop_map(|(term, round)| Content::Grant { term, round }),
        any::<u32>().prop_map(|term| Content::Refusal { term }),
        any::<u32>().prop_map(|term| Content::StaleReport { term }),
        (0..MEMBERS + 9).prop_map(|representative| Content::Redirect { representative }),
        (version(), count()).prop_map(|(version, count)| Content::Report { version, count }),
        table.prop_map(|(author, version, counts)| Content::Table(Table { author, version, counts })),
    ]
}

fn messages() -> impl Strategy<Value = Message> {
    let tier = prop_oneof![Just(Tier::Site), Just(Tier::Zone), Just(Tier::Region)];
    (tier, 0u16..9, contents()).prop_map(|(tier, group, content)| Message { tier, group, content })
}

fn message_or_bytes() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        3 => messages().prop_map(|message| message.encode()),
        1 => proptest::collection::vec(any::<u8>(), 0..260),
    ]
}

/// Runs a fleet through a list of faults and then kills one of the three members of a site. Returns the number of live
/// members of the site according to each of the two survivors.
fn live_after_death(
    seed: u64,
    faults: &[(Fault, u64)],
    dying_member: u16,
    survivors: [u16; 2],
) -> [usize; 2] {
    let mut fleet = Fleet::new(FLEET_SHAPE, seed);
    let mut resumes = BTreeMap::new();
    run_with_resumes(&mut fleet, Duration::from_secs(6), &mut resumes);
    for (fault, ms) in faults {
        apply(&mut fleet, fault, &mut resumes);
        run_with_resumes(&mut fleet, Duration::from_millis(*ms), &mut resumes);
    }
    fleet.kill(dying_member);
    run_with_resumes(&mut fleet, Duration::from_secs(7), &mut resumes);
    survivors.map(|survivor| {
        let membership =
            fleet.processes[usize::from(survivor)].membership.as_ref().expect("the survivor runs");
        membership.site_report(fleet.now).alive
    })
}

/// Guards against late detection in a site of three with two survivors, one of which has restarted: each pinged the
/// dead member again as soon as a ping had timed out, and withdrew its suspicion while that ping was in flight. They
/// hardly ever suspected it at the same time, so it counted as alive for 25 s. Found by the property test above.
#[test]
fn two_survivors_of_three_find_the_dead_one_in_time() {
    let cut = (Fault::Cut(15, 16), 1_950);
    let faults = [(Fault::Kill(14), 460), cut, (Fault::Restart(8), 1_142), (Fault::Pause(6, 1_565), 78)];
    assert_eq!(live_after_death(16_571_879_572_754_480_739, &faults, 7, [6, 8]), [2, 2]);
}

/// Guards against a death that is never detected: a member dies while one of the two others is paused. When it
/// resumed, that one pinged the member and computed the same time for its last beat, so that the pings counted
/// neither as lost nor as unanswered and the member counted as alive forever. Found by the property test above.
#[test]
fn one_that_dies_while_another_is_paused_is_found() {
    let faults = [(Fault::Pause(0, 100), 1_270), (Fault::Pause(7, 1_638), 377)];
    assert_eq!(live_after_death(16_450_663_239_450_232_949, &faults, 6, [7, 8]), [2, 2]);
}
