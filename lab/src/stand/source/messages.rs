//! The commands to a source of events and its answers, as JSON lines.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A command to the source.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Publish so many purges a second from now on; 0: none.
    Rate {
        /// Purges a second.
        events: u64,
    },
    /// Publish so many purges at once.
    Burst {
        /// How many.
        events: u64,
    },
    /// Publish this list of stores, as the JSON of its entries.
    Stores {
        /// Whether the list is complete.
        #[serde(rename = "whole")]
        complete: bool,
        /// The entries.
        hosts: Vec<serde_json::Value>,
    },
    /// Report what was counted: see [`Counted`].
    Report,
}

/// What the source has done.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Counted {
    /// Where it listens.
    pub port: u16,
    /// The number of the last event.
    pub last: u64,
    /// Bytes sent to all followers.
    pub bytes: u64,
    /// Followers that are connected.
    pub followers: usize,
    /// Bytes of the log.
    pub log_bytes: usize,
    /// When each event was published, in µs of the Unix clock, by its number.
    #[serde(rename = "told_us")]
    pub published_us: BTreeMap<u64, u64>,
}
