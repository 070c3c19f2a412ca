//! The operator files that are defined and checked by the packages which they configure.
use super::error::{FileError, FileProblem};
use crate::operator_file::{parse, read_text, schema};
use larchway_cluster::FleetFile;
use larchway_distribution::events_file::EventsFile;
use larchway_load_sharing::SpreadFile;
use larchway_object_cache::CopiesFile;
use serde::de::DeserializeOwned;

/// Reads an operator file and has its package check the values; errors name the file and the key.
fn checked<T, E>(path: &str, check: impl Fn(&T) -> Result<(), E>) -> Result<T, FileError>
where
    T: DeserializeOwned,
    FileProblem: From<E>,
{
    let text = read_text(path)?;
    let file: T = parse(&text).map_err(|error| FileError::invalid(path, error))?;
    check(&file).map_err(|error| FileError::invalid(path, error))?;
    Ok(file)
}

/// Reads the file of the gateway's own cached copies.
pub fn copies_file(path: &str) -> Result<CopiesFile, FileError> {
    checked(path, CopiesFile::check)
}

/// Reads the file by which the load is spread.
pub fn spread_file(path: &str) -> Result<SpreadFile, FileError> {
    checked(path, SpreadFile::check)
}

/// Reads the file of the fleet.
pub fn fleet_file(path: &str) -> Result<FleetFile, FileError> {
    checked(path, FleetFile::check)
}

/// Reads the file of the events.
pub fn events_file(path: &str) -> Result<EventsFile, FileError> {
    checked(path, EventsFile::check)
}

/// The schema of the file of the gateway's own cached copies.
pub fn copies_schema() -> String {
    schema::<CopiesFile>()
}

/// The schema of the file by which the load is spread.
pub fn spread_schema() -> String {
    schema::<SpreadFile>()
}

/// The schema of the file of the fleet.
pub fn fleet_schema() -> String {
    schema::<FleetFile>()
}

/// The schema of the file of the events.
pub fn events_schema() -> String {
    schema::<EventsFile>()
}
