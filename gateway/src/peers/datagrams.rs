//! The datagrams between gateways: each is one envelope with one message of the failure detector, the health gossip
//! or the load sharing.
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

/// Most datagrams received per turn of the event loop; further ones stay in the socket's queue, and are lost if it is
/// full.
const MAX_DATAGRAMS_PER_TURN: usize = 256;
impl Peers {
    /// Sends a message to the gateway with this index, if there is a socket.
    pub(super) fn send(&self, to: usize, kind: MessageKind, body: &[u8]) {
        if let (Some(socket), Some(address)) = (&self.socket, self.addresses.all.get(to)) {
            // An error is treated like a lost datagram, which all senders tolerate.
            let datagram = wire::encode(kind, member_number(self.addresses.own_index), body);
            let _ = uninterrupted(|| socket.send_to(&datagram, address));
        }
    }

    /// Receives the datagrams that have arrived.
    pub fn receive_datagrams(&mut self, now: MonotonicTime) -> Vec<Effect> {
        let mut effects = Vec::new();
        // One byte more than the longest datagram, so that a truncated one is not accepted as complete.
        let mut buffer = [0; wire::MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Some(socket) = &self.socket else { break };
            match uninterrupted(|| socket.recv_from(&mut buffer)) {
                Ok((length, from)) => match self.receive(now, &buffer[..length], from) {
                    Ok(new_effects) => effects.extend(new_effects),
                    Err(error) => *self.rejected.entry(error).or_default() += 1,
                },
                Err(error) if Failure::of(&error).is_retried_when_ready() => break,
                // The error of an earlier send to an unreachable peer; datagrams of others may follow.
                Err(_) => {}
            }
        }
        effects
    }

    /// Handles a datagram; returns an error if it is not from a gateway of the tier or cannot be decoded.
    fn receive(
        &mut self,
        now: MonotonicTime,
        datagram: &[u8],
        from: SocketAddr,
    ) -> Result<Vec<Effect>, DecodeError> {
        let sender = *self.member_numbers.get(&from).ok_or(DecodeError::UnknownSender)?;
        let envelope = wire::decode(datagram)?;
        if envelope.from != sender || usize::from(sender) == self.addresses.own_index {
            return Err(DecodeError::UnknownSender);
        }
        self.dispatch(now, envelope)
    }

    /// Passes a message to the component that it is for; ignores it if that component is off here.
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
                let outputs = cluster.handle_membership(now, tiers::Input::Received { kind, from, body });
                self.execute(outputs);
            }
            _ => {}
        }
        Ok(Vec::new())
    }

    /// Executes the outputs of the membership: sends its messages and logs its events.
    pub(super) fn execute(&self, outputs: Vec<tiers::Output>) {
        use tiers::Output::{Elected, Isolated, Paused, Reconnected, Resigned, Send, StateChanged};
        for output in outputs {
            match output {
                Send { to, kind, body } => self.send(usize::from(to), kind, &body),
                StateChanged { member, state: MemberState::Dead } => {
                    warn!("gateway {member} is considered dead");
                }
                StateChanged { member, state: MemberState::Left } => info!("gateway {member} has left"),
                StateChanged { member, state: MemberState::Alive } => info!("gateway {member} is back"),
                Paused(duration) => warn!(paused_ms = duration.as_millis(), "this process was paused"),
                Isolated => warn!("no other gateway can be reached"),
                Reconnected => info!("other gateways can be reached again"),
                Elected { tier, term } => info!(term, "represents its {}", tier_name(tier)),
                Resigned { tier } => info!("no longer represents its {}", tier_name(tier)),
            }
        }
    }
}

/// The time of an event for the membership. Tiered membership reads the clock for each event: if the process was
/// paused since the turn began, a voter would date its grant before it received the request, and the grant would end
/// too early (T1 of `docs/design/membership-tiers.md`).
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
