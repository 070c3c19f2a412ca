//! The states of a graceful shutdown, event by event, and how the limit on descriptors is shared.
use larchway::MonotonicTime;
use larchway_gateway::descriptors::DescriptorLimits;
use larchway_gateway::shutdown::{Shutdown, StopEffect, Successor, ACCEPT_GRACE_PERIOD};
use std::time::Duration;

const SIGNALLED_AT: MonotonicTime = MonotonicTime::from_micros(5_000_000);
const MICROSECOND: Duration = Duration::from_micros(1);

#[test]
fn a_plain_stop_accepts_for_a_while_and_a_second_signal_changes_nothing() {
    let mut shutdown = Shutdown::default();
    assert!(!shutdown.is_signalled() && !shutdown.tick(SIGNALLED_AT));
    assert_eq!(shutdown.handle_signal(SIGNALLED_AT, Successor::Absent), StopEffect::Accepting);
    assert_eq!(
        shutdown.handle_signal(SIGNALLED_AT + Duration::from_millis(300), Successor::Absent),
        StopEffect::Ignored
    );
    assert!(shutdown.is_signalled() && !shutdown.is_closing());
    // The time counts from the first signal.
    assert!(!shutdown.tick(SIGNALLED_AT + ACCEPT_GRACE_PERIOD - MICROSECOND));
    assert!(shutdown.tick(SIGNALLED_AT + ACCEPT_GRACE_PERIOD) && shutdown.is_closing());
    // It is to stop listening once.
    assert!(!shutdown.tick(SIGNALLED_AT + ACCEPT_GRACE_PERIOD + MICROSECOND));
    assert_eq!(
        shutdown.handle_signal(SIGNALLED_AT + ACCEPT_GRACE_PERIOD + 2 * MICROSECOND, Successor::Accepting),
        StopEffect::Ignored
    );
}

#[test]
fn a_successor_takes_over_at_once_also_when_it_comes_up_after_the_first_signal() {
    let mut shutdown = Shutdown::default();
    assert_eq!(shutdown.handle_signal(SIGNALLED_AT, Successor::Accepting), StopEffect::Closing);
    assert!(shutdown.is_closing() && !shutdown.tick(SIGNALLED_AT + ACCEPT_GRACE_PERIOD));
    let mut shutdown = Shutdown::default();
    shutdown.handle_signal(SIGNALLED_AT, Successor::Absent);
    assert_eq!(
        shutdown.handle_signal(SIGNALLED_AT + Duration::from_millis(100), Successor::Accepting),
        StopEffect::Closing
    );
    assert_eq!(shutdown, Shutdown::Closing { signalled_at: SIGNALLED_AT });
}

#[test]
fn clients_stores_and_operators_together_leave_descriptors_for_the_rest() {
    for limit in 48..5000 {
        let DescriptorLimits { clients, half_closed_clients, store_connections, console_callers } =
            DescriptorLimits::share(limit);
        let taken = clients + half_closed_clients + store_connections + console_callers;
        assert!(taken + 28 <= limit, "{taken} of {limit}");
        assert!(clients > 0 && store_connections > 0 && console_callers > 0, "{limit}");
        // The platform's clients take a third of the limit at most, where there is room for that and what is reserved.
        assert!(limit < 512 || clients * 3 >= limit, "{clients} of {limit}");
    }
}
