//! What one gateway holds at the target: entries, and bytes of each by the growth of its memory.
use super::figure::{Figure, Mark};
use super::slopes::Slopes;
use super::target::Target;

/// The module remembers a purge for so many times the time within which it is done everywhere.
const MODULE_REMEMBERS: f64 = 3.0;
/// The copies do so for so many times, and the longest deadline.
const COPIES_REMEMBER: f64 = 2.0;
const BYTES_PER_MB: f64 = 1e6;

/// A table of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct State {
    /// What it holds.
    pub what: &'static str,
    /// Entries at the target.
    pub entries: Figure,
    /// Bytes an entry; none if its series is not measured.
    pub bytes_each: Option<Figure>,
}

/// The tables of a gateway that grow with the fleet or with what comes in.
pub fn gateway_state(slopes: &Slopes, target: &Target) -> Vec<State> {
    let (fleet, load, assumed) = (&target.fleet, &target.load, &target.assumed);
    let in_module = MODULE_REMEMBERS * load.purge_everywhere_seconds;
    let in_copies = COPIES_REMEMBER * load.purge_everywhere_seconds + assumed.longest_deadline_seconds;
    let purges = load.purges_per_second;
    let bytes_of_purge = bytes_each(slopes, "purges", "memory", in_module + in_copies);
    let connections = load.requests_per_second / fleet.gateways / assumed.requests_per_connection;
    let entries = |value: f64| Figure::new(value, "", Mark::Computed);
    vec![
        State {
            what: "stores listed",
            entries: entries(fleet.stores),
            bytes_each: bytes_each(slopes, "stores", "memory", 1.0),
        },
        State {
            what: "gateways named",
            entries: entries(fleet.gateways),
            bytes_each: bytes_each(slopes, "configuration", "memory_after_reloads", 1.0),
        },
        State {
            what: "purges in the module",
            entries: entries(purges * in_module),
            bytes_each: bytes_of_purge.clone(),
        },
        State {
            what: "purges of the copies",
            entries: entries(purges * in_copies),
            bytes_each: bytes_of_purge,
        },
        State {
            what: "connections of clients",
            entries: entries(connections),
            bytes_each: bytes_each(slopes, "clients", "memory", 1.0),
        },
    ]
}

/// Growth of the memory for each unit of size, over the entries that each adds.
fn bytes_each(slopes: &Slopes, case: &str, quantity: &str, entries: f64) -> Option<Figure> {
    let series = slopes.find(case, quantity)?;
    Some(Figure::new(series.fit.slope * BYTES_PER_MB / entries, "bytes", Mark::Computed))
}
