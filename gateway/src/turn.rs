//! In which order the events of one turn of the loop are dealt with.
use polling::Event;

/// Puts the events of a turn in order. `cut`: whose event was the first one left when the last turn was cut; `soon`: the
/// keys that go first in any case, since they are few and must not wait.
///
/// Danger: the poller tells of those first that it told of first before. Where a few busy ones take up whole turns, all
/// others would wait for ever, and with them the end of clients, stores' answers and news.
pub fn order(events: &mut [Event], cut: Option<usize>, soon: impl Fn(usize) -> bool) {
    let from = cut.and_then(|key| events.iter().position(|e| e.key == key)).unwrap_or(0);
    events.rotate_left(from);
    // The sort keeps the order among the rest.
    events.sort_by_key(|e| !soon(e.key));
}
