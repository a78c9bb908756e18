//! Records the runs of all stand-in workers of a process, to detect tasks that ran twice at the
//! same time and workers that were given more than their capacity.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::ids::{Attempt, Timestamp, WorkerId};
use crate::resources::Resources;
use crate::workload::{RunEnd, TaskId, WorkerSpec};

use super::worker_state::RunEvent;

/// Record of every run of the stand-in workers of this process.
pub struct Ledger {
    epoch: Instant,
    state: Mutex<LedgerState>,
}

#[derive(Default)]
struct LedgerState {
    intervals: BTreeMap<TaskId, Vec<Interval>>,
    /// Sum of the needs of the runs open on each worker.
    used: BTreeMap<WorkerId, Resources>,
    highest: BTreeMap<WorkerId, Resources>,
    overfills: Vec<Overfill>,
}

/// One run: when it started and how it ended.
struct Interval {
    attempt: Attempt,
    worker: WorkerId,
    need: Resources,
    /// No other run of the task may overlap this one.
    exclusive: bool,
    started: Timestamp,
    ended: Option<(Timestamp, RunEnd)>,
}

/// Two overlapping runs of an exclusive task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Double {
    /// Task that both runs belong to.
    pub task: TaskId,
    /// Attempt and worker of the run that started first.
    pub first: (Attempt, WorkerId),
    /// Attempt and worker of the run that started before the first one ended.
    pub second: (Attempt, WorkerId),
}

/// A start that pushed the use of a worker above its capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overfill {
    /// Worker on which the run started.
    pub worker: WorkerId,
    /// Sum of the needs of its runs, the new one included.
    pub used: Resources,
    /// Capacity that the worker announces.
    pub capacity: Resources,
}

/// Snapshot of the ledger's counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerCounts {
    /// Number of starts of each task.
    pub starts: BTreeMap<TaskId, u32>,
    /// Number of runs of each task that ended with `RunEnd::Done`.
    pub done: BTreeMap<TaskId, u32>,
    /// Highest use of each worker; each resource has its own maximum.
    pub highest: BTreeMap<WorkerId, Resources>,
    /// Pairs of overlapping runs of exclusive tasks.
    pub doubles: Vec<Double>,
    /// Starts that exceeded a worker's capacity.
    pub overfills: Vec<Overfill>,
    /// Number of runs that have not ended.
    pub running: usize,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            epoch: Instant::now(),
            state: Mutex::default(),
        }
    }
}

impl Ledger {
    /// Time since the ledger was created. All workers that share the ledger use it as their
    /// clock, so their intervals can be compared.
    pub fn now(&self) -> Timestamp {
        self.epoch.elapsed()
    }

    /// Records starts and ends of runs on a worker.
    pub fn record(&self, worker: &WorkerSpec, events: impl IntoIterator<Item = RunEvent>) {
        let mut state = self.lock();
        for event in events {
            state.record(worker, event);
        }
    }

    /// Ends all open runs of a worker that died: no run outlives its worker.
    pub fn worker_died(&self, worker: &WorkerSpec) {
        let at = self.now();
        let mut state = self.lock();
        for interval in state.intervals.values_mut().flatten() {
            if interval.worker == worker.id && interval.ended.is_none() {
                interval.ended = Some((at, RunEnd::Stopped));
            }
        }
        state.used.remove(&worker.id);
    }

    /// Returns the counts so far. Doubles are computed from the intervals of all runs, so the
    /// order in which workers record their events does not matter.
    pub fn counts(&self) -> LedgerCounts {
        self.lock().counts()
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LedgerState {
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
                self.intervals.entry(run.task).or_default().push(interval);
                self.add_use(worker, need);
            }
            RunEvent::Ended { run, end, at } => {
                let intervals = self.intervals.entry(run.task).or_default();
                let open = intervals.iter_mut().find(|interval| {
                    interval.ended.is_none()
                        && interval.attempt == run.attempt
                        && interval.worker == worker.id
                });
                if let Some(interval) = open {
                    interval.ended = Some((at, end));
                    let need = interval.need;
                    self.remove_use(worker, need);
                }
            }
        }
    }

    fn add_use(&mut self, worker: &WorkerSpec, need: Resources) {
        let used = self.used.entry(worker.id.clone()).or_default();
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

    fn remove_use(&mut self, worker: &WorkerSpec, need: Resources) {
        let used = self.used.entry(worker.id.clone()).or_default();
        *used = used.checked_sub(&need).unwrap_or_default();
    }

    fn counts(&self) -> LedgerCounts {
        let mut counts = LedgerCounts {
            highest: self.highest.clone(),
            overfills: self.overfills.clone(),
            ..LedgerCounts::default()
        };
        for (task, intervals) in &self.intervals {
            counts.starts.insert(task.clone(), intervals.len() as u32);
            let done = intervals.iter().filter(|interval| interval.is_done());
            counts.done.insert(task.clone(), done.count() as u32);
            counts.running += intervals.iter().filter(|i| i.ended.is_none()).count();
            counts.doubles.extend(find_doubles(task, intervals));
        }
        counts
    }
}

impl Interval {
    fn is_done(&self) -> bool {
        matches!(self.ended, Some((_, RunEnd::Done)))
    }

    /// Whether this run had not ended when `later` started.
    fn overlaps(&self, later: &Self) -> bool {
        self.ended.is_none_or(|(at, _)| at > later.started)
    }

    fn attempt_and_worker(&self) -> (Attempt, WorkerId) {
        (self.attempt, self.worker.clone())
    }
}

/// Pairs of exclusive runs of one task that overlap, ordered by the start of the later one.
fn find_doubles(task: &TaskId, intervals: &[Interval]) -> Vec<Double> {
    let mut sorted: Vec<_> = intervals.iter().filter(|i| i.exclusive).collect();
    sorted.sort_by_key(|interval| interval.started);
    let mut doubles = Vec::new();
    for (n, second) in sorted.iter().enumerate() {
        let earlier = sorted[..n].iter().filter(|first| first.overlaps(second));
        doubles.extend(earlier.map(|first| Double {
            task: task.clone(),
            first: first.attempt_and_worker(),
            second: second.attempt_and_worker(),
        }));
    }
    doubles
}
