//! The report of the counters in StatsD format. `docs/operate/operations.md` documents the metric names.
use super::{CountedClass, Gauges, MemoryGauges, RequestCounters};
use std::fmt::Write;

impl RequestCounters {
    /// Returns all metrics as StatsD lines. `|c` values count since the process started, `|g` values are current.
    pub fn report(&self, gauges: Gauges) -> String {
        let mut report = String::new();
        for CountedClass { name, counts } in self.classes() {
            let class = escape_name(name);
            write_metric(&mut report, &format!("passed.{class}"), counts.served, COUNTER);
            write_metric(&mut report, &format!("dropped.{class}"), counts.rejected, COUNTER);
            write_metric(&mut report, &format!("bad_gateway.{class}"), counts.failed, COUNTER);
        }
        write_metric(&mut report, "upstream_tries", self.attempts, COUNTER);
        write_metric(&mut report, "in_progress", self.in_progress(), GAUGE);
        write_metric(&mut report, "known_stores", gauges.known_stores as u64, GAUGE);
        write_metric(&mut report, "skipped_stores", gauges.skipped_stores as u64, GAUGE);
        write_metric(&mut report, "loads", self.reloads, COUNTER);
        write_metric(&mut report, "load_errors", self.reload_errors, COUNTER);
        write_metric(&mut report, "unsaved_files", gauges.unsaved_files as u64, GAUGE);
        write_metric(&mut report, "warming_stores", gauges.warming_stores as u64, GAUGE);
        let rejections = gauges.rejections;
        write_metric(&mut report, "given_up.attempts", rejections.attempts_exhausted, COUNTER);
        write_metric(&mut report, "given_up.no_store", rejections.no_server, COUNTER);
        write_metric(&mut report, "given_up.slow_start", rejections.slow_start, COUNTER);
        write_metric(&mut report, "given_up.not_in_time", rejections.not_in_time, COUNTER);
        write_memory(&mut report, &gauges.memory);
        report
    }
}

/// StatsD type of a counter, which here counts since the process started.
const COUNTER: char = 'c';
/// StatsD type of a gauge, the current value.
const GAUGE: char = 'g';

/// Writes the limit on memory, the private memory, and its holders, which add up to it.
fn write_memory(report: &mut String, memory: &MemoryGauges) {
    let values = [
        ("limit", memory.limit),
        ("private", memory.private),
        ("client_buffers", memory.client_buffers),
        ("store_buffers", memory.store_buffers),
        ("spare_pages", memory.spare_pages),
        ("copies", memory.copies),
        ("request_bodies", memory.request_bodies),
        ("other", memory.other()),
    ];
    for (name, bytes) in values {
        write_metric(report, &format!("memory.{name}"), bytes as u64, GAUGE);
    }
}

fn write_metric(report: &mut String, name: &str, value: u64, kind: char) {
    let _ = writeln!(report, "svc.{name}:{value}|{kind}");
}

/// Escapes a class name for a StatsD line. Delimiters, white space and control characters are percent-encoded as in
/// RFC 3986; other characters stay, including those outside ASCII.
fn escape_name(name: &str) -> String {
    let mut escaped = String::new();
    for c in name.chars() {
        match c {
            ':' | '|' | '@' | '#' | '%' | '.' => {
                let _ = write!(escaped, "%{:02X}", u32::from(c));
            }
            c if c.is_whitespace() || c.is_control() => {
                let mut bytes = [0; 4];
                for byte in c.encode_utf8(&mut bytes).bytes() {
                    let _ = write!(escaped, "%{byte:02X}");
                }
            }
            c => escaped.push(c),
        }
    }
    escaped
}
