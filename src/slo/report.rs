//! Formats the burn report as a text table and as JSON.

use std::fmt::Write;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::alert::{Alert, Severity};
use super::burn::{ObjectiveReport, target_name};
use crate::error::{Error, Result, Step};
use crate::ids::Timestamp;

/// State of every objective at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Time of the report, as Unix time.
    pub at: Timestamp,
    /// Objectives, sorted by name.
    pub objectives: Vec<ObjectiveReport>,
}

/// Formats the report as a table for a terminal, followed by alerts and burners.
pub fn render_table(report: &BurnReport) -> String {
    if report.objectives.is_empty() {
        return "the document declares no objectives\n".to_owned();
    }
    let mut rows = vec![
        [
            "objective",
            "of",
            "goal",
            "good",
            "unknown",
            "events",
            "budget left",
            "burn rates",
        ]
        .map(str::to_owned),
    ];
    rows.extend(report.objectives.iter().map(row));
    let mut out = format_columns(&rows);
    for objective in &report.objectives {
        write_details(&mut out, objective);
    }
    out
}

/// Formats the report as JSON; durations and times are objects of seconds and nanoseconds.
pub fn render_json(report: &BurnReport) -> Result<String> {
    serde_json::to_string_pretty(report)
        .map_err(|e| Error::caused(Step::Codec, "encoding the burn report", e))
}

fn row(report: &ObjectiveReport) -> [String; 8] {
    let objective = &report.objective;
    [
        objective.name.to_string(),
        target_name(&objective.target),
        goal(report),
        percent(report.good_percent, 3),
        percent(report.unknown_percent, 3),
        report.counts.total().to_string(),
        format!("{:.1}%", report.budget_left_percent),
        rates(report),
    ]
}

/// Formats the goal, such as `99.9% in 250ms over 30d`.
pub(crate) fn goal(report: &ObjectiveReport) -> String {
    let objective = &report.objective;
    format!(
        "{}% in {} over {}",
        f64::from(objective.millipercent) / 1000.0,
        span(objective.within),
        span(objective.window)
    )
}

/// Formats the burn rates, such as `5m 2.0, 1h 1.1`.
pub(crate) fn rates(report: &ObjectiveReport) -> String {
    let rate = |rate: Option<f64>| rate.map_or("-".to_owned(), |rate| format!("{rate:.1}"));
    let shown = report.rates.iter();
    let shown: Vec<_> = shown
        .map(|burn| format!("{} {}", span(burn.span), rate(burn.rate)))
        .collect();
    shown.join(", ")
}

/// Describes an alert in one line.
pub(crate) fn alert_text(alert: &Alert) -> String {
    let name = match alert.severity {
        Severity::Page => "page",
        Severity::Ticket => "ticket",
    };
    format!(
        "{name}: burns {:.1} times too fast over {} and {:.1} over {} (alerts from {:.1})",
        alert.long_rate,
        span(alert.long),
        alert.short_rate,
        span(alert.short),
        alert.threshold
    )
}

pub(crate) fn percent(value: Option<f64>, places: usize) -> String {
    value.map_or("-".to_owned(), |value| format!("{value:.places$}%"))
}

/// Formats a duration in the largest unit of which it is a whole multiple.
pub(crate) fn span(span: Duration) -> String {
    const UNITS: [(u128, &str); 5] = [
        (86_400_000, "d"),
        (3_600_000, "h"),
        (60_000, "m"),
        (1_000, "s"),
        (1, "ms"),
    ];
    let ms = span.as_millis();
    let fits = UNITS
        .iter()
        .find(|(unit, _)| ms >= *unit && ms.is_multiple_of(*unit));
    fits.map_or_else(
        || format!("{ms}ms"),
        |(unit, name)| format!("{}{name}", ms / unit),
    )
}

fn write_details(out: &mut String, report: &ObjectiveReport) {
    for alert in &report.alerts {
        let _ = writeln!(out, "\n{}: {}", report.objective.name, alert_text(alert));
    }
    if report.burners.is_empty() {
        return;
    }
    let _ = writeln!(out, "\n{} was burned by:", report.objective.name);
    for burner in &report.burners {
        let (dimension, value) = (burner.dimension.name(), &burner.value);
        let _ = writeln!(
            out,
            "  {dimension:<7} {value:<24} {:>8} events  {:>5.1}%",
            burner.events, burner.percent
        );
    }
}

/// Formats rows as left-aligned columns.
fn format_columns<const N: usize>(rows: &[[String; N]]) -> String {
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: [usize; N] = std::array::from_fn(width);
    let mut out = String::new();
    for row in rows {
        let cells = row.iter().zip(widths);
        let line: Vec<_> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        out.push_str(line.join("  ").trim_end());
        out.push('\n');
    }
    out
}
