//! A store's side of membership: a session of its own that owns an ephemeral node, over a real socket.
use crate::clock::now;
use larchway::MonotonicTime;
use larchway_zookeeper::client::{Client, ClientConfig, ClientEvent, Input, Output, Registration};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;

/// How long a pause is slept through before the flag is read again, and how long a session without a connection waits.
const IDLE_INTERVAL: Duration = Duration::from_millis(5);
/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a read waits.
const READ_TIMEOUT: Duration = Duration::from_millis(10);
/// Bytes read at once.
const BUFFER_LENGTH: usize = 4096;

/// A command to the session's thread.
enum Command {
    SetData(Vec<u8>),
    Close,
}

/// Whether a session's thread goes on.
#[derive(PartialEq, Eq)]
enum Progress {
    Continues,
    Ended,
}

/// A store's session.
pub struct Registrar {
    commands: Sender<Command>,
    registered: Arc<AtomicBool>,
    /// Unix µs until which it makes no call: a process that is paused.
    paused: Arc<AtomicU64>,
}

impl Registrar {
    /// Registers at this path, below a base that is made if it is not there.
    pub fn start(
        servers: Vec<SocketAddr>,
        base: &str,
        name: &str,
        data: &[u8],
        timeout_ms: u64,
        seed: u64,
    ) -> Self {
        let config = ClientConfig {
            servers: servers.len(),
            timeout: Duration::from_millis(timeout_ms),
            credentials: Vec::new(),
            registration: Some(Registration { base: base.into(), name: name.into(), data: data.to_vec() }),
            watched_paths: Vec::new(),
            sync_interval: Duration::ZERO,
        };
        let (commands, received) = channel();
        let registered = Arc::new(AtomicBool::new(false));
        let paused = Arc::new(AtomicU64::new(0));
        let session = Session {
            client: Client::new(config, seed),
            servers,
            commands: received,
            registered: registered.clone(),
            paused: paused.clone(),
            stream: None,
            outputs: Vec::new(),
        };
        std::thread::spawn(move || session.run());
        Registrar { commands, registered, paused }
    }

    /// Whether its node exists, as far as it knows.
    pub fn registered(&self) -> bool {
        self.registered.load(Ordering::Relaxed)
    }

    /// Changes its node's data.
    pub fn set(&self, data: &[u8]) {
        // A session that has ended takes no more commands.
        let _ = self.commands.send(Command::SetData(data.to_vec()));
    }

    /// Closes the session.
    pub fn close(&self) {
        let _ = self.commands.send(Command::Close);
    }

    /// Does nothing for a while, as a process that is paused; a longer pause holds.
    pub fn pause(&self, ms: u64) {
        self.paused.fetch_max(now() + ms * 1000, Ordering::Relaxed);
    }
}

/// The state of the session's thread.
struct Session {
    client: Client,
    servers: Vec<SocketAddr>,
    commands: Receiver<Command>,
    registered: Arc<AtomicBool>,
    paused: Arc<AtomicU64>,
    stream: Option<TcpStream>,
    outputs: Vec<Output>,
}

impl Session {
    /// Runs the session until it is closed.
    fn run(mut self) {
        loop {
            if now() < self.paused.load(Ordering::Relaxed) {
                std::thread::sleep(IDLE_INTERVAL);
                continue;
            }
            self.handle_command();
            if self.client.next_due().is_some_and(|due| due.as_micros() <= now()) {
                self.handle(Input::Tick);
            }
            self.read();
            if self.carry_out_all() == Progress::Ended {
                return self.registered.store(false, Ordering::Relaxed);
            }
            self.registered.store(self.client.registered(), Ordering::Relaxed);
        }
    }

    /// Passes an input to the client; its outputs are collected.
    fn handle(&mut self, input: Input<'_>) {
        self.client.handle(MonotonicTime::from_micros(now()), input, &mut self.outputs);
    }

    fn handle_command(&mut self) {
        match self.commands.try_recv() {
            Ok(Command::SetData(data)) => self.handle(Input::Data(data)),
            Ok(Command::Close) => self.handle(Input::Close),
            Err(_) => {}
        }
    }

    fn read(&mut self) {
        let Some(stream) = &mut self.stream else { return std::thread::sleep(IDLE_INTERVAL) };
        let mut buffer = [0; BUFFER_LENGTH];
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => {
                self.handle(Input::Bytes(&buffer[..length]));
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => {
                self.stream = None;
                self.handle(Input::ConnectionLost("closed"));
            }
        }
    }

    /// Carries out the outputs of the session, and those that follow from them.
    fn carry_out_all(&mut self) -> Progress {
        let mut index = 0;
        while index < self.outputs.len() {
            let output = self.outputs[index].clone();
            if self.carry_out(output) == Progress::Ended {
                return Progress::Ended;
            }
            index += 1;
        }
        self.outputs.clear();
        Progress::Continues
    }

    fn carry_out(&mut self, output: Output) -> Progress {
        match output {
            Output::Connect(server) => self.connect(server),
            Output::Write(bytes) => {
                if let Some(stream) = &mut self.stream {
                    // A broken connection is noticed by the next read.
                    let _ = stream.write_all(&bytes);
                }
            }
            Output::Disconnect(_) => self.stream = None,
            Output::Event(ClientEvent::Closed) => return Progress::Ended,
            Output::Event(_) => {}
        }
        Progress::Continues
    }

    fn connect(&mut self, server: usize) {
        match TcpStream::connect_timeout(&self.servers[server], CONNECT_TIMEOUT) {
            Ok(stream) => {
                let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
                let _ = stream.set_nodelay(true);
                self.stream = Some(stream);
                self.handle(Input::Connected);
            }
            Err(error) => {
                let reason = error.to_string();
                self.handle(Input::ConnectionLost(&reason));
            }
        }
    }
}
