//! The poll keys of all event sources, and their numbers in the poller.
use crate::slots::SlotKey;
use crate::{admin, console, upgrade};

/// The source of an event of the poller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollKey {
    /// A connection, by its slot.
    Connection(SlotKey),
    /// A listener for clients.
    ClientListener(ClientListener),
    /// The pipe of SIGTERM and SIGINT.
    StopSignal,
    /// The pipe of SIGHUP.
    ReloadSignal,
    /// The listener of the admin socket.
    AdminListener,
    /// A client of the admin socket, by its index.
    AdminClient(usize),
    /// The listener of the console.
    ConsoleListener,
    /// A caller of the console, by its index.
    ConsoleClient(usize),
    /// The listener for the gateway's other processes.
    UpgradeListener,
    /// Another process of the gateway, by its index.
    Process(usize),
    /// The socket for datagrams of the other gateways of the tier.
    PeerDatagrams,
    /// The notifications of the worker that saves files: one is written or has failed.
    SaveFinished,
}

/// The front that a listener belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientListener {
    /// The platform's front.
    Platform,
    /// The front for signed links.
    Signed,
}

// The poller reserves `usize::MAX`. Connections use the numbers from 0 up, so those just below it are free.
const PLATFORM_LISTENER: usize = usize::MAX - 1;
const STOP_SIGNAL: usize = PLATFORM_LISTENER - 1;
const SIGNED_LISTENER: usize = STOP_SIGNAL - 1;
const RELOAD_SIGNAL: usize = SIGNED_LISTENER - 1;
const ADMIN_LISTENER: usize = RELOAD_SIGNAL - 1;
const FIRST_ADMIN_CLIENT: usize = ADMIN_LISTENER - admin::MAX_CLIENTS;
const CONSOLE_LISTENER: usize = FIRST_ADMIN_CLIENT - 1;
const FIRST_CONSOLE_CLIENT: usize = CONSOLE_LISTENER - console::MAX_CALLERS;
const UPGRADE_LISTENER: usize = FIRST_CONSOLE_CLIENT - 1;
const FIRST_PROCESS: usize = UPGRADE_LISTENER - upgrade::MAX_PROCESSES;
const PEER_DATAGRAMS: usize = FIRST_PROCESS - 1;
const SAVE_FINISHED: usize = PEER_DATAGRAMS - 1;

impl PollKey {
    /// Whether its events are handled before all others: signals, and operators, who have a time-out of one second.
    pub fn is_urgent(self) -> bool {
        matches!(
            self,
            PollKey::StopSignal
                | PollKey::ReloadSignal
                | PollKey::ConsoleListener
                | PollKey::ConsoleClient(_)
        )
    }
}

impl From<PollKey> for usize {
    fn from(key: PollKey) -> usize {
        match key {
            PollKey::Connection(SlotKey(slot)) => slot as usize,
            PollKey::ClientListener(ClientListener::Platform) => PLATFORM_LISTENER,
            PollKey::ClientListener(ClientListener::Signed) => SIGNED_LISTENER,
            PollKey::StopSignal => STOP_SIGNAL,
            PollKey::ReloadSignal => RELOAD_SIGNAL,
            PollKey::AdminListener => ADMIN_LISTENER,
            PollKey::AdminClient(place) => FIRST_ADMIN_CLIENT + place,
            PollKey::ConsoleListener => CONSOLE_LISTENER,
            PollKey::ConsoleClient(place) => FIRST_CONSOLE_CLIENT + place,
            PollKey::UpgradeListener => UPGRADE_LISTENER,
            PollKey::Process(place) => FIRST_PROCESS + place,
            PollKey::PeerDatagrams => PEER_DATAGRAMS,
            PollKey::SaveFinished => SAVE_FINISHED,
        }
    }
}

impl From<usize> for PollKey {
    fn from(number: usize) -> PollKey {
        match number {
            PLATFORM_LISTENER => PollKey::ClientListener(ClientListener::Platform),
            SIGNED_LISTENER => PollKey::ClientListener(ClientListener::Signed),
            STOP_SIGNAL => PollKey::StopSignal,
            RELOAD_SIGNAL => PollKey::ReloadSignal,
            ADMIN_LISTENER => PollKey::AdminListener,
            FIRST_ADMIN_CLIENT..ADMIN_LISTENER => PollKey::AdminClient(number - FIRST_ADMIN_CLIENT),
            CONSOLE_LISTENER => PollKey::ConsoleListener,
            FIRST_CONSOLE_CLIENT..CONSOLE_LISTENER => PollKey::ConsoleClient(number - FIRST_CONSOLE_CLIENT),
            UPGRADE_LISTENER => PollKey::UpgradeListener,
            FIRST_PROCESS..UPGRADE_LISTENER => PollKey::Process(number - FIRST_PROCESS),
            PEER_DATAGRAMS => PollKey::PeerDatagrams,
            SAVE_FINISHED => PollKey::SaveFinished,
            slot => PollKey::Connection(SlotKey(slot as u64)),
        }
    }
}
