//! Results of a load run, as a table and as JSON.

use std::collections::BTreeMap;
use std::fmt::Write;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::process::Usage;
use super::samples::{Second, Summary};
use crate::error::{Error, Result, Step};

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Seed of the run.
    pub seed: u64,
    /// Seconds that were measured.
    pub seconds: f64,
    /// Calls by path: `entry`, `direct` and `submit`.
    pub paths: BTreeMap<CompactString, PathReport>,
    /// What an entry host adds to calling a minion directly, when both were called.
    pub added: Option<Added>,
    /// Jobs, when some were submitted.
    pub jobs: Option<JobsReport>,
    /// Use of the processes that were watched.
    pub processes: Vec<Usage>,
}

/// Calls of one path.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PathReport {
    /// Calls a second that were due.
    pub offered_per_second: f64,
    /// Calls a second that were done within their deadline.
    pub goodput_per_second: f64,
    /// Calls by outcome.
    pub outcomes: BTreeMap<CompactString, u64>,
    /// Times of calls that were done, from when they were due.
    pub done: Summary,
    /// Times of all other answers.
    pub other: Summary,
    /// How late calls were sent.
    pub lateness: Summary,
    /// The run by seconds.
    pub by_second: Vec<Second>,
}

/// Differences between calls through an entry host and direct ones, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Added {
    /// Difference of the medians.
    pub p50_us: i64,
    /// Difference of the 99th percentiles.
    pub p99_us: i64,
}

/// Jobs of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobsReport {
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Accepted jobs that could not be asked for.
    pub missing: u64,
    /// Jobs by state.
    pub phases: BTreeMap<CompactString, u64>,
    /// Starts of all tasks.
    pub starts: u64,
    /// Tasks of all jobs.
    pub tasks: u64,
    /// Time from arrival to first start.
    pub waited: Summary,
}

impl LoadReport {
    pub(crate) fn set_added(&mut self) {
        let path = |name: &str| self.paths.get(name).filter(|path| path.done.count > 0);
        let difference = |a: u64, b: u64| a as i64 - b as i64;
        self.added = path("entry")
            .zip(path("direct"))
            .map(|(entry, direct)| Added {
                p50_us: difference(entry.done.p50_us, direct.done.p50_us),
                p99_us: difference(entry.done.p99_us, direct.done.p99_us),
            });
    }
}

/// Writes the report as a table for people.
pub fn render_table(report: &LoadReport) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "seed {}, {:.1} s measured\n",
        report.seed, report.seconds
    );
    let _ = writeln!(
        out,
        "{:<8} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "calls", "offered/s", "good/s", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms"
    );
    for (name, path) in &report.paths {
        write_path(&mut out, name, path);
    }
    if let Some(added) = &report.added {
        let ms = |us: i64| us as f64 / 1000.0;
        let (p50, p99) = (ms(added.p50_us), ms(added.p99_us));
        let _ = writeln!(
            out,
            "\nadded by an entry host: p50 {p50:.3} ms, p99 {p99:.3} ms"
        );
    }
    if let Some(jobs) = &report.jobs {
        write_jobs(&mut out, jobs);
    }
    write_processes(&mut out, &report.processes);
    out
}

/// Writes the report as JSON.
pub fn render_json(report: &LoadReport) -> Result<String> {
    serde_json::to_string_pretty(report)
        .map_err(|e| Error::caused(Step::Codec, "encoding a load report", e))
}

pub(crate) fn ms(us: u64) -> f64 {
    us as f64 / 1000.0
}

fn write_path(out: &mut String, name: &str, path: &PathReport) {
    let done = &path.done;
    let _ = writeln!(
        out,
        "{name:<8} {:>9.1} {:>9.1} {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.3}",
        path.offered_per_second,
        path.goodput_per_second,
        ms(done.p50_us),
        ms(done.p90_us),
        ms(done.p99_us),
        ms(done.p999_us),
        ms(done.max_us)
    );
    let outcomes: Vec<_> = path
        .outcomes
        .iter()
        .map(|(name, n)| format!("{name} {n}"))
        .collect();
    let late = ms(path.lateness.p99_us);
    let _ = writeln!(
        out,
        "         {}; sent late p99 {late:.3} ms",
        outcomes.join(", ")
    );
}

fn write_jobs(out: &mut String, jobs: &JobsReport) {
    let phases: Vec<_> = jobs
        .phases
        .iter()
        .map(|(name, n)| format!("{name} {n}"))
        .collect();
    let _ = writeln!(
        out,
        "\njobs: accepted {}, {}, missing {}; {} starts of {} tasks; waited p50 {:.3} ms, p99 {:.3} ms",
        jobs.accepted,
        phases.join(", "),
        jobs.missing,
        jobs.starts,
        jobs.tasks,
        ms(jobs.waited.p50_us),
        ms(jobs.waited.p99_us)
    );
}

fn write_processes(out: &mut String, processes: &[Usage]) {
    if processes.is_empty() {
        return;
    }
    const MB: f64 = 1_000_000.0;
    const KB: f64 = 1_000.0;
    let _ = writeln!(
        out,
        "\n{:<16} {:>8} {:>9} {:>9} {:>11} {:>11} {:>11}",
        "process", "% core", "MB", "most MB", "disk KB/s", "sent KB/s", "recv KB/s"
    );
    let rate = |rate: Option<f64>| rate.map_or("-".to_owned(), |rate| format!("{:.2}", rate / KB));
    for usage in processes {
        let _ = writeln!(
            out,
            "{:<16} {:>8.2} {:>9.1} {:>9.1} {:>11.2} {:>11} {:>11}",
            usage.name,
            usage.cpu_percent,
            usage.memory as f64 / MB,
            usage.most_memory as f64 / MB,
            usage.disk_per_second / KB,
            rate(usage.sent_per_second),
            rate(usage.received_per_second)
        );
    }
}
