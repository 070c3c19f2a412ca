//! The admin socket: a Unix socket, off unless a file names it. One line with a request in, one line of JSON out, then
//! the connection ends. The bounds on clients, requests and times protect the gateway from its operators.
mod client;
mod query;

pub use query::{query, QueryError};

use crate::sockets::accept_outcome;
use crate::system_errors::{uninterrupted, Failure, SystemCallError};
use client::{Client, Progress};
use larchway::MonotonicTime;
use std::io::{self, ErrorKind};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Clients at once, at most; a further one takes the place of one that does not go on.
pub const MAX_CLIENTS: usize = 4;
/// Longest request, in bytes.
const MAX_REQUEST_BYTES: usize = 256;
/// Permissions of the socket: only the own user may connect.
const SOCKET_MODE: u32 = 0o600;

/// Why the admin socket is not open.
#[derive(Debug, Error)]
pub enum AdminError {
    /// Its path is another program's, or cannot be used.
    #[error("admin: cannot listen at {}: {source}", path.display())]
    Listen {
        /// The path.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The listener cannot be polled.
    #[error("admin: cannot poll: {0}")]
    Poll(#[source] io::Error),
}

impl SystemCallError for AdminError {
    fn failure(&self) -> Failure {
        let (AdminError::Listen { source, .. } | AdminError::Poll(source)) = self;
        Failure::of(source)
    }
}

/// The socket and its clients.
pub struct Admin {
    /// The listening socket.
    pub listener: UnixListener,
    path: PathBuf,
    clients: [Option<Client>; MAX_CLIENTS],
}

/// What is next at the connection of a client.
pub enum ClientState {
    /// It is to be read from.
    Reading,
    /// It is to be written to.
    Writing,
    /// It sent this request; answer by [`Admin::answer`].
    Requested(String),
    /// It is removed.
    Closed(UnixStream),
}

/// A client that was accepted.
pub struct AcceptedClient<'a> {
    /// Its place.
    pub place: usize,
    /// Its stream, to be polled.
    pub stream: &'a UnixStream,
    /// The stream of the client that was evicted for it.
    pub evicted: Option<UnixStream>,
}

impl Admin {
    /// Listens at a path that nobody else uses; only the own user may connect.
    pub fn listen(path: &Path) -> Result<Self, AdminError> {
        let listener =
            open(path).map_err(|source| AdminError::Listen { path: path.to_path_buf(), source })?;
        Ok(Admin { listener, path: path.to_path_buf(), clients: Default::default() })
    }

    /// The path at which it listens.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Accepts a client, if one waits and there is a place for it.
    pub fn accept(&mut self, now: MonotonicTime) -> io::Result<Option<AcceptedClient<'_>>> {
        let Some((stream, _)) = accept_outcome(self.listener.accept())? else { return Ok(None) };
        Ok(self.admit(now, stream))
    }

    fn admit(&mut self, now: MonotonicTime, stream: UnixStream) -> Option<AcceptedClient<'_>> {
        stream.set_nonblocking(true).ok()?;
        let free = self.clients.iter().position(Option::is_none);
        let is_stale = |client: &Option<Client>| client.as_ref().is_some_and(|c| c.is_stale(now));
        let place = free.or_else(|| self.clients.iter().position(is_stale))?;
        let evicted = self.clients[place].replace(Client::new(now, stream)).map(|old| old.stream);
        let stream = self.stream(place)?;
        Some(AcceptedClient { place, stream, evicted })
    }

    /// The stream of a client.
    pub fn stream(&self, place: usize) -> Option<&UnixStream> {
        self.clients.get(place)?.as_ref().map(|client| &client.stream)
    }

    /// Handles that the connection of a client can be read from or written to.
    pub fn handle_ready(&mut self, place: usize) -> Option<ClientState> {
        match self.clients.get_mut(place)?.as_mut()?.proceed() {
            Progress::Reading => Some(ClientState::Reading),
            Progress::Writing => Some(ClientState::Writing),
            Progress::Requested(request) => Some(ClientState::Requested(request)),
            Progress::Done => self.clients[place].take().map(|client| ClientState::Closed(client.stream)),
        }
    }

    /// Sets the answer to the request of a client.
    pub fn answer(&mut self, place: usize, answer: String) {
        if let Some(client) = self.clients.get_mut(place).and_then(Option::as_mut) {
            client.set_answer(answer);
        }
    }
}

impl Drop for Admin {
    fn drop(&mut self) {
        // Nobody can be notified of an error here, and the next start removes what is left.
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Opens the listener, in the place of a socket that a killed process left behind.
fn open(path: &Path) -> io::Result<UnixListener> {
    match std::fs::symlink_metadata(path) {
        Ok(metadata) if metadata.file_type().is_socket() && is_abandoned(path)? => {
            std::fs::remove_file(path)?;
        }
        Ok(_) => return Err(ErrorKind::AddrInUse.into()),
        Err(_) => {}
    }
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(SOCKET_MODE))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Whether a socket is one that a killed process left behind. Danger: an error that says nothing of the other side,
/// such as a lack of descriptors, would remove the socket of a running program.
fn is_abandoned(path: &Path) -> io::Result<bool> {
    match uninterrupted(|| UnixStream::connect(path)) {
        Err(error) if Failure::of(&error) == Failure::LocalShortage => Err(error),
        Err(error) => Ok(Failure::of(&error) == Failure::Refused),
        Ok(_) => Ok(false),
    }
}
