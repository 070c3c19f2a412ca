//! Translates events of the ensemble into inputs of the quota lease, which depends on the nodes of the gateways.
use super::instance::zone_of_node;
use super::watches::{WatchKind, Watches};
use larchway_cluster::lease::Input;
use larchway_zookeeper::client::ClientEvent;

/// The zone of a gateway whose node states no zone.
const UNKNOWN_ZONE: usize = usize::MAX;

/// The inputs of the lease that an event causes, in order.
pub(super) fn lease_inputs(event: &ClientEvent, watches: &Watches, own_name: &str) -> Vec<Input> {
    let of_gateways = |watch: usize| watches.kind(watch) == WatchKind::Gateways;
    match event {
        ClientEvent::SessionEstablished { fresh, .. } => {
            let ended = fresh.then_some(Input::SessionEnded);
            ended.into_iter().chain([Input::RereadStarted]).collect()
        }
        ClientEvent::Expired | ClientEvent::Closed => vec![Input::SessionEnded],
        ClientEvent::StateRolledBack => vec![Input::Rewound],
        ClientEvent::Registered(_) => vec![Input::Registered],
        ClientEvent::ChildChanged { watch, name, data, .. } if of_gateways(*watch) => {
            let zone = zone_of_node(data).unwrap_or(UNKNOWN_ZONE);
            vec![Input::NodeAppeared { name: name.clone(), zone }]
        }
        ClientEvent::ChildRemoved { watch, name } if of_gateways(*watch) && name == own_name => {
            // The own node was deleted: until it is created again, the other gateways do not count this one.
            vec![Input::SessionEnded, Input::NodeGone(name.clone())]
        }
        ClientEvent::ChildRemoved { watch, name } if of_gateways(*watch) => {
            vec![Input::NodeGone(name.clone())]
        }
        ClientEvent::Complete { watch, .. } if of_gateways(*watch) => vec![Input::RereadComplete],
        ClientEvent::Synced { watch, requested_at } if of_gateways(*watch) => {
            vec![Input::Synced(*requested_at)]
        }
        _ => Vec::new(),
    }
}
