//! Where a gateway's events come from, and how it subscribes to them.
use larchway::duration_micros;
use larchway_distribution::events_file::EventsFile;
use larchway_distribution::subscriber::{shuffled, SourceKind, SubscriberSettings};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest pause between two attempts to reach the source.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The least that the longest pause is, however short the time is in which an event must be acted on.
const MIN_MAX_BACKOFF: Duration = Duration::from_millis(25);

/// Where events come from, and what they are for.
#[derive(Debug, Clone, Default)]
pub struct EventsConfig {
    /// The gateway's name, by which its position is reported.
    pub name: String,
    /// The name of the gateway's zone, by which documents may be staged.
    pub zone: String,
    /// The source that the configuration names.
    pub bulletin: Option<SocketAddr>,
    /// Time within which an event must be acted on; none: unknown.
    pub notice: Option<Duration>,
    /// The operator file, if there is one; its relays take the place of the source.
    pub file: Option<EventsFile>,
}

impl EventsConfig {
    /// Whether documents of configuration are applied.
    pub(super) fn takes_documents(&self) -> bool {
        self.file.as_ref().is_some_and(|file| file.configuration)
    }

    /// The limit on the lag that the operator file sets.
    pub(super) fn lag_limit(&self) -> Option<Duration> {
        self.file.as_ref().map(|file| Duration::from_millis(file.lag_ms))
    }
}

/// How a gateway subscribes. The seed decides in which order it dials the relays.
pub(super) fn subscriber_settings(config: &EventsConfig, seed: u64) -> SubscriberSettings {
    let max_backoff = max_backoff(config.notice);
    let Some(file) = &config.file else {
        return SubscriberSettings {
            sources: config.bulletin.into_iter().collect(),
            kind: SourceKind::Plain,
            verify: false,
            restart_history: false,
            gzip: false,
            scope: None,
            max_backoff,
        };
    };
    SubscriberSettings {
        sources: shuffled(file.relays.clone(), seed),
        kind: SourceKind::Relay,
        verify: true,
        restart_history: true,
        gzip: file.gzip,
        scope: file.scope.clone(),
        max_backoff,
    }
}

/// The longest pause between two attempts. Danger: an event counts as announced once the source has it, and one that
/// comes just after the source is back must be acted on within the settings' time: half of it may be slept.
fn max_backoff(notice: Option<Duration>) -> Duration {
    let half = notice.map(|notice| Duration::from_micros(duration_micros(notice) / 2));
    half.map_or(MAX_BACKOFF, |half| half.clamp(MIN_MAX_BACKOFF, MAX_BACKOFF))
}
