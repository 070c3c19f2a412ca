//! The folder of a trial's files.
use super::TrialError;
use std::path::{Path, PathBuf};

/// Set to keep the folders of trials, to look at their logs.
const KEEP_VARIABLE: &str = "LARCHWAY_LAB_KEEP";

/// A folder that is removed with this, unless [`KEEP_VARIABLE`] is set. Of the fields of a struct it stands last: the
/// processes that write to it end before it goes.
pub(super) struct ScratchFolder(PathBuf);

impl ScratchFolder {
    /// Makes one for this process; `name` distinguishes it from the process's others.
    ///
    /// # Errors
    /// Those of making a folder.
    pub(super) fn new(name: &str) -> Result<Self, TrialError> {
        let path = std::env::temp_dir().join(format!("larchway-lab-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(TrialError::io(path.display().to_string()))?;
        Ok(ScratchFolder(path))
    }

    /// Its path.
    pub(super) fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        if std::env::var_os(KEEP_VARIABLE).is_none() {
            // A folder that stays is no fault of the measurement.
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
