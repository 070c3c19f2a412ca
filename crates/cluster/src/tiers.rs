//! Tiered membership: which gateways of this gateway's site are alive, and how many are alive at each other site of the
//! zone, in each other zone of the region and in each region.
//!
//! The members of a site monitor each other with the failure detector. They elect a representative, which holds a
//! lease ([`election`]); the representatives of a zone's sites elect the zone's representative, and those of a
//! region's zones the region's. Representatives report the numbers of live gateways upwards and publish tables of
//! them, which are sent down to every gateway. Traffic, memory and computation per gateway do not depend on the size
//! of the fleet, except for the [`Topology`]. See `docs/design/membership-tiers.md`, T1 to T10.
mod candidacy;
mod contacts;
mod count;
mod detection;
pub mod election;
pub mod message;
mod numbers;
mod offices;
mod receiving;
mod reports;
mod tables;
mod timing;
mod topology;
mod view;

use crate::failure_detector::{FailureDetector, MemberState};
use crate::wire::MessageKind;
use crate::FleetFile;
use contacts::Contacts;
use election::Election;
use larchway::{mix, MonotonicTime};
use message::{Content, Message};
use std::sync::Arc;
use std::time::Duration;
use tables::TableState;
use timing::{REGION_REPORT_TIMEOUT, REPORT_TIMEOUT, SITE_RENEWAL};

pub use count::{Count, Version};
pub use reports::{ReportOutcome, Reports};
pub use timing::ElectionTiming;
pub use topology::{SitePlace, Tier, Topology, TopologyError, MAX_CHILDREN, MAX_GROUP_SIZE, TIERS};
pub use view::{GroupReport, TierReport, TiersReport};

/// An event that the membership handles.
#[derive(Debug)]
pub enum Input<'a> {
    /// Time has passed: see [`TieredMembership::next_due`].
    Tick,
    /// A datagram of one of the kinds of this module was received.
    Received {
        /// The kind of message.
        kind: MessageKind,
        /// The number of the member that sent it.
        from: u16,
        /// The body of the message.
        body: &'a [u8],
    },
    /// This gateway begins its graceful shutdown.
    Leave,
}

/// An action to take, or a change to report. Members are identified by their numbers in the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The recipient's member number.
        to: u16,
        /// The kind of message.
        kind: MessageKind,
        /// The encoded body.
        body: Vec<u8>,
    },
    /// The state of a member of this gateway's site has changed.
    StateChanged {
        /// The member's number.
        member: u16,
        /// Its new state.
        state: MemberState,
    },
    /// This gateway has become the representative of its group of a tier.
    Elected {
        /// The tier of the group.
        tier: Tier,
        /// The term of its lease.
        term: u32,
    },
    /// This gateway no longer represents its group of a tier.
    Resigned {
        /// The tier of the group.
        tier: Tier,
    },
    /// This gateway itself was paused for this long.
    Paused(Duration),
    /// This gateway receives nothing from any other member of its site.
    Isolated,
    /// This gateway receives datagrams of its site again after [`Output::Isolated`].
    Reconnected,
}

/// The membership of one gateway in its site, zone and region.
#[derive(Debug)]
pub struct TieredMembership {
    topology: Arc<Topology>,
    own_member: u16,
    /// The number of this gateway's group in each tier.
    own_groups: [u16; TIERS],
    /// The index of that group among its siblings, in each tier.
    own_indices: [usize; TIERS],
    /// The failure detector of this gateway's site; its member numbers are indices within the site.
    detector: FailureDetector,
    /// Whether this gateway receives nothing from any other member of its site.
    is_isolated: bool,
    is_leaving: bool,
    /// By tier, the election of the representative of this gateway's group.
    elections: [Election; TIERS],
    /// By tier, the term of the lease that this gateway held at the last input.
    held_terms: [Option<u32>; TIERS],
    /// By tier, the known representatives of the sibling groups.
    contacts: [Contacts; TIERS],
    /// By tier, the reports of the sibling groups; used while this gateway represents the group above.
    reports: [Reports; TIERS],
    /// By tier, the table of the sibling groups.
    tables: [TableState; TIERS],
    /// By tier, the next report of this gateway's group; used while this gateway represents it.
    outgoing: [OutgoingReport; TIERS],
    datagrams_sent: u64,
    bytes_sent: u64,
}

/// The last report that this gateway has sent as representative of its group, and the time of the next one unless the
/// count or the term changes before.
#[derive(Debug, Clone, Copy, Default)]
struct OutgoingReport {
    version: Version,
    count: Option<Count>,
    next_at: MonotonicTime,
}

impl TieredMembership {
    /// The membership of a gateway that has just started; `None` if the topology does not contain this member. `seed`
    /// must differ at each start.
    pub fn new(
        now: MonotonicTime,
        settings: FleetFile,
        topology: Arc<Topology>,
        own_member: u16,
        seed: u64,
    ) -> Option<Self> {
        let site = topology.group_of(Tier::Site, own_member)?;
        let zone = topology.group_of(Tier::Zone, own_member)?;
        let region = topology.group_of(Tier::Region, own_member)?;
        let own_groups = [site, zone, region];
        let siblings = Tier::ALL.map(|tier| topology.siblings(tier, own_groups[tier.index()]));
        let index_of_group = |tier: Tier| {
            let own = own_groups[tier.index()];
            siblings[tier.index()].iter().position(|group| *group == own).unwrap_or(0)
        };
        let members = topology.children(Tier::Site, site);
        let own_index = members.iter().position(|member| *member == own_member)?;
        let elections = Tier::ALL.map(|tier| {
            let voter_index = tier.below().map_or(own_index, index_of_group);
            new_election(now, &topology, tier, own_groups[tier.index()], (own_member, voter_index), seed)
        });
        let sizes =
            |tier: Tier| siblings[tier.index()].iter().map(|group| topology.size(tier, *group)).collect();
        Some(TieredMembership {
            own_member,
            own_groups,
            own_indices: Tier::ALL.map(index_of_group),
            detector: FailureDetector::new(now, settings, own_index as u16, members.len(), seed),
            is_isolated: false,
            is_leaving: false,
            elections,
            held_terms: [None; TIERS],
            contacts: Tier::ALL.map(|tier| Contacts::new(tier, siblings[tier.index()].len(), seed)),
            reports: Tier::ALL.map(|tier| Reports::new(siblings[tier.index()].len(), report_timeout(tier))),
            tables: Tier::ALL.map(|tier| TableState::new(sizes(tier))),
            outgoing: [OutgoingReport::default(); TIERS],
            datagrams_sent: 0,
            bytes_sent: 0,
            topology,
        })
    }

    /// Replaces the settings of the failure detector; the state of the members is kept.
    pub fn configure(&mut self, settings: FleetFile) {
        self.detector.configure(settings);
    }

    /// Handles an event and appends the resulting actions to `outputs`.
    pub fn handle(&mut self, now: MonotonicTime, input: Input<'_>, outputs: &mut Vec<Output>) {
        self.update_held_leases(now, outputs);
        match input {
            Input::Tick => self.tick(now, outputs),
            Input::Received { kind: MessageKind::Tiers, from, body } => {
                if let Some(message) = Message::decode(body) {
                    self.receive(now, from, message, outputs);
                }
            }
            Input::Received { kind, from, body } => self.detect_received(now, kind, from, body, outputs),
            Input::Leave => self.leave(now, outputs),
        }
        self.update_held_leases(now, outputs);
    }

    /// When [`Input::Tick`] is due.
    pub fn next_due(&self) -> MonotonicTime {
        self.detector.next_due()
    }

    /// Other live members of this gateway's site, chosen at random; at most `number`.
    pub fn random_alive_others(&mut self, number: usize) -> Vec<u16> {
        let chosen = self.detector.random_alive_others(number);
        chosen.into_iter().filter_map(|index| self.member_at(index)).collect()
    }

    /// Datagrams sent so far.
    pub fn datagrams_sent(&self) -> u64 {
        self.datagrams_sent
    }

    /// Bytes of datagrams sent so far, including the envelopes.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    fn tick(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        self.detect_tick(now, outputs);
        for tier in Tier::ALL {
            self.tick_election(now, tier, outputs);
            self.update_held_leases(now, outputs);
        }
        self.publish_tables(now);
        self.send_reports(now, outputs);
        self.send_tables(now, outputs);
    }

    fn leave(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        self.is_leaving = true;
        self.elections.iter_mut().for_each(Election::resign);
        self.detect_leave(now, outputs);
    }

    fn send_message(&mut self, to: u16, tier: Tier, group: u16, content: Content, outputs: &mut Vec<Output>) {
        let body = Message { tier, group, content }.encode();
        self.send(to, MessageKind::Tiers, body, outputs);
    }

    fn send(&mut self, to: u16, kind: MessageKind, body: Vec<u8>, outputs: &mut Vec<Output>) {
        self.datagrams_sent += 1;
        self.bytes_sent += (crate::wire::HEADER_BYTES + body.len()) as u64;
        outputs.push(Output::Send { to, kind, body });
    }
}

fn report_timeout(tier: Tier) -> Duration {
    if tier == Tier::Region {
        REGION_REPORT_TIMEOUT
    } else {
        REPORT_TIMEOUT
    }
}

/// The election of a group; `own` is this gateway's member number and its index among the voters.
fn new_election(
    now: MonotonicTime,
    topology: &Topology,
    tier: Tier,
    group: u16,
    own: (u16, usize),
    seed: u64,
) -> Election {
    let voters = topology.children(tier, group).len();
    let mut timing = ElectionTiming::default();
    if tier == Tier::Site {
        timing.renewal_interval = SITE_RENEWAL;
    } else if voters == 1 {
        // The lease of the only group below already ensures that there is one voter at a time.
        timing.vote_delay = Duration::ZERO;
    }
    let seed = mix(seed ^ tier.index() as u64);
    Election::new(now, timing, own.0, own.1, voters, seed)
}
