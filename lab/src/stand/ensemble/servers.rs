//! The ensemble on sockets: one thread a connection, one for time; all state behind one lock.
use super::state::{Ensemble, SocketAction};
use crate::clock::now;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Time between two ticks of the ensemble.
const TICK: Duration = Duration::from_millis(10);
/// How long a write to a client may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes read at once.
const BUFFER_LENGTH: usize = 64 * 1024;

/// The ensemble with its open connections.
struct State {
    ensemble: Ensemble,
    connections: BTreeMap<u64, TcpStream>,
    /// The number of the last connection.
    last_connection: u64,
}

impl State {
    /// Carries out the actions that the ensemble has requested.
    fn carry_out_actions(&mut self) {
        for action in self.ensemble.take_actions() {
            match action {
                SocketAction::Write(connection, bytes) => {
                    if let Some(stream) = self.connections.get_mut(&connection) {
                        // A broken connection is noticed by its reader.
                        let _ = stream.write_all(&bytes);
                    }
                }
                SocketAction::Close(connection) => {
                    if let Some(stream) = self.connections.remove(&connection) {
                        let _ = stream.shutdown(Shutdown::Both);
                    }
                }
            }
        }
    }
}

/// A running ensemble; its threads end with the process.
#[derive(Clone)]
pub struct EnsembleServers {
    /// Its servers' addresses.
    pub servers: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
}

impl EnsembleServers {
    /// Starts so many servers, the first at this address, the others at ports of their own.
    pub fn start(first: SocketAddr, servers: usize) -> std::io::Result<Self> {
        let state =
            State { ensemble: Ensemble::new(servers), connections: BTreeMap::new(), last_connection: 0 };
        let state = Arc::new(Mutex::new(state));
        let mut addresses = Vec::new();
        for server in 0..servers {
            let address = if server == 0 { first } else { SocketAddr::new(first.ip(), 0) };
            let listener = TcpListener::bind(address)?;
            addresses.push(listener.local_addr()?);
            let state = state.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let state = state.clone();
                    std::thread::spawn(move || serve(stream, server, &state));
                }
            });
        }
        let ticking = state.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(TICK);
            let mut state = lock(&ticking);
            state.ensemble.tick(now());
            state.carry_out_actions();
        });
        Ok(EnsembleServers { servers: addresses, state })
    }

    /// Changes the ensemble, and carries out the actions that follow from it.
    pub fn with<T>(&self, change: impl FnOnce(&mut Ensemble) -> T) -> T {
        let mut state = lock(&self.state);
        let outcome = change(&mut state.ensemble);
        state.carry_out_actions();
        outcome
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    // A thread that panicked while it held the lock has already failed the trial.
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn serve(mut stream: TcpStream, server: usize, shared: &Mutex<State>) {
    let Ok(writer) = stream.try_clone() else { return };
    let _ = writer.set_nodelay(true);
    let _ = writer.set_write_timeout(Some(WRITE_TIMEOUT));
    let connection = {
        let mut state = lock(shared);
        state.last_connection += 1;
        let connection = state.last_connection;
        state.connections.insert(connection, writer);
        state.ensemble.accept(connection, server);
        state.carry_out_actions();
        connection
    };
    let mut buffer = vec![0; BUFFER_LENGTH];
    while let Ok(length) = stream.read(&mut buffer) {
        if length == 0 {
            break;
        }
        let mut state = lock(shared);
        state.ensemble.receive(now(), connection, &buffer[..length]);
        state.carry_out_actions();
    }
    let mut state = lock(shared);
    state.connections.remove(&connection);
    state.ensemble.disconnected(connection);
}
