//! Expected remaining time of a job, and the time that its latency objective allows, from the run
//! times of its steps so far.

use std::collections::HashMap;
use std::time::Duration;

use super::Dispatcher;
use super::advice::MIN_MINIONS_PER_QUESTION;
use super::mechanisms::Mechanism;
use super::run::demand;
use crate::batch::ledger::Job;
use crate::batch::model::{Grouping, Lifetime, StepId, StepSpec};
use crate::ids::{ServiceName, Timestamp};
use crate::resources::Resources;

/// A step that needs more than this share of its service's capacity, or more than the limit of its
/// workspace, may run in several waves, and its objective allows for them; from the platform's
/// contract.
const WAVE_SHARE: f64 = 0.25;
/// Age up to which the computed capacities are used again; minions join and leave within seconds.
const CAPACITY_MAX_AGE: Duration = Duration::from_secs(1);

/// Mean run time of the tasks of a step that have succeeded.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ObservedRunTime {
    total: Duration,
    runs: u32,
}

impl ObservedRunTime {
    pub(super) fn learn(&mut self, seen: Duration) {
        self.total += seen;
        self.runs += 1;
    }

    fn mean(&self) -> Option<Duration> {
        self.total.checked_div(self.runs)
    }
}

/// Total capacity of the minions of each service, with the time of its computation.
#[derive(Debug, Default)]
pub(super) struct Capacities {
    at: Option<Timestamp>,
    by_service: HashMap<ServiceName, Resources>,
}

/// Expected times of the steps of one occurrence of a job.
pub(super) struct ExpectedTimes {
    /// For each step, its run time plus that of the longest chain of steps that depend on it.
    pub(super) remaining: Vec<Duration>,
    /// Run time of the longest chain as the objective counts it: including waves of wide steps,
    /// failed runs, and one question to the policy service for each step.
    pub(super) allowed: Duration,
}

impl Dispatcher {
    pub(super) fn refresh_capacities(&mut self, now: Timestamp) {
        if self
            .capacities
            .at
            .is_some_and(|at| now < at + CAPACITY_MAX_AGE)
        {
            return;
        }
        let mut by_service: HashMap<ServiceName, Resources> = HashMap::new();
        for minion in self.minions.values() {
            let room = by_service.entry(minion.report.service.clone()).or_default();
            *room = room.saturating_add(&minion.report.capacity);
        }
        self.capacities = Capacities {
            at: Some(now),
            by_service,
        };
    }

    /// Expected times of the occurrence that a step belongs to.
    pub(super) fn expected_times(&self, job: &Job, id: StepId) -> ExpectedTimes {
        let steps = &job.spec.steps;
        let mut remaining = vec![Duration::ZERO; steps.len()];
        let mut allowed = vec![Duration::ZERO; steps.len()];
        for (i, step) in steps.iter().enumerate().rev() {
            let step_id = StepId {
                step: i as u16,
                ..id
            };
            let takes = self.step_time(job, step_id, step);
            remaining[i] += takes;
            allowed[i] += self.allowed_time(job, step_id, step, takes);
            for before in &step.after {
                let before = usize::from(*before);
                remaining[before] = remaining[before].max(remaining[i]);
                allowed[before] = allowed[before].max(allowed[i]);
            }
        }
        ExpectedTimes {
            remaining,
            allowed: allowed.into_iter().max().unwrap_or_default(),
        }
    }

    /// Expected run time of a step's tasks: the mean of its own finished tasks, or else an estimate
    /// from the statistics of its queue.
    ///
    /// Declared times are off by a factor of two and more, and tasks of one step take about the
    /// same time. With declared times alone, a render of four tasks that declared 0.8 s and took
    /// 2.7 s was ordered behind all other jobs with two of its tasks done, and waited for 36 s
    /// until no other work was left.
    pub(super) fn step_time(&self, job: &Job, id: StepId, step: &StepSpec) -> Duration {
        let learn = self.cfg.mechanisms.has(Mechanism::LearntTimes);
        let observed = self.observed.get(&id).filter(|_| learn);
        let observed = observed.and_then(ObservedRunTime::mean);
        observed
            .unwrap_or_else(|| self.expected_time(&self.routes.queue_of(job).name, step.estimate))
    }

    fn allowed_time(&self, job: &Job, id: StepId, step: &StepSpec, takes: Duration) -> Duration {
        if !self.cfg.mechanisms.has(Mechanism::Allowances) {
            return takes;
        }
        let record = job.occurrences.get(&id.occurrence);
        let record = record.map(|o| &o.steps[usize::from(id.step)]);
        let failed = record.and_then(|record| match step.grouping {
            Grouping::Gang => Some(record.gang_failures()),
            Grouping::Single => record.tasks.iter().map(|task| task.failures).max(),
        });
        let questions = self
            .routes
            .queue_of(job)
            .advice
            .map_or(Duration::ZERO, |t| {
                t.base + t.per_minion * MIN_MINIONS_PER_QUESTION as u32
            });
        takes * (self.waves(job, step) + failed.unwrap_or(0)) + questions
    }

    /// Number of waves for which the objective of a step allows.
    fn waves(&self, job: &Job, step: &StepSpec) -> u32 {
        let queue = self.routes.queue_of(job);
        let room = self.capacities.by_service.get(&queue.service);
        let together = step.grouping == Grouping::Gang || step.lifetime == Lifetime::Lasting;
        let Some(room) = room.filter(|_| !together) else {
            return 1;
        };
        let share = demand(step).dominant_share(room) * f64::from(step.count);
        let own = job.owner.as_ref().and_then(|name| self.quotas.limit(name));
        let own = own.map_or(0.0, |limit| {
            step.need.dominant_share(limit) * f64::from(step.count)
        });
        let waves = (share / WAVE_SHARE).max(own).ceil();
        waves.clamp(1.0, f64::from(step.count.max(1))) as u32
    }
}
