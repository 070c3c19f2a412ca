//! The processes of one gateway during an upgrade: they find each other by Unix sockets in a shared folder, and send
//! each other the state that the next one needs. A closed connection means that the process has ended. This module
//! owns the sockets and decodes the frames; the event loop handles them.
mod discovery;
mod ejections_file;

pub use discovery::{Discovery, DiscoveryError, ReceivedFrame};

use crate::durable_file::DurableFile;
use crate::nonblocking::{read_once, write_available, ReadOutcome};
use crate::sockets::accept_outcome;
use larchway_operations::handover::{DecodedFrame, Frame, MAX_FRAME_LENGTH};
use larchway_operations::manual_ejection::EjectionRecord;
use rustix::net::sockopt::socket_peercred;
use std::io;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use tracing::warn;

/// Most other processes at once: a second upgrade may begin while the old process of the first one still serves
/// clients.
pub const MAX_PROCESSES: usize = 6;
/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 64 * 1024;
/// Unsent bytes beyond which the connection to a process that does not read is closed.
const MAX_OUTPUT_BYTES: usize = 2 * MAX_FRAME_LENGTH;

/// The connection to another process.
struct Peer {
    stream: UnixStream,
    input: Vec<u8>,
    output: Vec<u8>,
}

/// The state of the connection to another process.
pub enum ProcessState {
    /// Poll it for reading.
    Reading,
    /// Poll it for reading and writing: output is pending.
    Writing,
    /// It is closed: the process has ended, or its connection was given up.
    Ended(UnixStream),
}

/// The frames read from another process. They have to be handled before [`Upgrade::finish_read`] is called, since
/// handling them may add output.
pub struct ReadFrames {
    /// The complete frames, in order.
    pub frames: Vec<Frame>,
    /// Whether more can be read.
    pub liveness: Liveness,
}

/// Whether the connection to a process is still usable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It is.
    Alive,
    /// The process has ended, or sent an invalid frame.
    Ended,
}

impl Peer {
    /// Reads the available bytes, up to the length of the longest frame and one buffer more.
    fn read(&mut self) -> Liveness {
        let mut buffer = vec![0; READ_BYTES];
        while self.input.len() <= MAX_FRAME_LENGTH {
            match read_once(&self.stream, &mut buffer) {
                Ok(ReadOutcome::Received(count)) => self.input.extend_from_slice(&buffer[..count]),
                Ok(ReadOutcome::NotReady) => break,
                Ok(ReadOutcome::Ended) | Err(_) => return Liveness::Ended,
            }
        }
        Liveness::Alive
    }

    /// Takes the complete frames from the input. The connection is given up if a frame is invalid.
    fn take_frames(&mut self, frames: &mut Vec<Frame>) -> Liveness {
        loop {
            match Frame::decode_first(&self.input) {
                Ok(Some(DecodedFrame { frame, length })) => {
                    self.input.drain(..length);
                    release_if_empty(&mut self.input);
                    frames.push(frame);
                }
                Ok(None) => return Liveness::Alive,
                Err(error) => {
                    warn!(%error, "another process of this gateway sent an invalid frame");
                    return Liveness::Ended;
                }
            }
        }
    }
}

/// Frees the memory of a buffer that has held a large frame.
fn release_if_empty(buffer: &mut Vec<u8>) {
    if buffer.is_empty() {
        *buffer = Vec::new();
    }
}

/// The other processes of the gateway.
pub struct Upgrade {
    /// The listener for later processes.
    pub listener: UnixListener,
    own_path: PathBuf,
    ejections_file: DurableFile,
    peers: [Option<Peer>; MAX_PROCESSES],
}

impl Upgrade {
    /// The indices of the connected processes.
    pub fn places(&self) -> Vec<usize> {
        (0..MAX_PROCESSES).filter(|place| self.peers[*place].is_some()).collect()
    }

    /// Accepts the connection of another process, if one is pending; returns its index.
    pub fn accept(&mut self) -> io::Result<Option<usize>> {
        let Some((stream, _)) = accept_outcome(self.listener.accept())? else { return Ok(None) };
        let free = self.peers.iter().position(Option::is_none);
        let Some(place) = free.filter(|_| stream.set_nonblocking(true).is_ok()) else { return Ok(None) };
        self.peers[place] = Some(Peer { stream, input: Vec::new(), output: Vec::new() });
        Ok(Some(place))
    }

    /// The stream of another process.
    pub fn stream(&self, place: usize) -> Option<&UnixStream> {
        self.peers.get(place)?.as_ref().map(|peer| &peer.stream)
    }

    /// The process id of another process; none if the kernel does not tell it.
    pub fn process_id(&self, place: usize) -> Option<u32> {
        let credentials = socket_peercred(self.stream(place)?).ok()?;
        u32::try_from(credentials.pid.as_raw_nonzero().get()).ok()
    }

    /// Reads what another process has sent; none if there is no such process.
    pub fn read_frames(&mut self, place: usize) -> Option<ReadFrames> {
        let peer = self.peers.get_mut(place)?.as_mut()?;
        let mut frames = Vec::new();
        let is_ended = [peer.read(), peer.take_frames(&mut frames)].contains(&Liveness::Ended);
        let liveness = if is_ended { Liveness::Ended } else { Liveness::Alive };
        Some(ReadFrames { frames, liveness })
    }

    /// Returns the state of the connection once the frames that were read are handled, and writes pending output; none
    /// if it was closed meanwhile.
    pub fn finish_read(&mut self, place: usize, liveness: Liveness) -> Option<ProcessState> {
        match liveness {
            Liveness::Alive => self.flush(place),
            Liveness::Ended => self.remove(place),
        }
    }

    /// Sends a frame to another process.
    pub fn send(&mut self, place: usize, frame: &Frame) -> Option<ProcessState> {
        self.peers.get_mut(place)?.as_mut()?.output.extend_from_slice(&frame.encode());
        self.flush(place)
    }

    fn flush(&mut self, place: usize) -> Option<ProcessState> {
        let peer = self.peers.get_mut(place)?.as_mut()?;
        let Ok(written) = write_available(&peer.stream, &peer.output) else { return self.remove(place) };
        peer.output.drain(..written);
        release_if_empty(&mut peer.output);
        match peer.output.len() {
            0 => Some(ProcessState::Reading),
            unsent if unsent > MAX_OUTPUT_BYTES => self.remove(place),
            _ => Some(ProcessState::Writing),
        }
    }

    fn remove(&mut self, place: usize) -> Option<ProcessState> {
        self.peers.get_mut(place)?.take().map(|peer| ProcessState::Ended(peer.stream))
    }

    /// The file in which the manual ejections are saved for later processes.
    pub fn ejections_file(&self) -> &DurableFile {
        &self.ejections_file
    }

    /// Encodes manual ejections as the content of that file.
    pub fn ejections_content(records: &[EjectionRecord]) -> Vec<u8> {
        ejections_file::encode(records)
    }
}

impl Drop for Upgrade {
    fn drop(&mut self) {
        // An error cannot be reported here, and the next process removes a socket that is left behind.
        let _ = std::fs::remove_file(&self.own_path);
    }
}

#[cfg(test)]
mod tests;
