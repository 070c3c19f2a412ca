//! Discovery at the start: a process finds the gateway's other processes by their sockets in a shared folder.
use super::ejections_file;
use super::{Peer, Upgrade, MAX_PROCESSES, READ_BYTES};
use crate::clock;
use crate::durable_file::{self, DurableFile};
use crate::system_errors::{is_not_found, retry_on_local_shortage, Failure};
use larchway_operations::handover::{DecodedFrame, Frame, FrameError, MAX_FRAME_LENGTH};
use larchway_operations::manual_ejection::EjectionRecord;
use std::io::{self, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;
use tracing::warn;

/// Time for which a starting process waits for the state of another one; readiness is due within 6 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest path of a Unix socket on Linux, in bytes.
const MAX_SOCKET_PATH_BYTES: usize = 107;
/// The extension of the processes' sockets; the process id precedes it.
const SOCKET_EXTENSION: &str = ".sock";

/// Why the other processes of the gateway cannot be found.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The path of the own socket exceeds the system's limit.
    #[error("{}: the path is too long for a Unix socket", .0.display())]
    PathTooLong(PathBuf),
    /// The folder cannot be read, or the own socket cannot be created in it.
    #[error("{}: {source}", path.display())]
    Unusable {
        /// The folder or the socket.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
}

/// Why the state of another process could not be received.
#[derive(Debug, Error)]
enum RequestError {
    #[error("{0}")]
    Failed(#[from] io::Error),
    #[error("it closed the connection")]
    Ended,
    #[error("it sent an invalid frame: {0}")]
    Malformed(FrameError),
}

/// The result of the discovery.
pub struct Discovery {
    /// The other processes.
    pub upgrade: Upgrade,
    /// The saved manual ejections.
    pub saved_ejections: Vec<EjectionRecord>,
    /// The frames that the others sent.
    pub frames: Vec<ReceivedFrame>,
}

/// A frame of another process.
pub struct ReceivedFrame {
    /// The index of the process's connection, below [`MAX_PROCESSES`].
    pub place: usize,
    /// The frame.
    pub frame: Frame,
}

/// The other processes that replied, by index.
#[derive(Default)]
struct FoundProcesses {
    peers: [Option<Peer>; MAX_PROCESSES],
    frames: Vec<ReceivedFrame>,
}

impl Upgrade {
    /// Finds the gateway's other processes, and listens for later ones.
    pub fn discover(folder: &Path, name: &str) -> Result<Discovery, DiscoveryError> {
        let file_prefix = format!("larchway-{}.", durable_file::file_name(name));
        let own_path = folder.join(format!("{file_prefix}{}{SOCKET_EXTENSION}", std::process::id()));
        if own_path.as_os_str().len() > MAX_SOCKET_PATH_BYTES {
            return Err(DiscoveryError::PathTooLong(own_path));
        }
        let ejections_file = DurableFile::new(folder.join(format!("{file_prefix}stores")));
        ejections_file.remove_leftovers();
        let mut paths = socket_paths(folder, &file_prefix).map_err(|source| unusable_path(folder, source))?;
        paths.retain(|path| *path != own_path);
        let FoundProcesses { peers, frames } = request_states(&paths, name);
        let listener = listen(&own_path).map_err(|source| unusable_path(&own_path, source))?;
        // Loaded only now, since the clock continues that of the other processes, if there are any.
        let saved_ejections =
            ejections_file.load(MAX_FRAME_LENGTH, ejections_file::decode).unwrap_or_default();
        let upgrade = Upgrade { listener, own_path, ejections_file, peers };
        Ok(Discovery { upgrade, saved_ejections, frames })
    }
}

fn unusable_path(path: &Path, source: io::Error) -> DiscoveryError {
    DiscoveryError::Unusable { path: path.to_path_buf(), source }
}

/// The sockets of the gateway's processes in a folder, sorted.
fn socket_paths(folder: &Path, file_prefix: &str) -> io::Result<Vec<PathBuf>> {
    let is_process_id = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let is_socket = |path: &PathBuf| {
        let file_name = path.file_name().and_then(|name| name.to_str()).unwrap_or("");
        let process =
            file_name.strip_prefix(file_prefix).and_then(|rest| rest.strip_suffix(SOCKET_EXTENSION));
        process.is_some_and(is_process_id)
    };
    let entries = std::fs::read_dir(folder)?.filter_map(|entry| Some(entry.ok()?.path()));
    let mut paths: Vec<PathBuf> = entries.filter(is_socket).collect();
    paths.sort();
    Ok(paths)
}

/// Requests the states of the processes at these sockets.
fn request_states(paths: &[PathBuf], name: &str) -> FoundProcesses {
    let mut found = FoundProcesses::default();
    for path in paths {
        match request_state(path, name) {
            Ok((peer, frames)) => {
                let Some(place) = found.peers.iter().position(Option::is_none) else { break };
                found.peers[place] = Some(peer);
                found.frames.extend(frames.into_iter().map(|frame| ReceivedFrame { place, frame }));
            }
            // A killed process leaves its socket behind: remove it.
            Err(RequestError::Failed(error)) if Failure::of(&error) == Failure::Refused => {
                drop(std::fs::remove_file(path));
            }
            Err(error) => warn!(path = %path.display(), %error, "cannot get the state of another process"),
        }
    }
    found
}

/// Requests the state of another process; returns its connection, and the frames up to the state.
fn request_state(path: &Path, name: &str) -> Result<(Peer, Vec<Frame>), RequestError> {
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let mut stream = retry_on_local_shortage(deadline, || UnixStream::connect(path))?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
    stream.set_write_timeout(Some(REQUEST_TIMEOUT))?;
    send_hello(&mut stream, name, deadline)?;
    let (mut input, mut buffer, mut frames) = (Vec::new(), vec![0; READ_BYTES], Vec::new());
    let is_state = |frame: &Frame| matches!(frame, Frame::State(_));
    while !frames.iter().any(is_state) && Instant::now() < deadline {
        match retry_on_local_shortage(deadline, || stream.read(&mut buffer))? {
            0 => return Err(RequestError::Ended),
            count => input.extend_from_slice(&buffer[..count]),
        }
        take_frames(&mut input, &mut frames)?;
    }
    stream.set_nonblocking(true)?;
    Ok((Peer { stream, input, output: Vec::new() }, frames))
}

fn send_hello(stream: &mut UnixStream, name: &str, deadline: Instant) -> io::Result<()> {
    let hello = Frame::Hello { name: name.to_string() }.encode();
    let mut sent = 0;
    while sent < hello.len() {
        sent += retry_on_local_shortage(deadline, || stream.write(&hello[sent..]))?;
    }
    Ok(())
}

/// Takes the complete frames from an input. As soon as a state is received, the own clock continues that of its
/// sender.
fn take_frames(input: &mut Vec<u8>, frames: &mut Vec<Frame>) -> Result<(), RequestError> {
    while let Some(DecodedFrame { frame, length }) =
        Frame::decode_first(input).map_err(RequestError::Malformed)?
    {
        input.drain(..length);
        if let Frame::State(state) = &frame {
            clock::continue_from(state.learned.taken_at());
        }
        frames.push(frame);
    }
    Ok(())
}

/// Listens on the own socket path.
fn listen(own_path: &Path) -> io::Result<UnixListener> {
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    // No other process has this process id now, so an existing socket was left behind by an earlier one.
    match std::fs::remove_file(own_path) {
        Err(error) if !is_not_found(&error) => return Err(error),
        _ => {}
    }
    let listener = retry_on_local_shortage(deadline, || UnixListener::bind(own_path))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
