//! The order in which one iteration of the event loop handles the events of the poller.
use polling::Event;

/// Puts the events of an iteration in order: urgent ones first, since they are few and must not wait. `first_unserved`
/// is the key of the first event that the last iteration left unserved, if it was cut short; the others go on from it.
///
/// Danger: the poller reports those first that it reported first before. Where a few busy connections take up entire
/// iterations, all others would starve, and with them the end of clients, stores' answers and watch events.
pub fn order_events(events: &mut [Event], first_unserved: Option<usize>, is_urgent: impl Fn(usize) -> bool) {
    let first = first_unserved.and_then(|key| events.iter().position(|event| event.key == key)).unwrap_or(0);
    events.rotate_left(first);
    // The sort is stable: the others stay in their order.
    events.sort_by_key(|event| !is_urgent(event.key));
}
