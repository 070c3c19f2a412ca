//! Guards against two representatives of one group: a process that takes over the socket of an older one does not
//! know which leases that one granted.
use super::super::Addresses;
use super::*;
use larchway_cluster::lease::ClusterSize;
use larchway_cluster::tiers::message::{Content, Message, Request};
use larchway_cluster::tiers::SitePlace;
use std::net::SocketAddr;
use std::time::Duration;

fn site_of_two() -> Arc<Topology> {
    let place = SitePlace { site: "a1".into(), zone: "a".into(), region: "r".into(), members: vec![0, 1] };
    Arc::new(Topology::new(&[place], 2).expect("a valid topology"))
}

fn settings() -> PeerSettings {
    let all = (1..=2).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
    let addresses = Addresses { all, ..Addresses::default() };
    PeerSettings {
        spread: None,
        fleet: Some(FleetFile::default()),
        topology: Some(site_of_two()),
        addresses,
        configured: ClusterSize { all: 2, own_zone: 2, zone: 0 },
        quotas_leased: false,
        seed: 7,
    }
}

/// Whether a request of the other member of the site is granted.
fn grants(members: &mut Members, now: MonotonicTime) -> bool {
    let request = Request { term: 50, round: 1, is_renewal: false };
    let body = Message { tier: Tier::Site, group: 0, content: Content::Request(request) }.encode();
    let outputs = members.handle(now, Input::Received { kind: MessageKind::Tiers, from: 1, body: &body });
    let is_grant = |output: &Output| match output {
        Output::Send { body, .. } => {
            Message::decode(body).is_some_and(|message| matches!(message.content, Content::Grant { .. }))
        }
        _ => false,
    };
    outputs.iter().any(is_grant)
}

#[test]
fn after_a_socket_takeover_no_vote_is_cast_until_earlier_grants_have_expired() {
    let start = MonotonicTime::MIN + Duration::from_secs(100);
    let take_over = start + Duration::from_secs(10);
    let mut members = Members::new(start, FleetFile::default(), &settings());
    assert!(grants(&mut members, take_over));
    let mut members = Members::new(start, FleetFile::default(), &settings());
    members.take_over_socket(take_over, &FleetFile::default());
    assert!(!grants(&mut members, take_over + Duration::from_secs(1)));
    assert!(grants(&mut members, take_over + Duration::from_secs(2)));
}

#[test]
fn a_reload_keeps_the_state_for_the_same_topology_and_resets_it_for_another() {
    let start = MonotonicTime::MIN + Duration::from_secs(100);
    let reload = start + Duration::from_secs(10);
    let mut members = Members::new(start, FleetFile::default(), &settings());
    members.configure(reload, FleetFile::default(), &settings());
    assert!(grants(&mut members, reload));
    let mut moved = settings();
    moved.addresses.own_index = 1;
    members.configure(reload, FleetFile::default(), &moved);
    assert!(!grants(&mut members, reload));
    members.configure(reload, FleetFile::default(), &PeerSettings { topology: None, ..moved });
    assert!(!members.is_tiered());
}
