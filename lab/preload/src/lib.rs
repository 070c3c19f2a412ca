//! A library for `LD_PRELOAD` that makes system calls of one process fail by a shared plan, and shifts its wall clock.
//!
//! It stands before the functions of the C library that make system calls, and hands on what is not to fail. What a
//! process does by system calls of its own, past the C library, it doesn't see. Without a plan
//! ([`larchway_fault_plan::PLAN_VARIABLE`]) it changes nothing. This is the one package with unsafe code.

mod clock;
mod files;
mod plan;
mod real;
mod sockets;
mod threads;
mod waits;
