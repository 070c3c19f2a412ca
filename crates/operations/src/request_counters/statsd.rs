//! The counters as lines of StatsD. Names of figures are those of `docs/operate/operations.md`.
use super::{CountedClass, Gauges, RequestCounters};
use std::fmt::Write;

impl RequestCounters {
    /// All figures as lines of StatsD: `|c` counts since the process began, `|g` is the present value.
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
        report
    }
}

/// StatsD's type of a value that counts up since the process began.
const COUNTER: char = 'c';
/// StatsD's type of a present value.
const GAUGE: char = 'g';

fn write_metric(report: &mut String, name: &str, value: u64, kind: char) {
    let _ = writeln!(report, "svc.{name}:{value}|{kind}");
}

/// A class's name for use in a line: what would end the name or the line is written as `%` and two hexadecimal
/// digits, as in RFC 3986; letters beyond ASCII stay.
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
