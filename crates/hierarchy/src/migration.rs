//! Migration of objects between the parents of a branch in small steps. Objects are assigned to parents by weighted
//! rendezvous hashing (Thaler and Ravishankar 1998; the weighted form of Schindelhauer and Schomaker 2005), so that a
//! parent whose weight grows takes objects from the others and moves none among them. The weight of a parent that is
//! added or gets more weight increases in steps, and never above what the parent can serve while it warms up; the
//! weight of a parent that is removed decreases in steps. During a migration, and for a while after it, the previous
//! parent of an object is asked whether it has the object cached.
mod process_starts;
mod settings;
mod weight_ramp;

use larchway::{duration_micros, MonotonicTime};
use larchway_endpoints::endpoint::endpoint_id;
use process_starts::ProcessStarts;
use std::collections::BTreeMap;
use std::time::Duration;
use weight_ramp::WeightRamp;

pub use settings::MigrationSettings;

/// Lower bound of [`MigrationSettings::previous_hold`] as a divisor.
const MIN_PREVIOUS_HOLD: Duration = Duration::from_micros(1);

/// Whether a migration is running or paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MigrationState {
    /// Weights change at each step.
    Running,
    /// Weights stay at the last step.
    Paused,
}

/// The weights of the parents of one branch, during and between migrations.
#[derive(Debug, Clone)]
pub struct Migration {
    settings: MigrationSettings,
    ramps: BTreeMap<String, WeightRamp>,
    /// The weights before the migration.
    previous: BTreeMap<String, f64>,
    /// When the target weights were last set; `None` if no migration has started.
    retargeted_at: Option<MonotonicTime>,
    state: MigrationState,
    starts: ProcessStarts,
}

/// The parents to which an object is assigned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AssignedParents<'a> {
    /// The parent that fetches the object.
    pub parent: &'a str,
    /// The parent that fetched the object before the migration, if it may still have the object cached.
    pub previous: Option<&'a str>,
}

/// The parent of an object by weighted rendezvous hashing; parents without a positive weight are ignored.
pub fn rendezvous<'a>(object: u64, weights: impl Iterator<Item = (&'a str, f64)>) -> Option<&'a str> {
    let object_hash = larchway::mix(object);
    let eligible = weights.filter(|(_, weight)| *weight > 0.0);
    let ranked = eligible
        .map(|(name, weight)| (larchway::rendezvous_rank(object_hash, endpoint_id(name), weight), name));
    ranked.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1))).map(|(_, name)| name)
}

impl Migration {
    /// Creates the state without a migration, with these weights of the parents.
    pub fn new(now: MonotonicTime, settings: MigrationSettings, weights: &BTreeMap<String, f64>) -> Self {
        let constant = |(name, weight): (&String, &f64)| (name.clone(), WeightRamp::constant(now, *weight));
        Migration {
            settings,
            ramps: weights.iter().map(constant).collect(),
            previous: weights.clone(),
            retargeted_at: None,
            state: MigrationState::Running,
            starts: ProcessStarts::default(),
        }
    }

    fn progress(&self, now: MonotonicTime, ramp: &WeightRamp) -> f64 {
        ramp.progress(&self.settings, now, self.state)
    }

    /// The fraction of its weight, up to 1, that a parent can serve now.
    fn warm_up_share(&self, now: MonotonicTime, name: &str) -> f64 {
        let share = |started_at| self.settings.warm_up_share(now.saturating_since(started_at));
        self.starts.get(name).map_or(1.0, share)
    }

    /// The weight of a parent at the current step of the migration, limited to what the parent can serve while it
    /// warms up; 0 if the branch does not have the parent.
    pub fn weight(&self, now: MonotonicTime, name: &str) -> f64 {
        let Some(ramp) = self.ramps.get(name) else { return 0.0 };
        let capacity = ramp.to.max(ramp.from) * self.warm_up_share(now, name);
        ramp.weight(self.progress(now, ramp)).min(capacity)
    }

    /// The current weights of the parents, without those that are 0.
    pub fn weights(&self, now: MonotonicTime) -> BTreeMap<String, f64> {
        let all = self.ramps.keys().map(|name| (name.clone(), self.weight(now, name)));
        all.filter(|(_, weight)| *weight > 0.0).collect()
    }

    /// The weights before the migration; `None` if previous parents are not asked (any longer).
    pub fn previous_weights(&self, now: MonotonicTime) -> Option<&BTreeMap<String, f64>> {
        self.retargeted_at?;
        (now < self.ends_at(now) + self.settings.previous_hold).then_some(&self.previous)
    }

    /// Fraction of the objects whose previous parent is asked: all during the migration, then fewer at each step. If
    /// all stopped at once, the new parents would fetch everything that the previous ones still have cached at the same
    /// time.
    pub fn previous_share(&self, now: MonotonicTime) -> f64 {
        if self.previous_weights(now).is_none() {
            return 0.0;
        }
        let elapsed = duration_micros(now.saturating_since(self.ends_at(now))) as f64;
        let hold = duration_micros(self.settings.previous_hold.max(MIN_PREVIOUS_HOLD)) as f64;
        let steps = self.settings.step_count();
        1.0 - (elapsed / hold * steps).floor() / steps
    }

    /// When the migration ends or has ended; if it is paused, when it would end if resumed now.
    pub fn ends_at(&self, now: MonotonicTime) -> MonotonicTime {
        let end_times = self.ramps.iter().map(|(name, ramp)| {
            let last_step = ramp.ends_at(&self.settings, now, self.state);
            last_step.max(self.warmed_up_at(name, ramp))
        });
        end_times.max().unwrap_or(now)
    }

    /// When a parent with a positive target weight has warmed up; [`MonotonicTime::MIN`] if the parent is not warming
    /// up.
    fn warmed_up_at(&self, name: &str, ramp: &WeightRamp) -> MonotonicTime {
        if ramp.to <= 0.0 || self.settings.initial_share >= 1.0 {
            return MonotonicTime::MIN;
        }
        self.starts.get(name).map_or(MonotonicTime::MIN, |started_at| started_at + self.settings.warm_up)
    }

    /// Whether a migration is in progress.
    pub fn in_progress(&self, now: MonotonicTime) -> bool {
        let changes = |ramp: &WeightRamp| ramp.from != ramp.to && self.progress(now, ramp) < 1.0;
        self.ramps.values().any(changes) || now < self.ends_at(now)
    }

    /// Starts a migration from the current weights to these, in place of the current migration if there is one.
    pub fn retarget(&mut self, now: MonotonicTime, weights: &BTreeMap<String, f64>) {
        if !self.in_progress(now) {
            self.previous = self.weights(now);
        }
        let names: Vec<String> = self.ramps.keys().chain(weights.keys()).cloned().collect();
        for name in names {
            let from = self.weight(now, &name);
            let to = weights.get(&name).copied().unwrap_or(0.0);
            self.ramps.insert(name, WeightRamp::new(now, from, to));
        }
        self.ramps.retain(|_, ramp| ramp.from > 0.0 || ramp.to > 0.0);
        self.retargeted_at = Some(now);
        self.state = MigrationState::Running;
    }

    /// Starts a migration back to the weights before the current one.
    pub fn roll_back(&mut self, now: MonotonicTime) {
        let previous = self.previous.clone();
        self.retarget(now, &previous);
    }

    /// Pauses the migration or resumes it.
    pub fn set_state(&mut self, now: MonotonicTime, state: MigrationState) {
        if state == self.state {
            return;
        }
        let old_state = self.state;
        for ramp in self.ramps.values_mut() {
            let done = ramp.progress(&self.settings, now, old_state);
            *ramp = ramp.resumed(now, done);
        }
        self.state = state;
    }

    /// Records that the process of a parent has started; if several starts are recorded, the latest is used.
    pub fn parent_started(&mut self, name: &str, at: MonotonicTime) {
        self.starts.record(name, at, self.settings.warm_up);
    }

    /// When weights may change next; `None` if no migration is in progress or it is paused.
    pub fn next_due(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        if !self.in_progress(now) || self.state == MigrationState::Paused {
            return None;
        }
        Some(now + self.settings.step_interval())
    }

    /// The parents to which an object is assigned; `None` if no parent has a positive weight.
    pub fn assigned_parents(&self, now: MonotonicTime, object: u64) -> Option<AssignedParents<'_>> {
        let weights = self.ramps.keys().map(|name| (name.as_str(), self.weight(now, name)));
        let parent = rendezvous(object, weights)?;
        let previous = self.previous_parent(now, object).filter(|previous| *previous != parent);
        Some(AssignedParents { parent, previous })
    }

    /// The parent of an object before the migration, if it is still asked for this object.
    fn previous_parent(&self, now: MonotonicTime, object: u64) -> Option<&str> {
        if larchway::unit(larchway::mix(object) ^ 1) > self.previous_share(now) {
            return None;
        }
        let weights = self.previous_weights(now)?;
        rendezvous(object, weights.iter().map(|(name, weight)| (name.as_str(), *weight)))
    }
}
