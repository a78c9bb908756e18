//! A short mixed load on a development cell, measured and checked.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::future::join_all;
use tokio::sync::watch;

use super::cell::DevCell;
use super::run::live_if;
use super::summary::{KindSummary, RequestSummary, Summary, packing};
use crate::document::{Document, JobKind};
use crate::error::Result;
use crate::ids::{KindName, ServiceName};
use crate::load::{JobLoad, LoadOptions, LoadReport, RequestLoad};
use crate::state::WorkerRow;
use crate::workload::WorkClass;

/// Time during which load arrives.
const DURATION: Duration = Duration::from_secs(10);

/// Time after that in which all jobs must end.
const SETTLE: Duration = Duration::from_secs(20);

/// Requests a second to each service.
const REQUEST_RATE: f64 = 150.0;

/// Time in which a request counts as answered.
const REQUEST_DEADLINE: Duration = Duration::from_secs(2);

/// Share of requests that must not run twice and carry a key.
const ONCE_PERCENT: u32 = 30;

/// Cores that the jobs of one kind ask for over the whole run, in thousandths.
const MILLICORES_PER_KIND: u32 = 3_000_000;

/// Time between two looks at how full the workers are.
const PACKING_INTERVAL: Duration = Duration::from_millis(500);

/// Drives the load and gathers what came of it.
pub(super) async fn demonstrate(
    cell: &DevCell,
    document: &Document,
    live_line: bool,
) -> Result<Summary> {
    let kinds: Vec<_> = batch_kinds(document).collect();
    let services: Vec<_> = document.services.keys().collect();
    let jobs = join_all(kinds.iter().map(|(name, kind)| job_load(cell, name, kind)));
    let requests = join_all(services.iter().map(|name| request_load(cell, name)));
    let (highest_tx, highest) = watch::channel(0.0);
    // Neither the live line nor the watch ends by itself; the load decides.
    let load = async { tokio::join!(jobs, requests) };
    let aside = async { tokio::join!(live_if(cell, live_line), watch_packing(cell, highest_tx)) };
    let (jobs, requests) = first(load, aside).await;
    let jobs: Vec<LoadReport> = jobs.into_iter().collect::<Result<_>>()?;
    let requests: Vec<LoadReport> = requests.into_iter().collect::<Result<_>>()?;
    let counts = cell.ledger.counts();
    let kinds = kinds.iter().zip(&jobs);
    let services = services.iter().zip(&requests);
    let highest_packing = *highest.borrow();
    Ok(Summary {
        cell: document.cell.clone(),
        kinds: kinds
            .map(|((name, _), report)| KindSummary::of(name, report))
            .collect(),
        requests: services
            .map(|(name, report)| RequestSummary::of(name, report))
            .collect(),
        highest_packing,
        doubled: counts.doubles.len() + doubled_requests(cell),
        overfilled: counts.overfills.len(),
    })
}

/// Requests under a key that ran more than once, on one minion or on several.
fn doubled_requests(cell: &DevCell) -> usize {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for minion in cell.minions() {
        // A request without a key is counted under its path, which says nothing of doubles.
        let counts = minion.counts().by_key.into_iter();
        for (key, n) in counts.filter(|(key, _)| !key.starts_with('/')) {
            *runs.entry(key).or_default() += n;
        }
    }
    runs.values().filter(|n| **n > 1).count()
}

/// Runs both and ends with the first.
async fn first<T>(main: impl Future<Output = T>, aside: impl Future) -> T {
    tokio::pin!(main);
    tokio::select! {
        result = &mut main => return result,
        _ = aside => {}
    }
    main.await
}

/// Kinds whose tasks end by themselves.
fn batch_kinds(document: &Document) -> impl Iterator<Item = (&KindName, &JobKind)> {
    let ends = |kind: &JobKind| matches!(kind.class, WorkClass::Batch | WorkClass::Gang);
    document.kinds.iter().filter(move |(_, kind)| ends(kind))
}

async fn job_load(cell: &DevCell, name: &KindName, kind: &JobKind) -> Result<LoadReport> {
    let per_job = kind.need.millicores.max(1) * kind.tasks.max(1);
    let jobs = f64::from((MILLICORES_PER_KIND / per_job).clamp(4, 400));
    let load = JobLoad {
        kind: name.clone(),
        tasks: None,
        rate: jobs / DURATION.as_secs_f64(),
        settle: SETTLE,
    };
    crate::load::run(LoadOptions {
        jobs: Some(load),
        ..options(cell)
    })
    .await
}

async fn request_load(cell: &DevCell, service: &ServiceName) -> Result<LoadReport> {
    let load = RequestLoad {
        service: service.clone(),
        rate: REQUEST_RATE,
        deadline: REQUEST_DEADLINE,
        once_percent: ONCE_PERCENT,
        ..RequestLoad::default()
    };
    crate::load::run(LoadOptions {
        requests: Some(load),
        ..options(cell)
    })
    .await
}

fn options(cell: &DevCell) -> LoadOptions {
    LoadOptions {
        entries: vec![cell.callers()],
        warm_up: Duration::ZERO,
        duration: DURATION,
        ..LoadOptions::default()
    }
}

/// Keeps the highest share of cores that was granted at one time.
async fn watch_packing(cell: &DevCell, highest: watch::Sender<f64>) {
    loop {
        if let Some(workers) = cell.table::<WorkerRow>("workers").await {
            let now = packing(&workers);
            highest.send_modify(|highest| *highest = highest.max(now));
        }
        tokio::time::sleep(PACKING_INTERVAL).await;
    }
}
