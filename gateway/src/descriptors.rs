//! Divides the limit on file descriptors by use. If idle clients or connections to stores could take the last
//! descriptor, the gateway could not connect to the source of events, answer operators or read a new configuration.
use crate::console::MAX_CALLERS;

/// Descriptors reserved for other uses than clients and stores: standard streams, the poller and its timer, listeners,
/// signals, the source of events, the ensemble, datagrams, the gateway's other processes, and a file that is being
/// read. They include the worker that writes files (a socket pair and the file) if there are at most four other
/// processes.
const RESERVED_DESCRIPTORS: usize = 28;
/// Descriptors of the limit per allowed caller of the console.
const DESCRIPTORS_PER_CALLER: usize = 24;
/// Minimum number of connections of clients and to stores together, however low the limit.
const MIN_CONNECTIONS: usize = 8;
/// Percentage of these connections for clients. It covers the platform's clients, which need at most a third of the
/// limit.
const CLIENTS_PERCENT: usize = 40;
/// One in this number of connections is for half-closed clients that have not closed their side yet.
const CONNECTIONS_PER_HALF_CLOSED: usize = 16;

/// Limits on this process's descriptors by use. With the reserved ones they add up to at most the process's limit,
/// unless that is too low for the minimum number of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DescriptorLimits {
    /// Maximum number of client connections that are not half-closed.
    pub clients: usize,
    /// Maximum number of half-closed client connections.
    pub half_closed_clients: usize,
    /// Maximum number of connections to stores.
    pub store_connections: usize,
    /// Maximum number of callers of the console.
    pub console_callers: usize,
}

impl DescriptorLimits {
    /// Divides the limit on a process's descriptors.
    pub fn share(limit: usize) -> Self {
        let console_callers = (limit / DESCRIPTORS_PER_CALLER).clamp(1, MAX_CALLERS);
        let connections = limit.saturating_sub(RESERVED_DESCRIPTORS + console_callers).max(MIN_CONNECTIONS);
        let half_closed_clients = connections / CONNECTIONS_PER_HALF_CLOSED;
        let clients = connections * CLIENTS_PERCENT / 100;
        let store_connections = connections - clients - half_closed_clients;
        DescriptorLimits { clients, half_closed_clients, store_connections, console_callers }
    }
}
