//! Failures: whose fault they are, backoff, quarantine with trials, and tasks that use more
//! than they declared.

use std::time::Duration;

use rand::RngExt;

use super::interface::{Decision, StopReason};
use super::records::{Ending, FailedTask, Quarantine, Run, RunRef, WorkerIx};
use super::scheduler::Scheduler;
use super::{rules, search};
use crate::ids::Timestamp;
use crate::resources::Resources;
use crate::wire::StopKind;
use crate::workload::{TaskRun, WorkClass};

/// First wait after a failure; doubled for each further one.
const BACKOFF_FIRST: Duration = Duration::from_secs(1);
/// Longest wait after a failure.
const BACKOFF_LONGEST: Duration = Duration::from_secs(60);
/// Doublings of the wait for the next trial.
const TRIAL_DOUBLINGS: u32 = 3;
/// Workers on which a job failed that are remembered.
const FAILED_ON_LIMIT: usize = 8;
/// Different workers on which a job must fail to be at fault itself.
const FAULTY_JOB_WORKERS: usize = 2;
/// At most one worker in this many is quarantined, so that faulty work cannot empty the cell.
const QUARANTINE_PART: usize = 4;

impl Scheduler {
    /// Puts a task off after a failure, longer each time, with jitter so that tasks which
    /// failed together do not come back together.
    pub(crate) fn back_off(&mut self, now: Timestamp, r: RunRef) {
        let failures = self.cell.job(r.job).tasks[r.index as usize].failures;
        let doublings = failures.saturating_sub(1).min(6);
        let wait = (BACKOFF_FIRST * 2u32.pow(doublings)).min(BACKOFF_LONGEST);
        let jitter = self.rng.random_range(0.5..1.5);
        self.wait_until(now + wait.mul_f64(jitter), r);
    }

    pub(crate) fn run_done(&mut self, now: Timestamp, r: RunRef, run: &Run) {
        let job = self.cell.job_mut(r.job);
        job.tasks[r.index as usize].failures = 0;
        let kind = job.spec.kind.clone();
        if !job.long_running() {
            let took = now.saturating_sub(run.since);
            self.estimates.finished(&kind, took, now);
        }
        let Some(worker) = self.cell.workers[run.worker as usize].as_mut() else {
            return;
        };
        worker.failed_here.clear();
        let tried = worker.quarantine.is_some_and(|q| q.trial == Some(r));
        if tried {
            self.let_back(run.worker);
        }
    }

    fn let_back(&mut self, ix: WorkerIx) {
        self.cell.worker_mut(ix).quarantine = None;
        self.quarantined.retain(|&other| other != ix);
        self.cell.reindex(ix);
        let id = self.cell.worker(ix).spec.id.clone();
        self.pending.push(Decision::Release(id));
        self.wake_for(ix);
    }

    pub(crate) fn run_failed(&mut self, now: Timestamp, r: RunRef, run: &Run) {
        let trial = self.trial_failed(now, r, run.worker);
        let job = self.cell.job_mut(r.job);
        let kind = job.spec.kind.clone();
        let known = job.failed_on.contains(&run.worker);
        if !known && job.failed_on.len() < FAILED_ON_LIMIT {
            job.failed_on.push(run.worker);
        }
        if trial {
            return;
        }
        job.tasks[r.index as usize].failures += 1;
        let job_at_fault = job.failed_on.len() >= FAULTY_JOB_WORKERS;
        let kind_at_fault = self.estimates.failed(&kind, run.worker, now);
        if !job_at_fault && !kind_at_fault {
            self.count_against(now, run.worker, r);
        }
        self.give_up_if_exhausted(r);
    }

    fn give_up_if_exhausted(&mut self, r: RunRef) {
        let job = self.cell.job(r.job);
        let failures = job.tasks[r.index as usize].failures;
        if job.closed || job.long_running() || failures < job.spec.max_attempts.max(1) {
            return;
        }
        if !job.spec.idempotent && job.spec.class == WorkClass::Batch && job.spec.tasks > 1 {
            return;
        }
        let reason = format!(
            "task {} failed {failures} times on {} workers; {} attempts are allowed",
            r.index,
            job.failed_on.len(),
            job.spec.max_attempts.max(1),
        );
        let name = job.spec.name.clone();
        self.give_up(r.job, name, reason);
    }

    /// Counts a failure against the worker, and quarantines it when different jobs failed.
    fn count_against(&mut self, now: Timestamp, ix: WorkerIx, run: RunRef) {
        let seq = self.cell.job(run.job).seq;
        let limit = self.policy.quarantine_failures.max(1) as usize;
        let most = self.cell.workers.len() / QUARANTINE_PART + 1;
        let full = self.quarantined.len() >= most;
        let trial_at = now + self.policy.quarantine_trial;
        let Some(worker) = self.cell.workers[ix as usize].as_mut() else {
            return;
        };
        if worker.failed_here.iter().any(|f| f.seq == seq) {
            return;
        }
        if worker.failed_here.len() < limit {
            worker.failed_here.push(FailedTask { run, seq });
        }
        if worker.failed_here.len() < limit || full || worker.quarantine.is_some() {
            return;
        }
        worker.quarantine = Some(Quarantine {
            trial_at,
            failed_trials: 0,
            trial: None,
        });
        let id = worker.spec.id.clone();
        self.drop_hold(ix);
        self.cell.reindex(ix);
        self.quarantined.push(ix);
        self.pending.push(Decision::Quarantine(id));
        self.forgive(ix);
    }

    /// The failures on a worker that is at fault are not the tasks' own.
    fn forgive(&mut self, ix: WorkerIx) {
        for failed in self.cell.worker(ix).failed_here.clone() {
            let known = self.cell.jobs[failed.run.job as usize].as_mut();
            if let Some(job) = known.filter(|j| j.seq == failed.seq) {
                let task = &mut job.tasks[failed.run.index as usize];
                task.failures = task.failures.saturating_sub(1);
            }
        }
    }

    /// Notes that a trial failed; says whether this run was one.
    fn trial_failed(&mut self, now: Timestamp, r: RunRef, ix: WorkerIx) -> bool {
        let wait = self.policy.quarantine_trial;
        let Some(worker) = self.cell.workers[ix as usize].as_mut() else {
            return false;
        };
        let Some(q) = worker.quarantine.as_mut().filter(|q| q.trial == Some(r)) else {
            return false;
        };
        q.trial = None;
        q.failed_trials += 1;
        q.trial_at = now + wait * 2u32.pow(q.failed_trials.min(TRIAL_DOUBLINGS));
        true
    }

    /// A trial that was stopped or lost says nothing; another may follow at once.
    pub(crate) fn trial_void(&mut self, r: RunRef, ix: WorkerIx) {
        let worker = self.cell.workers[ix as usize].as_mut();
        let quarantine = worker.and_then(|w| w.quarantine.as_mut());
        if let Some(q) = quarantine.filter(|q| q.trial == Some(r)) {
            q.trial = None;
        }
    }

    /// Gives each quarantined worker whose time has come one idempotent task to try.
    pub(crate) fn try_quarantined(&mut self, now: Timestamp, out: &mut Vec<Decision>) {
        let workers = &self.cell.workers;
        self.quarantined.retain(|&ix| {
            let known = workers[ix as usize].as_ref();
            known.is_some_and(|w| w.quarantine.is_some())
        });
        for ix in self.quarantined.clone() {
            let worker = self.cell.worker(ix);
            let due = worker
                .quarantine
                .is_some_and(|q| q.trial.is_none() && q.trial_at <= now);
            if !due || !worker.up || worker.drain.is_some() {
                continue;
            }
            self.start_trial(now, ix, out);
        }
    }

    /// Without a task to try, a worker would stay out for ever while gangs wait for its room.
    /// It is let back after one more span; the next failure quarantines it again.
    fn let_back_untried(&mut self, now: Timestamp, ix: WorkerIx) {
        let wait = self.policy.quarantine_trial;
        let worker = self.cell.worker_mut(ix);
        let over = worker.quarantine.is_some_and(|q| now >= q.trial_at + wait);
        if over && !self.queues.blocked.is_empty() {
            worker.failed_here.pop();
            self.let_back(ix);
        }
    }

    fn start_trial(&mut self, now: Timestamp, ix: WorkerIx, out: &mut Vec<Decision>) {
        let worker = self.cell.worker(ix);
        let room = worker.room();
        let group = worker.slot.group.expect("indexed worker") as usize;
        let group = &self.cell.index.groups[group];
        let suitable = self.queues.iter().find_map(|(_, q)| {
            let head = q.head()?;
            let job = self.cell.job(head);
            let spec = &job.spec;
            let plain = spec.class == WorkClass::Batch && spec.idempotent && !job.closed;
            let grant = self.estimates.grant(spec);
            let fits = grant.fits_in(&room) && search::group_suits(spec, &grant, group);
            (plain && fits && !job.waiting.is_empty()).then_some((head, grant))
        });
        let Some((job, grant)) = suitable else {
            self.let_back_untried(now, ix);
            return;
        };
        let r = self.start_one(now, job, ix, grant, out);
        let worker = self.cell.worker_mut(ix);
        if let Some(q) = worker.quarantine.as_mut() {
            q.trial = Some(r);
        }
        if self.cell.job(job).waiting.is_empty() {
            self.dequeue(job);
        }
    }

    /// Takes in what a run was seen to use. A report never frees room: it may only take more
    /// away, because it lags behind what was granted since.
    pub(crate) fn usage(&mut self, now: Timestamp, run: &TaskRun, used: &Resources) {
        let Some((r, held)) = self.cell.find_run(run) else {
            return;
        };
        let spec = self.cell.job(r.job).spec.clone();
        let capacity = self.cell.worker(held.worker).spec.capacity;
        // A report above the whole worker is a lie or a fault of the meter: it is cut to what
        // can be true, so that it cannot teach a size that fits nowhere.
        let used = Resources {
            millicores: used.millicores.min(capacity.millicores),
            memory_mb: used.memory_mb.min(capacity.memory_mb),
            accelerators: 0,
        };
        self.estimates.used(&spec.kind, held.worker, &used, now);
        let over = used.saturating_sub(&held.granted);
        self.cell.set_over(r, over);
        if over == Resources::ZERO || held.ending != Ending::No {
            return;
        }
        if !held.throttled {
            self.throttle(r);
        } else if over.memory_mb > 0 && rules::preemptible(&spec) && self.may_move(r) {
            // Throttling does not give memory back: the task moves to a larger room.
            let job = self.cell.job_mut(r.job);
            job.tasks[r.index as usize].preemptions += 1;
            self.stop_run(r, StopKind::Checkpoint, StopReason::OverDeclared);
        }
    }

    /// A task that was moved often enough stays where it is, throttled.
    fn may_move(&self, r: RunRef) -> bool {
        let task = &self.cell.job(r.job).tasks[r.index as usize];
        task.preemptions < self.policy.preemption_limit
    }

    fn throttle(&mut self, r: RunRef) {
        self.cell.set_throttled(r);
        let worker = self.cell.job(r.job).tasks[r.index as usize].run();
        let worker = worker.expect("running task").worker;
        self.pending.push(Decision::Stop {
            run: self.cell.task_run(r),
            worker: self.cell.worker(worker).spec.id.clone(),
            how: StopKind::Throttle,
            reason: StopReason::OverDeclared,
        });
    }
}
