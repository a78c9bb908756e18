//! What a job's latency objective allows for, from what is known of its steps by now.

use std::collections::HashMap;
use std::time::Duration;

use super::Dispatcher;
use super::advice::FEWEST_ASKED;
use super::mechanisms::Mechanism;
use super::run::charged;
use crate::batch::ledger::Job;
use crate::batch::model::{Grouping, Lifetime, StepId, StepSpec};
use crate::ids::{ServiceName, Timestamp};
use crate::resources::Resources;

/// A step that needs more than this part of its service's room, or than its workspace may run, may run
/// in several waves, and its objective allows for them; from the platform's contract.
const WAVE_PART: f64 = 0.25;
/// Age up to which the room of each service is used again; minions join and leave by the second.
const CAPACITY_KEPT: Duration = Duration::from_secs(1);

/// Run time of a step's tasks, from those of them that have ended well.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Observed {
    total: Duration,
    runs: u32,
}

impl Observed {
    pub(super) fn learn(&mut self, seen: Duration) {
        self.total += seen;
        self.runs += 1;
    }

    fn mean(&self) -> Option<Duration> {
        self.total.checked_div(self.runs)
    }
}

/// Room of all minions of each service, and when it was reckoned.
#[derive(Debug, Default)]
pub(super) struct Capacities {
    at: Option<Timestamp>,
    rooms: HashMap<ServiceName, Resources>,
}

/// Expected times of one occurrence of a job.
pub(super) struct Times {
    /// Work of each step and of the longest chain of steps that wait for it.
    pub(super) remaining: Vec<Duration>,
    /// The longest chain, as the objective counts it: with waves of wide steps, runs that failed,
    /// and one question to the policy service for each step.
    pub(super) allowed: Duration,
}

impl Dispatcher {
    pub(super) fn renew_capacities(&mut self, now: Timestamp) {
        if self
            .capacities
            .at
            .is_some_and(|at| now < at + CAPACITY_KEPT)
        {
            return;
        }
        let mut rooms: HashMap<ServiceName, Resources> = HashMap::new();
        for minion in self.minions.values() {
            let room = rooms.entry(minion.report.service.clone()).or_default();
            *room = room.saturating_add(&minion.report.capacity);
        }
        self.capacities = Capacities {
            at: Some(now),
            rooms,
        };
    }

    /// Times to reckon with for the occurrence of a job that a step belongs to.
    pub(super) fn times(&self, job: &Job, id: StepId) -> Times {
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
            allowed[i] += self.allowance(job, step_id, step, takes);
            for before in &step.after {
                let before = usize::from(*before);
                remaining[before] = remaining[before].max(remaining[i]);
                allowed[before] = allowed[before].max(allowed[i]);
            }
        }
        Times {
            remaining,
            allowed: allowed.into_iter().max().unwrap_or_default(),
        }
    }

    /// Run time of a step's tasks: as its own tasks showed it, or else as its queue lets expect.
    ///
    /// Declared times are off by a factor of two and more, and tasks of one step take about the
    /// same time. A render of four tasks that declared 0.8 s and took 2.7 s fell behind all others
    /// with two of its tasks done, and waited for 36 s until nothing else was left.
    fn step_time(&self, job: &Job, id: StepId, step: &StepSpec) -> Duration {
        let learn = self.cfg.mechanisms.has(Mechanism::LearntTimes);
        let observed = self.observed.get(&id).filter(|_| learn);
        let observed = observed.and_then(Observed::mean);
        observed.unwrap_or_else(|| self.expected_time(&job.queue.name, step.estimate))
    }

    fn allowance(&self, job: &Job, id: StepId, step: &StepSpec, takes: Duration) -> Duration {
        if !self.cfg.mechanisms.has(Mechanism::Allowances) {
            return takes;
        }
        let tasks = job.occurrences.get(&id.occurrence);
        let tasks = tasks.map(|o| o.steps[usize::from(id.step)].tasks.iter());
        let failed = tasks.and_then(|tasks| tasks.map(|task| task.failures).max());
        let questions = job.queue.advice.map_or(Duration::ZERO, |t| {
            t.base + t.per_minion * FEWEST_ASKED as u32
        });
        takes * (self.waves(job, step) + failed.unwrap_or(0)) + questions
    }

    /// In how many waves a step may run by its objective.
    fn waves(&self, job: &Job, step: &StepSpec) -> u32 {
        let room = self.capacities.rooms.get(&job.queue.service);
        let together = step.grouping == Grouping::Gang || step.lifetime == Lifetime::Lasting;
        let Some(room) = room.filter(|_| !together) else {
            return 1;
        };
        let share = charged(step).dominant_share(room) * f64::from(step.count);
        let own = job.owner.as_ref().and_then(|name| self.quotas.limit(name));
        let own = own.map_or(0.0, |limit| {
            step.need.dominant_share(limit) * f64::from(step.count)
        });
        let waves = (share / WAVE_PART).max(own).ceil();
        waves.clamp(1.0, f64::from(step.count.max(1))) as u32
    }
}
