//! The figures of a run in virtual time.
use serde::Serialize;

/// The figures of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Seen {
    /// Removals of members that ran and had not been paused for longer than is tolerated.
    pub false_removals: u64,
    /// Of those, who by whom and when, the first ones.
    pub first_false: Vec<(usize, usize, u64)>,
    /// ms until all that ran knew of a kill that lasted, by kill.
    pub known_ms: Vec<u64>,
    /// Kills that some gateway had not found out at the end.
    pub unknown: u64,
    /// ms until all that ran took a member that had come back for alive, by return.
    pub back_ms: Vec<u64>,
    /// Two changes of a member's state at one gateway within 10 s, in one incarnation of the member.
    pub flaps: u64,
    /// Datagrams that one gateway sends a second, in the mean.
    pub datagrams: f64,
    /// Bytes that one gateway sends a second, in the mean.
    pub bytes: f64,
    /// The most datagrams that one gateway sent within a second.
    pub most: u64,
    /// Bytes of the longest datagram.
    pub longest: usize,
}
