//! Runs on the simulated workers: start, duration, resource usage and end.

use std::time::Duration;

use super::{
    Engine, MAX_FAIL_TIME, MAX_SLOWDOWN, STOP_TIME, SimEvent, TICK, USAGE_REPORT_INTERVAL,
};
use crate::placement::{Event, Placer};
use crate::replay::ledger::{RunKey, TaskStatus};
use crate::resources::Resources;
use crate::workload::{RunEnd, WorkClass};

impl<P: Placer, F: Fn() -> P> Engine<'_, P, F> {
    pub(super) fn begin_run(&mut self, key: RunKey) {
        let Some(worker) = self.cluster.worker_of(key) else {
            return;
        };
        let w = &mut self.cluster.workers[worker];
        if !w.reachable {
            self.schedule_in(TICK, SimEvent::StartDelivered(key));
            return;
        }
        w.executing.insert(key);
        let fails_runs = w.fails_runs;
        let job = &self.cluster.jobs[key.job];
        let failed = fails_runs || job.line.fails;
        let long = matches!(job.spec.class, WorkClass::Service | WorkClass::Watcher);
        let takes = self.time_left(key);
        self.cluster.task_mut(key).ran = true;
        if failed {
            let key_fails = SimEvent::RunFinished { key, failed };
            self.schedule_in(takes.min(MAX_FAIL_TIME).max(STOP_TIME), key_fails);
        } else if !long {
            self.schedule_in(takes, SimEvent::RunFinished { key, failed });
        }
        let reports = self.cluster.jobs[key.job].line.true_use.is_some()
            || self.cluster.workers[worker].report_percent != 100;
        if reports {
            self.schedule_in(USAGE_REPORT_INTERVAL, SimEvent::UsageReport(key));
        }
    }

    /// Time a run needs for the remaining work, which grows when it is granted less than it uses.
    pub(super) fn time_left(&self, key: RunKey) -> Duration {
        let TaskStatus::Running { granted, .. } = self.cluster.task(key).status else {
            return Duration::ZERO;
        };
        let used = self.true_use(key);
        let slowed = |used: u32, granted: u32| {
            let percent = u64::from(used) * 100 / u64::from(granted.max(1));
            percent.clamp(100, u64::from(MAX_SLOWDOWN) * 100) as u32
        };
        let percent = slowed(used.millicores, granted.millicores)
            .max(slowed(used.memory_mb, granted.memory_mb));
        self.cluster.task(key).left * percent / 100
    }

    pub(super) fn true_use(&self, key: RunKey) -> Resources {
        let job = &self.cluster.jobs[key.job];
        job.line.true_use.unwrap_or(job.spec.need)
    }

    pub(super) fn finish_run(&mut self, key: RunKey, failed: bool) {
        let Some(worker) = self.cluster.worker_of(key) else {
            return;
        };
        let w = &self.cluster.workers[worker];
        if !w.executing.contains(&key) {
            return;
        }
        if !w.reachable {
            // The end is reported when the worker reconnects, unless its lease expires before.
            self.schedule_in(TICK, SimEvent::RunFinished { key, failed });
            return;
        }
        let end = if failed { RunEnd::Failed } else { RunEnd::Done };
        self.end_run(key, end);
    }

    pub(super) fn finish_stop(&mut self, key: RunKey, saved: bool) {
        let Some(worker) = self.cluster.worker_of(key) else {
            return;
        };
        let w = &self.cluster.workers[worker];
        if !w.reachable {
            self.schedule_in(TICK, SimEvent::StopFinished { key, saved });
            return;
        }
        let end = if !self.cluster.task(key).ran {
            RunEnd::NeverStarted
        } else if saved {
            RunEnd::Checkpointed
        } else {
            RunEnd::Stopped
        };
        if end == RunEnd::Checkpointed {
            self.save_progress(key);
        }
        self.end_run(key, end);
    }

    /// Subtracts the work done by a checkpointed run from the remaining work of its task.
    pub(super) fn save_progress(&mut self, key: RunKey) {
        let TaskStatus::Running { since, .. } = self.cluster.task(key).status else {
            return;
        };
        let total = self.time_left(key);
        let ran = self.cluster.now.saturating_sub(since);
        let task = self.cluster.task_mut(key);
        if !total.is_zero() && total != Duration::MAX {
            let part = 1.0 - (ran.as_secs_f64() / total.as_secs_f64()).min(1.0);
            task.left = task.left.mul_f64(part);
        }
        task.ran = false;
    }

    pub(super) fn end_run(&mut self, key: RunKey, end: RunEnd) {
        let Some(worker) = self.cluster.worker_of(key) else {
            return;
        };
        let next = self.cluster.status_after(key, end);
        let run = self.cluster.run(key);
        let worker = self.cluster.workers[worker].spec.id.clone();
        self.cluster.end_run(key, next);
        self.changed_jobs.insert(key.job);
        self.measures.record_end(end);
        self.apply_event(Event::RunEnded { run, worker, end });
    }

    pub(super) fn report_usage(&mut self, key: RunKey) {
        let Some(worker) = self.cluster.worker_of(key) else {
            return;
        };
        let percent = self.cluster.workers[worker].report_percent;
        let seen = |n: u32| (u64::from(n) * u64::from(percent) / 100) as u32;
        let truth = self.true_use(key);
        let used = Resources {
            millicores: seen(truth.millicores),
            memory_mb: seen(truth.memory_mb),
            accelerators: 0,
        };
        let run = self.cluster.run(key);
        self.apply_event(Event::Usage { run, used });
        self.schedule_in(USAGE_REPORT_INTERVAL, SimEvent::UsageReport(key));
    }
}
