//! The settings of the front for signed links and tokens.
use super::token::Parties;
use super::{Keys, Secret};
use std::net::SocketAddr;

/// The settings of the front for signed links, as read from its file.
#[derive(Debug, Clone)]
pub struct FrontSettings {
    /// The address of the listener.
    pub listen: SocketAddr,
    /// The text before the path in the links that clients see, such as `https://files.test`.
    pub base: String,
    /// The classes that links are allowed for.
    pub classes: Vec<String>,
    /// The keys that sign and verify.
    pub keys: Keys,
    /// The credentials that allow issuing links and tokens.
    pub holders: Vec<Secret>,
    /// The issuers that tokens may name, and the audience of this service.
    pub parties: Parties,
    /// Maximum lifetime of a link in seconds.
    pub max_lifetime_s: u64,
}
