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

/// For how long a start waits for an address that another process still holds, or for what this machine is short of: the
/// platform counts a process that takes over 30 s to be ready as failed.
pub const START_TIMEOUT: Duration = Duration::from_secs(25);
/// How often a start tries for an address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Why an address is not listened on.
#[derive(Debug, Error)]
pub enum ListenError {
    /// There is no socket for it, or the address is not to be had.
    #[error("cannot listen on {address}: {source}")]
    Open {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The listener cannot be polled.
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

/// Why signals cannot be received.
#[derive(Debug, Error)]
#[error("cannot take signals: {0}")]
pub struct SignalPipeError(#[from] io::Error);

impl SystemCallError for SignalPipeError {
    fn failure(&self) -> Failure {
        Failure::of(&self.0)
    }
}

/// What came of taking a connection in: none waits, or the one that did has gone. An error says that there is no
/// descriptor for it. Danger: it stays in the queue then, and the poller reports it again at once, for ever.
pub fn accept_outcome<T>(result: io::Result<T>) -> io::Result<Option<T>> {
    match result {
        Ok(accepted) => Ok(Some(accepted)),
        Err(error) if Failure::of(&error) == Failure::LocalShortage => Err(error),
        Err(_) => Ok(None),
    }
}

/// Whether the other side has closed a connection, as far as has come in; what lies unread before its end is none.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    match uninterrupted(|| stream.peek(&mut [0])) {
        Ok(count) => count == 0,
        Err(error) => !Failure::of(&error).is_retried_when_ready(),
    }
}

/// Whether nothing waits to be read, not even the end.
pub fn has_nothing_to_read(stream: &TcpStream) -> bool {
    uninterrupted(|| stream.peek(&mut [0])).is_err_and(|error| Failure::of(&error).is_retried_when_ready())
}

/// The same for a connection that is not read from: its end may lie behind bytes that stay where they are.
pub fn is_hung_up(stream: &TcpStream) -> bool {
    let end_flags = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled_sockets = [PollFd::new(stream, end_flags)];
    let polled = uninterrupted(|| Ok(poll(&mut polled_sockets, Some(&Timespec::default()))?));
    polled.is_ok_and(|count| count > 0) && polled_sockets[0].revents().intersects(end_flags)
}

/// Begins to connect without blocking; that it is made, or why not, is known once the stream is writable. An error is
/// one of this machine ([`Failure::LocalShortage`]) or a refusal known at once.
pub fn begin_connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(error) if Failure::of_connect(&error) != Failure::InProgress => Err(error),
        _ => Ok(socket.into()),
    }
}

/// Listens at an address; `shared`: with the gateway's other processes, which must request it too.
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

/// A pipe that these signals write to, polled under a key.
pub fn signal_pipe(poller: &Poller, signals: &[i32], key: usize) -> Result<UnixStream, SignalPipeError> {
    let open = || -> io::Result<UnixStream> {
        let (receiver, sender) = UnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        let senders = signals.iter().map(|_| sender.try_clone()).collect::<io::Result<Vec<_>>>()?;
        poller.add_with_mode(&receiver, Event::readable(key), PollMode::Level)?;
        // Last, since what is registered stays: a pipe that fails for a moment is opened again.
        for (&signal, sender) in signals.iter().zip(senders) {
            signal_hook::low_level::pipe::register(signal, sender)?;
        }
        Ok(receiver)
    };
    Ok(open()?)
}

/// Empties such a pipe, and returns how many signals were written to it.
pub fn drain(mut receiver: &UnixStream) -> u64 {
    let (mut bytes, mut total) = ([0; 64], 0);
    while let Ok(count @ 1..) = uninterrupted(|| receiver.read(&mut bytes)) {
        total += count as u64;
    }
    total
}

/// Listens at an address and polls it under a key.
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

/// The same at a start: the process before may still hold the address while it ends, or this machine may be short of
/// something for a moment. `stop`: SIGTERM writes there.
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
