//! The keys under which sources of events are registered with the poller, and their numbers there.
use crate::slots::SlotKey;
use crate::{admin, console, upgrade};

/// What an event of the poller is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollKey {
    /// A connection in a numbered slot.
    Connection(SlotKey),
    /// A listener for clients.
    ClientListener(ClientListener),
    /// SIGTERM or SIGINT has come.
    StopSignal,
    /// SIGHUP has come.
    ReloadSignal,
    /// The listener of the admin socket.
    AdminListener,
    /// A client of the admin socket, by its place.
    AdminClient(usize),
    /// The listener of the console.
    ConsoleListener,
    /// A caller of the console, by its place.
    ConsoleClient(usize),
    /// The listener for the gateway's other processes.
    UpgradeListener,
    /// Another process of the gateway, by its place.
    Process(usize),
    /// Datagrams of the other gateways of the tier.
    PeerDatagrams,
    /// The worker that saves files has finished one, or failed to.
    SaveFinished,
}

/// Which front a listener takes clients in for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientListener {
    /// The platform's front.
    Platform,
    /// The front of signed URLs.
    Signed,
}

// The poller reserves `usize::MAX`. Slots are numbered from 0, so the numbers below it are free.
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
    /// Whether its events go before all others: signals, and operators, who wait a second at most.
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
