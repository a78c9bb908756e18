//! Steps with waiting tasks, and the order in which placement handles them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::mechanisms::Mechanism;
use crate::batch::ledger::{Job, Ledger, TaskRecord, TaskState};
use crate::batch::model::{Grouping, JobId, JobSpec, Lifetime, Queue, StepId, TaskId};
use crate::ids::{Timestamp, WorkspaceName};

/// Sort key of the order of service; the lowest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderKey {
    /// Lasting tasks come first: while one has no run, its users are without service.
    class: u8,
    /// Whether the job was submitted above the weight of its workspace; such jobs come after all
    /// others.
    excess: bool,
    /// Priority of the queue; 0 is the most urgent.
    priority: u32,
    /// Unix time by which the job should be done, from its objective.
    due: Timestamp,
    /// Later steps of a job first, to finish started jobs.
    step: Reverse<u16>,
}

/// A step with waiting tasks, or an upcoming one, whose predecessors still run.
#[derive(Clone, Debug)]
pub(super) struct ReadyStep {
    pub(super) key: OrderKey,
    pub(super) spec: Arc<JobSpec>,
    pub(super) queue: Arc<Queue>,
    /// Workspace of the job; `None` for a job without one.
    pub(super) owner: Option<WorkspaceName>,
    pub(super) accepted: Timestamp,
    /// Since when it has had waiting tasks, in monotonic time; for an upcoming step, when this
    /// record was made.
    pub(super) since: Timestamp,
    /// Next check for a question to the policy service; used only for an upcoming step.
    pub(super) check_at: Timestamp,
    /// Expected run time of this step plus that of the longest chain of steps after it.
    pub(super) remaining: Duration,
    /// Indices of the tasks to start, in order.
    pub(super) waiting: Vec<u32>,
}

impl ReadyStep {
    /// Whether its tasks are lasting: they run until their job is cancelled.
    pub(super) fn is_lasting(&self) -> bool {
        self.key.class == CLASS_LASTING
    }

    /// Time left until the due time; zero after it.
    pub(super) fn slack(&self, unix: Timestamp) -> Duration {
        self.key.due.saturating_sub(unix)
    }

    /// Whether its job was submitted above the weight of its workspace.
    pub(super) fn is_excess(&self) -> bool {
        self.key.excess
    }

    /// Whether a finite job clearly misses its objective.
    pub(super) fn is_late(&self, unix: Timestamp) -> bool {
        !self.is_lasting() && self.late_penalty(unix) > 0
    }

    /// Whether a finite job is so late that it has no value any more.
    pub(super) fn is_expired(&self, unix: Timestamp) -> bool {
        !self.is_lasting() && self.late_penalty(unix) >= EXPIRED_PENALTY
    }

    /// Number of priority levels lost by lateness.
    fn late_penalty(&self, unix: Timestamp) -> u32 {
        let objective = self.key.due.saturating_sub(self.accepted);
        if unix > self.accepted + objective * EXPIRY_FACTOR {
            return EXPIRED_PENALTY;
        }
        if unix + self.remaining.mul_f64(MIN_REMAINING_PART) > self.key.due {
            return LATE_PENALTY;
        }
        0
    }
}

/// Class of lasting tasks; the lowest comes first in the order of service.
const CLASS_LASTING: u8 = 0;
/// Class of finite tasks.
const CLASS_FINITE: u8 = 1;
/// Priority levels that a late job loses: it keeps a fifth of its value, which is about the value
/// of a core-second of the users' least urgent work.
pub(super) const LATE_PENALTY: u32 = 2;
/// Priority levels that a job loses once it has no value any more.
const EXPIRED_PENALTY: u32 = 6;
/// A job has a value up to this multiple of its objective.
pub(super) const EXPIRY_FACTOR: u32 = 3;
/// Part of the expected remaining run time that must fit before the due time. Expected times are
/// inaccurate, so a job counts as late only when it clearly is.
const MIN_REMAINING_PART: f64 = 0.8;

impl OrderKey {
    /// Key of the first step of a job of finite tasks that is not accepted yet.
    pub(super) fn of_new_job(excess: bool, priority: u32, due: Timestamp) -> Self {
        Self {
            class: CLASS_FINITE,
            excess,
            priority,
            due,
            step: Reverse(0),
        }
    }
}

impl Dispatcher {
    /// The record of a waiting task that has no tracked run or copy.
    pub(super) fn waiting_record<'a>(
        &self,
        ledger: &'a Ledger,
        id: TaskId,
    ) -> Option<&'a TaskRecord> {
        let task = ledger.task(id)?;
        let waits = task.state == TaskState::Waiting && !self.is_tracked(id);
        waits.then_some(task)
    }

    /// Steps with waiting tasks, in the order of service at `unix`.
    ///
    /// Late jobs lose priority. Under overload, an order by due time alone would put jobs that are
    /// late already first and make the following ones late as well.
    pub(super) fn service_order(&self, unix: Timestamp) -> Vec<StepId> {
        let order = self.keyed_order(unix).into_iter();
        order.map(|(_, id)| id).collect()
    }

    /// The same with the sort keys.
    pub(super) fn keyed_order(&self, unix: Timestamp) -> Vec<(OrderKey, StepId)> {
        let mut order: Vec<_> = self
            .ready
            .iter()
            .map(|(id, step)| {
                let mut key = step.key;
                if !step.is_lasting() && self.cfg.mechanisms.has(Mechanism::Lateness) {
                    key.priority = key.priority.saturating_add(step.late_penalty(unix));
                }
                (key, *id)
            })
            .collect();
        order.sort_unstable();
        order
    }

    /// Rebuilds the ready and upcoming steps of all changed jobs.
    pub(super) fn refresh_ready(&mut self, now: Timestamp, ledger: &Ledger) {
        for id in std::mem::take(&mut self.dirty_jobs) {
            let before = remove_job(&mut self.ready, id);
            remove_job(&mut self.upcoming, id);
            let Some(job) = ledger.jobs.get(&id) else {
                continue;
            };
            for step in ledger.ready_steps(id) {
                // A task that lapsed waits since before the end of its lease.
                let known = before
                    .get(&step)
                    .or_else(|| self.expected_losses.get(&step));
                let since = known.map_or(now, |known| known.since);
                self.add_ready(job, step, since);
            }
            for step in ledger.upcoming_steps(id) {
                let count = job.spec.steps[usize::from(step.step)].count;
                let upcoming = self.ready_step(job, step, (0..count).collect(), now);
                self.upcoming.insert(step, upcoming);
            }
        }
    }

    fn add_ready(&mut self, job: &Job, id: StepId, since: Timestamp) {
        let spec = &job.spec.steps[usize::from(id.step)];
        let tasks = &job.occurrences[&id.occurrence].steps[usize::from(id.step)].tasks;
        let waits = |index: &u32| {
            let task = id.task(*index);
            let waiting = tasks[*index as usize].state == TaskState::Waiting;
            let tracked = || match spec.copies_allowed {
                true => self.is_tracked(task),
                false => self.runs.contains_key(&task),
            };
            waiting && !tracked() && !self.awaits_late_start(task, spec)
        };
        let waiting: Vec<u32> = (0..tasks.len() as u32).filter(waits).collect();
        // A gang starts again only after every member of its last run is known to have ended.
        let whole = spec.grouping == Grouping::Single || waiting.len() == tasks.len();
        if waiting.is_empty() || !whole {
            return;
        }
        self.placement_requested = true;
        let step = self.ready_step(job, id, waiting, since);
        self.ready.insert(id, step);
    }

    pub(super) fn ready_step(
        &self,
        job: &Job,
        id: StepId,
        waiting: Vec<u32>,
        since: Timestamp,
    ) -> ReadyStep {
        let spec = &job.spec.steps[usize::from(id.step)];
        let lasting = spec.lifetime == Lifetime::Lasting;
        let expected = self.expected_times(job, id);
        let queue = self.routes.queue_of(job);
        let key = OrderKey {
            class: if lasting { CLASS_LASTING } else { CLASS_FINITE },
            excess: !lasting && self.is_excess(id.job),
            priority: queue.priority,
            due: due(job, queue, id, expected.allowed),
            step: Reverse(id.step),
        };
        ReadyStep {
            key,
            spec: Arc::clone(&job.spec),
            queue: Arc::clone(queue),
            owner: job.owner.clone(),
            accepted: job.accepted,
            since,
            check_at: since,
            remaining: expected.remaining[usize::from(id.step)],
            waiting,
        }
    }
}

/// Removes the entries of a job's steps from a map and returns them.
pub(super) fn remove_job<T>(steps: &mut BTreeMap<StepId, T>, job: JobId) -> BTreeMap<StepId, T> {
    let known: Vec<_> = steps
        .range(StepId::all_of(job))
        .map(|(id, _)| *id)
        .collect();
    let taken = known.into_iter().filter_map(|id| steps.remove_entry(&id));
    taken.collect()
}

/// Due time of an occurrence of a job: its objective counted from the job's submission, or from the
/// scheduled time of the occurrence. `chain` is the run time of the longest chain of its steps.
fn due(job: &Job, queue: &Queue, id: StepId, chain: Duration) -> Timestamp {
    let begun = job
        .spec
        .timetable
        .map_or(job.accepted, |t| t.due(id.occurrence));
    begun + queue.slo + chain.mul_f64(queue.slo_multiple)
}
