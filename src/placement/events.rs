//! Applies events to the scheduler's state.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use super::cell::Outcome;
use super::interface::{Decision, Event, StopReason};
use super::records::{JobIx, Phase, Run, RunRef};
use super::scheduler::Scheduler;
use super::{feasibility, rules};
use crate::ids::Timestamp;
use crate::resources::Resources;
use crate::wire::StopKind;
use crate::workload::{JobSpec, MemberLoss, RunEnd, TaskRun, WorkClass};

/// Delay before a refused start is retried.
const REFUSED_START_DELAY: Duration = Duration::from_millis(200);
/// Longest run time that counts towards a job's queue time; at full waiting weight, the queue time
/// is at most this much after the job's arrival.
const MAX_QUEUE_DELAY: Duration = Duration::from_secs(900);

impl Scheduler {
    pub(crate) fn apply_event(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Policy(policy) => self.policy = policy,
            Event::Teams(teams) => self.teams.set(&teams),
            Event::WorkerUp(spec) => self.worker_up(spec),
            Event::WorkerDown(id) => {
                if let Some(ix) = self.cell.find_worker(&id) {
                    self.drop_hold(ix);
                }
                self.cell.worker_down(&id);
            }
            Event::DrainStarted { worker, deadline } => self.start_drain(now, worker, deadline),
            Event::DrainEnded(worker) => self.end_drain(&worker),
            Event::JobArrived { spec, at } => self.job_arrived(spec, at),
            Event::JobRestored { spec, at, tasks } => {
                if let Some(ix) = self.cell.restore_job(spec, at, &tasks) {
                    self.charge_restored(ix);
                    let job = self.cell.job(ix);
                    if job.running > 0 && !job.waiting.is_empty() {
                        self.stop_partial_gang(ix);
                    }
                    self.admit(ix);
                }
            }
            Event::JobResized { job, tasks } => self.resize(&job, tasks),
            Event::JobCancelled(job) => self.cancel(&job),
            Event::RunEnded { run, end, .. } => self.run_ended(now, &run, end),
            Event::RunLost { run, restart, .. } => self.run_lost(&run, restart),
            Event::StartRefused { run, .. } => self.start_refused(now, &run),
            Event::Usage { run, used } => self.usage(now, &run, &used),
        }
    }

    fn worker_up(&mut self, spec: crate::workload::WorkerSpec) {
        let id = spec.id.clone();
        let ix = self.cell.worker_up(spec);
        if let Some(&deadline) = self.drains.get(&id) {
            self.cell.worker_mut(ix).drain = Some(deadline);
            self.cell.reindex(ix);
        }
        self.recheck_unschedulable();
        self.wake_fitting(ix);
    }

    /// Checks again the jobs that fitted on no worker.
    fn recheck_unschedulable(&mut self) {
        for (ix, seq) in std::mem::take(&mut self.unschedulable) {
            let found = self.cell.jobs[ix as usize].as_ref();
            if found.is_some_and(|job| job.seq == seq && !job.closed) {
                self.cell.job_mut(ix).unschedulable = None;
                self.admit(ix);
            }
        }
    }

    fn job_arrived(&mut self, spec: Arc<JobSpec>, at: Timestamp) {
        if let Some(ix) = self.cell.find_job(&spec.name) {
            self.update(ix, spec);
            return;
        }
        if let Some(ix) = self.cell.add_job(spec, at) {
            self.admit(ix);
        }
    }

    /// Queues a job, or reports that it fits on no worker.
    fn admit(&mut self, ix: JobIx) {
        let queue_time = self.queue_time_of(ix);
        let job = self.cell.job_mut(ix);
        job.queue_time = queue_time;
        let (spec, seq) = (job.spec.clone(), job.seq);
        if let Some(reason) = feasibility::reason(&self.cell, &spec) {
            self.pending.push(Decision::Unschedulable {
                job: spec.name.clone(),
                reason: reason.clone(),
            });
            self.cell.job_mut(ix).unschedulable = Some(reason);
            self.unschedulable.push((ix, seq));
            return;
        }
        self.enqueue(ix);
        self.remove_if_finished(ix);
    }

    /// A job's sort key in its queue: its arrival plus part of its run time, so that short jobs go
    /// first but no job is delayed without bound by later ones.
    fn queue_time_of(&self, ix: JobIx) -> Timestamp {
        let job = self.cell.job(ix);
        if job.long_running() {
            return job.accepted_at;
        }
        let run_time = self.estimates.run_time(&job.spec).min(MAX_QUEUE_DELAY);
        let weight = self.policy.waiting_weight.min(100);
        job.accepted_at + run_time * weight / 100
    }

    fn charge_restored(&mut self, ix: JobIx) {
        let spec = self.cell.job(ix).spec.clone();
        let team = self.teams.ix(&spec.team);
        let running = self.cell.job(ix).tasks.iter().filter_map(|t| t.run());
        let granted: Vec<Resources> = running.map(|r| r.granted).collect();
        for granted in granted {
            self.teams.charge(team, &granted);
            self.quick_usage.task_started(&spec, &granted);
        }
    }

    /// Applies a new specification of a long-running job; its runs are replaced in steps.
    fn update(&mut self, ix: JobIx, spec: Arc<JobSpec>) {
        let job = self.cell.job(ix);
        if !job.long_running() || *job.spec == *spec || !rules::long_running(&spec) {
            return;
        }
        let tasks = spec.tasks;
        self.dequeue(ix);
        let mut spec = (*spec).clone();
        // Running tasks were charged and counted under the old values of these fields.
        spec.team.clone_from(&self.cell.job(ix).spec.team);
        spec.spread = self.cell.job(ix).spec.spread;
        spec.band = self.cell.job(ix).spec.band;
        spec.tasks = self.cell.job(ix).spec.tasks;
        let name = spec.name.clone();
        let job = self.cell.job_mut(ix);
        job.spec = Arc::new(spec);
        job.version += 1;
        let entry = (ix, job.seq);
        if !self.updating.contains(&entry) {
            self.updating.push(entry);
        }
        self.resize(&name, tasks);
        self.enqueue(ix);
    }

    fn resize(&mut self, name: &crate::ids::JobName, tasks: u32) {
        let Some(ix) = self.cell.find_job(name) else {
            return;
        };
        self.dequeue(ix);
        for r in self.cell.resize(ix, tasks) {
            self.stop_run(r, StopKind::Checkpoint, StopReason::Resized);
        }
        self.enqueue(ix);
        self.remove_if_finished(ix);
    }

    fn cancel(&mut self, name: &crate::ids::JobName) {
        let Some(ix) = self.cell.find_job(name) else {
            return;
        };
        self.dequeue(ix);
        self.drop_job_holds(ix);
        let job = self.cell.job_mut(ix);
        job.closed = true;
        if job.running > 0 {
            let seq = job.seq;
            self.cancelled.push_back((ix, seq));
        }
        self.remove_if_finished(ix);
    }

    /// Stops the runs of cancelled jobs; the event itself only closed the job.
    pub(crate) fn stop_cancelled(&mut self, out: &mut Vec<Decision>) {
        while let Some((ix, seq)) = self.cancelled.pop_front() {
            let found = self.cell.jobs[ix as usize].as_ref();
            if found.is_some_and(|job| job.seq == seq) {
                self.stop_all(ix, StopReason::Cancelled);
            }
        }
        out.append(&mut self.pending);
    }

    /// Asks every run of a job to end, with a checkpoint where it supports one.
    pub(crate) fn stop_all(&mut self, ix: JobIx, reason: StopReason) {
        let tasks = self.cell.job(ix).tasks.iter().enumerate();
        let running: Vec<RunRef> = tasks
            .filter(|(_, t)| t.run().is_some())
            .map(|(i, _)| RunRef {
                job: ix,
                index: i as u32,
            })
            .collect();
        for r in running {
            self.stop_run(r, StopKind::Checkpoint, reason);
        }
    }

    /// Frees a run's grant and wakes the queues that may use it.
    fn release(&mut self, r: RunRef) -> Option<Run> {
        let run = self.cell.release(r)?;
        let spec = self.cell.job(r.job).spec.clone();
        let team = self.teams.ix(&spec.team);
        self.teams.refund(team, &run.granted);
        self.quick_usage.task_ended(&spec, &run.granted);
        self.wake_fitting(run.worker);
        for queue in self.queues.ready_of(team) {
            self.wake(queue);
        }
        Some(run)
    }

    fn run_ended(&mut self, now: Timestamp, run: &TaskRun, end: RunEnd) {
        let Some((r, _)) = self.cell.find_run(run) else {
            return;
        };
        let Some(held) = self.release(r) else {
            return;
        };
        match end {
            RunEnd::Done => self.run_done(now, r, &held),
            RunEnd::Failed => self.run_failed(now, r, &held),
            RunEnd::Checkpointed | RunEnd::Stopped | RunEnd::NeverStarted => {
                self.discard_trial(r, held.worker);
            }
        }
        let open = !self.cell.job(r.job).closed;
        let member_failed = end == RunEnd::Failed && open;
        let partial = end != RunEnd::Failed && end != RunEnd::Done && open;
        if self.is_within_task_count(r) && self.cell.outcome(r.job, end) == Outcome::Restart {
            match end {
                RunEnd::Failed | RunEnd::Done => self.back_off(now, r),
                _ => self.cell.requeue_task(r),
            }
        }
        if member_failed {
            self.member_lost(r);
        }
        if partial {
            self.stop_partial_gang(r.job);
        }
        self.enqueue(r.job);
        self.remove_if_finished(r.job);
    }

    /// Stops a gang that lost a run to a refused start, a drain or a preemption, so that it
    /// restarts as a whole. This does not count as a member loss, which could fail the job.
    fn stop_partial_gang(&mut self, ix: JobIx) {
        let spec = &self.cell.job(ix).spec;
        if spec.class == WorkClass::Gang && spec.on_member_loss != MemberLoss::Replace {
            self.stop_all(ix, StopReason::GangBroken);
        }
    }

    /// Whether the task is within the job's current number of tasks.
    fn is_within_task_count(&self, r: RunRef) -> bool {
        r.index < self.cell.job(r.job).spec.tasks
    }

    fn run_lost(&mut self, run: &TaskRun, restart: bool) {
        let Some((r, _)) = self.cell.find_run(run) else {
            return;
        };
        let Some(held) = self.release(r) else {
            return;
        };
        self.discard_trial(r, held.worker);
        if restart && self.is_within_task_count(r) && !self.cell.job(r.job).closed {
            self.cell.requeue_task(r);
        }
        if !self.cell.job(r.job).closed {
            self.member_lost(r);
        }
        self.enqueue(r.job);
        self.remove_if_finished(r.job);
    }

    /// Undoes a start that was refused; its attempt number is used again.
    fn start_refused(&mut self, now: Timestamp, run: &TaskRun) {
        let Some((r, _)) = self.cell.find_run(run) else {
            return;
        };
        let Some(held) = self.release(r) else {
            return;
        };
        self.discard_trial(r, held.worker);
        let job = self.cell.job_mut(r.job);
        job.tasks[r.index as usize].attempt -= 1;
        if !job.closed && r.index < job.spec.tasks {
            self.back_off_until(now + REFUSED_START_DELAY, r);
            self.stop_partial_gang(r.job);
        }
        self.remove_if_finished(r.job);
    }

    /// Applies a gang's `on_member_loss` rule after one of its runs failed or was lost.
    fn member_lost(&mut self, r: RunRef) {
        let job = self.cell.job(r.job);
        if job.spec.class != WorkClass::Gang {
            return;
        }
        let name = job.spec.name.clone();
        let can_restart = rules::preemptible(&job.spec);
        match job.spec.on_member_loss {
            MemberLoss::Replace => {}
            MemberLoss::RestartAll if can_restart => {
                self.stop_all(r.job, StopReason::GangBroken);
            }
            MemberLoss::RestartAll => {
                let reason = format!(
                    "task {} of the gang was lost and its tasks may not start twice",
                    r.index
                );
                self.fail_job(r.job, name, reason);
            }
            MemberLoss::Fail => {
                let reason = format!("task {} of the gang was lost", r.index);
                self.fail_job(r.job, name, reason);
            }
        }
    }

    /// Fails a job for good and stops the runs of a gang.
    pub(crate) fn fail_job(&mut self, ix: JobIx, job: crate::ids::JobName, reason: String) {
        self.dequeue(ix);
        self.drop_job_holds(ix);
        self.pending.push(Decision::FailJob { job, reason });
        self.cell.job_mut(ix).closed = true;
        if self.cell.job(ix).spec.class == WorkClass::Gang {
            self.stop_all(ix, StopReason::GangBroken);
        }
    }

    /// Puts a task into backoff until the given time.
    pub(crate) fn back_off_until(&mut self, at: Timestamp, r: RunRef) {
        let job = self.cell.job_mut(r.job);
        job.tasks[r.index as usize].phase = Phase::Backoff;
        job.backing_off += 1;
        let seq = job.seq;
        self.backoff.push(Reverse((at, r.job, seq, r.index)));
    }

    /// Requeues the tasks whose backoff has ended.
    pub(crate) fn end_backoffs(&mut self, now: Timestamp) {
        while let Some(&Reverse((at, job, seq, index))) = self.backoff.peek() {
            if at > now {
                return;
            }
            self.backoff.pop();
            let found = self.cell.jobs[job as usize].as_mut();
            let Some(found) = found.filter(|j| j.seq == seq) else {
                continue;
            };
            if !matches!(found.tasks[index as usize].phase, Phase::Backoff) {
                continue;
            }
            found.backing_off -= 1;
            found.tasks[index as usize].phase = Phase::Ended;
            if !found.closed && index < found.spec.tasks {
                self.cell.requeue_task(RunRef { job, index });
                self.enqueue(job);
            }
            self.remove_if_finished(job);
        }
    }
}
