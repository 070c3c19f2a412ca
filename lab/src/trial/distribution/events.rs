//! The events that the source of a case publishes, by their numbers.
use crate::clock::now;
use crate::trial::list_entry::ListEntry;
use larchway_distribution::EventNumber;
use larchway_endpoints::ListScope;
use std::net::SocketAddr;

/// A list of one store: the complete one, or changes.
pub(in crate::trial) fn list_event(number: EventNumber, scope: ListScope) -> String {
    let is_complete = scope.is_complete();
    let entry = ListEntry {
        host: &format!("s-{number}"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        site: "edge",
        class: "parent",
        health: "up",
        units: 4.0,
        started_ms: 0,
    };
    format!(r#"{{"no":{number},"roster":{{"seq":{number},"whole":{is_complete},"hosts":[{entry}]}}}}"#)
}

/// A purge of one object, issued now.
pub(in crate::trial) fn purge_event(number: EventNumber) -> String {
    let object = larchway::mix(number);
    let issued = now() / 1000;
    format!(r#"{{"no":{number},"recall":{{"item":"{object:016x}","lot":0,"issued":{issued}}}}}"#)
}
