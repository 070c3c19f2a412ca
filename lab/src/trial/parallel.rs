//! The variants of a case are played side by side, each in a thread of its own.
use std::time::{Duration, Instant};

/// Plays so many variants by their numbers; the results in their order, or the first error.
pub fn play_all<R, E, F>(variants: usize, play: F) -> Result<Vec<R>, E>
where
    R: Send,
    E: Send,
    F: Fn(usize) -> Result<R, E> + Sync,
{
    let play = &play;
    let results: Vec<Result<R, E>> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..variants).map(|variant| scope.spawn(move || play(variant))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a variant does not panic")).collect()
    });
    results.into_iter().collect()
}

/// Sleeps until so many ms after a start.
pub fn sleep_until(start: Instant, ms: u64) {
    std::thread::sleep(Duration::from_millis(ms).saturating_sub(start.elapsed()));
}
