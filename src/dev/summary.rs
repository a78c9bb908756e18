//! What a demonstration measured.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{CellName, KindName, ServiceName};
use crate::load::LoadReport;
use crate::state::WorkerRow;

/// Results of a demonstration on one cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The cell.
    pub cell: CellName,
    /// Requests by service.
    pub requests: Vec<RequestSummary>,
    /// Jobs by kind.
    pub kinds: Vec<KindSummary>,
    /// Highest share of all cores that was granted at one time.
    pub highest_packing: f64,
    /// Tasks or requests that ran in two places or twice.
    pub doubled: usize,
    /// Workers that were given more than they hold.
    pub overfilled: usize,
}

/// Requests to one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestSummary {
    /// The service.
    pub service: ServiceName,
    /// Requests answered whole and in time.
    pub done: u64,
    /// Requests with any other outcome.
    pub other: u64,
    /// Median time to the answer in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the time to the answer in microseconds.
    pub p99_us: u64,
}

/// Jobs of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindSummary {
    /// The kind.
    pub kind: KindName,
    /// Jobs accepted.
    pub accepted: u64,
    /// Jobs done.
    pub done: u64,
    /// Accepted jobs that control does not know any more.
    pub lost: u64,
    /// Median time from acceptance to the first start in microseconds.
    pub waited_p50_us: u64,
    /// 99th percentile of that time in microseconds.
    pub waited_p99_us: u64,
}

impl RequestSummary {
    pub(super) fn of(service: &ServiceName, report: &LoadReport) -> Self {
        let path = report.paths.get("entry").cloned().unwrap_or_default();
        let done = path.outcomes.get("done").copied().unwrap_or(0);
        Self {
            service: service.clone(),
            done,
            other: path.outcomes.values().sum::<u64>() - done,
            p50_us: path.done.p50_us,
            p99_us: path.done.p99_us,
        }
    }
}

impl KindSummary {
    pub(super) fn of(kind: &KindName, report: &LoadReport) -> Self {
        let jobs = report.jobs.clone().unwrap_or_default();
        Self {
            kind: kind.clone(),
            accepted: jobs.accepted,
            done: jobs.phases.get("done").copied().unwrap_or(0),
            lost: jobs.missing,
            waited_p50_us: jobs.waited.p50_us,
            waited_p99_us: jobs.waited.p99_us,
        }
    }
}

impl Summary {
    /// Whether nothing was lost, doubled, overfilled or left undone.
    pub fn good(&self) -> bool {
        let whole = |k: &KindSummary| k.lost == 0 && k.done == k.accepted && k.done > 0;
        let jobs = self.kinds.iter().all(whole);
        let requests = self.requests.iter().all(|r| r.done > 0);
        jobs && requests && self.doubled == 0 && self.overfilled == 0
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.cell)?;
        for r in &self.requests {
            let (p50, p99) = (ms(r.p50_us), ms(r.p99_us));
            let (name, done, other) = (&r.service, r.done, r.other);
            writeln!(
                f,
                "  requests {name:<18} done {done:>5}  other {other:>4}  answered p50 {p50} p99 {p99}"
            )?;
        }
        for k in &self.kinds {
            let (p50, p99) = (ms(k.waited_p50_us), ms(k.waited_p99_us));
            let (name, done, accepted) = (&k.kind, k.done, k.accepted);
            writeln!(
                f,
                "  jobs     {name:<18} done {done:>5} of {accepted:<5}    waited p50 {p50} p99 {p99}"
            )?;
        }
        let lost: u64 = self.kinds.iter().map(|kind| kind.lost).sum();
        let packing = self.highest_packing * 100.0;
        let (doubled, overfilled) = (self.doubled, self.overfilled);
        writeln!(
            f,
            "  packing up to {packing:.0} %  lost {lost}  doubled {doubled}  overfilled {overfilled}"
        )
    }
}

fn ms(us: u64) -> String {
    format!("{:>8.1} ms", us as f64 / 1000.0)
}

/// Share of all cores that is granted.
pub(super) fn packing(workers: &[WorkerRow]) -> f64 {
    let cores = |amount: &crate::resources::Resources| u64::from(amount.millicores);
    let granted: u64 = workers.iter().map(|w| cores(&w.granted)).sum();
    let capacity: u64 = workers.iter().map(|w| cores(&w.capacity)).sum();
    match capacity {
        0 => 0.0,
        capacity => granted as f64 / capacity as f64,
    }
}
