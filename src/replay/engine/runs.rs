//! Runs on the fake worker: their begin, length, use and end.

use std::time::Duration;

use super::{Engine, FAIL_TIME, Happening, MOST_SLOWED, REPORT, STOP_TIME, TICK};
use crate::placement::{Event, Placer};
use crate::replay::ledger::{At, RunKey};
use crate::resources::Resources;
use crate::workload::{RunEnd, WorkClass};

impl<P: Placer, F: Fn() -> P> Engine<'_, P, F> {
    pub(super) fn begin(&mut self, key: RunKey) {
        let Some(worker) = self.ledger.worker_of(key) else {
            return;
        };
        let w = &mut self.ledger.workers[worker];
        if !w.reachable {
            self.after(TICK, Happening::Begin(key));
            return;
        }
        w.executing.insert(key);
        let broken = w.broken;
        let job = &self.ledger.jobs[key.job];
        let failed = broken || job.line.fails;
        let long = matches!(job.spec.class, WorkClass::Service | WorkClass::Watcher);
        let takes = self.time_left(key);
        self.ledger.task_mut(key).ran = true;
        if failed {
            let key_fails = Happening::Ends { key, failed };
            self.after(takes.min(FAIL_TIME).max(STOP_TIME), key_fails);
        } else if !long {
            self.after(takes, Happening::Ends { key, failed });
        }
        let reports = self.ledger.jobs[key.job].line.true_use.is_some()
            || self.ledger.workers[worker].report_percent != 100;
        if reports {
            self.after(REPORT, Happening::Report(key));
        }
    }

    /// Time a run needs for the work left: longer when it is granted less than it uses.
    pub(super) fn time_left(&self, key: RunKey) -> Duration {
        let At::Running { granted, .. } = self.ledger.task(key).at else {
            return Duration::ZERO;
        };
        let used = self.true_use(key);
        let slowed = |used: u32, granted: u32| {
            let percent = u64::from(used) * 100 / u64::from(granted.max(1));
            percent.clamp(100, u64::from(MOST_SLOWED) * 100) as u32
        };
        let percent = slowed(used.millicores, granted.millicores)
            .max(slowed(used.memory_mb, granted.memory_mb));
        self.ledger.task(key).left * percent / 100
    }

    pub(super) fn true_use(&self, key: RunKey) -> Resources {
        let job = &self.ledger.jobs[key.job];
        job.line.true_use.unwrap_or(job.spec.need)
    }

    pub(super) fn ends(&mut self, key: RunKey, failed: bool) {
        let Some(worker) = self.ledger.worker_of(key) else {
            return;
        };
        let w = &self.ledger.workers[worker];
        if !w.executing.contains(&key) {
            return;
        }
        if !w.reachable {
            // The end is reported when the worker is heard again, if its lease still runs.
            self.after(TICK, Happening::Ends { key, failed });
            return;
        }
        let end = if failed { RunEnd::Failed } else { RunEnd::Done };
        self.end(key, end);
    }

    pub(super) fn stopped(&mut self, key: RunKey, saved: bool) {
        let Some(worker) = self.ledger.worker_of(key) else {
            return;
        };
        let w = &self.ledger.workers[worker];
        if !w.reachable {
            self.after(TICK, Happening::Stopped { key, saved });
            return;
        }
        let end = if !self.ledger.task(key).ran {
            RunEnd::NeverStarted
        } else if saved {
            RunEnd::Checkpointed
        } else {
            RunEnd::Stopped
        };
        if end == RunEnd::Checkpointed {
            self.save(key);
        }
        self.end(key, end);
    }

    /// The work done until now need not be done again.
    pub(super) fn save(&mut self, key: RunKey) {
        let At::Running { since, .. } = self.ledger.task(key).at else {
            return;
        };
        let whole = self.time_left(key);
        let ran = self.ledger.now.saturating_sub(since);
        let task = self.ledger.task_mut(key);
        if !whole.is_zero() && whole != Duration::MAX {
            let part = 1.0 - (ran.as_secs_f64() / whole.as_secs_f64()).min(1.0);
            task.left = task.left.mul_f64(part);
        }
        task.ran = false;
    }

    pub(super) fn end(&mut self, key: RunKey, end: RunEnd) {
        let Some(worker) = self.ledger.worker_of(key) else {
            return;
        };
        let next = self.ledger.after(key, end);
        let run = self.ledger.run(key);
        let worker = self.ledger.workers[worker].spec.id.clone();
        self.ledger.settle(key, next);
        self.touched.insert(key.job);
        self.measures.ended(end);
        self.feed(Event::RunEnded { run, worker, end });
    }

    pub(super) fn report(&mut self, key: RunKey) {
        let Some(worker) = self.ledger.worker_of(key) else {
            return;
        };
        let percent = self.ledger.workers[worker].report_percent;
        let seen = |n: u32| (u64::from(n) * u64::from(percent) / 100) as u32;
        let truth = self.true_use(key);
        let used = Resources {
            millicores: seen(truth.millicores),
            memory_mb: seen(truth.memory_mb),
            accelerators: 0,
        };
        let run = self.ledger.run(key);
        self.feed(Event::Usage { run, used });
        self.after(REPORT, Happening::Report(key));
    }
}
