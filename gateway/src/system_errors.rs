//! Classifies the errors of Linux system calls by how the caller has to react: accept(2), connect(2), socket(2),
//! recv(2), send(2), poll(2), epoll_wait(2), unlink(2) and pthread_create(3). Error numbers are used only here.
use rustix::io::Errno;
use std::io;
use std::time::{Duration, Instant};

/// Shortest backoff after a [`Failure::LocalShortage`].
const MIN_BACKOFF: Duration = Duration::from_millis(2);
/// Longest backoff after a [`Failure::LocalShortage`].
const MAX_BACKOFF: Duration = Duration::from_millis(50);

/// The meaning of a system call's error for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// A signal interrupted the call: retry at once.
    Interrupted,
    /// The call would block: retry when the poller reports readiness.
    NotReady,
    /// The operation continues in the background.
    InProgress,
    /// This machine lacks descriptors, memory, ports or a route, which says nothing about the peer: retry after a
    /// backoff.
    LocalShortage,
    /// Nothing listens at the peer's address.
    Refused,
    /// The connection, or the network path to the peer, is broken; handled like a reset.
    ConnectionOver,
    /// Another socket uses the address.
    AddressInUse,
    /// The file does not exist.
    NotFound,
    /// Any other error; a retry does not help.
    Permanent,
}

impl Failure {
    /// Classifies the error of any call except connect(2) and pthread_create(3).
    pub fn of(error: &io::Error) -> Failure {
        match error.raw_os_error().map(Errno::from_raw_os_error) {
            Some(Errno::INTR) => Failure::Interrupted,
            Some(Errno::AGAIN) => Failure::NotReady,
            Some(Errno::INPROGRESS | Errno::ALREADY) => Failure::InProgress,
            Some(
                Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
                | Errno::NOSPC
                | Errno::ADDRNOTAVAIL,
            ) => Failure::LocalShortage,
            Some(Errno::CONNREFUSED) => Failure::Refused,
            Some(
                Errno::CONNRESET
                | Errno::CONNABORTED
                | Errno::PIPE
                | Errno::TIMEDOUT
                | Errno::HOSTUNREACH
                | Errno::HOSTDOWN
                | Errno::NETUNREACH
                | Errno::NETDOWN
                | Errno::NETRESET
                | Errno::NONET
                | Errno::PROTO,
            ) => Failure::ConnectionOver,
            Some(Errno::ADDRINUSE) => Failure::AddressInUse,
            Some(Errno::NOENT) => Failure::NotFound,
            _ => Failure::Permanent,
        }
    }

    /// Classifies the error of connect(2), for which some numbers have another meaning: no local port is free
    /// (`EAGAIN`, `EADDRINUSE`), this machine has no route or no network (`ENETUNREACH`, `ENETDOWN`), or connecting
    /// continues after an interruption (`EINTR`).
    pub fn of_connect(error: &io::Error) -> Failure {
        match Failure::of(error) {
            Failure::Interrupted => Failure::InProgress,
            Failure::NotReady | Failure::AddressInUse => Failure::LocalShortage,
            Failure::ConnectionOver if is_no_route(error) => Failure::LocalShortage,
            other => other,
        }
    }

    /// Classifies the error of starting a thread: pthread_create(3) returns `EAGAIN` if memory or the limit on threads
    /// is exhausted.
    pub fn of_thread_start(error: &io::Error) -> Failure {
        match Failure::of(error) {
            Failure::NotReady => Failure::LocalShortage,
            other => other,
        }
    }

    /// Whether a failed read or write is to be retried when the poller reports the connection again.
    pub fn is_retried_when_ready(self) -> bool {
        matches!(self, Failure::NotReady | Failure::LocalShortage)
    }
}

fn is_no_route(error: &io::Error) -> bool {
    let number = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(number, Some(Errno::NETUNREACH | Errno::NETDOWN))
}

/// Whether the error is a reset by the peer, which implies that the connection was established.
pub fn is_reset(error: &io::Error) -> bool {
    error.raw_os_error().map(Errno::from_raw_os_error) == Some(Errno::CONNRESET)
}

/// Repeats a call while signals interrupt it.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if Failure::of(&error) == Failure::Interrupted => {}
            done => return done,
        }
    }
}

/// An error that may be caused by a system call.
pub trait SystemCallError {
    /// The class of the system call's error; [`Failure::Permanent`] if no system call caused it.
    fn failure(&self) -> Failure;

    /// Whether this machine lacked a resource, so that a retry may succeed a moment later.
    fn is_local_shortage(&self) -> bool {
        self.failure() == Failure::LocalShortage
    }
}

impl SystemCallError for io::Error {
    fn failure(&self) -> Failure {
        Failure::of(self)
    }
}

/// Repeats an operation while it fails because of a local shortage, with a backoff, until the time `until`. Blocks, so
/// it must not be used while the event loop runs.
pub fn retry_on_local_shortage<T, E: SystemCallError>(
    until: Instant,
    mut attempt: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let started = Instant::now();
    loop {
        match attempt() {
            Err(error) if error.failure() == Failure::Interrupted => {}
            Err(error) if error.is_local_shortage() && Instant::now() < until => {
                std::thread::sleep(backoff(started.elapsed()));
            }
            done => return done,
        }
    }
}

/// Whether a call failed because the path does not exist.
pub fn is_not_found(error: &io::Error) -> bool {
    Failure::of(error) == Failure::NotFound
}

/// The pause before the next retry after a [`Failure::LocalShortage`]. It equals the time waited so far, so that the
/// total doubles with each retry, within `MIN_BACKOFF` and `MAX_BACKOFF`.
pub fn backoff(waited: Duration) -> Duration {
    waited.clamp(MIN_BACKOFF, MAX_BACKOFF)
}
