//! The start of a process: reads the configuration, takes over the state of another process of the gateway, and
//! listens.
use super::errors::GatewayError;
use super::input::{InputSchedule, LARGE_READ_BYTES};
use super::memory::MemoryAccount;
use super::poll_key::PollKey;
use super::{saves_roster, Gateway};
use crate::clock;
use crate::clock::start_dates::StartDates;
use crate::clock::wire::WireTimes;
use crate::config::{Files, Loaded, Overlay, Shape};
use crate::core::Core;
use crate::descriptors::DescriptorLimits;
use crate::event_loop_error::EventLoopError;
use crate::events::Events;
use crate::polled_signals::{PolledSignals, SignalKeys};
use crate::pools::Pools;
use crate::random_numbers::RandomNumbers;
use crate::shutdown::Shutdown;
use crate::slots::Slots;
use crate::sockets::START_TIMEOUT;
use crate::store_overrides::StoreOverrides;
use crate::system_errors::retry_on_local_shortage;
use crate::wire_settings::WireSettings;
use larchway::{MonotonicTime, Settings};
use larchway_endpoints::endpoint::endpoint_id;
use larchway_operations::manual_ejection::ManualEjections;
use larchway_operations::ProcessGroup;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

impl Gateway {
    /// Starts a gateway: applies the configuration, takes over the state of another process, then opens the listeners.
    pub fn new(files: Files) -> Result<Self, GatewayError> {
        let start_until = Instant::now() + START_TIMEOUT;
        let file_set = retry_on_local_shortage(start_until, || files.read_set())?;
        let Loaded { config, front, ensemble, hierarchy, copies, spread, fleet, topology, events } =
            file_set.load(&Overlay::default())?;
        let keys = SignalKeys { stop: PollKey::StopSignal.into(), reload: PollKey::ReloadSignal.into() };
        let signals = PolledSignals::open(keys, start_until)?;
        let mut gateway = Gateway::unconfigured(files, config.listen, config.seed, signals);
        // The seed is mixed with the name: gateways with the same configured seed would otherwise send to warming
        // stores at the same moments.
        gateway.core = Core::new(larchway::mix(config.seed ^ endpoint_id(&config.name)));
        gateway.remember_files(file_set);
        gateway.front = front;
        let shared = config.console.is_some();
        let shared_folder_path = config.shared_folder.clone().filter(|_| shared);
        let name = config.name.clone();
        let needs_saver = shared_folder_path.is_some() || saves_roster(ensemble.as_ref());
        retry_on_local_shortage(start_until, || gateway.start_saver(needs_saver))?;
        // The other process's state is taken over before the first decision, and clients are accepted after that.
        let frames =
            shared_folder_path.map(|folder| gateway.find_other_processes(&folder, &name)).unwrap_or_default();
        // Read after the discovery, which sets the clock to continue from that of the other process.
        let now = clock::now();
        gateway.events = Events::new(now, config.seed);
        gateway.configure_object_cache(&config, copies, events.is_some());
        gateway.configure_tier_peers(
            now,
            config.between_peers(spread, fleet, topology, ensemble.as_ref()),
            &config.wire_settings,
        );
        gateway.apply_configuration(now, config, ensemble, hierarchy, events)?;
        gateway.take_over_state(clock::now(), frames);
        gateway.open_client_listeners(shared).map_err(EventLoopError::from)?;
        gateway.send_status();
        Ok(gateway)
    }

    /// A gateway that polls only signals and has no endpoints yet. `platform_address`: the address of the platform's
    /// front; `seed`: the seed of its random numbers.
    fn unconfigured(files: Files, platform_address: SocketAddr, seed: u64, signals: PolledSignals) -> Self {
        Gateway {
            poller: signals.poller,
            platform_listener: None,
            platform_address,
            signed_listener: None,
            front: None,
            membership: None,
            live_gateways: BTreeMap::new(),
            ensemble_connection: None,
            postponed_ensemble_connect: None,
            membership_deadline: None,
            admin: None,
            admin_deadline: None,
            hierarchy: None,
            hierarchy_deadline: None,
            peers: None,
            peers_deadline: None,
            settings: Settings::default(),
            shape: Shape::default(),
            console_address: None,
            console: None,
            console_deadline: None,
            manual_ejections: ManualEjections::default(),
            descriptor_limit: 0,
            upgrade: None,
            processes: ProcessGroup::default(),
            sent_work_reported_until: MonotonicTime::MIN,
            ejection_deadline: None,
            saver: None,
            saver_deadline: None,
            shutdown: Shutdown::default(),
            first_unserved: None,
            input_schedule: InputSchedule::default(),
            random_numbers: RandomNumbers::new(seed),
            files,
            files_in_force: None,
            postponed_reload: None,
            pending_documents: None,
            documents_deadline: None,
            store_overrides: StoreOverrides::default(),
            stop_signal: signals.stop,
            reload_signal: signals.reload,
            connections: Slots::default(),
            pools: Pools::default(),
            events: Events::new(clock::now(), seed),
            wire_times: WireTimes::new(),
            start_dates: StartDates::default(),
            events_connection: None,
            postponed_events_connect: None,
            events_deadline: None,
            own_zone: 0,
            core: Core::new(seed),
            memory: MemoryAccount::default(),
            read_buffer: vec![0; LARGE_READ_BYTES],
            longest_iteration: Duration::ZERO,
            descriptor_limits: DescriptorLimits::default(),
            client_count: 0,
            half_closed_count: 0,
            store_connection_count: 0,
            wire_settings: WireSettings::default(),
        }
    }
}
