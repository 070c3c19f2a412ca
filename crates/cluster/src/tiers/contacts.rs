//! Which gateway represents each of some groups, as far as is known: to whom messages for them go.
use super::timing::CONTACT_TIMEOUT;
use super::topology::{Tier, Topology};
use larchway::{mix, MonotonicTime};

/// A representative, and when a message of it came or it was named.
#[derive(Debug, Clone, Copy)]
struct Contact {
    member: u16,
    received_at: MonotonicTime,
}

/// The representatives of the groups that stand beside the own one, by their places; as many as those groups.
#[derive(Debug)]
pub(super) struct Contacts {
    tier: Tier,
    contacts: Vec<Option<Contact>>,
    /// Changes with each choice of a member at random.
    random_state: u64,
}

impl Contacts {
    pub(super) fn new(tier: Tier, groups: usize, seed: u64) -> Self {
        Contacts { tier, contacts: vec![None; groups], random_state: mix(seed ^ tier.index() as u64) }
    }

    /// Notes that a member represents the group at this place: it said so, or another gateway named it. Returns
    /// whether another one, or none, was known before.
    pub(super) fn record(&mut self, now: MonotonicTime, place: usize, member: u16) -> bool {
        let Some(contact) = self.contacts.get_mut(place) else { return false };
        let before = contact.replace(Contact { member, received_at: now });
        before.is_none_or(|before| before.member != member)
    }

    /// To whom a message for the group at this place goes: its representative if a message of it came of late, else
    /// some member, who names the representative.
    pub(super) fn recipient(
        &mut self,
        now: MonotonicTime,
        topology: &Topology,
        place: usize,
        group: u16,
    ) -> u16 {
        match self.contacts.get(place).copied().flatten() {
            Some(contact) if now < contact.received_at + CONTACT_TIMEOUT => contact.member,
            _ => {
                self.random_state = mix(self.random_state);
                topology.pick_member(self.tier, group, self.random_state)
            }
        }
    }
}
