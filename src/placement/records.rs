//! The records of workers, jobs and runs that every placer keeps.

use std::collections::HashMap;
use std::sync::Arc;

use super::classes::Slot;
use super::rules;
use crate::ids::{Attempt, TaskIndex, Timestamp};
use crate::resources::Resources;
use crate::workload::{Band, JobSpec, Spread, WorkerSpec};

/// Position of a worker in the cell's table.
pub(crate) type WorkerIx = u32;
/// Position of a job in the cell's table.
pub(crate) type JobIx = u32;
/// Number of bands.
pub(crate) const BANDS: usize = 4;

/// A task that runs on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunRef {
    pub(crate) job: JobIx,
    pub(crate) index: TaskIndex,
}

/// Room on a worker that is kept for one job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hold {
    /// The job that may start there.
    pub(crate) job: JobIx,
    /// Its band; a later band may still take the room.
    pub(crate) band: Band,
    /// Other work may start there when it is expected to end by this time.
    pub(crate) until: Timestamp,
    /// Whether runs were stopped to make this room.
    pub(crate) claim: bool,
}

/// Why a worker gets no ordinary work after failures.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quarantine {
    /// When it may try one task.
    pub(crate) trial_at: Timestamp,
    /// Trials that failed.
    pub(crate) failed_trials: u32,
    /// The task it tries now.
    pub(crate) trial: Option<RunRef>,
}

/// A failure counted against a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedTask {
    pub(crate) run: RunRef,
    /// The job's order of arrival, which is never used again.
    pub(crate) seq: u64,
}

/// A worker and what is granted on it.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    pub(crate) up: bool,
    /// Capacity less everything granted.
    pub(crate) free: Resources,
    /// What runs use above their grants, by the latest reports.
    pub(crate) overuse: Resources,
    pub(crate) runs: Vec<RunRef>,
    /// Grants of runs that may be preempted, by band.
    pub(crate) preemptible: [Resources; BANDS],
    pub(crate) drain: Option<Timestamp>,
    pub(crate) quarantine: Option<Quarantine>,
    pub(crate) hold: Option<Hold>,
    /// Tasks of distinct jobs that failed here since the last success.
    pub(crate) failed_here: Vec<FailedTask>,
    pub(crate) zone: u32,
    pub(crate) rack: u32,
    pub(crate) slot: Slot,
    /// Quick tasks that would fit into its room.
    pub(crate) quick_slots: u32,
}

impl Worker {
    /// Room for a new task: never more than what is not granted.
    pub(crate) fn room(&self) -> Resources {
        self.free.saturating_sub(&self.overuse)
    }

    /// Says whether ordinary work may start here.
    pub(crate) const fn open(&self) -> bool {
        self.up && self.drain.is_none() && self.quarantine.is_none()
    }

    /// The failure domain of a spread rule.
    pub(crate) const fn domain(&self, ix: WorkerIx, spread: Spread) -> u32 {
        match spread {
            Spread::None | Spread::Worker => ix,
            Spread::Rack => self.rack,
            Spread::Zone => self.zone,
        }
    }
}

/// Takes the larger of each unit.
pub(crate) fn larger(a: &Resources, b: &Resources) -> Resources {
    Resources {
        millicores: a.millicores.max(b.millicores),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// Whether a run was asked to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// It goes on.
    No,
    /// It saves its state first.
    Saving,
    /// It stops now.
    Stopping,
}

/// A run in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) worker: WorkerIx,
    pub(crate) granted: Resources,
    pub(crate) since: Timestamp,
    /// What it uses above its grant.
    pub(crate) over: Resources,
    pub(crate) ending: Ending,
    pub(crate) throttled: bool,
    /// Version of the job's specification it was started with.
    pub(crate) version: u32,
}

/// Where a task is.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Place {
    Waiting,
    /// Waits until its backoff is over.
    Backoff,
    Running(Run),
    Ended,
}

/// A task of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Task {
    pub(crate) attempt: Attempt,
    pub(crate) failures: u32,
    pub(crate) preemptions: u32,
    pub(crate) place: Place,
}

impl Task {
    pub(crate) const FRESH: Self = Self {
        attempt: 0,
        failures: 0,
        preemptions: 0,
        place: Place::Waiting,
    };

    /// The run in progress, if any.
    pub(crate) const fn run(&self) -> Option<&Run> {
        match &self.place {
            Place::Running(run) => Some(run),
            _ => None,
        }
    }
}

/// A job and its tasks.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) at: Timestamp,
    /// Order of arrival among all jobs.
    pub(crate) seq: u64,
    pub(crate) version: u32,
    pub(crate) tasks: Vec<Task>,
    /// Indices of waiting tasks; the next one to start is last.
    pub(crate) waiting: Vec<TaskIndex>,
    pub(crate) backing_off: u32,
    pub(crate) running: u32,
    /// Nothing of it starts any more.
    pub(crate) closed: bool,
    /// Why it can never run, once that was said.
    pub(crate) never: Option<String>,
    /// Workers on which it failed.
    pub(crate) failed_on: Vec<WorkerIx>,
    /// Tasks for which room is being made by preemption.
    pub(crate) claims: u32,
    /// Workers whose room is held for it.
    pub(crate) holds: u32,
    /// Queue it waits in.
    pub(crate) queue: Option<u32>,
    /// Place in the queue.
    pub(crate) order: Timestamp,
    /// Running tasks by failure domain.
    pub(crate) domains: HashMap<u32, u32>,
}

impl Job {
    /// Says whether nothing of it is left to start or to wait for.
    pub(crate) fn over(&self) -> bool {
        self.running == 0 && (self.closed || (self.waiting.is_empty() && self.backing_off == 0))
    }

    /// Tasks that are not running, or were asked to end.
    pub(crate) fn away(&self) -> u32 {
        let there = |t: &&Task| t.run().is_some_and(|r| r.ending == Ending::No);
        self.spec.tasks - (self.tasks.iter().filter(there).count() as u32).min(self.spec.tasks)
    }

    /// Says whether its tasks are kept running rather than run once.
    pub(crate) fn long_running(&self) -> bool {
        rules::long_running(&self.spec)
    }
}
