//! The order of one turn of the loop, over whole turns.
use larchway_gateway::turn::order;
use polling::Event;

const CONSOLE: usize = 900;
const SIGNAL: usize = 901;

fn soon(key: usize) -> bool {
    key >= CONSOLE
}

/// The poller tells of all that are ready, always in the same order; each turn is cut after so many.
fn turns(ready: &[usize], most: usize, turns: usize) -> Vec<Vec<usize>> {
    let mut cut = None;
    (0..turns)
        .map(|_| {
            let mut events: Vec<Event> = ready.iter().map(|key| Event::readable(*key)).collect();
            order(&mut events, cut.take(), soon);
            cut = events.get(most).map(|e| e.key);
            events.iter().take(most).map(|e| e.key).collect()
        })
        .collect()
}

#[test]
fn a_turn_that_is_cut_goes_on_where_it_stopped_so_that_nobody_waits_for_ever() {
    let ready: Vec<usize> = (1..=10).collect();
    for most in 1..=9 {
        let seen: Vec<usize> = turns(&ready, most, 10).concat();
        assert!(ready.iter().all(|key| seen.contains(key)), "{most} a turn: {seen:?}");
    }
    assert_eq!(turns(&ready, 4, 3), [[1, 2, 3, 4], [5, 6, 7, 8], [9, 10, 1, 2]]);
}

#[test]
fn signals_and_operators_go_before_all_others_and_keep_nobody_out() {
    let seen = turns(&[1, 2, 3, SIGNAL, 4, CONSOLE], 4, 3);
    assert_eq!(seen[0], [SIGNAL, CONSOLE, 1, 2]);
    assert_eq!(seen[1], [SIGNAL, CONSOLE, 3, 4]);
}

#[test]
fn one_that_was_to_go_on_and_is_no_longer_ready_changes_nothing() {
    let mut events: Vec<Event> = [1, 2, 3].map(Event::readable).to_vec();
    order(&mut events, Some(7), soon);
    assert_eq!(events.iter().map(|e| e.key).collect::<Vec<_>>(), [1, 2, 3]);
}
