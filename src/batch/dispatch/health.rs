//! Failures of a minion: when it gets no new work, and when it gets one run at a time.

use std::collections::BTreeSet;
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
/// Run time of a lasting run that proves its minion healthy: a minion that fails every run does so
/// much sooner.
const PROVEN_HEALTHY_AFTER: Duration = Duration::from_secs(5);

/// What went wrong with a run on a minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// The run ended as failed.
    Run,
    /// The minion refused its start as unhealthy.
    RefusedStart,
}

/// Failed runs and refused starts of a minion since its last success.
#[derive(Debug, Default)]
pub(super) struct Health {
    failures: u32,
    /// Pauses without new work since the last success.
    pauses: u32,
    last_failure: Timestamp,
    /// It gets no new work before this time.
    avoid_until: Timestamp,
    /// Active runs that were placed on it while it was on probation: one task, or members of one
    /// gang.
    probe: BTreeSet<TaskId>,
}

impl Health {
    /// Whether it has failed so often that it gets one run at a time, of a task or of a whole gang,
    /// until one succeeds.
    pub(super) fn is_on_probation(&self) -> bool {
        self.failures >= AVOID_FROM_FAILURES
    }

    /// Whether one more run, of a task or of a whole gang, may be placed now.
    pub(super) fn takes_work(&self, now: Timestamp) -> bool {
        !self.is_on_probation() || (now >= self.avoid_until && self.probe.is_empty())
    }

    /// Whether the run that decides about the end of its probation is active.
    pub(super) fn is_probed(&self) -> bool {
        !self.probe.is_empty()
    }

    /// Records that a run was placed on it.
    pub(super) fn placed(&mut self, task: TaskId) {
        if self.is_on_probation() {
            self.probe.insert(task);
        }
    }

    /// Records that the resources of a run were released.
    pub(super) fn released(&mut self, task: TaskId) {
        self.probe.remove(&task);
    }

    /// Records a failed run or a refused start, of a task or of a whole gang. `began` is when the
    /// run began; `None` if it did not.
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
    /// Counts a failed run or a refused start against its minion. A lasting run never ends as done,
    /// so one that ran for at least `PROVEN_HEALTHY_AFTER` counts as a success; counted as a
    /// failure, each such run kept its minion without new work for 8 s.
    ///
    /// Members of a gang that fail in one run on one minion are one event: what ends one member
    /// ends the others too, and each reports a failure of its own.
    pub(super) fn count_failure(
        &mut self,
        now: Timestamp,
        number: MinionNumber,
        task: TaskId,
        failure: Failure,
    ) {
        let (Some(minion), Some(run)) = (self.minions.get_mut(&number), self.runs.get(&task))
        else {
            return;
        };
        if run.judged {
            return;
        }
        if !run.ends && run.ran_for(now) >= PROVEN_HEALTHY_AFTER {
            minion.health.succeeded(run);
        } else {
            let began = match failure {
                Failure::Run => run.began(),
                Failure::RefusedStart => None,
            };
            minion.health.failed(now, began);
        }
        if run.members > 1 {
            self.judge_members(number, task);
        }
    }

    /// Marks the members of a gang on one minion as counted for its health.
    fn judge_members(&mut self, number: MinionNumber, task: TaskId) {
        let members = self.runs.range_mut(task.step.tasks());
        for (_, run) in members.filter(|(_, run)| run.minion == number) {
            run.judged = true;
        }
    }

    /// Time for which a run has worked. Members of a gang work from the moment when all of them are
    /// present.
    fn worked(&self, now: Timestamp, task: TaskId, run: &Run) -> Duration {
        if run.members == 1 {
            return run.ran_for(now);
        }
        let members = self.runs.range(task.step.tasks());
        if members.clone().count() < run.members as usize {
            return Duration::ZERO;
        }
        let times = members.map(|(_, run)| run.ran_for(now));
        times.min().unwrap_or_default()
    }

    /// Counts an active run that has worked for a while as a success of its minion. A lasting run
    /// counts only during probation: else it has to work for longer, and its failure decides.
    pub(super) fn count_worked(&mut self, now: Timestamp, number: MinionNumber, task: TaskId) {
        let (Some(minion), Some(run)) = (self.minions.get(&number), self.runs.get(&task)) else {
            return;
        };
        let health = &minion.health;
        let counts = health.failures > 0 && (run.ends || health.is_on_probation());
        if !counts || self.worked(now, task, run) < WORKED_AFTER {
            return;
        }
        let Some(minion) = self.minions.get_mut(&number) else {
            return;
        };
        let health = &mut minion.health;
        health.succeeded(run);
        self.placement_requested |= health.failures == 0;
    }
}
