//! A ZooKeeper ensemble: several servers over one tree, with sessions, watches and quorum zxids, from the published
//! protocol (Apache ZooKeeper, `zookeeper.jute` and the Programmer's Guide). [`Ensemble`] has no sockets;
//! [`EnsembleServers`] runs one on loopback. Each commit has its tree as a persistent map (`imbl`), so that a server
//! that lags behind reads an older one.
mod administration;
mod client;
mod command;
mod connection;
mod expiry;
mod requests;
mod servers;
mod session;
mod state;
mod transaction;
mod tree;
mod watches;

pub use command::{command, CommandError};
pub use servers::EnsembleServers;
pub use state::{Ensemble, Server, SocketAction};
pub use tree::{digest, Node, Tree};
