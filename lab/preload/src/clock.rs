//! The wall clock, ahead or behind by the plan. The steady clocks stay as they are.

use crate::plan::{clock_offset, fail};
use crate::real::real;
use libc::{c_int, c_void, clockid_t, time_t, timespec, timeval};

const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_MICRO: i64 = 1000;

#[no_mangle]
unsafe extern "C" fn clock_gettime(clock: clockid_t, place: *mut timespec) -> c_int {
    let result = real!(clock_gettime: fn(clockid_t, *mut timespec) -> c_int; clock, place);
    if result == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE | libc::CLOCK_TAI) {
        let time = &mut *place;
        let micros = time.tv_sec * MICROS_PER_SECOND + time.tv_nsec / NANOS_PER_MICRO + clock_offset();
        time.tv_sec = micros.div_euclid(MICROS_PER_SECOND);
        time.tv_nsec =
            micros.rem_euclid(MICROS_PER_SECOND) * NANOS_PER_MICRO + time.tv_nsec % NANOS_PER_MICRO;
    }
    result
}

#[no_mangle]
unsafe extern "C" fn gettimeofday(place: *mut timeval, zone: *mut c_void) -> c_int {
    let result = real!(gettimeofday: fn(*mut timeval, *mut c_void) -> c_int; place, zone);
    if result == 0 && !place.is_null() {
        let time = &mut *place;
        let micros = time.tv_sec * MICROS_PER_SECOND + time.tv_usec + clock_offset();
        time.tv_sec = micros.div_euclid(MICROS_PER_SECOND);
        time.tv_usec = micros.rem_euclid(MICROS_PER_SECOND);
    }
    result
}

#[no_mangle]
unsafe extern "C" fn time(place: *mut time_t) -> time_t {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    if clock_gettime(libc::CLOCK_REALTIME, &raw mut now) != 0 {
        return fail(libc::EINVAL);
    }
    if !place.is_null() {
        *place = now.tv_sec;
    }
    now.tv_sec
}
