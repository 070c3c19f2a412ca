//! How the limit on file descriptors is shared. Danger: where idle clients or connections to stores may take the last
//! one, the bulletin cannot be read any more, operators get no answer, and a new configuration cannot be read.
use crate::console::MAX_CALLERS;

/// Descriptors that neither clients nor stores may take: standard streams, poller and its timer, listeners, signals,
/// bulletin, ensemble, datagrams, the gateway's other processes, and a file that is being read. The worker that writes
/// files (a pair of sockets and the file) fits in as long as there are no more than four other processes.
const RESERVED_DESCRIPTORS: usize = 28;
/// Descriptors of the limit for each caller of the console.
const DESCRIPTORS_PER_CALLER: usize = 24;
/// Connections of clients and to stores together, at least, however low the limit.
const MIN_CONNECTIONS: usize = 8;
/// The share of clients in these connections, in percent. Those of the platform take a third of the limit at most.
const CLIENTS_PERCENT: usize = 40;
/// Of these connections, one in so many is for clients that are half-closed and not yet closed by the other side.
const CONNECTIONS_PER_HALF_CLOSED: usize = 16;

/// The limit on descriptors of this process by their use; the sum is no higher than the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DescriptorLimits {
    /// Connections of clients.
    pub clients: usize,
    /// Connections of clients that only wait to be closed by the other side.
    pub half_closed_clients: usize,
    /// Connections to stores.
    pub store_connections: usize,
    /// Callers of the console.
    pub console_callers: usize,
}

impl DescriptorLimits {
    /// Shares out the limit on the descriptors of a process.
    pub fn share(limit: usize) -> Self {
        let console_callers = (limit / DESCRIPTORS_PER_CALLER).clamp(1, MAX_CALLERS);
        let connections = limit.saturating_sub(RESERVED_DESCRIPTORS + console_callers).max(MIN_CONNECTIONS);
        let half_closed_clients = connections / CONNECTIONS_PER_HALF_CLOSED;
        let clients = connections * CLIENTS_PERCENT / 100;
        let store_connections = connections - clients - half_closed_clients;
        DescriptorLimits { clients, half_closed_clients, store_connections, console_callers }
    }
}
