//! Why a trial could not be played. A bound that is broken is no error: see [`super::Outcome::broken`].
use crate::faults::plan::PlanError;
use crate::hollow::error::{ChildError, HollowError, UsageError};
use crate::http::PageError;
use std::path::PathBuf;

/// Why a trial could not be played.
#[derive(Debug, thiserror::Error)]
pub enum TrialError {
    /// No trial has this name.
    #[error("there is no trial {name:?}; there are: {known}")]
    UnknownTrial {
        /// The name.
        name: String,
        /// All names.
        known: String,
    },
    /// The trial has no case of this name.
    #[error("there is no case {name:?}; there are: {known}")]
    UnknownCase {
        /// The name.
        name: String,
        /// All names.
        known: String,
    },
    /// The trial of distribution has no case of this name; names all.
    #[error("there is no such case; there are: {0}")]
    NoSuchCase(String),
    /// The trial has no cases.
    #[error("there is no case {0:?}: this trial has one")]
    OnlyCase(String),
    /// The places of a hollow fleet cannot be used.
    #[error(transparent)]
    Topology(larchway_cluster::tiers::TopologyError),
    /// A process, a stand-in or a file could not be started, written or called.
    #[error("{subject}: {source}")]
    Io {
        /// Which.
        subject: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// A system call failed, where no more is known.
    #[error(transparent)]
    System(#[from] std::io::Error),
    /// A scenario needs more descriptors than the process may open.
    #[error(
        "{needed} descriptors are needed, and the process may open {total}: raise its limit (ulimit -n)"
    )]
    TooManyDescriptors {
        /// How many it needs.
        needed: usize,
        /// How many the process may open for scenarios.
        total: usize,
    },
    /// A gateway did not listen in time.
    #[error("gateway {number} does not listen: see {}", log.display())]
    NotListening {
        /// The gateway's number.
        number: usize,
        /// Its log.
        log: PathBuf,
    },
    /// A process of an upgrade was not ready in time.
    #[error("process {number} is not ready: see {}", folder.display())]
    NotReady {
        /// The number of the process.
        number: u64,
        /// Where its log is.
        folder: PathBuf,
    },
    /// The gateway ended by itself.
    #[error("the gateway ended in round {round}: see {}", folder.display())]
    GatewayEnded {
        /// The round of the script.
        round: usize,
        /// Where its log is.
        folder: PathBuf,
    },
    /// Stores, or gateways, did not register with the ensemble in time.
    #[error("the {0} do not register")]
    NotRegistered(&'static str),
    /// A signal could not be sent.
    #[error("{0} fails")]
    Signal(String),
    /// A thread of clients panicked; says which.
    #[error("{0}")]
    ClientsPanicked(&'static str),
    /// A variant of a case could not be played.
    #[error("{case}, {variant}: {source}")]
    Variant {
        /// The case.
        case: &'static str,
        /// The variant.
        variant: &'static str,
        /// Why.
        source: Box<TrialError>,
    },
    /// Something was not done in time; says what, and within what time.
    #[error("{0}")]
    NotInTime(String),
    /// A process or a file gave something that cannot be read.
    #[error("{subject}: {source}")]
    Json {
        /// Which.
        subject: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// Figures cannot be converted from or to JSON.
    #[error(transparent)]
    Figures(#[from] serde_json::Error),
    /// The series of an older file cannot be read.
    #[error(transparent)]
    Series(#[from] crate::capacity::error::CapacityError),
    /// A process gave something that was not expected; says what.
    #[error("{0}")]
    Unexpected(String),
    /// A plan of faults is invalid.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// A hollow gateway or its followers cannot go on.
    #[error(transparent)]
    Hollow(#[from] HollowError),
    /// A process of the laboratory cannot be started or called.
    #[error(transparent)]
    Child(#[from] ChildError),
    /// The kernel's figures of a process cannot be read.
    #[error(transparent)]
    Usage(#[from] UsageError),
    /// A process's status page cannot be read.
    #[error(transparent)]
    Page(#[from] PageError),
}

impl TrialError {
    /// An error of the system about a subject, for `map_err`.
    pub(super) fn io(subject: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let subject = subject.into();
        |source| TrialError::Io { subject, source }
    }

    /// JSON of a subject that cannot be read, for `map_err`.
    pub(super) fn json(subject: impl Into<String>) -> impl FnOnce(serde_json::Error) -> Self {
        let subject = subject.into();
        |source| TrialError::Json { subject, source }
    }

    /// The error of a variant of a case, for `map_err`.
    pub(super) fn variant(case: &'static str, variant: &'static str) -> impl FnOnce(TrialError) -> Self {
        move |source| TrialError::Variant { case, variant, source: Box::new(source) }
    }
}
