//! Carries out the actions of a script on a running fleet.
use super::departures::DepartureLog;
use super::fleet::Fleet;
use super::script::Action;
use crate::clock::now;

/// ms for which a store that has to pause makes no call to the service: longer than the trial.
const PAUSE_MS: u64 = 60_000;
/// A node that nobody watches.
const UNRELATED_NODE: &str = "/noise";

/// Carries out one action.
pub(super) fn act(fleet: &Fleet, action: &Action, departures: &DepartureLog) {
    match action {
        Action::SetMode(store, mode) => fleet.member(store).store.set(*mode),
        Action::ExpireSession { store, pause_ms } => expire(fleet, &[store], *pause_ms),
        Action::PauseRegistration(store) => fleet.member(store).registrar.pause(PAUSE_MS),
        Action::ExpireAllBut { remaining, pause_ms } => {
            let caches = caches(fleet);
            expire(fleet, &caches[..caches.len() - remaining], *pause_ms);
        }
        Action::SetNode { store, health } => {
            let member = fleet.member(store);
            member.registrar.set(member.entry(health).as_bytes());
        }
        Action::CloseSession(store) => fleet.member(store).registrar.close(),
        Action::SetListed { store, health } => {
            fleet.bulletin.roster(false, &[fleet.member(store).entry(health)]);
        }
        Action::StallService => set_stalled(fleet, true),
        Action::ResumeService => set_stalled(fleet, false),
        Action::WriteUnrelated { changes } => write_unrelated(fleet, *changes),
        Action::SetLag { server, changes } => fleet.ensemble.with(|ensemble| {
            ensemble.servers[*server].lag = *changes;
            ensemble.apply(*server, *changes);
        }),
        Action::CutConnections { server } => fleet.ensemble.with(|ensemble| ensemble.cut(*server)),
        Action::MarkDeparted(store) => departures.depart(store),
        Action::MarkReturned(store) => departures.return_now(store),
    }
}

fn caches(fleet: &Fleet) -> Vec<&str> {
    let caches = fleet.members.iter().filter(|member| member.class == "standard");
    caches.map(|member| member.name.as_str()).collect()
}

/// Ends the sessions of stores at once; they register again after a pause.
fn expire(fleet: &Fleet, stores: &[&str], pause_ms: u64) {
    for store in stores {
        fleet.member(store).registrar.pause(pause_ms);
    }
    fleet.ensemble.with(|ensemble| {
        for store in stores {
            if let Some(session) = ensemble.owner(&format!("/stores/{store}")) {
                ensemble.end(now(), session);
            }
        }
    });
}

fn set_stalled(fleet: &Fleet, stalled: bool) {
    fleet.ensemble.with(|ensemble| {
        for server in &mut ensemble.servers {
            server.stalled = stalled;
        }
    });
}

fn write_unrelated(fleet: &Fleet, changes: usize) {
    fleet.ensemble.with(|ensemble| {
        for change in 0..changes {
            ensemble.put(now(), UNRELATED_NODE, change.to_string().as_bytes(), 0);
        }
    });
}
