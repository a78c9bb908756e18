//! Reports of replays: a table as text, and an HTML page with tables and plots.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::time::Duration;

use compact_str::CompactString;
use maud::{DOCTYPE, Markup, PreEscaped, html};

use super::measures::{Measured, Times};
use crate::error::Result;
use crate::plot::{LinePlot, Series};

const STYLE: &str = "body{font:16px/1.5 sans-serif;max-width:60rem;margin:1rem auto;padding:0 1rem;\
color-scheme:light dark}table{border-collapse:collapse}th,td{text-align:left;\
padding:.25rem .75rem .25rem 0;border-bottom:1px solid #8888}svg{max-width:100%;height:auto}";
/// Maximum number of kinds in the waiting plot; those with the most starts are shown.
const KINDS_SHOWN: usize = 4;

/// One replay in a report.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name of the placer, as printed.
    pub placer: &'static str,
    /// Results of the replay.
    pub measured: Measured,
    /// Unmet requirements, one sentence each; `None` if no outcome was required.
    pub missed: Option<Vec<String>>,
}

impl Row {
    fn verdict(&self) -> &'static str {
        match &self.missed {
            None => "none stated",
            Some(missed) if missed.is_empty() => "met",
            Some(_) => "missed",
        }
    }
}

fn seconds(d: Duration) -> String {
    format!("{:.3}", d.as_secs_f64())
}

fn micros(d: Duration) -> String {
    format!("{:.1}", d.as_secs_f64() * 1e6)
}

fn percent(s: Option<f64>) -> String {
    s.map_or_else(|| "-".to_owned(), |s| format!("{:.1}", s * 100.0))
}

fn placer_time_per_start(m: &Measured) -> Duration {
    let starts = u32::try_from(m.starts.max(1)).unwrap_or(u32::MAX);
    m.placer_time / starts
}

/// Formats a table with one row for each replay, followed by task counts, explanations for waiting
/// jobs and unmet requirements.
pub fn to_text(rows: &[Row]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<16} {:<10} {:<11} {:>8} {:>9} {:>9} {:>9} {:>9} {:>7} {:>7} {:>9} {:>9} {:>9} {:>8}",
        "trace",
        "placer",
        "outcome",
        "starts",
        "urgent99",
        "high99",
        "normal99",
        "spare99",
        "packed%",
        "fair%",
        "start50us",
        "start99us",
        "call99us",
        "cost_us",
    );
    for row in rows {
        let m = &row.measured;
        let waits = super::bands().map(|band| {
            let known = m.waiting.get(&band);
            known.map_or_else(|| "-".to_owned(), |t| seconds(t.p99))
        });
        let _ = writeln!(
            text,
            "{:<16} {:<10} {:<11} {:>8} {:>9} {:>9} {:>9} {:>9} {:>7} {:>7} {:>9} {:>9} {:>9} {:>8}",
            m.trace,
            row.placer,
            row.verdict(),
            m.starts,
            waits[0],
            waits[1],
            waits[2],
            waits[3],
            percent(m.packing),
            percent(m.fairness),
            micros(m.per_start.p50),
            micros(m.per_start.p99),
            micros(m.per_call.p99),
            micros(placer_time_per_start(m)),
        );
    }
    for row in rows {
        let _ = writeln!(
            text,
            "{} ({}): {}",
            row.measured.trace,
            row.placer,
            task_counts(&row.measured)
        );
    }
    for row in rows {
        for (job, reason) in &row.measured.reasons {
            let _ = writeln!(
                text,
                "{} ({}): {job}: {reason}",
                row.measured.trace, row.placer
            );
        }
        for missed in row.missed.iter().flatten() {
            let _ = writeln!(text, "{} ({}): {missed}", row.measured.trace, row.placer);
        }
    }
    text
}

/// Formats the counts of tasks by final status, and the jobs and workers with exceptional outcomes,
/// in one line.
fn task_counts(m: &Measured) -> String {
    let names = |what: &str, names: &BTreeSet<CompactString>| {
        let list: Vec<&str> = names.iter().map(CompactString::as_str).collect();
        let list = list.join(" ");
        if list.is_empty() {
            String::new()
        } else {
            format!("; {what}: {list}")
        }
    };
    format!(
        "{} tasks done, {} unfinished, {} unknown, {} failed, {} preempted{}{}{}{}",
        m.done,
        m.unfinished,
        m.unknown,
        m.failed,
        m.preempted,
        names("never run", &m.never_run),
        names("given up", &m.given_up),
        names("quarantined", &m.quarantined),
        names("let back", &m.released),
    )
}

/// Renders an HTML page with the tables and plots of several replays.
pub fn to_html(rows: &[Row]) -> Result<String> {
    let sections: Vec<Markup> = rows.iter().map(section).collect::<Result<_>>()?;
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { "Replay" }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { "Replay" }
                @for section in sections { (section) }
            }
        }
    };
    Ok(page.into_string())
}

fn section(row: &Row) -> Result<Markup> {
    let m = &row.measured;
    let plots = [waiting_plot(m), packing_plot(m), decision_plot(m)];
    let plots: Vec<String> = plots.iter().map(LinePlot::to_svg).collect::<Result<_>>()?;
    Ok(html! {
        h2 { (m.trace) " with " (row.placer) }
        p { "Stated outcome: " strong { (row.verdict()) } "." }
        @if let Some(missed) = row.missed.as_ref().filter(|m| !m.is_empty()) {
            ul { @for text in missed { li { (text) } } }
        }
        p { (task_counts(m)) "." }
        (measures_table(m))
        (waits_table(m))
        @for svg in plots { (PreEscaped(svg)) }
    })
}

fn measures_table(m: &Measured) -> Markup {
    html! {
        table {
            tr { th { "starts" } td { (m.starts) } }
            tr { th { "preempted" } td { (m.preempted) } }
            tr { th { "packing of the bound, %" } td { (percent(m.packing)) } }
            tr { th { "fairness, %" } td { (percent(m.fairness)) } }
            tr { th { "decision per start p50 / p99 / p99.9, µs" } td {
                (micros(m.per_start.p50)) " / " (micros(m.per_start.p99)) " / "
                (micros(m.per_start.p999))
            } }
            tr { th { "control cost per start, µs" } td { (micros(placer_time_per_start(m))) } }
        }
    }
}

fn waits_table(m: &Measured) -> Markup {
    let row = |name: String, t: &Times| {
        html! {
            tr {
                td { (name) } td { (t.count) } td { (seconds(t.p50)) } td { (seconds(t.p99)) }
                td { (seconds(t.p999)) } td { (seconds(t.max)) }
            }
        }
    };
    html! {
        table {
            tr { th { "waiting, s" } th { "starts" } th { "p50" } th { "p99" } th { "p99.9" }
                th { "max" } }
            @for (band, times) in &m.waiting { (row(format!("band {band:?}"), times)) }
            @for (kind, times) in &m.waiting_by_kind { (row(kind.to_string(), times)) }
        }
    }
}

fn waiting_plot(m: &Measured) -> LinePlot {
    let count = |kind| m.waiting_by_kind.get(kind).map_or(0, |t| t.count);
    let mut kinds: Vec<_> = m.waiting_points.iter().collect();
    kinds.sort_by_key(|(kind, _)| std::cmp::Reverse(count(*kind)));
    let series = kinds.into_iter().take(KINDS_SHOWN);
    LinePlot {
        title: "Longest waiting by kind".to_owned(),
        x: "start, s".to_owned(),
        y: "waited, s".to_owned(),
        series: series
            .map(|(kind, points)| Series {
                name: kind.to_string(),
                points: points.clone(),
            })
            .collect(),
    }
}

fn packing_plot(m: &Measured) -> LinePlot {
    let line = |name: &str, y: fn(&super::Sample) -> f64| Series {
        name: name.to_owned(),
        points: m
            .samples
            .iter()
            .map(|s| (s.at.as_secs_f64(), y(s)))
            .collect(),
    };
    LinePlot {
        title: "Packing of the scarcest resource".to_owned(),
        x: "time, s".to_owned(),
        y: "share".to_owned(),
        series: vec![
            line("granted", |s| s.used),
            line("bound by demand", |s| s.bound),
        ],
    }
}

fn decision_plot(m: &Measured) -> LinePlot {
    LinePlot {
        title: "Longest decision call".to_owned(),
        x: "time, s".to_owned(),
        y: "µs".to_owned(),
        series: vec![Series {
            name: "longest in 5 s".to_owned(),
            points: m.decide_points.clone(),
        }],
    }
}
