//! A gateway as a process of its own, started by the laboratory's own program.
use super::TrialError;
use std::io::{BufRead, BufReader, Write};
use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{channel, Sender};
use std::time::Duration;

/// How long a gateway may take until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Stands before the address in the log line of a gateway that listens.
const LISTENING: &str = "listening on ";

/// A gateway's process; it is killed with this.
pub struct Gateway {
    child: Child,
    /// Its number.
    pub number: usize,
    /// Where its front listens.
    pub front: SocketAddr,
    /// Its admin socket.
    pub admin: PathBuf,
    /// Its log.
    pub log: PathBuf,
}

impl Gateway {
    /// Starts one with its configuration and further files, each named by its flag, in a folder for all of them.
    pub fn start(
        dir: &Path,
        number: usize,
        config: &str,
        files: &[(&str, String)],
    ) -> Result<Self, TrialError> {
        Gateway::start_in(dir, number, config, files, &[])
    }

    /// The same, with further environment variables.
    pub fn start_in(
        dir: &Path,
        number: usize,
        config: &str,
        files: &[(&str, String)],
        environment: &[(&str, String)],
    ) -> Result<Self, TrialError> {
        let path = |what: &str| dir.join(format!("g{number}.{what}"));
        let (config_path, log) = (path("config.json"), path("log"));
        write(&config_path, config)?;
        // Before the process is there: one that is not returned would live on.
        let log_file = std::fs::File::create(&log).map_err(TrialError::io("a log"))?;
        let mut command = Command::new(laboratory()?);
        command.arg("daemon");
        for (flag, text) in files {
            write(&path(flag), text)?;
            command.arg(format!("--{flag}")).arg(path(flag));
        }
        let mut child = command
            .env("EDGE_CONFIG", config_path)
            .env("EDGE_NAME", format!("g{number}"))
            .env("EDGE_LISTEN", "127.0.0.1:0")
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .stderr(Stdio::piped())
            .spawn()
            .map_err(TrialError::io("a gateway"))?;
        let (listening, address) = channel();
        if let Some(lines) = child.stderr.take() {
            std::thread::spawn(move || copy_log(lines, log_file, &listening));
        }
        if let Ok(Ok(front)) = address.recv_timeout(START_TIMEOUT) {
            return Ok(Gateway { child, number, front, admin: path("admin"), log });
        }
        let _ = child.kill();
        let _ = child.wait();
        Err(TrialError::NotListening { number, log })
    }

    /// The id of its process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Kills it as an outright kill does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Has it read its files again.
    pub fn reload(&self) -> Result<(), TrialError> {
        self.signal("HUP")
    }

    /// Sends it a signal, by name: `STOP` pauses it, `CONT` has it go on.
    pub fn signal(&self, name: &str) -> Result<(), TrialError> {
        let line = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &line]).status().map_err(TrialError::io("kill"))?;
        status.success().then_some(()).ok_or(TrialError::Signal(line))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn write(path: &Path, text: &str) -> Result<(), TrialError> {
    std::fs::write(path, text).map_err(TrialError::io(format!("cannot write {}", path.display())))
}

/// The laboratory's program. A test is another program, and names it.
pub(super) fn laboratory() -> Result<PathBuf, TrialError> {
    let named = std::env::var_os("LARCHWAY_LAB").map(PathBuf::from);
    named.map_or_else(std::env::current_exe, Ok).map_err(TrialError::io("the own program"))
}

/// Copies a gateway's log to its file, each line with its time in ms, and sends on the address where it listens.
fn copy_log(
    lines: ChildStderr,
    mut file: std::fs::File,
    listening: &Sender<Result<SocketAddr, AddrParseError>>,
) {
    for line in BufReader::new(lines).lines().map_while(Result::ok) {
        if let Some((_, address)) = line.split_once(LISTENING) {
            let _ = listening.send(address.parse::<SocketAddr>());
        }
        let _ = writeln!(file, "{} {line}", crate::clock::now() / 1000);
    }
}
