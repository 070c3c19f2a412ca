//! The processes of one gateway during an upgrade: they find each other by Unix sockets in the folder that both have,
//! and tell each other what the next one needs. A connection that ends is a process that has ended. Knows the folder,
//! the sockets and the form of the frames; what they mean comes from the loop.
use crate::kept;
use crate::log;
use crate::sockets::accepted;
use larchway_operations::cordon::Mark;
use larchway_operations::handover::{Frame, LONGEST};
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Other processes at once: a second upgrade may begin while the first one's old process still answers.
pub const MOST: usize = 6;
/// For how long a process that begins waits for what the other one knows. Readiness is due within 6 s.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Longest path of a Unix socket, in bytes.
const LONGEST_PATH: usize = 107;

struct Peer {
    stream: UnixStream,
    input: Vec<u8>,
    output: Vec<u8>,
}

/// What another process has told.
pub enum Told {
    /// It is to be read from, or to be written to.
    Waits {
        /// To be written to.
        write: bool,
    },
    /// It has ended.
    Gone(UnixStream),
}

/// The other processes.
pub struct Upgrade {
    /// Where they come in.
    pub listener: UnixListener,
    own: PathBuf,
    marks: PathBuf,
    peers: [Option<Peer>; MOST],
}

/// What a process finds when it begins.
pub struct Begun {
    /// The other processes.
    pub upgrade: Upgrade,
    /// The operators' word that was kept.
    pub kept: Vec<Mark>,
    /// What the others told, by their place.
    pub told: Vec<(usize, Frame)>,
}

/// Asks another process for what it knows; the frames that came with it.
fn ask(path: &Path, name: &str) -> io::Result<(Peer, Vec<Frame>)> {
    let mut stream = UnixStream::connect(path)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    stream.write_all(&Frame::Hello { name: name.to_string() }.write())?;
    let (mut input, mut piece, mut frames) = (Vec::new(), vec![0; 64 * 1024], Vec::new());
    let end = Instant::now() + PATIENCE;
    while !frames.iter().any(|f| matches!(f, Frame::State(_))) && Instant::now() < end {
        match stream.read(&mut piece)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            n => input.extend_from_slice(&piece[..n]),
        }
        while let Some((frame, used)) =
            Frame::take(&input).map_err(|why| io::Error::new(ErrorKind::InvalidData, why.to_string()))?
        {
            input.drain(..used);
            frames.push(frame);
        }
    }
    stream.set_nonblocking(true)?;
    Ok((Peer { stream, input, output: Vec::new() }, frames))
}

impl Upgrade {
    /// Finds the gateway's other processes, and listens for those to come.
    pub fn begin(folder: &Path, name: &str) -> Result<Begun, String> {
        let name_there = format!("larchway-{}.", kept::plain(name));
        let own = folder.join(format!("{name_there}{}.sock", std::process::id()));
        if own.as_os_str().len() > LONGEST_PATH {
            return Err(format!("{} is too long a path for a socket", own.display()));
        }
        let marks = folder.join(format!("{name_there}stores"));
        let kept = kept_marks(&marks);
        let mut peers: [Option<Peer>; MOST] = Default::default();
        let mut told = Vec::new();
        let mut found: Vec<PathBuf> = std::fs::read_dir(folder)
            .map_err(|e| format!("{}: {e}", folder.display()))?
            .filter_map(|entry| Some(entry.ok()?.path()))
            .filter(|path| {
                let file = path.file_name().and_then(|f| f.to_str()).unwrap_or("");
                file.strip_prefix(&name_there)
                    .and_then(|f| f.strip_suffix(".sock"))
                    .is_some_and(|pid| !pid.is_empty() && pid.bytes().all(|b| b.is_ascii_digit()))
            })
            .collect();
        found.sort();
        for path in found.into_iter().filter(|p| *p != own) {
            match ask(&path, name) {
                Ok((peer, frames)) => {
                    let Some(place) = peers.iter().position(Option::is_none) else { break };
                    peers[place] = Some(peer);
                    told.extend(frames.into_iter().map(|f| (place, f)));
                }
                // A process that was killed leaves its socket behind.
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => drop(std::fs::remove_file(&path)),
                Err(e) => log!("{} tells nothing: {e}", path.display()),
            }
        }
        let open = || -> io::Result<UnixListener> {
            // Nobody else has this process id now.
            match std::fs::remove_file(&own) {
                Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
                _ => {}
            }
            let listener = UnixListener::bind(&own)?;
            listener.set_nonblocking(true)?;
            Ok(listener)
        };
        let listener = open().map_err(|e| format!("{}: {e}", own.display()))?;
        Ok(Begun { upgrade: Upgrade { listener, own, marks, peers }, kept, told })
    }

    /// The places at which there are others.
    pub fn places(&self) -> Vec<usize> {
        (0..MOST).filter(|at| self.peers[*at].is_some()).collect()
    }

    /// Takes another process in: its place.
    pub fn accept(&mut self) -> io::Result<Option<usize>> {
        let Some((stream, _)) = accepted(self.listener.accept())? else { return Ok(None) };
        let free = self.peers.iter().position(Option::is_none);
        let Some(place) = free.filter(|_| stream.set_nonblocking(true).is_ok()) else { return Ok(None) };
        self.peers[place] = Some(Peer { stream, input: Vec::new(), output: Vec::new() });
        Ok(Some(place))
    }

    /// The stream of another.
    pub fn stream(&self, place: usize) -> Option<&UnixStream> {
        self.peers.get(place)?.as_ref().map(|p| &p.stream)
    }

    /// Takes in what another has sent: its frames, and what became of it.
    pub fn turn(&mut self, place: usize) -> (Vec<Frame>, Option<Told>) {
        let Some(peer) = self.peers.get_mut(place).and_then(Option::as_mut) else {
            return (Vec::new(), None);
        };
        let (mut frames, mut piece, mut ended) = (Vec::new(), vec![0; 64 * 1024], false);
        loop {
            match peer.stream.read(&mut piece) {
                Ok(0) => ended = true,
                Ok(n) => {
                    peer.input.extend_from_slice(&piece[..n]);
                    // A frame is never longer than this with its head; what is, is refused below.
                    if peer.input.len() <= LONGEST {
                        continue;
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => ended = true,
            }
            break;
        }
        loop {
            match Frame::take(&peer.input) {
                Ok(Some((frame, used))) => {
                    peer.input.drain(..used);
                    frames.push(frame);
                }
                Ok(None) => break,
                Err(why) => {
                    log!("another process of this gateway is not understood: {why}");
                    ended = true;
                    break;
                }
            }
        }
        let became = if ended { self.gone(place) } else { self.flush(place) };
        (frames, became)
    }

    /// Sends a frame to another.
    pub fn send(&mut self, place: usize, frame: &Frame) -> Option<Told> {
        self.peers.get_mut(place)?.as_mut()?.output.extend_from_slice(&frame.write());
        self.flush(place)
    }

    fn flush(&mut self, place: usize) -> Option<Told> {
        let peer = self.peers.get_mut(place)?.as_mut()?;
        let mut done = 0;
        let ended = loop {
            if done == peer.output.len() {
                break false;
            }
            match peer.stream.write(&peer.output[done..]) {
                Ok(n) if n > 0 => done += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break false,
                _ => break true,
            }
        };
        peer.output.drain(..done);
        let write = !peer.output.is_empty();
        // One that reads nothing costs no memory without end.
        if ended || peer.output.len() > 2 * LONGEST {
            return self.gone(place);
        }
        Some(Told::Waits { write })
    }

    fn gone(&mut self, place: usize) -> Option<Told> {
        self.peers[place].take().map(|p| Told::Gone(p.stream))
    }

    /// Keeps the operators' word for the processes to come.
    pub fn keep(&self, marks: Vec<Mark>) {
        let aside = self.own.with_extension("new");
        let bytes = Frame::Marks(marks).write();
        if let Err(e) = kept::replace(&self.marks, &aside, &bytes) {
            log!("{} cannot be written: {e}", self.marks.display());
        }
    }
}

fn kept_marks(path: &Path) -> Vec<Mark> {
    let bytes = kept::read(path, LONGEST);
    match bytes.and_then(|b| b.map(|b| Frame::read(&b)).transpose().map_err(|e| e.to_string())) {
        Ok(None) => return Vec::new(),
        Ok(Some(Frame::Marks(marks))) => return marks,
        Ok(Some(_)) => log!("{} is not used: it is another frame", path.display()),
        Err(why) => log!("{} is not used: {why}", path.display()),
    }
    Vec::new()
}

impl Drop for Upgrade {
    fn drop(&mut self) {
        // Nobody can be told of an error here, and the next process removes what is left.
        let _ = std::fs::remove_file(&self.own);
    }
}
