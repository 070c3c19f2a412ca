//! Applies a configuration, at the start and at each SIGHUP.
use super::errors::ConfigurationError;
use super::poll_key::{ClientListener, PollKey};
use super::{saves_roster, Gateway};
use crate::clock;
use crate::config::{Config, ConfigError, FileSet, Loaded};
use crate::deadlines::DeadlineKind;
use crate::descriptors::DescriptorLimits;
use crate::events::EventsConfig;
use crate::hierarchy::{Hierarchy, HierarchyFile, ParentSlowStart};
use crate::membership::{EnsembleSettings, OwnInstance};
use crate::peers::Peers;
use crate::postponed::{should_retry_reload, take_due, Postponed};
use crate::resp;
use crate::sockets::{drain, listen_and_poll, ListenError};
use crate::system_errors::SystemCallError;
use crate::wire_settings::{ClassSettings, WireClass};
use larchway::{MonotonicTime, Settings};
use larchway_distribution::events_file::EventsFile;
use larchway_object_cache::{CopiesFile, LinkRates, ObjectCache, PurgeSource};
use larchway_operations::classes::ClassSlot;
use larchway_operations::request_counters::ReloadOutcome;
use std::net::{SocketAddr, TcpListener};
use tracing::{error, info, warn};

/// Divisor of the memory limit for replies that are being received from stores.
const STORE_MEMORY_DIVISOR: usize = 3;

/// A reload that is to be tried again.
pub(super) struct PendingReload {
    /// The files; none if they could not be read yet.
    files: Option<FileSet>,
    /// Number of SIGHUP signals that requested it, for the reload counters.
    signals: u64,
}

/// Files that were read, and the configuration that results from them and the documents in force.
struct ReadFiles {
    files: FileSet,
    loaded: Loaded,
}

/// New listeners of the fronts whose addresses a configuration changes; none for a front whose address stays.
#[derive(Default)]
pub(super) struct NewListeners {
    platform: Option<TcpListener>,
    signed: Option<TcpListener>,
}

impl Gateway {
    /// Applies the first or a later configuration: limits, names, the ensemble, and the known endpoints. Open requests,
    /// connections and learned state are preserved.
    pub(super) fn apply_configuration(
        &mut self,
        now: MonotonicTime,
        config: Config,
        ensemble: Option<EnsembleSettings>,
        hierarchy: Option<HierarchyFile>,
        events: Option<EventsFile>,
    ) -> Result<(), ConfigurationError> {
        let events = EventsConfig {
            name: config.name.clone(),
            zone: config.wire_settings.zones.get(config.settings.zone).cloned().unwrap_or_default(),
            bulletin: config.bulletin,
            notice: config.wire_settings.notice_time,
            file: events,
        };
        self.memory.limit = config.memory_bytes;
        self.descriptor_limit = config.max_descriptors;
        self.share_limits();
        self.own_zone = config.settings.zone;
        if let Some(file) = hierarchy {
            self.configure_hierarchy(now, file, &config)?;
        }
        // Leased quotas are not part of the configuration and are preserved.
        let shares = self.peers.as_ref().and_then(Peers::quotas);
        let settings = Settings { shares, ..config.settings };
        self.settings = self.core.configure(now, settings, config.classes);
        self.shape = config.shape;
        // Divide the slow start budgets by the actual number of gateways: with the configured number, which may be
        // lower, the gateways together would exceed them.
        if !self.live_gateways.is_empty() || shares.is_some() {
            self.update_gateway_count();
        }
        self.wire_settings = config.wire_settings;
        let slots = self.core.classes.slots().iter();
        let wire_class = |slot: &ClassSlot<ClassSettings>| WireClass {
            is_current: slot.is_current(),
            ..WireClass::current(&slot.name, &slot.settings)
        };
        self.wire_settings.classes = slots.map(wire_class).collect();
        if self.console_address != config.console {
            self.console_address = config.console;
            self.console = None;
        }
        self.check_console(now);
        // A process that was signalled to stop has left the ensemble and must not register again.
        if let Some(ensemble) = ensemble.filter(|_| !self.shutdown.is_signalled()) {
            let bound_address = self.platform_listener.as_ref().and_then(|l| l.local_addr().ok());
            let listen = bound_address.unwrap_or(config.listen).to_string();
            let changes_path = self.hierarchy.as_ref().and_then(Hierarchy::changes_path).map(String::from);
            self.configure_membership(
                now,
                ensemble,
                OwnInstance { changes_path, name: config.name, listen, zone: self.own_zone },
            );
        }
        self.override_stores(now, &config.store_attributes);
        self.wire_times.prepare(now, &config.known_events);
        let effects = self.events.take_known(config.known_events, config.last_known_event);
        self.apply_event_effects(now, effects);
        let effects = self.events.configure(now, events);
        self.apply_event_effects(now, effects);
        let lag_limit = self.events.lag_limit();
        self.core.object_cache.iter_mut().for_each(|cache| cache.set_feed_timeout(lag_limit));
        Ok(())
    }

    /// Creates or reconfigures the hierarchy of caches.
    fn configure_hierarchy(
        &mut self,
        now: MonotonicTime,
        file: HierarchyFile,
        config: &Config,
    ) -> Result<(), ConfigurationError> {
        let hierarchy = match &mut self.hierarchy {
            Some(hierarchy) => {
                hierarchy.configure(now, file)?;
                hierarchy
            }
            unset => {
                let slow_start = ParentSlowStart {
                    initial_share: config.settings.parent_slow_start_share,
                    duration: config.settings.parent_slow_start_span,
                };
                unset.insert(Hierarchy::new(now, file, slow_start)?)
            }
        };
        hierarchy.set_own_name(&config.name);
        self.check_hierarchy(now);
        Ok(())
    }

    /// Reads the complete configuration again and replaces the one in force. A configuration that cannot be used
    /// changes nothing; the log names the faulty key.
    pub(super) fn reload(&mut self, now: MonotonicTime) {
        let signals = drain(&self.reload_signal);
        // The pipe could not be read: the poller will report it again.
        if signals == 0 {
            return;
        }
        let read = self.read_files();
        if read.as_ref().is_err_and(|error| !error.is_local_shortage()) {
            return self.finish_reload(signals, read.map(drop).map_err(ConfigurationError::from));
        }
        // The newer reload replaces a postponed one and counts its signals.
        let waiting = self.postponed_reload.take().map_or(0, |waiting| waiting.work.signals);
        self.try_reload(now, now, read, signals + waiting);
    }

    /// Retries the reload that was postponed because of a local shortage, if its time has come.
    pub(super) fn retry_reload(&mut self, now: MonotonicTime) {
        if let Some(waiting) = take_due(&mut self.postponed_reload, now) {
            let PendingReload { files, signals } = waiting.work;
            let read = match files {
                Some(files) => self.load_files(files),
                None => self.read_files(),
            };
            self.try_reload(now, waiting.since, read, signals);
        }
    }

    /// Reads all files.
    fn read_files(&self) -> Result<ReadFiles, ConfigError> {
        self.load_files(self.files.read_set()?)
    }

    /// Loads and validates files, both alone and overlaid with the documents in force.
    fn load_files(&self, files: FileSet) -> Result<ReadFiles, ConfigError> {
        let loaded = files.load_anew(&self.events.overlay_in_force())?;
        Ok(ReadFiles { files, loaded })
    }

    /// Carries out a reload, or postpones it on a local shortage. `since`: when it was first tried; `read`: the files,
    /// or the error of reading them; `signals`: the number of SIGHUP signals that requested it.
    fn try_reload(
        &mut self,
        now: MonotonicTime,
        since: MonotonicTime,
        read: Result<ReadFiles, ConfigError>,
        signals: u64,
    ) {
        let ReadFiles { files, loaded } = match read {
            Ok(read) => read,
            Err(error) => {
                let pending = PendingReload { files: None, signals };
                return self.postpone_or_reject(now, since, pending, error.into());
            }
        };
        match self.prepare_files(&files, &loaded) {
            Ok(listeners) => {
                let outcome = self.replace_configuration(now, loaded, listeners);
                let is_applied = outcome.is_ok();
                self.finish_reload(signals, outcome);
                if is_applied {
                    self.remember_files(files);
                    self.retry_documents(now);
                }
            }
            Err(error) => {
                let pending = PendingReload { files: Some(files), signals };
                self.postpone_or_reject(now, since, pending, error);
            }
        }
    }

    /// Checks that the loaded files can replace the configuration in force, and opens the new listeners.
    fn prepare_files(
        &mut self,
        files: &FileSet,
        loaded: &Loaded,
    ) -> Result<NewListeners, ConfigurationError> {
        if files.takes_documents() && self.files_in_force.is_none() {
            return Err(ConfigurationError::DocumentsNeedRestart);
        }
        self.prepare_reload(loaded)
    }

    /// Stores the files in force if documents are to be overlaid on them.
    pub(super) fn remember_files(&mut self, files: FileSet) {
        self.files_in_force = files.takes_documents().then(|| files.without_known_events());
    }

    /// Postpones a failed reload, first tried at `since`, if it should be retried; otherwise rejects it.
    fn postpone_or_reject(
        &mut self,
        now: MonotonicTime,
        since: MonotonicTime,
        pending: PendingReload,
        error: ConfigurationError,
    ) {
        if !should_retry_reload(&error, now, since) {
            return self.finish_reload(pending.signals, Err(error));
        }
        warn!("{error}; it is tried again");
        let postponed = Postponed::new(now, since, pending);
        self.core.deadlines.set(postponed.retry_at(), DeadlineKind::Reload);
        self.postponed_reload = Some(postponed);
    }

    /// Logs and counts the outcome of a reload that this number of signals requested.
    fn finish_reload(&mut self, signals: u64, outcome: Result<(), ConfigurationError>) {
        let counted = if outcome.is_ok() { ReloadOutcome::Applied } else { ReloadOutcome::Rejected };
        self.core.counters.count_reload(signals, counted);
        match outcome {
            Ok(()) => info!("the configuration is read again"),
            Err(error) => error!(%error, "the configuration stays as it was"),
        }
    }

    /// Checks that a configuration can replace the one in force, and opens its new listeners. An error leaves the
    /// configuration in force unchanged.
    pub(super) fn prepare_reload(&mut self, loaded: &Loaded) -> Result<NewListeners, ConfigurationError> {
        let config = &loaded.config;
        config.shape.replaces(&self.shape)?;
        config.wire_settings.extends(&self.wire_settings)?;
        self.start_saver(saves_roster(loaded.ensemble.as_ref()))?;
        let mut listeners = NewListeners::default();
        // A closing process must not open new listeners.
        if self.shutdown.is_closing() {
            return Ok(listeners);
        }
        if config.listen != self.platform_address {
            listeners.platform = Some(self.open_listener(ClientListener::Platform, config, config.listen)?);
        }
        let signed_address = loaded.front.as_ref().map(|front| front.listen);
        let signed_in_force = self.front.as_ref().map(|front| front.listen);
        if let Some(address) = signed_address.filter(|address| Some(*address) != signed_in_force) {
            listeners.signed = Some(self.open_listener(ClientListener::Signed, config, address)?);
        }
        Ok(listeners)
    }

    /// Opens a listener at a new address of a front.
    fn open_listener(
        &self,
        kind: ClientListener,
        config: &Config,
        address: SocketAddr,
    ) -> Result<TcpListener, ListenError> {
        let shared = config.console.is_some();
        listen_and_poll(&self.poller, address, PollKey::ClientListener(kind).into(), shared)
    }

    /// Replaces the configuration in force.
    pub(super) fn replace_configuration(
        &mut self,
        now: MonotonicTime,
        loaded: Loaded,
        listeners: NewListeners,
    ) -> Result<(), ConfigurationError> {
        let Loaded { config, front, ensemble, hierarchy, copies, spread, fleet, topology, events } = loaded;
        let rebound = listeners.platform.is_some() || listeners.signed.is_some();
        if listeners.platform.is_some() {
            self.close_listener(now, ClientListener::Platform);
            (self.platform_listener, self.platform_address) = (listeners.platform, config.listen);
        }
        if listeners.signed.is_some() {
            self.close_listener(now, ClientListener::Signed);
            self.signed_listener = listeners.signed;
        }
        self.front = front;
        if rebound {
            self.log_listening();
        }
        self.configure_object_cache(&config, copies, events.is_some());
        if !self.shutdown.is_signalled() {
            self.configure_tier_peers(
                now,
                config.between_peers(spread, fleet, topology, ensemble.as_ref()),
                &config.wire_settings,
            );
        }
        self.apply_configuration(now, config, ensemble, hierarchy, events)
    }

    /// Applies the operator file of the object cache; without one there is no cache. Cached objects are preserved, but
    /// not served until the purge feed is active.
    pub(super) fn configure_object_cache(
        &mut self,
        config: &Config,
        settings: Option<CopiesFile>,
        relays: bool,
    ) {
        let rates = LinkRates { per_transfer: config.transfer_bytes_per_s, total: config.uplink_bytes_per_s };
        match (&mut self.core.object_cache, settings) {
            (cache, None) => *cache = None,
            (Some(cache), Some(settings)) => cache.configure(settings, rates),
            (cache, Some(settings)) => *cache = Some(ObjectCache::new(settings, rates)),
        }
        if let Some(cache) = &mut self.core.object_cache {
            let has_feed = config.bulletin.is_some() || relays;
            cache.set_purge_source(if has_feed { PurgeSource::Feed } else { PurgeSource::None });
        }
    }

    /// Divides the gateway's descriptor and memory limits by the number of its processes.
    pub(super) fn share_limits(&mut self) {
        self.update_copy_capacity();
        let limits = DescriptorLimits::share(self.descriptor_limit / self.processes.process_count());
        let store_connections_in_memory =
            self.memory_of_each_process() / STORE_MEMORY_DIVISOR / resp::MAX_STRING_BYTES;
        self.descriptor_limits = DescriptorLimits {
            store_connections: limits.store_connections.min(store_connections_in_memory),
            ..limits
        };
        self.divide_memory(clock::now());
    }
}
