//! The body of pings and acks: the sender's knowledge of the members.
//!
//! Layout, numbers big-endian: the sender's heartbeat (4 bytes), flags (1: paused, 2: isolated), number of claims (1),
//! first member of the window (2), the claims ([`CLAIM_BYTES`] each), the heartbeats of the window
//! ([`HEARTBEAT_BYTES`] each) up to the end.
use super::MAX_BODY_BYTES;

/// Length of the header before the claims, in bytes.
pub(super) const GOSSIP_HEADER_BYTES: usize = HEARTBEAT_BYTES + 1 + 1 + 2;
/// Length of a claim in bytes: member (2), heartbeat (4), claimed state (1).
pub(super) const CLAIM_BYTES: usize = 2 + HEARTBEAT_BYTES + 1;
/// Length of a heartbeat in bytes: incarnation (2), beat with the flag of a graceful leave (2).
const HEARTBEAT_BYTES: usize = 4;
/// The bits of a beat number, which is counted modulo 2^14.
pub const BEAT_MASK: u16 = 0x3fff;
/// The flag of a graceful leave, above the bits of the beat.
const LEFT_BIT: u16 = 1 << 14;
/// The flag of a sender that itself was paused.
const PAUSED_FLAG: u8 = 1;
/// The flag of a sender that receives nothing.
const ISOLATED_FLAG: u8 = 2;
/// The claimed state of a member that the sender does not suspect.
const UNSUSPECTED: u8 = u8::MAX;
/// The claimed state of a member that the sender considers dead.
const DEAD: u8 = u8::MAX - 1;
/// Greatest age of a claimed suspicion, in tenths of a second; older suspicions are claimed with this age.
pub const MAX_SUSPICION_AGE: u8 = DEAD - 1;

/// The latest known sign of life of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Heartbeat {
    /// The member's incarnation; 0 if nothing has been received from it.
    pub incarnation: u16,
    /// The number of its latest beat, modulo 2^14, which advances with the member's clock.
    pub beat: u16,
    /// Whether the member has left gracefully.
    pub left: bool,
}

/// The state of a member as claimed by a sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimedState {
    /// The sender does not suspect it.
    Unsuspected,
    /// The sender suspects it, since a ping sent this many tenths of a second ago; at most [`MAX_SUSPICION_AGE`].
    SuspectedFor(u8),
    /// The sender considers it dead.
    Dead,
}

/// A claim about one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberClaim {
    /// The member's number.
    pub member: u16,
    /// The member's latest heartbeat that the sender knows.
    pub heartbeat: Heartbeat,
    /// The member's state according to the sender.
    pub state: ClaimedState,
}

/// The body of a ping or an ack.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Gossip {
    /// The sender's own heartbeat.
    pub own: Heartbeat,
    /// Whether the sender itself was paused recently.
    pub paused: bool,
    /// Whether the sender receives nothing from any other member.
    pub isolated: bool,
    /// Claims about single members: suspected ones, and in an ack those that the ping made claims about.
    pub claims: Vec<MemberClaim>,
    /// The number of the member to which the first heartbeat of `window` belongs.
    pub window_start: u16,
    /// Heartbeats of members with consecutive numbers.
    pub window: Vec<Heartbeat>,
}

/// Whether a beat comes after another, with wrap-around (serial number arithmetic, RFC 1982).
pub fn is_later_beat(new: u16, old: u16) -> bool {
    (1..BEAT_MASK / 2).contains(&(new.wrapping_sub(old) & BEAT_MASK))
}

/// Whether an incarnation comes after another, with wrap-around; 0 (nothing received) comes before all others.
pub fn is_later_incarnation(new: u16, old: u16) -> bool {
    new != 0 && (old == 0 || (1..0x8000).contains(&new.wrapping_sub(old)))
}

impl Heartbeat {
    fn encode(self, bytes: &mut Vec<u8>) {
        bytes.extend_from_slice(&self.incarnation.to_be_bytes());
        let left = if self.left { LEFT_BIT } else { 0 };
        bytes.extend_from_slice(&(self.beat & BEAT_MASK | left).to_be_bytes());
    }

    /// Decodes the first [`HEARTBEAT_BYTES`] of `bytes`, which must be at least that long.
    fn decode(bytes: &[u8]) -> Heartbeat {
        let incarnation = u16::from_be_bytes([bytes[0], bytes[1]]);
        let beat_and_left = u16::from_be_bytes([bytes[2], bytes[3]]);
        Heartbeat { incarnation, beat: beat_and_left & BEAT_MASK, left: beat_and_left & LEFT_BIT != 0 }
    }
}

impl ClaimedState {
    fn to_byte(self) -> u8 {
        match self {
            ClaimedState::Unsuspected => UNSUSPECTED,
            ClaimedState::SuspectedFor(age) => age.min(MAX_SUSPICION_AGE),
            ClaimedState::Dead => DEAD,
        }
    }

    fn from_byte(byte: u8) -> ClaimedState {
        match byte {
            UNSUSPECTED => ClaimedState::Unsuspected,
            DEAD => ClaimedState::Dead,
            age => ClaimedState::SuspectedFor(age),
        }
    }
}

impl MemberClaim {
    fn encode(&self, bytes: &mut Vec<u8>) {
        bytes.extend_from_slice(&self.member.to_be_bytes());
        self.heartbeat.encode(bytes);
        bytes.push(self.state.to_byte());
    }

    /// Decodes `bytes`, which must be [`CLAIM_BYTES`] long.
    fn decode(bytes: &[u8]) -> MemberClaim {
        MemberClaim {
            member: u16::from_be_bytes([bytes[0], bytes[1]]),
            heartbeat: Heartbeat::decode(&bytes[2..]),
            state: ClaimedState::from_byte(bytes[CLAIM_BYTES - 1]),
        }
    }
}

impl Gossip {
    /// The number of heartbeats that fit into the window of a datagram with this many claims.
    pub fn window_capacity(claims: usize) -> usize {
        (MAX_BODY_BYTES - GOSSIP_HEADER_BYTES).saturating_sub(claims * CLAIM_BYTES) / HEARTBEAT_BYTES
    }

    /// Encodes the body; omits claims and heartbeats that do not fit.
    pub fn encode(&self) -> Vec<u8> {
        let max_claims = (MAX_BODY_BYTES - GOSSIP_HEADER_BYTES) / CLAIM_BYTES;
        let claims = &self.claims[..self.claims.len().min(max_claims)];
        let mut bytes = Vec::with_capacity(MAX_BODY_BYTES);
        self.own.encode(&mut bytes);
        let paused = if self.paused { PAUSED_FLAG } else { 0 };
        let isolated = if self.isolated { ISOLATED_FLAG } else { 0 };
        bytes.push(paused | isolated);
        bytes.push(claims.len() as u8);
        bytes.extend_from_slice(&self.window_start.to_be_bytes());
        for claim in claims {
            claim.encode(&mut bytes);
        }
        for heartbeat in self.window.iter().take(Gossip::window_capacity(claims.len())) {
            heartbeat.encode(&mut bytes);
        }
        bytes
    }

    /// Decodes a body; `None` if it is truncated.
    pub fn decode(body: &[u8]) -> Option<Gossip> {
        let (header, rest) = (body.get(..GOSSIP_HEADER_BYTES)?, body.get(GOSSIP_HEADER_BYTES..)?);
        let claims_bytes = usize::from(header[5]) * CLAIM_BYTES;
        let (claims, window) = (rest.get(..claims_bytes)?, rest.get(claims_bytes..)?);
        if window.len() % HEARTBEAT_BYTES != 0 {
            return None;
        }
        Some(Gossip {
            own: Heartbeat::decode(header),
            paused: header[4] & PAUSED_FLAG != 0,
            isolated: header[4] & ISOLATED_FLAG != 0,
            claims: claims.chunks_exact(CLAIM_BYTES).map(MemberClaim::decode).collect(),
            window_start: u16::from_be_bytes([header[6], header[7]]),
            window: window.chunks_exact(HEARTBEAT_BYTES).map(Heartbeat::decode).collect(),
        })
    }
}
