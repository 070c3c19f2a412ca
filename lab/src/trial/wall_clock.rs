//! The wall clock of a gateway's process, shifted by the preloaded library. The steady clocks stay as they are.
use super::gateway::laboratory;
use super::TrialError;
use larchway_fault_plan::{CLOCK_OFFSET_SLOT, PLAN_BYTES, PLAN_VARIABLE, SLOT_BYTES};
use std::path::{Path, PathBuf};

/// The library, as it is built beside the laboratory's program or its tests.
const LIBRARY: &str = "liblarchway_preload.so";
/// The folder in which Cargo puts it where it is built for tests.
const DEPENDENCIES: &str = "deps";
const MICROS_PER_SECOND: i64 = 1_000_000;

/// The environment of a process whose wall clock is ahead by so many seconds, behind if below 0. `plan` is the path of
/// its file.
///
/// # Errors
/// The file cannot be written, or the library is not built.
pub(super) fn ahead_by(seconds: i64, plan: &Path) -> Result<Vec<(&'static str, String)>, TrialError> {
    if seconds == 0 {
        return Ok(Vec::new());
    }
    let mut slots = vec![0; PLAN_BYTES];
    let offset = (seconds * MICROS_PER_SECOND).to_ne_bytes();
    slots[CLOCK_OFFSET_SLOT * SLOT_BYTES..][..SLOT_BYTES].copy_from_slice(&offset);
    std::fs::write(plan, slots).map_err(TrialError::io(plan.display().to_string()))?;
    Ok(vec![("LD_PRELOAD", library()?.display().to_string()), (PLAN_VARIABLE, plan.display().to_string())])
}

fn library() -> Result<PathBuf, TrialError> {
    let program = laboratory()?;
    let folder = program.parent().unwrap_or(Path::new("."));
    let places = [folder.join(LIBRARY), folder.join(DEPENDENCIES).join(LIBRARY)];
    let built = places.into_iter().find(|place| place.exists());
    built
        .ok_or_else(|| TrialError::Unexpected(format!("{LIBRARY} is not built beside {}", program.display())))
}
