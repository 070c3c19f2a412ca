//! How a gateway and its stand-ins are set up and started.
use super::event_source::bulletin;
use super::faults::{Faults, FolderFaults};
use super::files::{console_folder, file, state_folder};
use super::process::{started, Started};
use super::settings::{FILES, FRONT, ROW, SETTINGS};
use super::stores::{entry, listen, serve_objects_of, HeldStore};
use super::{ReceivedMessage, Scenario};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};

/// The stores of a scenario with their classes.
const STORES: [(&str, &str); 4] =
    [("a1", "standard"), ("a2", "standard"), ("b1", "parent"), ("c1", "origin")];

/// Files that the program is given by an option of the same name, in the order of the command line.
const OPTION_FILES: [&str; 6] = ["ensemble", "hierarchy", "copies", "spread", "fleet", "events"];

/// Any free port of loopback.
const ANY_ADDRESS: &str = "127.0.0.1:0";

/// An address at which nobody listens.
const DEAD_ADDRESS: &str = "127.0.0.1:1";

/// Paths and texts of the program's files, by name.
type ProgramFiles = BTreeMap<String, (String, String)>;

/// A gateway with all its stand-ins, and the usual variables.
pub fn usual() -> Scenario {
    usual_with(Setup::default())
}

/// A gateway that is set up so, with the usual variables.
pub fn usual_with(setup: Setup) -> Scenario {
    let mut scenario = Scenario::new(setup);
    scenario.set("row", ROW).set("files", FILES);
    scenario.set("ask", &format!("op=history-files ttl=6000 row={ROW} block=3 family=17"));
    scenario
}

/// How a gateway is set up, beyond the usual.
pub struct Setup {
    /// Stores that listen nowhere, of the caches a1, a2.
    pub dead: &'static [&'static str],
    /// Stores whose queue of connections is full until the scenario has them admit connections.
    pub held: &'static [&'static str],
    /// Seconds by which the program's wall clock is wrong when it starts.
    pub clock_ahead: i64,
    /// Bytes of the objects with which stores answer every request at once; none if the scenario answers.
    pub object_bytes: Option<usize>,
    /// Calls that fail from the start on, as lines of `fault`.
    pub faults: &'static [&'static str],
    /// Which calls on its state folders fail beside these.
    pub folder_faults: FolderFaults,
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
            object_bytes: None,
            clock_ahead: 0,
            faults: &[],
            folder_faults: FolderFaults::AsAsked,
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

/// The stand-ins for stores, as a gateway's first list names them.
struct StoreStandIns {
    addresses: BTreeMap<&'static str, SocketAddr>,
    held: HashMap<&'static str, HeldStore>,
}

impl StoreStandIns {
    /// Starts those that listen.
    fn start(setup: &Setup, sender: &Sender<ReceivedMessage>) -> Self {
        let mut stores = StoreStandIns { addresses: BTreeMap::new(), held: HashMap::new() };
        for (name, _) in STORES {
            let address = match name {
                name if setup.dead.contains(&name) => DEAD_ADDRESS.parse().expect("an address"),
                name if setup.held.contains(&name) => stores.hold(name),
                name => match setup.object_bytes {
                    Some(bytes) => serve_objects_of(bytes),
                    None => listen(sender.clone(), name),
                },
            };
            stores.addresses.insert(name, address);
        }
        stores
    }

    /// Adds one whose queue of connections is full.
    fn hold(&mut self, name: &'static str) -> SocketAddr {
        let store = HeldStore::new();
        let address = store.listener.local_addr().expect("an address");
        self.held.insert(name, store);
        address
    }

    /// The event that lists them all.
    fn list(&self) -> String {
        let entries: Vec<String> =
            STORES.iter().map(|(name, class)| entry(name, self.addresses[name], class, "up")).collect();
        format!(r#"{{"no":1,"roster":{{"seq":1,"whole":true,"hosts":[{}]}}}}"#, entries.join(","))
    }

    /// The variables of their addresses and ports.
    fn variables(&self) -> HashMap<String, String> {
        let mut variables = HashMap::new();
        for (name, address) in &self.addresses {
            variables.insert(name.to_string(), address.to_string());
            variables.insert(format!("{name}p"), address.port().to_string());
        }
        variables
    }
}

impl Setup {
    /// The text of the program's configuration.
    fn configuration(&self, feed: SocketAddr, list: &str) -> String {
        let known = if self.known { list } else { "" };
        format!(
            r#"{{{}"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"bulletin":"{feed}",
            "known":{{"no":{},"items":[{known}]}},"settings":{}}}"#,
            self.config,
            self.memory_mb,
            self.sockets,
            u8::from(self.known),
            self.settings
        )
    }

    /// The text of the second front's file, which names a class of the settings in force.
    fn second_front(&self) -> String {
        if self.settings.contains("\"history-files\"") {
            FRONT.into()
        } else {
            FRONT.replace("history-files", "guide-video")
        }
    }

    /// The text of the ensemble's file, if the gateway has an ensemble.
    fn ensemble_file(&self) -> Option<String> {
        let address = self.ensemble?;
        Some(format!(
            r#"{{"servers":["{address}"],"path":"/larchway","session_ms":2000,"stores":"/stores"{}}}"#,
            self.extra
        ))
    }

    /// Writes the program's files.
    fn write_files(&self, feed: SocketAddr, list: &str) -> ProgramFiles {
        let owned = |text: Option<&str>| text.map(String::from);
        let texts = [
            ("config", Some(self.configuration(feed, list))),
            ("signed", Some(self.second_front())),
            ("ensemble", self.ensemble_file()),
            ("hierarchy", owned(self.hierarchy)),
            ("copies", owned(self.copies)),
            ("spread", owned(self.spread)),
            ("fleet", owned(self.fleet)),
            ("events", owned(self.events)),
        ];
        let mut files = ProgramFiles::new();
        for (name, text) in texts {
            let Some(text) = text else { continue };
            let path = file(&format!("{name}.json"), &text);
            files.insert(name.to_string(), (path, text));
        }
        files
    }

    /// The faults that are in force from the start on.
    fn first_faults(&self, files: &ProgramFiles, folder: Option<&String>) -> Faults {
        let mut faults = Faults::new();
        for folder in folder.into_iter().chain(&state_folder(&self.extra)) {
            faults.add_state_folder(folder);
        }
        faults.add_configuration_file(&files["config"].0);
        faults.choose_folder_faults(self.folder_faults);
        faults.step_clock(self.clock_ahead);
        for line in self.faults {
            faults.force(&line.split_whitespace().collect::<Vec<_>>());
        }
        faults
    }

    /// The command that starts the program, with its arguments and environment.
    fn command(&self, files: &ProgramFiles, faults: &Faults, folder: Option<&String>) -> Command {
        let mut command = program_under(faults, self.nofile);
        command.args(["serve", "--signed", &files["signed"].0]);
        for name in OPTION_FILES {
            if let Some((path, _)) = files.get(name) {
                command.args([&format!("--{name}"), path]);
            }
        }
        command.env("EDGE_CONFIG", &files["config"].0).env("EDGE_NAME", "n1");
        command.env("EDGE_LISTEN", ANY_ADDRESS).stderr(Stdio::piped());
        if let Some(folder) = folder {
            command.env("EDGE_CONSOLE", ANY_ADDRESS).env("TMPDIR", folder);
        }
        command
    }

    /// Takes the address of the platform's front before the program starts, if something else is to hold it.
    fn occupy_front(&self, command: &mut Command) -> Option<TcpListener> {
        let occupied = self.occupied.then(|| TcpListener::bind(ANY_ADDRESS).expect("binds"));
        if let Some(address) = occupied.as_ref().and_then(|listener| listener.local_addr().ok()) {
            command.env("EDGE_LISTEN", address.to_string());
        }
        occupied
    }
}

/// The program under these faults, with so many descriptors at most.
fn program_under(faults: &Faults, max_descriptors: Option<u32>) -> Command {
    let program = env!("CARGO_BIN_EXE_larchway");
    let Some(max_descriptors) = max_descriptors else {
        let mut command = Command::new(program);
        faults.put_on(&mut command);
        return command;
    };
    // The shell itself is left alone.
    let set: Vec<String> =
        faults.variables().iter().map(|(name, value)| format!("{name}='{value}'")).collect();
    let line = format!("ulimit -n {max_descriptors}; exec env {} {program} \"$@\"", set.join(" "));
    let mut shell = Command::new("sh");
    shell.args(["-c", &line, "sh"]);
    shell
}

impl Scenario {
    /// Starts a gateway that is set up so, and its stand-ins.
    pub fn new(setup: Setup) -> Self {
        let (message_sender, messages) = channel();
        let stores = StoreStandIns::start(&setup, &message_sender);
        let (open, muted) = (Arc::new(Mutex::new(None)), Arc::new(AtomicBool::new(false)));
        let feed = bulletin(message_sender.clone(), open.clone(), muted.clone());
        let list = stores.list();
        let files = setup.write_files(feed, &list);
        let folder = setup.console.then(console_folder);
        let faults = setup.first_faults(&files, folder.as_ref());
        let mut command = setup.command(&files, &faults, folder.as_ref());
        let occupied = setup.occupy_front(&mut command);
        let mut vars = stores.variables();
        vars.insert("list".into(), list);
        vars.insert("feed".into(), feed.to_string());
        vars.extend(folder.map(|folder| ("folder".to_string(), folder)));
        faults.step_as_asked();
        let Started { child, front, second, console, logged } =
            started(&mut command, setup.console, occupied);
        Scenario {
            child,
            program: setup.console.then_some(command),
            old: None,
            front,
            second,
            console,
            messages,
            backlog: Vec::new(),
            last_request: String::new(),
            request_streams: HashMap::new(),
            clients: BTreeMap::new(),
            bytewise: BTreeSet::new(),
            logged,
            files,
            message_sender,
            bulletin: open,
            muted,
            vars,
            made_requests: 0,
            held_stores: stores.held,
            vacant_socket: None,
            faults,
        }
    }
}
