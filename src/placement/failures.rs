//! Failures of runs: backoff, finding out whether job or worker is at fault, quarantine with
//! trials, and tasks that use more than they were granted.

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

/// Backoff after the first failure; doubled for each further one.
const MIN_BACKOFF: Duration = Duration::from_secs(1);
/// Upper limit on the backoff, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// Upper limit on the doublings of the time to a worker's next trial.
const MAX_TRIAL_DOUBLINGS: u32 = 3;
/// Upper limit on the workers that a job remembers having failed on.
const MAX_FAILED_ON: usize = 8;
/// Number of different workers on which a job must fail before the job itself is at fault.
const FAULTY_JOB_WORKERS: usize = 2;
/// At most the number of workers divided by this, plus one, are in quarantine, so that faulty jobs
/// cannot empty the cell.
const QUARANTINE_DIVISOR: usize = 4;

impl Scheduler {
    /// Delays a task's next start after a failure. The delay has jitter, so that tasks that failed
    /// together do not restart together.
    pub(crate) fn back_off(&mut self, now: Timestamp, r: RunRef) {
        let failures = self.cell.job(r.job).failures_of(r.index);
        let doublings = failures.saturating_sub(1).min(6);
        let wait = (MIN_BACKOFF * 2u32.pow(doublings)).min(MAX_BACKOFF);
        let jitter = self.rng.random_range(0.5..1.5);
        self.back_off_until(now + wait.mul_f64(jitter), r);
    }

    pub(crate) fn run_done(&mut self, now: Timestamp, r: RunRef, run: &Run) {
        let job = self.cell.job_mut(r.job);
        job.tasks[r.index as usize].failures = 0;
        let kind = job.spec.kind.clone();
        if !job.long_running() {
            let took = now.saturating_sub(run.since);
            self.estimates.record_finished(&kind, took, now);
        }
        let Some(worker) = self.cell.workers[run.worker as usize].as_mut() else {
            return;
        };
        worker.recent_failures.clear();
        let was_trial = worker.quarantine.is_some_and(|q| q.trial == Some(r));
        if was_trial {
            self.end_quarantine(run.worker);
        }
    }

    fn end_quarantine(&mut self, ix: WorkerIx) {
        self.cell.worker_mut(ix).quarantine = None;
        self.quarantined.retain(|&other| other != ix);
        self.cell.reindex(ix);
        let id = self.cell.worker(ix).spec.id.clone();
        self.pending.push(Decision::EndQuarantine(id));
        self.wake_fitting(ix);
    }

    /// Counts a failed run against its task, its job and its worker. A member of a gang whose run is
    /// counted already adds nothing: it may have failed only because another did.
    pub(crate) fn run_failed(&mut self, now: Timestamp, r: RunRef, run: &Run) {
        if self.cell.job(r.job).gang_run_has_failed() {
            return;
        }
        let trial = self.record_trial_failure(now, r, run.worker);
        let job = self.cell.job_mut(r.job);
        let kind = job.spec.kind.clone();
        let listed = job.failed_on.contains(&run.worker);
        if !listed && job.failed_on.len() < MAX_FAILED_ON {
            job.failed_on.push(run.worker);
        }
        if trial {
            return;
        }
        job.count_failure(r.index);
        let job_at_fault = job.failed_on.len() >= FAULTY_JOB_WORKERS;
        let kind_at_fault = self.estimates.record_failure(&kind, run.worker, now);
        if !job_at_fault && !kind_at_fault {
            self.count_worker_failure(now, run.worker, r);
        }
        self.fail_job_if_exhausted(r);
    }

    fn fail_job_if_exhausted(&mut self, r: RunRef) {
        let job = self.cell.job(r.job);
        let failures = job.failures_of(r.index);
        if job.closed || job.long_running() || failures < job.spec.max_attempts.max(1) {
            return;
        }
        if !job.spec.idempotent && job.spec.class == WorkClass::Batch && job.spec.tasks > 1 {
            return;
        }
        let what = if job.restarts_as_a_whole() {
            "the gang".to_owned()
        } else {
            format!("task {}", r.index)
        };
        let reason = format!(
            "{what} failed {failures} times on {} workers; {} attempts are allowed",
            job.failed_on.len(),
            job.spec.max_attempts.max(1),
        );
        let name = job.spec.name.clone();
        self.fail_job(r.job, name, reason);
    }

    /// Counts a failure against the worker, which is quarantined once enough different jobs failed
    /// there.
    fn count_worker_failure(&mut self, now: Timestamp, ix: WorkerIx, run: RunRef) {
        let seq = self.cell.job(run.job).seq;
        let limit = self.policy.quarantine_failures.max(1) as usize;
        let max_quarantined = self.cell.workers.len() / QUARANTINE_DIVISOR + 1;
        let at_limit = self.quarantined.len() >= max_quarantined;
        let trial_at = now + self.policy.quarantine_trial;
        let Some(worker) = self.cell.workers[ix as usize].as_mut() else {
            return;
        };
        if worker.recent_failures.iter().any(|f| f.seq == seq) {
            return;
        }
        if worker.recent_failures.len() < limit {
            worker.recent_failures.push(FailedTask { run, seq });
        }
        if worker.recent_failures.len() < limit || at_limit || worker.quarantine.is_some() {
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
        self.uncount_failures(ix);
    }

    /// Takes the counted failures back from the tasks: the worker was at fault.
    fn uncount_failures(&mut self, ix: WorkerIx) {
        for failed in self.cell.worker(ix).recent_failures.clone() {
            let found = self.cell.jobs[failed.run.job as usize].as_mut();
            if let Some(job) = found.filter(|j| j.seq == failed.seq) {
                job.uncount_failure(failed.run.index);
            }
        }
    }

    /// Schedules the next trial if the failed run was a trial; returns whether it was.
    fn record_trial_failure(&mut self, now: Timestamp, r: RunRef, ix: WorkerIx) -> bool {
        let wait = self.policy.quarantine_trial;
        let Some(worker) = self.cell.workers[ix as usize].as_mut() else {
            return false;
        };
        let Some(q) = worker.quarantine.as_mut().filter(|q| q.trial == Some(r)) else {
            return false;
        };
        q.trial = None;
        q.failed_trials += 1;
        q.trial_at = now + wait * 2u32.pow(q.failed_trials.min(MAX_TRIAL_DOUBLINGS));
        true
    }

    /// Ends a trial that was stopped or lost. It proves nothing, so another may follow at once.
    pub(crate) fn discard_trial(&mut self, r: RunRef, ix: WorkerIx) {
        let worker = self.cell.workers[ix as usize].as_mut();
        let quarantine = worker.and_then(|w| w.quarantine.as_mut());
        if let Some(q) = quarantine.filter(|q| q.trial == Some(r)) {
            q.trial = None;
        }
    }

    /// Starts a trial, one idempotent task, on each quarantined worker whose trial is due.
    pub(crate) fn start_due_trials(&mut self, now: Timestamp, out: &mut Vec<Decision>) {
        let workers = &self.cell.workers;
        self.quarantined.retain(|&ix| {
            let found = workers[ix as usize].as_ref();
            found.is_some_and(|w| w.quarantine.is_some())
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

    /// Ends the quarantine of a worker for which no trial task was found within one more trial
    /// interval: it would never end while, for example, only gangs wait for its room. The worker's
    /// next failure quarantines it again.
    fn end_quarantine_untested(&mut self, now: Timestamp, ix: WorkerIx) {
        let wait = self.policy.quarantine_trial;
        let worker = self.cell.worker_mut(ix);
        let overdue = worker.quarantine.is_some_and(|q| now >= q.trial_at + wait);
        if overdue && !self.queues.blocked.is_empty() {
            worker.recent_failures.pop();
            self.end_quarantine(ix);
        }
    }

    fn start_trial(&mut self, now: Timestamp, ix: WorkerIx, out: &mut Vec<Decision>) {
        let worker = self.cell.worker(ix);
        let room = worker.room();
        let group = worker.position.group.expect("indexed worker") as usize;
        let group = &self.cell.index.groups[group];
        let suitable = self.queues.iter().find_map(|(_, q)| {
            let head = q.head()?;
            let job = self.cell.job(head);
            let spec = &job.spec;
            let eligible = spec.class == WorkClass::Batch && spec.idempotent && !job.closed;
            let grant = self.estimates.grant(spec);
            let fits = grant.fits_in(&room) && search::group_suits(spec, &grant, group);
            (eligible && fits && !job.waiting.is_empty()).then_some((head, grant))
        });
        let Some((job, grant)) = suitable else {
            self.end_quarantine_untested(now, ix);
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

    /// Applies a usage report. Reports lag behind the grants made since, so they only reduce a
    /// worker's room and never free any.
    pub(crate) fn usage(&mut self, now: Timestamp, run: &TaskRun, used: &Resources) {
        let Some((r, held)) = self.cell.find_run(run) else {
            return;
        };
        let spec = self.cell.job(r.job).spec.clone();
        let capacity = self.cell.worker(held.worker).spec.capacity;
        // A report larger than the worker is false or a measuring error. It is capped, so that no
        // size is learnt that fits on no worker.
        let used = Resources {
            millicores: used.millicores.min(capacity.millicores),
            memory_mb: used.memory_mb.min(capacity.memory_mb),
            accelerators: 0,
        };
        self.estimates
            .record_usage(&spec.kind, held.worker, &used, now);
        let excess = used.saturating_sub(&held.granted);
        self.cell.set_excess(r, excess);
        if excess == Resources::ZERO || held.ending != Ending::NotRequested {
            return;
        }
        if !held.throttled {
            self.throttle(r);
        } else if excess.memory_mb > 0 && rules::preemptible(&spec) && self.may_move(r) {
            // Throttling does not free memory: the task has to move to a worker with more room.
            let job = self.cell.job_mut(r.job);
            job.tasks[r.index as usize].preemptions += 1;
            self.stop_run(r, StopKind::Checkpoint, StopReason::OverDeclared);
        }
    }

    /// Whether the task may be moved again; beyond the preemption limit it stays, throttled.
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
