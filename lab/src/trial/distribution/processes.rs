//! The processes of the trial: relays and hollow followers, each this same program.
use crate::followers::Seen;
use crate::stand::event_source::cpu_ms;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::time::Duration;

const START: Duration = Duration::from_secs(20);

fn own_program() -> Result<PathBuf, String> {
    // A test is another program than the laboratory, and names it.
    let own = std::env::var_os("LARCHWAY_LAB").map(PathBuf::from);
    own.map_or_else(std::env::current_exe, Ok).map_err(|e| format!("the own program: {e}"))
}

/// A relay.
pub struct RelayProcess {
    /// Where it listens.
    pub address: SocketAddr,
    child: Child,
}

impl RelayProcess {
    /// Starts one; `more`: further keys of its file, each with a comma before it.
    pub fn start(dir: &Path, name: &str, sources: &[SocketAddr], more: &str) -> Result<RelayProcess, String> {
        let sources: Vec<String> = sources.iter().map(|source| format!("\"{source}\"")).collect();
        let sources = sources.join(",");
        let text = format!(r#"{{"listen":"127.0.0.1:0","sources":[{sources}],"name":"{name}"{more}}}"#);
        let path = dir.join(format!("{name}.json"));
        std::fs::write(&path, text).map_err(|e| format!("cannot write {}: {e}", path.display()))?;
        let mut command = Command::new(own_program()?);
        command.arg("relay").arg("--relay").arg(&path).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(|e| format!("a relay: {e}"))?;
        let log = child.stderr.take().ok_or("a relay without a log")?;
        let (found, address) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                if let Some((_, address)) = line.split_once("listening on ") {
                    let _ = found.send(address.parse::<SocketAddr>());
                }
            }
        });
        let address = address.recv_timeout(START).map_err(|_| format!("{name} does not listen"))?;
        let address = address.map_err(|e| format!("{name}: {e}"))?;
        Ok(RelayProcess { address, child })
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
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let status = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        status.map(|_| ()).map_err(|e| format!("kill {name}: {e}"))
    }

    /// The figures at `/positions`.
    pub fn status(&self) -> Result<serde_json::Value, String> {
        let text = get(self.address, "/positions").map_err(|e| format!("/positions: {e}"))?;
        serde_json::from_str(&text).map_err(|e| format!("/positions: {e}"))
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn get(address: SocketAddr, path: &str) -> std::io::Result<String> {
    use std::io::Write;
    let mut stream = std::net::TcpStream::connect(address)?;
    stream.set_read_timeout(Some(START))?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text.split_once("\r\n\r\n").map(|(_, body)| body.to_string()).unwrap_or_default())
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
    ) -> Result<FollowerProcess, String> {
        let mut command = Command::new(own_program()?);
        command.arg("followers").arg("--count").arg(count.to_string()).arg("--seed").arg(seed.to_string());
        for source in sources {
            command.arg("--source").arg(source.to_string());
        }
        if relays {
            command.arg("--relays");
        }
        let child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
        child.map(|child| FollowerProcess { child }).map_err(|e| format!("followers: {e}"))
    }

    /// Processor time so far.
    pub fn cpu(&self) -> Duration {
        Duration::from_millis(cpu_ms(&format!("/proc/{}/stat", self.child.id())).unwrap_or(0))
    }

    /// Ends it and returns what its followers have seen.
    pub fn finish(mut self) -> Result<Seen, String> {
        drop(self.child.stdin.take());
        let mut text = String::new();
        let mut output = self.child.stdout.take().ok_or("followers without an output")?;
        output.read_to_string(&mut text).map_err(|e| format!("followers: {e}"))?;
        serde_json::from_str(&text).map_err(|e| format!("followers: {e}"))
    }
}

impl Drop for FollowerProcess {
    fn drop(&mut self) {
        // One that has ended already is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
