//! The gateway's own file, which the platform writes, and the environment's values that replace some of the
//! file's.
use super::classes;
use super::error::{ConfigError, GatewayFileError};
use super::numbers::above_zero;
use super::overlay::{Overlay, OverlayDocument};
use super::shape::Shape;
use super::wire;
use crate::bulletin::{self, BulletinEvent, StoreAttributes};
use crate::json_fields::{address, integer, list, parse, parse_address, text, texts, KeyError, KeyProblem};
use crate::membership::EnsembleSettings;
use crate::peers::{self, Addresses};
use crate::wire_settings::{ClassSettings, WireClass, WireSettings};
use larchway::settings::{as_bool, get, read_value as read_settings};
use larchway::Settings;
use larchway_cluster::{lease::ClusterSize, tiers::Topology, FleetFile};
use larchway_load_sharing::SpreadFile;
use larchway_operations::classes::NamedClass;
use miniserde::json::{Object, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Names the file.
const CONFIG_VARIABLE: &str = "EDGE_CONFIG";
/// Replaces the file's `name`.
const NAME_VARIABLE: &str = "EDGE_NAME";
/// Replaces the file's `listen`.
const LISTEN_VARIABLE: &str = "EDGE_LISTEN";
/// Replaces the file's `console`.
const CONSOLE_VARIABLE: &str = "EDGE_CONSOLE";
/// Names the folder that the processes of one gateway share.
const SCRATCH_VARIABLE: &str = "TMPDIR";

/// The key of the events known at the start.
const KNOWN_EVENTS: &str = "known";
/// Bytes in the unit of `limits.memory_mb`.
const MEGABYTE: usize = 1_000_000;
/// `limits.memory_mb` if it is absent, and at least.
const DEFAULT_MEMORY_MB: u64 = 192;
const LEAST_MEMORY_MB: u64 = 32;
/// `limits.sockets` if it is absent, and at least.
const DEFAULT_DESCRIPTORS: u64 = 1024;
const LEAST_DESCRIPTORS: u64 = 64;
/// The radix of `seed`.
const SEED_RADIX: u32 = 16;

/// What the gateway's own file says.
#[derive(Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients of the platform's front connect.
    pub listen: SocketAddr,
    /// Feeds random numbers; new with each start.
    pub seed: u64,
    /// Most memory, in bytes.
    pub memory_bytes: usize,
    /// Most descriptors.
    pub max_descriptors: usize,
    /// Where the endpoint list is read, if there is a source of it.
    pub bulletin: Option<SocketAddr>,
    /// Bytes a second of one transfer of a cached copy; 0 where the file states none.
    pub transfer_bytes_per_s: f64,
    /// Bytes a second of all transfers together; 0 where the file states none.
    pub uplink_bytes_per_s: f64,
    /// Where gateways receive each other's datagrams; no address of its own where datagrams are not allowed.
    pub peers: Addresses,
    /// Number of the last event known.
    pub last_known_event: u64,
    /// The events known at the start.
    pub known_events: Vec<BulletinEvent>,
    /// The decision module's settings.
    pub settings: Settings,
    /// The classes in the order of the file; the core gives them slots.
    pub classes: Vec<NamedClass<ClassSettings>>,
    /// What the wires need of the settings.
    pub wire_settings: WireSettings,
    /// Where operators call, if they may.
    pub console: Option<SocketAddr>,
    /// The folder that the processes of one gateway share.
    pub shared_folder: Option<PathBuf>,
    /// What documents set of stores, by the names of the stores.
    pub store_attributes: BTreeMap<String, StoreAttributes>,
    /// The keys that the file holds.
    pub shape: Shape,
}

/// Values of the environment that replace those of the file.
#[derive(Debug, Clone, Default)]
pub struct Overrides {
    /// The gateway's name.
    pub name: Option<String>,
    /// Where clients of the platform's front connect.
    pub listen: Option<String>,
    /// Where operators call.
    pub console: Option<String>,
}

impl Config {
    /// What gateways exchange, by the configuration and the files.
    pub fn between_peers(
        &self,
        spread: Option<SpreadFile>,
        fleet: Option<FleetFile>,
        topology: Option<Arc<Topology>>,
        ensemble: Option<&EnsembleSettings>,
    ) -> peers::PeerSettings {
        let settings = &self.settings;
        let own_zone = settings.routers_of(settings.zone) as u64;
        let configured = ClusterSize { all: settings.routers, own_zone, zone: settings.zone };
        let quotas_leased = ensemble.is_some_and(|ensemble| ensemble.counts_gateways);
        peers::PeerSettings {
            spread,
            fleet,
            topology,
            addresses: self.peers.clone(),
            configured,
            quotas_leased,
            seed: self.seed,
        }
    }
}

/// The gateway's own file as JSON, and the environment's values that replace some of its own.
#[derive(Debug, Clone)]
pub struct GatewayFile {
    content: Value,
    overrides: Overrides,
    shared_folder: Option<PathBuf>,
}

impl GatewayFile {
    /// Reads the file that the environment names. Its values are not checked yet.
    pub(super) fn from_environment() -> Result<GatewayFile, ConfigError> {
        let variable = |name: &str| std::env::var(name).ok();
        let path = variable(CONFIG_VARIABLE).ok_or(ConfigError::NotNamed)?;
        let text =
            std::fs::read_to_string(&path).map_err(|source| ConfigError::Unreadable { path, source })?;
        let overrides = Overrides {
            name: variable(NAME_VARIABLE),
            listen: variable(LISTEN_VARIABLE),
            console: variable(CONSOLE_VARIABLE),
        };
        let content = parse(&text).map_err(GatewayFileError::from)?;
        let shared_folder = std::env::var_os(SCRATCH_VARIABLE).map(PathBuf::from);
        Ok(GatewayFile { content, overrides, shared_folder })
    }

    /// Reads and checks the values, with documents in the place of some. The shape is that of the file alone, so that
    /// a document may be withdrawn again.
    pub(super) fn config(&self, overlay: &Overlay) -> Result<Config, GatewayFileError> {
        let config = match overlay.is_empty() {
            true => read_value(&self.content, self.overrides.clone())?,
            false => {
                let effective = overlay.lay_over(&self.content)?;
                let config = read_value(&effective, self.overrides.clone())?;
                let store_attributes = read_store_documents(overlay, &config.wire_settings)?;
                Config { shape: Shape::of(&self.content), store_attributes, ..config }
            }
        };
        Ok(Config { shared_folder: self.shared_folder.clone(), ..config })
    }

    /// The file without the events known at the start, which are state and no configuration.
    pub(super) fn without_known_events(mut self) -> GatewayFile {
        if let Value::Object(members) = &mut self.content {
            // The key stays: the file in force has it.
            members.entry(KNOWN_EVENTS.to_string()).and_modify(|known| *known = Value::Object(Object::new()));
        }
        self
    }
}

/// Reads the documents about stores, by the names of the stores.
fn read_store_documents(
    overlay: &Overlay,
    wire_settings: &WireSettings,
) -> Result<BTreeMap<String, StoreAttributes>, GatewayFileError> {
    let read = |document: &OverlayDocument| {
        let name = document.id.name.clone();
        let attributes = StoreAttributes::read(&document.content, wire_settings);
        match attributes {
            Ok(attributes) => Ok((name, attributes)),
            Err(source) => Err(GatewayFileError::Store { name, source }),
        }
    };
    overlay.stores().map(read).collect()
}

/// Reads the text of the gateway's own file.
pub fn read(text: &str, overrides: Overrides) -> Result<Config, GatewayFileError> {
    read_value(&parse(text)?, overrides)
}

/// Reads the gateway's own file from JSON already taken apart.
fn read_value(all: &Value, overrides: Overrides) -> Result<Config, GatewayFileError> {
    let none = Value::Null;
    let name = read_name(all, overrides.name)?;
    let listen = read_listen(all, overrides.listen)?;
    let seed = read_seed(all)?;
    let settings = get(all, "settings").ok_or_else(|| KeyError::new("settings", KeyProblem::Missing))?;
    let mut wire_settings = wire::read(settings)?;
    let module_settings = read_settings(settings).map_err(GatewayFileError::Settings)?;
    let classes = classes::read(settings, &module_settings)?;
    wire_settings.classes =
        classes.iter().map(|class| WireClass::current(&class.name, &class.settings)).collect();
    let console = read_console(all, overrides.console)?;
    let peers = read_peers(all, settings)?;
    let known = get(all, KNOWN_EVENTS).unwrap_or(&none);
    let items = list(known, "items").map_err(|error| error.within("known"))?;
    let limits = get(all, "limits").unwrap_or(&none);
    let limit =
        |key, default, least| integer(limits, key, default, least).map_err(|error| error.within("limits"));
    Ok(Config {
        name,
        listen,
        seed,
        memory_bytes: limit("memory_mb", DEFAULT_MEMORY_MB, LEAST_MEMORY_MB)? as usize * MEGABYTE,
        max_descriptors: limit("sockets", DEFAULT_DESCRIPTORS, LEAST_DESCRIPTORS)? as usize,
        bulletin: address(all, "bulletin")?,
        transfer_bytes_per_s: read_rate(all, "flow_bytes_per_s")?,
        uplink_bytes_per_s: read_rate(all, "link_bytes_per_s")?,
        peers,
        last_known_event: integer(known, "no", 0, 0).map_err(|error| error.within("known"))?,
        known_events: read_known_events(items, &wire_settings)?,
        settings: module_settings,
        classes,
        wire_settings,
        console,
        shared_folder: None,
        store_attributes: BTreeMap::new(),
        shape: Shape::of(all),
    })
}

fn read_name(all: &Value, replacement: Option<String>) -> Result<String, KeyError> {
    if let Some(name) = replacement {
        return Ok(name);
    }
    let missing = || KeyError::new("name", KeyProblem::MissingWithVariable(NAME_VARIABLE));
    Ok(text(all, "name")?.ok_or_else(missing)?.to_string())
}

fn read_listen(all: &Value, replacement: Option<String>) -> Result<SocketAddr, KeyError> {
    if let Some(text) = replacement {
        return parse_address(LISTEN_VARIABLE, &text);
    }
    let missing = || KeyError::new("listen", KeyProblem::MissingWithVariable(LISTEN_VARIABLE));
    address(all, "listen")?.ok_or_else(missing)
}

fn read_console(all: &Value, replacement: Option<String>) -> Result<Option<SocketAddr>, KeyError> {
    match replacement {
        Some(text) => parse_address(CONSOLE_VARIABLE, &text).map(Some),
        None => address(all, "console"),
    }
}

fn read_seed(all: &Value) -> Result<u64, KeyError> {
    let Some(digits) = text(all, "seed")? else { return Ok(0) };
    u64::from_str_radix(digits, SEED_RADIX)
        .map_err(|_| KeyError::new("seed", KeyProblem::NotHexadecimal(digits.to_string())))
}

/// Bytes a second, above 0; 0 where the file states none, or null, which means that there is no limit. Any
/// other value would pass for that.
fn read_rate(all: &Value, key: &str) -> Result<f64, KeyError> {
    match get(all, key) {
        None | Some(Value::Null) => Ok(0.0),
        Some(_) => above_zero(all, key),
    }
}

fn read_peers(all: &Value, settings: &Value) -> Result<Addresses, KeyError> {
    let limits = get(settings, "limits");
    let allowed = limits.and_then(|limits| get(limits, "peers")).and_then(as_bool).unwrap_or(false);
    let addresses = texts(all, "peers")?;
    Ok(Addresses {
        all: addresses.iter().map(|text| parse_address("peers", text)).collect::<Result<_, _>>()?,
        own: address(all, "peer_listen")?.filter(|_| allowed),
        own_index: integer(settings, "me", 0, 0).map_err(|error| error.within("settings"))? as usize,
    })
}

fn read_known_events(
    items: &[Value],
    wire_settings: &WireSettings,
) -> Result<Vec<BulletinEvent>, GatewayFileError> {
    let read = |item: &Value| bulletin::read_event(item, wire_settings).map_err(GatewayFileError::KnownEvent);
    items.iter().map(read).collect()
}
