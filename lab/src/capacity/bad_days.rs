//! What each bad day sets off, in numbers.
use super::division::bytes_per_purge;
use super::error::CapacityError;
use super::figure::{Figure, Mark};
use super::slopes::{at, Slopes};
use super::target::Target;

/// Seconds of a day.
const DAY: f64 = 86_400.0;
const BYTES_PER_MB: f64 = 1e6;

/// One thing that a bad day sets off.
#[derive(Debug, Clone, PartialEq)]
pub struct Consequence {
    /// The day.
    pub day: &'static str,
    /// What is set off.
    pub what: &'static str,
    /// How much of it.
    pub figure: Figure,
}

/// All bad days of the target; the complete list and the purges are as large as they were measured.
pub fn consequences(slopes: &Slopes, target: &Target) -> Result<Vec<Consequence>, CapacityError> {
    let mut all = single_machines(target);
    all.extend(complete_lists(slopes, target)?);
    all.extend(region_cut(slopes, target)?);
    all.extend(ensemble(slopes, target));
    all.push(computed(
        "the source is lost",
        "purges a second that nobody hears of",
        target.load.purges_per_second,
        "",
    ));
    Ok(all)
}

fn computed(day: &'static str, what: &'static str, value: f64, unit: &str) -> Consequence {
    Consequence { day, what, figure: Figure::new(value, unit, Mark::Computed) }
}

fn single_machines(target: &Target) -> Vec<Consequence> {
    let failures = &target.failures;
    let rack = Figure::new(target.assumed.machines_in_rack, "", Mark::Assumed);
    vec![
        computed("machines fail", "one every", DAY / failures.machines_per_day, "s"),
        computed("restarts", "one every", DAY / failures.restarts_per_day, "s"),
        Consequence { day: "a rack", what: "machines gone at once", figure: rack },
    ]
}

/// Gateways that start or return are given the complete list.
fn complete_lists(slopes: &Slopes, target: &Target) -> Result<Vec<Consequence>, CapacityError> {
    let file = slopes
        .find("configuration", "file")
        .ok_or(CapacityError::NotMeasured { case: "configuration", quantity: "file" })?;
    let list_mb = file.fit.intercept / BYTES_PER_MB;
    let fleet = &target.fleet;
    let per_zone = fleet.gateways / fleet.zones;
    Ok(vec![
        computed("restarts", "whole lists sent a day", target.failures.restarts_per_day * list_mb, "MB"),
        computed("a zone returns", "gateways at once", per_zone, ""),
        computed("a zone returns", "whole lists sent", per_zone * list_mb, "MB"),
        computed("all gateways start", "whole lists sent", fleet.gateways * list_mb, "MB"),
    ])
}

/// After the cut all gateways of the region request what they missed, which has to be done in the time for a purge.
fn region_cut(slopes: &Slopes, target: &Target) -> Result<Vec<Consequence>, CapacityError> {
    let day = "a region was cut";
    let missed = target.load.purges_per_second * target.assumed.region_cut_seconds;
    let per_region = target.fleet.gateways / target.fleet.regions;
    let megabytes = per_region * missed * bytes_per_purge(slopes)? / BYTES_PER_MB;
    let rate = megabytes / target.load.purge_everywhere_seconds;
    let mut all = vec![
        computed(day, "purges that each gateway has missed", missed, ""),
        computed(day, "bytes to catch up, all its gateways, uncompressed", megabytes, "MB"),
        computed(day, "the same within the time for a purge", rate, "MB a second"),
    ];
    if let Some(relayed) = slopes.find("purges_relayed", "bytes_received") {
        let rate = rate * relayed.fit.slope / bytes_per_purge(slopes)?;
        all.push(computed(day, "the same from relays, with gzip", rate, "MB a second"));
    }
    Ok(all)
}

/// Each gateway's node that goes or comes notifies all gateways that watch; nothing where that is not measured.
fn ensemble(slopes: &Slopes, target: &Target) -> Vec<Consequence> {
    let measured = [
        ("restarts", "messages at the ensemble for one", "messages_of_one_that_restarts"),
        ("all gateways start", "messages at the ensemble", "messages_of_all_that_restart"),
    ];
    let found = measured.into_iter().filter_map(|(day, what, quantity)| {
        let series = slopes.find("sessions", quantity)?;
        Some(Consequence { day, what, figure: at(series, target.fleet.gateways) })
    });
    found.collect()
}
