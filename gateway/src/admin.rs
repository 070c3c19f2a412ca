//! Where an operator asks the running daemon: a Unix socket, off unless a file names it. One line in, one line of
//! JSON out, then the connection ends. Few clients, short requests, short waits: it can't be used against the daemon.
use crate::sockets::accepted;
use larchway::Micros;
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// Most clients at once; one more takes the place of the oldest.
pub const MOST: usize = 4;
/// Longest request, in bytes.
const LONGEST: usize = 256;
/// µs after which a client that does not go on gives its place away.
const PATIENCE: Micros = 2_000_000;

struct Client {
    stream: UnixStream,
    since: Micros,
    input: Vec<u8>,
    output: Vec<u8>,
    done: usize,
}

/// The socket and its clients.
pub struct Admin {
    /// The listening socket.
    pub listener: UnixListener,
    path: PathBuf,
    clients: [Option<Client>; MOST],
}

/// What became of a client.
pub enum Turn {
    /// It waits to be read from, or to be written to.
    Waits {
        /// To be written to.
        write: bool,
    },
    /// It asks this; answer with [`Admin::answer`].
    Asks(String),
    /// It is gone.
    Gone(UnixStream),
}

impl Admin {
    /// Listens at a path that nobody else uses; only the own user may connect.
    pub fn listen(path: &Path) -> Result<Self, String> {
        let open = || -> io::Result<UnixListener> {
            // What a killed process left behind answers nobody; a living one's socket must not be taken.
            match std::fs::symlink_metadata(path) {
                Ok(meta) if meta.file_type().is_socket() && UnixStream::connect(path).is_err() => {
                    std::fs::remove_file(path)?;
                }
                Ok(_) => return Err(ErrorKind::AddrInUse.into()),
                Err(_) => {}
            }
            let listener = UnixListener::bind(path)?;
            std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
            listener.set_nonblocking(true)?;
            Ok(listener)
        };
        let listener = open().map_err(|e| format!("admin: cannot listen at {}: {e}", path.display()))?;
        Ok(Admin { listener, path: path.to_path_buf(), clients: Default::default() })
    }

    /// Where it listens.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Takes a client in: its place, its stream to be polled, and whoever had to leave for it.
    pub fn accept(&mut self, at: Micros) -> io::Result<Option<(usize, &UnixStream, Option<UnixStream>)>> {
        let Some((stream, _)) = accepted(self.listener.accept())? else { return Ok(None) };
        Ok(self.take_in(at, stream))
    }

    fn take_in(
        &mut self,
        at: Micros,
        stream: UnixStream,
    ) -> Option<(usize, &UnixStream, Option<UnixStream>)> {
        stream.set_nonblocking(true).ok()?;
        let free = self.clients.iter().position(Option::is_none);
        let stale = |c: &Option<Client>| c.as_ref().is_some_and(|c| c.since + PATIENCE < at);
        let place = free.or_else(|| self.clients.iter().position(stale))?;
        let client = Client { stream, since: at, input: Vec::new(), output: Vec::new(), done: 0 };
        let old = self.clients[place].replace(client).map(|c| c.stream);
        self.clients[place].as_ref().map(|c| (place, &c.stream, old))
    }

    /// The stream of a client.
    pub fn stream(&self, place: usize) -> Option<&UnixStream> {
        self.clients.get(place)?.as_ref().map(|c| &c.stream)
    }

    /// A client can be read from or written to.
    pub fn turn(&mut self, place: usize) -> Option<Turn> {
        let client = self.clients.get_mut(place)?.as_mut()?;
        if client.output.is_empty() {
            let mut piece = [0; LONGEST];
            match client.stream.read(&mut piece) {
                Ok(n) if n > 0 && client.input.len() + n <= LONGEST => {
                    client.input.extend_from_slice(&piece[..n]);
                    if let Some(end) = client.input.iter().position(|&b| b == b'\n') {
                        let line = String::from_utf8_lossy(&client.input[..end]).trim().to_string();
                        return Some(Turn::Asks(line));
                    }
                    return Some(Turn::Waits { write: false });
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                    return Some(Turn::Waits { write: false });
                }
                _ => {}
            }
        } else {
            match client.stream.write(&client.output[client.done..]) {
                Ok(n) if n > 0 && client.done + n < client.output.len() => {
                    client.done += n;
                    return Some(Turn::Waits { write: true });
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                    return Some(Turn::Waits { write: true });
                }
                _ => {}
            }
        }
        self.clients[place].take().map(|c| Turn::Gone(c.stream))
    }

    /// Sets the answer to a client's request.
    pub fn answer(&mut self, place: usize, mut answer: String) {
        answer.push('\n');
        if let Some(client) = self.clients.get_mut(place).and_then(Option::as_mut) {
            client.output = answer.into_bytes();
        }
    }
}

impl Drop for Admin {
    fn drop(&mut self) {
        // Nobody can be told of an error here, and the next start removes what is left.
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Asks a running daemon.
pub fn ask(path: &Path, request: &str) -> Result<String, String> {
    let asked = || -> io::Result<String> {
        let mut stream = UnixStream::connect(path)?;
        let patience = Some(std::time::Duration::from_secs(5));
        stream.set_read_timeout(patience)?;
        stream.set_write_timeout(patience)?;
        stream.write_all(format!("{request}\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    };
    asked().map_err(|e| format!("{}: {e}", path.display()))
}
