//! Membership of this gateway in its fleet, and the merge of all sources of endpoints. It connects the session with
//! the ensemble (`larchway-zookeeper`) to the endpoint set (`larchway-endpoints`). Reading files is the only I/O
//! here; the event loop executes the returned [`Effect`]s.
mod client_events;
mod effect;
mod error;
mod instance;
mod lease_events;
mod report;
mod roster_file;
mod settings;
mod watches;

pub use effect::Effect;
pub use error::EnsembleFileError;
pub use instance::OwnInstance;
pub use settings::{EnsembleFile, EnsembleSettings};

use crate::bulletin::Change;
use crate::clock::wire::WireTimes;
use crate::durable_file::DurableFile;
use crate::wire_settings::WireSettings;
use larchway::MonotonicTime;
use larchway_cluster::lease;
use larchway_endpoints::evidence::EndpointEvidence;
use larchway_endpoints::format::KnownNames;
use larchway_endpoints::{Connectivity, Endpoint, EndpointSet, Input, ListScope, LogEvent, Output, Source};
use larchway_zookeeper::client::{self, Client, ClientConfig, Registration};
use roster_file::roster_file;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tracing::{error, info, warn};
use watches::Watches;

/// Shortest time between two saves of the roster, so that a flapping endpoint does not cause continual writes.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);

/// The session with the ensemble, the merged endpoint set, and the state that connects them.
pub struct Membership {
    settings: EnsembleSettings,
    own: OwnInstance,
    known_names: KnownNames,
    client: Client,
    watches: Watches,
    endpoints: EndpointSet,
    /// Whether the session has a connection.
    connected: bool,
    /// The server of the ensemble to which a connection was last attempted.
    last_server: Option<SocketAddr>,
    /// Converts the times that nodes state to the monotonic clock.
    wire_times: WireTimes,
    /// Whether all nodes of stores have been read at least once.
    stores_read: bool,
    /// The file of the roster, if a folder is configured.
    roster_file: Option<DurableFile>,
    /// When the roster must be saved, if it has changed since the last save.
    save_due: Option<MonotonicTime>,
}

impl Membership {
    /// Creates the membership, and restores the saved roster if there is one.
    pub fn new(
        now: MonotonicTime,
        settings: EnsembleSettings,
        own: OwnInstance,
        wire_settings: &WireSettings,
        seed: u64,
    ) -> (Self, Vec<Effect>) {
        let mut membership = Membership {
            known_names: known_names(wire_settings),
            roster_file: roster_file(&settings, &own),
            client: Client::new(client_config(&settings, &own), seed),
            watches: Watches::new(&settings, &own),
            endpoints: EndpointSet::new(settings.policy.clone()),
            settings,
            own,
            connected: false,
            last_server: None,
            wire_times: WireTimes::new(),
            stores_read: false,
            save_due: None,
        };
        let mut effects = Vec::new();
        if let Some(snapshot) = membership.load_roster(now) {
            membership.handle_endpoint_input(now, Input::Restore(snapshot), &mut effects);
        }
        (membership, effects)
    }

    /// Whether the endpoint list is merged from the list of the event source and the nodes of the ensemble.
    pub fn merges_sources(&self) -> bool {
        self.settings.stores_path.is_some()
    }

    /// The most that the own Unix clock can be fast, by the times that nodes state; none before the first.
    pub fn max_clock_lead(&self) -> Option<Duration> {
        self.wire_times.max_clock_lead()
    }

    /// The path of the Unix socket at which operators query this instance.
    pub fn admin_socket(&self) -> Option<&Path> {
        self.settings.admin_socket.as_deref()
    }

    /// Puts another configuration in force. The state of endpoints stays. If the session must be replaced, the old
    /// one is closed, and the node of this gateway is deleted with it.
    pub fn configure(
        &mut self,
        now: MonotonicTime,
        settings: EnsembleSettings,
        own: OwnInstance,
        wire_settings: &WireSettings,
        seed: u64,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.known_names = known_names(wire_settings);
        if settings.policy != self.settings.policy {
            self.handle_endpoint_input(now, Input::Policy(settings.policy.clone()), &mut effects);
        }
        let old_client = client_config(&self.settings, &self.own);
        let new_client = client_config(&settings, &own);
        let source_changed = self.settings.servers != settings.servers
            || self.settings.node_defaults != settings.node_defaults;
        self.set_roster_file(now, roster_file(&settings, &own));
        self.watches = Watches::new(&settings, &own);
        (self.settings, self.own) = (settings, own);
        if source_changed || needs_new_session(&old_client, &new_client) {
            self.replace_session(now, new_client, seed, &mut effects);
        } else if let Some(registration) =
            new_client.registration.filter(|new| old_client.registration.as_ref() != Some(new))
        {
            self.handle_client_input(now, client::Input::Data(registration.data), &mut effects);
        }
        effects
    }

    /// Closes the session and begins another one.
    fn replace_session(
        &mut self,
        now: MonotonicTime,
        config: ClientConfig,
        seed: u64,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(Effect::Lease(lease::Input::SessionEnded));
        self.handle_client_input(now, client::Input::Close, effects);
        effects.push(Effect::Close("the configuration replaces the session".into()));
        self.set_connectivity(now, Connectivity::Disconnected, effects);
        self.handle_endpoint_input(now, Input::RereadStarted, effects);
        self.client = Client::new(config, seed);
    }

    /// When [`Membership::tick`] must be called next, if ever.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        let due = [self.client.next_due(), self.endpoints.next_due()].into_iter().flatten().min();
        due.into_iter().chain(self.save_due).min()
    }

    /// Runs the timers that have expired.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.client.next_due().is_some_and(|due| due <= now) {
            self.handle_client_input(now, client::Input::Tick, &mut effects);
        }
        if self.endpoints.next_due().is_some_and(|due| due <= now) {
            self.handle_endpoint_input(now, Input::Tick, &mut effects);
        }
        if self.save_due.is_some_and(|due| due <= now) {
            self.save_roster(now, &mut effects);
        }
        effects
    }

    /// Handles that the connection to the ensemble is established.
    pub fn handle_connected(&mut self, now: MonotonicTime) -> Vec<Effect> {
        self.client_effects(now, client::Input::Connected)
    }

    /// Handles bytes received on the connection.
    pub fn handle_bytes(&mut self, now: MonotonicTime, bytes: &[u8]) -> Vec<Effect> {
        self.client_effects(now, client::Input::Bytes(bytes))
    }

    /// Handles that the connection is lost or could not be established.
    pub fn handle_connection_lost(&mut self, now: MonotonicTime, reason: &str) -> Vec<Effect> {
        self.client_effects(now, client::Input::ConnectionLost(reason))
    }

    /// Closes the session at shutdown. Its node is deleted, so that clients use other gateways.
    pub fn close(&mut self, now: MonotonicTime) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.save_due.is_some() {
            self.save_roster(now, &mut effects);
        }
        // The lease must end before the node is deleted.
        effects.push(Effect::Lease(lease::Input::SessionEnded));
        self.handle_client_input(now, client::Input::Close, &mut effects);
        effects
    }

    /// Handles entries of the endpoint list from the event source.
    pub fn update_list(
        &mut self,
        now: MonotonicTime,
        scope: ListScope,
        endpoints: Vec<Endpoint>,
    ) -> Vec<Effect> {
        self.endpoint_effects(now, Input::List { scope, endpoints })
    }

    /// Handles a heartbeat of the event source, or the loss of its connection.
    pub fn update_list_source(&mut self, now: MonotonicTime, connectivity: Connectivity) -> Vec<Effect> {
        let input = match connectivity {
            Connectivity::Connected => Input::Heartbeat(Source::List),
            Connectivity::Disconnected => Input::Connection(Source::List, Connectivity::Disconnected),
        };
        self.endpoint_effects(now, input)
    }

    /// Handles the evidence of endpoints' health from attempts of this gateway.
    pub fn handle_evidence(&mut self, now: MonotonicTime, evidence: Vec<EndpointEvidence>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for evidence in evidence {
            self.handle_endpoint_input(now, Input::Evidence(evidence), &mut effects);
        }
        effects
    }

    fn client_effects(&mut self, now: MonotonicTime, input: client::Input<'_>) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.handle_client_input(now, input, &mut effects);
        effects
    }

    fn endpoint_effects(&mut self, now: MonotonicTime, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.handle_endpoint_input(now, input, &mut effects);
        effects
    }

    /// Passes an input to the endpoint set, and collects the effects.
    fn handle_endpoint_input(&mut self, now: MonotonicTime, input: Input, effects: &mut Vec<Effect>) {
        let mut outputs = Vec::new();
        self.endpoints.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Change { scope, endpoints } => {
                    if self.settings.state_folder.is_some() && self.save_due.is_none() {
                        self.save_due = Some(now + SAVE_INTERVAL);
                    }
                    let change = Change::EndpointList { scope, endpoints };
                    effects.push(Effect::ApplyChange(change));
                }
                Output::Gateways(numbers) => {
                    info!(by_zone = ?numbers, "live gateways");
                    effects.push(Effect::GatewaysByZone(numbers));
                }
                // Each kind has its own rate limit, so that a burst of one suppresses no other.
                Output::Log(event @ LogEvent::StateChanged { .. }) => info!("{event}"),
                Output::Log(event @ LogEvent::NodeUnreadable { .. }) => warn!("{event}"),
                Output::Log(event @ LogEvent::MassDeparture(_)) => error!("{event}"),
                Output::Log(event @ LogEvent::LimitReached(_)) => error!("{event}"),
            }
        }
    }
}

/// The names of zones and machine kinds that nodes of stores may use.
fn known_names(wire_settings: &WireSettings) -> KnownNames {
    KnownNames { zones: wire_settings.zones.clone(), kinds: wire_settings.machine_kinds.clone() }
}

fn client_config(settings: &EnsembleSettings, own: &OwnInstance) -> ClientConfig {
    let registration = Registration {
        base: settings.registration_path.clone(),
        name: own.name.clone(),
        data: serde_json::to_vec(own).unwrap_or_default(),
    };
    ClientConfig {
        servers: settings.servers.len(),
        timeout: settings.session_timeout,
        credentials: settings.credentials.clone(),
        registration: Some(registration),
        sync_interval: settings.sync_interval,
        watched_paths: Watches::new(settings, own).paths(),
    }
}

/// Whether a new client configuration requires a new session: it differs in more than the data of the own node.
fn needs_new_session(old: &ClientConfig, new: &ClientConfig) -> bool {
    let without_data = |config: &ClientConfig| {
        let registration = config.registration.clone();
        let registration = registration.map(|node| Registration { data: Vec::new(), ..node });
        ClientConfig { registration, ..config.clone() }
    };
    without_data(old) != without_data(new)
}
