//! The effects that membership requests from the event loop.
use crate::bulletin::Change;
use crate::durable_file::DurableFile;
use larchway_cluster::lease;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An effect to be carried out by the event loop.
#[derive(Debug)]
pub enum Effect {
    /// Connect to this server of the ensemble.
    Connect(SocketAddr),
    /// Write these bytes to the connection.
    Write(Vec<u8>),
    /// Close the connection for this reason; the session has handled it already.
    Close(String),
    /// Apply a change of the endpoint list.
    ApplyChange(Change),
    /// Pass on the number of live gateways by zone.
    GatewaysByZone(BTreeMap<usize, u64>),
    /// Apply a change of the hierarchy from a node of the ensemble.
    HierarchyChange {
        /// The path of the node.
        node: String,
        /// The data of the node.
        data: Vec<u8>,
    },
    /// Pass this event of the session to the quota lease.
    Lease(lease::Input),
    /// Save a file.
    Save {
        /// The file.
        file: DurableFile,
        /// The new content of the file.
        content: Vec<u8>,
    },
}
