//! The table and the bounds of the trial on real processes.
use super::figures::{DatagramRates, Figures};
use super::SESSION_MS;
use crate::trial::bounds::Bounds;
use larchway::Micros;

/// A sender that runs later than this voids the run.
const SENDER_DELAY: Micros = 500_000;
/// ms until all know that one, or seven in ten, were killed, at most.
const ONE_KNOWN_MS: u64 = 5000;
const MOST_KNOWN_MS: u64 = 6000;
/// ms until quotas are taken up, at most, and what the polls add.
const TAKEN_UP_MS: u64 = SESSION_MS + 3000;
const POLLS_MS: u64 = 500;
/// What sums of quotas may be off by.
const ROUNDING: f64 = 1e-6;
/// Bytes of a datagram, and datagrams a second of one gateway, at most.
pub(super) const LONGEST_DATAGRAM: u64 = 256;
const CALM_DATAGRAMS: f64 = 6.0;
const FAULTY_DATAGRAMS: f64 = 12.0;
/// By how much service in the worst 10 s may be less than without the cluster.
const WORST_LOSS: f64 = 0.01;

/// The lines of one variant.
pub(super) fn rows(figures: &Figures) -> String {
    let ms = |ms: Option<u64>| ms.map_or("-".into(), |ms| format!("{ms}"));
    format!(
        "{:<7} false removals {}  one known dead {} ms  seven in ten known dead {} ms, \
         shares taken up {} ms, back {} ms\n        \
         shares at most {:.3} in {} samples  cold boxes {:.2} {:.2}  worst 10 s {:.4}  service {:.4}\n        \
         datagrams {:.1} in calm, {:.1} with losses, longest {} bytes\n",
        figures.name,
        figures.false_removals.len(),
        ms(figures.one_known),
        ms(figures.most_known),
        ms(figures.taken_up),
        ms(figures.returned),
        figures.largest_quota_sum,
        figures.samples,
        figures.cold_peaks.while_dead,
        figures.cold_peaks.while_returning,
        figures.worst,
        figures.service,
        figures.datagrams.calm,
        figures.datagrams.faulty,
        figures.longest_datagram,
    )
}

/// The bound of every variant: its senders ran on time.
pub(super) fn check_senders(figures: &Figures, bounds: &mut Bounds) {
    bounds.check(figures.sender_delay < SENDER_DELAY, || {
        let late_ms = figures.sender_delay / 1000;
        format!("{}: the senders ran {late_ms} ms late: play it on a quieter machine", figures.name)
    });
}

/// The bounds of gateways that know of each other; `before` is the worst service of those that do not, if it was
/// played.
pub(super) fn check_cluster(figures: &Figures, before: Option<f64>, bounds: &mut Bounds) {
    check_detection(figures, bounds);
    check_quotas(figures, bounds);
    check_datagrams(figures, bounds);
    if let Some(before) = before {
        bounds.check(figures.worst >= before - WORST_LOSS, || {
            format!("{}: worst 10 s {:.4}, {before:.4} before", figures.name, figures.worst)
        });
    }
}

fn check_detection(figures: &Figures, bounds: &mut Bounds) {
    let name = figures.name;
    bounds.check(figures.false_removals.is_empty(), || {
        let first = figures.false_removals.first().map(|first| (first.by, first.member, first.ms));
        format!("{name}: {} false removals, first {first:?}", figures.false_removals.len())
    });
    bounds.check(figures.one_known.is_some_and(|ms| ms <= ONE_KNOWN_MS), || {
        format!("{name}: one killed is not known dead within 5 s")
    });
    bounds.check(figures.most_known.is_some_and(|ms| ms <= MOST_KNOWN_MS), || {
        format!("{name}: seven in ten killed are not known dead within 6 s")
    });
}

fn check_quotas(figures: &Figures, bounds: &mut Bounds) {
    let name = figures.name;
    bounds.check(figures.taken_up.is_some_and(|ms| ms <= TAKEN_UP_MS + POLLS_MS), || {
        format!("{name}: shares are not taken up within {TAKEN_UP_MS} ms of the kill")
    });
    bounds.check(figures.largest_quota_sum <= 1.0 + ROUNDING, || {
        format!("{name}: shares sum to {:.4}", figures.largest_quota_sum)
    });
    for peak in [figures.cold_peaks.while_dead, figures.cold_peaks.while_returning] {
        bounds.check(peak <= 1.0, || format!("{name}: a cold box got {peak:.2} times what it can do"));
    }
}

fn check_datagrams(figures: &Figures, bounds: &mut Bounds) {
    let (name, longest) = (figures.name, figures.longest_datagram);
    let DatagramRates { calm, faulty } = figures.datagrams;
    bounds.check(longest <= LONGEST_DATAGRAM, || format!("{name}: a datagram of {longest} bytes"));
    bounds.check(calm <= CALM_DATAGRAMS && faulty <= FAULTY_DATAGRAMS, || {
        format!("{name}: {calm:.1} and {faulty:.1} datagrams a second")
    });
}
