//! What the errors of system calls mean for what is done next: accept(2), connect(2), socket(2), recv(2), send(2),
//! poll(2), epoll_wait(2), unlink(2) and pthread_create(3) of Linux. The one place that knows error numbers.
use rustix::io::Errno;
use std::io;
use std::time::{Duration, Instant};

/// The time after which a call that failed by a [`Failure::LocalShortage`] is made again, the first time and at most.
const MIN_BACKOFF: Duration = Duration::from_millis(2);
const MAX_BACKOFF: Duration = Duration::from_millis(50);

/// What the error of a system call says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// A signal came in between: the call is made again at once.
    Interrupted,
    /// Nothing is ready: the poller reports when to make the call again.
    NotReady,
    /// What was begun goes on without the caller.
    InProgress,
    /// This machine lacks descriptors, memory, ports or a route, which says nothing of the other side: the call is
    /// made again after a backoff.
    LocalShortage,
    /// The other side has nobody there.
    Refused,
    /// The connection is over, or what it runs through: it is as failed as one that was reset.
    ConnectionOver,
    /// The address is held by another socket.
    AddressInUse,
    /// There is no such file.
    NotFound,
    /// Anything else; to make the call again does not help.
    Permanent,
}

impl Failure {
    /// What the error of a call says, other than connect.
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

    /// What the error of a connect says, where some numbers mean something else: no port is free (`EAGAIN`,
    /// `EADDRINUSE`), this machine has no route or no network (`ENETUNREACH`, `ENETDOWN`), and one that was
    /// interrupted goes on (`EINTR`).
    pub fn of_connect(error: &io::Error) -> Failure {
        match Failure::of(error) {
            Failure::Interrupted => Failure::InProgress,
            Failure::NotReady | Failure::AddressInUse => Failure::LocalShortage,
            Failure::ConnectionOver if is_no_route(error) => Failure::LocalShortage,
            other => other,
        }
    }

    /// What the error of starting a thread says: pthread_create(3) returns `EAGAIN` where this machine has no memory for
    /// one more, or as many as it may have.
    pub fn of_thread_start(error: &io::Error) -> Failure {
        match Failure::of(error) {
            Failure::NotReady => Failure::LocalShortage,
            other => other,
        }
    }

    /// Whether a read or write is made again once the poller reports the connection again.
    pub fn is_retried_when_ready(self) -> bool {
        matches!(self, Failure::NotReady | Failure::LocalShortage)
    }
}

fn is_no_route(error: &io::Error) -> bool {
    let number = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(number, Some(Errno::NETUNREACH | Errno::NETDOWN))
}

/// Whether the other side has reset a connection, which was up before.
pub fn is_reset(error: &io::Error) -> bool {
    error.raw_os_error().map(Errno::from_raw_os_error) == Some(Errno::CONNRESET)
}

/// Makes a call again for as long as signals interrupt it.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if Failure::of(&error) == Failure::Interrupted => {}
            done => return done,
        }
    }
}

/// An error that may come of a system call.
pub trait SystemCallError {
    /// What the system call's error says; [`Failure::Permanent`] where no system call is behind the error.
    fn failure(&self) -> Failure;

    /// Whether this machine was short of something, so that the same may succeed a moment later.
    fn is_local_shortage(&self) -> bool {
        self.failure() == Failure::LocalShortage
    }
}

impl SystemCallError for io::Error {
    fn failure(&self) -> Failure {
        Failure::of(self)
    }
}

/// Does something again for as long as this machine is short of something, each time after a backoff, until a time has
/// come. It blocks, so it is for what is done before the event loop runs.
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

/// Whether a call on a path failed because nothing is there.
pub fn is_not_found(error: &io::Error) -> bool {
    Failure::of(error) == Failure::NotFound
}

/// The time until a call is made again that failed by a [`Failure::LocalShortage`]: as long again as it has waited, so that
/// the pauses double.
pub fn backoff(waited: Duration) -> Duration {
    waited.clamp(MIN_BACKOFF, MAX_BACKOFF)
}
