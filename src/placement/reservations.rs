//! Room held for one job: by reservation for a gang or a large task that waits long, and for a
//! task whose room is being made by preemption.
//!
//! At most one job has a reservation. Two gangs that each hold half of what the other needs
//! would wait for ever; with one reservation the first one starts, then the other gets its turn.

use std::time::Duration;

use super::queues::QueueIx;
use super::records::{Hold, JobIx, RunRef, Worker, WorkerIx};
use super::scheduler::Scheduler;
use super::search;
use crate::ids::Timestamp;
use crate::resources::Resources;
use crate::workload::{Band, WorkClass};

/// Time a gang waits before room is held for it.
const GANG_PATIENCE: Duration = Duration::from_secs(1);
/// Time a single task waits before room is held for it.
const TASK_PATIENCE: Duration = Duration::from_secs(10);
/// Time past its expected start after which a reservation is planned anew.
const OVERDUE: Duration = Duration::from_secs(30);
/// A run that is late is expected to take this part of its time so far again.
const LATE_PART: u32 = 4;

/// Room held for the job that has waited longest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    pub(crate) job: JobIx,
    pub(crate) seq: u64,
    pub(crate) band: Band,
    /// When the job is expected to start.
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

    /// Holds a worker on which runs were stopped for a task of the job.
    pub(crate) fn claim(&mut self, ix: WorkerIx, job: JobIx) {
        let band = self.cell.job(job).spec.band;
        self.cell.job_mut(job).claims += 1;
        let hold = Hold {
            job,
            band,
            until: Timestamp::ZERO,
            claim: true,
        };
        self.hold(ix, hold);
    }

    /// Lets a worker's room be used by all again.
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
            job.claims = job.claims.saturating_sub(u32::from(hold.claim));
        }
        self.cell.reindex(ix);
        self.wake_for(ix);
    }

    /// Lets go of everything held for a job.
    pub(crate) fn drop_holds_of(&mut self, job: JobIx) {
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

    /// Notes that a task of the job started on a worker, perhaps one held for it.
    pub(crate) fn use_hold(&mut self, job: JobIx, ix: WorkerIx) {
        if self.cell.job(job).waiting.is_empty() {
            self.drop_holds_of(job);
        } else if self.cell.worker(ix).hold.is_some_and(|h| h.job == job) {
            self.drop_hold(ix);
        }
    }

    /// Drops what is held for nothing, and plans for the job that has waited longest.
    pub(crate) fn review_holds(&mut self, now: Timestamp) {
        self.drop_idle_claims();
        self.drop_stale_reservation(now);
        let Some((job, waits_for)) = self.most_patient(now) else {
            return;
        };
        let later = match self.reservation {
            None => true,
            Some(r) => r.job != job && waits_for > r.band,
        };
        if later {
            if let Some(old) = self.reservation {
                self.drop_holds_of(old.job);
            }
            self.plan(now, job);
        }
    }

    /// A claim is idle when nothing on its worker is being stopped any more and the job, which
    /// was tried when the last run ended, still did not start.
    fn drop_idle_claims(&mut self) {
        for ix in self.held.clone() {
            let worker = self.cell.worker(ix);
            let idle = worker.hold.is_some_and(|h| h.claim) && !self.is_emptying(worker);
            if idle {
                self.drop_hold(ix);
            }
        }
    }

    fn is_emptying(&self, worker: &Worker) -> bool {
        worker.runs.iter().any(|&r| self.is_ending(r))
    }

    fn drop_stale_reservation(&mut self, now: Timestamp) {
        let Some(r) = self.reservation else {
            return;
        };
        let known = self.cell.jobs[r.job as usize].as_ref();
        let known = known.filter(|j| j.seq == r.seq && !j.waiting.is_empty());
        let Some(job) = known else {
            self.reservation = None;
            return;
        };
        let head = job
            .queue
            .is_some_and(|q| self.queues.get(q).head() == Some(r.job));
        if !head || job.holds == 0 || now > r.starts.saturating_add(OVERDUE) {
            self.drop_holds_of(r.job);
        }
    }

    /// The blocked head of a queue that has waited longest in the latest band.
    fn most_patient(&self, now: Timestamp) -> Option<(JobIx, Band)> {
        // A single task that is only kept from the room for quick work gets its turn when
        // there is more room; a reservation would take that room after all. A gang may need so
        // much room at once that its turn would never come.
        let heads = self.queues.blocked.iter();
        let waiting = heads.filter_map(|&q: &QueueIx| {
            let head = self.queues.get(q).head()?;
            let gang = self.cell.job(head).spec.class == WorkClass::Gang;
            (gang || !self.held_back.contains(&q)).then_some(head)
        });
        waiting
            .filter(|&ix| {
                let job = self.cell.job(ix);
                let patience = match job.spec.class {
                    WorkClass::Gang => GANG_PATIENCE,
                    _ => TASK_PATIENCE,
                };
                let whole = job.spec.class != WorkClass::Gang || job.backing_off == 0;
                whole && job.claims == 0 && now.saturating_sub(job.at) >= patience
            })
            .map(|ix| (ix, self.cell.job(ix)))
            .max_by_key(|(_, job)| {
                let oldest = std::cmp::Reverse((job.order, job.seq));
                (job.spec.band, oldest)
            })
            .map(|(ix, job)| (ix, job.spec.band))
    }

    /// Holds the workers on which the job is expected to fit first.
    fn plan(&mut self, now: Timestamp, ix: JobIx) {
        let job = self.cell.job(ix);
        let spec = job.spec.clone();
        let n = match spec.class {
            WorkClass::Gang => job.waiting.len(),
            _ => 1,
        };
        let (seq, band) = (job.seq, spec.band);
        let need = self.grant_for(now, ix);
        let mut places = Vec::new();
        for (w, worker) in self.cell.iter_workers() {
            let group = worker
                .slot
                .group
                .map(|g| &self.cell.index.groups[g as usize]);
            let suits = group.is_some_and(|g| search::group_suits(&spec, &need, g));
            if suits && worker.open() && worker.hold.is_none() {
                self.places_on(now, w, worker, &need, &mut places);
            }
        }
        places.sort_unstable();
        let Some(&(starts, _)) = places.get(n.saturating_sub(1)) else {
            return;
        };
        let mut workers: Vec<WorkerIx> = places[..n].iter().map(|&(_, w)| w).collect();
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
                claim: false,
            };
            self.hold(w, hold);
        }
        if let Some(queue) = self.cell.job(ix).queue {
            self.wake(queue);
        }
    }

    /// Adds the times at which one more task of the need fits on a worker.
    fn places_on(
        &self,
        now: Timestamp,
        ix: WorkerIx,
        worker: &Worker,
        need: &Resources,
        places: &mut Vec<(Timestamp, WorkerIx)>,
    ) {
        let mut ends: Vec<(Timestamp, Resources)> = worker
            .runs
            .iter()
            .filter_map(|&r| self.ends_with(now, r))
            .collect();
        ends.sort_unstable_by_key(|&(at, _)| at);
        let mut room = worker.room();
        let mut fitted = need.times_in(&room);
        places.extend((0..fitted).map(|_| (now, ix)));
        for (at, granted) in ends {
            room = room.saturating_add(&granted);
            let fits = need.times_in(&room);
            places.extend((fitted..fits).map(|_| (at, ix)));
            fitted = fitted.max(fits);
        }
    }

    /// When a run is expected to end, and what it gives back; none for long-running ones.
    fn ends_with(&self, now: Timestamp, r: RunRef) -> Option<(Timestamp, Resources)> {
        let job = self.cell.job(r.job);
        let run = job.tasks[r.index as usize].run()?;
        if job.long_running() {
            return None;
        }
        let takes = self.expected_run_time(r.job);
        let end = run.since.saturating_add(takes);
        Some((end_from_now(now, run.since, end), run.granted))
    }
}

/// When a run that began at `since` and was expected to end at `end` is expected to end now: one
/// that took longer than that goes on for a part of what it took.
pub(crate) fn end_from_now(now: Timestamp, since: Timestamp, end: Timestamp) -> Timestamp {
    if end > now {
        return end;
    }
    now + now.saturating_sub(since) / LATE_PART
}
