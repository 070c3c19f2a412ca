//! The functions of the C library that stand behind those of this library.

use libc::{c_char, c_void};
use std::sync::atomic::{AtomicPtr, Ordering};

/// A function of the C library, looked up at its first use.
pub(crate) struct Real {
    name: &'static [u8],
    found: AtomicPtr<c_void>,
}

impl Real {
    /// The function of this name, which ends with a zero byte.
    pub(crate) const fn named(name: &'static [u8]) -> Self {
        Real { name, found: AtomicPtr::new(std::ptr::null_mut()) }
    }

    /// Where it is.
    pub(crate) fn address(&self) -> *mut c_void {
        let known = self.found.load(Ordering::Relaxed);
        if !known.is_null() {
            return known;
        }
        // SAFETY: the name ends with a zero byte, and dlsym is given nothing else.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr().cast::<c_char>()) };
        if found.is_null() {
            // SAFETY: it ends the process. Nothing can stand in for a function that the C library lacks.
            unsafe { libc::abort() }
        }
        self.found.store(found, Ordering::Relaxed);
        found
    }
}

/// Calls the C library's function behind the one of this name.
macro_rules! real {
    ($name:ident: fn($($kind:ty),*) -> $result:ty; $($argument:expr),*) => {{
        static REAL: $crate::real::Real =
            $crate::real::Real::named(concat!(stringify!($name), "\0").as_bytes());
        // SAFETY: the C library's function of this name has this signature, as in its manual page.
        let function: unsafe extern "C" fn($($kind),*) -> $result =
            unsafe { std::mem::transmute(REAL.address()) };
        // SAFETY: the arguments are those that the caller gave, or less of the same buffers.
        unsafe { function($($argument),*) }
    }};
}
pub(crate) use real;
