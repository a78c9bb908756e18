//! A stand-in worker: polls entry hosts over HTTP and runs its tasks as timers.

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

/// Longest a poll is held back while nothing is known of the lease.
const FIRST_WAIT: Duration = Duration::from_secs(1);
/// Time in which ended runs are collected before a waiting poll is given up for a new one.
const GATHER: Duration = Duration::from_millis(20);
/// Time beyond the poll's wait after which its connection counts as silent.
const SILENCE: Duration = Duration::from_millis(1500);
/// Pause after a failed poll.
const RETRY: Duration = Duration::from_millis(200);

/// What a stand-in worker is and how it behaves.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// The worker as it announces itself.
    pub spec: WorkerSpec,
    /// HTTP addresses of entry hosts; a failed poll goes to the next one.
    pub entries: Vec<SocketAddr>,
    /// Longest time a poll may be held back; never over a third of the lease.
    pub wait: Duration,
    /// How it departs from what is declared.
    pub behaviour: Behaviour,
}

/// What a worker is asked to do from outside.
#[derive(Clone, Debug, PartialEq)]
struct Wish {
    behaviour: Behaviour,
    leaving: bool,
}

/// A running stand-in worker. Dropping it kills the worker: nothing more is sent.
pub struct WorkerHandle {
    wish: watch::Sender<Wish>,
    task: JoinHandle<()>,
    ledger: Arc<Ledger>,
    spec: WorkerSpec,
    running: watch::Receiver<usize>,
}

impl WorkerHandle {
    /// Changes how the worker departs from what is declared, from the next start on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.wish.send_modify(|wish| wish.behaviour = behaviour);
    }

    /// The worker leaves as planned: it polls on until nothing runs and all is acknowledged.
    pub fn leave(&self) {
        self.wish.send_modify(|wish| wish.leaving = true);
    }

    /// Waits for a worker that leaves to be gone.
    pub async fn left(mut self) {
        let _ = (&mut self.task).await;
    }

    /// Number of runs that go on.
    pub fn running(&self) -> usize {
        *self.running.borrow()
    }

    /// The worker as it announces itself.
    pub fn spec(&self) -> &WorkerSpec {
        &self.spec
    }

    /// The book it writes to.
    pub fn ledger(&self) -> &Arc<Ledger> {
        &self.ledger
    }
}

impl Drop for WorkerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a worker on the current runtime. `client` is shared by many workers.
pub fn start_worker(
    options: WorkerOptions,
    client: reqwest::Client,
    ledger: Arc<Ledger>,
    log: &Logger,
) -> WorkerHandle {
    let (wish, wishes) = watch::channel(Wish {
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
        book: Book(ledger.clone(), spec.clone()),
        wishes,
        running: running_tx,
        entry: 0,
        wait: FIRST_WAIT.min(wait),
        log,
    };
    WorkerHandle {
        wish,
        task: tokio::spawn(worker.run()),
        ledger,
        spec,
        running,
    }
}

/// The worker's page of the ledger. Dropped with the worker, however it ends: what a dead host
/// ran has ended with it.
struct Book(Arc<Ledger>, WorkerSpec);

impl Drop for Book {
    fn drop(&mut self) {
        self.0.worker_died(&self.1);
    }
}

struct Worker {
    options: WorkerOptions,
    state: WorkerState,
    client: reqwest::Client,
    book: Book,
    wishes: watch::Receiver<Wish>,
    running: watch::Sender<usize>,
    entry: usize,
    wait: Duration,
    log: Logger,
}

/// Why the wait for an answer ended.
enum Outcome {
    Answered(Box<WorkerTasks>),
    Failed(Error),
    /// There is news that the poll under way does not carry.
    News,
}

impl Worker {
    async fn run(mut self) {
        loop {
            let wish = self.wishes.borrow_and_update().clone();
            self.state.set_behaviour(wish.behaviour);
            let sent = self.now();
            let poll = self.state.poll(sent, self.wait, wish.leaving);
            match self.exchange(&poll).await {
                // Control grants no lease while another process of this worker may hold one.
                Outcome::Answered(tasks) if tasks.lease.is_zero() => self.pause().await,
                Outcome::Answered(tasks) => self.answered(sent, *tasks),
                Outcome::Failed(e) => self.failed(&e).await,
                Outcome::News => continue,
            }
            let idle = self.state.running() == 0 && self.state.unacknowledged() == 0;
            if wish.leaving && idle {
                return;
            }
        }
    }

    fn now(&self) -> Timestamp {
        self.book.0.now()
    }

    fn record(&mut self) {
        let events = self.state.take_events();
        if events.is_empty() {
            return;
        }
        self.book.0.record(&self.book.1, events);
        let running = self.state.running();
        self.running
            .send_if_modified(|shown| std::mem::replace(shown, running) != running);
    }

    /// Sends a poll and keeps the timers of the runs going until there is an outcome.
    async fn exchange(&mut self, poll: &WorkerPoll) -> Outcome {
        let addr = self.options.entries[self.entry % self.options.entries.len()];
        let mut answer = std::pin::pin!(send(self.client.clone(), addr, poll.clone()));
        let mut resend: Option<Instant> = None;
        let known = poll.ended.len();
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
                    if self.state.unacknowledged() > known && resend.is_none() {
                        resend = Some(Instant::now() + gather(poll));
                    }
                }
                () = sleep_until(resend) => return Outcome::News,
                Ok(()) = self.wishes.changed() => return Outcome::News,
            }
        }
    }

    fn instant(&self, at: Timestamp) -> Instant {
        Instant::now() + at.saturating_sub(self.now())
    }

    fn answered(&mut self, sent: Timestamp, tasks: WorkerTasks) {
        self.wait = self.options.wait.min(tasks.lease / 3);
        let now = self.now();
        self.state.answered(sent, now, tasks);
        self.record();
    }

    /// Goes on to the next entry host after a pause.
    async fn failed(&mut self, e: &Error) {
        slog::debug!(self.log, "a poll failed"; "error" => %e);
        self.entry = self.entry.wrapping_add(1);
        self.pause().await;
    }

    /// Waits before the next poll; the runs go on.
    async fn pause(&mut self) {
        let until = Instant::now() + RETRY;
        while Instant::now() < until {
            let due = self.state.next_due().map(|due| self.instant(due));
            sleep_until(Some(due.map_or(until, |due| due.min(until)))).await;
            let now = self.now();
            self.state.advance(now);
            self.record();
        }
    }
}

/// A poll that carries ends is answered at once, so it is given up only when that takes long;
/// giving each up for the next end would let none be answered.
fn gather(poll: &WorkerPoll) -> Duration {
    if poll.ended.is_empty() {
        return GATHER;
    }
    SILENCE
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
    let req = client.post(url).json(&poll).timeout(poll.wait + SILENCE);
    let answer = req.send().await.map_err(failed)?;
    let status = answer.status();
    if !status.is_success() {
        let message = format!("the entry host answered a poll with {status}");
        return Err(Error::new(Step::Transfer, message).with_peer(addr));
    }
    answer.json().await.map_err(failed)
}
