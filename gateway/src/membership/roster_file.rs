//! The file that saves the last roster for the next process.
use super::{Effect, EnsembleSettings, Membership, OwnInstance};
use crate::clock;
use crate::durable_file::{self, DurableFile};
use larchway::MonotonicTime;
use larchway_endpoints::snapshot::{Snapshot, MAX_SNAPSHOT_BYTES};
use tracing::info;

/// The file of this gateway's roster, if a folder is configured.
pub(super) fn roster_file(settings: &EnsembleSettings, own: &OwnInstance) -> Option<DurableFile> {
    let folder = settings.state_folder.as_ref()?;
    let name = durable_file::file_name(&own.name);
    Some(DurableFile::new(folder.join(format!("members-{name}.roster"))))
}

impl Membership {
    /// Loads the roster, unless there is none or it is too old.
    pub(super) fn load_roster(&self, now: MonotonicTime) -> Option<Snapshot> {
        let file = self.roster_file.as_ref()?;
        file.remove_leftovers();
        let anchor = clock::file_anchor();
        let max_age = self.settings.max_state_age;
        let decode = |bytes: &[u8]| Snapshot::decode(bytes, &anchor, max_age);
        let snapshot = file.load(MAX_SNAPSHOT_BYTES, decode)?;
        let age = now.saturating_since(snapshot.taken_at);
        info!(age_ms = age.as_millis(), "begins from a roster of {} boxes", snapshot.endpoints.len());
        Some(snapshot)
    }

    /// Replaces the file. The instance for the same path is retained, since it records whether a rejected version is
    /// still there.
    pub(super) fn set_roster_file(&mut self, now: MonotonicTime, roster_file: Option<DurableFile>) {
        if roster_file == self.roster_file {
            return;
        }
        self.roster_file = roster_file;
        // Otherwise the roster would only be saved with its next change. Without any endpoint yet, the roster that
        // another process has saved is left in place.
        if self.roster_file.is_some() && self.endpoints.endpoint_count() > 0 {
            self.save_due = Some(now);
        }
    }

    /// Saves the roster.
    pub(super) fn save_roster(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        self.save_due = None;
        if let Some(file) = self.roster_file.clone() {
            let content = self.endpoints.snapshot(now).encode(&clock::file_anchor());
            effects.push(Effect::Save { file, content });
        }
    }
}
