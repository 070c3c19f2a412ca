//! The accepted connections of a stand-in, each served by a thread of its own, and the listener that accepts them. Both
//! end with their owner: a process that plays many scenarios must not hold descriptors of those that are over.
use socket2::SockRef;
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread::JoinHandle;
use std::time::Duration;

/// Pause after a connection that cannot be accepted, as where the process has no descriptor left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(5);

/// A connection and the thread that serves it. The thread alone holds the descriptor.
struct Served {
    stream: Weak<TcpStream>,
    thread: JoinHandle<()>,
}

/// Accepted connections. Entries of those that have ended go with the next one that is accepted.
#[derive(Default)]
pub(super) struct Connections {
    served: Mutex<Vec<Served>>,
}

impl Connections {
    fn lock(&self) -> MutexGuard<'_, Vec<Served>> {
        self.served.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves a connection in a thread; its descriptor is closed as soon as `serve` lets go of it.
    pub(super) fn serve(&self, stream: TcpStream, serve: impl FnOnce(Arc<TcpStream>) + Send + 'static) {
        let stream = Arc::new(stream);
        let weak = Arc::downgrade(&stream);
        let thread = std::thread::spawn(move || serve(stream));
        let mut served = self.lock();
        served.retain(|connection| !connection.thread.is_finished());
        served.push(Served { stream: weak, thread });
    }

    /// Ends all connections for both sides.
    pub(super) fn shut_down(&self) {
        for stream in self.lock().iter().filter_map(|connection| connection.stream.upgrade()) {
            // One that has ended already is as good.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends all connections, and waits until their threads have ended.
    pub(super) fn close(&self) {
        self.shut_down();
        for connection in std::mem::take(&mut *self.lock()) {
            // A thread that panicked has ended as well.
            let _ = connection.thread.join();
        }
    }
}

/// The other end of a connection; none once it is known to have left.
pub(super) struct Client(Option<Arc<TcpStream>>);

impl Client {
    pub(super) fn new(stream: Arc<TcpStream>) -> Self {
        Client(Some(stream))
    }

    /// Its connection, unless it is known to have left.
    pub(super) fn stream(&self) -> Option<&TcpStream> {
        self.0.as_deref()
    }

    /// Closes the connection if the client has closed it.
    pub(super) fn close_if_left(&mut self) {
        if self.0.as_deref().is_some_and(has_left) {
            self.0 = None;
        }
    }
}

/// Whether the other side has closed a connection, and nothing that it sent is left to read.
fn has_left(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    !matches!(peeked, Ok(1..)) && !peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// A listener and its connections, which end with this.
pub(super) struct Acceptor {
    listener: Arc<TcpListener>,
    has_ended: Arc<AtomicBool>,
    connections: Arc<Connections>,
    thread: Option<JoinHandle<()>>,
}

impl Acceptor {
    /// Listens on any port of loopback, and serves each connection in a thread.
    ///
    /// # Errors
    /// Those of listening.
    pub(super) fn start(
        serve: impl Fn(Arc<TcpStream>) + Clone + Send + 'static,
    ) -> std::io::Result<(Acceptor, SocketAddr)> {
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0")?);
        let address = listener.local_addr()?;
        let (has_ended, connections) = (Arc::<AtomicBool>::default(), Arc::<Connections>::default());
        let (accepting, ended, accepted) = (listener.clone(), has_ended.clone(), connections.clone());
        let thread = std::thread::spawn(move || loop {
            let stream = accepting.accept();
            if ended.load(Ordering::Relaxed) {
                return;
            }
            match stream {
                Ok((stream, _)) => accepted.serve(stream, serve.clone()),
                Err(_) => std::thread::sleep(ACCEPT_BACKOFF),
            }
        });
        Ok((Acceptor { listener, has_ended, connections, thread: Some(thread) }, address))
    }
}

impl Drop for Acceptor {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::Relaxed);
        // An accept that waits returns with an error.
        let _ = SockRef::from(&*self.listener).shutdown(Shutdown::Both);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.connections.close();
    }
}
