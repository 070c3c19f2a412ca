//! Inputs and outputs of the state machine of manual ejections.
use super::record::EjectionRecord;
use larchway_endpoints::{Endpoint, ListScope};
use serde::{Deserialize, Serialize};

/// The action that an operator requests for a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionAction {
    /// Send no new requests to the store.
    Eject,
    /// Send requests to the store again.
    Restore,
}

/// The result of an operator's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionOutcome {
    /// The store is in the requested state.
    Applied,
    /// No listed store has this id; for a restore, no ejected or remembered delisted store has it either.
    UnknownStore,
    /// The maximum number of ejected stores is reached.
    TooManyEjected,
}

/// A store in the endpoint list of another process of the gateway. The order of the fields is the encoding in frames.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEndpoint {
    /// The store's id.
    pub name: String,
    /// Whether the endpoint list allows requests to the store.
    pub usable: bool,
}

/// An event for the state machine.
#[derive(Debug, Clone)]
pub enum Input {
    /// The endpoint list, or a change of it, has arrived.
    EndpointList {
        /// Whether the entries are the complete list or changes of it.
        scope: ListScope,
        /// The entries, without manual ejections applied.
        entries: Vec<Endpoint>,
    },
    /// An operator ejects or restores a store.
    OperatorRequest {
        /// The store's id.
        store: String,
        /// The requested action.
        action: EjectionAction,
    },
    /// Records from another process of this gateway, or from the file that a previous process saved.
    Records(Vec<EjectionRecord>),
    /// The endpoint list of another process of this gateway, which may be newer than the list that this process
    /// started with. A store that is missing here has been delisted there.
    PeerEndpoints(Vec<PeerEndpoint>),
    /// The time returned by [`super::ManualEjections::next_due`] is reached.
    Timer,
}

/// An effect that the caller has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Pass these entries to the decision module.
    EndpointList {
        /// Whether the entries are the complete list or changes of it.
        scope: ListScope,
        /// The entries with manual ejections applied.
        entries: Vec<Endpoint>,
    },
    /// Save all these records and send them to the gateway's other process, before the reply is sent.
    SaveRecords(Vec<EjectionRecord>),
    /// Reply to the operator.
    Reply(EjectionOutcome),
}
