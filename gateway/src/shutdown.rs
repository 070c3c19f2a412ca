//! The graceful shutdown of a process as states, from SIGTERM to the exit. No clock and no socket.
use larchway::Micros;

/// µs for which requests are still taken in after SIGTERM: the platform sends new ones for up to 0.6 s more.
pub const ACCEPTING: Micros = 700_000;

/// How far the shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Shutdown {
    /// The process serves.
    #[default]
    Serving,
    /// It was told to stop and takes in what still comes, connections among it.
    Accepting {
        /// When it was told.
        told: Micros,
    },
    /// It listens no more. Each client's connection is half-closed once nothing is open on it.
    Closing {
        /// When it was told.
        told: Micros,
    },
}

/// What a signal to stop comes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Begun {
    /// It is the first one: requests are still taken in for a while.
    Accepting,
    /// Clients are left to another process at once.
    Closing,
    /// It changes nothing.
    Nothing,
}

impl Shutdown {
    /// SIGTERM has come; `successor`: another process takes clients in.
    pub fn signalled(&mut self, now: Micros, successor: bool) -> Begun {
        let told = match *self {
            Shutdown::Serving => now,
            // A successor that came up meanwhile takes over at a second signal.
            Shutdown::Accepting { told } if successor => told,
            Shutdown::Accepting { .. } | Shutdown::Closing { .. } => return Begun::Nothing,
        };
        if successor {
            *self = Shutdown::Closing { told };
            Begun::Closing
        } else {
            *self = Shutdown::Accepting { told };
            Begun::Accepting
        }
    }

    /// Time has passed. Returns whether the process stops listening now.
    pub fn tick(&mut self, now: Micros) -> bool {
        match *self {
            Shutdown::Accepting { told } if now >= told + ACCEPTING => {
                *self = Shutdown::Closing { told };
                true
            }
            _ => false,
        }
    }

    /// Whether SIGTERM has come.
    pub fn begun(self) -> bool {
        self != Shutdown::Serving
    }

    /// Whether no client is taken in any more.
    pub fn closing(self) -> bool {
        matches!(self, Shutdown::Closing { .. })
    }
}
