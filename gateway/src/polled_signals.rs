//! The poller of an event loop, with pipes that signals write to.
use crate::event_loop_error::EventLoopError;
use crate::sockets::signal_pipe;
use crate::system_errors::retry_on_local_shortage;
use polling::Poller;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::os::unix::net::UnixStream;
use std::time::Instant;

/// The poll keys of the pipes.
#[derive(Debug, Clone, Copy)]
pub struct SignalKeys {
    /// The key of the pipe for SIGTERM and SIGINT.
    pub stop: usize,
    /// The key of the pipe for SIGHUP.
    pub reload: usize,
}

/// A poller, and the pipes that signals write to.
pub struct PolledSignals {
    /// The poller.
    pub poller: Poller,
    /// SIGTERM and SIGINT write a byte here.
    pub stop: UnixStream,
    /// SIGHUP writes a byte here.
    pub reload: UnixStream,
}

impl PolledSignals {
    /// Opens the poller and both pipes. Local shortages are retried until the time `until`.
    pub fn open(keys: SignalKeys, until: Instant) -> Result<PolledSignals, EventLoopError> {
        let poller = retry_on_local_shortage(until, Poller::new).map_err(EventLoopError::Poll)?;
        let pipe =
            |signals: &[i32], key| retry_on_local_shortage(until, || signal_pipe(&poller, signals, key));
        let stop = pipe(&[SIGTERM, SIGINT], keys.stop)?;
        let reload = pipe(&[SIGHUP], keys.reload)?;
        Ok(PolledSignals { poller, stop, reload })
    }
}
