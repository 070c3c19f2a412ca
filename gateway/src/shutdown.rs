//! The graceful shutdown of a process as a state machine, from SIGTERM to the exit. No clock and no I/O.
use larchway::MonotonicTime;
use std::time::Duration;

/// How long requests are still accepted after SIGTERM: the platform sends new ones for up to 0.6 s more.
pub const ACCEPT_GRACE_PERIOD: Duration = Duration::from_millis(700);

/// The state of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Shutdown {
    /// No signal to stop was received.
    #[default]
    Serving,
    /// A signal to stop was received; connections and requests are still accepted.
    Accepting {
        /// When the first signal came.
        signalled_at: MonotonicTime,
    },
    /// The listeners are closed. Each client connection is half-closed once it has no open request.
    Closing {
        /// When the first signal came.
        signalled_at: MonotonicTime,
    },
}

/// Whether another process of the gateway accepts clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Successor {
    /// There is no such process, or it is not ready.
    Absent,
    /// Another process accepts clients.
    Accepting,
}

/// The effect of a signal to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopEffect {
    /// Requests are still accepted for [`ACCEPT_GRACE_PERIOD`].
    Accepting,
    /// This process stops listening at once, since another one accepts clients.
    Closing,
    /// The signal has no effect.
    Ignored,
}

impl Shutdown {
    /// Handles SIGTERM.
    pub fn handle_signal(&mut self, now: MonotonicTime, successor: Successor) -> StopEffect {
        let signalled_at = match *self {
            Shutdown::Serving => now,
            // A successor that became ready after the first signal takes over at the second one.
            Shutdown::Accepting { signalled_at } if successor == Successor::Accepting => signalled_at,
            Shutdown::Accepting { .. } | Shutdown::Closing { .. } => return StopEffect::Ignored,
        };
        match successor {
            Successor::Accepting => {
                *self = Shutdown::Closing { signalled_at };
                StopEffect::Closing
            }
            Successor::Absent => {
                *self = Shutdown::Accepting { signalled_at };
                StopEffect::Accepting
            }
        }
    }

    /// Handles an expired deadline. Returns whether the process has to stop listening now.
    pub fn tick(&mut self, now: MonotonicTime) -> bool {
        match *self {
            Shutdown::Accepting { signalled_at } if now >= signalled_at + ACCEPT_GRACE_PERIOD => {
                *self = Shutdown::Closing { signalled_at };
                true
            }
            _ => false,
        }
    }

    /// Whether a signal to stop was received.
    pub fn is_signalled(self) -> bool {
        self != Shutdown::Serving
    }

    /// When the first signal to stop was received, if one was.
    pub fn signalled_at(self) -> Option<MonotonicTime> {
        match self {
            Shutdown::Serving => None,
            Shutdown::Accepting { signalled_at } | Shutdown::Closing { signalled_at } => Some(signalled_at),
        }
    }

    /// Whether the process no longer accepts clients.
    pub fn is_closing(self) -> bool {
        matches!(self, Shutdown::Closing { .. })
    }
}
