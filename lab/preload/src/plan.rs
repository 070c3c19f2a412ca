//! The shared plan, as this process reads it: which call fails, and how.

use larchway_fault_plan::{
    Call, Forced, RandomFault, CLOCK_OFFSET_SLOT, DRAW_COUNT_SLOT, PLAN_BYTES, PLAN_VARIABLE,
    RANDOM_FAULTS_SLOT, SEED_SLOT, SLOT_BYTES,
};
use libc::{c_int, c_void};
use std::ffi::CString;
use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};

/// The bytes that a short read or write moves, at most.
const SHORT_BYTES: u64 = 4000;
/// The slots of a process without a plan: nothing fails.
static NO_PLAN: [AtomicU64; PLAN_BYTES / SLOT_BYTES] = [const { AtomicU64::new(0) }; PLAN_BYTES / SLOT_BYTES];
/// The slots of the plan, once they are mapped.
static SLOTS: AtomicPtr<AtomicU64> = AtomicPtr::new(std::ptr::null_mut());

/// Maps the plan's file, if the environment names one.
fn map() -> Option<*mut AtomicU64> {
    let variable = CString::new(PLAN_VARIABLE).ok()?;
    // SAFETY: the name ends with a zero byte; the file is opened, mapped shared for as long as the process lives, and
    // closed again; a mapping has the alignment of a page.
    unsafe {
        let path = libc::getenv(variable.as_ptr());
        if path.is_null() {
            return None;
        }
        let file = libc::open(path, libc::O_RDWR | libc::O_CLOEXEC);
        if file < 0 {
            libc::abort();
        }
        let access = libc::PROT_READ | libc::PROT_WRITE;
        let mapped = libc::mmap(std::ptr::null_mut(), PLAN_BYTES, access, libc::MAP_SHARED, file, 0);
        libc::close(file);
        if mapped == libc::MAP_FAILED {
            libc::abort();
        }
        Some(mapped.cast::<AtomicU64>())
    }
}

/// A slot of the plan.
fn slot(index: usize) -> &'static AtomicU64 {
    let mut slots = SLOTS.load(Ordering::Acquire);
    if slots.is_null() {
        slots = map().unwrap_or(NO_PLAN.as_ptr().cast_mut());
        // Two threads that map it at once both see the same file.
        SLOTS.store(slots, Ordering::Release);
    }
    assert!(index < PLAN_BYTES / SLOT_BYTES);
    // SAFETY: both tables hold so many slots, and live as long as the process.
    unsafe { &*slots.add(index) }
}

/// How far the wall clock is ahead, in µs.
pub(crate) fn clock_offset() -> i64 {
    slot(CLOCK_OFFSET_SLOT).load(Ordering::Relaxed) as i64
}

/// The next number drawn, below a bound.
fn draw(below: u64) -> u64 {
    let count = slot(DRAW_COUNT_SLOT).fetch_add(1, Ordering::Relaxed);
    let mut mixed = (slot(SEED_SLOT).load(Ordering::Relaxed) ^ count).wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ mixed >> 31) % below
}

/// The error with which a call is to fail; `port`: that of the other side, asked for only if it matters.
pub(crate) fn failure(call: Call, port: impl FnOnce() -> u16) -> Option<c_int> {
    match pending(call, port) {
        Some(forced) if forced.is_due() => spend(call).or_else(|| drawn(call)),
        // A call that fails as drawn is none of those that succeed before the forced failure.
        Some(_) => drawn(call).or_else(|| spend(call)),
        None => drawn(call),
    }
}

/// The forced failure that a call is counted for.
fn pending(call: Call, port: impl FnOnce() -> u16) -> Option<Forced> {
    let forced = Forced::unpack(slot(call.slot()).load(Ordering::Relaxed))?;
    (forced.port == 0 || forced.port == port()).then_some(forced)
}

/// Counts a call for the forced failure; the error, if the call is one that fails.
fn spend(call: Call) -> Option<c_int> {
    let spent = |packed| Forced::unpack(packed).map(|forced| forced.spent().pack());
    let before = slot(call.slot()).fetch_update(Ordering::Relaxed, Ordering::Relaxed, spent).ok()?;
    Forced::unpack(before).filter(|forced| forced.is_due()).map(|forced| c_int::from(forced.errno))
}

fn drawn(call: Call) -> Option<c_int> {
    let in_force = slot(RANDOM_FAULTS_SLOT).load(Ordering::Relaxed);
    let is_in_force = |fault: &RandomFault| in_force & fault.bit() != 0;
    for fault in RandomFault::ALL.into_iter().filter(is_in_force) {
        let Some((errors, one_in)) = fault.failures(call) else { continue };
        if draw(one_in) == 0 {
            return Some(errors[draw(errors.len() as u64) as usize]);
        }
    }
    None
}

/// How many bytes a read or write of so many may move.
pub(crate) fn cut(length: usize) -> usize {
    if slot(RANDOM_FAULTS_SLOT).load(Ordering::Relaxed) & RandomFault::Short.bit() == 0 {
        return length;
    }
    length.min(1 + draw(SHORT_BYTES) as usize)
}

/// How many bytes a write of so many to a file of a state folder may move.
pub(crate) fn cut_file_write(length: usize) -> usize {
    let in_force = slot(RANDOM_FAULTS_SLOT).load(Ordering::Relaxed) & RandomFault::Folder.bit() != 0;
    if !in_force || length == 0 || draw(2) == 0 {
        return length;
    }
    1 + draw(length as u64) as usize
}

/// Makes a call fail.
pub(crate) fn fail<T: From<i8>>(errno: c_int) -> T {
    // SAFETY: the place of this thread's error number.
    unsafe { *libc::__errno_location() = errno };
    T::from(-1)
}

/// The kind and the peer's port of a descriptor.
pub(crate) struct Descriptor(pub(crate) c_int);

impl Descriptor {
    fn option(&self, name: c_int) -> Option<c_int> {
        let (mut value, mut length) = (0, size_of::<c_int>() as libc::socklen_t);
        let place = (&raw mut value).cast::<c_void>();
        // SAFETY: the option is an int, and the place holds one.
        let done = unsafe { libc::getsockopt(self.0, libc::SOL_SOCKET, name, place, &raw mut length) };
        (done == 0).then_some(value)
    }

    /// Which of three calls this is: of a TCP connection, a Unix socket or a datagram socket; none for what is no
    /// socket.
    pub(crate) fn call(&self, tcp: Call, unix: Call, datagram: Call) -> Option<Call> {
        match (self.option(libc::SO_DOMAIN)?, self.option(libc::SO_TYPE)?) {
            (libc::AF_UNIX, _) => Some(unix),
            (_, libc::SOCK_STREAM) => Some(tcp),
            (_, libc::SOCK_DGRAM) => Some(datagram),
            _ => None,
        }
    }

    /// The port of the other side, 0 if there is none.
    pub(crate) fn peer_port(&self) -> u16 {
        let mut address = std::mem::MaybeUninit::<libc::sockaddr_storage>::zeroed();
        let mut length = size_of::<libc::sockaddr_storage>() as libc::socklen_t;
        // SAFETY: the place holds an address of every kind.
        let done = unsafe { libc::getpeername(self.0, address.as_mut_ptr().cast(), &raw mut length) };
        // SAFETY: the place is zeroed or written in full.
        unsafe {
            if done == 0 {
                port(address.as_ptr().cast())
            } else {
                0
            }
        }
    }
}

/// The port of an address, 0 if it isn't one of IP.
///
/// # Safety
/// The address is one of a system call, of the length that its family has.
pub(crate) unsafe fn port(address: *const libc::sockaddr) -> u16 {
    match c_int::from((*address).sa_family) {
        libc::AF_INET => u16::from_be((*address.cast::<libc::sockaddr_in>()).sin_port),
        libc::AF_INET6 => u16::from_be((*address.cast::<libc::sockaddr_in6>()).sin6_port),
        _ => 0,
    }
}
