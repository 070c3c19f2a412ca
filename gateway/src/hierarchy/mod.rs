//! The hierarchy of caches: its file, changes of it from the file and from the ensemble, and the resulting weights of
//! parents for the decision module. Reading the file is the only I/O here.
mod error;
mod file;
mod infer_file;
mod loop_guard;
mod plan;
mod report;
mod shield_file;

pub use error::{HierarchyFileError, RejectedChange, TopologyError, TopologyKey};
pub use file::HierarchyFile;
pub use infer_file::InferFile;
pub use loop_guard::OwnHop;
pub use plan::MigrationPlan;
pub use report::{HierarchyReport, ShieldReport};
pub use shield_file::ShieldFile;

use larchway::{MonotonicTime, ParentWeights, ServerId, ServerWeight};
use larchway_endpoints::endpoint::endpoint_id;
use larchway_endpoints::Endpoint;
use larchway_hierarchy::change_log::{Change, ChangeLog};
use larchway_hierarchy::loop_detection::LoopInferenceSettings;
use larchway_hierarchy::migration::{Migration, MigrationSettings};
use larchway_hierarchy::origin_admission::AdmissionSettings;
use larchway_hierarchy::topology::Topology;
use loop_guard::LoopGuard;
use report::ParentReport;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tracing::{info, warn};

/// The weights of parents, by their names.
type WeightByParent = BTreeMap<String, f64>;

/// The weights of the parents behind a branch.
fn branch_weights(topology: &Topology, branch: &str) -> WeightByParent {
    let names = topology.branches().get(branch).cloned().unwrap_or_default();
    let weight = |name: &String| topology.parents().get(name).map(|parent| parent.weight);
    names.into_iter().filter_map(|name| weight(&name).map(|weight| (name, weight))).collect()
}

/// The weights of parents, by their ids.
fn weights_by_id(weights: &WeightByParent) -> Vec<ServerWeight> {
    let by_id = |(name, weight): (&String, &f64)| ServerWeight { server: endpoint_id(name), weight: *weight };
    weights.iter().map(by_id).collect()
}

/// The slow start of parents, where the file does not set it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ParentSlowStart {
    /// The share of its weight that a parent has right after its start.
    pub initial_share: f64,
    /// The time from the start until a parent has its full weight.
    pub duration: Duration,
}

/// The state of the hierarchy.
pub struct Hierarchy {
    file: HierarchyFile,
    change_log: ChangeLog,
    migration: Migration,
    /// The weights at the end of the migration.
    target_weights: WeightByParent,
    /// The weights last sent to the decision module; none before the first.
    sent_weights: Option<ParentWeights>,
    /// When the weights must be computed again; none while they do not change with time.
    next_due: Option<MonotonicTime>,
    loop_guard: LoopGuard,
}

impl Hierarchy {
    /// Creates the hierarchy of a file, with no migration in progress.
    pub fn new(
        now: MonotonicTime,
        file: HierarchyFile,
        slow_start: ParentSlowStart,
    ) -> Result<Self, TopologyError> {
        let mut change_log = ChangeLog::new(file.epoch, file.base_topology()?);
        for change in &file.changes {
            change_log.submit(change.clone());
        }
        let target_weights = branch_weights(change_log.topology(), &file.branch);
        let settings = migration_settings(&file, slow_start);
        let migration = Migration::new(now, settings, &target_weights);
        Ok(Hierarchy {
            file,
            change_log,
            migration,
            target_weights,
            sent_weights: None,
            next_due: None,
            loop_guard: LoopGuard::default(),
        })
    }

    /// Puts another file in force. Its changes are added to the known ones; if the base topology or its epoch
    /// differs, the change log is reset. Objects migrate in steps in both cases.
    pub fn configure(&mut self, now: MonotonicTime, file: HierarchyFile) -> Result<(), TopologyError> {
        let topology = file.base_topology()?;
        if file.epoch != self.file.epoch || topology != self.file.base_topology()? {
            self.change_log = ChangeLog::new(file.epoch, topology);
        }
        for change in &file.changes {
            self.change_log.submit(change.clone());
        }
        self.migration.set_state(now, file.migration_state());
        self.file = file;
        self.retarget(now);
        Ok(())
    }

    /// Sets the name of this gateway in trails.
    pub fn set_own_name(&mut self, name: &str) {
        self.loop_guard.set_own_name(name);
    }

    /// The hop that this gateway adds to trails, where stores accept trails.
    pub fn own_hop(&self) -> Option<OwnHop> {
        let name = &self.loop_guard.own_name;
        self.file.trails.then(|| OwnHop { name: name.clone(), epoch: self.change_log.epoch() })
    }

    /// The settings of the loop inference; none if loops are not inferred.
    pub fn loop_inference(&self) -> Option<LoopInferenceSettings> {
        self.file.infer.as_ref().map(InferFile::settings)
    }

    /// Whether a request with this trail is free of loops. A request that has passed this gateway, or any hop twice,
    /// is in a loop; a trail that cannot be parsed counts as a loop.
    pub fn admits_trail(&mut self, trail: &str) -> bool {
        self.loop_guard.admits(trail, self.change_log.topology(), self.change_log.epoch())
    }

    /// Excludes a parent for the configured time, because its fills fail as they do in a loop. It is still used if no
    /// other parent is left.
    pub fn exclude_parent(&mut self, now: MonotonicTime, parent: ServerId) {
        let hold_ms = self.file.infer.as_ref().map_or(0, |infer| infer.hold_ms);
        self.loop_guard.exclude(parent, now + Duration::from_millis(hold_ms));
        self.next_due = Some(now);
    }

    /// The path of the ensemble whose children are changes.
    pub fn changes_path(&self) -> Option<&str> {
        self.file.path.as_deref()
    }

    /// Handles the data of a node that is a change of the topology.
    pub fn handle_change_node(&mut self, now: MonotonicTime, node: &str, data: &[u8]) {
        let change: Change = match serde_json::from_slice(data) {
            Ok(change) => change,
            Err(error) => return warn!(%error, "the change {node} is passed over"),
        };
        let outcome = self.change_log.submit(change.clone());
        match RejectedChange::check(&change, &outcome) {
            Err(error) => warn!("rejected the change {node}{error}"),
            Ok(()) => info!("the change {node} ({}): {outcome}", change.id),
        }
        self.retarget(now);
    }

    /// Observes the starts of endpoints: a parent that has started is in slow start.
    pub fn observe_endpoints(&mut self, now: MonotonicTime, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            let Some(started_at) = endpoint.host.known_start() else { continue };
            self.migration.parent_started(&endpoint.name, started_at);
        }
        self.next_due = Some(now);
    }

    /// Starts a migration if the topology gives the branch other weights.
    fn retarget(&mut self, now: MonotonicTime) {
        let target_weights = branch_weights(self.change_log.topology(), &self.file.branch);
        // A removed branch retains its parents, since its gateways still serve clients.
        if target_weights != self.target_weights && !target_weights.is_empty() {
            let epoch = self.change_log.epoch();
            info!(from = ?self.target_weights, to = ?target_weights, "epoch {epoch}: objects move");
            self.migration.retarget(now, &target_weights);
            self.migration.set_state(now, self.file.migration_state());
            self.target_weights = target_weights;
        }
        self.next_due = Some(now);
    }

    /// When [`Hierarchy::tick`] must be called next, if ever.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        self.next_due
    }

    /// Computes the weights for the decision module, and returns them if they have changed.
    pub fn tick(&mut self, now: MonotonicTime) -> Option<ParentWeights> {
        self.loop_guard.expire(now);
        let weights = self.parent_weights(now);
        // The end of the period in which previous parents are asked has no timer of its own, so it is checked at each
        // step.
        let step = Duration::from_millis(self.file.step_ms);
        let previous_check = (!weights.previous.is_empty()).then(|| now + step);
        let migration_due = self.migration.next_due(now).or(previous_check);
        self.next_due = migration_due.into_iter().chain(self.loop_guard.next_expiry()).min();
        if self.sent_weights.as_ref() == Some(&weights) {
            return None;
        }
        self.sent_weights = Some(weights.clone());
        Some(weights)
    }

    fn parent_weights(&self, now: MonotonicTime) -> ParentWeights {
        let mut weights = weights_by_id(&self.migration.weights(now));
        self.loop_guard.remove_excluded(&mut weights);
        ParentWeights {
            weights,
            previous: self.migration.previous_weights(now).map(weights_by_id).unwrap_or_default(),
            previous_share: self.migration.previous_share(now),
        }
    }

    /// The settings of the origin's shield, if there is one.
    pub fn shield_settings(&self) -> Option<AdmissionSettings> {
        self.file.shield.as_ref().map(ShieldFile::admission_settings)
    }

    /// The hub of each parent of the topology in force.
    pub fn hubs_by_parent(&self) -> BTreeMap<ServerId, String> {
        let parents = self.change_log.topology().parents().iter();
        parents.map(|(name, parent)| (endpoint_id(name), parent.hub.clone())).collect()
    }

    /// The report for operators.
    pub fn report(&self, now: MonotonicTime, shield: Option<ShieldReport>) -> HierarchyReport {
        let ends_in = self.migration.ends_at(now).saturating_since(now);
        HierarchyReport {
            epoch: self.change_log.epoch(),
            pending_changes: self.change_log.pending(),
            branch: self.file.branch.clone(),
            migrating: self.migration.in_progress(now),
            paused: self.file.paused,
            ends_in_ms: ends_in.as_millis() as u64,
            parents: self.parent_reports(now),
            shield,
            loops_found: self.loop_guard.loops_found,
            loops_inferred: self.loop_guard.loops_inferred,
            excluded_parents: self.loop_guard.excluded().map(|id| format!("{id:08x}")).collect(),
        }
    }

    fn parent_reports(&self, now: MonotonicTime) -> BTreeMap<String, ParentReport> {
        let current_weights = self.migration.weights(now);
        let topology = self.change_log.topology();
        let weight = |weights: &WeightByParent, name: &String| weights.get(name).copied().unwrap_or(0.0);
        let report = |name: &String| ParentReport {
            current_weight: weight(&current_weights, name),
            target_weight: weight(&self.target_weights, name),
            upstream_path: topology.upstream_path(name).into_iter().map(String::from).collect(),
        };
        let names: BTreeSet<&String> = current_weights.keys().chain(self.target_weights.keys()).collect();
        names.into_iter().map(|name| (name.clone(), report(name))).collect()
    }
}

/// The settings of migrations; `slow_start` applies where the file does not set the slow start of parents.
fn migration_settings(file: &HierarchyFile, slow_start: ParentSlowStart) -> MigrationSettings {
    let from_file = file.cold_ms.map(Duration::from_millis);
    MigrationSettings {
        steps: file.steps,
        step: Duration::from_millis(file.step_ms),
        initial_share: file.cold_from.unwrap_or(slow_start.initial_share),
        warm_up: from_file.unwrap_or(slow_start.duration),
        previous_hold: Duration::from_millis(file.keep_ms),
    }
}
