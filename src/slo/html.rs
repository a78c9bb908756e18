//! Formats the burn report as one HTML file with plots, legible without colour and scripts.

use std::time::{Duration, SystemTime};

use maud::{Markup, PreEscaped, html};

use super::burn::{ObjectiveReport, target_name};
use super::report::{BurnReport, alert_text, goal, percent, span};
use super::ring::Counts;
use crate::error::Result;
use crate::ids::Timestamp;
use crate::plot::{LinePlot, Series, page};

/// Formats the report as a complete HTML page.
pub fn render_html(report: &BurnReport) -> Result<String> {
    Ok(page("Service-level burn", &render_body(report)?))
}

/// Formats the report as a fragment, for a page with its own head and heading.
pub fn render_body(report: &BurnReport) -> Result<Markup> {
    let sections: Vec<Markup> = report
        .objectives
        .iter()
        .map(section)
        .collect::<Result<_>>()?;
    Ok(html! {
        p { "At " (format_time(report.at)) " (UTC)." }
        @if report.objectives.is_empty() {
            p { "The document declares no objectives." }
        }
        @for section in sections { (section) }
    })
}

/// Formats a time since the Unix epoch as RFC 3339.
fn format_time(at: Timestamp) -> String {
    humantime::format_rfc3339_seconds(SystemTime::UNIX_EPOCH + at).to_string()
}

fn section(report: &ObjectiveReport) -> Result<Markup> {
    let budget = budget_plot(report).to_svg()?;
    let events = events_plot(report).to_svg()?;
    Ok(html! {
        h2 { (report.objective.name) }
        p { (target_name(&report.objective.target)) ": " (goal(report)) }
        @for alert in &report.alerts {
            p.alert role="alert" { strong { "Alert. " } (alert_text(alert)) }
        }
        (summary_table(report))
        (PreEscaped(budget))
        (PreEscaped(events))
        @if !report.burners.is_empty() { (burners(report)) }
    })
}

fn summary_table(report: &ObjectiveReport) -> Markup {
    html! {
        table {
            tr { th { "events" } td { (report.counts.total()) } }
            tr { th { "good" } td { (percent(report.good_percent, 3)) } }
            tr { th { "unknown" } td { (percent(report.unknown_percent, 3)) } }
            tr { th { "error budget left" } td { (format!("{:.1}%", report.budget_left_percent)) } }
            @for burn in &report.rates {
                tr {
                    th { "burn rate over " (span(burn.span)) }
                    td { (burn.rate.map_or("-".to_owned(), |rate| format!("{rate:.2}"))) }
                }
            }
        }
    }
}

fn burners(report: &ObjectiveReport) -> Markup {
    html! {
        h3 { "What burned it" }
        table {
            tr { th { "by" } th { "name" } th { "events" } th { "share" } }
            @for burner in &report.burners {
                tr {
                    td { (burner.dimension.name()) }
                    td { (burner.value) }
                    td { (burner.events) }
                    td { (format!("{:.1}%", burner.percent)) }
                }
            }
        }
    }
}

/// Chooses the unit of the time axis for a window; returns its name and its length in seconds.
fn time_unit(window: Duration) -> (&'static str, f64) {
    const DAY: f64 = 86_400.0;
    const HOUR: f64 = 3_600.0;
    match window.as_secs_f64() {
        w if w >= 2.0 * DAY => ("days", DAY),
        w if w >= 2.0 * HOUR => ("hours", HOUR),
        _ => ("minutes", 60.0),
    }
}

/// Returns the x axis label and the points of a value over the window. X is the time relative to
/// the newest bucket, so it is zero or negative.
fn points(report: &ObjectiveReport, y: impl FnMut(&Counts) -> f64) -> (String, Vec<(f64, f64)>) {
    let (unit, length) = time_unit(report.objective.window);
    let end = report
        .series
        .last()
        .map_or(0.0, |last| last.0.as_secs_f64());
    let xs = report.series.iter();
    let xs = xs.map(|(at, _)| (at.as_secs_f64() - end) / length);
    let ys = report.series.iter().map(|(_, counts)| counts).map(y);
    (format!("{unit} from now"), xs.zip(ys).collect())
}

/// Plots the remaining budget over the window.
fn budget_plot(report: &ObjectiveReport) -> LinePlot {
    let total = report.counts.total() as f64;
    let allowed = total * (1.0 - f64::from(report.objective.millipercent) / 100_000.0);
    let mut burned = 0;
    let left = |counts: &Counts| {
        burned += counts.burned();
        match allowed > 0.0 {
            true => 100.0 * (1.0 - burned as f64 / allowed),
            false => 100.0 * f64::from(u8::from(burned == 0)),
        }
    };
    let (x, left) = points(report, left);
    let line = |y: f64| left.iter().map(|(x, _)| (*x, y)).collect();
    LinePlot {
        title: format!("{}: error budget left", report.objective.name),
        x,
        y: "percent".to_owned(),
        series: vec![
            Series {
                name: "nothing left".to_owned(),
                points: line(0.0),
            },
            Series {
                name: "budget left".to_owned(),
                points: left.clone(),
            },
        ],
    }
}

fn events_plot(report: &ObjectiveReport) -> LinePlot {
    let line = |name: &str, y: fn(&Counts) -> f64| {
        let (_, points) = points(report, y);
        Series {
            name: name.to_owned(),
            points,
        }
    };
    LinePlot {
        title: format!("{}: events that burned it", report.objective.name),
        x: points(report, |_| 0.0).0,
        y: "events".to_owned(),
        series: vec![
            line("failed or late", |counts| counts.bad as f64),
            line("unknown", |counts| counts.unknown as f64),
        ],
    }
}
