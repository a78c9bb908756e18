//! Records of the ledger.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::batch::Certainty;
use crate::batch::model::{
    Checkpoint, JobSpec, JobState, MinionNumber, MinionReport, Queue, RunNumber, StepSpec,
};
use crate::ids::{Timestamp, WorkspaceName};

/// Minions that may crash soon after they have begun a task.
const MAX_CRASHES: u32 = 2;
/// The same where it is not known of each that it had begun the task.
const MAX_CRASHES_IN_DOUBT: u32 = 3;
/// The same where some of them may have crashed for another reason.
const MAX_CRASHES_POSSIBLE: u32 = 4;

/// A job and how far it has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// What was declared; its payload is dropped once the job has ended.
    pub spec: Arc<JobSpec>,
    /// Its queue as configured when it was handed in.
    pub queue: Arc<Queue>,
    /// Workspace that handed it in; `None` on a queue that is open to all.
    pub owner: Option<WorkspaceName>,
    /// Unix time at which it was accepted.
    pub accepted: Timestamp,
    /// Its state.
    pub state: JobState,
    /// Occurrences that are due and not done.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Occurrences begun so far.
    pub begun: u32,
}

/// One repetition of a job's steps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Occurrence {
    /// One record a step.
    pub steps: Vec<StepRecord>,
}

/// The tasks of a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepRecord {
    /// One record a task.
    pub tasks: Vec<TaskRecord>,
    /// Tasks not done.
    pub open: u32,
}

/// Where a task stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Not running.
    #[default]
    Waiting,
    /// Its latest run was given to this minion and is not known to have ended.
    Active(MinionNumber),
    /// Done.
    Done,
}

/// One task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Where it stands.
    pub state: TaskState,
    /// Number of its latest run; 0 before the first.
    pub run: RunNumber,
    /// Runs that ended as failed.
    pub failures: u32,
    /// Minions that crashed under it.
    pub crashes: Crashes,
    /// Newest saved progress.
    pub checkpoint: Checkpoint,
}

/// Crashes of minions that a task may have caused, by what is known of each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// The minion had begun the task, and was down soon after.
    pub begun: u32,
    /// It was told to start the task, and was down soon after.
    pub in_doubt: u32,
    /// It was told to start the task, and may have crashed long before or after.
    pub possible: u32,
}

/// One incarnation of a minion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionRecord {
    /// What it said of itself when it joined, with the capacity that it has now.
    pub report: MinionReport,
    /// Whether it has said that it leaves.
    pub draining: bool,
}

impl Job {
    /// A job nobody has begun.
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
            begun: 0,
        };
        if job.spec.timetable.is_none() {
            job.begin(0);
        }
        job
    }

    /// Makes the records of an occurrence that is due.
    pub(super) fn begin(&mut self, occurrence: u32) {
        if occurrence != self.begun {
            return;
        }
        self.begun += 1;
        let steps = self.spec.steps.iter().map(StepRecord::new).collect();
        self.occurrences.insert(occurrence, Occurrence { steps });
    }

    /// Number of occurrences in all.
    pub fn occurrences_wanted(&self) -> u32 {
        self.spec.timetable.map_or(1, |t| t.occurrences)
    }
}

impl StepRecord {
    fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![TaskRecord::default(); spec.count as usize],
            open: spec.count,
        }
    }
}

impl TaskRecord {
    /// Whether this run was given to a minion and is not known to have ended.
    pub fn is_active_run(&self, run: RunNumber) -> bool {
        matches!(self.state, TaskState::Active(_)) && self.run == run
    }
}

impl Crashes {
    /// Counts one more.
    pub(super) fn count(&mut self, certainty: Certainty) {
        match certainty {
            Certainty::Begun => self.begun += 1,
            Certainty::InDoubt => self.in_doubt += 1,
            Certainty::Possible => self.possible += 1,
        }
    }

    /// Whether the task may have caused any.
    pub fn are_suspect(&self) -> bool {
        self.begun + self.in_doubt + self.possible > 0
    }

    /// Whether there are so many that the task is not started again.
    pub(super) fn are_too_many(&self) -> bool {
        let in_doubt = self.begun + self.in_doubt;
        self.begun >= MAX_CRASHES
            || in_doubt >= MAX_CRASHES_IN_DOUBT
            || in_doubt + self.possible >= MAX_CRASHES_POSSIBLE
    }
}

impl Occurrence {
    /// Whether all steps that this one waits for are done.
    pub fn is_ready(&self, spec: &StepSpec) -> bool {
        self.all_before(spec, |step| step.open == 0)
    }

    /// Whether every task of the steps that this one waits for has been started or is done.
    pub fn is_coming(&self, spec: &StepSpec) -> bool {
        let begun = |task: &TaskRecord| task.state != TaskState::Waiting;
        self.all_before(spec, |step| step.tasks.iter().all(begun))
    }

    fn all_before(&self, spec: &StepSpec, holds: impl Fn(&StepRecord) -> bool) -> bool {
        let step = |number: &u16| self.steps.get(usize::from(*number));
        spec.after.iter().all(|s| step(s).is_some_and(&holds))
    }
}
