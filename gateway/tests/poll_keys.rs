//! The numbers under which sources of events are registered with the poller.
use larchway_gateway::net::poll_key::{ClientListener, PollKey};
use larchway_gateway::slots::SlotKey;
use larchway_gateway::{admin, console, upgrade};
use std::collections::BTreeSet;

fn every_reserved_key() -> Vec<PollKey> {
    let mut keys = vec![
        PollKey::ClientListener(ClientListener::Platform),
        PollKey::ClientListener(ClientListener::Signed),
        PollKey::StopSignal,
        PollKey::ReloadSignal,
        PollKey::AdminListener,
        PollKey::ConsoleListener,
        PollKey::UpgradeListener,
        PollKey::PeerDatagrams,
        PollKey::SaveFinished,
    ];
    keys.extend((0..admin::MAX_CLIENTS).map(PollKey::AdminClient));
    keys.extend((0..console::MAX_CALLERS).map(PollKey::ConsoleClient));
    keys.extend((0..upgrade::MAX_PROCESSES).map(PollKey::Process));
    keys
}

#[test]
fn each_source_of_events_has_a_number_of_its_own_and_is_found_by_it() {
    let keys = every_reserved_key();
    let numbers: BTreeSet<usize> = keys.iter().map(|key| usize::from(*key)).collect();
    assert_eq!(numbers.len(), keys.len(), "two sources share a number");
    // The poller keeps the highest number for itself.
    assert!(!numbers.contains(&usize::MAX));
    for key in keys {
        assert_eq!(PollKey::from(usize::from(key)), key);
    }
}

#[test]
fn slots_of_connections_keep_their_numbers() {
    for slot in [0, 1, 7 << 32 | 3, u64::MAX >> 1] {
        let key = PollKey::Connection(SlotKey(slot));
        assert_eq!(usize::from(key) as u64, slot);
        assert_eq!(PollKey::from(slot as usize), key);
    }
}

#[test]
fn signals_and_operators_are_urgent_and_clients_are_not() {
    let urgent: Vec<PollKey> = every_reserved_key().into_iter().filter(|key| key.is_urgent()).collect();
    assert_eq!(urgent.len(), 3 + console::MAX_CALLERS);
    assert!(!PollKey::Connection(SlotKey(0)).is_urgent());
    assert!(!PollKey::ClientListener(ClientListener::Platform).is_urgent());
}
