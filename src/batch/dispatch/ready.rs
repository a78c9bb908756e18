//! Steps with tasks that wait, in the order in which they are served.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::mechanisms::Mechanism;
use crate::batch::ledger::{Job, Ledger, TaskState};
use crate::batch::model::{Grouping, JobId, JobSpec, Lifetime, Queue, StepId};
use crate::ids::{Timestamp, WorkspaceName};

/// Place in the order of service; the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderKey {
    /// Lasting tasks first: a service that is down serves nobody, however full the cell is.
    class: u8,
    /// Beyond what its workspace may count on; then behind all that is not.
    surplus: bool,
    /// The queue's priority.
    priority: u32,
    /// Unix time by which the job should be done.
    due: Timestamp,
    /// Later steps of a job first: they finish what was begun.
    step: Reverse<u16>,
}

/// A step with tasks that wait.
#[derive(Clone, Debug)]
pub(super) struct ReadyStep {
    pub(super) key: OrderKey,
    pub(super) spec: Arc<JobSpec>,
    pub(super) queue: Arc<Queue>,
    /// Workspace of its job.
    pub(super) owner: Option<WorkspaceName>,
    pub(super) accepted: Timestamp,
    /// Since when it has had tasks that wait, by the steady clock.
    pub(super) since: Timestamp,
    /// While its turn is to come: when it is looked at next for a question.
    pub(super) look_at: Timestamp,
    /// Expected run time of this step and of the longest chain after it.
    pub(super) remaining: Duration,
    /// Tasks to be started, in order.
    pub(super) waiting: Vec<u32>,
}

impl ReadyStep {
    /// Whether its tasks run until their job is cancelled.
    pub(super) fn is_lasting(&self) -> bool {
        self.key.class == LASTING_FIRST
    }

    /// Time left until the job should be done.
    pub(super) fn slack(&self, unix: Timestamp) -> Duration {
        self.key.due.saturating_sub(unix)
    }

    /// Whether its job is beyond what its workspace may count on.
    pub(super) fn is_surplus(&self) -> bool {
        self.key.surplus
    }

    /// Whether a job that ends is clearly past its objective.
    pub(super) fn is_late(&self, unix: Timestamp) -> bool {
        !self.is_lasting() && self.lateness(unix) > 0
    }

    /// Whether a job that ends earns nothing more.
    pub(super) fn is_worthless(&self, unix: Timestamp) -> bool {
        !self.is_lasting() && self.lateness(unix) >= WORTHLESS
    }

    /// Levels of priority lost by being late.
    fn lateness(&self, unix: Timestamp) -> u32 {
        let objective = self.key.due.saturating_sub(self.accepted);
        if unix > self.accepted + objective * LATE_LIMIT {
            return WORTHLESS;
        }
        if unix + self.remaining.mul_f64(SURELY_NEEDED) > self.key.due {
            return LATE;
        }
        0
    }
}

/// Class of lasting tasks in the order of service.
const LASTING_FIRST: u8 = 0;
/// Class of all others.
const FINITE: u8 = 1;
/// Levels of priority by which a job falls behind once it is late: it still earns a fifth of its
/// worth, about what a core-second of the users' least urgent work earns.
const LATE: u32 = 2;
/// Levels by which it falls once it earns nothing more.
const WORTHLESS: u32 = 6;
/// A job is worth something up to this multiple of its objective.
const LATE_LIMIT: u32 = 3;
/// Part of the declared remaining run time that must still fit before the due time. Declared
/// times are rough, so a job is only taken for late when it is clearly so.
const SURELY_NEEDED: f64 = 0.8;

impl Dispatcher {
    /// Steps with tasks that wait, in the order of service at `unix`.
    ///
    /// Answers a load above the room: by due time alone, jobs that are late already would go
    /// first and make the next ones late as well.
    pub(super) fn service_order(&self, unix: Timestamp) -> Vec<StepId> {
        let mut order: Vec<_> = self
            .ready
            .iter()
            .map(|(id, step)| {
                let mut key = step.key;
                if !step.is_lasting() && self.cfg.mechanisms.has(Mechanism::Lateness) {
                    key.priority += step.lateness(unix);
                }
                (key, *id)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// Looks again at the jobs that changed.
    pub(super) fn renew_ready(&mut self, now: Timestamp, ledger: &Ledger) {
        for id in std::mem::take(&mut self.dirty_jobs) {
            let before = remove_job(&mut self.ready, id);
            remove_job(&mut self.coming, id);
            let Some(job) = ledger.jobs.get(&id) else {
                continue;
            };
            for step in ledger.ready_steps(id) {
                let since = before.get(&step).map_or(now, |before| before.since);
                self.add_ready(job, step, since);
            }
            for step in ledger.coming_steps(id) {
                let count = job.spec.steps[usize::from(step.step)].count;
                let coming = self.ready_step(job, step, (0..count).collect(), now);
                self.coming.insert(step, coming);
            }
        }
    }

    fn add_ready(&mut self, job: &Job, id: StepId, since: Timestamp) {
        let spec = &job.spec.steps[usize::from(id.step)];
        let tasks = &job.occurrences[&id.occurrence].steps[usize::from(id.step)].tasks;
        let waits = |index: &u32| {
            let waiting = tasks[*index as usize].state == TaskState::Waiting;
            waiting && !self.runs.contains_key(&id.task(*index))
        };
        let waiting: Vec<u32> = (0..tasks.len() as u32).filter(waits).collect();
        // A gang starts again only once every member of its last run is known to be over.
        let whole = spec.grouping == Grouping::Single || waiting.len() == tasks.len();
        if waiting.is_empty() || !whole {
            return;
        }
        self.place_wanted = true;
        let step = self.ready_step(job, id, waiting, since);
        self.ready.insert(id, step);
    }

    fn ready_step(&self, job: &Job, id: StepId, waiting: Vec<u32>, since: Timestamp) -> ReadyStep {
        let spec = &job.spec.steps[usize::from(id.step)];
        let lasting = spec.lifetime == Lifetime::Lasting;
        let times = self.times(job, id);
        let key = OrderKey {
            class: if lasting { LASTING_FIRST } else { FINITE },
            surplus: !lasting && self.is_surplus(id.job),
            priority: job.queue.priority,
            due: due(job, id, times.allowed),
            step: Reverse(id.step),
        };
        ReadyStep {
            key,
            spec: Arc::clone(&job.spec),
            queue: Arc::clone(&job.queue),
            owner: job.owner.clone(),
            accepted: job.accepted,
            since,
            look_at: since,
            remaining: times.remaining[usize::from(id.step)],
            waiting,
        }
    }
}

/// Takes a job's steps out of a map.
pub(super) fn remove_job<T>(steps: &mut BTreeMap<StepId, T>, job: JobId) -> BTreeMap<StepId, T> {
    let known: Vec<_> = steps
        .range(StepId::all_of(job))
        .map(|(id, _)| *id)
        .collect();
    let taken = known.into_iter().filter_map(|id| steps.remove_entry(&id));
    taken.collect()
}

/// When a job should be done: its objective counted from its hand-in or its due time. `chain` is
/// the longest chain of work through its steps.
fn due(job: &Job, id: StepId, chain: Duration) -> Timestamp {
    let begun = job
        .spec
        .timetable
        .map_or(job.accepted, |t| t.due(id.occurrence));
    begun + job.queue.slo + chain.mul_f64(job.queue.stretch)
}
