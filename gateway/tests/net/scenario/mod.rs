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
//! kill    the program is killed, at once; a `start` after it finds no process beside it, and a free address
//! pause    resume          the program stands still, and what comes meanwhile is there all at once
//! c1 refused               a new connection to the platform's front is refused
//! c1 reset                 the client ends its connection at once, by a reset
//! c1 narrow                connects with little room for answers that the client has not read
//! c1 arrived               waits until all that the client wrote has come to the program's side
//! c1 bytewise              what the client writes from now on goes out a byte at a time
//! store admit a1           a store whose queue was full takes connections in; store < admitted NAME at=a1   one came
//! store dialled a1         a connection to a store whose queue is full is under way
//! descriptors 40           the program holds each descriptor below that number
//! store close aa           the store closes the connection of that request, as an idle one
//! store abort aa           the store resets the connection, which carried this request alone
//! bulletin text id: 2\ndata  just these bytes, with line ends as \n
//! bulletin vanish          the next edit moves to $feed, where nobody listens until: bulletin rise
//! clock step +3600s        the wall clock of the program steps at once, also back
//! fault accept ECONNABORTED 3    its next three accepts fail with that (names: `larchway_fault_plan`)
//! fault read ETIMEDOUT port=$a1p  its next read from the peer of that port, here a store's: $a1p, $a2p, $b1p, $c1p
//! fault file-rename EIO 9 after=1    of its next renames in a state folder, the first succeeds and nine fail
//! fault accept spent       waits until they have failed;    fault accept end    none fails any more
//! ```
//! A body `#N` stands for N bytes of every value. Expectations have seconds to be met, so no timing is tight.
mod clients;
pub mod ensemble;
mod event_source;
mod expectations;
mod fault_lines;
pub mod faults;
mod files;
mod machine_sockets;
mod operators;
mod process;
mod script;
mod settings;
mod setup;
mod stores;
mod thrift_calls;
mod traffic;

pub use clients::connect_narrow;
pub use expectations::soon;
use faults::Faults;
pub use files::file;
pub use settings::{edited_settings, FILES, FRONT, ROW, SECOND, SETTINGS};
pub use setup::{usual, usual_with, Setup};
use socket2::Socket;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command};
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::{Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
pub use stores::entry;
use stores::HeldStore;
pub use thrift_calls::{call_frame, request_fields, CALL};
pub use traffic::{
    connect_to_both_stores, leave_answers_unread, read_unread_answers, serve_objects,
    write_as_an_idle_connection_ends,
};

/// How long an expectation may take to be met.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// Milliseconds of the Unix clock.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis() as u64
}

/// A message that some stand-in has received.
struct ReceivedMessage {
    /// The kind of stand-in: `store` or `bulletin`.
    who: &'static str,
    /// The name of the store, or the address of the source of events.
    at: String,
    /// The kind of message.
    word: String,
    /// The id of the request.
    id: String,
    /// Its fields, as they came.
    fields: String,
    body: Vec<u8>,
    stream: Option<TcpStream>,
}

/// A gateway under test with all its stand-ins.
pub struct Scenario {
    child: Child,
    /// How the program is started again, and the process before the last one.
    program: Option<Command>,
    old: Option<Child>,
    front: SocketAddr,
    second: SocketAddr,
    console: Option<SocketAddr>,
    /// What stand-ins receive, and of it what no line has waited for yet.
    messages: Receiver<ReceivedMessage>,
    backlog: Vec<ReceivedMessage>,
    /// The id of the request taken last, and the connections of all that were taken.
    last_request: String,
    request_streams: HashMap<String, TcpStream>,
    /// Connections of clients, and what has come on them.
    clients: BTreeMap<String, (TcpStream, Vec<u8>)>,
    /// Clients whose bytes go out one at a time.
    bytewise: BTreeSet<String>,
    logged: Receiver<String>,
    /// Paths and texts of the program's files.
    files: BTreeMap<String, (String, String)>,
    message_sender: Sender<ReceivedMessage>,
    bulletin: Arc<Mutex<Option<TcpStream>>>,
    muted: Arc<AtomicBool>,
    vars: HashMap<String, String>,
    /// Requests made by [`Scenario::until_held`].
    made_requests: usize,
    /// Stores whose queue of connections is full.
    held_stores: HashMap<&'static str, HeldStore>,
    /// An address at which nobody listens yet.
    vacant_socket: Option<Socket>,
    /// What goes wrong in the program.
    faults: Faults,
}

impl Drop for Scenario {
    fn drop(&mut self) {
        for child in [Some(&mut self.child), self.old.as_mut()].into_iter().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Scenario {
    pub fn set(&mut self, name: &str, value: &str) -> &mut Self {
        self.vars.insert(name.to_string(), value.to_string());
        self
    }

    /// Waits for the step of the program's wall clock that the environment asks for; by how many seconds it stepped.
    pub fn settle_clock(&self) -> i64 {
        self.faults.settle_clock();
        Faults::asked_step()
    }

    /// Lets a program that is run beside the gateway see the gateway's wall clock.
    pub fn share_clock(&self, command: &mut Command) {
        self.faults.settle_clock();
        self.faults.put_on(command);
    }

    /// How many numbers were drawn to choose which calls of the program fail.
    pub fn draws(&self) -> u64 {
        self.faults.draws()
    }

    /// Issues a link by the same file as the gateway's, valid from and until so many seconds from now. A step that the environment
    /// asks for changes nothing about it.
    pub fn link(&mut self, name: &str, path: &str, from: i64, until: i64, token: bool) -> &mut Self {
        use larchway_gateway::signed::{link, token};
        let front = larchway_gateway::config::front(FRONT, |_| None).expect("a front");
        let now = unix_ms() as i64 / 1000 + self.settle_clock();
        let at = |span: i64| (now + span) as u64;
        let link = if token {
            let uri = format!("{}{path}", front.base);
            let grant = token::Grant { uri: &uri, expires: at(until), not_before: Some(at(from)) };
            let made = token::issue(&front.keys, None, &front.parties, &grant);
            format!("{path}?{}={}", token::PARAMETER, made.expect("issues"))
        } else {
            let grant = link::Grant { method: "GET", path, expires: at(until), not_before: Some(at(from)) };
            link::issue(&front.keys, None, &grant).expect("issues")
        };
        self.set(name, &link)
    }

    pub fn var(&self, name: &str) -> &str {
        &self.vars[name]
    }
}
