//! Listening sockets, and the pipes that signals write to.
use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;

/// Listens at an address; `shared`: with the gateway's other processes, which must ask for it too.
pub fn listen(address: SocketAddr, shared: bool) -> Result<TcpListener, String> {
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
    open().map_err(|e| format!("cannot listen on {address}: {e}"))
}

/// A pipe that these signals write to, polled under a key.
pub fn told_by(poller: &Poller, signals: &[i32], key: usize) -> Result<UnixStream, String> {
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
    let listener = listen(address, shared)?;
    let added = poller.add_with_mode(&listener, Event::readable(key), PollMode::Level);
    added.map_err(|e| format!("cannot poll: {e}"))?;
    Ok(listener)
}
