//! The states of a graceful shutdown, event by event, and how the limit on descriptors is shared.
use larchway_gateway::descriptors::Descriptors;
use larchway_gateway::shutdown::{Begun, Shutdown, ACCEPTING};

const TOLD: u64 = 5_000_000;

#[test]
fn a_plain_stop_accepts_for_a_while_and_a_second_signal_changes_nothing() {
    let mut shutdown = Shutdown::default();
    assert!(!shutdown.begun() && !shutdown.tick(TOLD));
    assert_eq!(shutdown.signalled(TOLD, false), Begun::Accepting);
    assert_eq!(shutdown.signalled(TOLD + 300_000, false), Begun::Nothing);
    assert!(shutdown.begun() && !shutdown.closing());
    // The time counts from the first signal.
    assert!(!shutdown.tick(TOLD + ACCEPTING - 1));
    assert!(shutdown.tick(TOLD + ACCEPTING) && shutdown.closing());
    // It is told once that it stops listening.
    assert!(!shutdown.tick(TOLD + ACCEPTING + 1));
    assert_eq!(shutdown.signalled(TOLD + ACCEPTING + 2, true), Begun::Nothing);
}

#[test]
fn a_successor_takes_over_at_once_also_when_it_comes_up_after_the_first_signal() {
    let mut shutdown = Shutdown::default();
    assert_eq!(shutdown.signalled(TOLD, true), Begun::Closing);
    assert!(shutdown.closing() && !shutdown.tick(TOLD + ACCEPTING));
    let mut shutdown = Shutdown::default();
    shutdown.signalled(TOLD, false);
    assert_eq!(shutdown.signalled(TOLD + 100_000, true), Begun::Closing);
    assert_eq!(shutdown, Shutdown::Closing { told: TOLD });
}

#[test]
fn clients_stores_and_operators_together_leave_descriptors_for_the_rest() {
    for limit in 48..5000 {
        let Descriptors { clients, lingering, links, callers } = Descriptors::of(limit);
        let taken = clients + lingering + links + callers;
        assert!(taken + 28 <= limit, "{taken} of {limit}");
        assert!(clients > 0 && links > 0 && callers > 0, "{limit}");
        // The platform's clients take a third of the limit at most, where there is room for that and what is kept.
        assert!(limit < 512 || clients * 3 >= limit, "{clients} of {limit}");
    }
}
