//! The effects that the exchange between gateways requests from the event loop.
use larchway::ServerId;

/// An effect to be carried out by the event loop.
#[derive(Debug)]
pub enum Effect {
    /// Each of these stores offloads this share of its objects; all other stores offload none.
    OffloadShares(Vec<(ServerId, f64)>),
    /// Request a load report from this store.
    SampleLoad(ServerId),
    /// Another gateway reported that this store fails.
    SuspectStore(ServerId),
    /// The usable quotas or the number of live gateways have changed: see [`Peers::quotas`](super::Peers::quotas).
    QuotasChanged,
    /// The datagram socket was replaced and must be registered with the poller.
    SocketReplaced,
}
