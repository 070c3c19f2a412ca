//! The event loop: one poller, one thread, and the state that all of its handlers share.
//!
//! Each event of the poller and each deadline is dispatched to a handler in a child module, which holds an `impl
//! Gateway` block. Handlers never block; the commands that they queue are carried out before the next event.
mod clients;
mod configuration;
mod connections;
mod documents;
mod endpoint_list;
mod ensemble;
pub mod errors;
mod event_source;
mod input;
mod listeners;
mod memory;
mod operators;
mod platform_clients;
pub mod poll_key;
mod processes;
mod signed_clients;
mod startup;
mod state_files;
mod store_connections;
mod store_traffic;
mod tier_peers;

use crate::admin::Admin;
use crate::clock;
use crate::clock::start_dates::StartDates;
use crate::clock::wire::WireTimes;
use crate::config::{FileSet, Files, Shape};
use crate::connection::Connection;
use crate::console::Console;
use crate::core::{Command, Core, FinalReply, ServedReply, NO_CAPACITY_RETRY_AFTER};
use crate::deadlines::DeadlineKind;
use crate::descriptors::DescriptorLimits;
use crate::event_loop_error::EventLoopError;
use crate::event_order::order_events;
use crate::events::Events;
use crate::hierarchy::Hierarchy;
use crate::input_budget::MAX_ITERATION_TIME;
use crate::membership::{EnsembleSettings, Membership};
use crate::peers::Peers;
use crate::pools::Pools;
use crate::postponed::Postponed;
use crate::random_numbers::RandomNumbers;
use crate::shutdown::{Shutdown, StopEffect, Successor, ACCEPT_GRACE_PERIOD};
use crate::signed::FrontSettings;
use crate::slots::{SlotKey, Slots};
use crate::sockets::drain;
use crate::spans::ceil_millis;
use crate::state_saver::StateSaver;
use crate::store_overrides::StoreOverrides;
use crate::system_errors::Failure;
use crate::upgrade::Upgrade;
use crate::wire_settings::WireSettings;
use configuration::PendingReload;
use errors::GatewayError;
use event_source::EventsRequest;
use input::InputSchedule;
use larchway::{MonotonicTime, Settings};
use larchway_distribution::configuration::Candidate;
use larchway_operations::manual_ejection::{self, ManualEjections};
use larchway_operations::shutdown::final_reply_deadline;
use larchway_operations::ProcessGroup;
use memory::MemoryAccount;
use poll_key::PollKey;
use polling::{Event, Poller};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::time::Duration;
use tracing::info;

/// Whether the roster of gateways is saved for the next process.
fn saves_roster(ensemble: Option<&EnsembleSettings>) -> bool {
    ensemble.is_some_and(|ensemble| ensemble.state_folder.is_some())
}

/// The gateway: its listeners, its connections, and its state about stores, peers and operators.
pub struct Gateway {
    poller: Poller,
    /// The listener of the platform's front; absent until startup is complete and after accepting has ended.
    platform_listener: Option<TcpListener>,
    /// The configured address of the platform's front.
    platform_address: SocketAddr,
    /// The listener of the front for signed links, if it is enabled.
    signed_listener: Option<TcpListener>,
    /// The settings of the front for signed links, if it is enabled.
    front: Option<FrontSettings>,
    /// Membership, if an ensemble is configured.
    membership: Option<Membership>,
    /// The next deadline of membership.
    membership_deadline: Option<MonotonicTime>,
    /// Number of live gateways by zone, as reported by membership.
    live_gateways: BTreeMap<usize, u64>,
    /// The connection to the ensemble.
    ensemble_connection: Option<SlotKey>,
    /// A connect to a server of the ensemble that was postponed because of a local shortage.
    postponed_ensemble_connect: Option<Postponed<SocketAddr>>,
    /// The admin socket, if it is configured and could be opened.
    admin: Option<Admin>,
    /// When opening the admin socket is retried after a local shortage.
    admin_deadline: Option<MonotonicTime>,
    /// The hierarchy of caches, if one is configured.
    hierarchy: Option<Hierarchy>,
    /// The next deadline of the hierarchy.
    hierarchy_deadline: Option<MonotonicTime>,
    /// The exchange with the other gateways of the tier, if configured.
    peers: Option<Peers>,
    /// The next deadline of the exchange with the other gateways.
    peers_deadline: Option<MonotonicTime>,
    /// The settings in force.
    settings: Settings,
    /// The keys of the configuration in force, which a reload must not change.
    shape: Shape,
    /// The configured address of the console.
    console_address: Option<SocketAddr>,
    /// The console, once its address could be bound.
    console: Option<Console>,
    /// The next deadline of the console.
    console_deadline: Option<MonotonicTime>,
    /// Stores that operators have ejected.
    manual_ejections: ManualEjections,
    /// When an ejection that another process reported expires next.
    ejection_deadline: Option<MonotonicTime>,
    /// Limit on file descriptors of all processes of the gateway together.
    descriptor_limit: usize,
    /// The connections to the gateway's other processes; absent if there is no shared folder or it cannot be used.
    upgrade: Option<Upgrade>,
    /// The status of the gateway's other processes.
    processes: ProcessGroup,
    /// Up to when the work sent to warming stores was reported to the other processes.
    sent_work_reported_until: MonotonicTime,
    /// The worker that saves files, if any file is to be saved.
    saver: Option<StateSaver>,
    /// When an operator's call is answered even if its file is not durable yet.
    saver_deadline: Option<MonotonicTime>,
    /// The state of this process's graceful shutdown.
    shutdown: Shutdown,
    /// Poll key of the first event that the last iteration left unserved; the next iteration starts with it.
    first_unserved: Option<usize>,
    /// The connections whose buffered input is to be handled.
    input_schedule: InputSchedule,
    /// Random numbers from the configured seed.
    random_numbers: RandomNumbers,
    /// The files of the configuration.
    files: Files,
    /// The contents of the files in force, if documents of the event stream are overlaid on them.
    files_in_force: Option<FileSet>,
    /// Documents that remain to be tried after others of their candidate were rejected.
    pending_documents: Option<Candidate>,
    /// When pending documents, or those that failed because of a local shortage, are tried next.
    documents_deadline: Option<MonotonicTime>,
    /// Documents about stores, which override entries of the endpoint list.
    store_overrides: StoreOverrides,
    /// A reload that was postponed because of a local shortage.
    postponed_reload: Option<Postponed<PendingReload>>,
    /// SIGTERM and SIGINT write a byte here.
    stop_signal: UnixStream,
    /// SIGHUP writes a byte here.
    reload_signal: UnixStream,
    /// All connections except those of operators and of the gateway's other processes.
    connections: Slots<Connection>,
    /// The listed stores with their connections.
    pools: Pools,
    /// The event stream.
    events: Events,
    /// The connection to the source of events.
    events_connection: Option<SlotKey>,
    /// A connect to the source of events that was postponed because of a local shortage.
    postponed_events_connect: Option<Postponed<EventsRequest>>,
    /// The next deadline of the event stream.
    events_deadline: Option<MonotonicTime>,
    /// The index of this gateway's zone.
    own_zone: usize,
    /// Names and limits used by the wire protocols.
    wire_settings: WireSettings,
    /// Converts times stated by other machines to this process's clock.
    wire_times: WireTimes,
    /// When the stores started, on this process's clock.
    start_dates: StartDates,
    /// The open requests and attempts, and the decision module.
    core: Core,
    /// The account of the memory of connections.
    memory: MemoryAccount,
    /// Scratch buffer for one read of a connection.
    read_buffer: Vec<u8>,
    /// Duration of the longest iteration of the loop so far.
    longest_iteration: Duration,
    /// Limits on this process's descriptors by use.
    descriptor_limits: DescriptorLimits,
    /// Number of client connections, half-closed ones included.
    client_count: usize,
    /// Number of half-closed client connections.
    half_closed_count: usize,
    /// Number of connections to stores.
    store_connection_count: usize,
}

impl Gateway {
    /// The next random number; the sequence differs from one start of the process to the next.
    fn random(&mut self) -> u64 {
        self.random_numbers.next(clock::now())
    }

    /// Whether SIGTERM or SIGINT was received.
    fn is_stopping(&self) -> bool {
        self.shutdown.is_signalled()
    }

    /// Runs the event loop until SIGTERM, and then until all accepted requests are answered.
    pub fn run(&mut self) -> Result<(), GatewayError> {
        let mut events = Vec::new();
        self.log_listening();
        loop {
            let now = clock::now();
            self.handle_due_deadlines(now);
            if self.processes.process_count() > 1 {
                self.send_slow_start_counts(now);
            }
            if self.shutdown.is_closing() {
                self.half_close_idle(now);
            }
            if self.is_finished() {
                self.finish_saves();
                info!(
                    longest_iteration_ms = ceil_millis(self.longest_iteration),
                    "the event loop has stopped"
                );
                return Ok(());
            }
            self.wait_for_events(&mut events)?;
            self.begin_input_iteration(&mut events);
            self.handle_events(&mut events);
        }
    }

    /// Handles every expired deadline.
    fn handle_due_deadlines(&mut self, now: MonotonicTime) {
        while let Some(kind) = self.core.deadlines.pop(now) {
            self.handle_deadline(now, kind);
            self.process_commands(now);
        }
    }

    /// Waits for events, a signal or the next deadline.
    fn wait_for_events(&mut self, events: &mut Vec<Event>) -> Result<(), EventLoopError> {
        let until_deadline = self.core.deadlines.next().map(|next| next.saturating_since(clock::now()));
        let timeout =
            if self.input_schedule.postponed.is_empty() { until_deadline } else { Some(Duration::ZERO) };
        events.clear();
        match self.poller.wait(events, timeout) {
            Err(e) if Failure::of(&e) != Failure::Interrupted => Err(EventLoopError::Poll(e)),
            _ => Ok(()),
        }
    }

    /// Handles events in order until the iteration's time limit; unserved events are polled again.
    fn handle_events(&mut self, events: &mut [Event]) {
        let turn_started = clock::now();
        order_events(events, self.first_unserved.take(), |key| PollKey::from(key).is_urgent());
        for event in events.iter() {
            let now = clock::now();
            self.longest_iteration = self.longest_iteration.max(now - turn_started);
            if now > turn_started + MAX_ITERATION_TIME {
                self.first_unserved = Some(event.key);
                break;
            }
            self.measure_memory(now);
            self.handle_event(now, event);
            self.process_commands(now);
        }
    }

    /// Dispatches an event of the poller to its handler.
    fn handle_event(&mut self, now: MonotonicTime, event: &Event) {
        match PollKey::from(event.key) {
            PollKey::Connection(key) => self.handle_connection_event(now, key, event),
            PollKey::ClientListener(listener) => drop(self.accept(now, listener)),
            PollKey::StopSignal => self.begin_shutdown(now),
            PollKey::ReloadSignal => self.reload(now),
            PollKey::AdminListener => self.accept_admin_client(now),
            PollKey::AdminClient(place) => self.serve_admin_client(now, place),
            PollKey::ConsoleListener => self.accept_console_caller(now),
            PollKey::ConsoleClient(place) => self.serve_console_caller(now, place),
            PollKey::UpgradeListener => self.accept_process(now),
            PollKey::Process(place) => self.read_process(now, place),
            PollKey::PeerDatagrams => self.receive_datagrams(now),
            PollKey::SaveFinished => self.handle_finished_saves(now),
        }
    }

    /// Handles SIGTERM or SIGINT: accepts requests for [`ACCEPT_GRACE_PERIOD`] more, or stops listening at once if
    /// another process accepts clients.
    fn begin_shutdown(&mut self, now: MonotonicTime) {
        drain(&self.stop_signal);
        let is_first_signal = !self.shutdown.is_signalled();
        let successor = match self.processes.has_successor() {
            true => Successor::Accepting,
            false => Successor::Absent,
        };
        match self.shutdown.handle_signal(now, successor) {
            StopEffect::Accepting => {
                info!("told to stop: taking requests for {} ms more", ACCEPT_GRACE_PERIOD.as_millis());
            }
            StopEffect::Closing => {
                info!("told to stop: the next process takes all clients in");
                self.stop_listening(now);
            }
            StopEffect::Ignored => return,
        }
        self.send_status();
        if !is_first_signal {
            return;
        }
        // All requests must be answered before the platform kills the process, which would lose those still open.
        let reply_by = final_reply_deadline(now, self.longest_deadline());
        self.core.answer_all_by(now, reply_by);
        self.shorten_lingering(now);
        if !self.processes.has_successor() {
            self.peers.iter_mut().for_each(|peers| peers.leave(now));
        }
        // The node of this gateway is deleted first, so that clients connect to other gateways.
        let effects = self.membership.as_mut().map(|m| m.close(now)).unwrap_or_default();
        self.apply_membership_effects(now, effects);
        self.core.deadlines.set(now + ACCEPT_GRACE_PERIOD, DeadlineKind::StopAccepting);
    }

    /// The longest deadline of the classes in force.
    fn longest_deadline(&self) -> Duration {
        self.core.classes.current().map(|slot| slot.settings.deadline).max().unwrap_or_default()
    }

    /// When the last replies of this process are due, if it was told to stop; half-closed clients are waited for until
    /// then, since the platform kills the process soon after.
    fn final_reply_due(&self) -> Option<MonotonicTime> {
        let signalled_at = self.shutdown.signalled_at()?;
        Some(final_reply_deadline(signalled_at, self.longest_deadline()))
    }

    /// Whether the shutdown is complete: the listeners are closed, all requests are answered, and no client is
    /// connected. Idle clients also have to be closed gracefully, since replies may still be in transit to them.
    fn is_finished(&self) -> bool {
        self.shutdown.is_closing() && self.core.unanswered_requests() == 0 && self.client_count == 0
    }

    /// Handles one expired deadline.
    fn handle_deadline(&mut self, now: MonotonicTime, kind: DeadlineKind) {
        match kind {
            DeadlineKind::Connection(key) => self.check_timeout(now, key),
            DeadlineKind::Events => self.check_events(now),
            DeadlineKind::EventsConnect => self.retry_events_connect(now),
            DeadlineKind::EnsembleConnect => self.retry_ensemble_connect(now),
            DeadlineKind::Reload => self.retry_reload(now),
            DeadlineKind::Documents => self.check_documents(now),
            DeadlineKind::Admin => {
                self.admin_deadline = None;
                self.configure_admin(now);
            }
            DeadlineKind::Membership => self.check_membership(now),
            DeadlineKind::Peers => self.check_peers(now),
            DeadlineKind::Console => {
                self.console_deadline = None;
                self.check_console(now);
            }
            DeadlineKind::Hierarchy => {
                self.hierarchy_deadline = None;
                self.check_hierarchy(now);
            }
            DeadlineKind::ManualEjection => {
                self.ejection_deadline = None;
                self.apply_ejection_input(now, manual_ejection::Input::Timer);
            }
            DeadlineKind::DeferredReplies => {
                self.saver_deadline = None;
                self.answer_deferred_calls(now);
            }
            DeadlineKind::StopAccepting => {
                if self.shutdown.tick(now) {
                    self.stop_listening(now);
                }
            }
            DeadlineKind::Accept => self.set_listener_interest(true),
            kind => self.core.handle_deadline(now, kind),
        }
    }

    /// Carries out the commands of the core and handles buffered requests that waited for an earlier reply, until
    /// neither is left.
    fn process_commands(&mut self, now: MonotonicTime) {
        loop {
            self.execute_commands(now);
            self.report_evidence(now);
            self.report_suspected_loops(now);
            self.pass_load_reports(now);
            if self.input_schedule.resumable.is_empty() && self.core.commands.is_empty() {
                return;
            }
            self.resume_all(now);
        }
    }

    /// Carries out the commands of the core.
    fn execute_commands(&mut self, now: MonotonicTime) {
        while let Some(command) = self.core.commands.pop_front() {
            match command {
                Command::SendAttempt(attempt) => self.dispatch(now, attempt),
                Command::AbandonAttempt { connection, attempt, call_id } => {
                    self.abandon_attempt(now, connection, attempt, &call_id);
                }
                // The capacity check is repeated: requests of one iteration are all admitted before any is answered.
                Command::ReplyFromCache(reply_to, hit)
                    if !self.ensure_answer_capacity(now, hit.object.bytes.len()) =>
                {
                    let retry_after = self.core.retry_after(None, NO_CAPACITY_RETRY_AFTER);
                    self.reply(now, reply_to, &FinalReply::Rejected(retry_after));
                }
                Command::ReplyFromCache(reply_to, hit) => {
                    let served = ServedReply {
                        not_modified: hit.not_modified,
                        entity_tag: hit.object.entity_tag.as_deref(),
                        body: &hit.object.bytes,
                    };
                    self.reply(now, reply_to, &FinalReply::Served(served));
                }
                Command::ReplyRejected(reply_to, retry_after) => {
                    self.reply(now, reply_to, &FinalReply::Rejected(retry_after));
                }
                Command::ReplyFailed(reply_to, cause) => {
                    self.reply(now, reply_to, &FinalReply::Failed(cause));
                }
            }
        }
    }
}
