//! Read-only queries on the ledger.

use super::records::{Occurrence, StepRecord, TaskRecord, TaskState};
use super::{Job, Ledger};
use crate::batch::model::{
    ConfigVersion, JobId, JobState, MinionNumber, Queue, QueueKey, StepId, StepSpec, TaskId,
};
use crate::batch::workspaces::Workspace;
use crate::ids::WorkspaceName;

impl Job {
    /// Whether a submission under its id repeats this job. A missing owner matches any: the queue
    /// may have become public, or ceased to be, between the two submissions.
    pub(super) fn is_duplicate(&self, queue: &Queue, owner: Option<&WorkspaceName>) -> bool {
        self.is_in(queue) && self.may_belong_to(owner)
    }

    /// Whether a caller without a workspace, or of this one, may see it in this queue.
    pub(super) fn is_visible(&self, queue: &QueueKey, owner: Option<&WorkspaceName>) -> bool {
        self.queue.key() == *queue && self.may_belong_to(owner)
    }

    fn may_belong_to(&self, owner: Option<&WorkspaceName>) -> bool {
        match (&self.owner, owner) {
            (Some(held), Some(owner)) => held == owner,
            _ => true,
        }
    }

    /// Whether it was submitted to this queue; queues are identified by host and path prefix.
    pub(crate) fn is_in(&self, queue: &Queue) -> bool {
        self.queue.host == queue.host && self.queue.prefix == queue.prefix
    }

    pub(super) fn step_mut(&mut self, task: TaskId) -> Option<&mut StepRecord> {
        let occurrence = self.occurrences.get_mut(&task.step.occurrence)?;
        occurrence.steps.get_mut(usize::from(task.step.step))
    }

    pub(super) fn task_mut(&mut self, task: TaskId) -> Option<&mut TaskRecord> {
        self.step_mut(task)?.tasks.get_mut(task.index as usize)
    }

    /// Record of one of its tasks; `None` if its occurrence is not due yet or is done.
    pub fn task(&self, task: TaskId) -> Option<&TaskRecord> {
        let occurrence = self.occurrences.get(&task.step.occurrence)?;
        let step = occurrence.steps.get(usize::from(task.step.step))?;
        step.tasks.get(task.index as usize)
    }

    /// Active tasks: occurrence, step, index, record, and the minion that the run was given to.
    pub fn active(&self) -> impl Iterator<Item = (u32, u16, u32, &TaskRecord, MinionNumber)> + '_ {
        self.occurrences.iter().flat_map(|(k, occurrence)| {
            let steps = occurrence.steps.iter().enumerate();
            steps.flat_map(move |(s, step)| {
                let tasks = step.tasks.iter().enumerate();
                tasks.filter_map(move |(i, task)| match task.state {
                    TaskState::Active(minion) => Some((*k, s as u16, i as u32, task, minion)),
                    _ => None,
                })
            })
        })
    }
}

impl Ledger {
    /// A workspace of the configuration, or a removed one that still has open jobs.
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&Workspace> {
        let declared = self.config.as_ref();
        let declared = declared.and_then(|config| config.parsed.workspaces.as_ref());
        let declared = declared.and_then(|w| w.by_name.get(name));
        declared.or_else(|| self.removed_workspaces.get(name))
    }

    /// Workspaces whose limits apply: those of the configuration, and removed ones that still have
    /// open jobs.
    pub fn workspaces(&self) -> impl Iterator<Item = (&WorkspaceName, &Workspace)> {
        let declared = self.config.as_ref();
        let declared = declared.and_then(|config| config.parsed.workspaces.as_ref());
        let declared = declared.into_iter().flat_map(|w| w.by_name.iter());
        self.removed_workspaces.iter().chain(declared)
    }

    /// Whether a configuration of this version would take effect.
    pub fn is_newer(&self, version: ConfigVersion) -> bool {
        let held = self.config.as_ref();
        held.is_none_or(|held| version > held.version)
    }

    /// State of a job; `None` if it does not exist or ended too long ago.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        self.jobs.get(&id).map(|job| job.state)
    }

    /// Number of accepted jobs of a queue of which no task has started.
    pub fn pending(&self, host: &str, prefix: &str) -> usize {
        let of_queue = |id: &&JobId| {
            self.jobs
                .get(id)
                .is_some_and(|job| job.queue.host == host && job.queue.prefix == prefix)
        };
        self.unstarted.iter().filter(of_queue).count()
    }

    /// Record of a task; `None` if its job or its occurrence is not in the ledger.
    pub fn task(&self, id: TaskId) -> Option<&TaskRecord> {
        self.jobs.get(&id.step.job)?.task(id)
    }

    pub(super) fn task_mut(&mut self, id: TaskId) -> Option<&mut TaskRecord> {
        self.jobs.get_mut(&id.step.job)?.task_mut(id)
    }

    /// Unfinished steps of an open job whose dependencies are done.
    pub fn ready_steps(&self, id: JobId) -> Vec<StepId> {
        self.steps_where(id, |occurrence, s, spec| {
            occurrence.steps[s].open > 0 && occurrence.is_ready(spec)
        })
    }

    /// Steps of an open job whose dependencies are not all done, but have all their tasks started.
    pub fn upcoming_steps(&self, id: JobId) -> Vec<StepId> {
        self.steps_where(id, |occurrence, _, spec| {
            !occurrence.is_ready(spec) && occurrence.has_started_dependencies(spec)
        })
    }

    /// Steps of an open job that satisfy a predicate over occurrence, position and declaration.
    fn steps_where(
        &self,
        id: JobId,
        predicate: impl Fn(&Occurrence, usize, &StepSpec) -> bool,
    ) -> Vec<StepId> {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.state.is_final()) else {
            return Vec::new();
        };
        let mut steps = Vec::new();
        for (k, occurrence) in &job.occurrences {
            for (s, spec) in job.spec.steps.iter().enumerate() {
                if predicate(occurrence, s, spec) {
                    steps.push(StepId {
                        job: id,
                        occurrence: *k,
                        step: s as u16,
                    });
                }
            }
        }
        steps
    }
}
