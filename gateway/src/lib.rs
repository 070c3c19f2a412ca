//! larchway: the decision module on real sockets, by concern.
pub mod admin;
pub mod bulletin;
pub mod config;
pub mod console;
pub mod core;
pub mod deadlines;
pub mod hierarchy;
pub mod kept;
pub mod log;
pub mod membership;
pub mod net;
pub mod resp;
pub mod signed;
pub mod slots;
pub mod table;
pub mod thrift;
pub mod upgrade;
