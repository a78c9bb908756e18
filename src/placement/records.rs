//! Records of workers, jobs and runs kept by every placer.

use std::collections::HashMap;
use std::sync::Arc;

use super::classes::IndexPosition;
use super::rules;
use crate::ids::{Attempt, TaskIndex, Timestamp};
use crate::resources::Resources;
use crate::workload::{Band, JobSpec, MemberLoss, Spread, WorkClass, WorkerSpec};

/// Index of a worker in the cell's table; used again after the worker is removed.
pub(crate) type WorkerIx = u32;
/// Index of a job in the cell's table; used again after the job is removed.
pub(crate) type JobIx = u32;
/// Number of priority bands.
pub(crate) const BANDS: usize = 4;

/// Identifies a task by its job and index, whether or not it has a run.
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
    /// The job's band; tasks of a higher band may still take the room.
    pub(crate) band: Band,
    /// Other tasks may start there if they are expected to end by this time.
    pub(crate) until: Timestamp,
    /// Whether runs were preempted to make this room.
    pub(crate) by_preemption: bool,
}

/// State of a worker that gets no tasks except trials because tasks of several jobs failed there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quarantine {
    /// When the next trial may start.
    pub(crate) trial_at: Timestamp,
    /// Number of failed trials; each doubles the time until the next one, up to a limit.
    pub(crate) failed_trials: u32,
    /// The trial that is running.
    pub(crate) trial: Option<RunRef>,
}

/// A failure counted against a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedTask {
    pub(crate) run: RunRef,
    /// The job's arrival number. Unlike `run.job`, it is never used again.
    pub(crate) seq: u64,
}

/// A worker and the grants on it.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    pub(crate) up: bool,
    /// Capacity minus all grants.
    pub(crate) free: Resources,
    /// Usage of the runs above their grants, by their latest reports.
    pub(crate) overuse: Resources,
    pub(crate) runs: Vec<RunRef>,
    /// Sum of the grants of preemptible runs, by band.
    pub(crate) preemptible: [Resources; BANDS],
    pub(crate) drain: Option<Timestamp>,
    pub(crate) quarantine: Option<Quarantine>,
    pub(crate) hold: Option<Hold>,
    /// Failed tasks since the last success, at most one per job.
    pub(crate) recent_failures: Vec<FailedTask>,
    pub(crate) zone: u32,
    pub(crate) rack: u32,
    pub(crate) position: IndexPosition,
    /// Number of quick tasks that fit into its room.
    pub(crate) quick_slots: u32,
}

impl Worker {
    /// Resources available for a new task: not granted, and not used by runs above their grants.
    pub(crate) fn room(&self) -> Resources {
        self.free.saturating_sub(&self.overuse)
    }

    /// Whether the worker takes tasks: it is up, not draining and not in quarantine.
    pub(crate) const fn open(&self) -> bool {
        self.up && self.drain.is_none() && self.quarantine.is_none()
    }

    /// Identifies the worker's failure domain under a spread rule.
    pub(crate) const fn domain(&self, ix: WorkerIx, spread: Spread) -> u32 {
        match spread {
            Spread::None | Spread::Worker => ix,
            Spread::Rack => self.rack,
            Spread::Zone => self.zone,
        }
    }
}

/// The larger amount of each resource.
pub(crate) fn max_of_each(a: &Resources, b: &Resources) -> Resources {
    Resources {
        millicores: a.millicores.max(b.millicores),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// Whether and how a run was asked to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// It was not asked to end.
    NotRequested,
    /// It was asked to checkpoint and then end.
    Checkpointing,
    /// It was asked to stop without a checkpoint.
    Stopping,
}

/// A run in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) worker: WorkerIx,
    pub(crate) granted: Resources,
    pub(crate) since: Timestamp,
    /// Its latest reported usage above its grant.
    pub(crate) excess: Resources,
    pub(crate) ending: Ending,
    pub(crate) throttled: bool,
    /// Version of the job's specification with which it was started.
    pub(crate) version: u32,
}

/// Lifecycle phase of a task.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Phase {
    Waiting,
    /// Not startable until its backoff ends.
    Backoff,
    Running(Run),
    Ended,
}

/// A task of a job. `failures` counts failed runs since the last success, except in a gang that
/// restarts as a whole.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Task {
    pub(crate) attempt: Attempt,
    pub(crate) failures: u32,
    pub(crate) preemptions: u32,
    pub(crate) phase: Phase,
}

impl Task {
    pub(crate) const NEW: Self = Self {
        attempt: 0,
        failures: 0,
        preemptions: 0,
        phase: Phase::Waiting,
    };

    /// The run in progress, if any.
    pub(crate) const fn run(&self) -> Option<&Run> {
        match &self.phase {
            Phase::Running(run) => Some(run),
            _ => None,
        }
    }
}

/// Failed runs of a gang that restarts as a whole, each of which is one attempt of all its members.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GangFailures {
    count: u32,
    /// Whether the latest run is counted; further members that fail in it add nothing.
    latest: LatestRun,
}

/// Whether the latest run of a gang has failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LatestRun {
    #[default]
    NotFailed,
    Failed,
}

/// A job and its tasks.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) accepted_at: Timestamp,
    /// Arrival number; never used again for another job.
    pub(crate) seq: u64,
    pub(crate) version: u32,
    pub(crate) tasks: Vec<Task>,
    pub(crate) gang_failures: GangFailures,
    /// Indices of the waiting tasks; the last one starts next.
    pub(crate) waiting: Vec<TaskIndex>,
    pub(crate) backing_off: u32,
    pub(crate) running: u32,
    /// Cancelled or failed for good: none of its tasks starts again.
    pub(crate) closed: bool,
    /// Why the job does not fit on any worker, once that has been reported.
    pub(crate) unschedulable: Option<String>,
    /// Workers on which the job failed.
    pub(crate) failed_on: Vec<WorkerIx>,
    /// Number of tasks for which runs are being preempted.
    pub(crate) preemption_holds: u32,
    /// Number of workers held for the job.
    pub(crate) holds: u32,
    /// Index of the queue in which it waits.
    pub(crate) queue: Option<u32>,
    /// Sort key within its queue: the arrival time plus a delay that grows with the run time.
    pub(crate) queue_time: Timestamp,
    /// Number of running tasks by failure domain; kept only for jobs with a spread rule.
    pub(crate) domains: HashMap<u32, u32>,
}

impl Job {
    /// Whether no task is running or can start any more.
    pub(crate) fn is_finished(&self) -> bool {
        self.running == 0 && (self.closed || (self.waiting.is_empty() && self.backing_off == 0))
    }

    /// Number of tasks that are not running or were asked to end.
    pub(crate) fn unavailable(&self) -> u32 {
        let stays = |t: &&Task| t.run().is_some_and(|r| r.ending == Ending::NotRequested);
        self.spec.tasks - (self.tasks.iter().filter(stays).count() as u32).min(self.spec.tasks)
    }

    /// Whether all its tasks restart when one of them ends early.
    pub(crate) fn restarts_as_a_whole(&self) -> bool {
        self.spec.class == WorkClass::Gang && self.spec.on_member_loss != MemberLoss::Replace
    }

    /// Failed attempts of a task.
    pub(crate) fn failures_of(&self, index: TaskIndex) -> u32 {
        if self.restarts_as_a_whole() {
            self.gang_failures.count
        } else {
            self.tasks[index as usize].failures
        }
    }

    /// Whether the present run of the gang is counted as failed.
    pub(crate) fn gang_run_has_failed(&self) -> bool {
        self.restarts_as_a_whole() && self.gang_failures.latest == LatestRun::Failed
    }

    /// Records that all waiting members of the gang start.
    pub(crate) fn gang_started(&mut self) {
        self.gang_failures.latest = LatestRun::NotFailed;
    }

    pub(crate) fn count_failure(&mut self, index: TaskIndex) {
        if self.restarts_as_a_whole() {
            self.gang_failures.count += 1;
            self.gang_failures.latest = LatestRun::Failed;
        } else {
            self.tasks[index as usize].failures += 1;
        }
    }

    /// Takes a counted failure back.
    pub(crate) fn uncount_failure(&mut self, index: TaskIndex) {
        let failures = if self.restarts_as_a_whole() {
            &mut self.gang_failures.count
        } else {
            &mut self.tasks[index as usize].failures
        };
        *failures = failures.saturating_sub(1);
    }

    /// Whether its tasks are kept running rather than run once.
    pub(crate) fn long_running(&self) -> bool {
        rules::long_running(&self.spec)
    }
}
