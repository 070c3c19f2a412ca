//! The kinds of faults drawn at random, and the errors with which calls fail under them.
use super::Call;

/// A kind of failure of a share of all calls, drawn at random.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RandomFault {
    /// A fifth of reads, writes, waits and accepts are interrupted.
    Interrupted,
    /// A third of accepts fail.
    Accept,
    /// A fifth of connects fail.
    Connect,
    /// A fifth of new IP sockets are refused.
    Socket,
    /// Reads and writes of TCP connections are cut to 1 to 4,000 bytes.
    Short,
    /// A tenth of the calls on state folders and their files fail, and half of the writes are cut short.
    Folder,
}

impl RandomFault {
    /// All kinds.
    pub const ALL: [RandomFault; 6] = [
        RandomFault::Interrupted,
        RandomFault::Accept,
        RandomFault::Connect,
        RandomFault::Socket,
        RandomFault::Short,
        RandomFault::Folder,
    ];

    /// The name by which runs of the suite call it.
    pub fn name(self) -> &'static str {
        match self {
            RandomFault::Interrupted => "eintr",
            RandomFault::Accept => "accept",
            RandomFault::Connect => "connect",
            RandomFault::Socket => "socket",
            RandomFault::Short => "short",
            RandomFault::Folder => "folder",
        }
    }

    /// The kind of this name.
    pub fn named(name: &str) -> Option<RandomFault> {
        RandomFault::ALL.into_iter().find(|fault| fault.name() == name)
    }

    /// Its bit.
    pub fn bit(self) -> u64 {
        1 << self as u64
    }

    /// The errors with which this call fails, and one in how many calls does.
    pub fn failures(self, call: Call) -> Option<(&'static [i32], u64)> {
        match (self, call) {
            // Calls that signals never interrupt.
            (
                RandomFault::Interrupted,
                Call::Connect
                | Call::Socket
                | Call::UnixSocket
                | Call::SocketPair
                | Call::EventDescriptor
                | Call::ThreadStart,
            ) => None,
            (RandomFault::Interrupted, _) => Some((&[libc::EINTR], 5)),
            (RandomFault::Accept, Call::Accept) => Some((&ACCEPT_ERRORS, 3)),
            (RandomFault::Connect, Call::Connect) => Some((&CONNECT_ERRORS, 5)),
            (RandomFault::Socket, Call::Socket) => Some((&SOCKET_ERRORS, 5)),
            (RandomFault::Folder, Call::FileOpen) => Some((&FILE_OPEN_ERRORS, 10)),
            (RandomFault::Folder, Call::FileWrite) => Some((&FILE_WRITE_ERRORS, 10)),
            (RandomFault::Folder, Call::FileSync | Call::FolderSync) => Some((&SYNC_ERRORS, 10)),
            (RandomFault::Folder, Call::FileRename) => Some((&RENAME_ERRORS, 10)),
            _ => None,
        }
    }
}

/// accept(2): shortages of this machine, and errors of a connection that has gone while it waited.
const ACCEPT_ERRORS: [i32; 8] = [
    libc::ECONNABORTED,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::EMFILE,
    libc::EPROTO,
    libc::ENETDOWN,
    libc::EHOSTUNREACH,
    libc::ENOMEM,
];
/// connect(2): what this machine may lack for a moment.
const CONNECT_ERRORS: [i32; 4] = [libc::ENETUNREACH, libc::EADDRNOTAVAIL, libc::ENOBUFS, libc::EAGAIN];
/// socket(2).
const SOCKET_ERRORS: [i32; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
/// open(2).
const FILE_OPEN_ERRORS: [i32; 4] = [libc::ENOSPC, libc::EROFS, libc::EDQUOT, libc::EINTR];
/// write(2).
const FILE_WRITE_ERRORS: [i32; 4] = [libc::ENOSPC, libc::EIO, libc::EDQUOT, libc::EINTR];
/// fsync(2).
const SYNC_ERRORS: [i32; 5] = [libc::ENOSPC, libc::EIO, libc::EROFS, libc::EDQUOT, libc::EINTR];
/// rename(2), and what file systems hand on of their devices.
const RENAME_ERRORS: [i32; 4] = [libc::ENOSPC, libc::EIO, libc::EROFS, libc::EDQUOT];
