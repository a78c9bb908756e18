//! Holds and reservations. A hold keeps the room of one worker for one job. A reservation is the
//! set of holds for a gang or a large task that has waited long; other holds keep room while runs
//! are being preempted for a task.
//!
//! At most one job has a reservation. Two gangs that each hold half of what the other needs
//! would wait forever; with one reservation the first one starts, then the other.

use std::time::Duration;

use super::queues::QueueIx;
use super::records::{Hold, JobIx, RunRef, Worker, WorkerIx};
use super::scheduler::Scheduler;
use super::search;
use crate::ids::Timestamp;
use crate::resources::Resources;
use crate::workload::{Band, WorkClass};

/// Waiting time after which a gang may get a reservation.
const GANG_RESERVATION_DELAY: Duration = Duration::from_secs(1);
/// Waiting time after which a single task may get a reservation.
const TASK_RESERVATION_DELAY: Duration = Duration::from_secs(10);
/// Time past the expected start after which a reservation is dropped and planned again.
const RESERVATION_GRACE: Duration = Duration::from_secs(30);
/// A run past its expected end is expected to go on for its run time so far divided by this.
const LATE_RUN_DIVISOR: u32 = 4;

/// The reservation of a job: the first by band and queue time when the reservation was made. A
/// later choice replaces it only if it is of a higher band.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    pub(crate) job: JobIx,
    pub(crate) seq: u64,
    pub(crate) band: Band,
    /// Expected start of the job.
    pub(crate) starts: Timestamp,
}

impl Scheduler {
    fn hold(&mut self, ix: WorkerIx, hold: Hold) {
        self.drop_hold(ix);
        self.cell.worker_mut(ix).hold = Some(hold);
        self.cell.job_mut(hold.job).holds += 1;
        self.cell.reindex(ix);
        self.held.push(ix);
    }

    /// Holds a worker for a task of the job while the runs preempted for it end.
    pub(crate) fn hold_preempted(&mut self, ix: WorkerIx, job: JobIx) {
        let band = self.cell.job(job).spec.band;
        self.cell.job_mut(job).preemption_holds += 1;
        let hold = Hold {
            job,
            band,
            until: Timestamp::ZERO,
            by_preemption: true,
        };
        self.hold(ix, hold);
    }

    /// Releases the hold on a worker and wakes the queues whose tasks fit there.
    pub(crate) fn drop_hold(&mut self, ix: WorkerIx) {
        let Some(worker) = self.cell.workers[ix as usize].as_mut() else {
            return;
        };
        let Some(hold) = worker.hold.take() else {
            return;
        };
        self.held.retain(|&other| other != ix);
        if let Some(job) = self.cell.jobs[hold.job as usize].as_mut() {
            job.holds = job.holds.saturating_sub(1);
            job.preemption_holds = job
                .preemption_holds
                .saturating_sub(u32::from(hold.by_preemption));
        }
        self.cell.reindex(ix);
        self.wake_fitting(ix);
    }

    /// Releases the job's reservation and all its holds.
    pub(crate) fn drop_job_holds(&mut self, job: JobIx) {
        if self.reservation.is_some_and(|r| r.job == job) {
            self.reservation = None;
        }
        if self.cell.job(job).holds == 0 {
            return;
        }
        for ix in self.held.clone() {
            if self.cell.worker(ix).hold.is_some_and(|h| h.job == job) {
                self.drop_hold(ix);
            }
        }
    }

    /// Updates the job's holds after one of its tasks started on a worker: all are released if no
    /// task is left waiting, else only the one on this worker.
    pub(crate) fn consume_hold(&mut self, job: JobIx, ix: WorkerIx) {
        if self.cell.job(job).waiting.is_empty() {
            self.drop_job_holds(job);
        } else if self.cell.worker(ix).hold.is_some_and(|h| h.job == job) {
            self.drop_hold(ix);
        }
    }

    /// Releases obsolete holds and reserves workers for the next job that may get a
    /// reservation.
    pub(crate) fn update_holds(&mut self, now: Timestamp) {
        self.drop_idle_preemption_holds();
        self.drop_stale_reservation(now);
        let Some((job, job_band)) = self.next_to_reserve(now) else {
            return;
        };
        let replaces = match self.reservation {
            None => true,
            Some(r) => r.job != job && job_band > r.band,
        };
        if replaces {
            if let Some(old) = self.reservation {
                self.drop_job_holds(old.job);
            }
            self.plan(now, job);
        }
    }

    /// Releases holds for preemption on workers where no run is ending any more. The job was tried
    /// when the last run ended and did not start.
    fn drop_idle_preemption_holds(&mut self) {
        for ix in self.held.clone() {
            let worker = self.cell.worker(ix);
            let idle =
                worker.hold.is_some_and(|h| h.by_preemption) && !self.has_ending_runs(worker);
            if idle {
                self.drop_hold(ix);
            }
        }
    }

    fn has_ending_runs(&self, worker: &Worker) -> bool {
        worker.runs.iter().any(|&r| self.is_ending(r))
    }

    fn drop_stale_reservation(&mut self, now: Timestamp) {
        let Some(r) = self.reservation else {
            return;
        };
        let found = self.cell.jobs[r.job as usize].as_ref();
        let found = found.filter(|j| j.seq == r.seq && !j.waiting.is_empty());
        let Some(job) = found else {
            self.reservation = None;
            return;
        };
        let head = job
            .queue
            .is_some_and(|q| self.queues.get(q).head() == Some(r.job));
        if !head || job.holds == 0 || now > r.starts.saturating_add(RESERVATION_GRACE) {
            self.drop_job_holds(r.job);
        }
    }

    /// The job at the head of a blocked queue that may get a reservation: of the highest band, and
    /// within it the first in queue order.
    fn next_to_reserve(&self, now: Timestamp) -> Option<(JobIx, Band)> {
        // A single task blocked only by the headroom for quick tasks starts once there is more
        // room; a reservation would use up that headroom. A gang may need so much room at once
        // that it would never start without one.
        let heads = self.queues.blocked.iter();
        let waiting = heads.filter_map(|&q: &QueueIx| {
            let head = self.queues.get(q).head()?;
            let gang = self.cell.job(head).spec.class == WorkClass::Gang;
            (gang || !self.headroom_blocked.contains(&q)).then_some(head)
        });
        waiting
            .filter(|&ix| {
                let job = self.cell.job(ix);
                let delay = match job.spec.class {
                    WorkClass::Gang => GANG_RESERVATION_DELAY,
                    _ => TASK_RESERVATION_DELAY,
                };
                let gang_complete = job.spec.class != WorkClass::Gang || job.backing_off == 0;
                gang_complete
                    && job.preemption_holds == 0
                    && now.saturating_sub(job.accepted_at) >= delay
            })
            .map(|ix| (ix, self.cell.job(ix)))
            .max_by_key(|(_, job)| {
                let oldest = std::cmp::Reverse((job.queue_time, job.seq));
                (job.spec.band, oldest)
            })
            .map(|(ix, job)| (ix, job.spec.band))
    }

    /// Reserves the workers on which the job is expected to fit first.
    fn plan(&mut self, now: Timestamp, ix: JobIx) {
        let job = self.cell.job(ix);
        let spec = job.spec.clone();
        let n = match spec.class {
            WorkClass::Gang => job.waiting.len(),
            _ => 1,
        };
        let (seq, band) = (job.seq, spec.band);
        let need = self.grant_for(now, ix);
        let mut times = Vec::new();
        for (w, worker) in self.cell.iter_workers() {
            let group = worker
                .position
                .group
                .map(|g| &self.cell.index.groups[g as usize]);
            let suits = group.is_some_and(|g| search::group_suits(&spec, &need, g));
            if suits && worker.open() && worker.hold.is_none() {
                self.fit_times(now, w, worker, &need, &mut times);
            }
        }
        times.sort_unstable();
        let Some(&(starts, _)) = times.get(n.saturating_sub(1)) else {
            return;
        };
        let mut workers: Vec<WorkerIx> = times[..n].iter().map(|&(_, w)| w).collect();
        workers.sort_unstable();
        workers.dedup();
        self.reservation = Some(Reservation {
            job: ix,
            seq,
            band,
            starts,
        });
        for w in workers {
            let hold = Hold {
                job: ix,
                band,
                until: starts,
                by_preemption: false,
            };
            self.hold(w, hold);
        }
        if let Some(queue) = self.cell.job(ix).queue {
            self.wake(queue);
        }
    }

    /// Adds, for each task of this size that will fit on the worker, the time from which it fits.
    fn fit_times(
        &self,
        now: Timestamp,
        ix: WorkerIx,
        worker: &Worker,
        need: &Resources,
        times: &mut Vec<(Timestamp, WorkerIx)>,
    ) {
        let mut ends: Vec<(Timestamp, Resources)> = worker
            .runs
            .iter()
            .filter_map(|&r| self.run_end_and_grant(now, r))
            .collect();
        ends.sort_unstable_by_key(|&(at, _)| at);
        let mut room = worker.room();
        let mut fitted = need.times_in(&room);
        times.extend((0..fitted).map(|_| (now, ix)));
        for (at, granted) in ends {
            room = room.saturating_add(&granted);
            let fits = need.times_in(&room);
            times.extend((fitted..fits).map(|_| (at, ix)));
            fitted = fitted.max(fits);
        }
    }

    /// When a run is expected to end, and what it frees; `None` for long-running ones.
    fn run_end_and_grant(&self, now: Timestamp, r: RunRef) -> Option<(Timestamp, Resources)> {
        let job = self.cell.job(r.job);
        let run = job.tasks[r.index as usize].run()?;
        if job.long_running() {
            return None;
        }
        let takes = self.expected_run_time(r.job);
        let end = run.since.saturating_add(takes);
        Some((expected_end(now, run.since, end), run.granted))
    }
}

/// The expected end at time `now` of a run that began at `since` and was expected to end at
/// `end`. A run past `end` is expected to go on for a fraction of its time so far.
pub(crate) fn expected_end(now: Timestamp, since: Timestamp, end: Timestamp) -> Timestamp {
    if end > now {
        return end;
    }
    now + now.saturating_sub(since) / LATE_RUN_DIVISOR
}
