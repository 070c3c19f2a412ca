//! The plan of faults that a test shares with the fault library (`lab/preload`) in a process under test.
//!
//! The plan is a small file that the library maps: a test changes a slot of it, and the process sees the change at its
//! next call. Each slot has 64 bits, so that both sides read and write it atomically.
//!
//! | slot | content |
//! | --- | --- |
//! | 0 | how far the process's wall clock is ahead, in µs (signed) |
//! | 1 | the [`RandomFault`]s in force, a bit each |
//! | 2 | the seed of the random faults |
//! | 3 | how many random numbers were drawn |
//! | 4 and up | by [`Call`], the [`Forced`] failure of its next calls |

mod call;
mod random_fault;

pub use call::Call;
pub use random_fault::RandomFault;

/// The environment variable that names the file.
pub const PLAN_VARIABLE: &str = "LARCHWAY_FAULT_PLAN";
/// Bytes of the file: one page.
pub const PLAN_BYTES: usize = 4096;
/// Bytes of a slot.
pub const SLOT_BYTES: usize = 8;
/// The slot of the clock's offset.
pub const CLOCK_OFFSET_SLOT: usize = 0;
/// The slot of the random faults in force.
pub const RANDOM_FAULTS_SLOT: usize = 1;
/// The environment variable that names the state folders, with colons between: of the files in them alone, calls fail.
pub const FOLDERS_VARIABLE: &str = "LARCHWAY_FAULT_FOLDERS";
/// The environment variable that names the configuration files, with colons between: their opens alone fail.
pub const CONFIGURATION_VARIABLE: &str = "LARCHWAY_FAULT_CONFIGURATION";
/// The slot of the seed.
pub const SEED_SLOT: usize = 2;
/// The slot that counts the random numbers drawn.
pub const DRAW_COUNT_SLOT: usize = 3;
/// The slot of the first call's forced failure.
const FIRST_FORCED_SLOT: usize = 4;

/// The failure of the next calls of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forced {
    /// The error number.
    pub errno: u16,
    /// How many calls it is for.
    pub calls: u16,
    /// The port of the other side whose calls alone fail; 0: any.
    pub port: u16,
    /// How many calls succeed before the first that fails.
    pub after: u16,
}

impl Forced {
    /// The value of its slot; 0: none.
    pub fn pack(self) -> u64 {
        u64::from(self.errno)
            | u64::from(self.calls) << 16
            | u64::from(self.port) << 32
            | u64::from(self.after) << 48
    }

    /// The failure that a slot holds, if any call is left.
    pub fn unpack(packed: u64) -> Option<Forced> {
        let part = |shift: u32| (packed >> shift) as u16;
        let forced = Forced { errno: part(0), calls: part(16), port: part(32), after: part(48) };
        (forced.calls > 0).then_some(forced)
    }

    /// The same once a call was made, be it one that succeeds or one that fails.
    pub fn spent(self) -> Forced {
        match self.after {
            0 => Forced { calls: self.calls - 1, ..self },
            after => Forced { after: after - 1, ..self },
        }
    }

    /// Whether the next call fails.
    pub fn is_due(self) -> bool {
        self.after == 0
    }
}

/// The error of this name.
pub fn errno(name: &str) -> Option<i32> {
    let named = [
        ("EINTR", libc::EINTR),
        ("EAGAIN", libc::EAGAIN),
        ("ECONNABORTED", libc::ECONNABORTED),
        ("ECONNREFUSED", libc::ECONNREFUSED),
        ("ECONNRESET", libc::ECONNRESET),
        ("EPIPE", libc::EPIPE),
        ("ETIMEDOUT", libc::ETIMEDOUT),
        ("EHOSTUNREACH", libc::EHOSTUNREACH),
        ("EHOSTDOWN", libc::EHOSTDOWN),
        ("ENETUNREACH", libc::ENETUNREACH),
        ("ENETDOWN", libc::ENETDOWN),
        ("ENONET", libc::ENONET),
        ("EPROTO", libc::EPROTO),
        ("ENOPROTOOPT", libc::ENOPROTOOPT),
        ("EOPNOTSUPP", libc::EOPNOTSUPP),
        ("EPERM", libc::EPERM),
        ("EACCES", libc::EACCES),
        ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
        ("EMFILE", libc::EMFILE),
        ("ENFILE", libc::ENFILE),
        ("ENOBUFS", libc::ENOBUFS),
        ("ENOMEM", libc::ENOMEM),
        ("EIO", libc::EIO),
        ("ENOSPC", libc::ENOSPC),
        ("EROFS", libc::EROFS),
        ("EDQUOT", libc::EDQUOT),
    ];
    named.iter().find(|(n, _)| *n == name).map(|(_, number)| *number)
}
