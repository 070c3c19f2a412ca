//! The index of a gateway in its tier, and the choice of peers.

/// The index of a gateway in its tier, and the size of the tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TierPosition {
    /// The index of this gateway.
    pub own_index: usize,
    /// The number of gateways in the tier, including this one.
    pub gateways: usize,
}

impl TierPosition {
    /// Whether there is another gateway.
    pub(crate) fn has_peers(self) -> bool {
        self.gateways >= 2
    }

    /// The index of the peer selected by a fraction from 0 to 1, never the own index. The tier must have other gateways
    /// ([`TierPosition::has_peers`]).
    pub(crate) fn peer_at(self, fraction: f64) -> usize {
        let peers = self.gateways - 1;
        let rank = ((fraction * peers as f64) as usize).min(peers - 1);
        rank + usize::from(rank >= self.own_index)
    }
}
