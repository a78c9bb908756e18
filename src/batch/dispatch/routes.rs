//! Queues of the configuration in force: open jobs follow them when they change.
//!
//! A job in the ledger keeps its queue as it was at its submission. The ledger itself uses only its
//! identity and its number of attempts, so that replicas of different versions agree; all that the
//! leader decides uses the queue as it is configured now.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use super::{Dispatcher, ReadyStep};
use crate::batch::event::Event;
use crate::batch::ledger::{Job, Ledger};
use crate::batch::model::{Configuration, JobId, Queue, QueueKey, StepId};
use crate::ids::Timestamp;

/// The configured queues by identity.
#[derive(Debug, Default)]
pub(super) struct Routes(HashMap<QueueKey, Arc<Queue>>);

impl Routes {
    pub(super) fn new(cfg: &Configuration) -> Self {
        let queues = cfg.queues.iter();
        Self(queues.map(|q| (q.key(), Arc::new(q.clone()))).collect())
    }

    /// The queue of a job as it is configured now, or as it was at the job's submission if it is
    /// no longer configured.
    pub(super) fn queue_of<'a>(&'a self, job: &'a Job) -> &'a Arc<Queue> {
        self.0.get(&job.queue.key()).unwrap_or(&job.queue)
    }

    /// Identities of the queues whose jobs are scheduled otherwise than by `before`.
    fn changed_since(&self, before: &Self) -> BTreeSet<QueueKey> {
        let all = self.0.keys().chain(before.0.keys());
        let changed = all.filter(|key| match (self.0.get(*key), before.0.get(*key)) {
            (Some(now), Some(before)) => !schedules_alike(now, before),
            _ => true,
        });
        changed.cloned().collect()
    }
}

/// Whether two versions of a queue differ only in what concerns requests.
fn schedules_alike(a: &Queue, b: &Queue) -> bool {
    let only_scheduling = |queue: &Queue| Queue {
        timeout: Default::default(),
        public: false,
        ..queue.clone()
    };
    only_scheduling(a) == only_scheduling(b)
}

impl Dispatcher {
    /// Takes the queues of a new configuration. The open jobs of those that changed are scheduled
    /// by them from now on.
    pub(super) fn set_routes(&mut self, ledger: &Ledger, cfg: &Configuration) {
        let routes = Routes::new(cfg);
        let changed = routes.changed_since(&self.routes);
        self.routes = routes;
        if changed.is_empty() {
            return;
        }
        let open = ledger.jobs.iter().filter(|(_, job)| !job.state.is_final());
        let moved = open.filter(|(_, job)| changed.contains(&job.queue.key()));
        for (id, job) in moved {
            self.dirty_jobs.insert(*id);
            self.update_runs(*id, job);
        }
        self.placement_requested = true;
    }

    fn update_runs(&mut self, id: JobId, job: &Job) {
        let queue = self.routes.queue_of(job);
        let steps = StepId::all_of(id);
        let all = *steps.start().tasks().start()..=*steps.end().tasks().end();
        for (_, run) in self.runs.range_mut(all) {
            run.queue = queue.name.clone();
            run.priority = queue.priority;
            self.least_urgent = self.least_urgent.max(queue.priority);
        }
    }

    /// Number of jobs with waiting tasks whose service is not configured: nothing can run them
    /// until it is. Reports them when their number changes.
    pub(super) fn report_unservable(&mut self, now: Timestamp) -> usize {
        let Some(services) = &self.services else {
            return 0;
        };
        let waiting = self.ready.iter();
        let unservable = waiting.filter(|(_, step)| !services.contains(&step.queue.service));
        let by_job: BTreeMap<JobId, &ReadyStep> =
            unservable.map(|(id, step)| (id.job, step)).collect();
        let count = by_job.len();
        let report = by_job
            .first_key_value()
            .map(|(job, step)| Event::JobsWithoutService {
                jobs: count,
                first: *job,
                service: step.queue.service.clone(),
                waited: now.saturating_sub(step.since),
            });
        if let Some(report) = report.filter(|_| count != self.unservable) {
            self.emit(report);
        }
        self.unservable = count;
        count
    }
}
