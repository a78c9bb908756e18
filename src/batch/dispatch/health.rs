//! Failures of a minion: when it gets no new work, and when it gets one run at a time.

use std::time::Duration;

use super::Dispatcher;
use super::run::Run;
use crate::batch::model::{MinionNumber, TaskId};
use crate::ids::Timestamp;

/// Consecutive failures from which on a minion gets no new work for a while. With one run in twenty
/// failing by its own fault, two in a row happen by chance once in 400.
const AVOID_FROM_FAILURES: u32 = 2;
/// First and shortest time without new work after such failures.
const AVOID_MIN: Duration = Duration::from_secs(1);
/// Run time that counts as a success. A minion that fails everything does so within 60 ms; waiting
/// for the end of a long run would keep a healthy minion from work.
const WORKED_AFTER: Duration = Duration::from_secs(1);

/// Failed runs and refused starts of a minion since its last success.
#[derive(Debug, Default)]
pub(super) struct Health {
    failures: u32,
    /// Pauses without new work since the last success.
    pauses: u32,
    last_failure: Timestamp,
    /// It gets no new work before this time.
    avoid_until: Timestamp,
    /// The only run that was placed on it since its last failure, while it is on probation.
    probe: Option<TaskId>,
}

impl Health {
    /// Whether it has failed so often that it gets one run at a time until one succeeds.
    pub(super) fn is_on_probation(&self) -> bool {
        self.failures >= AVOID_FROM_FAILURES
    }

    /// Whether one more run may be placed now.
    pub(super) fn takes_work(&self, now: Timestamp) -> bool {
        !self.is_on_probation() || (now >= self.avoid_until && self.probe.is_none())
    }

    /// Whether the run that decides about the end of its probation is active.
    pub(super) fn is_probed(&self) -> bool {
        self.probe.is_some()
    }

    /// Records that a run was placed on it.
    pub(super) fn placed(&mut self, task: TaskId) {
        if self.is_on_probation() {
            self.probe = Some(task);
        }
    }

    /// Records that the resources of a run were released.
    pub(super) fn released(&mut self, task: TaskId) {
        if self.probe == Some(task) {
            self.probe = None;
        }
    }

    /// Records a failed run or a refused start. `began` is when the run began; `None` if it did not.
    ///
    /// After several in a row the minion gets no new work for a time that doubles with each pause,
    /// up to eight times `AVOID_MIN`, so that a minion that fails everything does not use up the
    /// attempts of every task. Runs that fail beside each other bring one pause: counted one by one,
    /// a minion that recovers soon was kept from work for the longest time. A single failure is
    /// usually caused by the task.
    pub(super) fn failed(&mut self, now: Timestamp, began: Option<Timestamp>) {
        let is_later = began.is_none_or(|at| at > self.last_failure);
        self.failures += 1;
        self.last_failure = now;
        if self.is_on_probation() && (self.pauses == 0 || is_later) {
            self.pauses += 1;
            self.avoid_until = now + AVOID_MIN * 2_u32.pow((self.pauses - 1).min(3));
        }
    }

    /// Records the success of a run. It counts only if the run began after the last failure: runs
    /// that began earlier may end well on a minion that by now fails everything it starts.
    pub(super) fn succeeded(&mut self, run: &Run) {
        if self.failures > 0 && run.began().is_some_and(|at| at > self.last_failure) {
            *self = Self::default();
        }
    }
}

impl Dispatcher {
    /// Counts an active run that has worked for a while as a success of its minion. A lasting run
    /// counts only during probation: else it has to work for longer, and its failure decides.
    pub(super) fn count_worked(&mut self, now: Timestamp, number: MinionNumber, task: TaskId) {
        let (Some(minion), Some(run)) = (self.minions.get_mut(&number), self.runs.get(&task))
        else {
            return;
        };
        let health = &mut minion.health;
        let counts = health.failures > 0 && (run.ends || health.is_on_probation());
        if !counts || run.elapsed(now) < WORKED_AFTER {
            return;
        }
        health.succeeded(run);
        self.placement_requested |= health.failures == 0;
    }
}
