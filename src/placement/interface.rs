//! Events a placer is fed and decisions it gives.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::document::{Policy, Team};
use crate::ids::{Attempt, JobName, TeamName, Timestamp, WorkerId};
use crate::resources::Resources;
use crate::wire::StopKind;
use crate::workload::{JobSpec, RunEnd, TaskId, TaskRun, WorkerSpec};

/// A change of the cell's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The document's policy changed.
    Policy(Policy),
    /// The document's teams changed.
    Teams(BTreeMap<TeamName, Team>),
    /// A worker joined, or came back with another shape.
    WorkerUp(WorkerSpec),
    /// A worker is gone; each of its runs is reported by its own event.
    WorkerDown(WorkerId),
    /// A worker gets no new work and is empty by the deadline.
    DrainStarted {
        /// The worker.
        worker: WorkerId,
        /// When what still runs there is stopped.
        deadline: Timestamp,
    },
    /// The worker takes work again.
    DrainEnded(WorkerId),
    /// A job was accepted.
    JobArrived {
        /// The job.
        spec: Arc<JobSpec>,
        /// When it was accepted.
        at: Timestamp,
    },
    /// A job is known from before: sent once for each job when a new leader builds its placer,
    /// after all workers.
    JobRestored {
        /// The job.
        spec: Arc<JobSpec>,
        /// When it was accepted.
        at: Timestamp,
        /// State of each task, by index.
        tasks: Vec<RestoredTask>,
    },
    /// A long-running job's wanted number of tasks changed.
    JobResized {
        /// The job.
        job: JobName,
        /// Tasks wanted now.
        tasks: u32,
    },
    /// A job was cancelled: nothing of it starts any more. Runs end by their own events.
    JobCancelled(JobName),
    /// A run ended and holds nothing any more.
    RunEnded {
        /// The run.
        run: TaskRun,
        /// Where it ran.
        worker: WorkerId,
        /// How it ended.
        end: RunEnd,
    },
    /// A run's worker was lost for longer than its lease.
    RunLost {
        /// The run.
        run: TaskRun,
        /// Where it ran.
        worker: WorkerId,
        /// Whether the task may start again; false for a non-idempotent task that may have run.
        restart: bool,
    },
    /// A decided start was not carried out; nothing is held for it.
    StartRefused {
        /// The run.
        run: TaskRun,
        /// Where it would have run.
        worker: WorkerId,
    },
    /// Usage that a worker measured, with a lag.
    Usage {
        /// The run.
        run: TaskRun,
        /// What it used.
        used: Resources,
    },
}

/// A task as a new leader finds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoredTask {
    /// The task.
    pub task: TaskId,
    /// Number of its latest start; 0 when it never started.
    pub attempt: Attempt,
    /// Times it was preempted.
    pub preemptions: u32,
    /// Its state.
    pub state: TaskState,
}

/// State of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Waits for a start.
    Waiting,
    /// Runs, or may run, on a worker.
    Running {
        /// The worker.
        worker: WorkerId,
        /// What was granted there.
        granted: Resources,
        /// When it was granted.
        since: Timestamp,
    },
    /// Will not start again.
    Ended,
}

/// What a placer decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start a task.
    Start {
        /// The run; its attempt is one more than the task's latest.
        run: TaskRun,
        /// Where.
        worker: WorkerId,
        /// What is granted.
        granted: Resources,
    },
    /// End a run. Its capacity is free when its end is reported.
    Stop {
        /// The run.
        run: TaskRun,
        /// Where it runs.
        worker: WorkerId,
        /// How it ends.
        how: StopKind,
        /// Why.
        reason: StopReason,
    },
    /// A job can never run in this cell as it is.
    NeverRuns {
        /// The job.
        job: JobName,
        /// Which resource fails and how many workers come nearest, in one sentence.
        reason: String,
    },
    /// A job is given up after its attempts, or by its rule.
    GiveUp {
        /// The job.
        job: JobName,
        /// In one sentence.
        reason: String,
    },
    /// A worker on which different jobs failed gets no work but a trial.
    Quarantine(WorkerId),
    /// A quarantined worker passed its trial.
    Release(WorkerId),
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum StopReason {
    /// A later band needs the room.
    Preempted,
    /// Its team used what another team's quota guarantees.
    Reclaimed,
    /// Its worker is being emptied.
    Drained,
    /// It uses more than it declared.
    OverDeclared,
    /// Another task of its gang was lost.
    GangBroken,
    /// The job was cancelled.
    Cancelled,
    /// The job wants fewer tasks, or newer ones.
    Resized,
}

/// A scheduler behind one interface, so that baselines run beside the real one.
pub trait Placer {
    /// Takes in a change.
    fn handle(&mut self, now: Timestamp, event: Event);

    /// Appends decisions that hold at `now`, at most `limit` starts.
    fn decide(&mut self, now: Timestamp, limit: usize, out: &mut Vec<Decision>);

    /// Says why a job waits now, in one sentence with figures; none when it does not wait.
    fn explain(&self, now: Timestamp, job: &JobName) -> Option<String>;
}
