//! A load report as one HTML file with plots.

use maud::{PreEscaped, html};

use super::report::{LoadReport, PathReport, ms, render_table};
use crate::error::Result;
use crate::plot::{LinePlot, Series, page};

/// Where the greatest time stands on an axis of nines.
const LAST_NINES: f64 = 5.0;

/// Writes the report as a whole HTML page.
pub fn render_html(report: &LoadReport) -> Result<String> {
    let plots = [
        percentiles(report),
        over_time(report, "answered in time", "calls a second", |second| {
            second.good as f64
        }),
        over_time(report, "slowest answer in time", "ms", |second| {
            ms(second.slowest_us)
        }),
    ];
    let svgs: Vec<String> = plots.iter().map(LinePlot::to_svg).collect::<Result<_>>()?;
    let body = html! {
        pre { (render_table(report)) }
        @for svg in svgs { (PreEscaped(svg)) }
    };
    Ok(page("Load run", &body))
}

/// Times over the share of calls that were slower: 1 is 90%, 2 is 99%, 3 is 99.9%.
fn percentiles(report: &LoadReport) -> LinePlot {
    let nines = |percentile: f64| match percentile < 100.0 {
        true => -(1.0 - percentile / 100.0).log10(),
        false => LAST_NINES,
    };
    let points = |path: &PathReport| {
        let curve = path.done.curve.iter();
        curve
            .map(|(percentile, us)| (nines(*percentile), ms(*us)))
            .collect()
    };
    LinePlot {
        title: "time of calls that were done".to_owned(),
        x: "nines of calls at or below (1 = 90%, 2 = 99%, 3 = 99.9%)".to_owned(),
        y: "ms".to_owned(),
        series: series(report, points),
    }
}

fn over_time(
    report: &LoadReport,
    title: &str,
    unit: &str,
    y: impl Fn(&super::samples::Second) -> f64,
) -> LinePlot {
    let points = |path: &PathReport| {
        let seconds = path.by_second.iter().enumerate();
        seconds.map(|(n, second)| (n as f64, y(second))).collect()
    };
    LinePlot {
        title: title.to_owned(),
        x: "seconds of the run".to_owned(),
        y: unit.to_owned(),
        series: series(report, points),
    }
}

fn series(report: &LoadReport, points: impl Fn(&PathReport) -> Vec<(f64, f64)>) -> Vec<Series> {
    let paths = report.paths.iter();
    let line = |(name, path): (&compact_str::CompactString, &PathReport)| Series {
        name: name.to_string(),
        points: points(path),
    };
    paths.map(line).collect()
}
