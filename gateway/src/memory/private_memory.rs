//! What the kernel counts as memory of a process alone.
use std::fs;

/// Bytes in the unit of the figure.
const KILOBYTE: usize = 1024;
/// The figure: anonymous pages that are in memory.
const PRIVATE_FIELD: &str = "RssAnon:";

/// Private memory of this process in bytes; none if it cannot be read now.
pub fn of_this_process() -> Option<usize> {
    read("/proc/self/status")
}

/// Private memory of another process of the same user in bytes; none if it cannot be read, as when it has ended.
pub fn of_process(id: u32) -> Option<usize> {
    read(&format!("/proc/{id}/status"))
}

fn read(path: &str) -> Option<usize> {
    parse(&fs::read_to_string(path).ok()?)
}

/// Reads the figure from a status file (proc_pid_status(5)).
fn parse(status: &str) -> Option<usize> {
    let value = status.lines().find_map(|line| line.strip_prefix(PRIVATE_FIELD))?;
    let kilobytes: usize = value.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * KILOBYTE)
}

#[cfg(test)]
mod tests;
