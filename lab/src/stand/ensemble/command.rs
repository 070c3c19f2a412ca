//! The commands that a script of faults consists of, one a line.
use super::servers::EnsembleServers;
use super::tree::Node;
use crate::clock::now;
use std::time::Duration;
use thiserror::Error;

/// What is wrong with a command.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The number of a server that there is not.
    #[error("{text:?} is no server; they are 0 to {last}")]
    UnknownServer {
        /// The argument.
        text: String,
        /// The number of the last server.
        last: usize,
    },
    /// A switch that is neither on nor off.
    #[error("{0:?} is neither on nor off")]
    InvalidSwitch(String),
    /// A duration that is no number.
    #[error("{0:?} is no number of milliseconds")]
    InvalidMilliseconds(String),
    /// A count that is no number.
    #[error("{0:?} is no number")]
    InvalidCount(String),
    /// A lag that is no number.
    #[error("{0:?} is no number of changes")]
    InvalidLag(String),
    /// A node whose session is to end, and that no session owns.
    #[error("no session owns {0}")]
    NotEphemeral(String),
    /// A line that is none of the commands.
    #[error(
        "{0:?} is no command; there are put PATH DATA, take PATH, expire PATH, expire-below PATH, \
         flap PATH MS TIMES, stall N on|off, refuse N on|off, lag N CHANGES, half N, cut N, lose, show"
    )]
    UnknownCommand(String),
}

/// Carries out one line of a script of faults; returns what it did.
///
/// # Errors
/// [`CommandError`] if the line is no command or an argument is wrong; nothing was changed then.
pub fn command(servers: &EnsembleServers, line: &str) -> Result<String, CommandError> {
    let arguments: Vec<&str> = line.split_whitespace().collect();
    match arguments[..] {
        ["put", path, ref data @ ..] => {
            let data = data.join(" ");
            servers.with(|ensemble| ensemble.put(now(), path, data.as_bytes(), 0));
            Ok(format!("put {path}"))
        }
        ["take", path] => {
            servers.with(|ensemble| ensemble.take(now(), path));
            Ok(format!("took {path}"))
        }
        ["expire", path] => expire(servers, path),
        ["expire-below", path] => {
            servers.with(|ensemble| ensemble.expire_below(now(), path));
            Ok(format!("ended all sessions below {path}"))
        }
        ["flap", path, pause_ms, times] => flap(servers, path, pause_ms, times),
        ["stall", server, state] => {
            let (server, state) = (parse_server(servers, server)?, parse_switch(state)?);
            servers.with(|ensemble| ensemble.servers[server].stalled = state);
            Ok(format!("server {server} stalled: {state}"))
        }
        ["refuse", server, state] => {
            let (server, state) = (parse_server(servers, server)?, parse_switch(state)?);
            servers.with(|ensemble| ensemble.servers[server].refusing = state);
            Ok(format!("server {server} refuses: {state}"))
        }
        ["lag", server, changes] => set_lag(servers, server, changes),
        ["half", server] => {
            let server = parse_server(servers, server)?;
            servers.with(|ensemble| ensemble.servers[server].truncates_next_frame = true);
            Ok(format!("server {server} cuts its next frame"))
        }
        ["cut", server] => {
            let server = parse_server(servers, server)?;
            servers.with(|ensemble| ensemble.cut(server));
            Ok(format!("server {server} broke its connections"))
        }
        ["lose"] => Ok(lose_sessions(servers)),
        ["show"] => Ok(list_nodes(servers)),
        _ => Err(CommandError::UnknownCommand(line.to_string())),
    }
}

fn parse_server(servers: &EnsembleServers, text: &str) -> Result<usize, CommandError> {
    let count = servers.servers.len();
    let server = text.parse().ok().filter(|server| *server < count);
    server.ok_or_else(|| CommandError::UnknownServer { text: text.to_string(), last: count - 1 })
}

fn parse_switch(text: &str) -> Result<bool, CommandError> {
    match text {
        "on" => Ok(true),
        "off" => Ok(false),
        _ => Err(CommandError::InvalidSwitch(text.to_string())),
    }
}

/// The session that owns a node, if it is ephemeral.
fn owner(servers: &EnsembleServers, path: &str) -> Option<i64> {
    servers.with(|ensemble| ensemble.owner(path)).filter(|owner| *owner != 0)
}

fn expire(servers: &EnsembleServers, path: &str) -> Result<String, CommandError> {
    let owner = owner(servers, path).ok_or_else(|| CommandError::NotEphemeral(path.to_string()))?;
    servers.with(|ensemble| ensemble.end(now(), owner));
    Ok(format!("ended {owner:#x}"))
}

/// Ends the session of a node as often as it comes back, with pauses between.
fn flap(servers: &EnsembleServers, path: &str, pause_ms: &str, times: &str) -> Result<String, CommandError> {
    let pause = pause_ms.parse().map_err(|_| CommandError::InvalidMilliseconds(pause_ms.to_string()))?;
    let times: u32 = times.parse().map_err(|_| CommandError::InvalidCount(times.to_string()))?;
    for _ in 0..times {
        if let Some(owner) = owner(servers, path) {
            servers.with(|ensemble| ensemble.end(now(), owner));
        }
        std::thread::sleep(Duration::from_millis(pause));
    }
    Ok(format!("ended the session of {path} {times} times"))
}

fn set_lag(servers: &EnsembleServers, server: &str, changes: &str) -> Result<String, CommandError> {
    let server = parse_server(servers, server)?;
    let lag = changes.parse().map_err(|_| CommandError::InvalidLag(changes.to_string()))?;
    servers.with(|ensemble| {
        ensemble.servers[server].lag = lag;
        ensemble.apply(server, lag);
    });
    Ok(format!("server {server} lies {lag} changes behind"))
}

/// Ends all sessions, then breaks all connections.
fn lose_sessions(servers: &EnsembleServers) -> String {
    servers.with(|ensemble| {
        ensemble.sessions().into_iter().for_each(|session| ensemble.end(now(), session));
    });
    (0..servers.servers.len()).for_each(|server| servers.with(|ensemble| ensemble.cut(server)));
    "all sessions are lost".into()
}

/// A line for each node: path, owner, data.
fn list_nodes(servers: &EnsembleServers) -> String {
    let describe = |(path, node): (&String, &Node)| {
        format!("{path} owner {:#x} {}", node.stat.owner, String::from_utf8_lossy(&node.data))
    };
    let lines: Vec<String> = servers.with(|ensemble| ensemble.tree().iter().map(describe).collect());
    lines.join("\n")
}
