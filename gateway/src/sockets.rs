//! Listening and connecting sockets, and the pipes that signals write to.
use crate::system_errors::{uninterrupted, Failure, SystemCallError};
use polling::{Event, PollMode, Poller};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};
use thiserror::Error;
use tracing::warn;

/// How long a start waits for an address that another process still holds, or for a local shortage to end. The platform
/// considers a process failed that is not ready within 30 s.
pub const START_TIMEOUT: Duration = Duration::from_secs(25);
/// Interval at which a start retries to bind an address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Why a listener could not be opened.
#[derive(Debug, Error)]
pub enum ListenError {
    /// The socket could not be opened, or the address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Open {
        /// The address.
        address: SocketAddr,
        /// The error of the system call.
        source: io::Error,
    },
    /// The listener could not be registered with the poller.
    #[error("cannot poll: {0}")]
    Poll(#[source] io::Error),
    /// The process was signalled to stop while it waited for the address.
    #[error("told to stop: {0}")]
    Stopped(#[source] Box<ListenError>),
}

impl SystemCallError for ListenError {
    fn failure(&self) -> Failure {
        match self {
            ListenError::Open { source, .. } | ListenError::Poll(source) => Failure::of(source),
            ListenError::Stopped(_) => Failure::Permanent,
        }
    }
}

/// The pipe for signals could not be set up.
#[derive(Debug, Error)]
#[error("cannot receive signals: {0}")]
pub struct SignalPipeError(#[from] io::Error);

impl SystemCallError for SignalPipeError {
    fn failure(&self) -> Failure {
        Failure::of(&self.0)
    }
}

/// Converts the result of accept(2): none if no connection is waiting or the waiting one was aborted. An error means
/// that no descriptor is left; the caller has to stop polling the listener for a while, since the connection stays in
/// the queue and the poller reports it again and again.
pub fn accept_outcome<T>(result: io::Result<T>) -> io::Result<Option<T>> {
    match result {
        Ok(accepted) => Ok(Some(accepted)),
        Err(error) if Failure::of(&error) == Failure::LocalShortage => Err(error),
        Err(_) => Ok(None),
    }
}

/// Whether the peer has closed a connection and no unread bytes come before the end of the stream.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    match uninterrupted(|| stream.peek(&mut [0])) {
        Ok(count) => count == 0,
        Err(error) => !Failure::of(&error).is_retried_when_ready(),
    }
}

/// Whether there is nothing to read on a connection, not even the end of the stream.
pub fn has_nothing_to_read(stream: &TcpStream) -> bool {
    uninterrupted(|| stream.peek(&mut [0])).is_err_and(|error| Failure::of(&error).is_retried_when_ready())
}

/// Whether the peer has closed or reset a connection, even if unread bytes come before the end of the stream.
pub fn is_hung_up(stream: &TcpStream) -> bool {
    let end_flags = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled_sockets = [PollFd::new(stream, end_flags)];
    let polled = uninterrupted(|| Ok(poll(&mut polled_sockets, Some(&Timespec::default()))?));
    polled.is_ok_and(|count| count > 0) && polled_sockets[0].revents().intersects(end_flags)
}

/// Starts to connect without blocking; the outcome is known when the stream is writable. An error is a local one
/// ([`Failure::LocalShortage`]) or an immediate refusal.
pub fn begin_connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(error) if Failure::of_connect(&error) != Failure::InProgress => Err(error),
        _ => Ok(socket.into()),
    }
}

/// Opens a listener at an address. `shared`: the gateway's other processes may listen there too (`SO_REUSEPORT`); they
/// must set it as well.
fn listen(address: SocketAddr, shared: bool) -> Result<TcpListener, ListenError> {
    let open = || -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        if shared {
            socket.set_reuse_port(true)?;
        }
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(1024)?;
        Ok(socket.into())
    };
    open().map_err(|source| ListenError::Open { address, source })
}

/// Opens a pipe that these signals write to, and polls it under a key.
pub fn signal_pipe(poller: &Poller, signals: &[i32], key: usize) -> Result<UnixStream, SignalPipeError> {
    let open = || -> io::Result<UnixStream> {
        let (receiver, sender) = UnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        let senders = signals.iter().map(|_| sender.try_clone()).collect::<io::Result<Vec<_>>>()?;
        poller.add_with_mode(&receiver, Event::readable(key), PollMode::Level)?;
        // Registered last: handlers cannot be removed, and the caller retries if an earlier step fails.
        for (&signal, sender) in signals.iter().zip(senders) {
            signal_hook::low_level::pipe::register(signal, sender)?;
        }
        Ok(receiver)
    };
    Ok(open()?)
}

/// Reads all bytes of a signal pipe and returns their number, which is the number of signals.
pub fn drain(mut receiver: &UnixStream) -> u64 {
    let (mut bytes, mut total) = ([0; 64], 0);
    while let Ok(count @ 1..) = uninterrupted(|| receiver.read(&mut bytes)) {
        total += count as u64;
    }
    total
}

/// Opens a listener at an address and polls it under a key.
pub fn listen_and_poll(
    poller: &Poller,
    address: SocketAddr,
    key: usize,
    shared: bool,
) -> Result<TcpListener, ListenError> {
    poll_listener(poller, listen(address, shared)?, key)
}

fn poll_listener(poller: &Poller, listener: TcpListener, key: usize) -> Result<TcpListener, ListenError> {
    let added = poller.add_with_mode(&listener, Event::readable(key), PollMode::Level);
    added.map(|()| listener).map_err(ListenError::Poll)
}

/// Opens and polls a listener at the start of a process. Retries for up to [`START_TIMEOUT`], since the former process
/// may still hold the address, or a local shortage may end. `stop`: the pipe of SIGTERM, which ends the wait.
pub fn listen_and_poll_at_start(
    poller: &Poller,
    address: SocketAddr,
    key: usize,
    shared: bool,
    stop: &UnixStream,
) -> Result<TcpListener, ListenError> {
    let give_up_at = Instant::now() + START_TIMEOUT;
    loop {
        let error = match listen_and_poll(poller, address, key, shared) {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        let is_temporary = matches!(error.failure(), Failure::AddressInUse | Failure::LocalShortage);
        if !is_temporary || Instant::now() >= give_up_at {
            return Err(error);
        }
        if drain(stop) > 0 {
            return Err(ListenError::Stopped(Box::new(error)));
        }
        warn!("{error}; it is tried again");
        std::thread::sleep(BIND_RETRY_INTERVAL);
    }
}
