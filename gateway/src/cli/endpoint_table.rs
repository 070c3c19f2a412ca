//! A running gateway's report of its endpoints, as a table. The report's keys are those of
//! `docs/operate/membership.md`.
use serde_json::Value;
use std::fmt::Write;
use thiserror::Error;

/// The heads of the columns.
const HEADS: [&str; 12] =
    ["BOX", "STATE", "FOR", "WHY", "LIST", "AGE", "NODES", "AGE", "PENALTY", "INC", "ANSWERED", "DIAL"];
/// Spans below this are printed in ms.
const MIN_SECONDS_MS: u64 = 10_000;
/// Spans below this are printed in seconds, others in minutes.
const MIN_MINUTES_MS: u64 = 600_000;

/// Why a report cannot be printed.
#[derive(Debug, Error)]
pub(crate) enum ReportError {
    /// It is not JSON.
    #[error("the answer is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The gateway answers with an error.
    #[error("{0}")]
    Rejected(String),
}

/// Formats the report as a table, with a head on the sources and the latest changes below.
pub(super) fn format(report: &str) -> Result<String, ReportError> {
    let report: Value = serde_json::from_str(report)?;
    if let Some(error) = report["error"].as_str() {
        return Err(ReportError::Rejected(error.to_string()));
    }
    let mut table = format_sources(&report);
    let heads = HEADS.map(String::from).to_vec();
    let rows = items(&report["boxes"]).map(endpoint_row);
    table.push_str(&format_columns(&std::iter::once(heads).chain(rows).collect::<Vec<_>>()));
    for change in items(&report["changes"]) {
        let _ = writeln!(table, "{} ago: {}", format_span(&change["ago_ms"]), format_value(&change["boxes"]));
    }
    Ok(table)
}

/// The lines on the session with the ensemble, the endpoint list and the nodes.
fn format_sources(report: &Value) -> String {
    let session = &report["session"];
    let contact = |source: &Value| if source["contact"] == true { "in contact" } else { "no contact" };
    let mut lines = format!(
        "{}: session {} {}{}, {}, zxid {}\n",
        format_value(&report["name"]),
        format_value(&session["id"]),
        contact(session),
        session["server"].as_str().map_or(String::new(), |server| format!(" with {server}")),
        if session["registered"] == true { "registered" } else { "not registered" },
        format_value(&session["zxid"]),
    );
    for source in ["list", "nodes"] {
        let ready = if report[source]["ready"] == true { "read" } else { "not read yet" };
        let _ = writeln!(lines, "{source}: {ready}, {}", contact(&report[source]));
    }
    lines
}

/// The cells of an endpoint, in the order of [`HEADS`].
fn endpoint_row(endpoint: &Value) -> Vec<String> {
    let nodes = format_value(&endpoint["nodes"]);
    vec![
        format_value(&endpoint["name"]),
        format_value(&endpoint["state"]),
        format_span(&endpoint["for_ms"]),
        format_value(&endpoint["why"]),
        format_value(&endpoint["list"]),
        format_span(&endpoint["list_age_ms"]),
        if nodes.is_empty() { "-".into() } else { nodes },
        format_span(&endpoint["nodes_age_ms"]),
        format_value(&endpoint["penalty"]),
        format_value(&endpoint["incarnation"]),
        format_span(&endpoint["answered_ms"]),
        format_value(&endpoint["dial"]),
    ]
}

/// The items of a list; none if it is absent.
fn items(list: &Value) -> impl Iterator<Item = &Value> {
    list.as_array().into_iter().flatten()
}

/// Formats rows with each column as wide as its widest cell.
fn format_columns(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..count)
        .map(|column| {
            let cells = rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        })
        .collect();
    let mut table = String::new();
    for row in rows {
        let line: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        table.push_str(line.join("  ").trim_end());
        table.push('\n');
    }
    table
}

/// Formats a span in ms, rounded down to a unit that suits it.
fn format_span(value: &Value) -> String {
    match value.as_u64() {
        None => "-".into(),
        Some(ms) if ms < MIN_SECONDS_MS => format!("{ms}ms"),
        Some(ms) if ms < MIN_MINUTES_MS => format!("{}s", ms / 1000),
        Some(ms) => format!("{}min", ms / 60_000),
    }
}

/// Formats a value without quotes; lists are separated by commas.
fn format_value(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(format_value).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
