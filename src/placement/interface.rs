//! The interface of placers: events in, decisions out.

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
    /// A worker joined, or rejoined with another capacity or location.
    WorkerUp(WorkerSpec),
    /// A worker is gone; the loss of each of its runs is reported by an event of its own.
    WorkerDown(WorkerId),
    /// A worker gets no new tasks and has to be empty by the deadline.
    DrainStarted {
        /// Also valid for a worker that has not joined yet.
        worker: WorkerId,
        /// When the runs that are left are stopped.
        deadline: Timestamp,
    },
    /// The drain was withdrawn: the worker gets tasks again.
    DrainEnded(WorkerId),
    /// A job was accepted.
    JobArrived {
        /// Another specification under the name of a long-running job replaces its runs in steps.
        spec: Arc<JobSpec>,
        /// When it was accepted; its waiting time counts from here.
        at: Timestamp,
    },
    /// A job accepted under an earlier leader: sent once per job when a new leader builds its
    /// placer, after the events of all workers.
    JobRestored {
        /// Its current specification.
        spec: Arc<JobSpec>,
        /// When it was accepted, under whichever leader.
        at: Timestamp,
        /// State of each task, by index.
        tasks: Vec<RestoredTask>,
    },
    /// The requested number of tasks of a long-running job changed.
    JobResized {
        /// A name that the placer does not have is ignored.
        job: JobName,
        /// Number of tasks requested now.
        tasks: u32,
    },
    /// A job was cancelled: none of its tasks starts again. The end of each run is reported by an
    /// event of its own.
    JobCancelled(JobName),
    /// A run ended and no longer holds its grant.
    RunEnded {
        /// Ignored unless it is the task's latest attempt.
        run: TaskRun,
        /// Worker on which it ran.
        worker: WorkerId,
        /// Decides, with the job's specification, whether the task may start again.
        end: RunEnd,
    },
    /// A run was lost: its worker has been silent for longer than its lease.
    RunLost {
        /// Ignored unless it is the task's latest attempt.
        run: TaskRun,
        /// Worker on which it ran.
        worker: WorkerId,
        /// Whether the task may start again; false for a non-idempotent task that may have run.
        restart: bool,
    },
    /// A start that was decided was not carried out; its grant is free again.
    StartRefused {
        /// Its attempt number is used again.
        run: TaskRun,
        /// Worker on which it would have run.
        worker: WorkerId,
    },
    /// Resource usage measured by a worker. It lags behind the grants made since.
    Usage {
        /// Ignored unless it is the task's latest attempt.
        run: TaskRun,
        /// Accelerators are not measured and are ignored.
        used: Resources,
    },
}

/// A task's state as restored by a new leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoredTask {
    /// Its job is that of the event.
    pub task: TaskId,
    /// Number of its latest start; 0 if it has never started.
    pub attempt: Attempt,
    /// How often it was preempted; limited by the policy.
    pub preemptions: u32,
    /// Taken from the replicated state.
    pub state: TaskState,
}

/// Whether a restored task waits, runs or has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Not started, or may start again.
    Waiting,
    /// Running, or possibly running, on a worker.
    Running {
        /// May be a worker that has not joined again yet.
        worker: WorkerId,
        /// Resources that count as used on the worker.
        granted: Resources,
        /// When the start was granted.
        since: Timestamp,
    },
    /// Will not start again.
    Ended,
}

/// What a placer decides; the leader carries it out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start a task.
    Start {
        /// Its attempt is one more than the task's latest.
        run: TaskRun,
        /// Worker on which it starts.
        worker: WorkerId,
        /// At least the declared need.
        granted: Resources,
    },
    /// End or throttle a run. Its grant stays in use until its end is reported.
    Stop {
        /// The task's latest attempt.
        run: TaskRun,
        /// Worker on which it runs.
        worker: WorkerId,
        /// Checkpoint, throttle or stop.
        how: StopKind,
        /// Reported to operators.
        reason: StopReason,
    },
    /// A job does not fit on any worker of this cell, even an empty one.
    Unschedulable {
        /// The scheduler checks it again when a worker joins.
        job: JobName,
        /// One sentence: the resource that is short, and the workers that come nearest.
        reason: String,
    },
    /// A job has failed for good: its attempts are used up, or its gang's rule says so.
    FailJob {
        /// None of its tasks starts again.
        job: JobName,
        /// One sentence.
        reason: String,
    },
    /// A worker on which several jobs failed gets no tasks except trials.
    Quarantine(WorkerId),
    /// A worker leaves quarantine.
    EndQuarantine(WorkerId),
}

/// Why a run is stopped or throttled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum StopReason {
    /// A task of a higher band needs the room.
    Preempted,
    /// Its team borrowed capacity that is within another team's quota.
    Reclaimed,
    /// Its worker is being drained.
    Drained,
    /// It uses more than it was granted.
    OverDeclared,
    /// Another run of its gang ended, so that the gang has to restart as a whole or has failed.
    GangBroken,
    /// Its job was cancelled.
    Cancelled,
    /// Its job has fewer tasks now, or a new specification.
    Resized,
}

/// Common interface of the scheduler and the baselines it is compared with.
pub trait Placer {
    /// Applies a change of the cell's state.
    fn apply(&mut self, now: Timestamp, event: Event);

    /// Appends the decisions valid at `now`, with at most `limit` starts.
    fn decide(&mut self, now: Timestamp, limit: usize, out: &mut Vec<Decision>);

    /// Explains in one sentence with figures why a job is waiting; `None` if it is not waiting.
    fn explain(&self, now: Timestamp, job: &JobName) -> Option<String>;
}
