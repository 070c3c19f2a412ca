//! Fetches from the origin: the shield that limits them, and the inference of loops among parents from fills.
use super::messages::Request;
use super::Core;
use crate::slots::SlotKey;
use larchway::{Get, MonotonicTime, Note, ServerId, Status};
use larchway_hierarchy::loop_detection::{
    FillObservation, FillOutcome, LoopInference, LoopInferenceSettings, SuspicionChange,
};
use larchway_hierarchy::origin_admission::{
    AdmissionDecision, AdmissionSettings, FetchEnd, Joining, OriginAdmission,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The usual time of a fill, used while no shield has measured it.
const ASSUMED_FILL_TIME: Duration = Duration::from_millis(100);

/// A fetch from the origin that the shield has admitted.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum OriginFetch {
    /// A part of an object, through a hub.
    Object {
        /// The hub.
        hub: String,
        /// The part, as [`part_key`] names it.
        part: u64,
    },
    /// A write, which takes precedence over all fills.
    Write,
}

/// The shield's decision on the fetch that an attempt needs.
pub(super) enum FetchAdmission {
    /// The attempt needs no fetch from the origin, or joins one in flight.
    NotNeeded,
    /// The fetch is admitted.
    Admitted(OriginFetch),
    /// The fetch is refused.
    Refused,
}

/// The end of an attempt, as far as the fill that it needed is concerned.
#[derive(Clone, Copy)]
pub(super) struct FillResult {
    /// The status with which the attempt ended.
    pub(super) status: Status,
    /// How the store produced the reply, such as from its cache or by a fill, or why it could not.
    pub(super) note: Note,
    /// The duration of the fill.
    pub(super) time: Duration,
}

/// Infers loops by the results of the fills through each parent.
pub(super) struct LoopDetector {
    settings: LoopInferenceSettings,
    parents: BTreeMap<ServerId, LoopInference>,
}

/// The key of a part of an object at the shield.
pub(super) fn part_key(request: &Request) -> u64 {
    larchway::mix(request.object ^ larchway::mix(request.part + 1))
}

impl Core {
    /// Sets the shield of the origin, or removes it; `hubs` has the hub of each parent. A shield with unchanged
    /// settings keeps its learned state.
    pub fn configure_shield(
        &mut self,
        settings: Option<AdmissionSettings>,
        hubs: BTreeMap<ServerId, String>,
    ) {
        self.hubs = hubs;
        if let Some(detector) = &mut self.loop_detector {
            // The state of parents that have left is dropped.
            detector.parents.retain(|id, _| self.hubs.contains_key(id));
        }
        if self.shield.as_ref().map(OriginAdmission::settings) != settings {
            // Fetches that the old shield admitted are unknown to the new one.
            self.attempts.values_mut().for_each(|attempt| attempt.fetch = None);
            let gateways = self.gateway_count;
            self.shield = settings.map(|settings| OriginAdmission::new(settings, gateways));
        }
    }

    /// Sets how loops are inferred from the results of fills, or turns the inference off.
    pub fn configure_loop_inference(&mut self, settings: Option<LoopInferenceSettings>) {
        if self.loop_detector.as_ref().map(|detector| &detector.settings) != settings.as_ref() {
            self.loop_detector = settings.map(|settings| LoopDetector { settings, parents: BTreeMap::new() });
        }
    }

    /// Records the end of a fill through a parent. A run of fills that are rejected or time out indicates a loop.
    pub(super) fn observe_fill(&mut self, now: MonotonicTime, source: ServerId, result: FillResult) {
        let FillResult { status, note, time } = result;
        let usual_fill_time =
            self.shield.as_ref().and_then(OriginAdmission::usual_latency).unwrap_or(ASSUMED_FILL_TIME);
        let Some(LoopDetector { settings, parents }) = &mut self.loop_detector else { return };
        if !self.hubs.contains_key(&source) || matches!(status, Status::Cancelled | Status::NeverSent) {
            return;
        }
        // A reply from the store's own cache says nothing about the parent.
        if status == Status::Ok && matches!(note, Note::Hit | Note::Stale) {
            return;
        }
        let outcome = match (status, note) {
            (_, Note::SourceRefused) => FillOutcome::Rejected,
            (Status::Timeout, _) | (_, Note::SourceLost) => FillOutcome::TimedOut,
            _ => FillOutcome::Other,
        };
        let observation = FillObservation { outcome, waited: time };
        let parent = parents.entry(source).or_insert_with(|| LoopInference::new(*settings));
        let change = parent.observe(now, observation, usual_fill_time);
        if change == SuspicionChange::Begun {
            self.suspected_parents.push(source);
        }
    }

    /// The origin's shield, if there is one.
    pub fn shield(&self) -> Option<&OriginAdmission> {
        self.shield.as_ref()
    }

    /// Whether requests of a class must not be answered from a cache.
    pub(super) fn uncacheable(&self, class: usize) -> bool {
        self.classes.get(class).is_some_and(|slot| slot.settings.class.uncacheable)
    }

    /// Asks the shield to admit the fetch that an attempt needs, if it needs one.
    pub(super) fn admit_fetch(&mut self, now: MonotonicTime, request: SlotKey, get: &Get) -> FetchAdmission {
        let fetches =
            get.source != get.server && !get.cached_only && self.origin_fetchers.contains(&get.source);
        let open = self.requests.get(request).filter(|_| fetches);
        let Some(request) = open.map(|open| &open.request) else { return FetchAdmission::NotNeeded };
        let (is_write, part) = (self.uncacheable(request.class), part_key(request));
        let Some(shield) = &mut self.shield else { return FetchAdmission::NotNeeded };
        if is_write {
            shield.write_started();
            return FetchAdmission::Admitted(OriginFetch::Write);
        }
        let hub = self.hubs.get(&get.source).cloned().unwrap_or_default();
        let joining = if get.join_fill { Joining::Allowed } else { Joining::Forbidden };
        match shield.admit(now, &hub, part, joining) {
            AdmissionDecision::Admit => FetchAdmission::Admitted(OriginFetch::Object { hub, part }),
            AdmissionDecision::Join => FetchAdmission::NotNeeded,
            AdmissionDecision::LimitReached(_)
            | AdmissionDecision::TooSoon(_)
            | AdmissionDecision::RecentlyFailed(_) => FetchAdmission::Refused,
        }
    }

    /// Reports to the shield how a fetch that it admitted has ended.
    pub(super) fn end_fetch(&mut self, now: MonotonicTime, fetch: Option<OriginFetch>, result: FillResult) {
        let (Some(fetch), Some(shield)) = (fetch, &mut self.shield) else { return };
        match fetch {
            OriginFetch::Write => shield.write_ended(),
            OriginFetch::Object { hub, part } => {
                let latency = result.time;
                shield.fetch_ended(now, &hub, part, fetch_end(result.status, result.note), latency);
            }
        }
    }
}

/// The end of a fetch, by the end of the attempt that it was admitted for.
fn fetch_end(status: Status, note: Note) -> FetchEnd {
    match (status, note) {
        (_, Note::OriginFailed) => FetchEnd::Failed,
        (Status::Ok, Note::FilledByOrigin) => FetchEnd::Delivered,
        (Status::Ok, Note::Hit | Note::Stale | Note::Filled) => FetchEnd::OriginNotAsked,
        (Status::Miss, _) => FetchEnd::NotFound,
        // An attempt that timed out may have waited for the origin.
        (Status::Timeout, _) => FetchEnd::Failed,
        _ => FetchEnd::Cancelled,
    }
}
