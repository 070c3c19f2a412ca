//! Requests of operators: the admin socket and the console.
use super::poll_key::PollKey;
use super::Gateway;
use crate::admin::{AcceptedClient, Admin, AdminError, ClientState};
use crate::console::{AcceptedCaller, Call, CallerChange, CallerState, Console, Reply, Status};
use crate::deadlines::DeadlineKind;
use crate::durable_file::DurableFile;
use crate::hierarchy::ShieldReport;
use crate::membership::Membership;
use crate::sockets::listen_and_poll;
use crate::state_saver::{EjectionCall, StateSaver};
use crate::system_errors::SystemCallError;
use larchway::{MonotonicTime, ServerId};
use larchway_operations::manual_ejection::{self, EjectionAction, EjectionOutcome};
use larchway_operations::request_counters::Gauges;
use polling::{Event, PollMode};
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;
use tracing::{error, info, warn};

/// When an operator's call is answered.
enum OperatorAnswer {
    /// At once, with this reply.
    Immediate(Reply),
    /// Once this file is durable.
    WhenDurable(EjectionCall, DurableFile),
}

/// Delay before binding the console's address is retried.
const CONSOLE_BIND_BACKOFF: Duration = Duration::from_millis(100);
/// Delay before opening the admin socket is retried after a local shortage.
const ADMIN_SHORTAGE_BACKOFF: Duration = Duration::from_millis(50);
/// Delay before opening the admin socket is retried while another process of the gateway uses its path.
const ADMIN_BIND_BACKOFF: Duration = Duration::from_secs(1);

impl Gateway {
    /// Opens, moves or closes the admin socket as configured.
    pub(super) fn configure_admin(&mut self, now: MonotonicTime) {
        let wanted_path = self.membership.as_ref().and_then(Membership::admin_socket).map(Path::to_path_buf);
        if self.admin.as_ref().map(|a| a.path().to_path_buf()) == wanted_path {
            return;
        }
        self.admin = None;
        let Some(path) = wanted_path else { return };
        let opened = Admin::listen(&path).and_then(|admin| {
            let interest = Event::readable(PollKey::AdminListener.into());
            let polled = self.poller.add_with_mode(&admin.listener, interest, PollMode::Level);
            polled.map(|()| admin).map_err(AdminError::Poll)
        });
        match opened {
            Ok(admin) => self.admin = Some(admin),
            // The gateway runs without the admin socket: only operators' reports are missing.
            Err(error) => {
                error!("{error}");
                let retry_at = error.is_local_shortage().then_some(now + ADMIN_SHORTAGE_BACKOFF);
                self.core.deadlines.reschedule(&mut self.admin_deadline, retry_at, DeadlineKind::Admin);
            }
        }
    }

    /// Accepts a client of the admin socket; at the connection limit, the oldest one is evicted.
    pub(super) fn accept_admin_client(&mut self, now: MonotonicTime) {
        let Some(admin) = &mut self.admin else { return };
        let AcceptedClient { place, stream, evicted } = match admin.accept(now) {
            Ok(Some(accepted)) => accepted,
            Ok(None) => return,
            Err(e) => return self.pause_accepting(now, &e),
        };
        evicted.into_iter().for_each(|stream| drop(self.poller.delete(&stream)));
        let interest = Event::readable(PollKey::AdminClient(place).into());
        if let Err(error) = self.poller.add_with_mode(stream, interest, PollMode::Level) {
            error!(%error, "cannot poll a connection");
        }
    }

    /// Answers a client of the admin socket, or continues to write its reply.
    pub(super) fn serve_admin_client(&mut self, now: MonotonicTime, place: usize) {
        let Some(admin) = &mut self.admin else { return };
        let is_writing = match admin.handle_ready(place) {
            Some(ClientState::Requested(request)) => {
                let answer = match (request.as_str(), &self.membership) {
                    ("members", Some(membership)) => membership.report(now),
                    ("hierarchy", _) if self.hierarchy.is_some() => {
                        let shield = self.core.shield().map(ShieldReport::from);
                        let report = self.hierarchy.as_ref().map(|h| h.report(now, shield));
                        serde_json::to_string(&report).unwrap_or_default()
                    }
                    _ => format!("{{\"error\":\"{} is no request\"}}", request.escape_default()),
                };
                admin.answer(place, answer);
                true
            }
            Some(ClientState::Reading) => false,
            Some(ClientState::Writing) => true,
            // Dropping the socket ends polling too, so an error has no effect.
            Some(ClientState::Closed(stream)) => return drop(self.poller.delete(&stream)),
            None => return,
        };
        if let Some(stream) = admin.stream(place) {
            let interest = Event {
                key: PollKey::AdminClient(place).into(),
                readable: !is_writing,
                writable: is_writing,
            };
            if let Err(error) = self.poller.modify_with_mode(stream, interest, PollMode::Level) {
                error!(%error, "cannot poll a connection");
            }
        }
    }

    /// Opens the console's listener as soon as its address can be bound, and handles the time-outs of its callers.
    pub(super) fn check_console(&mut self, now: MonotonicTime) {
        let mut retry_at = None;
        match (&mut self.console, self.console_address) {
            (None, Some(address)) => {
                match listen_and_poll(&self.poller, address, PollKey::ConsoleListener.into(), false) {
                    Ok(listener) => {
                        if let Ok(address) = listener.local_addr() {
                            info!("operators may call at {address}");
                        }
                        self.console = Some(Console::new(listener, self.descriptor_limits.console_callers));
                    }
                    Err(why) => {
                        warn!("console: {why}");
                        retry_at = Some(now + CONSOLE_BIND_BACKOFF);
                    }
                }
            }
            (Some(console), _) => {
                for CallerChange { place, state } in console.tick(now) {
                    self.apply_console_state(place, state);
                }
            }
            (None, None) => {}
        }
        // During an upgrade, the old process may hold the path of the admin socket until it exits.
        if self.console.is_some() && self.admin.is_none() && self.processes.process_count() > 1 {
            self.configure_admin(now);
            let is_wanted = self.membership.as_ref().and_then(Membership::admin_socket).is_some();
            retry_at = retry_at.or((is_wanted && self.admin.is_none()).then_some(now + ADMIN_BIND_BACKOFF));
        }
        self.schedule_console(retry_at);
    }

    /// Schedules the console's next deadline: a retry of its address, or a caller's time-out.
    pub(super) fn schedule_console(&mut self, retry_at: Option<MonotonicTime>) {
        let callers = self.console.as_ref().and_then(Console::next_due);
        let next_due = retry_at.into_iter().chain(callers).min();
        self.core.deadlines.reschedule(&mut self.console_deadline, next_due, DeadlineKind::Console);
    }

    /// Accepts callers of the console; at the connection limit, the oldest one is evicted.
    pub(super) fn accept_console_caller(&mut self, now: MonotonicTime) {
        while let Some(console) = &mut self.console {
            let AcceptedCaller { place, stream, evicted } = match console.accept(now) {
                Ok(Some(accepted)) => accepted,
                Ok(None) => break,
                Err(e) => {
                    self.pause_accepting(now, &e);
                    break;
                }
            };
            evicted.into_iter().for_each(|stream| drop(self.poller.delete(&stream)));
            let interest = Event::readable(PollKey::ConsoleClient(place).into());
            if let Err(error) = self.poller.add_with_mode(stream, interest, PollMode::Level) {
                error!(%error, "cannot poll a connection");
            }
        }
        self.schedule_console(None);
    }

    /// Reads an operator's call and answers it, at once or when a file is durable.
    pub(super) fn serve_console_caller(&mut self, now: MonotonicTime, place: usize) {
        let mut state = self.console.as_mut().and_then(|c| c.handle_ready(now, place));
        if let Some(CallerState::Called(call)) = state {
            state = match self.answer_operator(now, call) {
                OperatorAnswer::Immediate(reply) => {
                    self.console.as_mut().and_then(|c| c.answer(now, place, &reply))
                }
                OperatorAnswer::WhenDurable(call, file) => self.defer_answer(now, place, call, file),
            };
        }
        if let Some(state) = state {
            self.apply_console_state(place, state);
        }
        self.schedule_console(None);
    }

    /// Updates the events that a caller of the console is polled for, or stops polling it.
    pub(super) fn apply_console_state(&mut self, place: usize, state: CallerState) {
        match state {
            // Dropping the socket ends polling too, so an error has no effect.
            CallerState::Closed(stream) => drop(self.poller.delete(&stream)),
            CallerState::Reading => self.poll_console_caller(place, true, false),
            CallerState::Writing => self.poll_console_caller(place, true, true),
            CallerState::Deferred => self.poll_console_caller(place, false, false),
            CallerState::Called(_) => {}
        }
    }

    /// Sets the events that a caller of the console is polled for.
    fn poll_console_caller(&mut self, place: usize, readable: bool, writable: bool) {
        let Some(stream) = self.console.as_ref().and_then(|c| c.stream(place)) else { return };
        let interest = Event { key: PollKey::ConsoleClient(place).into(), readable, writable };
        if let Err(error) = self.poller.modify_with_mode(stream, interest, PollMode::Level) {
            error!(%error, "cannot poll a connection");
        }
    }

    /// Handles an operator's call.
    fn answer_operator(&mut self, now: MonotonicTime, call: Call) -> OperatorAnswer {
        OperatorAnswer::Immediate(match call {
            Call::Readiness if self.is_stopping() => {
                Reply::new(Status::ServiceUnavailable, "it is told to stop\n")
            }
            Call::Readiness if self.core.has_endpoints && self.platform_listener.is_some() => {
                Reply::new(Status::Ok, "ready\n")
            }
            Call::Readiness => Reply::new(Status::ServiceUnavailable, "no list of stores is known yet\n"),
            Call::Stats => Reply::new(Status::Ok, self.core.counters.report(self.gauges(now))),
            Call::ObjectCache => {
                let report = self.core.object_cache.as_ref().map(|cache| cache.report(now));
                let json = report.map(|report| serde_json::to_string(&report).unwrap_or_default());
                Reply::report(json, "no copies are kept here")
            }
            Call::Events => Reply::report(Some(self.events.report(now)), ""),
            Call::LoadSharing => {
                let json = self.peers.as_ref().and_then(|peers| peers.load_report(now));
                Reply::report(json, "the fleet's view is not kept here")
            }
            Call::Fleet => {
                let json = self.peers.as_ref().and_then(|peers| peers.fleet_report(now));
                Reply::report(json, "gateways know nothing of each other here")
            }
            Call::Ejection { store, action } => return self.eject_store(now, store, action),
        })
    }

    /// Ejects or restores a store at an operator's request.
    fn eject_store(&mut self, now: MonotonicTime, store: String, action: EjectionAction) -> OperatorAnswer {
        let input = manual_ejection::Input::OperatorRequest { store: store.clone(), action };
        let outcome = self.apply_ejection_input(now, input).unwrap_or(EjectionOutcome::UnknownStore);
        let state = match action {
            EjectionAction::Eject => "out",
            EjectionAction::Restore => "back",
        };
        info!(store, state, ?outcome, "an operator ejects or restores a store");
        match self.unsaved_ejections().filter(|_| outcome == EjectionOutcome::Applied) {
            Some(file) => OperatorAnswer::WhenDurable(EjectionCall { store, action }, file),
            None => OperatorAnswer::Immediate(Reply::ejection(&store, action, outcome, None)),
        }
    }

    /// The gauges of the statistics report, measured now.
    fn gauges(&self, now: MonotonicTime) -> Gauges {
        let skipped: BTreeSet<ServerId> = self
            .manual_ejections
            .ejected()
            .chain(self.core.avoided(now))
            .filter(|id| self.manual_ejections.is_listed(*id))
            .collect();
        Gauges {
            known_stores: self.manual_ejections.listed_count(),
            skipped_stores: skipped.len(),
            unsaved_files: self.saver.as_ref().map_or(0, StateSaver::unsaved),
            warming_stores: self.core.warming(now).count(),
            rejections: self.core.rejections(),
            memory: self.memory_gauges(),
        }
    }
}
