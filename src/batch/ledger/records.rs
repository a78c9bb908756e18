//! Records of jobs, tasks and minions in the ledger.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::batch::Certainty;
use crate::batch::model::{
    Checkpoint, JobSpec, JobState, MinionNumber, MinionReport, Queue, RunNumber, StepSpec,
};
use crate::ids::{Timestamp, WorkspaceName};

/// Crashes soon after a confirmed start of a task that fail its job.
const MAX_CRASHES: u32 = 2;
/// The same limit when crashes after unconfirmed starts are included.
const MAX_CRASHES_IN_DOUBT: u32 = 3;
/// The same limit when crashes that may have another cause are included too.
const MAX_CRASHES_POSSIBLE: u32 = 4;

/// A job and its progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The declaration; its texts are dropped when the job ends.
    pub spec: Arc<JobSpec>,
    /// Its queue as configured when the job was submitted.
    pub queue: Arc<Queue>,
    /// Workspace that submitted it; `None` on a public queue.
    pub owner: Option<WorkspaceName>,
    /// Unix time at which it was accepted.
    pub accepted: Timestamp,
    /// State as callers see it.
    pub state: JobState,
    /// Occurrences that are due and not done, by number.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Number of occurrences that have become due so far.
    pub due_so_far: u32,
}

/// One repetition of a job's steps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Occurrence {
    /// One record per step, in the order of the declaration.
    pub steps: Vec<StepRecord>,
}

/// State of a step's tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepRecord {
    /// One record per task, by index.
    pub tasks: Vec<TaskRecord>,
    /// Number of tasks that are not done.
    pub open: u32,
}

/// State of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// No run is active: before the first run, or after one that must be repeated.
    #[default]
    Waiting,
    /// The latest run was given to this minion and is not known to have ended.
    Active(MinionNumber),
    /// A run ended as done.
    Done,
}

/// One task of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Whether it waits, runs or is done.
    pub state: TaskState,
    /// Number of its latest run; 0 before the first.
    pub run: RunNumber,
    /// Number of runs that ended as failed; for a member of a gang, of those that were counted with
    /// its end.
    pub failures: u32,
    /// Crashes of minions that it may have caused.
    pub crashes: Crashes,
    /// Latest saved progress; empty when there is none.
    pub checkpoint: Checkpoint,
}

/// Number of minion crashes that a task may have caused, by how likely it caused them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// The minion confirmed the start and crashed soon after.
    pub confirmed: u32,
    /// The start was sent but not confirmed, and the minion crashed soon after.
    pub in_doubt: u32,
    /// The start was sent, and the minion may have crashed long before or after.
    pub possible: u32,
}

/// The run of a task beside the one in its record, or the last such run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyRecord {
    /// Number of the run.
    pub run: RunNumber,
    /// Incarnation that the run was given to; `None` once the run is over.
    pub minion: Option<MinionNumber>,
}

/// One incarnation of a minion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionRecord {
    /// Its report on joining, with the capacity kept up to date.
    pub report: MinionReport,
    /// Whether it has reported that it is draining.
    pub draining: bool,
}

impl Job {
    /// A queued job. Without a timetable, its only occurrence is due at once.
    pub(super) fn new(
        spec: Arc<JobSpec>,
        queue: Arc<Queue>,
        owner: Option<WorkspaceName>,
        accepted: Timestamp,
    ) -> Self {
        let mut job = Self {
            spec,
            queue,
            owner,
            accepted,
            state: JobState::Queued,
            occurrences: BTreeMap::new(),
            due_so_far: 0,
        };
        if job.spec.timetable.is_none() {
            job.begin(0);
        }
        job
    }

    /// Creates the records of an occurrence that is due; ignored unless it is the next one.
    pub(super) fn begin(&mut self, occurrence: u32) {
        if occurrence != self.due_so_far {
            return;
        }
        self.due_so_far += 1;
        let steps = self.spec.steps.iter().map(StepRecord::new).collect();
        self.occurrences.insert(occurrence, Occurrence { steps });
    }

    /// Number of occurrences over the whole life of the job.
    pub fn total_occurrences(&self) -> u32 {
        self.spec.timetable.map_or(1, |t| t.occurrences)
    }
}

impl StepRecord {
    /// Number of attempts that a gang has used: each failed run is counted with one of its members.
    /// Earlier versions counted each failed member.
    pub fn gang_failures(&self) -> u32 {
        self.tasks.iter().map(|task| task.failures).sum()
    }

    fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![TaskRecord::default(); spec.count as usize],
            open: spec.count,
        }
    }
}

impl TaskRecord {
    /// Whether this is the latest run and is not known to have ended.
    pub fn is_active_run(&self, run: RunNumber) -> bool {
        matches!(self.state, TaskState::Active(_)) && self.run == run
    }
}

impl Crashes {
    /// Counts one crash.
    pub(super) fn count(&mut self, certainty: Certainty) {
        match certainty {
            Certainty::Confirmed => self.confirmed += 1,
            Certainty::InDoubt => self.in_doubt += 1,
            Certainty::Possible => self.possible += 1,
        }
    }

    /// Whether the task may have caused any crash.
    pub fn any(&self) -> bool {
        self.confirmed + self.in_doubt + self.possible > 0
    }

    /// Whether there are so many that the task must not start again.
    pub(crate) fn exceed_limit(&self) -> bool {
        let in_doubt = self.confirmed + self.in_doubt;
        self.confirmed >= MAX_CRASHES
            || in_doubt >= MAX_CRASHES_IN_DOUBT
            || in_doubt + self.possible >= MAX_CRASHES_POSSIBLE
    }
}

impl Occurrence {
    /// Whether all dependencies of this step are done.
    pub fn is_ready(&self, spec: &StepSpec) -> bool {
        self.all_dependencies(spec, |step| step.open == 0)
    }

    /// Whether every task of this step's dependencies runs or is done.
    pub fn has_started_dependencies(&self, spec: &StepSpec) -> bool {
        let started = |task: &TaskRecord| task.state != TaskState::Waiting;
        self.all_dependencies(spec, |step| step.tasks.iter().all(started))
    }

    fn all_dependencies(&self, spec: &StepSpec, holds: impl Fn(&StepRecord) -> bool) -> bool {
        let step = |number: &u16| self.steps.get(usize::from(*number));
        spec.after.iter().all(|s| step(s).is_some_and(&holds))
    }
}
