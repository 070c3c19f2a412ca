//! What the endpoint set asks its owner to do.
use crate::endpoint::{Endpoint, MAX_ENDPOINTS};
use crate::format::NodeDataError;
use crate::input::ListScope;
use crate::reason::{state_name, Reason};
use larchway::State;
use std::collections::BTreeMap;
use std::fmt;

/// A result of [`EndpointSet::handle`](crate::EndpointSet::handle).
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Endpoints for the decision module.
    Change {
        /// What the endpoints cover; only the first change is complete.
        scope: ListScope,
        /// The endpoints, each with the state that it is to get.
        endpoints: Vec<Endpoint>,
    },
    /// By zone, the number of gateways among which budgets are divided.
    Gateways(BTreeMap<usize, u64>),
    /// An event for the log.
    Log(LogEvent),
}

/// An event for the log; its text is given by [`fmt::Display`].
#[derive(Debug, Clone, PartialEq)]
pub enum LogEvent {
    /// The state of an endpoint, or the reason for it, has changed.
    StateChanged {
        /// Name of the endpoint.
        name: String,
        /// The new state.
        state: State,
        /// The reason for the new state.
        reason: Reason,
    },
    /// The data of a node cannot be parsed.
    NodeUnreadable {
        /// Path of the node.
        node: String,
        /// The error.
        error: NodeDataError,
    },
    /// This many sessions ended at once; endpoints that answer stay in service.
    MassDeparture(usize),
    /// The endpoint of this name is ignored, as there are [`MAX_ENDPOINTS`] already.
    LimitReached(String),
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::StateChanged { name, state, reason } => {
                write!(f, "{name} is {}: {}", state_name(*state), reason.description())
            }
            LogEvent::NodeUnreadable { node, error } => write!(f, "the node {node} is passed over: {error}"),
            LogEvent::MassDeparture(count) => {
                write!(f, "{count} sessions ended at once: endpoints that answer stay until an attempt fails")
            }
            LogEvent::LimitReached(name) => {
                write!(f, "{name} is left out: {MAX_ENDPOINTS} endpoints are known")
            }
        }
    }
}
