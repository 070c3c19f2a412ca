//! The tables of the page, by the names of their markers.
use super::bad_days::consequences;
use super::division::{bytes_per_purge, event_load, role_loads, RoleLoad};
use super::error::CapacityError;
use super::figure::{number, Figure, Mark};
use super::messages::{messages, Message};
use super::ranking::{ranked, Compared};
use super::series::Series;
use super::slopes::{at, Slopes, NOT_LINEAR};
use super::state::gateway_state;
use super::target::Target;

/// The full target, as a size of the cases of control.
const FULL_TARGET: f64 = 1.0;

/// The lines of a table, its heading among them.
pub fn table(name: &str, slopes: &Slopes, target: &Target) -> Result<String, CapacityError> {
    let rows = match name {
        "target" => target_rows(target),
        "assumed" => assumed_rows(target),
        "load" => load_rows(target),
        "events" => event_rows(slopes, target)?,
        "messages" => message_rows(slopes, target),
        "state" => state_rows(slopes, target),
        "ranking" => ranking_rows(slopes, target),
        "bad-days" => bad_day_rows(slopes, target)?,
        _ => match name.strip_prefix("series ") {
            Some(case) => series_rows(slopes, case),
            None => return Err(CapacityError::NoTable(name.into())),
        },
    };
    Ok(markdown(&rows))
}

/// The first row is the heading.
fn markdown(rows: &[Vec<String>]) -> String {
    let mut text = String::new();
    for (at, row) in rows.iter().enumerate() {
        text.push_str(&format!("| {} |\n", row.join(" | ")));
        if at == 0 {
            text.push_str(&format!("|{}\n", " --- |".repeat(row.len())));
        }
    }
    text
}

fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.map(String::from).to_vec()
}

fn computed(value: f64, unit: &str) -> Figure {
    Figure::new(value, unit, Mark::Computed)
}

fn target_rows(target: &Target) -> Vec<Vec<String>> {
    let (fleet, load, budget) = (&target.fleet, &target.load, &target.control_budget);
    let stated = [
        ("gateways", fleet.gateways, ""),
        ("sites", fleet.sites, ""),
        ("zones", fleet.zones, ""),
        ("regions", fleet.regions, ""),
        ("stores", fleet.stores, ""),
        ("control machines", fleet.control_machines, ""),
        ("requests at the peak", load.requests_per_second, "a second"),
        ("traffic to clients at the peak", load.terabits_per_second, "Tbit/s"),
        ("objects", load.objects, ""),
        ("purges", load.purges_per_second, "a second"),
        ("a purge done everywhere within", load.purge_everywhere_seconds, "s"),
        ("changes of configuration", load.configuration_changes_per_day, "a day"),
        ("a change in force everywhere within", load.configuration_everywhere_seconds, "s"),
        ("control at a gateway: processor", budget.core_percent, "% of a core"),
        ("control at a gateway: memory", budget.memory_mb, "MB"),
        ("control at a gateway: bytes", budget.bytes_per_second, "a second"),
        ("machines that fail", target.failures.machines_per_day, "a day"),
        ("machines restarted or replaced", target.failures.restarts_per_day, "a day"),
    ];
    let mut rows = vec![row(["what", "target"])];
    rows.extend(
        stated.iter().map(|(what, value, unit)| row([what, format!("{} {unit}", number(*value)).trim()])),
    );
    rows
}

fn assumed_rows(target: &Target) -> Vec<Vec<String>> {
    let assumed = &target.assumed;
    let all = [
        ("load at the peak over the mean of a day", assumed.peak_over_mean, ""),
        ("busiest region over the mean one", assumed.region_unevenness, ""),
        ("busiest zone over the mean one", assumed.zone_unevenness, ""),
        ("busiest site over the mean one", assumed.site_unevenness, ""),
        ("busiest gateway or store over the mean one", assumed.machine_unevenness, ""),
        ("share of the requests answered by copies of the gateways' own", assumed.answered_by_copies, ""),
        ("machines in a rack", assumed.machines_in_rack, ""),
        ("time for which a region is cut off", assumed.region_cut_seconds, "s"),
        ("subscribers of a relay", assumed.subscribers_of_relay, ""),
        ("longest deadline of a class", assumed.longest_deadline_seconds, "s"),
        ("requests on one connection of a client at the peak", assumed.requests_per_connection, "a second"),
    ];
    let mut rows = vec![row(["what", "figure"])];
    rows.extend(all.iter().map(|(what, value, unit)| {
        let figure = Figure::new(*value, unit, Mark::Assumed);
        row([what, &figure.to_string()])
    }));
    rows
}

fn load_rows(target: &Target) -> Vec<Vec<String>> {
    let mut rows = vec![row([
        "role",
        "count",
        "gateways, stores in one",
        "requests/s, mean of a day",
        "requests/s, peak",
        "requests/s, busiest at the peak",
        "Gbit/s, busiest at the peak",
    ])];
    rows.extend(role_loads(target).iter().map(load_row));
    rows
}

fn load_row(load: &RoleLoad) -> Vec<String> {
    let figure = |value: f64| format!("{} *computed*", number(value));
    let parts = match load.role {
        "gateway" | "store" => "".to_string(),
        _ => format!("{}, {} *computed*", number(load.gateways), number(load.stores)),
    };
    vec![
        load.role.to_string(),
        number(load.count),
        parts,
        figure(load.requests_mean),
        figure(load.requests_peak),
        figure(load.requests_busiest),
        figure(load.gigabits_busiest),
    ]
}

fn event_rows(slopes: &Slopes, target: &Target) -> Result<Vec<Vec<String>>, CapacityError> {
    let load = event_load(target, bytes_per_purge(slopes)?);
    let rows = [
        ("events", computed(load.events_per_second, "a second")),
        ("bytes to one subscriber, uncompressed", computed(load.bytes_to_each, "a second")),
        ("bytes from one source, all gateways its subscribers", computed(load.bytes_direct, "a second")),
        ("the same, over all control machines, from each", computed(load.bytes_of_machine, "a second")),
        ("relays on the lowest level", computed(load.relays, "")),
        ("bytes from one relay, uncompressed", computed(load.bytes_of_relay, "a second")),
    ];
    let mut all = vec![row(["what", "figure"])];
    all.extend(rows.iter().map(|(what, figure)| row([what, &figure.to_string()])));
    all.extend(relayed_rows(slopes, target, load.relays));
    for role in role_loads(target).iter().filter(|role| ["site", "zone", "region"].contains(&role.role)) {
        let what = format!("bytes into a {}, a stream for each of its gateways", role.role);
        let figure = computed(load.bytes_to_each * role.gateways, "a second");
        all.push(row([&what, &figure.to_string()]));
    }
    Ok(all)
}

/// Events by relays with gzip, if that is measured: to a gateway, from a leaf, from each of the roots.
fn relayed_rows(slopes: &Slopes, target: &Target, leaves: f64) -> Vec<Vec<String>> {
    let Some(series) = slopes.find("control_relayed", "bytes_together") else { return Vec::new() };
    let to_each = at(series, FULL_TARGET);
    let of_leaf = computed(to_each.value * target.assumed.subscribers_of_relay, "a second");
    let of_root = computed(to_each.value * leaves, "a second");
    [
        ("bytes to one gateway by a relay, with gzip, and of its reports", to_each),
        ("bytes from one relay on the lowest level, with gzip", of_leaf),
        ("bytes from a root, if all leaves read from it", of_root),
    ]
    .map(|(what, figure)| row([what, &figure.to_string()]))
    .to_vec()
}

fn series_rows(slopes: &Slopes, case: &str) -> Vec<Vec<String>> {
    let mut rows =
        vec![row(["quantity", "measured, by size", "at the target", "slope", "exponent", "residual"])];
    let of_case = slopes.series.iter().filter(|series| series.case == case);
    rows.extend(of_case.map(series_row));
    if rows.len() == 1 {
        rows.push(row(["not measured", "", "", "", "", ""]));
    }
    rows
}

fn series_row(series: &Series) -> Vec<String> {
    let points = series.points.iter().map(|p| format!("{}: {}", number(p.size), number(p.value)));
    let points: Vec<String> = points.collect();
    vec![
        format!("{} ({} by {})", series.quantity, series.unit, series.size_unit),
        format!("{} *measured*", points.join(", ")),
        at(series, series.target).to_string(),
        format!("{} *computed*", number(series.fit.slope)),
        format!("{:.2} *computed*", series.fit.exponent),
        format!(
            "{:.2} *computed*{}",
            series.fit.residual,
            if series.fit.residual > NOT_LINEAR { ", not linear" } else { "" }
        ),
    ]
}

fn message_rows(slopes: &Slopes, target: &Target) -> Vec<Vec<String>> {
    let mut rows = vec![row(["kind", "path", "rate of one sender", "bytes of one", "fan-in", "fan-out"])];
    rows.extend(messages(slopes, target).iter().map(message_row));
    rows
}

fn message_row(message: &Message) -> Vec<String> {
    let bytes = message.bytes.as_ref().map_or("not measured".to_string(), Figure::to_string);
    row([
        message.kind,
        message.path,
        &message.per_second.to_string(),
        &bytes,
        &message.fan_in.to_string(),
        &message.fan_out.to_string(),
    ])
}

fn state_rows(slopes: &Slopes, target: &Target) -> Vec<Vec<String>> {
    let mut rows = vec![row(["what a gateway holds", "entries at the target", "each"])];
    rows.extend(gateway_state(slopes, target).iter().map(|state| {
        let each = state.bytes_each.as_ref().map_or("not measured".to_string(), Figure::to_string);
        row([state.what, &state.entries.to_string(), &each])
    }));
    rows
}

fn ranking_rows(slopes: &Slopes, target: &Target) -> Vec<Vec<String>> {
    let mut rows = vec![row([
        "role",
        "what",
        "need",
        "budget",
        "need over budget",
        "headroom",
        "reaches its budget at",
        "carried by",
    ])];
    rows.extend(ranked(&target.needs, slopes).iter().map(ranking_row));
    rows
}

fn ranking_row(compared: &Compared<'_>) -> Vec<String> {
    let need = compared.need;
    let budget = compared.budget.map_or("not measured".to_string(), |budget| {
        format!("{} {} ({})", number(budget), need.unit, need.budget_source)
    });
    let ratio = compared.ratio().map_or("not measured".to_string(), |ratio| {
        let short = if compared.short() { ", **short**" } else { "" };
        format!("{} *computed*{short}", number(ratio))
    });
    let headroom = compared.ratio().map(|ratio| format!("{} *computed*", number(1.0 / ratio)));
    vec![
        need.role.clone(),
        need.what.clone(),
        compared.value.as_ref().map_or("not measured".to_string(), Figure::to_string),
        budget,
        ratio,
        headroom.unwrap_or_default(),
        breaks_at(compared),
        need.mechanism.clone(),
    ]
}

fn breaks_at(compared: &Compared<'_>) -> String {
    match (&compared.breaks_at, &compared.value) {
        (Some(size), _) => size.to_string(),
        (None, Some(_)) => "it does not grow".to_string(),
        (None, None) => String::new(),
    }
}

fn bad_day_rows(slopes: &Slopes, target: &Target) -> Result<Vec<Vec<String>>, CapacityError> {
    let mut rows = vec![row(["day", "what it sets off", "figure"])];
    let all = consequences(slopes, target)?;
    rows.extend(all.iter().map(|one| row([one.day, one.what, &one.figure.to_string()])));
    Ok(rows)
}
