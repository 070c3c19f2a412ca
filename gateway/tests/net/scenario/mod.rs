//! The scenario language: a gateway of its own, stand-ins for all that it talks to, and lines that say what each
//! sends, expects and closes.
//!
//! ```text
//! c1 > serve 1 op=files call=aa ttl=5000 row=$row    a client of the platform's front sends a request
//! store < PULL aa thing=$row at=?box                 some store gets it; ?box keeps a value for later lines
//! store > aa ok entity=t1,issued=5 | body            that store answers (* for the last one taken)
//! store raw aa *4\r\n           bytes as they stand, on the connection of that request
//! c1 < served 1 | body                               the client's next answer
//! w1 > GET /path ; Cookie: a=b | body                a client of the second front; w1 < 200 ETag="t1" | body
//! bulletin > {"no":2,...}      bulletin < call last=1      bulletin mute    bulletin speak
//! put config TEXT      the file holds this alone; the next edit begins from what it was
//! edit config A => B           A in that file (or `signed`, `ensemble`) becomes B;    bulletin move    to another address, $feed
//! o1 > PUT /ops/stores/down | {"who":"s-a1"}         an operator calls; o1 < 200.   figure passed.files 3   is reported soon
//! start   another process of the gateway beside the old one, at the same address    old term    old kill    old exit 0
//! c1 raw 00ff    c1 close    c1 < closed    wait 50    term    hup    log < words    exit 0    never PULL aa
//! pause    resume          the program stands still, and what comes meanwhile is there all at once
//! c1 refused               a new connection to the platform's front is refused
//! c1 reset                 the client ends its connection at once, by a reset
//! c1 bytewise              what the client writes from now on goes out a byte at a time
//! store admit a1           a store whose queue was full takes connections in; store < admitted NAME at=a1   one came
//! store close aa           the store closes the connection of that request, as an idle one
//! bulletin text id: 2\ndata  just these bytes, with line ends as \n
//! bulletin vanish          the next edit moves to $feed, where nobody listens until: bulletin rise
//! ```
//! A body `#N` stands for N bytes of every value. Expectations have seconds to be met, so no timing is tight.
pub mod ensemble;

use signal_hook::consts::SIGKILL;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PATIENCE: Duration = Duration::from_secs(10);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis() as u64
}

/// A message that some stand-in has received.
struct Heard {
    who: &'static str,
    at: String,
    word: String,
    id: String,
    fields: String,
    body: Vec<u8>,
    stream: Option<TcpStream>,
}

pub struct Scenario {
    child: Child,
    /// How the program is started again, and the process before the last one.
    program: Option<Command>,
    old: Option<Child>,
    front: SocketAddr,
    second: SocketAddr,
    console: Option<SocketAddr>,
    heard: Receiver<Heard>,
    backlog: Vec<Heard>,
    last: String,
    asked: HashMap<String, TcpStream>,
    clients: BTreeMap<String, (TcpStream, Vec<u8>)>,
    /// Clients whose bytes go out one at a time.
    bytewise: BTreeSet<String>,
    logged: Receiver<String>,
    files: BTreeMap<String, (String, String)>,
    told: Sender<Heard>,
    bulletin: Arc<Mutex<Option<TcpStream>>>,
    muted: Arc<AtomicBool>,
    vars: HashMap<String, String>,
    /// Requests made by [`Scenario::until_held`].
    made: usize,
    /// Stores whose queue of connections is full.
    held: HashMap<&'static str, HeldStore>,
    /// An address at which nobody listens yet.
    vacant: Option<Socket>,
}

/// A store that listens and takes no connection in: its queue is full, so that dials stay under way.
struct HeldStore {
    listener: TcpListener,
    fill: Vec<Socket>,
}

impl HeldStore {
    fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("binds");
        socket.listen(0).expect("listens");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("an address");
        let mut fill = Vec::new();
        for _ in 0..4 {
            let one = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            // Once the queue is full, none comes up any more.
            let full = one.connect_timeout(&address.into(), Duration::from_millis(150)).is_err();
            fill.push(one);
            if full {
                return HeldStore { listener, fill };
            }
        }
        panic!("the queue is never full");
    }

    /// Takes in what dials from now on, as any store.
    fn admit(self, heard: Sender<Heard>, name: &'static str) {
        let fill: Vec<_> = self.fill.iter().filter_map(|s| s.local_addr().ok()?.as_socket()).collect();
        drop(self.fill);
        std::thread::spawn(move || {
            while let Ok((stream, from)) = self.listener.accept() {
                if fill.contains(&from) {
                    continue;
                }
                let (at, word) = (name.to_string(), "admitted".to_string());
                let (id, fields, body) = (name.to_string(), String::new(), Vec::new());
                let _ = heard.send(Heard { who: "store", at, word, id, fields, body, stream: None });
                let heard = heard.clone();
                std::thread::spawn(move || read_store(stream, &heard, name));
            }
        });
    }
}

pub const ROW: &str = "7f3a9c21e0b4d655";
pub const FILES: &str = "/history-files/17/7f3a9c21e0b4d655/3";

/// A gateway with all its stand-ins, and the usual variables.
pub fn usual() -> Scenario {
    let mut scenario = Scenario::new(Setup::default());
    scenario.set("row", ROW).set("files", FILES);
    scenario.set("ask", &format!("op=history-files ttl=6000 row={ROW} block=3 family=17"));
    scenario
}

/// How a gateway is set up, beyond the usual.
pub struct Setup {
    /// Stores that listen nowhere, of the caches a1, a2.
    pub dead: &'static [&'static str],
    /// Stores whose queue of connections is full until they are told to admit them.
    pub held: &'static [&'static str],
    /// Descriptors that the system gives the program at most.
    pub nofile: Option<u32>,
    /// Whether something else holds the address of the platform's front when the program starts.
    pub occupied: bool,
    pub sockets: u32,
    pub memory_mb: u32,
    pub known: bool,
    pub ensemble: Option<SocketAddr>,
    /// More of the ensemble's file.
    pub extra: String,
    /// The hierarchy's file.
    pub hierarchy: Option<&'static str>,
    /// The file of the gateway's own copies.
    pub copies: Option<&'static str>,
    /// The file of the load's spread.
    pub spread: Option<&'static str>,
    /// The file of the fleet.
    pub fleet: Option<&'static str>,
    /// The file of the events.
    pub events: Option<&'static str>,
    /// More keys of the configuration, each with a comma behind it.
    pub config: &'static str,
    /// Whether operators may call.
    pub console: bool,
    /// The module's settings.
    pub settings: &'static str,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            dead: &[],
            held: &[],
            nofile: None,
            occupied: false,
            sockets: 256,
            memory_mb: 64,
            known: true,
            ensemble: None,
            extra: String::new(),
            hierarchy: None,
            copies: None,
            spread: None,
            fleet: None,
            events: None,
            config: "",
            console: false,
            settings: SETTINGS,
        }
    }
}

pub const FRONT: &str = r#"{"listen":"127.0.0.1:0","base":"http://files.test","classes":["history-files"],
 "keys":[{"name":"new","secret":"000102030405060708090a0b0c0d0e0f"},{"name":"old","secret":"ff0102030405060708090a0b0c0d0e0f"}],
 "holders":[{"name":"desk","secret":"desk-credential-0123"}],"issuers":["desk"],"longest_s":86400}"#;

pub const SETTINGS: &str = r#"{"balancers":1,"familyInfo":{"canJoin":false,"goneEverywhereMs":6000.0,"graceForMs":[0,0,0],
 "lifetimeByClassMs":[0,8000,0],"mayPassBy":false,"neverKept":[false,false,true],"noteLevel":"all","oneFlowKbPerS":7800,
 "peersFill":"any","shieldKind":1,"storeKind":2,"upperColdMs":21000,"zoneBalancers":[0,1]},
 "limits":{"cancel":true,"connIdleMs":30000,"connectTimeoutMs":400,"maxAttempts":8,"maxRetryAfterMs":1000,"mayDuplicate":true,"retryAfter":true},
 "locality":1,"membershipMode":"push","models":["standard","parent","origin"],
 "services":[{"aimStretch":1.6,"deadlineMs":6000,"effect":"pure","name":"history-files","targetMs":600},
 {"aimStretch":2,"deadlineMs":2500,"effect":"pure","name":"bid-status","targetMs":400},
 {"deadlineMs":3000,"effect":"token","group":"all","name":"bid-submit","targetMs":800,"windowMs":3000}],
 "weightKind":"rough","zones":["east","edge"]}"#;

/// Settings shaped like the second deployment's: clients tell sizes, writes must never run twice, advice of at most
/// 500 ms, parents may serve clients themselves, siblings of one location fill, purges within 500 ms.
pub const SECOND: &str = r#"{"balancers":1,"familyInfo":{"canJoin":false,"goneEverywhereMs":6000.0,"graceForMs":[0,0,0],
 "lifetimeByClassMs":[0,12000,0],"mayPassBy":true,"neverKept":[false,false,true],"noteLevel":"all","oneFlowKbPerS":7300,
 "peersFill":"location","shieldKind":1,"storeKind":2,"upperColdMs":22000,"zoneBalancers":[0,1]},
 "limits":{"cancel":true,"connIdleMs":30000,"connectTimeoutMs":400,"maxAttempts":8,"maxRetryAfterMs":500,"mayDuplicate":true,"retryAfter":true},
 "locality":1,"membershipMode":"push","models":["standard","parent","origin"],
 "services":[{"aimStretch":2,"deadlineMs":5000,"effect":"pure","name":"guide-video","targetMs":500},
 {"aimStretch":2,"deadlineMs":2500,"effect":"pure","name":"meter-photo","targetMs":250},
 {"deadlineMs":3000,"effect":"side_effect","name":"submit-reading","targetMs":700}],
 "weightKind":"nominal","zones":["east","edge"]}"#;

static NUMBER: AtomicUsize = AtomicUsize::new(0);

/// Writes a file of the test's own and returns its path.
pub fn file(name: &str, text: &str) -> String {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = format!("{}/{}-{number}-{name}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, text).expect("writes");
    path
}

/// The entry of a store in a list.
pub fn entry(name: &str, dial: SocketAddr, class: &str, health: &str) -> String {
    let site = if class == "standard" { "edge" } else { "east" };
    format!(
        r#"{{"host":"s-{name}","dial":"{dial}","site":"{site}","class":"{class}","health":"{health}","share":4,"born_ms":0}}"#
    )
}

fn listen(heard: Sender<Heard>, name: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let heard = heard.clone();
            std::thread::spawn(move || read_store(stream, &heard, name));
        }
    });
    address
}

fn read_store(mut stream: TcpStream, heard: &Sender<Heard>, name: &str) {
    let mut input = Vec::new();
    let mut piece = [0; 65536];
    let mut last = String::new();
    while let Ok(n) = stream.read(&mut piece) {
        if n == 0 {
            let (at, word, fields) = (name.to_string(), "closed".to_string(), String::new());
            let _ = heard.send(Heard {
                who: "store",
                at,
                word,
                id: last,
                fields,
                body: Vec::new(),
                stream: None,
            });
            return;
        }
        input.extend_from_slice(&piece[..n]);
        while let Ok(Some((words, used))) = larchway_gateway::resp::words(&input) {
            let text =
                |at: usize| words.get(at).map_or(String::new(), |w| String::from_utf8_lossy(w).into_owned());
            let message = Heard {
                who: "store",
                at: name.to_string(),
                word: text(0),
                id: text(1),
                fields: text(2),
                body: words.get(3).map_or(Vec::new(), |w| w.to_vec()),
                stream: stream.try_clone().ok(),
            };
            input.drain(..used);
            last = message.id.clone();
            if heard.send(message).is_err() {
                return;
            }
        }
    }
}

fn bulletin(heard: Sender<Heard>, open: Arc<Mutex<Option<TcpStream>>>, muted: Arc<AtomicBool>) -> SocketAddr {
    bulletin_at(TcpListener::bind("127.0.0.1:0").expect("binds"), heard, open, muted)
}

fn bulletin_at(
    listener: TcpListener,
    heard: Sender<Heard>,
    open: Arc<Mutex<Option<TcpStream>>>,
    muted: Arc<AtomicBool>,
) -> SocketAddr {
    let address = listener.local_addr().expect("an address");
    let (beat, quiet) = (open.clone(), muted.clone());
    std::thread::spawn(move || loop {
        std::thread::sleep(Duration::from_millis(300));
        if let (false, Some(stream)) = (quiet.load(Ordering::Relaxed), beat.lock().expect("a lock").as_mut())
        {
            let _ = stream.write_all(b": still here\n\n");
        }
    });
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut head = String::new();
            let mut byte = [0];
            while !head.ends_with("\r\n\r\n") && stream.read_exact(&mut byte).is_ok() {
                head.push(byte[0] as char);
            }
            let last = head.lines().find_map(|l| l.strip_prefix("Last-Event-ID: ")).unwrap_or("none");
            let fields = format!("last={last}");
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
            *open.lock().expect("a lock") = Some(stream);
            let (at, id, word) = (address.to_string(), String::new(), "call".to_string());
            let call = Heard { who: "bulletin", at, word, id, fields, body: Vec::new(), stream: None };
            if heard.send(call).is_err() {
                return;
            }
        }
    });
    address
}

pub fn bytes(text: &str) -> Vec<u8> {
    match text.strip_prefix('#').map(|n| n.parse::<usize>().expect("a number")) {
        Some(n) => (0..n).map(|i| (i % 256) as u8).collect(),
        None => text.as_bytes().to_vec(),
    }
}

/// A short name stands for an id of 16 hexadecimal digits.
fn id(name: &str) -> String {
    if name.len() == 16 || !name.bytes().all(|b| b.is_ascii_alphanumeric()) {
        return name.to_string();
    }
    let digits: String = name.bytes().map(|b| format!("{b:02x}")).collect();
    format!("{digits:0<16.16}")
}

fn hex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|i| u8::from_str_radix(&text[i..i + 2], 16).expect("hex")).collect()
}

struct Started {
    child: Child,
    front: SocketAddr,
    second: SocketAddr,
    console: Option<SocketAddr>,
    logged: Receiver<String>,
}

/// Starts the program, and waits until it listens; `occupied`: what holds its address until that was noticed.
fn started(command: &mut Command, calls: bool, mut occupied: Option<TcpListener>) -> Started {
    let mut child = command.spawn().expect("starts");
    let ((found, addresses), (line_logged, logged)) = (channel(), channel());
    let (called, callers) = channel();
    let log = child.stderr.take().expect("a log");
    std::thread::spawn(move || {
        for line in std::io::BufRead::lines(std::io::BufReader::new(log)).map_while(Result::ok) {
            eprintln!("{line}");
            if line.contains("it is tried again") {
                drop(occupied.take());
            }
            if let Some((_, address)) = line.split_once("operators may call at ") {
                let _ = called.send(address.parse::<SocketAddr>().expect("an address"));
            }
            if let Some((_, address)) = line.split_once("listening on ") {
                let _ = found.send(address.parse::<SocketAddr>().expect("an address"));
            }
            let _ = line_logged.send(line);
        }
    });
    let next = || addresses.recv_timeout(PATIENCE).expect("it listens");
    let (front, second) = (next(), next());
    let console = calls.then(|| callers.recv_timeout(PATIENCE).expect("operators may call"));
    Started { child, front, second, console, logged }
}

fn exit(child: &mut Child, code: i32) {
    assert_eq!(ended(child).code(), Some(code));
}

/// Waits until a process has ended and its descriptors are closed.
fn ended(child: &mut Child) -> ExitStatus {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(status) = child.try_wait().expect("waits") {
            return status;
        }
        assert!(Instant::now() < end, "it does not exit");
        std::thread::sleep(Duration::from_millis(10));
    }
}

impl Scenario {
    pub fn new(setup: Setup) -> Self {
        let (told, heard) = channel();
        let none: SocketAddr = "127.0.0.1:1".parse().expect("an address");
        let mut vars: HashMap<String, String> = HashMap::new();
        let (mut stores, mut held) = (Vec::new(), HashMap::new());
        for (name, class) in [("a1", "standard"), ("a2", "standard"), ("b1", "parent"), ("c1", "origin")] {
            let dial = match name {
                name if setup.dead.contains(&name) => none,
                name if setup.held.contains(&name) => {
                    let store = HeldStore::new();
                    let address = store.listener.local_addr().expect("an address");
                    held.insert(name, store);
                    address
                }
                name => listen(told.clone(), name),
            };
            stores.push(entry(name, dial, class, "up"));
            vars.insert(name.to_string(), dial.to_string());
        }
        let (open, muted) = (Arc::new(Mutex::new(None)), Arc::new(AtomicBool::new(false)));
        let feed = bulletin(told.clone(), open.clone(), muted.clone());
        let list = format!(r#"{{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[{}]}}}}"#, stores.join(","));
        let known = if setup.known { &list[..] } else { "" };
        let config = format!(
            r#"{{{}"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"bulletin":"{feed}",
            "known":{{"no":{},"items":[{known}]}},"settings":{}}}"#,
            setup.config,
            setup.memory_mb,
            setup.sockets,
            u8::from(setup.known),
            setup.settings
        );
        vars.insert("list".into(), list);
        vars.insert("feed".into(), feed.to_string());
        // The second front names a class of the settings in force.
        let front = if setup.settings.contains("\"history-files\"") {
            FRONT.into()
        } else {
            FRONT.replace("history-files", "guide-video")
        };
        let signed = (file("signed.json", &front), front);
        let config = (file("config.json", &config), config);
        let program = env!("CARGO_BIN_EXE_larchway");
        let mut command = match setup.nofile {
            None => Command::new(program),
            Some(most) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", &format!("ulimit -n {most}; exec {program} \"$@\""), "sh"]);
                shell
            }
        };
        command.args(["serve", "--signed", &signed.0]);
        command.env("EDGE_CONFIG", &config.0).env("EDGE_NAME", "n1");
        let mut files = BTreeMap::from([("config".to_string(), config), ("signed".to_string(), signed)]);
        if let Some(address) = setup.ensemble {
            let text = format!(
                r#"{{"servers":["{address}"],"path":"/larchway","session_ms":2000,"stores":"/stores"{}}}"#,
                setup.extra
            );
            let path = file("ensemble.json", &text);
            command.args(["--ensemble", &path]);
            files.insert("ensemble".into(), (path, text));
        }
        if let Some(text) = setup.hierarchy {
            let path = file("hierarchy.json", text);
            command.args(["--hierarchy", &path]);
            files.insert("hierarchy".into(), (path, text.to_string()));
        }
        let (copies, spread) = (("copies", setup.copies), ("spread", setup.spread));
        for (name, text) in [copies, spread, ("fleet", setup.fleet), ("events", setup.events)] {
            let Some(text) = text else { continue };
            let path = file(&format!("{name}.json"), text);
            command.args([&format!("--{name}"), &path]);
            files.insert(name.into(), (path, text.to_string()));
        }
        command.env("EDGE_LISTEN", "127.0.0.1:0").stderr(Stdio::piped());
        if setup.console {
            let folder = file("folder", "");
            std::fs::remove_file(&folder).expect("it was written");
            std::fs::create_dir(&folder).expect("a folder");
            command.env("EDGE_CONSOLE", "127.0.0.1:0").env("TMPDIR", folder);
        }
        let occupied = setup.occupied.then(|| TcpListener::bind("127.0.0.1:0").expect("binds"));
        if let Some(address) = occupied.as_ref().and_then(|o| o.local_addr().ok()) {
            command.env("EDGE_LISTEN", address.to_string());
        }
        let Started { child, front, second, console, logged } =
            started(&mut command, setup.console, occupied);
        let (backlog, last, asked, clients) = (Vec::new(), String::new(), HashMap::new(), BTreeMap::new());
        let bulletin = open;
        Scenario {
            child,
            program: setup.console.then_some(command),
            old: None,
            front,
            second,
            console,
            heard,
            backlog,
            last,
            asked,
            clients,
            bytewise: BTreeSet::new(),
            logged,
            files,
            told,
            bulletin,
            muted,
            vars,
            made: 0,
            held,
            vacant: None,
        }
    }

    pub fn set(&mut self, name: &str, value: &str) -> &mut Self {
        self.vars.insert(name.to_string(), value.to_string());
        self
    }

    /// Issues a link by the same file as the gateway's, valid from and until so many seconds from now.
    pub fn link(&mut self, name: &str, path: &str, from: i64, until: i64, token: bool) -> &mut Self {
        use larchway_gateway::signed::{link, token};
        let front = larchway_gateway::config::front(FRONT, |_| None).expect("a front");
        let at = |span: i64| (unix_ms() as i64 / 1000 + span) as u64;
        let link = if token {
            let uri = format!("{}{path}", front.base);
            let made = token::issue(&front.keys, None, &front.parties, &uri, at(until), Some(at(from)));
            format!("{path}?{}={}", token::NAME, made.expect("issues"))
        } else {
            let grant = link::Grant { method: "GET", path, expires: at(until), not_before: Some(at(from)) };
            link::issue(&front.keys, None, &grant).expect("issues")
        };
        self.set(name, &link)
    }

    /// Plays the lines; a line that is not met fails the test by its text.
    pub fn run(&mut self, script: &str) -> &mut Self {
        for line in script.lines().map(str::trim).filter(|l| !l.is_empty() && !l.starts_with("//")) {
            let mut text = line.replace("$now", &unix_ms().to_string());
            let mut names: Vec<&String> = self.vars.keys().collect();
            names.sort_by_key(|n| std::cmp::Reverse(n.len()));
            for name in names {
                text = text.replace(&format!("${name}"), &self.vars[name]);
            }
            let (head, body) = text.split_once(" | ").unwrap_or((&text, ""));
            let words: Vec<&str> = head.split_whitespace().collect();
            self.line(line, &words, head, &bytes(body));
        }
        self
    }

    fn line(&mut self, line: &str, words: &[&str], head: &str, body: &[u8]) {
        match words {
            ["wait", ms] => std::thread::sleep(Duration::from_millis(ms.parse().expect("a number"))),
            [signal @ ("term" | "hup")] => self.signal(&signal.to_uppercase()),
            ["pause"] => {
                self.signal("STOP");
                let stat = format!("/proc/{}/stat", self.child.id());
                let end = Instant::now() + PATIENCE;
                while !std::fs::read_to_string(&stat).expect("its state").contains(") T ") {
                    assert!(Instant::now() < end, "it does not stand still");
                }
            }
            ["resume"] => self.signal("CONT"),
            ["put", name, ..] => {
                let text = head.split_once(name).expect("a name").1.trim_start();
                let (path, _) = self.files.get(*name).expect("a file");
                std::fs::write(path, text).expect("writes");
            }
            ["edit", name, ..] => {
                let (from, to) = head[6 + name.len()..].split_once(" => ").expect("A => B");
                self.replace(name, from, to);
            }
            ["log", "<", ..] => {
                let words = head.split_once("< ").expect("words").1;
                let mut lines = std::iter::from_fn(|| self.logged.recv_timeout(PATIENCE).ok());
                assert!(lines.any(|l| l.contains(words)), "{line}: it was not logged");
            }
            ["bulletin", "move"] => {
                let feed = bulletin(self.told.clone(), self.bulletin.clone(), self.muted.clone());
                let old = self.vars.insert("feed".into(), feed.to_string());
                self.vars.insert("old".into(), old.expect("an address"));
            }
            ["bulletin", "vanish"] => {
                let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
                let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
                socket.bind(&any.into()).expect("binds");
                let feed = socket.local_addr().expect("an address").as_socket().expect("of IP");
                let old = self.vars.insert("feed".into(), feed.to_string());
                self.vars.insert("old".into(), old.expect("an address"));
                self.vacant = Some(socket);
            }
            ["bulletin", "rise"] => {
                let socket = self.vacant.take().expect("it vanished");
                socket.listen(16).expect("listens");
                bulletin_at(socket.into(), self.told.clone(), self.bulletin.clone(), self.muted.clone());
            }
            ["store", "admit", name] => {
                let (name, store) = self.held.remove_entry(*name).expect("it is held");
                store.admit(self.told.clone(), name);
            }
            ["exit", code] => exit(&mut self.child, code.parse().expect("a code")),
            ["start"] => {
                let program = self.program.as_mut().expect("a console");
                let new = started(program.env("EDGE_LISTEN", self.front.to_string()), true, None);
                self.old = Some(std::mem::replace(&mut self.child, new.child));
                (self.second, self.console, self.logged) = (new.second, new.console, new.logged);
            }
            ["old", "exit", code] => {
                exit(self.old.as_mut().expect("an old one"), code.parse().expect("a code"));
            }
            // The kernel closes the sockets of a killed process one by one, so that the other processes may know of its
            // end while its listener still takes clients into a queue that nobody serves. Once it can be waited for, all
            // are closed.
            ["old", "kill"] => {
                let old = self.old.as_mut().expect("an old one");
                old.kill().expect("kills");
                let signal = ended(old).signal();
                assert_eq!(signal, Some(SIGKILL), "it was killed");
            }
            ["old", signal] => {
                let id = self.old.as_ref().expect("an old one").id();
                let line = format!("kill -{} {id}", signal.to_uppercase());
                assert!(Command::new("sh").args(["-c", &line]).status().expect("kills").success());
            }
            ["never", rest @ ..] => {
                std::thread::sleep(Duration::from_millis(150));
                self.backlog.extend(self.heard.try_iter());
                assert!(self.find("store", rest).is_none(), "{line}");
            }
            ["bulletin", "mute"] => self.muted.store(true, Ordering::Relaxed),
            ["bulletin", "speak"] => self.muted.store(false, Ordering::Relaxed),
            ["bulletin", "close"] => {
                if let Some(stream) = self.bulletin.lock().expect("a lock").take() {
                    stream.shutdown(Shutdown::Both).expect("closes");
                }
            }
            ["bulletin", "text", ..] => {
                let text = head.split_once("text ").expect("text").1.replace("\\n", "\n");
                let mut open = self.bulletin.lock().expect("a lock");
                open.as_mut().expect("it was called").write_all(text.as_bytes()).expect("writes");
            }
            ["bulletin", ">", ..] => {
                let data = head.split_once("> ").expect("data").1;
                let mut open = self.bulletin.lock().expect("a lock");
                let stream = open.as_mut().expect("it was called");
                stream.write_all(format!("id: 0\ndata: {data}\n\n").as_bytes()).expect("writes");
            }
            [who @ ("store" | "bulletin"), "<", rest @ ..] => self.expect_heard(line, who, rest, body),
            ["store", ">", call, word, fields @ ..] => {
                let call = if *call == "*" { self.last.clone() } else { id(call) };
                let mut out = Vec::new();
                let fields = fields.first().copied().unwrap_or("-");
                larchway_gateway::resp::write_words(
                    &mut out,
                    &[call.as_bytes(), word.as_bytes(), fields.as_bytes(), body],
                );
                self.asked.get_mut(&call).expect("it was asked").write_all(&out).expect("writes");
            }
            ["store", "raw", call, ..] => {
                let text = head.splitn(4, ' ').nth(3).expect("text").replace("\\r\\n", "\r\n");
                self.asked
                    .get_mut(&id(call))
                    .expect("it was asked")
                    .write_all(text.as_bytes())
                    .expect("writes");
            }
            ["store", "reset" | "close", call] => {
                self.asked[&id(call)].shutdown(Shutdown::Both).expect("closes");
            }
            [client, ">", "GET" | "HEAD" | "POST" | "PUT", ..] => self.send_http(client, head, body),
            [client, ">", rest @ ..] => self.send_call(client, rest, body),
            [client, "bytewise"] => drop(self.bytewise.insert(client.to_string())),
            [client, "raw", digits] => self.write(client, &hex(digits)),
            [client, "text", ..] => {
                let text = head.split_once("text ").expect("text").1.replace("\\r\\n", "\r\n");
                self.write(client, text.as_bytes());
            }
            [client, "connect"] => drop(self.client(client)),
            [client, "close"] => drop(self.clients.remove(*client)),
            [client, "reset"] => {
                let (stream, _) = self.clients.remove(*client).expect("it is connected");
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("sets");
            }
            [_, "refused"] => {
                TcpStream::connect(self.front).expect_err("nobody listens any more");
            }
            [client, "<", "closed"] => {
                let (stream, input) = self.client(client);
                let mut piece = [0; 4096];
                while let Ok(n) = stream.read(&mut piece) {
                    if n == 0 {
                        break;
                    }
                    input.extend_from_slice(&piece[..n]);
                }
                assert!(input.is_empty(), "{line}: it got {:?}", String::from_utf8_lossy(input));
                self.clients.remove(*client);
            }
            ["figure", name, value] => self.figure(name, value),
            [client, "<", rest @ ..] if client.starts_with(['w', 'o']) => {
                self.expect_http(line, client, rest, body);
            }
            [client, "<", rest @ ..] => {
                let (got, bytes) = describe(&self.frame(client));
                assert_eq!(got, rest.join(" "), "{line}");
                assert!(
                    bytes == body,
                    "{line}: {} bytes: {:?}",
                    bytes.len(),
                    String::from_utf8_lossy(&bytes[..bytes.len().min(60)])
                );
            }
            _ => panic!("no such line: {line}"),
        }
    }

    /// Puts other text in the place of this in a file of the program's.
    pub fn replace(&mut self, name: &str, from: &str, to: &str) {
        let (path, text) = self.files.get_mut(name).expect("a file");
        assert!(text.contains(from), "there is no such text: {from}");
        *text = text.replace(from, to);
        std::fs::write(path, text).expect("writes");
    }

    fn signal(&self, name: &str) {
        let line = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &line]).status().expect("kills").success());
    }

    /// Ticks of the processor that the program has used (a hundred a second).
    pub fn ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("its state");
        let fields: Vec<&str> = stat.rsplit_once(')').expect("a name").1.split_whitespace().collect();
        [11, 12].iter().map(|at| fields[*at].parse::<u64>().expect("a number")).sum()
    }

    fn find(&self, who: &str, words: &[&str]) -> Option<usize> {
        let fits = |h: &Heard| {
            h.who == who
                && words.iter().enumerate().all(|(i, w)| match (i, w.split_once('=')) {
                    (0, _) => h.word == *w,
                    (_, None) => *w == "*" || h.id == *w || h.id == id(w),
                    (_, Some(("at", v))) => v.starts_with('?') || h.at == v,
                    (_, Some((name, v))) => {
                        let told = larchway_gateway::resp::field(&h.fields, name);
                        if v == "none" {
                            told.is_none()
                        } else {
                            v.starts_with('?') && told.is_some() || told == Some(v)
                        }
                    }
                })
        };
        self.backlog.iter().position(fits)
    }

    fn expect_heard(&mut self, line: &str, who: &str, words: &[&str], body: &[u8]) {
        let end = Instant::now() + PATIENCE;
        let place = loop {
            if let Some(place) = self.find(who, words) {
                break place;
            }
            match self.heard.recv_timeout(end.saturating_duration_since(Instant::now())) {
                Ok(more) => self.backlog.push(more),
                Err(_) => {
                    let heard: Vec<String> =
                        self.backlog.iter().map(|h| format!("{} {} {}", h.word, h.id, h.fields)).collect();
                    panic!("{line}: only {heard:?}");
                }
            }
        };
        assert!(self.backlog[place].body == body, "{line}: another body");
        self.take(place, words);
    }

    fn take(&mut self, place: usize, words: &[&str]) {
        let heard = self.backlog.remove(place);
        for (name, value) in words.iter().filter_map(|w| w.split_once("=?")) {
            let told = larchway_gateway::resp::field(&heard.fields, name).unwrap_or(&heard.at);
            self.vars.insert(value.to_string(), told.to_string());
        }
        self.last = heard.id.clone();
        if let Some(stream) = heard.stream {
            self.asked.insert(heard.id, stream);
        }
    }

    fn client(&mut self, name: &str) -> &mut (TcpStream, Vec<u8>) {
        let address = match name.as_bytes()[0] {
            b'w' => self.second,
            b'o' => self.console.expect("a console"),
            _ => self.front,
        };
        self.clients.entry(name.to_string()).or_insert_with(|| {
            let stream = TcpStream::connect(address).expect("connects");
            stream.set_read_timeout(Some(PATIENCE)).expect("sets");
            (stream, Vec::new())
        })
    }

    fn write(&mut self, client: &str, bytes: &[u8]) {
        let pieces = if self.bytewise.contains(client) { 1 } else { bytes.len().max(1) };
        for piece in bytes.chunks(pieces) {
            // Without a delay of small writes each byte is a segment of its own.
            let stream = &mut self.client(client).0;
            stream.set_nodelay(true).expect("sets");
            stream.write_all(piece).expect("writes");
        }
    }

    fn send_call(&mut self, client: &str, words: &[&str], body: &[u8]) {
        let (name, seq) = (words[0], words[1].parse::<i32>().expect("a number"));
        let string = |out: &mut Vec<u8>, text: &[u8]| {
            out.extend_from_slice(&(text.len() as u32).to_be_bytes());
            out.extend_from_slice(text);
        };
        let mut out = vec![0x80, 1, 0, if name == "forget" { 4 } else { 1 }];
        string(&mut out, name.as_bytes());
        out.extend_from_slice(&seq.to_be_bytes());
        if name == "forget" {
            out.extend_from_slice(&[8, 0, 1]);
            out.extend_from_slice(&words[2].parse::<i32>().expect("a number").to_be_bytes());
        } else if name == "serve" {
            out.extend_from_slice(&[13, 0, 1, 11, 11]);
            out.extend_from_slice(&(words.len() as u32 - 2).to_be_bytes());
            for (name, value) in words[2..].iter().map(|w| w.split_once('=').expect("name=value")) {
                string(&mut out, name.as_bytes());
                let value = if name == "call" { id(value) } else { value.to_string() };
                string(&mut out, value.as_bytes());
            }
            out.extend_from_slice(&[11, 0, 2]);
            string(&mut out, body);
        }
        out.push(0);
        let mut framed = (out.len() as u32).to_be_bytes().to_vec();
        framed.append(&mut out);
        self.write(client, &framed);
    }

    fn frame(&mut self, client: &str) -> Vec<u8> {
        let (stream, _) = self.client(client);
        let mut head = [0; 4];
        stream.read_exact(&mut head).expect("an answer");
        let mut frame = vec![0; u32::from_be_bytes(head) as usize];
        stream.read_exact(&mut frame).expect("a whole answer");
        frame
    }

    /// The number of the client's next answer, which must have a body of this length.
    pub fn next_seq(&mut self, client: &str, length: usize) -> i32 {
        let (words, body) = describe(&self.frame(client));
        assert_eq!(body.len(), length, "{words}");
        words.split(' ').nth(1).and_then(|n| n.parse().ok()).expect("a number")
    }

    fn send_http(&mut self, client: &str, head: &str, body: &[u8]) {
        let request = head.split_once("> ").expect("a request").1;
        let mut parts = request.split(" ; ");
        let mut text = format!("{} HTTP/1.1\r\nHost: files.test\r\n", parts.next().expect("a request line"));
        for header in parts {
            text.push_str(&format!("{header}\r\n"));
        }
        if !body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        self.write(client, &[text.as_bytes(), body].concat());
    }

    fn expect_http(&mut self, line: &str, client: &str, words: &[&str], body: &[u8]) {
        let (stream, input) = self.client(client);
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut response = httparse::Response::new(&mut headers);
            if let Ok(httparse::Status::Complete(start)) = response.parse(input) {
                let header = |name: &str| {
                    let found = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
                    found.map(|h| String::from_utf8_lossy(h.value).into_owned())
                };
                let told = header("content-length").map_or(0, |n| n.parse().expect("a length"));
                let length = if words.contains(&"nobody") { 0 } else { told };
                if input.len() >= start + length {
                    let got = input[start..start + length].to_vec();
                    assert_eq!(
                        response.code.map(|c| c.to_string()).as_deref(),
                        Some(words[0]),
                        "{line}: {}",
                        String::from_utf8_lossy(&got)
                    );
                    let wanted = words[1..].iter().filter_map(|w| w.split_once('='));
                    let found: Vec<(String, String)> = wanted
                        .map(|(name, value)| {
                            let text = header(name).unwrap_or_else(|| panic!("{line}: no {name}"));
                            assert!(value.starts_with('?') || text == value, "{line}: {name} is {text}");
                            (value.to_string(), text)
                        })
                        .collect();
                    assert!(body.is_empty() || got == body, "{line}: {} bytes", got.len());
                    input.drain(..start + length);
                    let text = String::from_utf8_lossy(&got).into_owned();
                    self.vars.insert("body".into(), text);
                    self.vars.extend(
                        found.into_iter().filter_map(|(n, t)| Some((n.strip_prefix('?')?.to_string(), t))),
                    );
                    return;
                }
            }
            let mut piece = [0; 65536];
            match stream.read(&mut piece) {
                Ok(n) if n > 0 => input.extend_from_slice(&piece[..n]),
                other => panic!("{line}: {other:?} after {:?}", String::from_utf8_lossy(input)),
            }
        }
    }

    /// Whether a store is asked for this request within a moment; it is the last one taken then.
    pub fn asked_soon(&mut self, call: &str) -> bool {
        self.asked_within(call, Duration::from_secs(4))
    }

    /// What the request says to the store under this name, once it has come; it is the last one taken then.
    pub fn asked_with(&mut self, call: &str, name: &str) -> Option<String> {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(place) = self.find("store", &["PULL", call]) {
                let said = larchway_gateway::resp::field(&self.backlog[place].fields, name).map(String::from);
                self.take(place, &["PULL", call]);
                return said;
            }
            let more = self.heard.recv_timeout(end.saturating_duration_since(Instant::now()));
            self.backlog.push(more.unwrap_or_else(|_| panic!("PULL {call} never came")));
        }
    }

    /// Whether a store is asked for this request within so long; it is the last one taken then.
    pub fn asked_within(&mut self, call: &str, span: Duration) -> bool {
        let end = Instant::now() + span;
        while Instant::now() < end {
            if let Some(place) = self.find("store", &["PULL", call]) {
                self.take(place, &[]);
                return true;
            }
            self.backlog.extend(self.heard.recv_timeout(Duration::from_millis(20)));
        }
        false
    }

    /// How many messages of this word stores have had for this request; all connections have ended.
    pub fn messages(&mut self, word: &str, call: &str) -> usize {
        let end = Instant::now() + Duration::from_millis(200);
        while let Ok(more) = self.heard.recv_timeout(end.saturating_duration_since(Instant::now())) {
            self.backlog.push(more);
        }
        self.backlog.iter().filter(|h| h.who == "store" && h.word == word && h.id == id(call)).count()
    }

    /// Asks until the gateway answers by itself; what it asks a store for meanwhile is answered with the same. The
    /// words of the answer, and its body. `ask` and `answer` are as in a script, without numbers and ids.
    pub fn until_held(&mut self, client: &str, ask: &str, answer: &str) -> (String, Vec<u8>) {
        for _ in 0..40 {
            self.made += 1;
            let (seq, call) = (9000 + self.made, format!("h{}", self.made));
            self.run(&format!("{client} > serve {seq} {ask} call={call}"));
            let end = Instant::now() + PATIENCE;
            loop {
                self.backlog.extend(self.heard.recv_timeout(Duration::from_millis(5)));
                if self.find("store", &["PULL", &call]).is_some() {
                    self.run(&format!("store < PULL {call}\nstore > {call} {answer}"));
                    self.frame(client);
                    break;
                }
                let stream = &self.client(client).0;
                stream.set_read_timeout(Some(Duration::from_millis(1))).expect("sets");
                let come = stream.peek(&mut [0]).is_ok();
                stream.set_read_timeout(Some(PATIENCE)).expect("sets");
                if come {
                    return describe(&self.frame(client));
                }
                assert!(Instant::now() < end, "{ask}: no answer");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("{ask}: never answered without a store");
    }

    /// What the console reports at a path, once it holds such words.
    pub fn report(&mut self, path: &str, words: &str) -> String {
        let end = Instant::now() + PATIENCE;
        loop {
            self.clients.remove("o-report");
            self.run(&format!("o-report > GET {path}\no-report < 200"));
            let told = self.vars["body"].clone();
            if told.contains(words) {
                return told;
            }
            assert!(Instant::now() < end, "{words} is not in {told}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// What the console reports.
    pub fn stats(&mut self) -> String {
        self.clients.remove("o-stats");
        self.run("o-stats > GET /ops/stats\no-stats < 200");
        self.vars["body"].clone()
    }

    /// Expects a figure to be reported soon.
    fn figure(&mut self, name: &str, value: &str) {
        let end = Instant::now() + PATIENCE;
        let wanted = format!("svc.{name}:{value}|");
        loop {
            let stats = self.stats();
            if stats.lines().any(|l| l.starts_with(&wanted)) {
                return;
            }
            assert!(Instant::now() < end, "{wanted} is not in {stats}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn var(&self, name: &str) -> &str {
        &self.vars[name]
    }
}

impl Drop for Scenario {
    fn drop(&mut self) {
        for child in [Some(&mut self.child), self.old.as_mut()].into_iter().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// An answer of the platform's front in words, and its body.
fn describe(frame: &[u8]) -> (String, Vec<u8>) {
    let word =
        |at: usize| u32::from_be_bytes([frame[at], frame[at + 1], frame[at + 2], frame[at + 3]]) as usize;
    let text = |at: usize| (&frame[at + 4..at + 4 + word(at)], at + 4 + word(at));
    let (name, mut at) = text(4);
    let seq = word(at);
    at += 4;
    if frame[3] == 3 {
        return (format!("exception {seq}"), Vec::new());
    }
    let kind = i16::from_be_bytes([frame[at + 1], frame[at + 2]]);
    at += 3;
    let (mut body, mut fields, mut good) = (Vec::new(), String::new(), true);
    while frame[at] != 0 {
        let wire = frame[at];
        at += 3;
        match wire {
            11 => {
                let (bytes, end) = text(at);
                (body, at) = (bytes.to_vec(), end);
            }
            13 => {
                let n = word(at + 2);
                at += 6;
                for _ in 0..2 * n {
                    let (bytes, end) = text(at);
                    fields.push(' ');
                    fields.push_str(&String::from_utf8_lossy(bytes));
                    at = end;
                }
            }
            _ => {
                good = frame[at] == 1;
                at += 1;
            }
        }
    }
    let name = match (kind, name) {
        (0, b"isWell") if good => "well",
        (0, b"isWell") => "unwell",
        (0, _) if good => "served",
        (1, _) => "busy",
        (2, _) => "failed",
        _ => "odd",
    };
    (format!("{name} {seq}{fields}"), body)
}
