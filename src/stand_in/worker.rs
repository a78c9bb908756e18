//! A stand-in worker: polls entry hosts over HTTP and simulates each run with a timer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::ledger::Ledger;
use super::worker_state::{Behaviour, WorkerState};
use crate::error::{Error, Result, Step};
use crate::ids::Timestamp;
use crate::wire::{WorkerPoll, WorkerTasks};
use crate::workload::WorkerSpec;

/// Maximum wait of a poll before the first answer gives the length of the lease.
const INITIAL_WAIT: Duration = Duration::from_secs(1);
/// Time to collect ended runs before the pending poll is abandoned for one that reports them.
const ENDED_RUNS_DELAY: Duration = Duration::from_millis(20);
/// Time past the wait of a poll after which it fails, as its connection no longer responds.
const POLL_TIMEOUT_MARGIN: Duration = Duration::from_millis(1500);
/// Pause after a failed poll or an answer without a lease.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Configuration of a stand-in worker.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Identity, location and capacity to announce.
    pub spec: WorkerSpec,
    /// HTTP addresses of entry hosts, at least one. A failed poll is retried at the next one.
    pub entries: Vec<SocketAddr>,
    /// Maximum wait of a poll; at most a third of the lease is used.
    pub wait: Duration,
    /// Deviations from the declared run time and use.
    pub behaviour: Behaviour,
}

/// Settings that the handle can change while the worker runs.
#[derive(Clone, Debug, PartialEq)]
struct Settings {
    behaviour: Behaviour,
    leaving: bool,
}

/// A running stand-in worker. Dropping it simulates a crash: nothing more is sent.
pub struct WorkerHandle {
    settings_tx: watch::Sender<Settings>,
    task: JoinHandle<()>,
    ledger: Arc<Ledger>,
    spec: WorkerSpec,
    running: watch::Receiver<usize>,
}

impl WorkerHandle {
    /// Replaces the behaviour, starting with the next poll. Runs in progress keep their end time.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.settings_tx
            .send_modify(|settings| settings.behaviour = behaviour);
    }

    /// Starts a graceful departure: the worker polls until nothing runs and control has
    /// acknowledged all ended runs.
    pub fn leave(&self) {
        self.settings_tx
            .send_modify(|settings| settings.leaving = true);
    }

    /// Waits until a departure that `leave` started is complete.
    pub async fn left(mut self) {
        let _ = (&mut self.task).await;
    }

    /// Number of runs in progress.
    pub fn running(&self) -> usize {
        *self.running.borrow()
    }

    /// Identity, location and capacity that it announces.
    pub fn spec(&self) -> &WorkerSpec {
        &self.spec
    }

    /// Ledger that records its runs.
    pub fn ledger(&self) -> &Arc<Ledger> {
        &self.ledger
    }
}

impl Drop for WorkerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a worker on the current Tokio runtime. Many workers can share `client`.
pub fn start_worker(
    options: WorkerOptions,
    client: reqwest::Client,
    ledger: Arc<Ledger>,
    log: &Logger,
) -> WorkerHandle {
    let (settings_tx, settings_rx) = watch::channel(Settings {
        behaviour: options.behaviour.clone(),
        leaving: false,
    });
    let (running_tx, running) = watch::channel(0);
    let log = log.new(slog::o!("worker" => options.spec.id.to_string()));
    let spec = options.spec.clone();
    let wait = options.wait;
    let state = WorkerState::new(spec.clone(), rand::random(), options.behaviour.clone());
    let worker = Worker {
        options,
        state,
        client,
        ledger: LedgerGuard(ledger.clone(), spec.clone()),
        settings_rx,
        running: running_tx,
        entry: 0,
        wait: INITIAL_WAIT.min(wait),
        log,
    };
    WorkerHandle {
        settings_tx,
        task: tokio::spawn(worker.run()),
        ledger,
        spec,
        running,
    }
}

/// Ends the worker's open runs in the ledger when dropped. It belongs to the worker's task, so this
/// also happens when the task is aborted: no run outlives its worker.
struct LedgerGuard(Arc<Ledger>, WorkerSpec);

impl Drop for LedgerGuard {
    fn drop(&mut self) {
        self.0.worker_died(&self.1);
    }
}

struct Worker {
    options: WorkerOptions,
    state: WorkerState,
    client: reqwest::Client,
    ledger: LedgerGuard,
    settings_rx: watch::Receiver<Settings>,
    running: watch::Sender<usize>,
    entry: usize,
    wait: Duration,
    log: Logger,
}

/// How a poll ended.
enum Outcome {
    Answered(Box<WorkerTasks>),
    Failed(Error),
    /// Runs ended or settings changed after the poll was sent, so a new one is needed.
    Superseded,
}

impl Worker {
    async fn run(mut self) {
        loop {
            let settings = self.settings_rx.borrow_and_update().clone();
            self.state.set_behaviour(settings.behaviour);
            let sent = self.now();
            let poll = self.state.poll(sent, self.wait, settings.leaving);
            match self.run_poll(&poll).await {
                // Control grants no lease while another process of this worker may hold one.
                Outcome::Answered(tasks) if tasks.lease.is_zero() => self.pause().await,
                Outcome::Answered(tasks) => self.answered(sent, *tasks),
                Outcome::Failed(e) => self.failed(&e).await,
                Outcome::Superseded => continue,
            }
            let idle = self.state.running() == 0 && self.state.unacknowledged() == 0;
            if settings.leaving && idle {
                return;
            }
        }
    }

    fn now(&self) -> Timestamp {
        self.ledger.0.now()
    }

    fn record(&mut self) {
        let events = self.state.take_events();
        if events.is_empty() {
            return;
        }
        self.ledger.0.record(&self.ledger.1, events);
        let running = self.state.running();
        self.running
            .send_if_modified(|published| std::mem::replace(published, running) != running);
    }

    /// Sends a poll and advances the timers of the runs until the poll ends.
    async fn run_poll(&mut self, poll: &WorkerPoll) -> Outcome {
        let addr = self.options.entries[self.entry % self.options.entries.len()];
        let mut answer = std::pin::pin!(send(self.client.clone(), addr, poll.clone()));
        let mut resend: Option<Instant> = None;
        let reported = poll.ended.len();
        loop {
            self.record();
            let due = self.state.next_due().map(|due| self.instant(due));
            tokio::select! {
                answer = &mut answer => {
                    return match answer {
                        Ok(tasks) => Outcome::Answered(Box::new(tasks)),
                        Err(e) => Outcome::Failed(e),
                    };
                }
                () = sleep_until(due) => {
                    let now = self.now();
                    self.state.advance(now);
                    if self.state.unacknowledged() > reported && resend.is_none() {
                        resend = Some(Instant::now() + resend_delay(poll));
                    }
                }
                () = sleep_until(resend) => return Outcome::Superseded,
                Ok(()) = self.settings_rx.changed() => return Outcome::Superseded,
            }
        }
    }

    fn instant(&self, at: Timestamp) -> Instant {
        Instant::now() + at.saturating_sub(self.now())
    }

    fn answered(&mut self, sent: Timestamp, tasks: WorkerTasks) {
        self.wait = self.options.wait.min(tasks.lease / 3);
        let now = self.now();
        self.state.apply_answer(sent, now, tasks);
        self.record();
    }

    /// Selects the next entry host and pauses.
    async fn failed(&mut self, e: &Error) {
        slog::debug!(self.log, "a poll failed"; "error" => %e);
        self.entry = self.entry.wrapping_add(1);
        self.pause().await;
    }

    /// Waits before the next poll while the timers of the runs advance.
    async fn pause(&mut self) {
        let until = Instant::now() + RETRY_DELAY;
        while Instant::now() < until {
            let due = self.state.next_due().map(|due| self.instant(due));
            sleep_until(Some(due.map_or(until, |due| due.min(until)))).await;
            let now = self.now();
            self.state.advance(now);
            self.record();
        }
    }
}

/// Time after which a newly ended run supersedes the pending poll. Control answers a poll that
/// carries ended runs at once, so such a poll gets longer: with many short runs, abandoning each
/// poll for the next ended run would leave every poll unanswered.
fn resend_delay(poll: &WorkerPoll) -> Duration {
    if poll.ended.is_empty() {
        return ENDED_RUNS_DELAY;
    }
    POLL_TIMEOUT_MARGIN
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

async fn send(client: reqwest::Client, addr: SocketAddr, poll: WorkerPoll) -> Result<WorkerTasks> {
    let failed = |e| Error::caused(Step::Transfer, "polling an entry host", e).with_peer(addr);
    let url = format!("http://{addr}/v1/workers/{}/poll", poll.worker.id);
    let req = client
        .post(url)
        .json(&poll)
        .timeout(poll.wait + POLL_TIMEOUT_MARGIN);
    let answer = req.send().await.map_err(failed)?;
    let status = answer.status();
    if !status.is_success() {
        let message = format!("the entry host answered a poll with {status}");
        return Err(Error::new(Step::Transfer, message).with_peer(addr));
    }
    answer.json().await.map_err(failed)
}
