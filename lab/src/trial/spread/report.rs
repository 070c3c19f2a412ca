//! The table and the bounds of the trial.
use super::run::Figures;
use super::span::Span;
use crate::trial::bounds::Bounds;
use larchway::Micros;

/// A sender that runs later than this voids the run.
const SENDER_DELAY: Micros = 500_000;
/// The largest load over the mean, at most, by span.
const MAX_OVER_MEAN: [f64; 3] = [1.15, 1.3, 1.3];
/// A cold store's load over what it can do that pushes it over.
const COLD_LOAD: f64 = 2.0;

/// The first line of the table.
pub(super) fn header() -> String {
    format!(
        "{:<10} {:<28} {:>8} {:>9} {:>5} {:>7} {:>9} {:>8}\n",
        "way", "span", "max/mean", "variation", "idle", "joined", "returned", "service"
    )
}

fn span_columns(variant: &str, span: &Span) -> String {
    format!(
        "{variant:<10} {:<28} {:>8.3} {:>9.3} {:>5}",
        span.name,
        span.max_over_mean(),
        span.variation(),
        span.idle()
    )
}

/// The line of the plain hash, which is computed.
pub(super) fn hash_row(span: &Span) -> String {
    span_columns("plain hash", span) + "\n"
}

/// The lines of a variant: one a span, the first with what concerns all.
pub(super) fn rows(figures: &Figures) -> String {
    let rest =
        format!(" {:>7.2} {:>9.2} {:>8.4}", figures.joined_peak, figures.returned_peak, figures.service);
    let mut rows = String::new();
    for (number, span) in figures.spans.iter().enumerate() {
        let (name, rest) = if number == 0 { (figures.name, rest.as_str()) } else { ("", "") };
        rows.push_str(&span_columns(name, span));
        rows.push_str(rest);
        rows.push('\n');
    }
    rows
}

/// The bound of every variant: its senders ran on time.
pub(super) fn check_senders(figures: &Figures, bounds: &mut Bounds) {
    bounds.check(figures.sender_delay < SENDER_DELAY, || {
        let late_ms = figures.sender_delay / 1000;
        format!("{}: the senders ran {late_ms} ms late: play it on a quieter machine", figures.name)
    });
}

/// The bounds of gateways that share their view of the load.
pub(super) fn check_sharing(figures: &Figures, bounds: &mut Bounds) {
    let name = figures.name;
    for (span, most) in figures.spans.iter().zip(MAX_OVER_MEAN) {
        bounds.check(span.max_over_mean() <= most, || {
            format!("{name}: {}: max/mean {:.3}, over {most}", span.name, span.max_over_mean())
        });
        bounds.check(span.idle() == 0, || format!("{name}: {}: {} idle", span.name, span.idle()));
    }
    bounds.check(figures.joined_peak <= COLD_LOAD, || {
        format!("{name}: the joined box got {:.2} times what it can do", figures.joined_peak)
    });
    bounds.check(figures.returned_peak <= COLD_LOAD, || {
        format!("{name}: the returned box got {:.2} times what it can do", figures.returned_peak)
    });
}
