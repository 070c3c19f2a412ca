//! The log: each event of `tracing` is one line on the standard error, with its fields behind the text, and each call site
//! writes a few lines a second at most.
//!
//! ```text
//! larchway: TEXT FIELD=VALUE (COUNT like it left out)
//! ```
use crate::clock;
use std::collections::HashMap;
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::{Mutex, PoisonError};
use tracing::callsite::Identifier;
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::Registry;

/// Lines that one call site may write in a second.
const LINES_PER_SECOND: u64 = 5;
/// What is logged: nothing that is for the search of faults in the code alone.
const MOST_VERBOSE: LevelFilter = LevelFilter::INFO;
/// The field in which `tracing` passes an event's text.
const TEXT_FIELD: &str = "message";
/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Sends all events of this process to the standard error. Only the first call does anything.
pub fn install() {
    // An error says that a subscriber is installed already.
    let _ = tracing::subscriber::set_global_default(Registry::default().with(StandardErrorLog::default()));
}

/// Counts the lines of one call site.
#[derive(Debug, Default)]
struct RateLimit {
    /// The second of the last line.
    second: u64,
    /// Lines in that second, those included that were not written.
    lines: u64,
}

impl RateLimit {
    /// Whether a line may be written in this second; if so, how many were left out before it.
    fn admit(&mut self, second: u64) -> Option<u64> {
        if self.second != second {
            let left_out = self.lines.saturating_sub(LINES_PER_SECOND);
            *self = RateLimit { second, lines: 1 };
            return Some(left_out);
        }
        self.lines += 1;
        (self.lines <= LINES_PER_SECOND).then_some(0)
    }
}

/// Writes events to the standard error.
#[derive(Default)]
struct StandardErrorLog {
    /// The limit of each call site that has logged; there are as many as the program has, at most.
    limits: Mutex<HashMap<Identifier, RateLimit>>,
}

impl StandardErrorLog {
    fn admit(&self, call_site: Identifier) -> Option<u64> {
        let second = clock::now().as_micros() / MICROS_PER_SECOND;
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        limits.entry(call_site).or_default().admit(second)
    }
}

impl<S: Subscriber> Layer<S> for StandardErrorLog {
    fn on_event(&self, event: &Event<'_>, _context: Context<'_, S>) {
        let Some(left_out) = self.admit(event.metadata().callsite()) else { return };
        let mut line = Line::default();
        event.record(&mut line);
        let line = line.finish(left_out);
        // In one write, so that lines of two threads do not mix; a log that cannot be written has nowhere to say so.
        let _ = std::io::stderr().lock().write_all(line.as_bytes());
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(MOST_VERBOSE)
    }
}

/// The text and the fields of one event.
#[derive(Debug, Default)]
struct Line {
    text: String,
    fields: String,
}

impl Line {
    /// The complete line, which names how many like it were left out before.
    fn finish(self, left_out: u64) -> String {
        let Line { text, fields } = self;
        let mut line = format!("larchway: {text}{fields}");
        if left_out > 0 {
            let _ = write!(line, " ({left_out} like it left out)");
        }
        line.push('\n');
        line
    }
}

impl Visit for Line {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        // Writing to a string cannot fail.
        let _ = match field.name() {
            TEXT_FIELD => write!(self.text, "{value:?}"),
            name => write!(self.fields, " {name}={value:?}"),
        };
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        let _ = match field.name() {
            TEXT_FIELD => write!(self.text, "{value}"),
            name => write!(self.fields, " {name}={value:?}"),
        };
    }
}

#[cfg(test)]
mod tests;
