//! What stand-in workers ran, in one book for all of them: starts, ends, doubles, overfill.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::ids::{Attempt, Timestamp, WorkerId};
use crate::resources::Resources;
use crate::workload::{RunEnd, TaskId, WorkerSpec};

use super::worker_state::RunEvent;

/// Shared book of every run of every stand-in worker of this process.
pub struct Ledger {
    epoch: Instant,
    book: Mutex<Book>,
}

#[derive(Default)]
struct Book {
    tasks: BTreeMap<TaskId, Vec<Interval>>,
    workers: BTreeMap<WorkerId, Resources>,
    highest: BTreeMap<WorkerId, Resources>,
    overfills: Vec<Overfill>,
}

struct Interval {
    attempt: Attempt,
    worker: WorkerId,
    need: Resources,
    exclusive: bool,
    started: Timestamp,
    ended: Option<(Timestamp, RunEnd)>,
}

/// A task that ran in two places at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Double {
    /// The task.
    pub task: TaskId,
    /// Attempt and place of the run that began first.
    pub first: (Attempt, WorkerId),
    /// Attempt and place of the run that began while the first still ran.
    pub second: (Attempt, WorkerId),
}

/// A worker that was made to run more than it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overfill {
    /// The worker.
    pub worker: WorkerId,
    /// What its runs were granted together.
    pub used: Resources,
    /// What it holds.
    pub capacity: Resources,
}

/// What happened so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerCounts {
    /// Starts of each task.
    pub starts: BTreeMap<TaskId, u32>,
    /// Runs of each task that finished their work.
    pub done: BTreeMap<TaskId, u32>,
    /// Most that was granted on each worker at one time.
    pub highest: BTreeMap<WorkerId, Resources>,
    /// Exclusive tasks that ran in two places at once.
    pub doubles: Vec<Double>,
    /// Workers that were overfilled.
    pub overfills: Vec<Overfill>,
    /// Runs that go on.
    pub running: usize,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            epoch: Instant::now(),
            book: Mutex::default(),
        }
    }
}

impl Ledger {
    /// Time since the ledger was made; the clock of every worker that shares it.
    pub fn now(&self) -> Timestamp {
        self.epoch.elapsed()
    }

    /// Takes in what happened on a worker.
    pub fn record(&self, worker: &WorkerSpec, events: impl IntoIterator<Item = RunEvent>) {
        let mut book = self.book();
        for event in events {
            book.record(worker, event);
        }
    }

    /// Takes in that a worker died: its runs ended with it.
    pub fn worker_died(&self, worker: &WorkerSpec) {
        let at = self.now();
        let mut book = self.book();
        for interval in book.tasks.values_mut().flatten() {
            if interval.worker == worker.id && interval.ended.is_none() {
                interval.ended = Some((at, RunEnd::Stopped));
            }
        }
        book.workers.remove(&worker.id);
    }

    /// Gives what happened so far. Doubles are found from the intervals of all runs, so the
    /// order in which workers report here does not matter.
    pub fn counts(&self) -> LedgerCounts {
        self.book().counts()
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Book {
    fn record(&mut self, worker: &WorkerSpec, event: RunEvent) {
        match event {
            RunEvent::Started {
                run,
                need,
                exclusive,
                at,
            } => {
                let interval = Interval {
                    attempt: run.attempt,
                    worker: worker.id.clone(),
                    need,
                    exclusive,
                    started: at,
                    ended: None,
                };
                self.tasks.entry(run.task).or_default().push(interval);
                self.grow(worker, need);
            }
            RunEvent::Ended { run, end, at } => {
                let intervals = self.tasks.entry(run.task).or_default();
                let open = intervals.iter_mut().find(|interval| {
                    interval.ended.is_none()
                        && interval.attempt == run.attempt
                        && interval.worker == worker.id
                });
                if let Some(interval) = open {
                    interval.ended = Some((at, end));
                    let need = interval.need;
                    self.shrink(worker, need);
                }
            }
        }
    }

    fn grow(&mut self, worker: &WorkerSpec, need: Resources) {
        let used = self.workers.entry(worker.id.clone()).or_default();
        *used = used.checked_add(&need).unwrap_or(*used);
        let used = *used;
        let highest = self.highest.entry(worker.id.clone()).or_default();
        highest.millicores = highest.millicores.max(used.millicores);
        highest.memory_mb = highest.memory_mb.max(used.memory_mb);
        highest.accelerators = highest.accelerators.max(used.accelerators);
        if !used.fits_in(&worker.capacity) {
            self.overfills.push(Overfill {
                worker: worker.id.clone(),
                used,
                capacity: worker.capacity,
            });
        }
    }

    fn shrink(&mut self, worker: &WorkerSpec, need: Resources) {
        let used = self.workers.entry(worker.id.clone()).or_default();
        *used = used.checked_sub(&need).unwrap_or_default();
    }

    fn counts(&self) -> LedgerCounts {
        let mut counts = LedgerCounts {
            highest: self.highest.clone(),
            overfills: self.overfills.clone(),
            ..LedgerCounts::default()
        };
        for (task, intervals) in &self.tasks {
            counts.starts.insert(task.clone(), intervals.len() as u32);
            let done = intervals.iter().filter(|interval| interval.is_done());
            counts.done.insert(task.clone(), done.count() as u32);
            counts.running += intervals.iter().filter(|i| i.ended.is_none()).count();
            counts.doubles.extend(overlaps(task, intervals));
        }
        counts
    }
}

impl Interval {
    fn is_done(&self) -> bool {
        matches!(self.ended, Some((_, RunEnd::Done)))
    }

    fn overlaps(&self, later: &Self) -> bool {
        self.ended.is_none_or(|(at, _)| at > later.started)
    }

    fn place(&self) -> (Attempt, WorkerId) {
        (self.attempt, self.worker.clone())
    }
}

fn overlaps(task: &TaskId, intervals: &[Interval]) -> Vec<Double> {
    let mut sorted: Vec<_> = intervals.iter().filter(|i| i.exclusive).collect();
    sorted.sort_by_key(|interval| interval.started);
    let mut doubles = Vec::new();
    for (n, second) in sorted.iter().enumerate() {
        let earlier = sorted[..n].iter().filter(|first| first.overlaps(second));
        doubles.extend(earlier.map(|first| Double {
            task: task.clone(),
            first: first.place(),
            second: second.place(),
        }));
    }
    doubles
}
