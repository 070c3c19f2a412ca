//! The datagrams that gateways exchange: each is one envelope with a message of one part.
use super::cluster::Cluster;
use super::{member_number, Effect, Peers};
use crate::clock;
use crate::system_errors::{uninterrupted, Failure};
use larchway::MonotonicTime;
use larchway_cluster::failure_detector::MemberState;
use larchway_cluster::tiers::{self, Tier};
use larchway_cluster::wire::{self, DecodeError, Envelope, MessageKind};
use larchway_load_sharing::Input;
use std::net::SocketAddr;
use tracing::{info, warn};

/// Datagrams received in a turn of the loop: further ones stay in the socket's queue, and are lost where that is full.
const MAX_DATAGRAMS_PER_TURN: usize = 256;
impl Peers {
    /// Sends a message to a gateway, if there is a socket.
    pub(super) fn send(&self, to: usize, kind: MessageKind, body: &[u8]) {
        if let (Some(socket), Some(address)) = (&self.socket, self.addresses.all.get(to)) {
            // An error counts as loss on the way: no datagram is relied upon.
            let datagram = wire::encode(kind, member_number(self.addresses.own_index), body);
            let _ = uninterrupted(|| socket.send_to(&datagram, address));
        }
    }

    /// Receives the datagrams that have arrived.
    pub fn receive_datagrams(&mut self, now: MonotonicTime) -> Vec<Effect> {
        let mut effects = Vec::new();
        // One byte more than the longest: a datagram that is truncated here must not pass for a complete one.
        let mut buffer = [0; wire::MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Some(socket) = &self.socket else { break };
            match uninterrupted(|| socket.recv_from(&mut buffer)) {
                Ok((length, from)) => match self.receive(now, &buffer[..length], from) {
                    Ok(new_effects) => effects.extend(new_effects),
                    Err(error) => *self.rejected.entry(error).or_default() += 1,
                },
                Err(error) if Failure::of(&error).is_retried_when_ready() => break,
                // The error of an earlier send to a peer that is gone; datagrams of others may follow.
                Err(_) => {}
            }
        }
        effects
    }

    /// Handles a datagram, if it comes from a gateway of the tier and can be decoded.
    fn receive(
        &mut self,
        now: MonotonicTime,
        datagram: &[u8],
        from: SocketAddr,
    ) -> Result<Vec<Effect>, DecodeError> {
        let sender = *self.numbers.get(&from).ok_or(DecodeError::UnknownSender)?;
        let envelope = wire::decode(datagram)?;
        if envelope.from != sender || usize::from(sender) == self.addresses.own_index {
            return Err(DecodeError::UnknownSender);
        }
        self.dispatch(now, envelope)
    }

    /// Hands a datagram to its part; one of a part that is off here is ignored.
    fn dispatch(&mut self, now: MonotonicTime, envelope: Envelope<'_>) -> Result<Vec<Effect>, DecodeError> {
        let Envelope { kind, from, body } = envelope;
        match (kind, &mut self.load_sharing, &mut self.cluster) {
            (MessageKind::Load, Some(load_sharing), _) => {
                load_sharing.handle(now, Input::Datagram(body), &mut Vec::new());
            }
            (MessageKind::StoreHealth, _, Some(cluster)) => {
                let failing = cluster.receive_health(now, body)?;
                return Ok(failing.into_iter().map(Effect::SuspectStore).collect());
            }
            (kind, _, Some(cluster)) => {
                let now = membership_time(cluster, now);
                let outputs = cluster.detect(now, tiers::Input::Received { kind, from, body });
                self.execute(outputs);
            }
            _ => {}
        }
        Ok(Vec::new())
    }

    /// Carries out what the membership asks for.
    pub(super) fn execute(&self, outputs: Vec<tiers::Output>) {
        use tiers::Output::{Elected, Isolated, Paused, Reconnected, Resigned, Send, StateChanged};
        for output in outputs {
            match output {
                Send { to, kind, body } => self.send(usize::from(to), kind, &body),
                StateChanged { member, state: MemberState::Dead } => {
                    warn!("gateway {member} is taken for dead");
                }
                StateChanged { member, state: MemberState::Left } => info!("gateway {member} has left"),
                StateChanged { member, state: MemberState::Alive } => info!("gateway {member} is back"),
                Paused(duration) => warn!(paused_ms = duration.as_millis(), "stood still"),
                Isolated => warn!("no other gateway is heard"),
                Reconnected => info!("other gateways are heard again"),
                Elected { tier, term } => info!(term, "represents its {}", tier_name(tier)),
                Resigned { tier } => info!("no longer represents its {}", tier_name(tier)),
            }
        }
    }
}

/// The time of an event for the membership. One by site reads the clock for each: a grant that a voter reckons from
/// before it received the request, since the process stood still in between, ends too early (T1 of
/// `docs/design/membership-tiers.md`).
pub(super) fn membership_time(cluster: &Cluster, turn_began_at: MonotonicTime) -> MonotonicTime {
    if cluster.is_tiered() {
        clock::now()
    } else {
        turn_began_at
    }
}

fn tier_name(tier: Tier) -> &'static str {
    match tier {
        Tier::Site => "site",
        Tier::Zone => "zone",
        Tier::Region => "region",
    }
}
