//! Cases of one real gateway: a process of the daemon with stand-ins on loopback. Processor time is that of the
//! process, by the kernel's accounting in ns; what the idle gateway uses is measured first and taken off.
pub(crate) mod bench;
mod clients;
mod configuration;
pub(crate) mod control;
mod growth;
mod peers;
pub(crate) mod purges;
mod relayed;
pub mod site;
mod sizes;
mod stores;

use super::Case;

/// The cases, in the order in which they are played.
pub fn cases() -> Vec<Case> {
    vec![
        Case { name: "stores", play: stores::play },
        Case { name: "growth", play: growth::play },
        Case { name: "purges", play: purges::play },
        Case { name: "purges_relayed", play: purges::play_relayed },
        Case { name: "control", play: control::play },
        Case { name: "control_relayed", play: control::play_relayed },
        Case { name: "configuration", play: configuration::play },
        Case { name: "clients", play: clients::play },
        Case { name: "peers", play: peers::play },
    ]
}
