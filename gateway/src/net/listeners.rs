//! Listeners of the fronts: accepting clients, and the pause when no file descriptor is left.
use super::poll_key::{ClientListener, PollKey};
use super::Gateway;
use crate::connection::{ConnectionState, Role, MESSAGE_TIMEOUT};
use crate::deadlines::DeadlineKind;
use crate::signed;
use crate::sockets::{listen_and_poll_at_start, ListenError};
use crate::system_errors::Failure;
use crate::thrift;
use larchway::MonotonicTime;
use polling::{Event, PollMode};
use std::io;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::time::Duration;
use tracing::{error, info, warn};

/// How long accepting is paused when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of clients accepted per listener event, so that other events are not delayed.
const ACCEPT_BATCH: usize = 64;

impl Gateway {
    /// Opens the listeners of both fronts. `shared`: other processes of the gateway may listen at the same addresses.
    pub(super) fn open_client_listeners(&mut self, shared: bool) -> Result<(), ListenError> {
        self.platform_listener = Some(listen_and_poll_at_start(
            &self.poller,
            self.platform_address,
            PollKey::ClientListener(ClientListener::Platform).into(),
            shared,
            &self.stop_signal,
        )?);
        if let Some(front) = &self.front {
            self.signed_listener = Some(listen_and_poll_at_start(
                &self.poller,
                front.listen,
                PollKey::ClientListener(ClientListener::Signed).into(),
                shared,
                &self.stop_signal,
            )?);
        }
        Ok(())
    }

    /// Logs the addresses of the fronts' listeners.
    pub(super) fn log_listening(&self) {
        for listener in [self.platform_listener.as_ref(), self.signed_listener.as_ref()].into_iter().flatten()
        {
            if let Ok(address) = listener.local_addr() {
                info!("listening on {address}");
            }
        }
    }

    /// Accepts up to [`ACCEPT_BATCH`] clients. Returns whether more may be waiting.
    pub(super) fn accept(&mut self, now: MonotonicTime, kind: ClientListener) -> bool {
        for _ in 0..ACCEPT_BATCH {
            let listener = match kind {
                ClientListener::Platform => self.platform_listener.as_ref(),
                ClientListener::Signed => self.signed_listener.as_ref(),
            };
            let Some(listener) = listener else { return false };
            match listener.accept() {
                Ok((stream, _)) => {
                    if !self.ensure_client_capacity(now) {
                        warn!(clients = self.client_count, "a client is rejected: too many are connected");
                        continue;
                    }
                    if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_ok() {
                        let (role, due) = match kind {
                            ClientListener::Platform => {
                                (Role::PlatformClient(thrift::Session::default()), now + MESSAGE_TIMEOUT)
                            }
                            ClientListener::Signed => (
                                Role::SignedClient(signed::Session::default()),
                                now + signed::REQUEST_TIMEOUT,
                            ),
                        };
                        self.register(now, stream, role, ConnectionState::Open, due);
                    }
                }
                Err(e) => match Failure::of(&e) {
                    Failure::Interrupted => {}
                    Failure::NotReady => return false,
                    Failure::LocalShortage => {
                        self.pause_accepting(now, &e);
                        return false;
                    }
                    // The client has disconnected while it was queued; those behind it can still be accepted.
                    _ => warn!(error = %e, "accepting a client failed"),
                },
            }
        }
        true
    }

    /// Stops polling all listeners for [`ACCEPT_PAUSE`] because no descriptor is left. Otherwise the poller would
    /// report the client that stays in the queue again and again, and the loop would spin.
    pub(super) fn pause_accepting(&mut self, now: MonotonicTime, why: &io::Error) {
        warn!(error = %why, "cannot accept");
        self.set_listener_interest(false);
        self.core.deadlines.set(now + ACCEPT_PAUSE, DeadlineKind::Accept);
    }

    /// Starts or stops polling of all listeners.
    pub(super) fn set_listener_interest(&mut self, readable: bool) {
        let all: [(PollKey, Option<BorrowedFd<'_>>); 5] = [
            (
                PollKey::ClientListener(ClientListener::Platform),
                self.platform_listener.as_ref().map(AsFd::as_fd),
            ),
            (PollKey::ClientListener(ClientListener::Signed), self.signed_listener.as_ref().map(AsFd::as_fd)),
            (PollKey::ConsoleListener, self.console.as_ref().map(|c| c.listener.as_fd())),
            (PollKey::AdminListener, self.admin.as_ref().map(|a| a.listener.as_fd())),
            (PollKey::UpgradeListener, self.upgrade.as_ref().map(|u| u.listener.as_fd())),
        ];
        for (key, listener) in all {
            let Some(listener) = listener else { continue };
            let interest = Event { key: key.into(), readable, writable: false };
            if let Err(error) = self.poller.modify_with_mode(listener.as_raw_fd(), interest, PollMode::Level)
            {
                error!(%error, "cannot poll a listener");
            }
        }
    }

    /// Accepts the queued clients of a listener, then closes it: closing resets the clients that are still in the
    /// queue.
    pub(super) fn close_listener(&mut self, now: MonotonicTime, kind: ClientListener) {
        while self.accept(now, kind) {}
        let listener = match kind {
            ClientListener::Platform => self.platform_listener.take(),
            ClientListener::Signed => self.signed_listener.take(),
        };
        // Dropping the listener ends polling too, so an error has no effect.
        listener.into_iter().for_each(|old| drop(self.poller.delete(&old)));
    }

    /// Closes the listeners of both fronts.
    pub(super) fn stop_listening(&mut self, now: MonotonicTime) {
        for kind in [ClientListener::Platform, ClientListener::Signed] {
            self.close_listener(now, kind);
        }
    }
}
