//! The events that the load sharing of a gateway handles.
use larchway::ServerId;

/// An event for [`LoadSharing::handle`](crate::LoadSharing::handle).
#[derive(Debug)]
pub enum Input<'a> {
    /// The stores of the gateway's location that are up, or the number of its gateways, have changed.
    StoresChanged {
        /// The stores that are up.
        stores: Vec<ServerId>,
        /// The number of gateways among which the location's budget of load samples is divided.
        quota_divisor: u64,
    },
    /// A store reported its load with a response.
    LoadReport {
        /// The store.
        store: ServerId,
        /// The reported load; a value out of the range from 0 to 100 is ignored.
        load: f64,
    },
    /// The body of a datagram arrived from a peer.
    Datagram(&'a [u8]),
    /// Time has passed; starts a round if one is due (see [`LoadSharing::next_due`](crate::LoadSharing::next_due)).
    Tick,
}
