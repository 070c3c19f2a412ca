//! The gateway daemon as a library: the decision module (`larchway`) on real sockets.
//!
//! [`net`] is the event loop and owns all sockets of a gateway; [`core`] turns requests into attempts and one final reply.
//! [`thrift`] and [`signed`] are the protocols of clients, [`resp`] that of stores: sessions that are given bytes and
//! answer with actions. [`config`] reads all files; [`relay`] is the daemon's other role. `docs/ARCHITECTURE.md` shows how
//! they work together.
pub mod admin;
pub mod bulletin;
pub mod clock;
pub mod config;
pub mod connection;
pub mod console;
pub mod core;
pub mod deadlines;
pub mod descriptors;
pub mod durable_file;
pub mod event_loop_error;
pub mod event_order;
pub mod event_stream;
pub mod events;
pub mod hierarchy;
pub mod input_budget;
pub mod json_fields;
pub mod logging;
pub mod membership;
pub mod memory;
pub mod net;
pub mod nonblocking;
pub mod operator_file;
pub mod peers;
pub(crate) mod polled_signals;
pub(crate) mod pools;
pub mod postponed;
pub mod random_numbers;
pub mod relay;
pub mod reply_history;
pub mod resp;
pub mod rollout;
pub mod shutdown;
pub mod signed;
pub mod slots;
pub mod sockets;
pub mod spans;
pub mod state_saver;
pub mod store_overrides;
pub mod system_errors;
pub mod thrift;
pub mod unsent_replies;
pub mod upgrade;
pub mod wire_settings;
