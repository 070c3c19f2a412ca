//! Calls that start threads.

use crate::plan::failure;
use crate::real::real;
use larchway_fault_plan::Call;
use libc::{c_int, c_void, pthread_attr_t, pthread_t};

/// What a thread runs.
type Main = extern "C" fn(*mut c_void) -> *mut c_void;

/// Returns its error, and leaves `errno` alone (pthread_create(3)).
#[no_mangle]
unsafe extern "C" fn pthread_create(
    thread: *mut pthread_t,
    attributes: *const pthread_attr_t,
    main: Main,
    argument: *mut c_void,
) -> c_int {
    if let Some(error) = failure(Call::ThreadStart, || 0) {
        return error;
    }
    real!(pthread_create: fn(*mut pthread_t, *const pthread_attr_t, Main, *mut c_void) -> c_int;
        thread, attributes, main, argument)
}
