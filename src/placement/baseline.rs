//! Two simple schedulers as baselines for comparison.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::cell::{Cell, Outcome};
use super::interface::{Decision, Event, Placer};
use super::records::{Job, JobIx, RunRef, WorkerIx};
use super::search::{self, SearchRequest};
use super::{explain, feasibility};
use crate::ids::{JobName, Timestamp};
use crate::resources::Resources;
use crate::workload::{MemberLoss, RunEnd, TaskRun, WorkClass};

/// Serves jobs in order of arrival and places each task on the first worker with room.
#[derive(Debug, Default)]
pub struct FirstFit {
    state: BaselineState,
}

/// Draws a few workers at random for each task and takes the one with the most room, with a few
/// retries.
#[derive(Debug)]
pub struct RandomOfK {
    state: BaselineState,
    rng: ChaCha8Rng,
    k: usize,
    retries: usize,
}

/// State shared by both baselines: the cell, and the waiting jobs by arrival number.
#[derive(Debug, Default)]
struct BaselineState {
    cell: Cell,
    waiting: BTreeMap<u64, JobIx>,
    pending: Vec<Decision>,
    /// Whether an event has arrived since all waiting jobs were last tried without success.
    changed: bool,
}

impl FirstFit {
    /// Creates a placer without workers and jobs.
    pub fn new() -> Self {
        Self::default()
    }
}

impl RandomOfK {
    /// Creates a placer that draws `k` workers up to `1 + retries` times for each task.
    pub fn new(seed: u64, k: usize, retries: usize) -> Self {
        Self {
            state: BaselineState::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            k,
            retries,
        }
    }
}

impl BaselineState {
    fn apply(&mut self, event: Event) {
        self.changed = true;
        match event {
            Event::WorkerUp(spec) => {
                self.cell.worker_up(spec);
            }
            Event::WorkerDown(id) => {
                self.cell.worker_down(&id);
            }
            Event::DrainStarted { worker, deadline } => self.set_drain(&worker, Some(deadline)),
            Event::DrainEnded(worker) => self.set_drain(&worker, None),
            Event::JobArrived { spec, at } => {
                if let Some(ix) = self.cell.add_job(spec, at) {
                    self.admit(ix);
                }
            }
            Event::JobRestored { spec, at, tasks } => {
                if let Some(ix) = self.cell.restore_job(spec, at, &tasks) {
                    let job = self.cell.job(ix);
                    if job.running > 0 && !job.waiting.is_empty() {
                        self.member_lost(ix);
                    }
                    self.admit(ix);
                }
            }
            Event::JobResized { job, tasks } => {
                if let Some(ix) = self.cell.find_job(&job) {
                    self.cell.resize(ix, tasks);
                    self.queue(ix);
                }
            }
            Event::JobCancelled(job) => self.cancel(&job),
            Event::RunEnded { run, end, .. } => self.run_ended(&run, end),
            Event::RunLost { run, restart, .. } => self.run_lost(&run, restart),
            Event::StartRefused { run, .. } => self.start_refused(&run),
            Event::Policy(_) | Event::Teams(_) | Event::Usage { .. } => {}
        }
    }

    fn set_drain(&mut self, id: &crate::ids::WorkerId, deadline: Option<Timestamp>) {
        if let Some(ix) = self.cell.find_worker(id) {
            self.cell.worker_mut(ix).drain = deadline;
            self.cell.reindex(ix);
        }
    }

    fn admit(&mut self, ix: JobIx) {
        let spec = self.cell.job(ix).spec.clone();
        if let Some(reason) = feasibility::reason(&self.cell, &spec) {
            let job = spec.name.clone();
            self.pending.push(Decision::Unschedulable { job, reason });
            return;
        }
        self.queue(ix);
    }

    fn queue(&mut self, ix: JobIx) {
        let job = self.cell.job(ix);
        if !job.waiting.is_empty() && !job.closed {
            self.waiting.insert(job.seq, ix);
        }
    }

    fn cancel(&mut self, name: &JobName) {
        let Some(ix) = self.cell.find_job(name) else {
            return;
        };
        self.cell.job_mut(ix).closed = true;
        self.waiting.remove(&self.cell.job(ix).seq);
        self.stop_all(ix, super::StopReason::Cancelled);
        self.remove_if_finished(ix);
    }

    fn stop_all(&mut self, ix: JobIx, reason: super::StopReason) {
        for index in 0..self.cell.job(ix).tasks.len() as u32 {
            let task = &self.cell.job(ix).tasks[index as usize];
            let Some(run) = task.run().copied() else {
                continue;
            };
            self.pending.push(Decision::Stop {
                run: self.cell.task_run(RunRef { job: ix, index }),
                worker: self.cell.worker(run.worker).spec.id.clone(),
                how: crate::wire::StopKind::Stop,
                reason,
            });
        }
    }

    fn run_ended(&mut self, run: &TaskRun, end: RunEnd) {
        let Some((r, _)) = self.cell.find_run(run) else {
            return;
        };
        self.cell.release(r);
        if end == RunEnd::Failed {
            self.run_failed(r);
        }
        if self.cell.outcome(r.job, end) == Outcome::Restart && self.is_within_task_count(r) {
            self.cell.requeue_task(r);
        }
        self.queue(r.job);
        self.remove_if_finished(r.job);
    }

    fn is_within_task_count(&self, r: RunRef) -> bool {
        r.index < self.cell.job(r.job).spec.tasks
    }

    fn run_failed(&mut self, r: RunRef) {
        let job = self.cell.job_mut(r.job);
        let task = &mut job.tasks[r.index as usize];
        task.failures += 1;
        if task.failures >= job.spec.max_attempts.max(1) && !job.long_running() {
            job.closed = true;
            let seq = job.seq;
            let name = job.spec.name.clone();
            self.waiting.remove(&seq);
            let reason = format!("task {} failed too often", r.index);
            self.pending.push(Decision::FailJob { job: name, reason });
            return;
        }
        self.member_lost(r.job);
    }

    fn member_lost(&mut self, ix: JobIx) {
        let job = self.cell.job(ix);
        let restarts_whole = job.spec.on_member_loss != MemberLoss::Replace;
        if job.spec.class == WorkClass::Gang && restarts_whole {
            self.stop_all(ix, super::StopReason::GangBroken);
        }
    }

    fn run_lost(&mut self, run: &TaskRun, restart: bool) {
        let Some((r, _)) = self.cell.find_run(run) else {
            return;
        };
        self.cell.release(r);
        if restart && !self.cell.job(r.job).closed && self.is_within_task_count(r) {
            self.cell.requeue_task(r);
        }
        if !self.cell.job(r.job).closed {
            self.member_lost(r.job);
        }
        self.queue(r.job);
        self.remove_if_finished(r.job);
    }

    fn start_refused(&mut self, run: &TaskRun) {
        let Some((r, _)) = self.cell.find_run(run) else {
            return;
        };
        self.cell.release(r);
        self.cell.job_mut(r.job).tasks[r.index as usize].attempt -= 1;
        if !self.cell.job(r.job).closed {
            self.cell.requeue_task(r);
            self.member_lost(r.job);
        }
        self.queue(r.job);
        self.remove_if_finished(r.job);
    }

    fn remove_if_finished(&mut self, ix: JobIx) {
        if self.cell.job(ix).is_finished() {
            self.waiting.remove(&self.cell.job(ix).seq);
            self.cell.remove_job(ix);
        }
    }

    /// Tries every waiting job in order of arrival; `pick` chooses the worker for a task.
    fn decide(
        &mut self,
        now: Timestamp,
        limit: usize,
        out: &mut Vec<Decision>,
        mut pick: impl FnMut(&Cell, JobIx, &Job) -> Option<WorkerIx>,
    ) {
        out.append(&mut self.pending);
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let mut left = limit;
        let jobs: Vec<(u64, JobIx)> = self.waiting.iter().map(|(&s, &ix)| (s, ix)).collect();
        for (seq, ix) in jobs {
            if left == 0 {
                self.changed = true;
                return;
            }
            left = left.saturating_sub(self.try_job(now, ix, left, out, &mut pick));
            if self.cell.job(ix).waiting.is_empty() {
                self.waiting.remove(&seq);
            }
        }
    }

    fn try_job(
        &mut self,
        now: Timestamp,
        ix: JobIx,
        left: usize,
        out: &mut Vec<Decision>,
        pick: &mut impl FnMut(&Cell, JobIx, &Job) -> Option<WorkerIx>,
    ) -> usize {
        if self.cell.job(ix).spec.class == WorkClass::Gang {
            return self.try_gang(now, ix, out);
        }
        let mut started = 0;
        while started < left && !self.cell.job(ix).waiting.is_empty() {
            let Some(worker) = pick(&self.cell, ix, self.cell.job(ix)) else {
                break;
            };
            self.start(now, ix, worker, out);
            started += 1;
        }
        started
    }

    fn try_gang(&mut self, now: Timestamp, ix: JobIx, out: &mut Vec<Decision>) -> usize {
        let job = self.cell.job(ix);
        let replaces = job.spec.on_member_loss == MemberLoss::Replace;
        if job.running > 0 && !replaces {
            return 0;
        }
        let n = job.waiting.len() as u32;
        let req = SearchRequest::new(&self.cell, ix, job.spec.need, Timestamp::MAX);
        let Some(workers) = search::find_gang(&self.cell, &req, n, &[]) else {
            return 0;
        };
        for &worker in &workers {
            self.start(now, ix, worker, out);
        }
        workers.len()
    }

    fn start(&mut self, now: Timestamp, ix: JobIx, worker: WorkerIx, out: &mut Vec<Decision>) {
        let job = self.cell.job_mut(ix);
        let index = job.waiting.pop().expect("waiting task");
        let granted = job.spec.need;
        let run = self
            .cell
            .start(RunRef { job: ix, index }, worker, granted, now);
        out.push(Decision::Start {
            run,
            worker: self.cell.worker(worker).spec.id.clone(),
            granted,
        });
    }
}

/// The room of a worker, if a task of the job fits into it.
fn fits(cell: &Cell, job: &Job, ix: WorkerIx) -> Option<Resources> {
    let worker = cell.workers.get(ix as usize)?.as_ref()?;
    let group = &cell.index.groups[worker.position.group? as usize];
    let room = worker.room();
    let suits = search::group_suits(&job.spec, &job.spec.need, group);
    (worker.open() && suits && job.spec.need.fits_in(&room)).then_some(room)
}

impl Placer for FirstFit {
    fn apply(&mut self, _now: Timestamp, event: Event) {
        self.state.apply(event);
    }

    fn decide(&mut self, now: Timestamp, limit: usize, out: &mut Vec<Decision>) {
        self.state.decide(now, limit, out, |cell, _, job| {
            let all = 0..cell.workers.len() as WorkerIx;
            all.into_iter().find(|&ix| fits(cell, job, ix).is_some())
        });
    }

    fn explain(&self, now: Timestamp, job: &JobName) -> Option<String> {
        explain::explain_without_queues(&self.state.cell, now, job)
    }
}

impl Placer for RandomOfK {
    fn apply(&mut self, _now: Timestamp, event: Event) {
        self.state.apply(event);
    }

    fn decide(&mut self, now: Timestamp, limit: usize, out: &mut Vec<Decision>) {
        let (k, retries) = (self.k, self.retries);
        let rng = &mut self.rng;
        self.state.decide(now, limit, out, |cell, _, job| {
            let n = cell.workers.len() as WorkerIx;
            if n == 0 {
                return None;
            }
            (0..=retries).find_map(|_| {
                let drawn = (0..k).map(|_| rng.random_range(0..n));
                drawn
                    .filter_map(|ix| fits(cell, job, ix).map(|room| (room, ix)))
                    .max()
                    .map(|(_, ix)| ix)
            })
        });
    }

    fn explain(&self, now: Timestamp, job: &JobName) -> Option<String> {
        explain::explain_without_queues(&self.state.cell, now, job)
    }
}
