//! A small deployment: four edge caches, a parent, the origin, the bulletin, and clients.
use crate::bulletin::Bulletin;
use crate::client::{read_slowly, Answer, Client};
use crate::gateway::{free_address, Gateway, Start};
use crate::record::{unix_ms, Record};
use crate::store::{Kind, Log, Store};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The settings, shaped like the first deployment's, with its rules.
const SETTINGS: &str = r#"{"balancers":1,"me":0,"family":"edge","stage":0,"tiers":["edge-cache"],"tickMs":2,"familyInfo":{"canJoin":false,"classParts":[true,true,false],
 "goneEverywhereMs":6000.0,"graceForMs":[0,0,0],"homeHub":[0,0],"lifetimeByClassMs":[0,8000,0],"mayPassBy":false,
 "neverKept":[false,false,true],"noteLevel":"all","noticeTimeMs":300,"oneFlowKbPerS":7800,"parentBreaksAt":2,"parentFloor":0.061,
 "peersFill":"any","pipeKbPerS":[0,40000],"shieldKind":1,"storeKind":2,"upperColdMs":21000,"zoneBalancers":[0,1]},
 "limits":{"cancel":true,"connIdleMs":30000,"connectTimeoutMs":400,"maxAttempts":8,"maxRetryAfterMs":1000,"mayDuplicate":true,
 "mostHeld":4000,"peers":false,"probes":false,"retryAfter":true,"streamsPerConn":32},
 "locality":1,"membershipMode":"push","models":["standard","parent","origin"],
 "report":{"fields":[],"via":"none"},
 "rules":{"answerSlackMs":50,"stopSendingWithinMs":1000,"fallMs":2000,"fallMultiple":2.5,"startCapacity":0.21,"warmWithinMs":17000},
 "services":[{"aimStretch":1.6,"deadlineMs":6000,"effect":"pure","name":"history-files","targetMs":600,"worth":2,"lateShare":0.15},
 {"aimStretch":2,"deadlineMs":2500,"effect":"pure","name":"bid-status","targetMs":400,"worth":1,"lateShare":0.2},
 {"deadlineMs":3000,"effect":"token","group":"all","name":"bid-submit","targetMs":800,"windowMs":3000,"worth":3,"lateShare":0}],
 "valueBy":"request","weightKind":"rough","zones":["east","edge"]}"#;

/// One request of a client and its answer.
#[derive(Debug, Clone)]
pub struct Asked {
    /// When it was sent, in milliseconds since the start of the record.
    pub sent: u64,
    pub answer: Answer,
}

/// The deployment.
pub struct World {
    pub record: Record,
    root: PathBuf,
    folder: PathBuf,
    processes: AtomicU64,
    /// The limits of the gateway.
    pub memory_mb: u64,
    pub sockets: u64,
    pub bulletin: Bulletin,
    pub log: Arc<Log>,
    pub stores: Vec<Store>,
    pub listen: SocketAddr,
    pub asked: Arc<Mutex<Vec<Asked>>>,
    stop: Arc<AtomicBool>,
    calls: Arc<AtomicU64>,
    clients: Vec<std::thread::JoinHandle<()>>,
}

impl World {
    /// Starts the stand-ins; the list of stores is event 1 of the bulletin.
    pub fn start(root: &Path, folder: &Path) -> std::io::Result<World> {
        let record = Record::begin(folder)?;
        let own_folder = std::env::temp_dir().join(format!("larchway-case-{}", std::process::id()));
        std::fs::create_dir_all(&own_folder)?;
        let log = Arc::new(Log::default());
        let bulletin = Bulletin::start(&record, "127.0.2.1")?;
        let fresh = [("bid-status", 8000)];
        let mut stores = Vec::new();
        for number in 1..=4 {
            let (host, name) = (format!("127.0.1.{number}"), format!("s-00c41f0{number}"));
            stores.push(Store::start(&record, &log, &host, &name, Kind::Edge, &fresh)?);
        }
        stores.push(Store::start(&record, &log, "127.0.1.11", "p-00c41f11", Kind::Parent, &fresh)?);
        stores.push(Store::start(&record, &log, "127.0.1.21", "o-00c41f21", Kind::Origin, &fresh)?);
        let entries: Vec<String> = stores.iter().map(|store| store.entry("up", 0)).collect();
        bulletin.tell(&format!(r#""roster":{{"seq":1,"whole":true,"hosts":[{}]}}"#, entries.join(",")));
        Ok(World {
            record,
            root: root.to_path_buf(),
            folder: own_folder,
            processes: AtomicU64::new(0),
            memory_mb: 192,
            sockets: 1024,
            bulletin,
            log,
            stores,
            listen: free_address("127.0.0.4")?,
            asked: Arc::default(),
            stop: Arc::default(),
            calls: Arc::new(AtomicU64::new(unix_ms() << 16)),
            clients: Vec::new(),
        })
    }

    /// A folder for `$TMPDIR`.
    pub fn scratch(&self, name: &str) -> std::io::Result<PathBuf> {
        let folder = self.folder.join(name);
        std::fs::create_dir_all(&folder)?;
        Ok(folder)
    }

    /// Writes the configuration, with the events of the bulletin so far, and returns its path.
    pub fn write_config(&self) -> std::io::Result<PathBuf> {
        let path = self.folder.join("config.json");
        let (listen, bulletin, known) = (self.listen, self.bulletin.address(), self.bulletin.known());
        let text = format!(
            r#"{{"name":"n1","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"peers":[],"bulletin":"{bulletin}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":{known},"settings":{SETTINGS}}}"#,
            self.memory_mb, self.sockets
        );
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts a process of the gateway. Without other processes of it, waits until it is well.
    pub fn start_gateway(
        &self,
        scratch: &Path,
        config: &Path,
        console: Option<SocketAddr>,
    ) -> Option<Gateway> {
        let number = self.processes.fetch_add(1, Ordering::SeqCst) + 1;
        let log = self.folder.join(format!("gateway-{number}.log"));
        let start =
            Start { root: &self.root, name: "n1", listen: self.listen, console, config, scratch, log };
        let mut gateway = Gateway::start(&self.record, &start)?;
        (number > 1 || gateway.wait_until_well(Duration::from_secs(20))).then_some(gateway)
    }

    /// A new id of a request.
    fn call(calls: &AtomicU64) -> String {
        format!("{:016x}", calls.fetch_add(1, Ordering::SeqCst))
    }

    /// Starts a client that asks for these objects in turn, one request at a time.
    pub fn start_client(&mut self, class: &'static str, objects: Vec<String>, pause: Duration, ttl_ms: u64) {
        let (record, listen, asked) = (self.record.clone(), self.listen, self.asked.clone());
        let (stop, calls) = (self.stop.clone(), self.calls.clone());
        self.clients.push(std::thread::spawn(move || {
            let mut client: Option<Client> = None;
            let mut turn = 0;
            while !stop.load(Ordering::SeqCst) {
                let object = objects[turn % objects.len()].clone();
                turn += 1;
                let call = World::call(&calls);
                let mut fields = vec![
                    ("op", class.to_string()),
                    ("call", call.clone()),
                    ("ttl", ttl_ms.to_string()),
                    ("row", object.clone()),
                    ("block", "0".to_string()),
                    ("family", "17".to_string()),
                ];
                if class == "bid-submit" {
                    fields.push(("dedupe", format!("{call}{call}")));
                }
                if client.is_none() {
                    client = Client::connect(listen);
                }
                let sent = record.now();
                let answer = match &mut client {
                    Some(client) => client.ask(&fields, b"", ttl_ms),
                    None => Answer::NoConnection,
                };
                // A request that crosses a close within 50 ms goes again on a new connection, once.
                let answer = match answer {
                    Answer::Closed if record.now() <= sent + 50 => {
                        record.line(format!("client: {call} crossed a close and goes again"));
                        client = Client::connect(listen);
                        match &mut client {
                            Some(client) => client.ask(&fields, b"", ttl_ms),
                            None => Answer::NoConnection,
                        }
                    }
                    answer => answer,
                };
                record.line(format!("client: {call} {class} {object} sent at {sent}: {}", brief(&answer)));
                if matches!(answer, Answer::Closed | Answer::Nothing | Answer::NoConnection) {
                    client = None;
                }
                asked.lock().unwrap().push(Asked { sent, answer });
                std::thread::sleep(pause);
            }
        }));
    }

    /// Starts a client that sends a request for a large object at this pace, up to 32 at once, and reads so many bytes a
    /// second; it takes back what is not answered in its time.
    pub fn start_reader(&mut self, number: u64, pause: Duration, bytes_per_s: usize) {
        let (listen, stop, calls) = (self.listen, self.stop.clone(), self.calls.clone());
        let record = self.record.clone();
        self.clients.push(std::thread::spawn(move || {
            let request = |turn: u64| {
                vec![
                    ("op", "history-files".to_string()),
                    ("call", World::call(&calls)),
                    ("ttl", "6000".to_string()),
                    ("row", large_object(number * 10_000 + turn)),
                    ("block", "0".to_string()),
                    ("family", "18".to_string()),
                ]
            };
            let note = |text: String| record.line(format!("reader {number}: {text}"));
            let (sent, read) = read_slowly(listen, &stop, request, pause, bytes_per_s, note);
            record.line(format!("reader {number}: {sent} requests sent, {read} bytes read"));
        }));
    }

    /// Stops the clients and waits for them.
    pub fn stop_clients(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }

    /// Milliseconds to wait until this time of the record.
    pub fn wait_until(&self, at: u64) {
        let now = self.record.now();
        std::thread::sleep(Duration::from_millis(at.saturating_sub(now)));
    }

    /// The counts of the answers.
    pub fn tell_counts(&self) {
        let asked = self.asked.lock().unwrap();
        let count = |fits: &dyn Fn(&Answer) -> bool| asked.iter().filter(|asked| fits(&asked.answer)).count();
        self.record.tell(format!(
            "requests: {} asked, {} served, {} refused, {} failed, {} closed, {} without an answer, {} without a connection",
            asked.len(),
            count(&|answer| matches!(answer, Answer::Served(_) | Answer::Keep)),
            count(&|answer| matches!(answer, Answer::Busy(_))),
            count(&|answer| *answer == Answer::Failed),
            count(&|answer| *answer == Answer::Closed),
            count(&|answer| *answer == Answer::Nothing),
            count(&|answer| *answer == Answer::NoConnection),
        ));
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop_clients();
        for number in 1..=self.processes.load(Ordering::SeqCst) {
            let log = std::fs::read_to_string(self.folder.join(format!("gateway-{number}.log")));
            log.unwrap_or_default()
                .lines()
                .for_each(|line| self.record.line(format!("log of process {number}: {line}")));
        }
        self.record.flush();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An answer in a few words.
pub fn brief(answer: &Answer) -> String {
    match answer {
        Answer::Served(body) => format!("served, issued={}", crate::store::issued_of(body).unwrap_or(0)),
        other => format!("{other:?}"),
    }
}

/// The id of a large object.
pub fn large_object(number: u64) -> String {
    format!("{:016x}", 0x7f3a_9c22_0000_0000 + number)
}

/// The id of an object.
pub fn object(number: u64) -> String {
    format!("{:016x}", 0x7f3a_9c21_0000_0000 + number)
}
