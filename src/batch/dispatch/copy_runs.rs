//! Tracking of a task's second run.
//!
//! The first run of a task is tracked under the task's id, its copy under [`TaskId::copy`]. Orders,
//! answers, listings, events and the ledger carry the id of the task, and the number of the run
//! tells the two apart.

use std::sync::Arc;

use super::Dispatcher;
use super::run::{Run, RunState, StopState};
use crate::batch::event::Event;
use crate::batch::ledger::{Ledger, Start, TaskState};
use crate::batch::model::{EndKind, JobId, RunNumber, TaskId};
use crate::ids::Timestamp;

impl Dispatcher {
    /// Key under which a run of a task is tracked; `None` if it isn't.
    pub(super) fn run_key(&self, task: TaskId, run: RunNumber) -> Option<TaskId> {
        let is_run = |key: &TaskId| self.runs.get(key).is_some_and(|r| r.run == run);
        [task, task.copy()].into_iter().find(is_run)
    }

    /// Whether a run or a copy of a task is tracked.
    pub(super) fn is_tracked(&self, task: TaskId) -> bool {
        self.runs.contains_key(&task) || self.runs.contains_key(&task.copy())
    }

    /// Tracks the copies that the ledger has for a job. Those of tasks that need none any more are
    /// stopped.
    pub(super) fn restore_copies(&mut self, ledger: &Ledger, id: JobId, now: Timestamp) {
        let job = &ledger.jobs[&id];
        let queue = Arc::clone(self.routes.queue_of(job));
        let copies: Vec<_> = ledger.active_copies(id).collect();
        for (task, run, minion) in copies {
            let Some(spec) = job.spec.steps.get(usize::from(task.step.step)) else {
                continue;
            };
            let checkpoint = job.task(task).map(|task| task.checkpoint.clone());
            let place = (spec, queue.as_ref());
            let mut run = Run::new(run, minion, place, checkpoint.unwrap_or_default(), now);
            run.state = RunState::InDoubt;
            run.forget_speed();
            run.is_copy = true;
            run.owner = job.owner.clone();
            if job.state.is_final() || !is_active(ledger, task) {
                run.stop = StopState::Due(now);
            }
            self.add_run(task.copy(), run);
        }
    }

    /// Sends the start of a copy that is committed, unless its task or its minion changed meanwhile.
    pub(super) fn copy_committed(&mut self, now: Timestamp, ledger: &Ledger, start: &Start) {
        let Some(key) = self.run_key(start.task, start.run) else {
            return;
        };
        let run = &self.runs[&key];
        if run.state != RunState::Proposed {
            return;
        }
        if !ledger.is_active_run(start.task, start.run) {
            self.remove_run(key);
        } else if run.is_stopping() || !self.can_still_start(run) {
            self.run_over(now, key, EndKind::NeverStarted, Default::default());
        } else {
            self.send_start(now, key, ledger);
        }
    }

    /// Adjusts the tracking of a task of which the end of a run was committed: the keys of its runs
    /// follow the ledger, and a run that is left although the task needs none is stopped.
    pub(super) fn follow_ledger(&mut self, now: Timestamp, ledger: &Ledger, task: TaskId) {
        let copy = task.copy();
        let first = self.runs.get(&task).map(|run| run.run);
        let second = self.runs.get(&copy).map(|run| run.run);
        match (first, second) {
            (None, Some(run)) if ledger.task(task).is_some_and(|t| t.is_active_run(run)) => {
                self.change_key(copy, task);
            }
            (None, Some(_)) if !is_active(ledger, task) => self.stop_run(now, copy),
            (Some(run), None) if is_copy(ledger, task, run) => {
                self.change_key(task, copy);
                self.stop_run(now, copy);
            }
            (Some(_), None) => self.recheck_copy(now, task),
            _ => {}
        }
    }

    fn change_key(&mut self, from: TaskId, to: TaskId) {
        let Some(run) = self.runs.remove(&from) else {
            return;
        };
        self.stopping.remove(&from);
        self.copies.remove_run(from);
        if run.state == RunState::Ending {
            // Its resources are released.
            self.runs.insert(to, run);
            return;
        }
        self.release_resources(from, &run);
        self.add_run(to, run);
    }

    /// Reports the end of a run that was started as a copy.
    pub(super) fn report_copy_over(&mut self, key: TaskId, run: &Run) {
        if !run.is_copy {
            return;
        }
        let task = key.original();
        let other = if key.is_copy() { task } else { task.copy() };
        let other = self.runs.get(&other).and_then(|other| other.end);
        let first = run.stop == StopState::No && other != Some(EndKind::Done);
        self.emit(Event::CopyOver {
            task,
            run: run.run,
            won: run.end == Some(EndKind::Done) && first,
        });
    }
}

fn is_active(ledger: &Ledger, task: TaskId) -> bool {
    let active = |state| matches!(state, TaskState::Active(_));
    ledger.task(task).is_some_and(|task| active(task.state))
}

fn is_copy(ledger: &Ledger, task: TaskId, run: RunNumber) -> bool {
    ledger
        .active_copy(task)
        .is_some_and(|(copy, _)| copy == run)
}
