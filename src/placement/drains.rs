//! Draining of workers by a deadline, stepwise replacement of runs of older specifications, and the
//! periodic sweep.

use super::interface::{Decision, StopReason};
use super::records::{Ending, RunRef, WorkerIx};
use super::rules;
use super::scheduler::Scheduler;
use crate::ids::{Timestamp, WorkerId};
use crate::wire::StopKind;

impl Scheduler {
    pub(crate) fn start_drain(&mut self, now: Timestamp, id: WorkerId, deadline: Timestamp) {
        if let Some(ix) = self.cell.find_worker(&id) {
            self.drop_hold(ix);
            self.cell.worker_mut(ix).drain = Some(deadline);
            self.cell.reindex(ix);
        }
        self.drains.insert(id, deadline);
        self.next_sweep = now;
    }

    pub(crate) fn end_drain(&mut self, id: &WorkerId) {
        self.drains.remove(id);
        if let Some(ix) = self.cell.find_worker(id) {
            self.cell.worker_mut(ix).drain = None;
            self.cell.reindex(ix);
            self.wake_fitting(ix);
        }
    }

    /// Does the work that depends on time alone.
    pub(crate) fn sweep(&mut self, now: Timestamp, out: &mut Vec<Decision>) {
        self.drain_workers(now);
        self.replace_old_versions();
        self.stop_overdue_checkpoints(now);
        self.update_headroom(now);
        self.update_holds(now);
        self.retry_with_declared_need(now);
        self.start_due_trials(now, out);
        self.retry_making_room(now, out);
        out.append(&mut self.pending);
    }

    fn drain_workers(&mut self, now: Timestamp) {
        let draining: Vec<(WorkerIx, Timestamp)> = self
            .drains
            .iter()
            .filter_map(|(id, &deadline)| Some((self.cell.find_worker(id)?, deadline)))
            .collect();
        for &(ix, deadline) in &draining {
            for r in self.cell.worker(ix).runs.clone() {
                self.drain_run(now, r, deadline);
            }
        }
    }

    /// Moves a run off a draining worker. Long-running tasks move at once, within the job's
    /// `max_unavailable`; others with checkpoints move if they would not finish in time; at the
    /// deadline every run that is left is stopped.
    fn drain_run(&mut self, now: Timestamp, r: RunRef, deadline: Timestamp) {
        if now >= deadline {
            self.stop_run(r, StopKind::Stop, StopReason::Drained);
            return;
        }
        let job = self.cell.job(r.job);
        let Some(run) = job.tasks[r.index as usize].run() else {
            return;
        };
        if run.ending != Ending::NotRequested || !rules::preemptible(&job.spec) {
            return;
        }
        let must_move = if job.long_running() {
            job.unavailable() < job.spec.max_unavailable.max(1)
        } else {
            let ends = run.since.saturating_add(self.expected_run_time(r.job));
            job.spec.checkpoint && ends > deadline
        };
        if must_move {
            self.stop_run(r, StopKind::Checkpoint, StopReason::Drained);
        }
    }

    fn replace_old_versions(&mut self) {
        let mut updating = std::mem::take(&mut self.updating);
        updating.retain(|&(ix, seq)| {
            let found = self.cell.jobs[ix as usize].as_ref();
            found.is_some_and(|job| job.seq == seq && !job.closed) && self.replace_some(ix)
        });
        self.updating = updating;
    }

    /// Stops as many runs of older specifications as `max_unavailable` allows; returns whether any
    /// are left.
    fn replace_some(&mut self, ix: super::records::JobIx) -> bool {
        let job = self.cell.job(ix);
        let limit = job.spec.max_unavailable.max(1) as usize;
        let old: Vec<RunRef> = job
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, t)| t.run().is_some_and(|r| r.version < job.version))
            .map(|(i, _)| RunRef {
                job: ix,
                index: i as u32,
            })
            .collect();
        let may_stop = limit.saturating_sub(job.unavailable() as usize);
        let not_ending: Vec<RunRef> = old
            .iter()
            .copied()
            .filter(|&r| !self.is_ending(r))
            .collect();
        for &r in not_ending.iter().take(may_stop) {
            self.stop_run(r, StopKind::Checkpoint, StopReason::Resized);
        }
        !old.is_empty()
    }
}
