//! A relay between the bulletin and the gateway that is measured.
use super::site::Named;
use crate::stand::meter::Meter;
use crate::trial::distribution::processes::RelayProcess;
use crate::trial::TrialError;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long a gateway may take to catch up at its relay, and time between two looks.
const RELAY_READY_TIMEOUT: Duration = Duration::from_secs(20);
const RELAY_READY_POLL: Duration = Duration::from_millis(50);
/// The name of the scope at its relay.
const SCOPE: &str = "site";

/// A relay, with a meter before it that the gateway calls.
pub(super) struct Relayed {
    relay: RelayProcess,
    meter: Meter,
    has_scope: bool,
}

impl Relayed {
    /// A relay of the bulletin.
    pub(super) fn start(dir: &Path, bulletin: SocketAddr, named: Named) -> Result<Self, TrialError> {
        let scopes = named.scope().map(|scope| format!(r#","scopes":{{"{SCOPE}":{scope}}}"#));
        let keys = format!(r#","root":true{}"#, scopes.unwrap_or_default());
        let relay = RelayProcess::start(dir, "relay", &[bulletin], &keys)?;
        let meter = Meter::before(relay.address).map_err(TrialError::io("the meter"))?;
        Ok(Relayed { relay, meter, has_scope: named != Named::All })
    }

    /// The gateway's file of its events; `documents`: whether it applies documents of configuration.
    pub(super) fn events_file(&self, documents: bool) -> String {
        let address = self.meter.address;
        let scope = if self.has_scope { format!(r#","scope":"{SCOPE}""#) } else { String::new() };
        format!(r#"{{"relays":["{address}"],"gzip":true,"report":true,"configuration":{documents}{scope}}}"#)
    }

    /// Bytes of both directions between the gateway and the relay so far.
    pub(super) fn bytes_passed(&self) -> u64 {
        self.meter.passed()
    }

    /// Waits until the gateway has caught up, as its report of its position says.
    pub(super) fn wait_for_gateway(&self) -> Result<(), TrialError> {
        let end = Instant::now() + RELAY_READY_TIMEOUT;
        while Instant::now() < end {
            let status = self.relay.status()?;
            let caught_up = status["positions"]["applied"] == status["last_event"];
            if caught_up && status["positions"]["gateways"] == 1 {
                return Ok(());
            }
            std::thread::sleep(RELAY_READY_POLL);
        }
        Err(TrialError::NotInTime(format!(
            "the gateway does not catch up at its relay within {RELAY_READY_TIMEOUT:?}"
        )))
    }
}
