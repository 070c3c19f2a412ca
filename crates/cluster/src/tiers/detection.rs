//! The failure detector of this gateway's site. It identifies members by their indices within the site. Its messages
//! have their own kinds, so that gateways without tiers, whose failure detector covers the whole fleet, do not process
//! them.
use super::topology::Tier;
use super::{Output, TieredMembership};
use crate::failure_detector::{Input as DetectorInput, Output as DetectorOutput};
use crate::wire::MessageKind;
use larchway::MonotonicTime;

/// The message kind within a site for a kind of the failure detector.
fn site_kind(kind: MessageKind) -> MessageKind {
    match kind {
        MessageKind::Ping => MessageKind::SitePing,
        MessageKind::Ack => MessageKind::SiteAck,
        MessageKind::IndirectPing => MessageKind::SiteIndirectPing,
        other => other,
    }
}

/// The failure detector's message kind for a kind within a site; `None` for other messages.
fn detector_kind(kind: MessageKind) -> Option<MessageKind> {
    match kind {
        MessageKind::SitePing => Some(MessageKind::Ping),
        MessageKind::SiteAck => Some(MessageKind::Ack),
        MessageKind::SiteIndirectPing => Some(MessageKind::IndirectPing),
        _ => None,
    }
}

impl TieredMembership {
    /// The members of this gateway's site.
    pub(super) fn site_members(&self) -> &[u16] {
        self.topology.children(Tier::Site, self.own_groups[Tier::Site.index()])
    }

    /// The member number at an index of this gateway's site.
    pub(super) fn member_at(&self, index: u16) -> Option<u16> {
        self.site_members().get(usize::from(index)).copied()
    }

    pub(super) fn detect_tick(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        self.detect(now, DetectorInput::Tick, outputs);
    }

    pub(super) fn detect_leave(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        self.detect(now, DetectorInput::Leave, outputs);
    }

    /// Passes a message of a member of this gateway's site to the failure detector; ignores messages of other members.
    pub(super) fn detect_received(
        &mut self,
        now: MonotonicTime,
        kind: MessageKind,
        from: u16,
        body: &[u8],
        outputs: &mut Vec<Output>,
    ) {
        let index = self.site_members().iter().position(|member| *member == from);
        if let (Some(kind), Some(index)) = (detector_kind(kind), index) {
            self.detect(now, DetectorInput::Received { kind, from: index as u16, body }, outputs);
        }
    }

    /// Passes an input to the failure detector, and translates its outputs.
    fn detect(&mut self, now: MonotonicTime, input: DetectorInput<'_>, outputs: &mut Vec<Output>) {
        let mut detector_outputs = Vec::new();
        self.detector.handle(now, input, &mut detector_outputs);
        for output in detector_outputs {
            self.apply_detector_output(output, outputs);
        }
    }

    fn apply_detector_output(&mut self, output: DetectorOutput, outputs: &mut Vec<Output>) {
        match output {
            DetectorOutput::Send { to, kind, body } => {
                if let Some(to) = self.member_at(to) {
                    self.send(to, site_kind(kind), body, outputs);
                }
            }
            DetectorOutput::StateChanged { member, state } => {
                if let Some(member) = self.member_at(member) {
                    outputs.push(Output::StateChanged { member, state });
                }
            }
            DetectorOutput::Paused(duration) => outputs.push(Output::Paused(duration)),
            DetectorOutput::Isolated => {
                self.is_isolated = true;
                outputs.push(Output::Isolated);
            }
            DetectorOutput::Reconnected => {
                self.is_isolated = false;
                outputs.push(Output::Reconnected);
            }
        }
    }
}
