//! The ZooKeeper client protocol without sockets, clocks or threads.
//!
//! * [`jute`] and [`proto`]: the records of the published protocol (Apache ZooKeeper, `zookeeper.jute` and the
//!   Programmer's Guide), encoded and decoded in both directions, so that a test server can use the same code.
//! * [`error`]: the protocol errors that a frame can contain.
//! * [`session`]: a client session as a state machine: servers in shuffled order, time-outs, pings, expiry.
//! * [`client`]: a client that maintains its own ephemeral node and a cache of the children of watched paths.
//!
//! The caller passes the current time as [`MonotonicTime`](larchway::MonotonicTime). The same inputs give the same
//! outputs on every machine.
pub mod client;
pub mod error;
pub mod jute;
pub mod proto;
pub mod session;
