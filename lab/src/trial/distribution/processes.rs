//! The processes of the trial: relays and hollow followers, each this same program.
use crate::followers::{self, Seen};
use crate::http;
use crate::stand::event_source::cpu_ms;
use crate::trial::TrialError;
use larchway_distribution::EventNumber;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::time::Duration;

const START: Duration = Duration::from_secs(20);

fn own_program() -> Result<PathBuf, TrialError> {
    // A test is another program than the laboratory, and names it.
    let own = std::env::var_os("LARCHWAY_LAB").map(PathBuf::from);
    own.map_or_else(std::env::current_exe, Ok).map_err(TrialError::io("the own program"))
}

/// A relay.
pub struct RelayProcess {
    /// Where it listens.
    pub address: SocketAddr,
    child: Child,
    file: RelayFile,
}

/// What a relay's file is written from.
#[derive(Clone)]
struct RelayFile {
    path: PathBuf,
    name: String,
    /// Its sources, as a JSON list.
    sources: String,
    /// Further keys, each with a comma before it.
    more: String,
}

impl RelayFile {
    fn write(&self, listen: SocketAddr) -> Result<(), TrialError> {
        let RelayFile { path, name, sources, more } = self;
        let text = format!(r#"{{"listen":"{listen}","sources":{sources},"name":"{name}"{more}}}"#);
        std::fs::write(path, text).map_err(TrialError::io(format!("cannot write {}", path.display())))
    }
}

impl RelayProcess {
    /// Starts one; `more`: further keys of its file, each with a comma before it.
    pub fn start(
        dir: &Path,
        name: &str,
        sources: &[SocketAddr],
        more: &str,
    ) -> Result<RelayProcess, TrialError> {
        let file = RelayFile {
            path: dir.join(format!("{name}.json")),
            name: name.to_string(),
            sources: json_list(sources),
            more: more.to_string(),
        };
        Self::spawn(SocketAddr::from(([127, 0, 0, 1], 0)), file)
    }

    /// Kills it and starts it anew at its address, without its log.
    pub fn restart(mut self) -> Result<RelayProcess, TrialError> {
        self.kill();
        Self::spawn(self.address, self.file.clone())
    }

    fn spawn(listen: SocketAddr, file: RelayFile) -> Result<RelayProcess, TrialError> {
        file.write(listen)?;
        let mut command = Command::new(own_program()?);
        command.arg("relay").arg("--relay").arg(&file.path).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(TrialError::io("a relay"))?;
        let log =
            child.stderr.take().ok_or_else(|| TrialError::Unexpected("a relay without a log".into()))?;
        let (found, address) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                if let Some((_, address)) = line.split_once("listening on ") {
                    let _ = found.send(address.parse::<SocketAddr>());
                }
            }
        });
        let address = address
            .recv_timeout(START)
            .map_err(|_| TrialError::NotInTime(format!("{} does not listen", file.name)))?;
        let address = address.map_err(|e| TrialError::Unexpected(format!("{}: {e}", file.name)))?;
        Ok(RelayProcess { address, child, file })
    }

    /// The id of its process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Processor time so far.
    pub fn cpu(&self) -> Duration {
        Duration::from_millis(cpu_ms(&format!("/proc/{}/stat", self.child.id())).unwrap_or(0))
    }

    /// Kills it.
    pub fn kill(&mut self) {
        // One that has ended already is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends it a signal by name.
    pub fn signal(&self, name: &str) -> Result<(), TrialError> {
        let status = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        status.map(|_| ()).map_err(TrialError::io(format!("kill {name}")))
    }

    /// The figures at `/positions`.
    pub fn status(&self) -> Result<serde_json::Value, TrialError> {
        Ok(http::get_json(self.address, "/positions")?)
    }

    /// The documents of configuration at `/documents`.
    pub fn documents(&self) -> Result<serde_json::Value, TrialError> {
        Ok(http::get_json(self.address, "/documents")?)
    }

    /// How it stands with an event, as `/positions/N` answers.
    pub fn done(&self, event: EventNumber) -> Result<serde_json::Value, TrialError> {
        Ok(http::get_json(self.address, &format!("/positions/{event}"))?)
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Addresses as a JSON list.
pub(super) fn json_list(addresses: &[SocketAddr]) -> String {
    let quoted: Vec<String> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
    format!("[{}]", quoted.join(","))
}

/// A process of hollow followers.
pub struct FollowerProcess {
    child: Child,
}

impl FollowerProcess {
    /// Starts so many.
    pub fn start(
        sources: &[SocketAddr],
        relays: bool,
        count: usize,
        seed: u64,
    ) -> Result<FollowerProcess, TrialError> {
        let mut command = Command::new(own_program()?);
        command.arg("followers").arg("--count").arg(count.to_string()).arg("--seed").arg(seed.to_string());
        for source in sources {
            command.arg("--source").arg(source.to_string());
        }
        if relays {
            command.arg("--relays");
        }
        let child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
        child.map(|child| FollowerProcess { child }).map_err(TrialError::io("followers"))
    }

    /// Processor time so far.
    pub fn cpu(&self) -> Duration {
        Duration::from_millis(cpu_ms(&format!("/proc/{}/stat", self.child.id())).unwrap_or(0))
    }

    /// Has all its followers leave their sources until [`FollowerProcess::come_back`].
    pub fn leave(&mut self) -> Result<(), TrialError> {
        self.order(followers::LEAVE)
    }

    /// Has all its followers come back at once.
    pub fn come_back(&mut self) -> Result<(), TrialError> {
        self.order(followers::COME_BACK)
    }

    fn order(&mut self, order: &str) -> Result<(), TrialError> {
        let input = self
            .child
            .stdin
            .as_mut()
            .ok_or_else(|| TrialError::Unexpected("followers without an input".into()))?;
        // In one write, as the followers read it.
        input.write_all(format!("{order}\n").as_bytes()).map_err(TrialError::io("followers"))
    }

    /// Ends it and returns what its followers have seen.
    pub fn finish(mut self) -> Result<Seen, TrialError> {
        drop(self.child.stdin.take());
        let mut text = String::new();
        let mut output = self
            .child
            .stdout
            .take()
            .ok_or_else(|| TrialError::Unexpected("followers without an output".into()))?;
        output.read_to_string(&mut text).map_err(TrialError::io("followers"))?;
        serde_json::from_str(&text).map_err(TrialError::json("followers"))
    }
}

impl Drop for FollowerProcess {
    fn drop(&mut self) {
        // One that has ended already is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
