//! Who is there, for the daemon: joins the session with the ensemble (`larchway-keeper`) and the merge of all sources
//! (`larchway-members`). Knows no socket: what the loop is to do comes back as [`Effect`]s.
use crate::bulletin::{EventBody, Store};
use crate::config::Ensemble;
use crate::kept;
use crate::log;
use crate::terms::Terms;
use larchway::{Micros, ServerId};
use larchway_fleet::lease;
use larchway_keeper::agent::{self, Agent, Fact, Registration};
use larchway_members::format::{self, Names};
use larchway_members::members::{Row, Source};
use larchway_members::snapshot::Snapshot;
use larchway_members::witness::Evidence;
use larchway_members::{Input, Members, Note, Output};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// µs between two snapshots at least: a flapping box must not make the loop write all the time.
const SNAPSHOT: Micros = 2_000_000;

/// What the loop is to do.
#[derive(Debug)]
pub enum Effect {
    /// Connect to this server of the ensemble.
    Connect(SocketAddr),
    /// Write this to it.
    Write(Vec<u8>),
    /// Close the connection; the session knows of it.
    Close(String),
    /// Apply a change of the list of stores.
    Apply(EventBody),
    /// By zone, the number of live gateways.
    Gateways(BTreeMap<usize, u64>),
    /// A change of the hierarchy: its node, and what it holds.
    Change(String, Vec<u8>),
    /// What a lease on shares goes by.
    Lease(lease::Input),
}

/// The instance itself, as its node tells of it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Own {
    /// Its name.
    #[serde(skip)]
    pub name: String,
    /// Where it listens.
    pub listen: String,
    /// Its zone.
    pub zone: usize,
    /// The path whose children are changes of the hierarchy.
    #[serde(skip)]
    pub changes: Option<String>,
}

/// Membership: the session, the merge, and what stands between them.
pub struct Membership {
    config: Ensemble,
    own: Own,
    names: Names,
    agent: Agent,
    /// The paths that the agent mirrors.
    mirrors: Vec<String>,
    members: Members,
    contact: bool,
    server: Option<SocketAddr>,
    /// When a snapshot is to be written, if the roster has changed since the last.
    unsaved: Option<Micros>,
}

/// What an operator sees.
#[derive(Serialize)]
struct Report {
    name: String,
    session: SessionReport,
    list: SourceReport,
    nodes: SourceReport,
    boxes: Vec<Row>,
    changes: Vec<Change>,
}

#[derive(Serialize)]
struct SessionReport {
    id: String,
    contact: bool,
    server: Option<String>,
    registered: bool,
    zxid: String,
}

#[derive(Serialize)]
struct SourceReport {
    ready: bool,
    contact: bool,
}

/// How one roster differs from the one before.
#[derive(Serialize)]
struct Change {
    ago_ms: u64,
    boxes: Vec<String>,
}

impl Membership {
    /// Begins, from the last roster kept where there is one.
    pub fn new(at: Micros, config: Ensemble, own: Own, terms: &Terms, seed: u64) -> (Self, Vec<Effect>) {
        let plan = plan(&config, &own);
        let mirrors = plan.mirrors.clone();
        let agent = Agent::new(plan, seed);
        let members = Members::new(config.policy.clone());
        let mut membership = Membership {
            names: names(terms),
            config,
            own,
            agent,
            mirrors,
            members,
            contact: false,
            server: None,
            unsaved: None,
        };
        let mut effects = Vec::new();
        if let Some(snapshot) = membership.load(at) {
            membership.feed(at, Input::Restore(snapshot), &mut effects);
        }
        (membership, effects)
    }

    /// Whether the list of stores is taken from here.
    pub fn merges(&self) -> bool {
        self.config.stores.is_some()
    }

    /// Where an operator may ask.
    pub fn admin(&self) -> Option<&Path> {
        self.config.admin.as_deref()
    }

    /// Puts another configuration in force. What is known of boxes stays; a session that must be another one is
    /// closed, and its node goes with it.
    pub fn configure(
        &mut self,
        at: Micros,
        config: Ensemble,
        own: Own,
        terms: &Terms,
        seed: u64,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.names = names(terms);
        if config.policy != self.config.policy {
            self.feed(at, Input::Policy(config.policy.clone()), &mut effects);
        }
        let (old, new) = (plan(&self.config, &self.own), plan(&config, &own));
        let moved = self.config.servers != config.servers || self.config.nodes != config.nodes;
        (self.config, self.own) = (config, own);
        let other = |plan: &agent::Plan| agent::Plan { register: None, ..plan.clone() };
        let place = |plan: &agent::Plan| plan.register.as_ref().map(|r| (r.base.clone(), r.name.clone()));
        if moved || other(&old) != other(&new) || place(&old) != place(&new) {
            effects.push(Effect::Lease(lease::Input::Ended));
            self.agent_told(at, agent::Input::Close, &mut effects);
            effects.push(Effect::Close("it is set up anew".into()));
            self.contact(at, false, &mut effects);
            self.feed(at, Input::Reread, &mut effects);
            self.mirrors.clone_from(&new.mirrors);
            self.agent = Agent::new(new, seed);
        } else if let Some(own) = new.register.filter(|own| old.register.as_ref() != Some(own)) {
            self.agent_told(at, agent::Input::Data(own.data), &mut effects);
        }
        effects
    }

    /// When a tick is wanted.
    pub fn next_due(&self) -> Option<Micros> {
        [self.agent.next_due(), self.members.next_due(), self.unsaved].into_iter().flatten().min()
    }

    /// A time named by [`Membership::next_due`] has come.
    pub fn tick(&mut self, at: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.agent.next_due().is_some_and(|due| due <= at) {
            self.agent_told(at, agent::Input::Tick, &mut effects);
        }
        if self.members.next_due().is_some_and(|due| due <= at) {
            self.feed(at, Input::Tick, &mut effects);
        }
        if self.unsaved.is_some_and(|due| due <= at) {
            self.save(at);
        }
        effects
    }

    /// The connection to the ensemble has come up.
    pub fn up(&mut self, at: Micros) -> Vec<Effect> {
        self.agent_input(at, agent::Input::Up)
    }

    /// Bytes have come in on it.
    pub fn bytes(&mut self, at: Micros, bytes: &[u8]) -> Vec<Effect> {
        self.agent_input(at, agent::Input::Bytes(bytes))
    }

    /// It is lost, or did not come up.
    pub fn lost(&mut self, at: Micros, why: &str) -> Vec<Effect> {
        self.agent_input(at, agent::Input::Lost(why))
    }

    /// The instance stops: its node goes, so that the fleet's users turn to the others.
    pub fn close(&mut self, at: Micros) -> Vec<Effect> {
        if self.unsaved.is_some() {
            self.save(at);
        }
        // Before the node is gone.
        let mut effects = vec![Effect::Lease(lease::Input::Ended)];
        self.agent_told(at, agent::Input::Close, &mut effects);
        effects
    }

    /// The bulletin has told of stores.
    pub fn list(&mut self, at: Micros, whole: bool, entries: Vec<Store>) -> Vec<Effect> {
        self.member_input(at, Input::List { whole, entries })
    }

    /// The bulletin gave a sign of life, or was lost.
    pub fn bulletin(&mut self, at: Micros, contact: bool) -> Vec<Effect> {
        let input = if contact { Input::Heard(Source::List) } else { Input::Contact(Source::List, false) };
        self.member_input(at, input)
    }

    /// What own attempts have shown.
    pub fn evidence(&mut self, at: Micros, seen: Vec<(ServerId, Evidence)>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (server, evidence) in seen {
            self.feed(at, Input::Evidence(server, evidence), &mut effects);
        }
        effects
    }

    /// What an operator asked for, as JSON.
    pub fn report(&self, at: Micros) -> String {
        let [list, nodes] = self.members.sources();
        let source = |(ready, contact)| SourceReport { ready, contact };
        let session = self.agent.session();
        let name_of: BTreeMap<String, String> =
            self.members.rows(at).into_iter().map(|row| (row.id, row.name)).collect();
        let named = |id: &ServerId| {
            let id = format!("{id:08x}");
            name_of.get(&id).cloned().unwrap_or(id)
        };
        let history: Vec<_> = self.members.history().collect();
        let changes = history.windows(2).rev().take(20).map(|pair| {
            let mut boxes = Vec::new();
            for change in pair[0].1.diff(pair[1].1) {
                use larchway_members::members::word;
                boxes.push(match change {
                    imbl::ordmap::DiffItem::Add(id, told) => {
                        format!("{} {}: {}", named(id), word(told.0), told.1.text())
                    }
                    imbl::ordmap::DiffItem::Update { new: (id, told), .. } => {
                        format!("{} {}: {}", named(id), word(told.0), told.1.text())
                    }
                    imbl::ordmap::DiffItem::Remove(id, _) => format!("{} out", named(id)),
                });
            }
            Change { ago_ms: at.saturating_sub(pair[1].0) / 1000, boxes }
        });
        let report = Report {
            name: self.own.name.clone(),
            session: SessionReport {
                id: format!("{:#x}", session.id()),
                contact: self.contact,
                server: self.server.filter(|_| self.contact).map(|s| s.to_string()),
                registered: self.agent.registered(),
                zxid: format!("{:#x}", session.seen()),
            },
            list: source(list),
            nodes: source(nodes),
            changes: changes.collect(),
            boxes: self.members.rows(at),
        };
        serde_json::to_string(&report).unwrap_or_else(|e| format!("{{\"error\":{:?}}}", e.to_string()))
    }

    fn agent_input(&mut self, at: Micros, input: agent::Input<'_>) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.agent_told(at, input, &mut effects);
        effects
    }

    fn member_input(&mut self, at: Micros, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.feed(at, input, &mut effects);
        effects
    }

    fn agent_told(&mut self, at: Micros, input: agent::Input<'_>, effects: &mut Vec<Effect>) {
        let mut out = Vec::new();
        self.agent.handle(at, input, &mut out);
        for output in out {
            match output {
                agent::Output::Connect(server) => {
                    if let Some(&address) = self.config.servers.get(server) {
                        self.server = Some(address);
                        effects.push(Effect::Connect(address));
                    }
                }
                agent::Output::Write(bytes) => effects.push(Effect::Write(bytes)),
                agent::Output::Disconnect(why) => effects.push(Effect::Close(why)),
                agent::Output::Fact(fact) => self.fact(at, fact, effects),
            }
        }
    }

    /// Whether a mirror is of the stores, which come first, or of the hierarchy's changes, which come last.
    fn of_stores(&self, mirror: usize) -> bool {
        self.config.stores.is_some() && mirror == 0
    }

    fn of_changes(&self, mirror: usize) -> bool {
        self.own.changes.is_some() && self.mirrors.len() == mirror + 1
    }

    /// What a fact tells a lease on shares, which goes by the nodes of the gateways.
    fn lease(&self, fact: &Fact) -> Vec<lease::Input> {
        use lease::Input as L;
        let gateways = |mirror: usize| !self.of_stores(mirror) && !self.of_changes(mirror);
        match fact {
            Fact::Granted { fresh, .. } => {
                let ended = fresh.then_some(L::Ended);
                ended.into_iter().chain([L::Reread]).collect()
            }
            Fact::Expired | Fact::Closed => vec![L::Ended],
            Fact::Rewound => vec![L::Rewound],
            Fact::Registered(_) => vec![L::Registered],
            Fact::Child { mirror, name, data, .. } if gateways(*mirror) => {
                vec![L::Here(name.clone(), zone(data).unwrap_or(usize::MAX))]
            }
            Fact::Gone { mirror, name } if gateways(*mirror) && *name == self.own.name => {
                // Whoever took it away: until it is made anew, the others do not count this one.
                vec![L::Ended, L::Gone(name.clone())]
            }
            Fact::Gone { mirror, name } if gateways(*mirror) => vec![L::Gone(name.clone())],
            Fact::Whole { mirror, .. } if gateways(*mirror) => vec![L::Whole],
            Fact::CaughtUp { mirror, asked } if gateways(*mirror) => vec![L::CaughtUp(*asked)],
            _ => Vec::new(),
        }
    }

    fn fact(&mut self, at: Micros, fact: Fact, effects: &mut Vec<Effect>) {
        if self.config.gateways {
            effects.extend(self.lease(&fact).into_iter().map(Effect::Lease));
        }
        match fact {
            Fact::Granted { timeout, fresh, .. } => {
                let kind = if fresh { "a session" } else { "the session" };
                log!("{kind} with the ensemble is granted for {} ms", timeout / 1000);
                self.contact(at, true, effects);
            }
            Fact::Suspended(why) => {
                log!("the ensemble is lost: {why}");
                self.contact(at, false, effects);
            }
            Fact::Expired => log!("the session with the ensemble has expired"),
            Fact::Rewound => {
                log!("the ensemble was put back to an older state: what it tells now is doubted");
                self.feed(at, Input::Rewound, effects);
            }
            Fact::Registered(path) => log!("registered as {path}"),
            Fact::Leftover(path) => log!("{path} stands from an earlier life: waiting for its end"),
            Fact::Refused(what, code) => log!("the ensemble refuses {what}: {code:?}"),
            Fact::NoPath { mirror } => log!("the ensemble has no {}", self.path(mirror)),
            Fact::Crowded { mirror } => {
                log!("{} has too many children: some are left out", self.path(mirror))
            }
            Fact::Closed | Fact::CaughtUp { .. } => {}
            Fact::Child { mirror, name, data, stat } if self.of_stores(mirror) => {
                let input = match format::read(&data, &self.names, &self.config.nodes) {
                    Ok(entry) => Input::Node { node: name, entry, session: stat.owner },
                    Err(why) => Input::Unreadable { node: format!("{}/{name}", self.path(mirror)), why },
                };
                self.feed(at, input, effects);
            }
            Fact::Child { mirror, name, data, .. } if self.of_changes(mirror) => {
                effects.push(Effect::Change(format!("{}/{name}", self.path(mirror)), data));
            }
            // What was changed stays so: a change is taken back by another.
            Fact::Gone { mirror, .. } | Fact::Whole { mirror, .. } if self.of_changes(mirror) => {}
            Fact::Child { name, data, .. } => {
                // A gateway that tells no zone may be of this one: a number too large is the safe one.
                let zone = zone(&data).unwrap_or(self.own.zone);
                self.feed(at, Input::Peer(name, zone), effects);
            }
            Fact::Gone { mirror, name } if self.of_stores(mirror) => {
                self.feed(at, Input::NodeGone(name), effects);
            }
            Fact::Gone { name, .. } => self.feed(at, Input::PeerGone(name), effects),
            Fact::Whole { mirror, .. } if self.of_stores(mirror) => {
                self.feed(at, Input::NodesWhole, effects);
            }
            Fact::Whole { .. } => self.feed(at, Input::PeersWhole, effects),
        }
    }

    fn path(&self, mirror: usize) -> &str {
        self.mirrors.get(mirror).map_or("", String::as_str)
    }

    fn contact(&mut self, at: Micros, contact: bool, effects: &mut Vec<Effect>) {
        if std::mem::replace(&mut self.contact, contact) != contact {
            self.feed(at, Input::Contact(Source::Nodes, contact), effects);
        }
    }

    fn feed(&mut self, at: Micros, input: Input, effects: &mut Vec<Effect>) {
        let mut out = Vec::new();
        self.members.handle(at, input, &mut out);
        for output in out {
            match output {
                Output::Change { whole, entries } => {
                    if self.config.state.is_some() && self.unsaved.is_none() {
                        self.unsaved = Some(at + SNAPSHOT);
                    }
                    effects.push(Effect::Apply(EventBody::Roster { whole, stores: entries }));
                }
                Output::Gateways(numbers) => {
                    log!("live gateways by zone: {numbers:?}");
                    effects.push(Effect::Gateways(numbers));
                }
                // Each kind from a place of its own: a burst of one must not leave out another.
                Output::Note(note @ Note::Verdict { .. }) => log!("{note}"),
                Output::Note(note @ Note::Unreadable { .. }) => log!("{note}"),
                Output::Note(note @ Note::Mass(_)) => log!("{note}"),
                Output::Note(note @ Note::Full(_)) => log!("{note}"),
            }
        }
    }

    // The last roster, in a file.

    fn file(&self) -> Option<PathBuf> {
        let folder = self.config.state.as_ref()?;
        Some(folder.join(format!("members-{}.roster", kept::plain(&self.own.name))))
    }

    fn load(&self, at: Micros) -> Option<Snapshot> {
        let path = self.file()?;
        let bytes = kept::read(&path, larchway_members::snapshot::LONGEST);
        let snapshot = bytes.and_then(|bytes| {
            let read = |b: Vec<u8>| Snapshot::read(&b, at, self.config.state_age).map_err(|e| e.to_string());
            bytes.map(read).transpose()
        });
        match snapshot {
            Ok(None) => None,
            Ok(Some(snapshot)) => {
                let age = at.saturating_sub(snapshot.at) / 1000;
                log!("begins from a roster of {} boxes, {age} ms old", snapshot.boxes.len());
                Some(snapshot)
            }
            Err(why) => {
                log!("{} is not used: {why}", path.display());
                None
            }
        }
    }

    fn save(&mut self, at: Micros) {
        self.unsaved = None;
        let Some(path) = self.file() else { return };
        let aside = path.with_extension("new");
        let bytes = self.members.snapshot(at).write();
        if let Err(e) = kept::replace(&path, &aside, &bytes) {
            log!("{} cannot be written: {e}", path.display());
        }
    }
}

/// The zone that a gateway's node tells.
fn zone(data: &[u8]) -> Option<usize> {
    let told = serde_json::from_slice::<serde_json::Value>(data).ok();
    told.and_then(|v| v["zone"].as_u64()).map(|zone| zone as usize)
}

fn names(terms: &Terms) -> Names {
    Names { zones: terms.zones.clone(), kinds: terms.kinds.clone() }
}

fn plan(config: &Ensemble, own: &Own) -> agent::Plan {
    let data = serde_json::to_vec(own).unwrap_or_default();
    let register = Registration { base: config.path.clone(), name: own.name.clone(), data };
    let fleet = config.gateways.then(|| config.path.clone());
    agent::Plan {
        servers: config.servers.len(),
        timeout: config.session,
        credentials: config.credentials.clone(),
        register: Some(register),
        sync: config.sync,
        mirrors: config.stores.iter().cloned().chain(fleet).chain(own.changes.clone()).collect(),
    }
}
