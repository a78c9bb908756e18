//! Workers that crash, become unreachable or reconnect.

use super::{CONTROL_LEASE_PERCENT, Engine, SimEvent};
use crate::ids::WorkerId;
use crate::placement::{Event, Placer};
use crate::replay::ledger::{RunKey, TaskOutcome, TaskStatus};

impl<P: Placer, F: Fn() -> P> Engine<'_, P, F> {
    /// Crashes the worker: its runs stop executing at once, but control detects this only when
    /// the lease expires.
    pub(super) fn kill_worker(&mut self, worker: usize) {
        self.disconnect(worker);
        self.cluster.workers[worker].executing.clear();
    }

    pub(super) fn disconnect(&mut self, worker: usize) {
        let w = &mut self.cluster.workers[worker];
        if !w.reachable {
            return;
        }
        w.reachable = false;
        w.epoch += 1;
        let epoch = w.epoch;
        self.schedule_in(self.lease, SimEvent::WorkerLeaseExpired { worker, epoch });
        let expired = SimEvent::ControlLeaseExpired { worker, epoch };
        self.schedule_in(self.lease * CONTROL_LEASE_PERCENT / 100, expired);
    }

    pub(super) fn expire_lease(&mut self, worker: usize, epoch: u32) {
        let w = &mut self.cluster.workers[worker];
        if w.epoch != epoch || !w.registered {
            return;
        }
        w.registered = false;
        let id = w.spec.id.clone();
        self.apply_event(Event::WorkerDown(id));
        self.end_lost_runs(worker);
    }

    pub(super) fn end_lost_runs(&mut self, worker: usize) {
        let w = &mut self.cluster.workers[worker];
        let id = w.spec.id.clone();
        let runs: Vec<RunKey> = w.runs.iter().copied().collect();
        w.executing.clear();
        for key in runs {
            self.lose_run(key, &id);
        }
    }

    /// Ends a run on a lost worker. Whether the run ever began is unknown, so a task that is not
    /// idempotent is never started again.
    pub(super) fn lose_run(&mut self, key: RunKey, worker: &WorkerId) {
        let job = &self.cluster.jobs[key.job];
        let restart = job.spec.idempotent;
        let next = if job.closed {
            TaskStatus::Ended(TaskOutcome::Cancelled)
        } else if restart && key.index < job.spec.tasks {
            TaskStatus::Waiting
        } else {
            TaskStatus::Ended(TaskOutcome::Unknown)
        };
        let run = self.cluster.run(key);
        self.cluster.end_run(key, next);
        self.changed_jobs.insert(key.job);
        self.apply_event(Event::RunLost {
            run,
            worker: worker.clone(),
            restart,
        });
    }

    /// Makes the worker reachable again. If control has not expired its lease the worker keeps its
    /// runs, otherwise it registers without runs.
    pub(super) fn reconnect(&mut self, worker: usize) {
        let w = &mut self.cluster.workers[worker];
        w.reachable = true;
        w.epoch += 1;
        if w.registered {
            return;
        }
        w.registered = true;
        w.executing.clear();
        self.register_worker(worker);
    }

    /// Adds the worker to the placer, with its drain if it has one.
    pub(super) fn register_worker(&mut self, ix: usize) {
        let w = &self.cluster.workers[ix];
        let (spec, drain) = (w.spec.clone(), w.drain);
        let worker = spec.id.clone();
        self.apply_event(Event::WorkerUp(spec));
        if let Some(deadline) = drain {
            self.apply_event(Event::DrainStarted { worker, deadline });
        }
    }
}
