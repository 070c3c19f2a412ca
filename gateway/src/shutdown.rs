//! The graceful shutdown of a process as a state machine, from SIGTERM to the exit. No clock and no I/O.
use larchway::MonotonicTime;
use std::time::Duration;

/// The time for which requests are still accepted after SIGTERM: the platform sends new ones for up to 0.6 s more.
pub const ACCEPT_GRACE_PERIOD: Duration = Duration::from_millis(700);

/// The state of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Shutdown {
    /// The process serves.
    #[default]
    Serving,
    /// It was signalled to stop, and still accepts connections and requests.
    Accepting {
        /// When the first signal came.
        signalled_at: MonotonicTime,
    },
    /// It does not listen any more. Each client's connection is half-closed once nothing is open on it.
    Closing {
        /// When the first signal came.
        signalled_at: MonotonicTime,
    },
}

/// Whether another process of the gateway accepts clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Successor {
    /// There is none, or it is not ready.
    Absent,
    /// It accepts clients.
    Accepting,
}

/// The effect of a signal to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopEffect {
    /// It is the first one: requests are still accepted for [`ACCEPT_GRACE_PERIOD`].
    Accepting,
    /// Another process accepts clients: this one stops listening at once.
    Closing,
    /// It has no effect.
    Ignored,
}

impl Shutdown {
    /// Handles SIGTERM.
    pub fn handle_signal(&mut self, now: MonotonicTime, successor: Successor) -> StopEffect {
        let signalled_at = match *self {
            Shutdown::Serving => now,
            // A successor that came up meanwhile takes over at a second signal.
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

    /// Handles the passage of time. Returns whether the process has to stop listening now.
    pub fn tick(&mut self, now: MonotonicTime) -> bool {
        match *self {
            Shutdown::Accepting { signalled_at } if now >= signalled_at + ACCEPT_GRACE_PERIOD => {
                *self = Shutdown::Closing { signalled_at };
                true
            }
            _ => false,
        }
    }

    /// Whether SIGTERM has come.
    pub fn is_signalled(self) -> bool {
        self != Shutdown::Serving
    }

    /// Whether no client is accepted any more.
    pub fn is_closing(self) -> bool {
        matches!(self, Shutdown::Closing { .. })
    }
}
