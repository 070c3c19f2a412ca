//! The known representatives of the sibling groups of one tier: the recipients of messages to these groups.
use super::timing::CONTACT_TIMEOUT;
use super::topology::{Tier, Topology};
use larchway::{mix, MonotonicTime};

/// A representative, and when it last sent a message or was last named by another gateway.
#[derive(Debug, Clone, Copy)]
struct Contact {
    member: u16,
    received_at: MonotonicTime,
}

/// The known representatives of the sibling groups by index; one entry per group.
#[derive(Debug)]
pub(super) struct Contacts {
    tier: Tier,
    contacts: Vec<Option<Contact>>,
    /// State of the random choice of members; changes with each choice.
    random_state: u64,
}

impl Contacts {
    pub(super) fn new(tier: Tier, groups: usize, seed: u64) -> Self {
        Contacts { tier, contacts: vec![None; groups], random_state: mix(seed ^ tier.index() as u64) }
    }

    /// Records that a member represents the group at this index, by its own message or because another gateway named
    /// it. Returns whether no representative or a different one was known before.
    pub(super) fn record(&mut self, now: MonotonicTime, group_index: usize, member: u16) -> bool {
        let Some(contact) = self.contacts.get_mut(group_index) else { return false };
        let before = contact.replace(Contact { member, received_at: now });
        before.is_none_or(|before| before.member != member)
    }

    /// The recipient of a message to the group at this index: its representative if known within [`CONTACT_TIMEOUT`],
    /// else a random member, which answers with the name of the representative.
    pub(super) fn recipient(
        &mut self,
        now: MonotonicTime,
        topology: &Topology,
        group_index: usize,
        group: u16,
    ) -> u16 {
        match self.contacts.get(group_index).copied().flatten() {
            Some(contact) if now < contact.received_at + CONTACT_TIMEOUT => contact.member,
            _ => {
                self.random_state = mix(self.random_state);
                topology.pick_member(self.tier, group, self.random_state)
            }
        }
    }
}
