//! The plan of a rollout: which document, to which gateways in which order, and when to stop.
use super::{Document, DocumentError, DocumentId, DocumentVersion, Targets};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Stages of a plan at most, the last one for all gateways not counted.
pub const MAX_STAGES: usize = 256;

/// Gateways that a version reaches before all others.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RolloutStage {
    /// Which gateways.
    pub targets: Targets,
}

/// The plan of a rollout. After its stages the version goes to all gateways.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RolloutPlan {
    /// Which document.
    pub id: DocumentId,
    /// The new version.
    pub version: u64,
    /// Its content; none to withdraw the document.
    pub content: Option<Arc<str>>,
    /// The content that a rollback brings back; none for the file's value.
    pub previous: Option<Arc<str>>,
    /// The stages, each of which reaches every gateway of the one before; at most [`MAX_STAGES`].
    pub stages: Vec<RolloutStage>,
    /// Time for which a stage is applied by all that it targets before the next one begins.
    pub minimum_soak: Duration,
    /// Gateways that may reject the version without halting the rollout.
    pub tolerated_rejections: u64,
    /// Longest time from a stage's beginning until it is applied by all that it targets.
    pub max_stage_time: Duration,
    /// Whether a rollout that halts is rolled back at once.
    pub roll_back_when_halted: bool,
}

/// Why a plan cannot be used; each names the key at fault.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum PlanError {
    /// A document of it is not allowed.
    #[error("stages[{stage}]: {error}")]
    Document {
        /// Which stage; one past the last for the version for all gateways.
        stage: usize,
        /// Why.
        #[source]
        error: DocumentError,
    },
    /// The content of before is not allowed.
    #[error("previous: {0}")]
    Previous(#[source] DocumentError),
    /// A stage does not reach a gateway of the stage before.
    #[error("stages[{0}].targets: narrower than those of the stage before")]
    NarrowerTargets(usize),
    /// There are too many stages.
    #[error("stages: {0}, at most {MAX_STAGES}")]
    TooManyStages(usize),
    /// A stage ends before it can be applied.
    #[error("max_stage_time: 0, must be longer")]
    ZeroStageTime,
}

impl RolloutPlan {
    /// Stages of these shares of all gateways, then the zones one by one.
    pub fn stages(shares: &[f64], zones: &[String]) -> Vec<RolloutStage> {
        let widest = shares.last().copied().unwrap_or_default();
        let by_share = shares.iter().map(|share| Targets::share(*share));
        let by_zone =
            (1..=zones.len()).map(|count| Targets { share: widest, zones: zones[..count].to_vec() });
        by_share.chain(by_zone).map(|targets| RolloutStage { targets }).collect()
    }

    /// Checks the plan.
    ///
    /// # Errors
    ///
    /// Fails at the first key that is not allowed.
    pub fn check(&self) -> Result<(), PlanError> {
        if self.stages.len() > MAX_STAGES {
            return Err(PlanError::TooManyStages(self.stages.len()));
        }
        if self.max_stage_time.is_zero() {
            return Err(PlanError::ZeroStageTime);
        }
        for stage in 0..=self.stages.len() {
            self.document(stage).check().map_err(|error| PlanError::Document { stage, error })?;
        }
        let pairs = self.stages.windows(2).enumerate();
        let narrower = pairs.map(|(index, pair)| (index + 1, !pair[1].targets.contains(&pair[0].targets)));
        if let Some((index, _)) = narrower.into_iter().find(|(_, is_narrower)| *is_narrower) {
            return Err(PlanError::NarrowerTargets(index));
        }
        self.rollback().check().map_err(PlanError::Previous)
    }

    /// The document of a stage; past the last one that for all gateways.
    pub fn document(&self, stage: usize) -> Document {
        Document {
            id: self.id.clone(),
            version: DocumentVersion { version: self.version, stage: stage as u32 },
            content: self.content.clone(),
            targets: self.stages.get(stage).map(|stage| stage.targets.clone()),
        }
    }

    /// The document of a rollback: a newer version with the content of before, for all gateways.
    pub fn rollback(&self) -> Document {
        Document {
            id: self.id.clone(),
            version: DocumentVersion { version: self.version + 1, stage: 0 },
            content: self.previous.clone(),
            targets: None,
        }
    }
}
