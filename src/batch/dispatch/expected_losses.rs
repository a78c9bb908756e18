//! Lasting tasks whose minion is silent: tickets and room are prepared before its lease ends.
//!
//! Until the end of the lease the run may still be under way, so its task must not start elsewhere.
//! In a full cell, room for a large task takes another 3 s to become free; prepared during the wait,
//! it is there when the lease ends.

use std::collections::BTreeMap;
use std::time::Duration;

use super::advice::QuestionReason;
use super::run::RunState;
use super::{Dispatcher, ReadyStep};
use crate::batch::ledger::{Ledger, TaskState};
use crate::batch::model::{Grouping, MinionNumber, StepId, TaskId};
use crate::ids::Timestamp;

/// Time before the end of the lease from which on the loss of a run is prepared for: reservations
/// are strict from 2.5 s before the end, and other runs are preempted in the last second. A shorter
/// silence costs nothing.
const PREPARE_AHEAD: Duration = Duration::from_millis(3_500);

/// Lasting runs on silent minions, by step.
pub(super) type ExpectedLosses = BTreeMap<StepId, ReadyStep>;

impl Dispatcher {
    /// Runs of lasting tasks on silent minions, each with the time at which its lease ends.
    pub(super) fn silent_lasting_runs(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (TaskId, Timestamp)> {
        let silent = self.silent.iter().filter_map(|n| self.minions.get(n));
        let silent = silent.filter(|m| m.lasting > 0 && m.failed_holds > 0);
        silent.flat_map(move |minion| {
            let end = minion.lease_end(now);
            let runs = minion.runs.iter().filter(|id| {
                let run = self.runs.get(id);
                run.is_some_and(|run| !run.ends && run.state != RunState::Proposed)
            });
            runs.map(move |id| (id.original(), end))
        })
    }

    /// Determines the lasting tasks that are about to lose their runs.
    pub(super) fn expect_losses(&mut self, now: Timestamp, ledger: &Ledger) {
        let minions = &self.minions;
        let is_silent = |number: &MinionNumber| {
            let minion = minions.get(number);
            minion.is_some_and(|minion| minion.failed_holds > 0)
        };
        self.silent.retain(is_silent);
        let mut lost: BTreeMap<StepId, (Timestamp, Vec<u32>)> = BTreeMap::new();
        for (task, end) in self.silent_lasting_runs(now) {
            let since = end.saturating_sub(PREPARE_AHEAD);
            if now >= since {
                let (first, indices) = lost.entry(task.step).or_insert((since, Vec::new()));
                *first = since.min(*first);
                indices.push(task.index);
            }
        }
        // Their room stays reserved until the end is committed.
        let runs = &self.runs;
        let is_ending = |id: &TaskId| {
            let run = runs.get(id);
            run.is_some_and(|run| run.state == RunState::Ending)
        };
        self.lapsing.retain(is_ending);
        let since = now.saturating_sub(PREPARE_AHEAD);
        for task in &self.lapsing {
            let (first, indices) = lost.entry(task.step).or_insert((since, Vec::new()));
            *first = since.min(*first);
            indices.push(task.index);
        }
        let mut expected = ExpectedLosses::new();
        for (id, (since, mut indices)) in lost {
            let Some(job) = ledger.jobs.get(&id.job).filter(|j| !j.state.is_final()) else {
                continue;
            };
            let spec = &job.spec.steps[usize::from(id.step)];
            if spec.grouping == Grouping::Gang {
                // Its other members end with the lost one, and all start together.
                let waits = |index: &u32| {
                    let task = ledger.task(id.task(*index));
                    task.is_some_and(|task| task.state == TaskState::Waiting)
                };
                indices.extend((0..spec.count).filter(waits));
            }
            expected.insert(id, self.ready_step(job, id, indices, since));
        }
        self.expected_losses = expected;
    }

    /// Asks for tickets and reserves room for the lasting tasks that are about to lose their runs.
    pub(super) fn prepare_for_losses(&mut self, now: Timestamp, unix: Timestamp) {
        let steps = std::mem::take(&mut self.expected_losses);
        for (id, step) in &steps {
            // These are still charged to their workspace, so its limit has room for them.
            self.reserve_up_to(now, unix, *id, step, step.waiting.len());
            if let Some(policy) = step.queue.advice {
                self.ask(now, *id, step, policy, QuestionReason::Now);
            }
        }
        self.expected_losses = steps;
    }
}
