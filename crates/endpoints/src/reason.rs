//! Why an endpoint has its state, in the form in which operators read it.
use larchway::State;
use serde::Serialize;

/// The name of a state on the operator's console and in the log.
pub fn state_name(state: State) -> &'static str {
    match state {
        State::Up => "up",
        State::Draining => "draining",
        State::Removed => "out",
    }
}

/// The reason for the state of an endpoint. The serialized names are part of the console's protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The list names it.
    #[serde(rename = "listed")]
    InList,
    /// A node names it.
    #[serde(rename = "noded")]
    HasNode,
    /// The list and a node name it.
    #[serde(rename = "both")]
    InListAndNode,
    /// It was in service when an earlier process saved its roster, and no source has been read since.
    Restored,
    /// The list says that it is draining.
    #[serde(rename = "list_drains")]
    DrainingInList,
    /// Its node says that it is draining.
    #[serde(rename = "node_drains")]
    DrainingInNode,
    /// It has left the list.
    #[serde(rename = "list_gone")]
    RemovedFromList,
    /// Its node said that it was draining, and was then deleted.
    #[serde(rename = "closed")]
    ClosedAfterDrain,
    /// Its session ended less than the policy's `settle_ms` ago.
    #[serde(rename = "settling")]
    GracePeriod,
    /// Its session has ended.
    #[serde(rename = "expired")]
    SessionExpired,
    /// Its session has ended, and attempts of this gateway have failed since.
    #[serde(rename = "witnessed")]
    ExpiryConfirmed,
    /// Its session ended in a mass departure. It answered shortly before, and has to answer again.
    #[serde(rename = "confirming")]
    AwaitingAnswer,
    /// Its session ended in a mass departure, and it has answered since.
    #[serde(rename = "held")]
    RetainedWhileAnswering,
    /// It is suppressed by flap damping.
    #[serde(rename = "suppressed")]
    FlapDamped,
    /// The list does not name it, and the policy requires the list.
    #[serde(rename = "not_listed")]
    NotInList,
    /// No node names it, and the policy requires one.
    NoNode,
    /// No source names it.
    #[serde(rename = "unnamed")]
    Unknown,
    /// Without it its pool would be empty, and it has answered lately.
    #[serde(rename = "floor")]
    LastOfPool,
}

impl Reason {
    /// The reason as a clause for the log and the console's history.
    pub fn description(self) -> &'static str {
        match self {
            Reason::InList => "the list names it",
            Reason::HasNode => "its node stands",
            Reason::InListAndNode => "the list names it and its node stands",
            Reason::Restored => "it stood in the last roster",
            Reason::DrainingInList => "the list says that it drains",
            Reason::DrainingInNode => "its node says that it drains",
            Reason::RemovedFromList => "the list says that it is gone",
            Reason::ClosedAfterDrain => "it drained and closed its session",
            Reason::GracePeriod => "its session ended a moment ago",
            Reason::SessionExpired => "its session ended",
            Reason::ExpiryConfirmed => "its session ended and own attempts agree",
            Reason::AwaitingAnswer => "its session ended with many others; it has to answer",
            Reason::RetainedWhileAnswering => "its session ended with many others, but it answers",
            Reason::FlapDamped => "its session comes and goes",
            Reason::NotInList => "the list does not name it",
            Reason::NoNode => "it has no node",
            Reason::Unknown => "no source names it",
            Reason::LastOfPool => "its pool would be empty, and it answered of late",
        }
    }
}
