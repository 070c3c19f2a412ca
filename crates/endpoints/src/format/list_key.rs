//! Keys of an entry of the endpoint list, by what their values are here. Nodes in the bulletin's own format have the
//! same ones.
use larchway::State;

/// Its name, which gives its id.
pub const NAME: &str = "host";
/// The address to connect to.
pub const ADDRESS: &str = "dial";
/// Its zone, by name or index.
pub const ZONE: &str = "site";
/// The kind of its machine, by name or index.
pub const MACHINE_KIND: &str = "class";
/// Its state, one of the names of [`state_of_name`].
pub const STATE: &str = "health";
/// Its cell.
pub const CELL: &str = "block";
/// Its weight.
pub const WEIGHT: &str = "share";
/// When its process started, in ms of Unix time.
pub const STARTED_MS: &str = "born_ms";

/// The name of the state of an entry that gives none.
pub const DEFAULT_STATE_NAME: &str = "up";

/// The state of this name; none if there is no such state.
pub fn state_of_name(name: &str) -> Option<State> {
    match name {
        "up" => Some(State::Up),
        "draining" => Some(State::Draining),
        "removed" => Some(State::Removed),
        _ => None,
    }
}
