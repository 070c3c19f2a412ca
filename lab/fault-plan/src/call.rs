//! The kinds of system calls that can fail.
use super::FIRST_FORCED_SLOT;

/// A kind of system call that can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// `accept`, `accept4`.
    Accept,
    /// `connect` of an IP socket.
    Connect,
    /// `socket` for an IP socket.
    Socket,
    /// Reads of a TCP connection: `read`, `readv`, `recv`, `recvfrom`, `recvmsg`.
    Read,
    /// Reads of a TCP connection that leave the bytes where they are (`MSG_PEEK`).
    Peek,
    /// Writes to a TCP connection: `write`, `writev`, `send`, `sendto`, `sendmsg`.
    Write,
    /// Reads of a Unix socket: signals, operators, other processes.
    UnixRead,
    /// Writes to a Unix socket. Never those with `MSG_DONTWAIT`: a signal handler has no way to try again.
    UnixWrite,
    /// Reads of a datagram socket.
    DatagramRead,
    /// Writes to a datagram socket.
    DatagramWrite,
    /// `epoll_wait`, `epoll_pwait`.
    Wait,
    /// `poll`, `ppoll`.
    Poll,
    /// `socket` for a Unix socket: the admin socket, other processes.
    UnixSocket,
    /// `open`, `open64` for writing of a file in a state folder.
    FileOpen,
    /// `write` to a file in a state folder.
    FileWrite,
    /// `fsync`, `fdatasync` of a file in a state folder.
    FileSync,
    /// `rename` of a file in a state folder.
    FileRename,
    /// `fsync`, `fdatasync` of a state folder.
    FolderSync,
    /// `open`, `open64` for reading of a configuration file.
    ConfigurationOpen,
    /// `socketpair`.
    SocketPair,
    /// `eventfd`, which a poller is woken by.
    EventDescriptor,
    /// `pthread_create`.
    ThreadStart,
}

impl Call {
    /// All kinds.
    pub const ALL: [Call; 22] = [
        Call::Accept,
        Call::Connect,
        Call::Socket,
        Call::Read,
        Call::Peek,
        Call::Write,
        Call::UnixRead,
        Call::UnixWrite,
        Call::DatagramRead,
        Call::DatagramWrite,
        Call::Wait,
        Call::Poll,
        Call::UnixSocket,
        Call::FileOpen,
        Call::FileWrite,
        Call::FileSync,
        Call::FileRename,
        Call::FolderSync,
        Call::ConfigurationOpen,
        Call::SocketPair,
        Call::EventDescriptor,
        Call::ThreadStart,
    ];

    /// The name by which scenarios call it.
    pub fn name(self) -> &'static str {
        match self {
            Call::Accept => "accept",
            Call::Connect => "connect",
            Call::Socket => "socket",
            Call::Read => "read",
            Call::Peek => "peek",
            Call::Write => "write",
            Call::UnixRead => "unix-read",
            Call::UnixWrite => "unix-write",
            Call::DatagramRead => "datagram-read",
            Call::DatagramWrite => "datagram-write",
            Call::Wait => "wait",
            Call::Poll => "poll",
            Call::UnixSocket => "unix-socket",
            Call::FileOpen => "file-open",
            Call::FileWrite => "file-write",
            Call::FileSync => "file-sync",
            Call::FileRename => "file-rename",
            Call::FolderSync => "folder-sync",
            Call::ConfigurationOpen => "configuration-open",
            Call::SocketPair => "socket-pair",
            Call::EventDescriptor => "eventfd",
            Call::ThreadStart => "thread-start",
        }
    }

    /// The kind of this name.
    pub fn named(name: &str) -> Option<Call> {
        Call::ALL.into_iter().find(|call| call.name() == name)
    }

    /// The slot of its forced failure.
    pub fn slot(self) -> usize {
        FIRST_FORCED_SLOT + self as usize
    }
}
