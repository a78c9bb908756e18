//! Copies: a second run of an active task, beside the run in the task's record.

use std::ops::RangeInclusive;

use super::batch::{End, Start};
use super::records::{CopyRecord, TaskState};
use super::{Job, Ledger};
use crate::batch::model::{JobId, MinionNumber, RunNumber, StepId, TaskId};

impl Ledger {
    /// Number of the next run of a task, above those of all its earlier runs and copies.
    pub(crate) fn next_run(&self, id: TaskId) -> RunNumber {
        let run = self.task(id).map_or(0, |task| task.run);
        let copy = self.copies.get(&id).map_or(0, |copy| copy.run);
        run.max(copy) + 1
    }

    /// The active run of a task beside the one in its record.
    pub(crate) fn active_copy(&self, id: TaskId) -> Option<(RunNumber, MinionNumber)> {
        let copy = self.copies.get(&id)?;
        Some((copy.run, copy.minion?))
    }

    /// Whether this is an active run of a task, as its first run or as its copy.
    pub(crate) fn is_active_run(&self, id: TaskId, run: RunNumber) -> bool {
        let is_first = self.task(id).is_some_and(|task| task.is_active_run(run));
        is_first || self.active_copy(id).is_some_and(|(copy, _)| copy == run)
    }

    /// Active copies of a job's tasks.
    pub(crate) fn active_copies(
        &self,
        job: JobId,
    ) -> impl Iterator<Item = (TaskId, RunNumber, MinionNumber)> + '_ {
        let copies = self.copies.range(tasks_of(job));
        copies.filter_map(|(task, copy)| Some((*task, copy.run, copy.minion?)))
    }

    /// Whether any run or copy of a job is active.
    pub(super) fn has_active_runs(&self, id: JobId) -> bool {
        let has_run = |job: &Job| job.active().next().is_some();
        self.jobs.get(&id).is_some_and(has_run) || self.active_copies(id).next().is_some()
    }

    pub(super) fn start_copy(&mut self, start: &Start) {
        let id = start.task;
        let open = self.jobs.get(&id.step.job);
        let open = open.is_some_and(|job| !job.state.is_final());
        let active = |state: TaskState| matches!(state, TaskState::Active(_));
        let is_active = self.task(id).is_some_and(|task| active(task.state));
        let is_new = start.run >= self.next_run(id) && self.active_copy(id).is_none();
        if open && is_active && is_new {
            let copy = CopyRecord {
                run: start.run,
                minion: Some(start.minion),
            };
            self.copies.insert(id, copy);
        }
    }

    pub(super) fn reassign_copy(&mut self, id: TaskId, run: RunNumber, number: MinionNumber) {
        if let Some(copy) = self.copies.get_mut(&id)
            && copy.run == run
            && copy.minion.is_some()
        {
            copy.minion = Some(number);
        }
    }

    /// If the end is that of an active copy, makes that run the one in the task's record, and the
    /// run there the copy. A copy whose task is not active any more is over.
    pub(super) fn swap_ended_copy(&mut self, end: &End) {
        let Some((run, minion)) = self.active_copy(end.task) else {
            return;
        };
        if run != end.run {
            return;
        }
        let mut first = None;
        if let Some(task) = self.task_mut(end.task)
            && let TaskState::Active(first_minion) = task.state
        {
            first = Some(CopyRecord {
                run: task.run,
                minion: Some(first_minion),
            });
            task.run = run;
            task.state = TaskState::Active(minion);
        }
        match first {
            Some(first) => drop(self.copies.insert(end.task, first)),
            None => drop(self.copies.remove(&end.task)),
        }
    }

    /// Makes the active copy of a task that waits the run in its record.
    pub(super) fn promote_copy(&mut self, id: TaskId) {
        let Some((run, minion)) = self.active_copy(id) else {
            return;
        };
        let open = self.jobs.get(&id.step.job);
        if open.is_none_or(|job| job.state.is_final()) {
            return;
        }
        let Some(task) = self.task_mut(id).filter(|t| t.state == TaskState::Waiting) else {
            return;
        };
        let ended = CopyRecord {
            run: task.run,
            minion: None,
        };
        task.run = run;
        task.state = TaskState::Active(minion);
        self.copies.insert(id, ended);
    }

    /// Removes the numbers of former copies of a job that has ended.
    pub(super) fn remove_former_copies(&mut self, job: JobId) {
        let former = self.copies.range(tasks_of(job));
        let former: Vec<_> = former
            .filter(|(_, copy)| copy.minion.is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in former {
            self.copies.remove(&id);
        }
    }
}

/// Range of all possible tasks of a job.
fn tasks_of(job: JobId) -> RangeInclusive<TaskId> {
    let steps = StepId::all_of(job);
    *steps.start().tasks().start()..=*steps.end().tasks().end()
}
