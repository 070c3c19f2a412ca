//! What a router has learned, for the next process of the same router: written down and taken over, never judged.
//! Times are on the clock that both share.
use super::{Indicator, Router, LOAD_SPAN};
use crate::helpers::{Aged, Level, Told, Window};
use crate::interface::{Micros, ObjectId, ServerId};
use crate::purges::PurgeTarget;
use crate::records::Item;

/// What was learned of one server.
#[derive(Debug, Clone)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
struct Kept {
    server: ServerId,
    /// Its start as listed: evidence of one process of a store is none of the next.
    listed: Micros,
    started: Option<Micros>,
    told: Micros,
    roles: [Indicator; 2],
    out: Level,
    flows: Option<f64>,
    sent: Window,
    elsewhere: Window,
    rate: Level,
    failing: f64,
    lost: bool,
    pace: (f64, Micros),
    pause: Micros,
    retry_at: Micros,
}

/// What a router has learned.
#[derive(Debug, Clone, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Learned {
    servers: Vec<Kept>,
    items: Vec<((ObjectId, u64), Item)>,
    /// When an object, or (with none) a group, was purged.
    purges: Vec<((u64, Option<ObjectId>), Micros)>,
    /// When copies of all objects became void.
    #[cfg_attr(feature = "serde", serde(default))]
    purge_floor: Option<Micros>,
    work: Vec<Aged>,
    penalty: Aged,
    unfilled: f64,
    out: Level,
    filling: Level,
    link: Option<f64>,
    link_told: Told,
    all: [Indicator; 2],
    /// Turns at cold servers are drawn from it: both processes draw the same, and the router has one turn.
    seed: u64,
}

/// A purge's target as it is written down.
fn written(target: PurgeTarget) -> (u64, Option<ObjectId>) {
    match target {
        PurgeTarget::Object(object) => (0, Some(object)),
        PurgeTarget::Group(group) => (group, None),
    }
}

impl Router {
    /// What is learned, with so many objects at most, those asked for last.
    pub fn learned(&self, now: Micros, objects: usize) -> Learned {
        let level = |l: &Level| l.settled(now, LOAD_SPAN);
        let servers = self.servers.values().map(|s| Kept {
            server: s.host.server,
            listed: s.host.started,
            started: s.started,
            told: s.told,
            roles: s.roles,
            out: level(&s.out),
            flows: s.flows,
            sent: s.sent.clone(),
            elsewhere: s.elsewhere.clone(),
            rate: s.rate,
            failing: s.failing,
            lost: s.lost,
            pace: s.pace,
            pause: s.pause,
            retry_at: s.retry_at,
        });
        let items = self.items.latest().take(objects).map(|(key, item)| (key, item.clone()));
        Learned {
            servers: servers.collect(),
            items: items.collect(),
            purges: self.purges.iter().map(|(target, at)| (written(target), at)).collect(),
            purge_floor: self.purges.floor(),
            work: self.work.clone(),
            penalty: self.penalty,
            unfilled: self.unfilled,
            out: level(&self.out),
            filling: level(&self.filling),
            link: self.link,
            link_told: self.link_told,
            all: self.all,
            seed: self.seed,
        }
    }

    /// The work sent after this time to servers that are cold: what other processes of this router must know.
    pub fn sent_after(&self, now: Micros, at: Micros) -> Vec<(ServerId, f64)> {
        let cold = self.servers.values().filter(|s| {
            let span = self.settings.cold_span.max(self.settings.parent_cold_span);
            s.started.is_some_and(|started| now < started + span)
        });
        cold.map(|s| (s.host.server, s.sent.after(at))).filter(|(_, work)| *work > 0.0).collect()
    }

    /// Another process of this router has sent that work.
    pub fn sent_elsewhere(&mut self, now: Micros, sent: &[(ServerId, f64)]) {
        for (server, work) in sent {
            if let Some(s) = self.servers.get_mut(server) {
                s.elsewhere.add(*work, now, self.settings.fall_span);
            }
        }
    }

    /// Takes over what another process of this router has learned, once its servers are known. `classes` tells for each
    /// class there which it is here.
    pub fn take_over(&mut self, learned: Learned, classes: &[Option<usize>]) {
        for kept in learned.servers {
            let Some(s) = self.servers.get_mut(&kept.server).filter(|s| s.host.started == kept.listed) else {
                continue;
            };
            (s.started, s.told, s.roles) = (kept.started, kept.told, kept.roles);
            (s.out, s.flows, s.rate) = (kept.out, kept.flows, kept.rate);
            // A cold budget is the router's, whichever of its processes has used it.
            s.elsewhere = kept.sent;
            s.elsewhere.join(kept.elsewhere);
            (s.failing, s.lost, s.pace) = (kept.failing, kept.lost, kept.pace);
            (s.pause, s.retry_at) = (kept.pause, kept.retry_at);
        }
        for (from, to) in classes.iter().enumerate() {
            if let (Some(to), Some(work)) = (to, learned.work.get(from)) {
                self.work[*to] = *work;
            }
        }
        // The latest came first.
        for (key, item) in learned.items.into_iter().rev() {
            self.items.insert(key, item);
        }
        let remembered = self.remember_purges();
        for ((group, object), at) in learned.purges {
            self.purges.record(self.now, PurgeTarget::new(object, group), at, at + remembered);
        }
        if let Some(at) = learned.purge_floor {
            self.purges.raise_floor(at, at + remembered);
        }
        self.seed = learned.seed;
        (self.penalty, self.unfilled) = (learned.penalty, learned.unfilled);
        (self.out, self.filling) = (learned.out, learned.filling);
        (self.link, self.link_told, self.all) = (learned.link, learned.link_told, learned.all);
    }
}
