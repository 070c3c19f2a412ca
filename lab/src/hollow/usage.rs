//! Processor time and memory of a process, as the kernel counts them.
use std::path::PathBuf;

/// Nanoseconds in a microsecond.
const NS_PER_US: u64 = 1000;

/// Microseconds of processor time that all threads of a process have used, those of threads that have ended left out.
pub fn processor_us(process: u32) -> Result<u64, String> {
    let tasks = PathBuf::from(format!("/proc/{process}/task"));
    let entries = std::fs::read_dir(&tasks).map_err(|e| format!("{}: {e}", tasks.display()))?;
    let nanoseconds = entries.flatten().filter_map(|task| on_processor_ns(task.path().join("schedstat")));
    Ok(nanoseconds.sum::<u64>() / NS_PER_US)
}

/// Microseconds of processor time that the calling thread has used. The kernel brings the figure up to date when the
/// thread is scheduled, else with each tick of some ms: so it yields first.
pub fn thread_processor_us() -> Result<u64, String> {
    std::thread::yield_now();
    let path = PathBuf::from("/proc/thread-self/schedstat");
    on_processor_ns(path).map(|ns| ns / NS_PER_US).ok_or_else(|| "the kernel keeps no schedstat".into())
}

/// Bytes of memory that a process holds.
pub fn resident_bytes(process: u32) -> Result<u64, String> {
    let path = format!("/proc/{process}/status");
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
    kilobytes.map(|kb| kb * 1024).ok_or_else(|| format!("{path}: it names no VmRSS"))
}

/// The first field of a schedstat file: nanoseconds on a processor.
fn on_processor_ns(path: PathBuf) -> Option<u64> {
    std::fs::read_to_string(path).ok()?.split_whitespace().next()?.parse().ok()
}
