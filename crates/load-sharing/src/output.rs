//! The actions that the caller of a gateway's load sharing must carry out.
use larchway::ServerId;

/// The share of its objects that a store offloads to other stores.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OffloadShare {
    /// The store.
    pub store: ServerId,
    /// The share of its objects, from 0 to 1.
    pub share: f64,
}

/// An action for the caller to carry out.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send a load summary to a peer.
    Send {
        /// The index of the peer in its tier.
        peer: usize,
        /// The encoded summary.
        body: Vec<u8>,
    },
    /// Request a load report from this store.
    SampleLoad(ServerId),
    /// The stores that offload objects from now on; all others offload none.
    OffloadShares(Vec<OffloadShare>),
}
