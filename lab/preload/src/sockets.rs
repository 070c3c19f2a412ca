//! Calls that make sockets, and those that move bytes over sockets and into files.

use crate::files::is_state_file;
use crate::plan::{cut, cut_file_write, fail, failure, port, Descriptor};
use crate::real::real;
use larchway_fault_plan::Call;
use libc::{c_int, c_void, iovec, msghdr, size_t, sockaddr, socklen_t, ssize_t};

/// What becomes of a read or write.
enum Fate {
    Fails(c_int),
    /// It moves so many bytes at most.
    Moves(usize),
}

/// What becomes of a read of so many bytes.
fn read_fate(file: c_int, length: usize, flags: c_int) -> Fate {
    let tcp = if flags & libc::MSG_PEEK != 0 { Call::Peek } else { Call::Read };
    fate(file, Descriptor(file).call(tcp, Call::UnixRead, Call::DatagramRead), length)
}

/// What becomes of a write of so many bytes.
fn write_fate(file: c_int, length: usize, flags: c_int) -> Fate {
    match Descriptor(file).call(Call::Write, Call::UnixWrite, Call::DatagramWrite) {
        None if is_state_file(file) => file_write_fate(length),
        Some(Call::UnixWrite) if flags & libc::MSG_DONTWAIT != 0 => Fate::Moves(length),
        call => fate(file, call, length),
    }
}

/// What becomes of a write of so many bytes to a file of a state folder.
fn file_write_fate(length: usize) -> Fate {
    match failure(Call::FileWrite, || 0) {
        Some(errno) => Fate::Fails(errno),
        None => Fate::Moves(cut_file_write(length)),
    }
}

fn fate(file: c_int, call: Option<Call>, length: usize) -> Fate {
    let Some(call) = call else { return Fate::Moves(length) };
    if let Some(errno) = failure(call, || Descriptor(file).peer_port()) {
        return Fate::Fails(errno);
    }
    match call {
        Call::Read | Call::Write => Fate::Moves(cut(length)),
        _ => Fate::Moves(length),
    }
}

/// The bytes of several buffers.
unsafe fn total(buffers: *const iovec, count: usize) -> usize {
    (0..count).map(|at| (*buffers.add(at)).iov_len).sum()
}

/// The front part of several buffers, of so many bytes in all.
unsafe fn front(buffers: *const iovec, count: usize, mut length: usize) -> Vec<iovec> {
    let mut parts = Vec::new();
    for index in 0..count {
        let buffer = *buffers.add(index);
        let part = buffer.iov_len.min(length);
        length -= part;
        parts.push(iovec { iov_base: buffer.iov_base, iov_len: part });
    }
    parts
}

#[no_mangle]
unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let call = match domain {
        libc::AF_INET | libc::AF_INET6 => Some(Call::Socket),
        libc::AF_UNIX => Some(Call::UnixSocket),
        _ => None,
    };
    if let Some(errno) = call.and_then(|call| failure(call, || 0)) {
        return fail(errno);
    }
    real!(socket: fn(c_int, c_int, c_int) -> c_int; domain, kind, protocol)
}

#[no_mangle]
unsafe extern "C" fn socketpair(domain: c_int, kind: c_int, protocol: c_int, pair: *mut c_int) -> c_int {
    if let Some(errno) = failure(Call::SocketPair, || 0) {
        return fail(errno);
    }
    real!(socketpair: fn(c_int, c_int, c_int, *mut c_int) -> c_int; domain, kind, protocol, pair)
}

#[no_mangle]
unsafe extern "C" fn accept(file: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    if let Some(errno) = failure(Call::Accept, || 0) {
        return fail(errno);
    }
    real!(accept: fn(c_int, *mut sockaddr, *mut socklen_t) -> c_int; file, address, length)
}

#[no_mangle]
unsafe extern "C" fn accept4(
    file: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(errno) = failure(Call::Accept, || 0) {
        return fail(errno);
    }
    real!(accept4: fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int; file, address, length, flags)
}

#[no_mangle]
unsafe extern "C" fn connect(file: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let of_ip =
        Descriptor(file).call(Call::Connect, Call::UnixWrite, Call::DatagramWrite) == Some(Call::Connect);
    let failing = if of_ip { failure(Call::Connect, || port(address)) } else { None };
    match failing {
        // An interrupted connect goes on by itself (connect(2)).
        Some(libc::EINTR) => {
            let _ = real!(connect: fn(c_int, *const sockaddr, socklen_t) -> c_int; file, address, length);
            fail(libc::EINTR)
        }
        Some(errno) => fail(errno),
        None => real!(connect: fn(c_int, *const sockaddr, socklen_t) -> c_int; file, address, length),
    }
}

#[no_mangle]
unsafe extern "C" fn read(file: c_int, bytes: *mut c_void, length: size_t) -> ssize_t {
    match read_fate(file, length, 0) {
        Fate::Fails(errno) => fail(errno),
        Fate::Moves(length) => {
            real!(read: fn(c_int, *mut c_void, size_t) -> ssize_t; file, bytes, length)
        }
    }
}

#[no_mangle]
unsafe extern "C" fn readv(file: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    match read_fate(file, total(buffers, count as usize), 0) {
        Fate::Fails(errno) => fail(errno),
        Fate::Moves(length) => {
            let parts = front(buffers, count as usize, length);
            real!(readv: fn(c_int, *const iovec, c_int) -> ssize_t; file, parts.as_ptr(), count)
        }
    }
}

#[no_mangle]
unsafe extern "C" fn recv(file: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    match read_fate(file, length, flags) {
        Fate::Fails(errno) => fail(errno),
        Fate::Moves(length) => {
            real!(recv: fn(c_int, *mut c_void, size_t, c_int) -> ssize_t; file, bytes, length, flags)
        }
    }
}

#[no_mangle]
unsafe extern "C" fn recvfrom(
    file: c_int,
    bytes: *mut c_void,
    length: size_t,
    flags: c_int,
    from: *mut sockaddr,
    from_length: *mut socklen_t,
) -> ssize_t {
    match read_fate(file, length, flags) {
        Fate::Fails(errno) => fail(errno),
        Fate::Moves(length) => {
            real!(recvfrom: fn(c_int, *mut c_void, size_t, c_int, *mut sockaddr, *mut socklen_t) -> ssize_t;
                file, bytes, length, flags, from, from_length)
        }
    }
}

#[no_mangle]
unsafe extern "C" fn recvmsg(file: c_int, message: *mut msghdr, flags: c_int) -> ssize_t {
    // Its bytes are never cut: what comes with them might be lost.
    match read_fate(file, 0, flags) {
        Fate::Fails(errno) => fail(errno),
        Fate::Moves(_) => real!(recvmsg: fn(c_int, *mut msghdr, c_int) -> ssize_t; file, message, flags),
    }
}

#[no_mangle]
unsafe extern "C" fn write(file: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    match write_fate(file, length, 0) {
        Fate::Fails(errno) => fail(errno),
        Fate::Moves(length) => {
            real!(write: fn(c_int, *const c_void, size_t) -> ssize_t; file, bytes, length)
        }
    }
}

#[no_mangle]
unsafe extern "C" fn writev(file: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    match write_fate(file, total(buffers, count as usize), 0) {
        Fate::Fails(errno) => fail(errno),
        Fate::Moves(length) => {
            let parts = front(buffers, count as usize, length);
            real!(writev: fn(c_int, *const iovec, c_int) -> ssize_t; file, parts.as_ptr(), count)
        }
    }
}

#[no_mangle]
unsafe extern "C" fn send(file: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    match write_fate(file, length, flags) {
        Fate::Fails(errno) => fail(errno),
        Fate::Moves(length) => {
            real!(send: fn(c_int, *const c_void, size_t, c_int) -> ssize_t; file, bytes, length, flags)
        }
    }
}

#[no_mangle]
unsafe extern "C" fn sendto(
    file: c_int,
    bytes: *const c_void,
    length: size_t,
    flags: c_int,
    to: *const sockaddr,
    to_length: socklen_t,
) -> ssize_t {
    match write_fate(file, length, flags) {
        Fate::Fails(errno) => fail(errno),
        Fate::Moves(length) => {
            real!(sendto: fn(c_int, *const c_void, size_t, c_int, *const sockaddr, socklen_t) -> ssize_t;
                file, bytes, length, flags, to, to_length)
        }
    }
}

#[no_mangle]
unsafe extern "C" fn sendmsg(file: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    match write_fate(file, 0, flags) {
        Fate::Fails(errno) => fail(errno),
        Fate::Moves(_) => real!(sendmsg: fn(c_int, *const msghdr, c_int) -> ssize_t; file, message, flags),
    }
}
