//! Calls that wait for descriptors to be ready, and the one by which a poller gets what wakes it.

use crate::plan::{fail, failure};
use crate::real::real;
use larchway_fault_plan::Call;
use libc::{c_int, c_uint, epoll_event, nfds_t, pollfd, sigset_t, timespec};

fn no_port() -> u16 {
    0
}

#[no_mangle]
unsafe extern "C" fn eventfd(initial: c_uint, flags: c_int) -> c_int {
    if let Some(errno) = failure(Call::EventDescriptor, no_port) {
        return fail(errno);
    }
    real!(eventfd: fn(c_uint, c_int) -> c_int; initial, flags)
}

#[no_mangle]
unsafe extern "C" fn epoll_wait(
    poller: c_int,
    events: *mut epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(errno) = failure(Call::Wait, no_port) {
        return fail(errno);
    }
    real!(epoll_wait: fn(c_int, *mut epoll_event, c_int, c_int) -> c_int; poller, events, most, timeout)
}

#[no_mangle]
unsafe extern "C" fn epoll_pwait(
    poller: c_int,
    events: *mut epoll_event,
    most: c_int,
    timeout: c_int,
    mask: *const sigset_t,
) -> c_int {
    if let Some(errno) = failure(Call::Wait, no_port) {
        return fail(errno);
    }
    real!(epoll_pwait: fn(c_int, *mut epoll_event, c_int, c_int, *const sigset_t) -> c_int;
        poller, events, most, timeout, mask)
}

#[no_mangle]
unsafe extern "C" fn poll(files: *mut pollfd, count: nfds_t, timeout: c_int) -> c_int {
    if let Some(errno) = failure(Call::Poll, no_port) {
        return fail(errno);
    }
    real!(poll: fn(*mut pollfd, nfds_t, c_int) -> c_int; files, count, timeout)
}

#[no_mangle]
unsafe extern "C" fn ppoll(
    files: *mut pollfd,
    count: nfds_t,
    timeout: *const timespec,
    mask: *const sigset_t,
) -> c_int {
    if let Some(errno) = failure(Call::Poll, no_port) {
        return fail(errno);
    }
    real!(ppoll: fn(*mut pollfd, nfds_t, *const timespec, *const sigset_t) -> c_int; files, count, timeout, mask)
}
