//! All configuration files together, each checked alone and with the others.
use super::error::ConfigError;
use super::gateway::{Config, GatewayFile};
use super::operator_file::{copies_file, events_file, fleet_file, spread_file};
use super::overlay::Overlay;
use super::signed_front::front_file;
use crate::hierarchy::HierarchyFile;
use crate::membership::EnsembleSettings;
use crate::signed::FrontSettings;
use larchway_cluster::tiers::Topology;
use larchway_cluster::FleetFile;
use larchway_distribution::events_file::EventsFile;
use larchway_load_sharing::SpreadFile;
use larchway_object_cache::CopiesFile;
use std::sync::Arc;

/// The paths of the operator files; the gateway's own file is named by the environment.
#[derive(Debug, Clone, Default)]
pub struct Files {
    /// That of the front for signed links; without it, that front is off.
    pub signed: Option<String>,
    /// That of the ensemble; without it, the instance registers nowhere.
    pub ensemble: Option<String>,
    /// That of the hierarchy; without it, all listed parents share all objects.
    pub hierarchy: Option<String>,
    /// That of the gateway's own cached copies; without it, none are cached.
    pub copies: Option<String>,
    /// That of the load's spread; without it, each gateway acts on what it sees alone.
    pub spread: Option<String>,
    /// That of the fleet; without it, gateways know nothing of each other.
    pub fleet: Option<String>,
    /// That of the events; without it, they come from the source that the gateway's own file names.
    pub events: Option<String>,
}

/// All configuration, read in one go.
#[derive(Debug)]
pub struct Loaded {
    /// The gateway's own file.
    pub config: Config,
    /// The front for signed links, if it is on.
    pub front: Option<FrontSettings>,
    /// The ensemble, if the instance registers.
    pub ensemble: Option<EnsembleSettings>,
    /// The hierarchy, if there is one.
    pub hierarchy: Option<HierarchyFile>,
    /// The gateway's own cached copies, if any are cached.
    pub copies: Option<CopiesFile>,
    /// The load's spread, if the gateways share their view of it.
    pub spread: Option<SpreadFile>,
    /// The fleet, if gateways know of each other.
    pub fleet: Option<FleetFile>,
    /// The sites of the gateways, if the file of the fleet has them; that file is without them here.
    pub topology: Option<Arc<Topology>>,
    /// The relays that events come from, if they do.
    pub events: Option<EventsFile>,
}

/// All files as they were read, each checked alone but for the gateway's own, which documents may stand over.
#[derive(Debug, Clone)]
pub struct FileSet {
    gateway: GatewayFile,
    front: Option<FrontSettings>,
    ensemble: Option<EnsembleSettings>,
    hierarchy: Option<HierarchyFile>,
    copies: Option<CopiesFile>,
    spread: Option<SpreadFile>,
    fleet: Option<FleetFile>,
    events: Option<EventsFile>,
}

impl Files {
    /// Reads and checks all files, each alone and with the others.
    pub fn read(&self) -> Result<Loaded, ConfigError> {
        self.read_set()?.load(&Overlay::default())
    }

    /// Reads all files. The values of the gateway's own are checked by [`FileSet::load`].
    pub fn read_set(&self) -> Result<FileSet, ConfigError> {
        Ok(FileSet {
            gateway: GatewayFile::from_environment()?,
            front: self.signed.as_deref().map(front_file).transpose()?,
            ensemble: self.ensemble.as_deref().map(EnsembleSettings::read).transpose()?,
            hierarchy: self.hierarchy.as_deref().map(HierarchyFile::read).transpose()?,
            copies: self.copies.as_deref().map(copies_file).transpose()?,
            spread: self.spread.as_deref().map(spread_file).transpose()?,
            fleet: self.fleet.as_deref().map(fleet_file).transpose()?,
            events: self.events.as_deref().map(events_file).transpose()?,
        })
    }
}

impl FileSet {
    /// Checks all files, with documents over the gateway's own if the file of the events has them applied.
    pub fn load(&self, overlay: &Overlay) -> Result<Loaded, ConfigError> {
        let none = Overlay::default();
        let overlay = if self.takes_documents() { overlay } else { &none };
        let mut loaded = Loaded {
            config: self.gateway.config(overlay)?,
            front: self.front.clone(),
            ensemble: self.ensemble.clone(),
            hierarchy: self.hierarchy.clone(),
            copies: self.copies,
            spread: self.spread.clone(),
            fleet: self.fleet.clone(),
            topology: None,
            events: self.events.clone(),
        };
        loaded.check()?;
        loaded.read_topology()?;
        Ok(loaded)
    }

    /// Checks the files alone, and loads them with documents over them: after a start the file holds until they come.
    pub fn load_anew(&self, overlay: &Overlay) -> Result<Loaded, ConfigError> {
        if !overlay.is_empty() {
            self.load(&Overlay::default())?;
        }
        self.load(overlay)
    }

    /// Whether documents of the event stream stand over the gateway's own file.
    pub fn takes_documents(&self) -> bool {
        self.events.as_ref().is_some_and(|events| events.configuration)
    }

    /// The files without the events known at the start, which must not be applied again.
    pub fn without_known_events(self) -> FileSet {
        FileSet { gateway: self.gateway.without_known_events(), ..self }
    }
}

impl Loaded {
    /// What documents have changed: the hierarchy is a file of its own, and its moves under way go on.
    pub fn without_hierarchy(self) -> Loaded {
        Loaded { hierarchy: None, ..self }
    }

    /// Checks each file with the others.
    fn check(&self) -> Result<(), ConfigError> {
        let counts_gateways = self.ensemble.as_ref().is_some_and(|ensemble| ensemble.counts_gateways);
        if self.fleet.is_some() && self.config.peers.own.is_none() && !counts_gateways {
            return Err(ConfigError::FleetUnreachable);
        }
        let reported = &self.config.wire_settings.load_fields;
        if let Some(file) = self.spread.as_ref().filter(|file| !reported.contains(&file.field)) {
            return Err(ConfigError::UnknownLoadField(file.field.clone()));
        }
        let changes_path = self.hierarchy.as_ref().and_then(|file| file.path.as_ref());
        if let (Some(path), None) = (changes_path, &self.ensemble) {
            return Err(ConfigError::EnsembleMissing(path.clone()));
        }
        let classes = &self.config.wire_settings.classes;
        let is_unknown = |name: &&String| !classes.iter().any(|class| class.name == **name);
        let linked = self.front.iter().flat_map(|front| &front.classes);
        match linked.into_iter().find(is_unknown) {
            Some(class) => Err(ConfigError::UnknownClass(class.clone())),
            None => Ok(()),
        }
    }

    /// Takes the sites out of the file of the fleet, and checks them with the gateways' addresses.
    fn read_topology(&mut self) -> Result<(), ConfigError> {
        let Some(sites) = self.fleet.as_mut().and_then(|file| file.sites.take()) else { return Ok(()) };
        let peers = &self.config.peers;
        if peers.own.is_none() {
            return Err(ConfigError::SitesUnreachable);
        }
        self.topology = Some(Arc::new(Topology::new(&sites, peers.all.len())?));
        Ok(())
    }
}
