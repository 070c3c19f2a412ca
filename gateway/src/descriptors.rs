//! How the limit on descriptors is shared. Danger: where idle clients or dials to stores may take the last one, the
//! bulletin is never heard again, operators are not answered, and a new configuration cannot be read.

/// Descriptors that neither clients nor stores may take: standard streams, poller and its timer, listeners, signals,
/// bulletin, ensemble, datagrams, the gateway's other processes, and a file that is being read.
const KEPT: usize = 28;
/// One in so many is for the callers of the console.
const CALLERS: usize = 24;
/// Of what is left, the share of clients: two fifths. The platform's take a third of the limit at most.
const CLIENTS: (usize, usize) = (2, 5);
/// One in so many is for clients' connections that are half-closed and not yet closed by the other side.
const LINGERING: usize = 16;

/// The limit on descriptors of this process, in parts that add up to no more than it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Descriptors {
    /// Connections of clients.
    pub clients: usize,
    /// Connections of clients that only wait to be closed.
    pub lingering: usize,
    /// Connections to stores.
    pub links: usize,
    /// Callers of the console.
    pub callers: usize,
}

impl Descriptors {
    /// Shares out a limit.
    pub fn of(limit: usize) -> Self {
        let callers = (limit / CALLERS).clamp(1, crate::console::MOST);
        let rest = limit.saturating_sub(KEPT + callers).max(8);
        let lingering = rest / LINGERING;
        let clients = rest * CLIENTS.0 / CLIENTS.1;
        Descriptors { clients, lingering, links: rest - clients - lingering, callers }
    }
}
