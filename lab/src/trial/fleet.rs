//! A small fleet on loopback: gateways as processes of their own, boxes, an ensemble, a bulletin.
use crate::stand::bulletin::Bulletin;
use crate::stand::ensemble::Keepers;
use crate::stand::registrar::Registrar;
use crate::stand::store::Store;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::time::Duration;

/// A box with its session.
pub struct Member {
    /// Its name.
    pub name: String,
    /// `standard`, `parent` or `origin`.
    pub class: &'static str,
    /// The box.
    pub store: Store,
    /// Its session.
    pub registrar: Registrar,
}

impl Member {
    /// Its entry in the list, and its node's data.
    pub fn entry(&self, health: &str) -> String {
        let site = if self.class == "standard" { "edge" } else { "east" };
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{site}","class":"{}","health":"{health}","share":4,"born_ms":0}}"#,
            self.name, self.store.address, self.class
        )
    }
}

/// A gateway's process.
pub struct Gateway {
    child: Child,
    /// Its number.
    pub at: usize,
    /// Where its front listens.
    pub front: SocketAddr,
    /// Its admin socket.
    pub admin: PathBuf,
    /// Its log.
    pub log: PathBuf,
}

/// All of it. Processes end with it.
pub struct Fleet {
    /// The ensemble.
    pub keepers: Keepers,
    /// The bulletin.
    pub bulletin: Bulletin,
    /// The boxes.
    pub members: Vec<Member>,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    dir: PathBuf,
}

/// How long a box's session lives without it, ms.
pub const SESSION_MS: u64 = 2000;

/// The settings of all trials.
pub fn settings() -> &'static str {
    SETTINGS
}

impl Gateway {
    /// The number of its process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Kills it as an outright kill does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Has it read its files again.
    pub fn hup(&self) -> Result<(), String> {
        self.signal("HUP")
    }

    /// Sends it a signal, by name: `STOP` has it stand still, `CONT` go on.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let line = format!("kill -{name} {}", self.child.id());
        let done = Command::new("sh").args(["-c", &line]).status().map_err(|e| format!("kill: {e}"))?;
        done.success().then_some(()).ok_or_else(|| format!("{line} fails"))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a gateway's process with its configuration and further files, each named by its flag.
pub fn spawn(dir: &Path, at: usize, config: &str, files: &[(&str, String)]) -> Result<Gateway, String> {
    let path = |what: &str| dir.join(format!("g{at}.{what}"));
    let write = |path: &Path, text: &str| {
        std::fs::write(path, text).map_err(|e| format!("cannot write {}: {e}", path.display()))
    };
    write(&path("config.json"), config)?;
    // A test is another program than the laboratory, and names it.
    let own = std::env::var_os("LARCHWAY_LAB").map(PathBuf::from);
    let own = own.map_or_else(std::env::current_exe, Ok).map_err(|e| format!("the own program: {e}"))?;
    let mut command = Command::new(own);
    command.arg("daemon");
    for (flag, text) in files {
        write(&path(flag), text)?;
        command.arg(format!("--{flag}")).arg(path(flag));
    }
    let mut child = command
        .env("EDGE_CONFIG", path("config.json"))
        .env("EDGE_NAME", format!("g{at}"))
        .env("EDGE_LISTEN", "127.0.0.1:0")
        .stderr(Stdio::piped())
        .spawn()
        .map_err(|e| format!("a gateway: {e}"))?;
    let (found, address) = channel();
    let log = path("log");
    let mut kept = std::fs::File::create(&log).map_err(|e| format!("a log: {e}"))?;
    if let Some(lines) = child.stderr.take() {
        std::thread::spawn(move || {
            for line in BufReader::new(lines).lines().map_while(Result::ok) {
                if let Some((_, address)) = line.split_once("listening on ") {
                    let _ = found.send(address.parse::<SocketAddr>());
                }
                let _ = writeln!(kept, "{} {line}", crate::clock::now() / 1000);
            }
        });
    }
    match address.recv_timeout(Duration::from_secs(10)) {
        Ok(Ok(front)) => Ok(Gateway { child, at, front, admin: path("admin"), log }),
        _ => {
            let _ = child.kill();
            let _ = child.wait();
            Err(format!("gateway {at} does not listen: see {}", log.display()))
        }
    }
}

const SETTINGS: &str = r#"{"balancers":3,"familyInfo":{"canJoin":true,"goneEverywhereMs":6000.0,"graceForMs":[0],
 "lifetimeByClassMs":[0],"mayPassBy":true,"neverKept":[false],"noteLevel":"all","oneFlowKbPerS":7800,
 "peersFill":"any","shieldKind":1,"storeKind":2,"upperColdMs":21000,"zoneBalancers":[0,3]},
 "limits":{"cancel":true,"connIdleMs":30000,"connectTimeoutMs":400,"maxAttempts":8,"maxRetryAfterMs":1000,"mayDuplicate":true,"retryAfter":true},
 "locality":1,"membershipMode":"push","models":["standard","parent","origin"],
 "services":[{"aimStretch":1.6,"deadlineMs":1000,"effect":"pure","name":"history-files","targetMs":150}],
 "weightKind":"rough","zones":["east","edge"]}"#;

impl Fleet {
    /// Starts boxes and their sessions, the bulletin, the ensemble, and so many gateways with this part of the
    /// ensemble's file. `name` tells its files from those of others.
    pub fn start(name: &str, caches: usize, gateways: usize, file: &str, seed: u64) -> Result<Self, String> {
        let io = |what: &str, e: std::io::Error| format!("{what}: {e}");
        let dir = std::env::temp_dir().join(format!("larchway-lab-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|e| io("cannot make a folder", e))?;
        let any: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
        let keepers = Keepers::start(any, 3).map_err(|e| io("the ensemble", e))?;
        let bulletin = Bulletin::start().map_err(|e| io("the bulletin", e))?;
        let mut fleet = Fleet { keepers, bulletin, members: Vec::new(), gateways: Vec::new(), dir };
        for at in 0..caches {
            fleet.add(&format!("s-a{at}"), "standard", seed + at as u64)?;
        }
        for (at, (name, class)) in
            [("s-b0", "parent"), ("s-b1", "parent"), ("s-c0", "origin")].iter().enumerate()
        {
            fleet.add(name, class, seed + 100 + at as u64)?;
        }
        let deadline = std::time::Instant::now() + Duration::from_secs(10);
        while !fleet.members.iter().all(|m| m.registrar.registered()) {
            if std::time::Instant::now() > deadline {
                return Err("the boxes do not register".into());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let entries: Vec<String> = fleet.members.iter().map(|m| m.entry("up")).collect();
        fleet.bulletin.roster(true, &entries);
        for at in 0..gateways {
            let gateway = fleet.gateway(at, &entries, file, seed)?;
            fleet.gateways.push(gateway);
        }
        Ok(fleet)
    }

    /// A box by its name.
    pub fn member(&self, name: &str) -> &Member {
        self.members.iter().find(|m| m.name == name).expect("a trial names its own boxes")
    }

    fn add(&mut self, name: &str, class: &'static str, seed: u64) -> Result<(), String> {
        let store = Store::start(Duration::from_millis(5), 1000).map_err(|e| format!("a box: {e}"))?;
        let servers = self.keepers.servers.clone();
        let registrar = Registrar::start(servers, "/stores", name, b"", SESSION_MS, seed);
        let member = Member { name: name.into(), class, store, registrar };
        member.registrar.set(member.entry("up").as_bytes());
        self.members.push(member);
        Ok(())
    }

    fn gateway(&self, at: usize, entries: &[String], file: &str, seed: u64) -> Result<Gateway, String> {
        let config = format!(
            r#"{{"seed":"{:x}","limits":{{"cores":1.0,"memory_mb":64,"sockets":512}},"bulletin":"{}",
            "known":{{"no":1,"items":[{{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[{}]}}}}]}},"settings":{SETTINGS}}}"#,
            seed + at as u64,
            self.bulletin.address,
            entries.join(",")
        );
        let servers: Vec<String> = self.keepers.servers.iter().map(|s| format!("\"{s}\"")).collect();
        let admin = self.dir.join(format!("g{at}.admin"));
        let ensemble = format!(
            r#"{{"servers":[{}],"path":"/larchway","session_ms":{SESSION_MS},"admin":"{}"{file}}}"#,
            servers.join(","),
            admin.display()
        );
        spawn(&self.dir, at, &config, &[("ensemble", ensemble)])
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.gateways.clear();
        if std::env::var_os("LARCHWAY_LAB_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
