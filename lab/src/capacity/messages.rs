//! The messages that reach and leave each role at the target: rates, bytes, fan-in and fan-out.
use super::division::bytes_per_purge;
use super::figure::{Figure, Mark};
use super::slopes::{at, Slopes};
use super::target::Target;

/// The full target, as a size of the case `control`.
const FULL_TARGET: f64 = 1.0;

/// A kind of message.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// Its kind.
    pub kind: &'static str,
    /// From whom to whom.
    pub path: &'static str,
    /// Messages a second that one sender begins.
    pub per_second: Figure,
    /// Bytes of one; none if that is not measured.
    pub bytes: Option<Figure>,
    /// Senders that one receiver hears.
    pub fan_in: Figure,
    /// Receivers of one message.
    pub fan_out: Figure,
}

/// The messages of today, with the source read by each gateway itself.
pub fn messages(slopes: &Slopes, target: &Target) -> Vec<Message> {
    let fleet = &target.fleet;
    let count = |value: f64| Figure::new(value, "", Mark::Computed);
    let rate = |value: f64| Figure::new(value, "a second", Mark::Computed);
    let to_all = |kind, path, per_second: f64, bytes| Message {
        kind,
        path,
        per_second: rate(per_second),
        bytes,
        fan_in: count(1.0),
        fan_out: count(fleet.gateways),
    };
    let requests = target.load.requests_per_second / fleet.gateways;
    let to_stores = requests * (1.0 - target.assumed.answered_by_copies);
    let changes = target.changes_per_second();
    let purge = bytes_per_purge(slopes).ok().map(|bytes| Figure::new(bytes, "bytes", Mark::Computed));
    let document = slopes.find("configuration", "document").map(|series| at(series, fleet.gateways));
    let file = slopes.find("configuration", "file").map(|series| at(series, fleet.gateways));
    vec![
        to_all("purge", "source to gateways", target.load.purges_per_second, purge),
        to_all("list change", "source to gateways", changes, change_bytes(slopes, changes)),
        to_all("configuration", "operators to gateways, by file", changes, file),
        to_all("configuration", "source to gateways, as documents", changes, document),
        Message {
            kind: "request at the peak",
            path: "gateway to a store of its site",
            per_second: rate(to_stores),
            bytes: None,
            fan_in: count(fleet.gateways / fleet.sites),
            fan_out: count(1.0),
        },
    ]
}

/// What list changes add to the comments of an idle source, over their rate.
fn change_bytes(slopes: &Slopes, changes_per_second: f64) -> Option<Figure> {
    let with_changes = at(slopes.find("control", "bytes_list_alone")?, FULL_TARGET).value;
    let idle = at(slopes.find("control", "bytes_idle")?, FULL_TARGET).value;
    Some(Figure::new((with_changes - idle) / changes_per_second, "bytes", Mark::Computed))
}
