//! The plan of a rollout: the document, its target gateways per stage, and when to halt.
use super::{Document, DocumentError, DocumentId, DocumentVersion, Targets};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Maximum number of stages in a plan, not counting the final one for all gateways.
pub const MAX_STAGES: usize = 256;

/// A stage of a rollout before the final one for all gateways.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RolloutStage {
    /// The gateways of this stage.
    pub targets: Targets,
}

/// The plan of a rollout. After its stages the version goes to all gateways.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RolloutPlan {
    /// Identity of the document.
    pub id: DocumentId,
    /// Number of the new version.
    pub version: u64,
    /// Content of the new version; `None` withdraws the document.
    pub content: Option<Arc<str>>,
    /// Content that a rollback restores; `None` for the value of the gateway's file.
    pub previous: Option<Arc<str>>,
    /// The stages. Each includes all gateways of the previous one; at most [`MAX_STAGES`].
    pub stages: Vec<RolloutStage>,
    /// Minimum time for which a stage must be applied by all its targets before the next stage begins.
    pub minimum_soak: Duration,
    /// Number of gateways that may reject the version without halting the rollout.
    pub tolerated_rejections: u64,
    /// Maximum time from the beginning of a stage until it is applied by all its targets.
    pub max_stage_time: Duration,
    /// Whether a halted rollout is rolled back immediately.
    pub roll_back_when_halted: bool,
}

/// Reasons why a plan is invalid. Each names the invalid key.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum PlanError {
    /// The document of a stage is invalid.
    #[error("stages[{stage}]: {error}")]
    Document {
        /// Index of the stage; the number of stages for the final one for all gateways.
        stage: usize,
        /// The reason.
        #[source]
        error: DocumentError,
    },
    /// The document of a rollback is invalid.
    #[error("previous: {0}")]
    Previous(#[source] DocumentError),
    /// The stage with this index does not include all gateways of the previous stage.
    #[error("stages[{0}].targets: narrower than those of the stage before")]
    NarrowerTargets(usize),
    /// Too many stages. Holds their number.
    #[error("stages: {0}, at most {MAX_STAGES}")]
    TooManyStages(usize),
    /// The maximum stage time is 0, so no stage could be applied in time.
    #[error("max_stage_time: 0, must be longer")]
    ZeroStageTime,
}

impl RolloutPlan {
    /// Creates one stage per share of all gateways, then one stage per zone that adds the zone to the last share.
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
    /// Fails at the first invalid key.
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

    /// The document of a stage. An index beyond the last stage gives the document for all gateways.
    pub fn document(&self, stage: usize) -> Document {
        Document {
            id: self.id.clone(),
            version: DocumentVersion { version: self.version, stage: stage as u32 },
            content: self.content.clone(),
            targets: self.stages.get(stage).map(|stage| stage.targets.clone()),
        }
    }

    /// The document of a rollback: a newer version with the previous content, for all gateways.
    pub fn rollback(&self) -> Document {
        Document {
            id: self.id.clone(),
            version: DocumentVersion { version: self.version + 1, stage: 0 },
            content: self.previous.clone(),
            targets: None,
        }
    }
}
