//! The only place that reads, checks and defaults configuration. Errors name the faulty key.
use crate::bulletin::{self, Item};
use crate::hierarchy::{self, HierarchyFile};
use crate::json_fields::{address, list, parse, text, texts, whole};
use crate::peers::{self, Addresses};
use crate::signed::{token::Parties, Keys, Secret};
use crate::terms::{ClassTerms, Terms};
use larchway::settings::{as_bool, as_f64, as_u64, get, read_value};
use larchway::{Class, Micros, Settings};
use larchway_copies::CopiesFile;
use larchway_distribution::events_file::EventsFile;
use larchway_fleet::{lease::Configured, FleetFile};
use larchway_members::{format::Defaults, Policy};
use larchway_spread::SpreadFile;
use miniserde::json::Value;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Most attempts that share a connection while others could be opened: with more, one cut connection costs many.
const SHARED: u64 = 16;

/// What the gateway is told at its start.
#[derive(Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients of the platform's front connect.
    pub listen: SocketAddr,
    /// Feeds random numbers; new with each start.
    pub seed: u64,
    /// Most memory, in bytes.
    pub memory: usize,
    /// Most descriptors.
    pub sockets: usize,
    /// Where the bulletin is, if there is one.
    pub bulletin: Option<SocketAddr>,
    /// Bytes a second of one transfer of a copy of the gateway's own, and of all; 0 where that is not told.
    pub uplink: (f64, f64),
    /// Where gateways of the tier hear each other; no address of its own where datagrams are not allowed.
    pub peers: Addresses,
    /// Number of the last event known.
    pub known: u64,
    /// The events known at the start.
    pub items: Vec<Item>,
    /// The module's settings.
    pub settings: Settings,
    /// The classes in the order of the file; the core gives them slots.
    pub classes: Vec<(String, ClassTerms)>,
    /// What the wires need of the settings.
    pub terms: Terms,
    /// Where operators call, if they may.
    pub console: Option<SocketAddr>,
    /// The folder that the processes of one gateway share.
    pub scratch: Option<PathBuf>,
    /// The keys that the file holds.
    pub shape: Shape,
}

/// The files besides the one that the environment names.
#[derive(Debug, Clone, Default)]
pub struct Files {
    /// That of the second front; without it, that front is off.
    pub signed: Option<String>,
    /// That of the ensemble; without it, the instance registers nowhere.
    pub ensemble: Option<String>,
    /// That of the hierarchy; without it, all listed parents share all objects.
    pub hierarchy: Option<String>,
    /// That of the gateway's own copies; without it, none are kept.
    pub copies: Option<String>,
    /// That of the load's spread; without it, each gateway acts on what it sees alone.
    pub spread: Option<String>,
    /// That of the fleet; without it, gateways know nothing of each other.
    pub fleet: Option<String>,
    /// That of the events; without it, they come from the configuration's bulletin.
    pub events: Option<String>,
}

/// All configuration, read in one go.
#[derive(Debug)]
pub struct Loaded {
    /// What the gateway is told.
    pub config: Config,
    /// The second front, if it is on.
    pub front: Option<Front>,
    /// The ensemble, if the instance registers.
    pub fleet: Option<Ensemble>,
    /// The hierarchy, if a shape is given.
    pub hierarchy: Option<HierarchyFile>,
    /// The gateway's own copies, if any are kept.
    pub copies: Option<CopiesFile>,
    /// The load's spread, if the fleet's view is kept.
    pub spread: Option<SpreadFile>,
    /// The fleet, if gateways know of each other.
    pub tier: Option<FleetFile>,
    /// Where events come from, if that is relays.
    pub events: Option<EventsFile>,
}

impl Files {
    /// Reads and checks all of it, each part alone and with the others.
    pub fn read(&self) -> Result<Loaded, String> {
        let config = from_env()?;
        let front = self.signed.as_deref().map(front_file).transpose()?;
        let fleet = self.ensemble.as_deref().map(ensemble_file).transpose()?;
        let hierarchy = self.hierarchy.as_deref().map(hierarchy::file).transpose()?;
        let copies = self.copies.as_deref().map(copies_file).transpose()?;
        let spread = self.spread.as_deref().map(spread_file).transpose()?;
        let tier = self.fleet.as_deref().map(fleet_file).transpose()?;
        let events = self.events.as_deref().map(events_file).transpose()?;
        let sessions = fleet.as_ref().is_some_and(|ensemble| ensemble.gateways);
        if tier.is_some() && config.peers.own.is_none() && !sessions {
            return Err(
                "fleet: it needs peer_listen with settings.limits.peers, or an ensemble with gateways".into(),
            );
        }
        if let Some(file) = spread.as_ref().filter(|f| !config.terms.report.contains(&f.field)) {
            return Err(format!("field: {:?} is not among settings.report.fields", file.field));
        }
        if let (Some(file), None) = (hierarchy.as_ref().filter(|h| h.path.is_some()), &fleet) {
            return Err(format!(
                "path: {:?} needs the file of the ensemble",
                file.path.as_deref().unwrap_or("")
            ));
        }
        let unknown = |class: &&String| !config.terms.classes.contains(class);
        if let Some(class) = front.iter().flat_map(|f| &f.classes).find(unknown) {
            return Err(format!("classes: {class:?} is not among settings.services"));
        }
        Ok(Loaded { config, front, fleet, hierarchy, copies, spread, tier, events })
    }
}

impl Config {
    /// What gateways tell each other, by the configuration and the files.
    pub fn between_peers(
        &self,
        spread: Option<SpreadFile>,
        fleet: Option<FleetFile>,
        ensemble: Option<&Ensemble>,
    ) -> peers::Terms {
        let set = &self.settings;
        let own_zone = set.routers_of(set.zone) as u64;
        let configured = Configured { all: set.routers, own_zone, zone: set.zone };
        let lent = ensemble.is_some_and(|ensemble| ensemble.gateways);
        peers::Terms { spread, fleet, addresses: self.peers.clone(), configured, lent, seed: self.seed }
    }
}

/// Reads the configuration named by the environment.
fn from_env() -> Result<Config, String> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG is not set".to_string())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("EDGE_CONFIG: cannot read {path}: {e}"))?;
    let told = |name: &str| std::env::var(name).ok();
    let config = read(&text, told("EDGE_NAME"), told("EDGE_LISTEN"), told("EDGE_CONSOLE"))?;
    Ok(Config { scratch: std::env::var_os("TMPDIR").map(PathBuf::from), ..config })
}

/// Attempts that a connection to a store carries before another one is opened. An answer holds up those behind it,
/// so it is one where handshakes are free. Danger: where they are paid for and a hundred gateways open one for each
/// attempt that meets another, the price is more than the wait, and stores run short of connections.
fn streams(settings: &Value, limits: &Value) -> Result<usize, String> {
    let price = match get(settings, "costs").and_then(|costs| get(costs, "handshake")) {
        None => 0.0,
        Some(v) => as_f64(v).ok_or("settings.costs.handshake must be a number")?,
    };
    let most = match get(limits, "streamsPerConn") {
        None => 1,
        Some(v) => as_u64(v)
            .filter(|n| *n >= 1)
            .ok_or("settings.limits.streamsPerConn must be a whole number from 1")?,
    };
    Ok(if price > 0.0 { most.min(SHARED) as usize } else { 1 })
}

/// The time in which news must be acted on, where it is told.
const NOTICES: [(&str, &str); 2] = [("rules", "stopSendingWithinMs"), ("familyInfo", "noticeTimeMs")];
/// What the module reads as a number from 0, and as a flag, where it is there. Danger: one of another type would count as
/// absent, and a gateway would serve by the default without a word.
const NUMBERS: [(&str, &str); 8] = [
    ("limits", "maxRetryAfterMs"),
    ("rules", "fallMs"),
    ("rules", "fallMultiple"),
    ("rules", "startCapacity"),
    ("rules", "warmWithinMs"),
    ("familyInfo", "parentBreaksAt"),
    ("familyInfo", "parentFloor"),
    ("familyInfo", "goneEverywhereMs"),
];
const FLAGS: [(&str, &str); 6] = [
    ("limits", "cancel"),
    ("limits", "mayDuplicate"),
    ("limits", "retryAfter"),
    ("limits", "probes"),
    ("familyInfo", "canJoin"),
    ("familyInfo", "mayPassBy"),
];

/// A number from 0, where it is told.
fn told_number(settings: &Value, part: &str, key: &str) -> Result<Option<f64>, String> {
    match get(settings, part).and_then(|part| get(part, key)) {
        None | Some(Value::Null) => Ok(None),
        Some(v) => as_f64(v)
            .filter(|n| *n >= 0.0 && n.is_finite())
            .map(Some)
            .ok_or_else(|| format!("settings.{part}.{key} must be a number from 0")),
    }
}

/// Whether all that the module would pass over, if it were of another type, is of its own.
fn typed(settings: &Value) -> Result<(), String> {
    for (part, key) in NUMBERS {
        told_number(settings, part, key)?;
    }
    for (part, key) in FLAGS {
        match get(settings, part).and_then(|part| get(part, key)) {
            None | Some(Value::Null) => {}
            Some(v) if as_bool(v).is_some() => {}
            Some(_) => return Err(format!("settings.{part}.{key} must be true or false")),
        }
    }
    Ok(())
}

fn terms(settings: &Value) -> Result<Terms, String> {
    typed(settings)?;
    let none = Value::Null;
    let limits = get(settings, "limits").unwrap_or(&none);
    let span = |key: &str, default: f64| match get(limits, key) {
        None => Ok(larchway::settings::micros(default)),
        Some(v) => as_f64(v)
            .filter(|ms| *ms > 0.0)
            .map(larchway::settings::micros)
            .ok_or_else(|| format!("settings.limits.{key} must be a number above 0")),
    };
    let nested = |e: String| format!("settings.{e}");
    Ok(Terms {
        zones: texts(settings, "zones").map_err(nested)?,
        report: texts(get(settings, "report").unwrap_or(&none), "fields")
            .map_err(|e| format!("settings.report.{e}"))?,
        streams: streams(settings, limits)?,
        kinds: texts(settings, "models").map_err(nested)?,
        connect_timeout: span("connectTimeoutMs", 400.0)?,
        idle: span("connIdleMs", 30_000.0)?,
        probes: get(limits, "probes").and_then(as_bool).unwrap_or(false),
        notice: NOTICES
            .into_iter()
            .filter_map(|(part, key)| told_number(settings, part, key).transpose())
            .collect::<Result<Vec<_>, _>>()?
            .into_iter()
            .map(larchway::settings::micros)
            .min(),
        ..Terms::default()
    })
}

/// A number above 0 that must be there.
fn above_0(value: &Value, key: &str) -> Result<f64, String> {
    let told = get(value, key).ok_or_else(|| format!("{key} is missing"))?;
    as_f64(told)
        .filter(|n| *n > 0.0 && n.is_finite())
        .ok_or_else(|| format!("{key} must be a number above 0"))
}

/// One of these words, where there is one. A word that is not known would pass for the mildest.
fn one_of(value: &Value, key: &str, words: &[&str]) -> Result<(), String> {
    match text(value, key)? {
        Some(word) if !words.contains(&word) => {
            Err(format!("{key}: {word:?} is none of {}", words.join(", ")))
        }
        _ => Ok(()),
    }
}

/// Reads one class; errors name the key within it.
fn class_terms(value: &Value, class: &Class) -> Result<(String, ClassTerms), String> {
    let name = text(value, "name")?.ok_or("name is missing")?;
    // It goes to stores within a list of fields, which it must not add to.
    if name.is_empty() || name.contains([',', '=']) || name.chars().any(char::is_control) {
        return Err(format!("name: {name:?} cannot name a class"));
    }
    let deadline = larchway::settings::micros(above_0(value, "deadlineMs")?);
    one_of(value, "effect", &["pure", "token", "side_effect"])?;
    one_of(value, "group", &["all", "zone", "cell"])?;
    for key in ["targetMs", "windowMs", "aimStretch"] {
        if get(value, key).is_some_and(|v| as_f64(v).is_none_or(|n| n.is_nan() || n < 0.0)) {
            return Err(format!("{key} must be a number from 0"));
        }
    }
    let keyed = text(value, "effect")? == Some("token");
    Ok((name.to_string(), ClassTerms { class: class.clone(), deadline, keyed }))
}

/// Reads the classes.
fn classes(settings: &Value, read: &Settings) -> Result<Vec<(String, ClassTerms)>, String> {
    let services = list(settings, "services").map_err(|e| format!("settings.{e}"))?;
    if services.is_empty() {
        return Err("settings.services is missing or empty".into());
    }
    let mut found: Vec<(String, ClassTerms)> = Vec::new();
    for (at, (value, class)) in services.iter().zip(&read.classes).enumerate() {
        let (name, terms) = class_terms(value, class).map_err(|e| format!("settings.services[{at}].{e}"))?;
        if found.iter().any(|(n, _)| *n == name) {
            return Err(format!("settings.services[{at}].name: {name:?} stands twice"));
        }
        found.push((name, terms));
    }
    // Danger: a list that is short of a class would have its writes kept like any object.
    let none = Value::Null;
    let info = get(settings, "familyInfo").unwrap_or(&none);
    for key in ["lifetimeByClassMs", "graceForMs", "neverKept"] {
        let told = list(info, key).map_err(|e| format!("settings.familyInfo.{e}"))?;
        if !told.is_empty() && told.len() < services.len() {
            return Err(format!(
                "settings.familyInfo.{key} has {} of {} classes",
                told.len(),
                services.len()
            ));
        }
    }
    let limits = get(settings, "limits").unwrap_or(&none);
    above_0(limits, "maxAttempts").map_err(|e| format!("settings.limits.{e}"))?;
    Ok(found)
}

/// The keys of a file and the kind of value that each has; of classes those that all have. The platform writes its
/// files whole: a key that the file in force has and the next one lacks is a sign of a file cut short or of a slip.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shape(BTreeMap<String, &'static str>);

impl Shape {
    /// Of a file.
    pub fn of(file: &Value) -> Self {
        let mut keys = BTreeMap::new();
        collect(file, "", &mut keys);
        Shape(keys)
    }

    /// Whether a file of this shape can take the place of one of another. What is to go is set to null.
    pub fn replaces(&self, old: &Shape) -> Result<(), String> {
        for (key, kind) in &old.0 {
            match self.0.get(key) {
                None => return Err(format!("{key} is missing, and the file in force has it")),
                Some(found) if found != kind && ![*found, *kind].contains(&"null") => {
                    return Err(format!("{key} is of another type: {found}, and {kind} in the file in force"))
                }
                _ => {}
            }
        }
        Ok(())
    }
}

fn collect(value: &Value, path: &str, keys: &mut BTreeMap<String, &'static str>) {
    let Value::Object(members) = value else { return };
    for (key, value) in members {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let kind = match value {
            Value::Null => "null",
            Value::Bool(_) => "a truth value",
            Value::Number(_) => "a number",
            Value::String(_) => "a string",
            Value::Array(_) => "a list",
            Value::Object(_) => "an object",
        };
        keys.insert(path.clone(), kind);
        match value {
            Value::Array(items) if path == "settings.services" => {
                let mut common: Option<BTreeMap<String, &'static str>> = None;
                for item in items.iter() {
                    let mut own = BTreeMap::new();
                    collect(item, "settings.services[]", &mut own);
                    common = Some(match common {
                        None => own,
                        Some(all) => all.into_iter().filter(|(k, v)| own.get(k) == Some(v)).collect(),
                    });
                }
                keys.extend(common.unwrap_or_default());
            }
            // What is known is news, not configuration.
            _ if path == "known" => {}
            value => collect(value, &path, keys),
        }
    }
}

/// Reads the configuration; what the environment names goes before what the file says.
pub fn read(
    text_: &str,
    name: Option<String>,
    listen: Option<String>,
    console: Option<String>,
) -> Result<Config, String> {
    let all = parse(text_)?;
    let none = Value::Null;
    let name = match name {
        Some(name) => name,
        None => text(&all, "name")?.ok_or("name is missing (or EDGE_NAME)")?.to_string(),
    };
    let listen = match listen {
        Some(l) => l.parse().map_err(|_| format!("EDGE_LISTEN: {l:?} is not an address with a port"))?,
        None => address(&all, "listen")?.ok_or("listen is missing (or EDGE_LISTEN)")?,
    };
    let seed = match text(&all, "seed")? {
        None => 0,
        Some(s) => u64::from_str_radix(s, 16).map_err(|_| format!("seed: {s:?} is not hexadecimal"))?,
    };
    let limits = get(&all, "limits").unwrap_or(&none);
    let limit = |key, default, least| whole(limits, key, default, least).map_err(|e| format!("limits.{e}"));
    let settings = get(&all, "settings").ok_or("settings is missing")?;
    let mut terms = terms(settings)?;
    let read = read_value(settings).map_err(|e| format!("settings: {e}"))?;
    let classes = classes(settings, &read)?;
    terms.name(&mut classes.iter().map(|(name, terms)| (&name[..], terms, true)));
    let console = match console {
        Some(c) => Some(c.parse().map_err(|_| format!("EDGE_CONSOLE: {c:?} is not an address with a port"))?),
        None => address(&all, "console")?,
    };
    // Not told, or null: without bound. What is told and no number would pass for that.
    let pace = |key: &str| match get(&all, key) {
        None | Some(Value::Null) => Ok(0.0),
        Some(_) => above_0(&all, key),
    };
    let known = get(&all, "known").unwrap_or(&none);
    let allowed = get(get(settings, "limits").unwrap_or(&none), "peers").and_then(as_bool).unwrap_or(false);
    let peer = |t: String| t.parse().map_err(|_| format!("peers: {t:?} is not an address with a port"));
    let all_peers = texts(&all, "peers")?.into_iter().map(peer).collect::<Result<_, _>>()?;
    let peers = Addresses {
        own: address(&all, "peer_listen")?.filter(|_| allowed),
        all: all_peers,
        me: whole(settings, "me", 0, 0).map_err(|e| format!("settings.{e}"))? as usize,
    };
    let items = list(known, "items").map_err(|e| format!("known.{e}"))?;
    let item = |v: &Value| bulletin::item(v, &terms).map_err(|e| format!("known.items: {e}"));
    Ok(Config {
        name,
        listen,
        seed,
        memory: limit("memory_mb", 192, 32)? as usize * 1_000_000,
        sockets: limit("sockets", 1024, 64)? as usize,
        bulletin: address(&all, "bulletin")?,
        uplink: (pace("flow_bytes_per_s")?, pace("link_bytes_per_s")?),
        peers,
        known: whole(known, "no", 0, 0).map_err(|e| format!("known.{e}"))?,
        items: items.iter().map(item).collect::<Result<_, _>>()?,
        settings: read,
        classes,
        terms,
        console,
        scratch: None,
        shape: Shape::of(&all),
    })
}

/// Reads an operator file and checks its values; errors name the file and the key.
fn checked<T: serde::de::DeserializeOwned>(
    path: &str,
    check: fn(&T) -> Result<(), String>,
) -> Result<T, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {path}: {e}"))?;
    let file = operator_file::<T>(&text).and_then(|file| check(&file).map(|()| file));
    file.map_err(|e| format!("{path}: {e}"))
}

/// Reads the file of the gateway's own copies.
pub fn copies_file(path: &str) -> Result<CopiesFile, String> {
    checked(path, CopiesFile::check)
}

/// Reads the file of the load's spread.
pub fn spread_file(path: &str) -> Result<SpreadFile, String> {
    checked(path, SpreadFile::check)
}

/// Reads the file of the fleet.
pub fn fleet_file(path: &str) -> Result<FleetFile, String> {
    checked(path, FleetFile::check)
}

/// Reads the file of the events.
pub fn events_file(path: &str) -> Result<EventsFile, String> {
    checked(path, EventsFile::check)
}

/// The schema of the events' file.
pub fn events_schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(EventsFile)).unwrap_or_default()
}

/// The schema of the fleet's file.
pub fn fleet_schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(FleetFile)).unwrap_or_default()
}

/// The schema of that file.
pub fn spread_schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(SpreadFile)).unwrap_or_default()
}

/// The schema of the copies' file.
pub fn copies_schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(CopiesFile)).unwrap_or_default()
}

/// What the second front is told by its file under `deploy/`.
#[derive(Debug)]
pub struct Front {
    /// Where it listens.
    pub listen: SocketAddr,
    /// What stands before the path in the links that clients see.
    pub base: String,
    /// The classes that links may name.
    pub classes: Vec<String>,
    /// The keys that sign and check.
    pub keys: Keys,
    /// The credentials of those who may have links issued.
    pub holders: Vec<Secret>,
    /// Whom tokens may name.
    pub parties: Parties,
    /// For how long a link may hold at most, in seconds.
    pub longest: u64,
}

/// Reads the second front's file; secrets may be left to the environment.
pub fn front_file(path: &str) -> Result<Front, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {path}: {e}"))?;
    front(&text, |name| std::env::var(name).ok()).map_err(|e| format!("{path}: {e}"))
}

/// Reads the second front's configuration.
pub fn front(text_: &str, env: impl Fn(&str) -> Option<String>) -> Result<Front, String> {
    let all = parse(text_)?;
    let base = text(&all, "base")?.ok_or("base is missing")?.trim_end_matches('/').to_string();
    if !base.starts_with("http://") && !base.starts_with("https://") {
        return Err(format!("base: {base:?} does not begin with http:// or https://"));
    }
    let classes = texts(&all, "classes")?;
    if classes.is_empty() {
        return Err("classes is missing or empty".into());
    }
    let keys = secrets(&all, "keys", &env, true)?;
    if keys.is_empty() {
        return Err("keys is missing or empty".into());
    }
    Ok(Front {
        listen: address(&all, "listen")?.ok_or("listen is missing")?,
        base,
        classes,
        keys: Keys(keys),
        holders: secrets(&all, "holders", &env, false)?,
        parties: Parties {
            issuers: texts(&all, "issuers")?,
            audience: text(&all, "audience")?.map(str::to_string),
        },
        longest: whole(&all, "longest_s", 604_800, 1)?,
    })
}

/// The fleet's file under `deploy/`, as it is written. Its schema is printed by `larchway schema ensemble`.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EnsembleFile {
    /// Addresses of its servers, with their ports.
    pub servers: Vec<SocketAddr>,
    /// The path under which instances register.
    pub path: String,
    /// The session's time-out to ask for, in ms, 500 at least.
    #[serde(default = "session_ms")]
    pub session_ms: u64,
    /// The path whose children are the stores, if the list is taken from there too.
    pub stores: Option<String>,
    /// How often, in ms, the server is made to catch up with the ensemble while stores are read; 0: never. Under 800,
    /// so that a departure is told within 1 s by a server that lies behind.
    #[serde(default = "sync_ms")]
    pub sync_ms: u64,
    /// Credentials of the digest scheme, `user:password`; they keep the own node for its owner.
    pub digest: Option<String>,
    /// The environment's variable that holds them.
    pub digest_env: Option<String>,
    /// The form of the stores' nodes, and what they leave open.
    #[serde(default)]
    pub nodes: Defaults,
    /// How the list, the nodes and own attempts are joined.
    #[serde(default)]
    pub policy: Policy,
    /// Whether the live gateways of each zone are counted from the fleet's own nodes, to share the budgets of cold
    /// boxes.
    #[serde(default)]
    pub gateways: bool,
    /// The folder in which the last roster is kept; without it, none is.
    pub state: Option<PathBuf>,
    /// Age in s from which a kept roster is not used.
    #[serde(default = "state_age_s")]
    pub state_age_s: u64,
    /// The Unix socket at which an operator may ask; without it, there is none.
    pub admin: Option<PathBuf>,
}

fn session_ms() -> u64 {
    10_000
}

fn sync_ms() -> u64 {
    400
}

fn state_age_s() -> u64 {
    600
}

/// What the fleet's file says, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Ensemble {
    /// Its servers.
    pub servers: Vec<SocketAddr>,
    /// The path under which instances register.
    pub path: String,
    /// The session's time-out to ask for.
    pub session: Micros,
    /// The path whose children are the stores, if the list is taken from there too.
    pub stores: Option<String>,
    /// How often the server is made to catch up; 0: never.
    pub sync: Micros,
    /// Credentials: scheme and secret.
    pub credentials: Vec<(String, Vec<u8>)>,
    /// The form of the stores' nodes, and what they leave open.
    pub nodes: Defaults,
    /// How the sources are joined.
    pub policy: Policy,
    /// Whether the live gateways are counted.
    pub gateways: bool,
    /// The folder in which the last roster is kept.
    pub state: Option<PathBuf>,
    /// Age from which a kept roster is not used.
    pub state_age: Micros,
    /// The Unix socket at which an operator may ask.
    pub admin: Option<PathBuf>,
}

/// Reads the fleet's file.
pub fn ensemble_file(path: &str) -> Result<Ensemble, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {path}: {e}"))?;
    ensemble(&text, |name| std::env::var(name).ok()).map_err(|e| format!("{path}: {e}"))
}

/// Reads an operator file, whole; errors name the key.
pub fn operator_file<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, String> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let file = serde_path_to_error::deserialize(&mut reader).map_err(|e| match e.path().to_string() {
        key if key == "." => e.inner().to_string(),
        key => format!("{key}: {}", e.inner()),
    })?;
    reader.end().map_err(|e| format!("there is more behind the object: {e}"))?;
    Ok(file)
}

/// Reads the configuration of the ensemble; errors name the key.
pub fn ensemble(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Ensemble, String> {
    let file: EnsembleFile = operator_file(text)?;
    if file.servers.is_empty() {
        return Err("servers is empty".into());
    }
    let path = |key: &str, p: &str| {
        if !p.starts_with('/') || p.ends_with('/') || p.contains("//") {
            return Err(format!("{key}: {p:?} is not a path like /larchway"));
        }
        Ok(p.to_string())
    };
    let stores = file.stores.as_deref().map(|p| path("stores", p)).transpose()?;
    let base = path("path", &file.path)?;
    if stores.as_ref() == Some(&base) {
        return Err("stores: it is the path of the gateways".into());
    }
    if !(500..=600_000).contains(&file.session_ms) {
        return Err(format!("session_ms: {} is not from 500 to 600000", file.session_ms));
    }
    if file.sync_ms != 0 && !(50..=800).contains(&file.sync_ms) {
        return Err(format!("sync_ms: {} is neither 0 nor from 50 to 800", file.sync_ms));
    }
    let digest = match (file.digest, file.digest_env) {
        (Some(_), Some(_)) => return Err("digest, digest_env: only one of them".into()),
        (None, Some(name)) => Some(env(&name).ok_or_else(|| format!("digest_env: {name} is not set"))?),
        (digest, None) => digest,
    };
    if digest.as_ref().is_some_and(|d| !d.contains(':')) {
        return Err("digest: it has not the form user:password".into());
    }
    file.policy.check().map_err(|e| format!("policy.{e}"))?;
    Ok(Ensemble {
        servers: file.servers,
        path: base,
        session: file.session_ms * 1000,
        stores,
        sync: file.sync_ms * 1000,
        credentials: digest.map(|d| ("digest".to_string(), d.into_bytes())).into_iter().collect(),
        nodes: file.nodes,
        policy: file.policy,
        gateways: file.gateways,
        state: file.state,
        state_age: file.state_age_s.saturating_mul(1_000_000),
        admin: file.admin,
    })
}

/// The schema of the fleet's file.
pub fn ensemble_schema() -> String {
    let schema = schemars::schema_for!(EnsembleFile);
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}

/// Named secrets: each with `secret` (keys in hexadecimal), or `secret_env` naming the variable that holds it.
fn secrets(
    all: &Value,
    key: &str,
    env: &impl Fn(&str) -> Option<String>,
    hex: bool,
) -> Result<Vec<Secret>, String> {
    let mut found: Vec<Secret> = Vec::new();
    for entry in list(all, key)? {
        let wrong = |e: String| format!("{key}: {e}");
        let name = text(entry, "name").map_err(wrong)?.unwrap_or("");
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
        if name.is_empty() || !name.bytes().all(plain) {
            return Err(wrong(format!("name {name:?} must be letters, digits, '.', '_' or '-'")));
        }
        if found.iter().any(|s| s.name == name) {
            return Err(wrong(format!("name {name:?} stands twice")));
        }
        let told = match (text(entry, "secret").map_err(wrong)?, text(entry, "secret_env").map_err(wrong)?) {
            (Some(secret), None) => secret.to_string(),
            (None, Some(variable)) => {
                env(variable).ok_or_else(|| wrong(format!("{name}: {variable} is not set")))?
            }
            _ => return Err(wrong(format!("{name}: either secret or secret_env is needed"))),
        };
        let told = told.trim();
        let secret = if hex { unhex(told) } else { Some(told.as_bytes().to_vec()) };
        let secret = secret.ok_or_else(|| wrong(format!("{name}: the secret is not hexadecimal")))?;
        if secret.len() < 16 {
            return Err(wrong(format!("{name}: the secret is under 16 bytes")));
        }
        found.push(Secret::new(name.to_string(), secret));
    }
    Ok(found)
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok()).collect()
}
