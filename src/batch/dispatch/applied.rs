//! Updates of the leader's volatile state after a command was committed to the log.

use std::collections::BTreeSet;

use super::job_reasons::end_reason;
use super::ready::remove_job;
use super::run::{Run, RunState};
use super::{Dispatcher, JobId, StepId, TaskId};
use crate::batch::event::Event;
use crate::batch::job_end::JobEndReason;
use crate::batch::ledger::{Batch, Command, Ledger, Start};
use crate::batch::model::{EndKind, Grouping, JobState};
use crate::ids::Timestamp;

impl Dispatcher {
    /// Applies a committed command. `fresh` is whether it changed the ledger; it is false for a
    /// repeated command.
    pub fn applied(&mut self, now: Timestamp, ledger: &Ledger, command: &Command, fresh: bool) {
        match command {
            Command::PutConfig {
                version, parsed, ..
            } => {
                if fresh {
                    self.set_services(parsed);
                    self.set_routes(ledger, parsed);
                    self.refresh_limits(ledger);
                    self.emit(Event::ConfigInForce {
                        version: *version,
                        queues: parsed.queues.len(),
                    });
                }
            }
            Command::Submit {
                job, queue, owner, ..
            } => {
                self.proposal_applied(*job);
                if fresh {
                    self.emit(Event::JobAccepted {
                        job: *job,
                        queue: queue.name.clone(),
                        workspace: owner.clone(),
                        unstarted: ledger.unstarted.len(),
                    });
                    if is_final(ledger, *job) {
                        self.emit(Event::JobArrivedCancelled { job: *job });
                        let reason = JobEndReason::CancelledBeforeArrival;
                        self.job_ended(now, ledger, *job, Some(reason));
                        return;
                    }
                    if let Some(job) = ledger.jobs.get(job) {
                        self.profiles.declared(job);
                    }
                    self.count_submission(ledger, *job);
                    self.record_arrival(now, ledger, *job);
                    self.dirty_jobs.insert(*job);
                    self.schedule_next(ledger, *job);
                }
            }
            Command::Cancel { job } => {
                if fresh {
                    self.job_ended(now, ledger, *job, None);
                }
            }
            Command::CancelUnknown { job, .. } => {
                if fresh && is_final(ledger, *job) {
                    self.job_ended(now, ledger, *job, None);
                }
                self.emit(Event::EarlyCancels(ledger.early_cancels.len()));
            }
            Command::Batch(batch) => self.batch_applied(now, ledger, batch),
        }
    }

    fn batch_applied(&mut self, now: Timestamp, ledger: &Ledger, batch: &Batch) {
        if let Some(seen) = self.uncommitted_ends.pop_front() {
            self.acknowledge(seen);
        }
        self.gang_failures_committed(batch);
        for (number, _) in &batch.joined {
            if let Some(minion) = self.minions.get_mut(number) {
                minion.return_uncommitted = false;
            }
        }
        for end in &batch.ends {
            let key = self.run_key(end.task, end.run);
            let ending = |key: &TaskId| self.runs[key].state == RunState::Ending;
            if let Some(key) = key.filter(ending) {
                self.remove_run(key);
            }
            self.follow_ledger(now, ledger, end.task);
            self.dirty_jobs.insert(end.task.step.job);
        }
        self.emit_counted_attempts(ledger, batch);
        for (job, _) in &batch.due {
            self.dirty_jobs.insert(*job);
            self.schedule_next(ledger, *job);
        }
        for job in self.take_ended_jobs(ledger) {
            self.job_ended(now, ledger, job, None);
        }
        let blocked_starts = self.blocked_starts(&batch.starts, ledger);
        for start in &batch.starts {
            let may_send = !blocked_starts.contains(&start.task);
            self.start_committed(now, ledger, start, may_send);
        }
        for start in &batch.copies {
            self.copy_committed(now, ledger, start);
        }
    }

    fn start_committed(&mut self, now: Timestamp, ledger: &Ledger, start: &Start, may_send: bool) {
        let id = start.task;
        if self.proposed(start).is_none() {
            return;
        }
        let granted = ledger
            .task(id)
            .is_some_and(|task| task.is_active_run(start.run));
        let job = ledger.jobs.get(&id.step.job);
        let open = job.is_some_and(|job| !job.state.is_final());
        if !granted || !open {
            self.remove_run(id);
            return;
        }
        if !may_send {
            self.run_over(now, id, EndKind::NeverStarted, Default::default());
            return;
        }
        self.send_start(now, id, ledger);
        // Once the last task of a step has started, the next step is the one to prepare for.
        if job.is_some_and(|job| job.spec.steps.len() > 1) && !self.ready.contains_key(&id.step) {
            self.dirty_jobs.insert(id.step.job);
        }
    }

    /// Tasks whose starts are committed but must not be sent. The log may take seconds, in which a
    /// minion can shrink, drain or be lost, or a limit be lowered. If this hits one member of a
    /// gang, all its members are blocked, as the others would wait for that member in vain.
    fn blocked_starts(&self, starts: &[Start], ledger: &Ledger) -> BTreeSet<TaskId> {
        let is_refused = |start: &&Start| {
            let run = self.proposed(start);
            run.is_none_or(|run| !self.can_still_start(run))
        };
        let refused = starts.iter().filter(is_refused).map(|start| start.task);
        let refused: BTreeSet<_> = refused.collect();
        let steps = refused.iter().map(|task| task.step);
        let gangs: BTreeSet<_> = steps.filter(|step| is_gang(*step, ledger)).collect();
        let tasks = starts.iter().map(|start| start.task);
        tasks
            .filter(|task| refused.contains(task) || gangs.contains(&task.step))
            .collect()
    }

    /// The tracked run of a start that is still waiting for its commit.
    fn proposed(&self, start: &Start) -> Option<&Run> {
        let run = self.runs.get(&start.task)?;
        (run.run == start.run && run.state == RunState::Proposed).then_some(run)
    }

    /// Whether a run placed earlier still fits its minion and its workspace's limit.
    pub(super) fn can_still_start(&self, run: &Run) -> bool {
        let minion = self.minions.get(&run.minion);
        let fits = minion.is_some_and(|m| m.stays() && m.used.fits_in(&m.report.capacity));
        fits && !self.quotas.is_over(run.owner.as_ref())
    }

    /// Handles the end of a job: removes its waiting state and stops its runs. A reason is given
    /// where the ledger doesn't tell it.
    fn job_ended(
        &mut self,
        now: Timestamp,
        ledger: &Ledger,
        id: JobId,
        reason: Option<JobEndReason>,
    ) {
        self.dirty_jobs.insert(id);
        let Some(job) = ledger.jobs.get(&id) else {
            return;
        };
        let state = match job.state {
            JobState::Done => "done",
            JobState::Failed => "failed",
            _ => "canceled",
        };
        self.emit(Event::JobEnded {
            job: id,
            state,
            reason: reason.unwrap_or_else(|| end_reason(id, job)),
            age: ledger.clock.saturating_sub(job.accepted),
        });
        self.remove_step_advice(id);
        self.excess.remove(id);
        remove_job(&mut self.observed, id);
        let steps = StepId::all_of(id);
        let all = *steps.start().tasks().start()..=*steps.end().tasks().end();
        let tasks: Vec<_> = self.runs.range(all).map(|(id, _)| *id).collect();
        for task in tasks {
            self.stop_run(now, task);
        }
    }
}

pub(super) fn is_final(ledger: &Ledger, job: JobId) -> bool {
    let state = ledger.job_state(job);
    state.is_some_and(|state| state.is_final())
}

pub(super) fn is_gang(step: StepId, ledger: &Ledger) -> bool {
    let job = ledger.jobs.get(&step.job);
    let spec = job.and_then(|job| job.spec.steps.get(usize::from(step.step)));
    spec.is_some_and(|spec| spec.grouping == Grouping::Gang)
}
