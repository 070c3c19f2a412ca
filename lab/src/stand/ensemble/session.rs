//! A session: its password, its time-out and when its client was last active.
use larchway::Micros;
use larchway_zookeeper::proto::Connected;

/// The session id of a client that has none.
pub(super) const UNKNOWN_SESSION: i64 = 0;
/// The shortest session time-out that is granted, ms.
const MIN_TIMEOUT_MS: i32 = 100;
const MICROS_PER_MS: Micros = 1000;
/// The second half of each password; the first one is the session's id.
const PASSWORD_SUFFIX: [u8; 8] = [7; 8];

/// A session.
pub(super) struct Session {
    pub(super) password: Vec<u8>,
    timeout: Micros,
    /// When its client last sent something.
    pub(super) last_active: Micros,
}

impl Session {
    pub(super) fn new(id: i64, timeout_ms: i32, now: Micros) -> Self {
        let timeout = Micros::from(timeout_ms.max(MIN_TIMEOUT_MS).unsigned_abs()) * MICROS_PER_MS;
        let password = [&id.to_be_bytes()[..], &PASSWORD_SUFFIX].concat();
        Session { password, timeout, last_active: now }
    }

    /// The server's answer to a client that opens or resumes it.
    pub(super) fn granted(&self, id: i64) -> Connected {
        let timeout = (self.timeout / MICROS_PER_MS) as i32;
        Connected { timeout, session: id, password: self.password.clone() }
    }

    pub(super) fn is_expired(&self, now: Micros) -> bool {
        now > self.last_active + self.timeout
    }
}
