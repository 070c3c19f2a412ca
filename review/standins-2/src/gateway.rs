//! The software under test, started by the command of the deploy file.
use crate::client::Client;
use crate::record::Record;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, unused1: u64, unused2: u64, unused3: u64) -> i32;
}

/// A free address of a host. The port was free a moment ago.
pub fn free_address(host: &str) -> std::io::Result<SocketAddr> {
    TcpListener::bind((host, 0))?.local_addr()
}

/// The `run` command of the deploy file.
pub fn run_command(root: &Path) -> Option<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("run"))?;
    let value = line.trim_start().strip_prefix('=')?.trim().strip_prefix('"')?;
    Some(value[..value.find('"')?].to_string())
}

/// A running gateway. It is killed when this is dropped.
pub struct Gateway {
    child: Child,
    pub listen: SocketAddr,
    record: Record,
    name: String,
}

/// What a gateway is started with.
pub struct Start<'a> {
    pub root: &'a Path,
    pub name: &'a str,
    pub listen: SocketAddr,
    pub console: Option<SocketAddr>,
    pub config: &'a Path,
    pub scratch: &'a Path,
    pub log: PathBuf,
}

impl Gateway {
    /// Starts a process.
    pub fn start(record: &Record, start: &Start<'_>) -> Option<Gateway> {
        let run = run_command(start.root)?;
        if !start.root.join("target/release/larchway").exists() {
            return None;
        }
        let log = File::create(&start.log).ok()?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&run).current_dir(start.root).stdin(Stdio::null());
        command.stdout(log.try_clone().ok()?).stderr(log);
        command.env("EDGE_NAME", start.name).env("EDGE_LISTEN", start.listen.to_string());
        command.env("EDGE_CONFIG", start.config).env("TMPDIR", start.scratch);
        if let Some(console) = start.console {
            command.env("EDGE_CONSOLE", console.to_string());
        }
        // The process ends with this one, however this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().ok()?;
        record.tell(format!("gateway {}: process {} is started: {run}", start.name, child.id()));
        Some(Gateway { child, listen: start.listen, record: record.clone(), name: start.name.to_string() })
    }

    /// Waits until the gateway is well.
    pub fn wait_until_well(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if Client::connect(self.listen).is_some_and(|mut client| client.is_well()) {
                self.record.tell(format!("gateway {}: says that it is well", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        self.record.tell(format!("gateway {}: signal {signal} to process {}", self.name, self.child.id()));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// The private memory of the process, in kB.
    pub fn private_kb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        line.and_then(|text| text.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or(0)
    }

    /// Whether the process has ended; says how.
    pub fn has_ended(&mut self) -> bool {
        let status = self.child.try_wait().ok().flatten();
        if let Some(status) = status {
            self.record.tell(format!(
                "gateway {}: process {} has ended: {status}",
                self.name,
                self.child.id()
            ));
        }
        status.is_some()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
