//! Tasks that wait until an unanswered start order for them has expired.
//!
//! A minion that restarts under its id has no memory of stops and fencing tokens. An order that was
//! sent to one incarnation and got no answer may be carried out by any later one, also by one that
//! started after a stop was confirmed. So a task whose run is over starts again only when no order
//! for that run can be carried out any more. Minions that get a new id with each restart refuse
//! orders to a former incarnation, and need no such wait.

use std::collections::{BTreeMap, BTreeSet};

use super::Dispatcher;
use super::run::{Run, RunState};
use crate::batch::model::{EndKind, StepSpec, TaskId};
use crate::ids::Timestamp;

/// Tasks that may not start again before a point in time.
#[derive(Debug, Default)]
pub(super) struct LateStarts {
    until: BTreeMap<TaskId, Timestamp>,
    by_time: BTreeSet<(Timestamp, TaskId)>,
    /// Those of the tasks that are lasting.
    lasting: BTreeSet<TaskId>,
}

impl LateStarts {
    fn hold(&mut self, task: TaskId, until: Timestamp) {
        if let Some(former) = self.until.insert(task, until) {
            self.by_time.remove(&(former, task));
        }
        self.by_time.insert((until, task));
    }

    /// Removes and returns a task whose wait is over.
    fn pop_expired(&mut self, now: Timestamp) -> Option<TaskId> {
        let (until, task) = self.by_time.first().copied()?;
        if now < until {
            return None;
        }
        self.by_time.pop_first();
        self.until.remove(&task);
        self.lasting.remove(&task);
        Some(task)
    }

    /// Lasting tasks that wait.
    pub(super) fn lasting(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.lasting.iter().copied()
    }

    /// Until when a task waits; `None` if it doesn't.
    pub(super) fn until(&self, task: TaskId) -> Option<Timestamp> {
        self.until.get(&task).copied()
    }

    /// Whether an order to start an earlier run of a task may still be carried out.
    pub(super) fn contains(&self, task: TaskId) -> bool {
        self.until.contains_key(&task)
    }
}

impl Dispatcher {
    /// Holds back a task whose run is over while an order to start that run may be carried out by
    /// another incarnation of its minion.
    ///
    /// Not after an end that its minion listed of a run that it had confirmed: that incarnation is up
    /// and refuses the order. With a wait there too, a job whose only tasks fail soon after their
    /// start stood still for several seconds beside free room.
    pub(super) fn hold_for_late_start(
        &mut self,
        now: Timestamp,
        task: TaskId,
        run: &Run,
        kind: EndKind,
    ) {
        let listed = !matches!(
            kind,
            EndKind::Lapsed | EndKind::Crashed | EndKind::NeverStarted
        );
        if listed && matches!(run.state, RunState::Running(_)) {
            return;
        }
        let minion = self.minions.get(&run.minion);
        let keeps_id = minion.is_some_and(|m| m.report.started.is_some());
        let Some(until) = run
            .late_start_until()
            .filter(|until| keeps_id && now < *until)
        else {
            return;
        };
        self.late_starts.hold(task, until);
        if !run.ends {
            self.late_starts.lasting.insert(task);
        }
    }

    /// Makes tasks ready again whose unanswered start orders have expired.
    pub(super) fn release_held_tasks(&mut self, now: Timestamp) {
        while let Some(task) = self.late_starts.pop_expired(now) {
            self.dirty_jobs.insert(task.step.job);
        }
    }

    /// Whether a waiting task must not start yet. Tasks that may have copies never wait.
    pub(super) fn awaits_late_start(&self, task: TaskId, spec: &StepSpec) -> bool {
        !spec.copies_allowed && self.late_starts.contains(task)
    }
}

impl Run {
    /// Time until which one of its start orders may be carried out late; `None` if all were
    /// answered.
    fn late_start_until(&self) -> Option<Timestamp> {
        let pending = self
            .last_ordered
            .filter(|_| self.state == RunState::Starting);
        let sent = pending.max(self.unanswered)?;
        Some(sent + super::ORDER_EXPIRY)
    }
}
