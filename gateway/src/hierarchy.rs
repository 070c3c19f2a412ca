//! The hierarchy for the daemon: an operator file and, where it names a path, changes that hang in the ensemble; what
//! follows for the module. Knows no socket.
use crate::config::operator_file;
use crate::log;
use larchway::{Homes, Micros, ServerId};
use larchway_hierarchy::ledger::{Change, Fate, Ledger};
use larchway_hierarchy::loops::{self, Found};
use larchway_hierarchy::moves::{Moves, Terms};
use larchway_hierarchy::shape::{Edit, Parent, Shape};
use larchway_hierarchy::shield;
use larchway_members::entry::store_id;
use larchway_members::Entry;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The hierarchy's file under `deploy/`. Its schema is printed by `larchway schema hierarchy`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HierarchyFile {
    /// The branch that this gateway serves.
    pub branch: String,
    /// The number of the shape below.
    #[serde(default)]
    pub epoch: u64,
    /// The parents by name.
    pub parents: BTreeMap<String, Parent>,
    /// The branches, each with the parents that stand behind it.
    pub branches: BTreeMap<String, BTreeSet<String>>,
    /// Changes upon that shape and upon those that they make, in any order.
    #[serde(default)]
    pub changes: Vec<Change>,
    /// A path of the ensemble whose children are further changes, one each, in the same form.
    pub path: Option<String>,
    /// In how many steps objects move.
    #[serde(default = "steps")]
    pub steps: u32,
    /// ms a step.
    #[serde(default = "step_ms")]
    pub step_ms: u64,
    /// ms after a move for which the home of before is still asked for what it holds.
    #[serde(default = "keep_ms")]
    pub keep_ms: u64,
    /// Share of its weight that a parent which has just started can give; without it, as the settings say.
    pub cold_from: Option<f64>,
    /// ms in which a started parent warms; without it, as the settings say.
    pub cold_ms: Option<u64>,
    /// Whether moves stand still.
    #[serde(default)]
    pub paused: bool,
    /// Whether stores take the field `via`, which says where a request has been. Not on the platform.
    #[serde(default)]
    pub trails: bool,
    /// How loops are inferred where no trail is carried; without it, they are not.
    pub infer: Option<InferFile>,
    /// The shield of the origin; without it, fills are limited by the module's own rules alone.
    pub shield: Option<ShieldFile>,
}

/// How loops are inferred.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct InferFile {
    /// Over how many fills of a parent.
    pub window: u32,
    /// Which share of them must have found no place or run out of time.
    pub share: f64,
    /// ms for which a suspect parent is left out.
    pub hold_ms: u64,
}

impl Default for InferFile {
    fn default() -> Self {
        InferFile { window: 8, share: 0.75, hold_ms: 5000 }
    }
}

impl InferFile {
    fn check(&self) -> Result<(), String> {
        if !(4..=1000).contains(&self.window) {
            return Err(format!("infer.window: {} is not from 4 to 1000", self.window));
        }
        if !(0.5..=1.0).contains(&self.share) {
            return Err(format!("infer.share: {} is not from 0.5 to 1", self.share));
        }
        if !(100..=600_000).contains(&self.hold_ms) {
            return Err(format!("infer.hold_ms: {} is not from 100 to 600000", self.hold_ms));
        }
        Ok(())
    }
}

/// How the origin is shielded from fills. Limits are those of all gateways together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ShieldFile {
    /// Fills out at once at the beginning.
    pub first: u32,
    /// Fills out at once at the least.
    pub least: u32,
    /// Fills out at once at the most.
    pub most: u32,
    /// Factor by which the limit falls at a sign of trouble.
    pub decrease: f64,
    /// An answer slower than the least of late times this is a sign of trouble.
    pub slow: f64,
    /// ms for which the least answer time counts.
    pub memory_ms: u64,
    /// Share of the limit that one hub may take while others want it too.
    pub hub_share: f64,
    /// ms between two fills of one object where they can't be joined.
    pub space_ms: u64,
    /// ms for which what the origin could not give is not asked for again.
    pub forget_ms: u64,
    /// Objects remembered.
    pub objects: u32,
}

impl Default for ShieldFile {
    fn default() -> Self {
        let usual = shield::Terms::default();
        ShieldFile {
            first: usual.first as u32,
            least: usual.least as u32,
            most: usual.most as u32,
            decrease: usual.decrease,
            slow: usual.slow,
            memory_ms: usual.memory / 1000,
            hub_share: usual.hub_share,
            space_ms: usual.space / 1000,
            forget_ms: usual.forget / 1000,
            objects: usual.objects as u32,
        }
    }
}

impl ShieldFile {
    fn check(&self) -> Result<(), String> {
        if self.least < 1 || self.first < self.least || self.most < self.first {
            return Err(
                "shield.least, first, most: they must be 1 or more, each no less than the one before".into(),
            );
        }
        for (key, value, from, to) in [
            ("decrease", self.decrease, 0.1, 0.99),
            ("slow", self.slow, 1.1, 100.0),
            ("hub_share", self.hub_share, 0.01, 1.0),
        ] {
            if !(from..=to).contains(&value) {
                return Err(format!("shield.{key}: {value} is not from {from} to {to}"));
            }
        }
        for (key, value, to) in [
            ("memory_ms", self.memory_ms, 3_600_000),
            ("space_ms", self.space_ms, 60_000),
            ("forget_ms", self.forget_ms, 600_000),
            ("objects", u64::from(self.objects), 1_000_000),
        ] {
            if !(1..=to).contains(&value) {
                return Err(format!("shield.{key}: {value} is not from 1 to {to}"));
            }
        }
        Ok(())
    }

    /// In the shield's terms.
    pub fn terms(&self) -> shield::Terms {
        shield::Terms {
            first: f64::from(self.first),
            least: f64::from(self.least),
            most: f64::from(self.most),
            decrease: self.decrease,
            slow: self.slow,
            memory: self.memory_ms * 1000,
            hub_share: self.hub_share,
            space: self.space_ms * 1000,
            forget: self.forget_ms * 1000,
            objects: self.objects as usize,
        }
    }
}

fn steps() -> u32 {
    20
}

fn step_ms() -> u64 {
    1000
}

fn keep_ms() -> u64 {
    20_000
}

/// Reads and checks the file; errors name the key, or the edit that does not fit.
pub fn read(text: &str) -> Result<HierarchyFile, String> {
    let file: HierarchyFile = operator_file(text)?;
    let shape = base(&file)?;
    if !shape.branches().contains_key(&file.branch) {
        return Err(format!("branch: {:?} is not among branches", file.branch));
    }
    if !(1..=10_000).contains(&file.steps) {
        return Err(format!("steps: {} is not from 1 to 10000", file.steps));
    }
    if !(10..=3_600_000).contains(&file.step_ms) {
        return Err(format!("step_ms: {} is not from 10 to 3600000", file.step_ms));
    }
    if file.cold_from.is_some_and(|share| !(0.0..=1.0).contains(&share)) {
        return Err(format!("cold_from: {} is not from 0 to 1", file.cold_from.unwrap_or(0.0)));
    }
    if let Some(shield) = &file.shield {
        shield.check()?;
    }
    if let Some(infer) = &file.infer {
        infer.check()?;
    }
    let mut ledger = Ledger::new(file.epoch, shape);
    for (at, change) in file.changes.iter().enumerate() {
        if let Some(why) = refused(change, &ledger.take(change.clone())) {
            return Err(format!("changes[{at}]{why}"));
        }
    }
    Ok(file)
}

/// Reads the file at a path.
pub fn file(path: &str) -> Result<HierarchyFile, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {path}: {e}"))?;
    read(&text).map_err(|e| format!("{path}: {e}"))
}

/// The schema of the file.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(HierarchyFile)).unwrap_or_default()
}

/// What is wrong with a change, if anything is.
fn refused(change: &Change, fate: &Fate) -> Option<String> {
    match fate {
        Fate::Refused(at, why) => {
            let edit = change.edits.get(*at).map_or(String::new(), ToString::to_string);
            Some(format!(".edits[{at}] ({edit}): {why}"))
        }
        Fate::Late => Some(format!(".upon: epoch {} is kept no more", change.upon)),
        Fate::Mistaken => Some(format!(".id: {:?} is that of another change", change.id)),
        Fate::Crowded => Some(": too many changes are held or rival".into()),
        Fate::Applied(_) | Fate::Held | Fate::Known | Fate::Overtaken(_) => None,
    }
}

/// The file's shape, before its changes.
fn base(file: &HierarchyFile) -> Result<Shape, String> {
    // Parents first without their upstreams: they may stand in any order.
    let bare = |(name, parent): (&String, &Parent)| {
        let upstream = larchway_hierarchy::shape::Upstream::Origin;
        Edit::AddParent { name: name.clone(), parent: Parent { upstream, ..parent.clone() } }
    };
    let up = |(name, parent): (&String, &Parent)| Edit::SetUpstream {
        name: name.clone(),
        upstream: parent.upstream.clone(),
    };
    let branch = |(name, parents): (&String, &BTreeSet<String>)| Edit::SetBranch {
        branch: name.clone(),
        parents: parents.clone(),
    };
    let edits: Vec<Edit> = file
        .parents
        .iter()
        .map(bare)
        .chain(file.parents.iter().map(up))
        .chain(file.branches.iter().map(branch))
        .collect();
    Shape::default().apply(&edits).map_err(|(at, why)| match &edits[at] {
        Edit::AddParent { name, .. } | Edit::SetUpstream { name, .. } => format!("parents.{name}: {why}"),
        Edit::SetBranch { branch, .. } => format!("branches.{branch}: {why}"),
        other => format!("{other}: {why}"),
    })
}

/// Weights of the parents behind a branch in a shape.
fn weights(shape: &Shape, branch: &str) -> BTreeMap<String, f64> {
    let names = shape.branches().get(branch).cloned().unwrap_or_default();
    names.into_iter().filter_map(|name| Some((name.clone(), shape.parents().get(&name)?.weight))).collect()
}

/// The hierarchy as this gateway knows it.
pub struct Hierarchy {
    file: HierarchyFile,
    ledger: Ledger,
    moves: Moves,
    target: BTreeMap<String, f64>,
    told: Option<Homes>,
    /// When the weights are to be looked at again.
    due: Option<Micros>,
    /// The own name, as it stands in trails.
    own: String,
    /// Parents that are left out as part of a loop, and until when.
    suspects: BTreeMap<ServerId, Micros>,
    /// Requests that had been here, and parents that were found suspect, since the start.
    loops_found: u64,
    loops_inferred: u64,
}

/// What an operator sees.
#[derive(Serialize)]
pub struct Report {
    epoch: u64,
    held: usize,
    branch: String,
    moving: bool,
    paused: bool,
    ends_in_ms: u64,
    parents: BTreeMap<String, Weight>,
    #[serde(skip_serializing_if = "Option::is_none")]
    shield: Option<ShieldReport>,
    /// Requests that had been here or at one place twice, and parents found suspect, since the start; those left out now.
    loops_found: u64,
    loops_inferred: u64,
    suspects: Vec<String>,
}

/// What an operator sees of the origin's shield.
#[derive(Serialize)]
pub struct ShieldReport {
    /// Fills that may be out at once from here.
    pub limit: u32,
    /// Fills out from here.
    pub out: u32,
    /// Fills turned away since the start.
    pub turned_away: u64,
    /// Objects remembered.
    pub remembered: usize,
    /// The usual answer time of the origin.
    pub usual_ms: Option<f64>,
}

#[derive(Serialize)]
struct Weight {
    now: f64,
    target: f64,
    way: Vec<String>,
}

fn terms(file: &HierarchyFile, cold_from: f64, cold_span: Micros) -> Terms {
    let step = file.step_ms * 1000;
    let cold_from = file.cold_from.unwrap_or(cold_from);
    let cold_span = file.cold_ms.map_or(cold_span, |ms| ms.saturating_mul(1000));
    Terms { steps: file.steps, step, cold_from, cold_span, keep: file.keep_ms * 1000 }
}

impl Hierarchy {
    /// From a file, at rest; what a started parent can give is the module's setting.
    pub fn new(at: Micros, file: HierarchyFile, cold_from: f64, cold_span: Micros) -> Result<Self, String> {
        let mut ledger = Ledger::new(file.epoch, base(&file)?);
        for change in &file.changes {
            ledger.take(change.clone());
        }
        let target = weights(ledger.shape(), &file.branch);
        let moves = Moves::new(at, terms(&file, cold_from, cold_span), &target);
        let due = None;
        let (own, suspects) = (String::new(), BTreeMap::new());
        let (loops_found, loops_inferred) = (0, 0);
        Ok(Hierarchy {
            file,
            ledger,
            moves,
            target,
            told: None,
            due,
            own,
            suspects,
            loops_found,
            loops_inferred,
        })
    }

    /// Names this gateway in trails.
    pub fn name(&mut self, name: &str) {
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '.' { c } else { '-' };
        self.own = name.chars().map(plain).collect();
    }

    /// The own hop, where stores take trails.
    pub fn own_hop(&self) -> Option<(String, u64)> {
        self.file.trails.then(|| (self.own.clone(), self.ledger.epoch()))
    }

    /// How loops are inferred.
    pub fn infer(&self) -> Option<InferFile> {
        self.file.infer.clone()
    }

    /// Whether a request that has been there may pass; one that has been here, or any place twice, is in a loop, and
    /// what is no trail can't be told from one.
    pub fn may_pass(&mut self, trail: &str) -> bool {
        if trail.trim().is_empty() {
            return true;
        }
        let found = match loops::read(trail) {
            Ok(hops) => loops::look(&hops, &self.own, self.ledger.epoch(), self.ledger.shape().depth()),
            Err(why) => {
                log!("a trail cannot be read: {why:?}");
                self.loops_found += 1;
                return false;
            }
        };
        match found {
            Found::Clear => return true,
            Found::Loop { name, first, second } => {
                let epoch =
                    |e: Option<u64>| e.map_or("an epoch untold".to_string(), |e| format!("epoch {e}"));
                log!("a loop by way of {name}: first at {}, then at {}", epoch(first), epoch(second));
            }
            Found::Deep(hops) => log!("a request has come {hops} hops, more than the shape has"),
        }
        self.loops_found += 1;
        false
    }

    /// A parent shows what a loop shows: it is left out for a while, unless no other is left.
    pub fn suspect(&mut self, at: Micros, parent: ServerId) {
        let hold = self.file.infer.as_ref().map_or(0, |infer| infer.hold_ms * 1000);
        log!("fills by way of {parent:08x} run out of time or find no place, as in a loop: it is left out for a while");
        self.loops_inferred += 1;
        self.suspects.insert(parent, at + hold);
        self.due = Some(at);
    }

    /// The path of the ensemble whose children are changes.
    pub fn path(&self) -> Option<&str> {
        self.file.path.as_deref()
    }

    /// Another file is put in force: its changes are taken upon what is known; one with another base begins anew, and
    /// objects move there in steps all the same.
    pub fn configure(&mut self, at: Micros, file: HierarchyFile) -> Result<(), String> {
        let shape = base(&file)?;
        if file.epoch != self.file.epoch || shape != base(&self.file)? {
            self.ledger = Ledger::new(file.epoch, shape);
        }
        for change in &file.changes {
            self.ledger.take(change.clone());
        }
        self.moves.pause(at, file.paused);
        self.file = file;
        self.follow(at);
        Ok(())
    }

    /// A child of the path holds this.
    pub fn change(&mut self, at: Micros, node: &str, data: &[u8]) {
        let change: Change = match serde_json::from_slice(data) {
            Ok(change) => change,
            Err(e) => return log!("the change {node} is passed over: {e}"),
        };
        let fate = self.ledger.take(change.clone());
        match refused(&change, &fate) {
            Some(why) => log!("the change {node} is refused{why}"),
            None => log!("the change {node} ({}): {fate:?}", change.id),
        }
        self.follow(at);
    }

    /// The roster tells of stores: a parent that has started is cold.
    pub fn roster(&mut self, at: Micros, entries: &[Entry]) {
        for entry in entries.iter().filter(|e| e.host.started > 0) {
            self.moves.started(&entry.name, entry.host.started);
        }
        self.due = Some(at);
    }

    /// Objects move to where the present shape has them.
    fn follow(&mut self, at: Micros) {
        let target = weights(self.ledger.shape(), &self.file.branch);
        // A branch that was given up keeps the parents it had: its gateways still serve.
        if target != self.target && !target.is_empty() {
            log!("epoch {}: objects move from {:?} to {target:?}", self.ledger.epoch(), self.target);
            self.moves.retarget(at, &target);
            self.moves.pause(at, self.file.paused);
            self.target = target;
        }
        self.due = Some(at);
    }

    /// When the weights are to be looked at.
    pub fn next_due(&self) -> Option<Micros> {
        self.due
    }

    /// The shares of homes for the module, if they have changed.
    pub fn tick(&mut self, at: Micros) -> Option<Homes> {
        let ids = |weights: &BTreeMap<String, f64>| -> Vec<(ServerId, f64)> {
            weights.iter().map(|(name, weight)| (store_id(name), *weight)).collect()
        };
        let before = self.moves.before(at).map(&ids).unwrap_or_default();
        self.suspects.retain(|_, until| at < *until);
        let mut weights = ids(&self.moves.weights(at));
        if weights.iter().any(|(id, weight)| *weight > 0.0 && !self.suspects.contains_key(id)) {
            weights.retain(|(id, _)| !self.suspects.contains_key(id));
        }
        let homes = Homes { weights, before, asked: self.moves.asked(at) };
        // While homes of before are asked, their end is looked for too.
        let asked = (!homes.before.is_empty()).then(|| at + self.file.step_ms * 1000);
        let cleared = self.suspects.values().min().copied();
        self.due = self.moves.next_due(at).or(asked).into_iter().chain(cleared).min();
        (self.told.as_ref() != Some(&homes)).then(|| {
            self.told = Some(homes.clone());
            homes
        })
    }

    /// The terms of the origin's shield, if there is one.
    pub fn shield(&self) -> Option<shield::Terms> {
        self.file.shield.as_ref().map(ShieldFile::terms)
    }

    /// The hub of each parent of the present shape.
    pub fn hubs(&self) -> BTreeMap<ServerId, String> {
        let parents = self.ledger.shape().parents().iter();
        parents.map(|(name, parent)| (store_id(name), parent.hub.clone())).collect()
    }

    /// For the operator.
    pub fn report(&self, at: Micros, shield: Option<ShieldReport>) -> Report {
        let now = self.moves.weights(at);
        let shape = self.ledger.shape();
        let names: BTreeSet<&String> = now.keys().chain(self.target.keys()).collect();
        let weight = |name: &String| Weight {
            now: now.get(name).copied().unwrap_or(0.0),
            target: self.target.get(name).copied().unwrap_or(0.0),
            way: shape.way(name).into_iter().map(String::from).collect(),
        };
        Report {
            epoch: self.ledger.epoch(),
            held: self.ledger.held(),
            branch: self.file.branch.clone(),
            moving: self.moves.moving(at),
            paused: self.file.paused,
            ends_in_ms: self.moves.ends(at).saturating_sub(at) / 1000,
            parents: names.into_iter().map(|name| (name.clone(), weight(name))).collect(),
            shield,
            loops_found: self.loops_found,
            loops_inferred: self.loops_inferred,
            suspects: self.suspects.keys().map(|id| format!("{id:08x}")).collect(),
        }
    }
}

/// What would move if the file's changes came one by one, as lines for people.
pub fn plan(file: &HierarchyFile) -> Result<String, String> {
    use std::fmt::Write;
    const OBJECTS: u64 = 100_000;
    let mut out = String::new();
    let mut ledger = Ledger::new(file.epoch, base(file)?);
    let mut from = weights(ledger.shape(), &file.branch);
    let _ = writeln!(out, "epoch {}: {} has {}", ledger.epoch(), file.branch, line(&from));
    for change in &file.changes {
        let fate = ledger.take(change.clone());
        let to = weights(ledger.shape(), &file.branch);
        let _ = writeln!(out, "{}: {fate:?}, epoch {}", change.id, ledger.epoch());
        if to == from {
            let _ = writeln!(out, "  nothing moves at {}", file.branch);
            continue;
        }
        let of = |weights: &BTreeMap<String, f64>, object: u64| {
            let all = weights.iter().map(|(n, w)| (n.as_str(), *w));
            larchway_hierarchy::moves::rendezvous(object, all).map(String::from)
        };
        let mut moved: BTreeMap<(String, String), u64> = BTreeMap::new();
        for object in 0..OBJECTS {
            let pair = (of(&from, object).unwrap_or_default(), of(&to, object).unwrap_or_default());
            if pair.0 != pair.1 {
                *moved.entry(pair).or_default() += 1;
            }
        }
        let all: u64 = moved.values().sum();
        let span = u64::from(file.steps) * file.step_ms;
        let _ = writeln!(
            out,
            "  {} -> {}: {:.1} % of the objects move, in {} steps of {} ms ({:.1} s), {:.2} % a step",
            line(&from),
            line(&to),
            100.0 * all as f64 / OBJECTS as f64,
            file.steps,
            file.step_ms,
            span as f64 / 1000.0,
            100.0 * all as f64 / OBJECTS as f64 / f64::from(file.steps),
        );
        for ((old, new), count) in moved {
            let _ = writeln!(out, "  {old} -> {new}: {:.1} %", 100.0 * count as f64 / OBJECTS as f64);
        }
        from = to;
    }
    Ok(out)
}

fn line(weights: &BTreeMap<String, f64>) -> String {
    let all: Vec<String> = weights.iter().map(|(name, weight)| format!("{name} {weight}")).collect();
    all.join(", ")
}
