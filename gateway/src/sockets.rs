//! Listening and connecting sockets, and the pipes that signals write to.
use crate::log;
use polling::{Event, PollMode, Poller};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

/// For how long a start waits for an address that another process still holds, and how often it tries: the platform
/// counts a process that takes over 30 s to be ready as failed.
const BIND_FOR: Duration = Duration::from_secs(25);
const BIND_AGAIN: Duration = Duration::from_millis(50);
/// `EINPROGRESS`: the connection is being made.
const IN_PROGRESS: i32 = 115;

/// Whether an error says that this machine, not the other side, has no room for one more connection.
pub fn exhausted(e: &io::Error) -> bool {
    // ENFILE, EMFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL (no port is free), EAGAIN of a full table.
    matches!(e.raw_os_error(), Some(23 | 24 | 105 | 12 | 99))
}

/// What came of taking a connection in: none waits, or the one that did has gone. An error says that there is no
/// descriptor for it. Danger: it stays in the queue then, and the poller tells of it again at once, for ever.
pub fn accepted<T>(done: io::Result<T>) -> io::Result<Option<T>> {
    match done {
        Ok(one) => Ok(Some(one)),
        Err(e) if exhausted(&e) => Err(e),
        Err(_) => Ok(None),
    }
}

/// Whether the other side has closed a connection, as far as has come in; what lies unread before its end is none.
pub fn closed(stream: &TcpStream) -> bool {
    match stream.peek(&mut [0]) {
        Ok(n) => n == 0,
        Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}

/// The same for a connection that is not read from: its end may lie behind bytes that stay where they are.
pub fn hung_up(stream: &TcpStream) -> bool {
    let over = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut asked = [PollFd::new(stream, over)];
    poll(&mut asked, Some(&Timespec::default())).is_ok_and(|n| n > 0) && asked[0].revents().intersects(over)
}

/// Begins to connect without blocking; that it is made, or why not, is known once the stream is writable. An error is
/// one of this machine ([`exhausted`]) or a refusal known at once.
pub fn begin_connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(e) if e.kind() != ErrorKind::WouldBlock && e.raw_os_error() != Some(IN_PROGRESS) => Err(e),
        _ => Ok(socket.into()),
    }
}

/// Listens at an address; `shared`: with the gateway's other processes, which must ask for it too.
fn listen(address: SocketAddr, shared: bool) -> Result<TcpListener, (String, ErrorKind)> {
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
    open().map_err(|e| (format!("cannot listen on {address}: {e}"), e.kind()))
}

/// A pipe that these signals write to, polled under a key.
pub fn signal_pipe(poller: &Poller, signals: &[i32], key: usize) -> Result<UnixStream, String> {
    let open = || -> io::Result<UnixStream> {
        let (told, teller) = UnixStream::pair()?;
        told.set_nonblocking(true)?;
        for &signal in signals {
            signal_hook::low_level::pipe::register(signal, teller.try_clone()?)?;
        }
        poller.add_with_mode(&told, Event::readable(key), PollMode::Level)?;
        Ok(told)
    };
    open().map_err(|e| format!("cannot take signals: {e}"))
}

/// Empties such a pipe, and returns how many signals it told of.
pub fn drain(mut told: &UnixStream) -> u64 {
    let (mut bytes, mut all) = ([0; 64], 0);
    while let Ok(n @ 1..) = told.read(&mut bytes) {
        all += n as u64;
    }
    all
}

/// Listens at an address and polls it under a key.
pub fn polled(poller: &Poller, address: SocketAddr, key: usize, shared: bool) -> Result<TcpListener, String> {
    watched(poller, listen(address, shared).map_err(|(why, _)| why)?, key)
}

fn watched(poller: &Poller, listener: TcpListener, key: usize) -> Result<TcpListener, String> {
    let added = poller.add_with_mode(&listener, Event::readable(key), PollMode::Level);
    added.map(|()| listener).map_err(|e| format!("cannot poll: {e}"))
}

/// The same at a start: the process before may still hold the address while it ends. `stop`: tells of SIGTERM.
pub fn polled_in_time(
    poller: &Poller,
    address: SocketAddr,
    key: usize,
    shared: bool,
    stop: &UnixStream,
) -> Result<TcpListener, String> {
    let end = Instant::now() + BIND_FOR;
    loop {
        match listen(address, shared) {
            Err((why, ErrorKind::AddrInUse)) if Instant::now() < end => {
                if drain(stop) > 0 {
                    return Err(format!("told to stop: {why}"));
                }
                log!("{why}; it is tried again");
            }
            Err((why, _)) => return Err(why),
            Ok(listener) => return watched(poller, listener, key),
        }
        std::thread::sleep(BIND_AGAIN);
    }
}
