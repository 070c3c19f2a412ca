//! Processor time and memory of a process, as the kernel counts them.
use super::error::UsageError;
use std::path::PathBuf;

/// Nanoseconds in a microsecond.
const NS_PER_US: u64 = 1000;
/// Bytes in what the kernel calls a kB.
const BYTES_PER_KILOBYTE: u64 = 1024;

/// Microseconds of processor time that all threads of a process have used, those of threads that have ended left out.
pub fn processor_us(process: u32) -> Result<u64, UsageError> {
    let tasks = PathBuf::from(format!("/proc/{process}/task"));
    let entries = std::fs::read_dir(&tasks).map_err(UsageError::read(tasks))?;
    let nanoseconds = entries.flatten().filter_map(|task| on_processor_ns(task.path().join("schedstat")));
    Ok(nanoseconds.sum::<u64>() / NS_PER_US)
}

/// Microseconds of processor time that the calling thread has used. The kernel brings the figure up to date when the
/// thread is scheduled, else with each tick of some ms: so it yields first.
pub fn thread_processor_us() -> Result<u64, UsageError> {
    std::thread::yield_now();
    let path = PathBuf::from("/proc/thread-self/schedstat");
    on_processor_ns(path).map(|ns| ns / NS_PER_US).ok_or(UsageError::NoSchedstat)
}

/// Bytes of memory that a process holds.
pub fn resident_bytes(process: u32) -> Result<u64, UsageError> {
    status_bytes(process, "VmRSS:")
}

/// The most bytes of memory that a process has held.
pub fn peak_bytes(process: u32) -> Result<u64, UsageError> {
    status_bytes(process, "VmHWM:")
}

/// Descriptors that a process has open.
pub fn descriptors(process: u32) -> Result<u64, UsageError> {
    let path = format!("/proc/{process}/fd");
    let entries = std::fs::read_dir(&path).map_err(UsageError::read(path))?;
    Ok(entries.flatten().count() as u64)
}

/// An amount of memory of the status file, by the name of its field with the colon.
fn status_bytes(process: u32, field: &'static str) -> Result<u64, UsageError> {
    let path = PathBuf::from(format!("/proc/{process}/status"));
    let text = std::fs::read_to_string(&path).map_err(UsageError::read(&path))?;
    let line = text.lines().find_map(|line| line.strip_prefix(field));
    let kilobytes = line.and_then(|rest| rest.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
    kilobytes.map(|kb| kb * BYTES_PER_KILOBYTE).ok_or(UsageError::NoField { path, field })
}

/// The first field of a schedstat file: nanoseconds on a processor.
fn on_processor_ns(path: PathBuf) -> Option<u64> {
    std::fs::read_to_string(path).ok()?.split_whitespace().next()?.parse().ok()
}
