//! The event loop: one poller, one thread, and the state that all of its handlers share.
//!
//! Each event of the poller and each deadline is handed to the child module whose job it is. These modules hold
//! `impl Gateway` blocks; a handler never blocks, and what it asks of others is carried out before the next event.
mod clients;
mod configuration;
mod connections;
mod documents;
mod endpoint_list;
mod ensemble;
pub mod errors;
mod event_source;
mod listeners;
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
use larchway::{MonotonicTime, Settings};
use larchway_distribution::configuration::Candidate;
use larchway_operations::manual_ejection::{self, ManualEjections};
use larchway_operations::shutdown::final_reply_deadline;
use larchway_operations::ProcessGroup;
use poll_key::PollKey;
use polling::{Event, Poller};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::time::Duration;
use tracing::info;

/// The time after which a turn of the loop is cut, so that callers of the console do not wait (the platform gives them
/// a second): what is left is polled again.
const MAX_ITERATION_TIME: Duration = Duration::from_millis(20);

/// Whether a roster is saved for the next process.
fn saves_roster(ensemble: Option<&EnsembleSettings>) -> bool {
    ensemble.is_some_and(|ensemble| ensemble.state_folder.is_some())
}

/// The gateway: listeners, connections, and all that is known of stores, peers and operators.
pub struct Gateway {
    poller: Poller,
    /// Clients of the platform's front come in here; none before all is known, and none once they are left to the next
    /// process.
    platform_listener: Option<TcpListener>,
    /// Where it listens, as configured.
    platform_address: SocketAddr,
    /// Clients of the front of signed URLs come in here, if it is on.
    signed_listener: Option<TcpListener>,
    /// The front of signed URLs, if it is on.
    front: Option<FrontSettings>,
    /// Membership, if the instance registers.
    membership: Option<Membership>,
    /// When membership acts next.
    membership_deadline: Option<MonotonicTime>,
    /// The live gateways of each zone, as membership has them.
    live_gateways: BTreeMap<usize, u64>,
    /// The connection to the ensemble.
    ensemble_connection: Option<SlotKey>,
    /// A connect to a server of the ensemble that this machine had no room for.
    postponed_ensemble_connect: Option<Postponed<SocketAddr>>,
    /// The admin socket, if one is configured and its path was free.
    admin: Option<Admin>,
    /// When the admin socket is opened again, if this machine was short of something for it.
    admin_deadline: Option<MonotonicTime>,
    /// The hierarchy of caches, if one is configured.
    hierarchy: Option<Hierarchy>,
    /// When the hierarchy changes next.
    hierarchy_deadline: Option<MonotonicTime>,
    /// The other gateways of the tier, if the fleet's view is held.
    peers: Option<Peers>,
    /// When the fleet's view acts next.
    peers_deadline: Option<MonotonicTime>,
    /// The settings in force.
    settings: Settings,
    /// The keys of the configuration in force, which the next one must have too.
    shape: Shape,
    /// Where operators call, as configured.
    console_address: Option<SocketAddr>,
    /// The console, once its address was free.
    console: Option<Console>,
    /// When the console acts next.
    console_deadline: Option<MonotonicTime>,
    /// What operators say of stores.
    manual_ejections: ManualEjections,
    /// When the view of another process runs out next.
    ejection_deadline: Option<MonotonicTime>,
    /// Descriptors that the gateway may have, all of its processes together.
    descriptor_limit: usize,
    /// The sockets of the gateway's other processes.
    upgrade: Option<Upgrade>,
    /// How the gateway's other processes are.
    processes: ProcessGroup,
    /// Until when the other processes know what was sent to stores that warm up.
    sent_work_reported_until: MonotonicTime,
    /// The worker that saves files, where one is needed.
    saver: Option<StateSaver>,
    /// When an operator who waits for a file is answered all the same.
    saver_deadline: Option<MonotonicTime>,
    /// How far the shutdown of this process has come.
    shutdown: Shutdown,
    /// The poll key that was next when the last turn was cut: the next turn begins there.
    first_unserved: Option<usize>,
    /// Connections whose next request may be taken from what was read before.
    resumable: Vec<SlotKey>,
    /// Random numbers, by the seed as configured.
    random_numbers: RandomNumbers,
    /// The files that the configuration is read from.
    files: Files,
    /// The files in force, where documents of the event stream are laid over them.
    files_in_force: Option<FileSet>,
    /// What is left of documents after a part was rejected; tried in the next turn.
    pending_documents: Option<Candidate>,
    /// When documents are tried next, if any are pending or this machine was short of something for them.
    documents_deadline: Option<MonotonicTime>,
    /// Documents that stand over the endpoint list.
    store_overrides: StoreOverrides,
    /// A reload that waits for a socket of this machine.
    postponed_reload: Option<Postponed<PendingReload>>,
    /// SIGTERM and SIGINT write a byte here.
    stop_signal: UnixStream,
    /// SIGHUP writes a byte here.
    reload_signal: UnixStream,
    /// All connections but those of operators and of the gateway's other processes.
    connections: Slots<Connection>,
    /// The stores that are listed, each with its connections.
    pools: Pools,
    /// The stream of events.
    events: Events,
    /// The connection to the source of events.
    events_connection: Option<SlotKey>,
    /// A call for events that this machine had no room to connect for.
    postponed_events_connect: Option<Postponed<EventsRequest>>,
    /// When the stream of events acts next.
    events_deadline: Option<MonotonicTime>,
    /// The zone of this gateway, as a number.
    own_zone: usize,
    /// Names and limits of the wires.
    wire_settings: WireSettings,
    /// Times that other machines state, on the clock here.
    wire_times: WireTimes,
    start_dates: StartDates,
    /// Requests and attempts.
    core: Core,
    /// Bytes that the gateway may take, all of its processes together.
    memory_limit: usize,
    /// Bytes that the connections of all clients hold, read and not dealt with or written and not sent.
    client_bytes: usize,
    /// The most that they may hold.
    max_client_bytes: usize,
    /// What one read of a connection takes in, before it goes to that connection's input.
    read_buffer: Vec<u8>,
    /// The longest turn of the loop.
    longest_iteration: Duration,
    /// How this process shares its descriptors out.
    descriptor_limits: DescriptorLimits,
    /// Connections of clients.
    client_count: usize,
    /// Of these, those that are half-closed.
    half_closed_count: usize,
    /// Connections to stores.
    store_connection_count: usize,
}

impl Gateway {
    /// A number that is new with every call, and with every start.
    fn random(&mut self) -> u64 {
        self.random_numbers.next(clock::now())
    }

    /// Whether SIGTERM has come.
    fn is_stopping(&self) -> bool {
        self.shutdown.is_signalled()
    }

    /// Serves until SIGTERM, and then until all that was taken is answered.
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
                info!(longest_iteration_ms = ceil_millis(self.longest_iteration), "the event loop ends");
                return Ok(());
            }
            self.wait_for_events(&mut events)?;
            self.handle_events(&mut events);
        }
    }

    /// Handles every deadline that has come.
    fn handle_due_deadlines(&mut self, now: MonotonicTime) {
        while let Some(due) = self.core.deadlines.pop(now) {
            self.handle_deadline(now, due);
            self.process_commands(now);
        }
    }

    /// Waits until there are events, a signal interrupts, or the next deadline has come.
    fn wait_for_events(&mut self, events: &mut Vec<Event>) -> Result<(), EventLoopError> {
        let timeout = self.core.deadlines.next().map(|next| next.saturating_since(clock::now()));
        events.clear();
        match self.poller.wait(events, timeout) {
            Err(e) if Failure::of(&e) != Failure::Interrupted => Err(EventLoopError::Poll(e)),
            _ => Ok(()),
        }
    }

    /// Serves events in order until the turn has taken its time; what is left is polled again.
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
            self.handle_event(now, event);
            self.process_commands(now);
        }
    }

    /// Serves what an event of the poller reports.
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

    /// SIGTERM or SIGINT has come: requests are still taken in for a while, or clients are left to the next
    /// process at once.
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
        // Danger: the platform ends the process, and with it whatever waits for longer than that.
        let longest_deadline =
            self.core.classes.current().map(|slot| slot.settings.deadline).max().unwrap_or_default();
        let reply_by = final_reply_deadline(now, longest_deadline);
        self.core.answer_all_by(now, reply_by);
        if !self.processes.has_successor() {
            self.peers.iter_mut().for_each(|peers| peers.leave(now));
        }
        // The own node goes first, so that the fleet's users turn to the others.
        let effects = self.membership.as_mut().map(|m| m.close(now)).unwrap_or_default();
        self.apply_membership_effects(now, effects);
        self.core.deadlines.set(now + ACCEPT_GRACE_PERIOD, DeadlineKind::StopAccepting);
    }

    /// Whether it was signalled to stop, listens no more, owes nothing, and no client is connected: one that rests is
    /// owed an orderly end, since answers may still be on their way to it.
    fn is_finished(&self) -> bool {
        self.shutdown.is_closing() && self.core.unanswered_requests() == 0 && self.client_count == 0
    }

    /// Handles one deadline: each part of the gateway looks at what is due there.
    fn handle_deadline(&mut self, now: MonotonicTime, due: DeadlineKind) {
        match due {
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
            due => self.core.handle_deadline(now, due),
        }
    }

    /// Carries out the commands of the core, and reads on where a request waited for the answer to the one before
    /// it, until nothing is left of either.
    fn process_commands(&mut self, now: MonotonicTime) {
        loop {
            self.execute_commands(now);
            self.report_evidence(now);
            self.report_suspected_loops(now);
            self.pass_load_reports(now);
            if self.resumable.is_empty() && self.core.commands.is_empty() {
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
                // Those that came in one turn were taken before any of them was answered.
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
