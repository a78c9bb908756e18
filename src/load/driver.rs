//! Runs a load: a thread of its own keeps the time and starts each call when it is due.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::runtime::Handle;
use tokio_util::task::TaskTracker;

use super::arrivals::arrivals;
use super::client::{Caller, http_client};
use super::jobs::Submitter;
use super::options::{LoadOptions, Watched};
use super::process::{Reading, between, take};
use super::report::{LoadReport, PathReport};
use super::samples::Samples;
use crate::error::{Error, Result, Step};

/// Below this distance the pacing thread spins, since sleeping is less precise.
const SPIN: Duration = Duration::from_micros(150);
/// Longest time for reading a metrics page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// What a call is.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Path {
    Entry,
    Direct,
    Submit,
}

const PATHS: [(Path, &str); 3] = [
    (Path::Entry, "entry"),
    (Path::Direct, "direct"),
    (Path::Submit, "submit"),
];

#[derive(Default)]
struct Collected {
    entry: Samples,
    direct: Samples,
    submit: Samples,
    accepted: Vec<u64>,
}

impl Collected {
    fn of(&mut self, path: Path) -> &mut Samples {
        match path {
            Path::Entry => &mut self.entry,
            Path::Direct => &mut self.direct,
            Path::Submit => &mut self.submit,
        }
    }
}

/// Everything the calls of a run share.
struct Run {
    options: LoadOptions,
    caller: Option<Caller>,
    submitter: Option<Submitter>,
    collected: Mutex<Collected>,
    in_flight: AtomicUsize,
    tracker: TaskTracker,
    start: Instant,
}

/// Runs a load to its end. Needs a runtime with several threads.
pub async fn run(options: LoadOptions) -> Result<LoadReport> {
    options.check()?;
    let client = http_client()?;
    let number: u64 = rand::random();
    let requests = options.requests.clone();
    let jobs = options.jobs.clone();
    let run = Arc::new(Run {
        caller: requests.map(|load| Caller::new(client.clone(), load, number)),
        submitter: jobs.map(|load| Submitter::new(client.clone(), load, number)),
        collected: Mutex::default(),
        in_flight: AtomicUsize::new(0),
        tracker: TaskTracker::new(),
        start: Instant::now(),
        options,
    });
    let pacing = spawn_pacing(&run)?;
    tokio::time::sleep(run.options.warm_up).await;
    let before = readings(&client, &run.options.watched).await;
    tokio::time::sleep(run.options.duration).await;
    let after = readings(&client, &run.options.watched).await;
    let _ = tokio::task::spawn_blocking(move || pacing.join()).await;
    run.tracker.close();
    run.tracker.wait().await;
    Ok(run.report(&before, &after).await)
}

async fn readings(client: &reqwest::Client, watched: &[Watched]) -> Vec<Option<Reading>> {
    let mut readings = Vec::with_capacity(watched.len());
    for process in watched {
        let page = match process.page {
            Some(addr) => page(client, addr).await,
            None => None,
        };
        // A process that has died is left out of the report.
        readings.push(take(process.pid, page.as_deref(), Instant::now()).ok());
    }
    readings
}

async fn page(client: &reqwest::Client, addr: SocketAddr) -> Option<String> {
    let req = client
        .get(format!("http://{addr}/metrics"))
        .timeout(PAGE_TIMEOUT);
    req.send().await.ok()?.text().await.ok()
}

fn spawn_pacing(run: &Arc<Run>) -> Result<std::thread::JoinHandle<()>> {
    let (run, handle) = (run.clone(), Handle::current());
    std::thread::Builder::new()
        .name("load".to_owned())
        .spawn(move || pace(&run, &handle))
        .map_err(|e| Error::caused(Step::Settings, "starting the pacing thread", e))
}

/// Starts every call when it is due, whatever became of the ones before.
fn pace(run: &Arc<Run>, handle: &Handle) {
    let options = &run.options;
    let end = options.warm_up + options.duration;
    let due = |rate: Option<f64>, seed| {
        let moments = rate.map(|rate| arrivals(options.arrivals, rate, seed));
        moments
            .into_iter()
            .flatten()
            .take_while(move |at| *at < end)
    };
    let requests = options.requests.as_ref().map(|load| load.rate);
    let jobs = options.jobs.as_ref().map(|load| load.rate);
    let mut requests = due(requests, options.seed).enumerate().peekable();
    let mut jobs = due(jobs, options.seed.wrapping_add(1))
        .enumerate()
        .peekable();
    loop {
        let request_first = match (requests.peek(), jobs.peek()) {
            (Some((_, request)), Some((_, job))) => request <= job,
            (request, _) => request.is_some(),
        };
        let next = if request_first {
            requests.next()
        } else {
            jobs.next()
        };
        let Some((n, at)) = next else {
            return;
        };
        wait_until(run.start + at);
        let path = match request_first {
            false => Path::Submit,
            true if options.goes_direct(n as u64) => Path::Direct,
            true => Path::Entry,
        };
        launch(run, handle, path, n as u64, at);
    }
}

fn wait_until(moment: Instant) {
    let left = moment.saturating_duration_since(Instant::now());
    if left > SPIN {
        std::thread::sleep(left - SPIN);
    }
    while Instant::now() < moment {
        std::hint::spin_loop();
    }
}

fn launch(run: &Arc<Run>, handle: &Handle, path: Path, n: u64, due: Duration) {
    if run.in_flight.load(Ordering::Relaxed) >= run.options.in_flight {
        run.record(path, due, Duration::ZERO, "not-sent");
        return;
    }
    run.in_flight.fetch_add(1, Ordering::Relaxed);
    let (run, tracker) = (run.clone(), run.tracker.clone());
    let call = async move {
        run.sent(path, due);
        let outcome = run.call(path, n).await;
        run.in_flight.fetch_sub(1, Ordering::Relaxed);
        let took = run.start.elapsed().saturating_sub(due);
        run.record(path, due, took, outcome);
        if path == Path::Submit && outcome == super::samples::DONE {
            run.collected().accepted.push(n);
        }
    };
    tracker.spawn_on(call, handle);
}

impl Run {
    async fn call(&self, path: Path, n: u64) -> &'static str {
        let options = &self.options;
        let turn = |addrs: &[SocketAddr]| addrs[n as usize % addrs.len()];
        match (path, &self.caller, &self.submitter) {
            (Path::Entry, Some(caller), _) => caller.through(turn(&options.entries), n).await,
            (Path::Direct, Some(caller), _) => caller.direct(turn(&options.direct)).await,
            (Path::Submit, _, Some(jobs)) => jobs.submit(turn(&options.entries), n).await,
            _ => "not-sent",
        }
    }

    fn collected(&self) -> MutexGuard<'_, Collected> {
        self.collected
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Says whether a call due at this moment is measured.
    fn measured(&self, due: Duration) -> Option<Duration> {
        due.checked_sub(self.options.warm_up)
    }

    fn sent(&self, path: Path, due: Duration) {
        if self.measured(due).is_some() {
            let late = self.start.elapsed().saturating_sub(due);
            self.collected().of(path).sent(late);
        }
    }

    fn record(&self, path: Path, due: Duration, took: Duration, outcome: &str) {
        let deadline = match (path, &self.caller) {
            (Path::Entry | Path::Direct, Some(caller)) => caller.deadline(),
            _ => Duration::MAX,
        };
        if let Some(due) = self.measured(due) {
            self.collected()
                .of(path)
                .record(due, took, outcome, deadline);
        }
    }

    async fn report(&self, before: &[Option<Reading>], after: &[Option<Reading>]) -> LoadReport {
        let options = &self.options;
        let seconds = options.duration.as_secs_f64();
        let mut report = LoadReport {
            seed: options.seed,
            seconds,
            ..LoadReport::default()
        };
        for (path, name) in PATHS {
            let samples = self.collected().of(path).clone();
            if !samples.outcomes.is_empty() {
                report
                    .paths
                    .insert(name.into(), path_report(&samples, seconds));
            }
        }
        report.set_added();
        let readings = before.iter().zip(after).zip(&options.watched);
        report.processes = readings
            .filter_map(|((before, after), process)| {
                Some(between(&process.name, before.as_ref()?, after.as_ref()?))
            })
            .collect();
        if let Some(jobs) = &self.submitter {
            let accepted = std::mem::take(&mut self.collected().accepted);
            let names = accepted.into_iter().map(|n| jobs.name(n)).collect();
            report.jobs = Some(jobs.settle(&options.entries, names).await);
        }
        report
    }
}

fn path_report(samples: &Samples, seconds: f64) -> PathReport {
    let calls: u64 = samples.outcomes.values().sum();
    PathReport {
        offered_per_second: calls as f64 / seconds,
        goodput_per_second: samples.good as f64 / seconds,
        outcomes: samples.outcomes.clone(),
        done: samples.done(),
        other: samples.other(),
        lateness: samples.lateness(),
        by_second: samples.seconds.clone(),
    }
}
