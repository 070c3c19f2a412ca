//! A source of numbered events on one thread, for thousands of followers: one log of encoded bytes, and of each
//! follower only how far it was sent. It is driven by [`Command`]s as JSON lines, and answers each with one JSON line.
mod messages;
mod server;

pub use messages::{Command, Counted};
pub use server::Source;

use std::io::{self, BufRead};

/// Why the process of a source has ended.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// It could not listen.
    #[error("the source: {0}")]
    Start(io::Error),
    /// Its poller or its standard output failed.
    #[error(transparent)]
    Run(io::Error),
}

/// The process: reads commands from the standard input until it ends.
///
/// # Errors
/// [`SourceError`] if the source could not listen, poll or answer.
pub fn run() -> Result<(), SourceError> {
    let (sender, commands) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(command) = serde_json::from_str::<Command>(&line) else { return };
            if sender.send(command).is_err() {
                return;
            }
        }
    });
    let mut source = Source::start().map_err(SourceError::Start)?;
    source.run(&commands, io::stdout().lock()).map_err(SourceError::Run)
}
