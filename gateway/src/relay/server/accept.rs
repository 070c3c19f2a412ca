//! Accepting connections: how many, and what happens when this machine is short of descriptors.
use super::{Server, REQUEST_TIMEOUT};
use crate::deadlines::DeadlineKind;
use crate::relay::connection::Connection;
use crate::system_errors::Failure;
use larchway::MonotonicTime;
use polling::{Event, PollMode};
use rustix::process::{getrlimit, Resource};
use socket2::SockRef;
use std::io;
use std::net::TcpStream;
use std::time::Duration;
use tracing::{error, warn};

/// Connections accepted in a turn at most.
const ACCEPT_BATCH: usize = 64;
/// Connections beside those of subscribers: operators, incomplete requests, responses not read yet.
const SPARE_CONNECTIONS: usize = 256;
/// Descriptors reserved for the source's connection, signals, the poller, standard streams and the operator file.
const RESERVED_DESCRIPTORS: usize = 24;
/// Bytes that the system buffers for a connection that does not read.
const SEND_BUFFER_BYTES: usize = 256 << 10;
/// The time for which the listener rests when there is no descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

impl Server {
    /// Accepts new connections, a bounded number.
    pub fn accept(&mut self, now: MonotonicTime) {
        for _ in 0..ACCEPT_BATCH {
            match self.listener.accept() {
                Ok((stream, _)) => self.admit(now, stream),
                Err(e) => match Failure::of(&e) {
                    Failure::Interrupted => {}
                    Failure::NotReady => return,
                    Failure::LocalShortage => return self.pause_accepting(now, &e),
                    // One that was closed while it waited says nothing of those behind it.
                    _ => warn!(error = %e, "a connection cannot be taken in"),
                },
            }
        }
    }

    fn admit(&mut self, now: MonotonicTime, stream: TcpStream) {
        if self.connections.len() >= self.max_connections {
            return warn!(
                connections = self.connections.len(),
                "a connection is turned away: too many are open"
            );
        }
        if let Err(error) = configure(&stream) {
            return warn!(%error, "a connection cannot be set up");
        }
        let key = self.connections.insert(Connection::new(stream));
        let Some(connection) = self.connections.get_mut(key) else { return };
        let interest = Event::readable(key.0 as usize);
        if let Err(error) = self.poller.add_with_mode(&connection.stream, interest, PollMode::Level) {
            error!(%error, "cannot poll a connection");
            self.connections.remove(key);
            return;
        }
        self.deadlines.reschedule(
            &mut connection.deadline,
            Some(now + REQUEST_TIMEOUT),
            DeadlineKind::Connection(key),
        );
    }

    /// There is no descriptor for one more connection. Danger: whoever waits stays in the listener's queue, and the
    /// poller reports it again at once, for ever.
    fn pause_accepting(&mut self, now: MonotonicTime, why: &io::Error) {
        warn!(error = %why, "cannot accept");
        self.poll_listener(Event::none(self.listener_key));
        self.deadlines.set(now + ACCEPT_PAUSE, DeadlineKind::Accept);
    }

    pub(super) fn poll_listener(&mut self, interest: Event) {
        if let Err(error) = self.poller.modify_with_mode(&self.listener, interest, PollMode::Level) {
            error!(%error, "cannot poll the listener");
        }
    }
}

/// Connections that may be open. Danger: where subscribers take the last descriptor, the source cannot be dialled
/// again.
pub(super) fn max_connections(subscribers: usize) -> usize {
    let wanted = subscribers + SPARE_CONNECTIONS;
    let limit = getrlimit(Resource::Nofile).current.map_or(usize::MAX, |limit| limit as usize);
    let allowed = limit.saturating_sub(RESERVED_DESCRIPTORS);
    if allowed < wanted {
        error!(
            descriptor_limit = limit,
            allowed_connections = allowed,
            wanted_connections = wanted,
            "subscribers: the limit of descriptors leaves room for fewer connections than wanted"
        );
    }
    wanted.min(allowed)
}

fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nonblocking(true)?;
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_send_buffer_size(SEND_BUFFER_BYTES)
}
