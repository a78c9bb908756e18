//! The cell as the placer sees it: workers, jobs and what is granted.

use std::collections::HashMap;
use std::sync::Arc;

use super::classes::{ClassIndex, Slot};
use super::interface::{RestoredTask, TaskState};
use super::records::{BANDS, Ending, Job, JobIx, Place, Run, RunRef, Task, Worker, WorkerIx};
use super::rules;
use crate::ids::{JobName, RackName, TaskIndex, Timestamp, WorkerId, ZoneName};
use crate::resources::Resources;
use crate::workload::{JobSpec, RunEnd, Spread, TaskId, TaskRun, WorkerSpec};

/// What became of a task whose run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It may start again.
    Again,
    /// It will not start again.
    Over,
}

/// Workers, jobs and runs.
#[derive(Debug, Default)]
pub(crate) struct Cell {
    pub(crate) workers: Vec<Option<Worker>>,
    spare_workers: Vec<WorkerIx>,
    worker_ix: HashMap<WorkerId, WorkerIx>,
    pub(crate) jobs: Vec<Option<Job>>,
    spare_jobs: Vec<JobIx>,
    job_ix: HashMap<JobName, JobIx>,
    racks: HashMap<(ZoneName, RackName), u32>,
    zones: HashMap<ZoneName, u32>,
    pub(crate) index: ClassIndex,
    next_seq: u64,
    /// Capacity of all workers that are up.
    pub(crate) total: Resources,
    /// Granted on all workers.
    pub(crate) used: Resources,
    /// The ordinary size of a quick task; nothing while there is none.
    quick_shape: Resources,
    /// Quick tasks that would fit into the room of all open workers.
    pub(crate) quick_slots: u64,
}

impl Cell {
    pub(crate) fn worker(&self, ix: WorkerIx) -> &Worker {
        self.workers[ix as usize].as_ref().expect("live worker")
    }

    pub(crate) fn worker_mut(&mut self, ix: WorkerIx) -> &mut Worker {
        self.workers[ix as usize].as_mut().expect("live worker")
    }

    pub(crate) fn job(&self, ix: JobIx) -> &Job {
        self.jobs[ix as usize].as_ref().expect("live job")
    }

    pub(crate) fn job_mut(&mut self, ix: JobIx) -> &mut Job {
        self.jobs[ix as usize].as_mut().expect("live job")
    }

    pub(crate) fn find_worker(&self, id: &WorkerId) -> Option<WorkerIx> {
        self.worker_ix.get(id).copied()
    }

    pub(crate) fn find_job(&self, name: &JobName) -> Option<JobIx> {
        self.job_ix.get(name).copied()
    }

    /// All workers in the order of their table.
    pub(crate) fn iter_workers(&self) -> impl Iterator<Item = (WorkerIx, &Worker)> {
        let known = self.workers.iter().enumerate();
        known.filter_map(|(i, w)| w.as_ref().map(|w| (i as WorkerIx, w)))
    }

    /// Adds a worker, or takes in its new shape.
    pub(crate) fn worker_up(&mut self, spec: WorkerSpec) -> WorkerIx {
        let zones = self.zones.len() as u32;
        let zone = *self.zones.entry(spec.zone.clone()).or_insert(zones);
        let racks = self.racks.len() as u32;
        let place = (spec.zone.clone(), spec.rack.clone());
        let rack = *self.racks.entry(place).or_insert(racks);
        if let Some(ix) = self.find_worker(&spec.id) {
            self.reshape(ix, spec, zone, rack);
            return ix;
        }
        let id = spec.id.clone();
        self.total = self.total.saturating_add(&spec.capacity);
        let worker = Worker {
            up: true,
            free: spec.capacity,
            spec,
            overuse: Resources::ZERO,
            runs: Vec::new(),
            preemptible: [Resources::ZERO; BANDS],
            drain: None,
            quarantine: None,
            hold: None,
            failed_here: Vec::new(),
            zone,
            rack,
            slot: Slot::default(),
            quick_slots: 0,
        };
        let ix = match self.spare_workers.pop() {
            Some(ix) => {
                self.workers[ix as usize] = Some(worker);
                ix
            }
            None => {
                self.workers.push(Some(worker));
                (self.workers.len() - 1) as WorkerIx
            }
        };
        self.worker_ix.insert(id, ix);
        self.reindex(ix);
        ix
    }

    fn reshape(&mut self, ix: WorkerIx, spec: WorkerSpec, zone: u32, rack: u32) {
        let granted = self.granted_on(ix);
        let worker = self.workers[ix as usize].as_mut().expect("live worker");
        if worker.up {
            self.total = self.total.saturating_sub(&worker.spec.capacity);
        }
        self.total = self.total.saturating_add(&spec.capacity);
        worker.up = true;
        worker.free = spec.capacity.saturating_sub(&granted);
        worker.spec = spec;
        worker.zone = zone;
        worker.rack = rack;
        self.reindex(ix);
    }

    fn granted_on(&self, ix: WorkerIx) -> Resources {
        let runs = self.worker(ix).runs.iter();
        runs.filter_map(|r| self.job(r.job).tasks[r.index as usize].run())
            .fold(Resources::ZERO, |sum, run| sum.saturating_add(&run.granted))
    }

    /// Takes a worker out; its runs are reported one by one.
    pub(crate) fn worker_down(&mut self, id: &WorkerId) -> Option<WorkerIx> {
        let ix = self.find_worker(id)?;
        let worker = self.workers[ix as usize].as_mut().expect("live worker");
        if worker.up {
            worker.up = false;
            self.total = self.total.saturating_sub(&worker.spec.capacity);
        }
        worker.hold = None;
        self.reindex(ix);
        self.forget_worker_if_empty(ix);
        Some(ix)
    }

    fn forget_worker_if_empty(&mut self, ix: WorkerIx) {
        let worker = self.worker(ix);
        if worker.up || !worker.runs.is_empty() {
            return;
        }
        let id = worker.spec.id.clone();
        debug_assert_eq!(worker.quick_slots, 0, "a worker that is down has no slots");
        if let Some(group) = worker.slot.group {
            self.index.groups[group as usize].known -= 1;
        }
        self.worker_ix.remove(&id);
        self.workers[ix as usize] = None;
        self.spare_workers.push(ix);
    }

    /// Moves a worker to the class of its present state.
    pub(crate) fn reindex(&mut self, ix: WorkerIx) {
        let worker = self.workers[ix as usize].as_mut().expect("live worker");
        let room = (worker.open() && worker.hold.is_none()).then(|| worker.room());
        // Quick work may use room that is held for ordinary work.
        let slots = if worker.open() && self.quick_shape != Resources::ZERO {
            self.quick_shape.times_in(&worker.room())
        } else {
            0
        };
        let before = std::mem::replace(&mut worker.quick_slots, slots);
        self.quick_slots = self.quick_slots + u64::from(slots) - u64::from(before);
        let slot = self.index.place(ix, worker.slot, &worker.spec, room);
        worker.slot = slot.slot;
        if let Some((moved, pos)) = slot.moved {
            self.worker_mut(moved).slot.pos = pos;
        }
    }

    /// Changes the size of a quick task, and counts anew how many would fit.
    pub(crate) fn set_quick_shape(&mut self, shape: Resources) {
        self.quick_shape = shape;
        for ix in 0..self.workers.len() {
            if self.workers[ix].is_some() {
                self.reindex(ix as WorkerIx);
            }
        }
    }

    /// Adds a job; one already known by this name is left as it is.
    pub(crate) fn add_job(&mut self, spec: Arc<JobSpec>, at: Timestamp) -> Option<JobIx> {
        if self.job_ix.contains_key(&spec.name) {
            return None;
        }
        let n = spec.tasks;
        self.next_seq += 1;
        let name = spec.name.clone();
        let job = Job {
            spec,
            at,
            seq: self.next_seq,
            version: 0,
            tasks: vec![Task::FRESH; n as usize],
            waiting: (0..n).rev().collect(),
            backing_off: 0,
            running: 0,
            closed: false,
            never: None,
            failed_on: Vec::new(),
            claims: 0,
            holds: 0,
            queue: None,
            order: at,
            domains: HashMap::new(),
        };
        let ix = match self.spare_jobs.pop() {
            Some(ix) => {
                self.jobs[ix as usize] = Some(job);
                ix
            }
            None => {
                self.jobs.push(Some(job));
                (self.jobs.len() - 1) as JobIx
            }
        };
        self.job_ix.insert(name, ix);
        Some(ix)
    }

    /// Takes in a job with the state of its tasks.
    pub(crate) fn restore_job(
        &mut self,
        spec: Arc<JobSpec>,
        at: Timestamp,
        tasks: &[RestoredTask],
    ) -> Option<JobIx> {
        let ix = self.add_job(spec, at)?;
        for restored in tasks {
            self.restore_task(ix, restored);
        }
        let job = self.job_mut(ix);
        let known = &job.tasks;
        job.waiting
            .retain(|&i| matches!(known[i as usize].place, Place::Waiting));
        Some(ix)
    }

    fn restore_task(&mut self, job: JobIx, restored: &RestoredTask) {
        let index = restored.task.index;
        let at = index as usize;
        if at >= self.job(job).tasks.len() {
            let all = &mut self.job_mut(job).tasks;
            let ended = Task {
                place: Place::Ended,
                ..Task::FRESH
            };
            all.resize(at + 1, ended);
        }
        let task = &mut self.job_mut(job).tasks[at];
        task.attempt = restored.attempt;
        task.preemptions = restored.preemptions;
        task.place = match restored.state {
            TaskState::Waiting => Place::Waiting,
            TaskState::Ended | TaskState::Running { .. } => Place::Ended,
        };
        if let TaskState::Running {
            worker,
            granted,
            since,
        } = &restored.state
        {
            let ix = self.worker_for_restored(worker);
            self.occupy(RunRef { job, index }, ix, *granted, *since);
        }
    }

    /// A run may be on a worker that is not known yet: it is kept as one that is down, so that
    /// the grant is not forgotten and the loss of the run still finds it.
    fn worker_for_restored(&mut self, id: &WorkerId) -> WorkerIx {
        if let Some(ix) = self.find_worker(id) {
            return ix;
        }
        let spec = WorkerSpec {
            id: id.clone(),
            ..WorkerSpec::default()
        };
        let ix = self.worker_up(spec);
        self.worker_mut(ix).up = false;
        self.reindex(ix);
        ix
    }

    /// Removes a job of which nothing is left.
    pub(crate) fn remove_job(&mut self, ix: JobIx) -> Option<Job> {
        let job = self.jobs[ix as usize].take()?;
        self.job_ix.remove(&job.spec.name);
        self.spare_jobs.push(ix);
        Some(job)
    }

    /// Starts a task that was taken off its job's waiting list.
    pub(crate) fn start(
        &mut self,
        r: RunRef,
        worker: WorkerIx,
        granted: Resources,
        now: Timestamp,
    ) -> TaskRun {
        self.job_mut(r.job).tasks[r.index as usize].attempt += 1;
        self.occupy(r, worker, granted, now);
        self.task_run(r)
    }

    /// The name of a task's latest start.
    pub(crate) fn task_run(&self, r: RunRef) -> TaskRun {
        let job = self.job(r.job);
        TaskRun {
            task: TaskId {
                job: job.spec.name.clone(),
                index: r.index,
            },
            attempt: job.tasks[r.index as usize].attempt,
        }
    }

    fn occupy(&mut self, r: RunRef, worker_ix: WorkerIx, granted: Resources, since: Timestamp) {
        let job = self.jobs[r.job as usize].as_mut().expect("live job");
        let worker = self.workers[worker_ix as usize].as_mut().expect("worker");
        job.running += 1;
        if job.spec.spread != Spread::None {
            let domain = worker.domain(worker_ix, job.spec.spread);
            *job.domains.entry(domain).or_default() += 1;
        }
        job.tasks[r.index as usize].place = Place::Running(Run {
            worker: worker_ix,
            granted,
            since,
            over: Resources::ZERO,
            ending: Ending::No,
            throttled: false,
            version: job.version,
        });
        worker.free = worker.free.saturating_sub(&granted);
        worker.runs.push(r);
        if rules::preemptible(&job.spec) {
            let band = &mut worker.preemptible[job.spec.band as usize];
            *band = band.saturating_add(&granted);
        }
        self.used = self.used.saturating_add(&granted);
        self.reindex(worker_ix);
    }

    /// Finds the run of an event, if it is the task's latest and still holds its worker.
    pub(crate) fn find_run(&self, run: &TaskRun) -> Option<(RunRef, Run)> {
        let job = self.find_job(&run.task.job)?;
        let task = self.job(job).tasks.get(run.task.index as usize)?;
        if task.attempt != run.attempt {
            return None;
        }
        let index = run.task.index;
        task.run().map(|found| (RunRef { job, index }, *found))
    }

    /// Frees what a run holds. The task is left as ended.
    pub(crate) fn release(&mut self, r: RunRef) -> Option<Run> {
        let job = self.jobs[r.job as usize].as_mut()?;
        let task = &mut job.tasks[r.index as usize];
        let run = *task.run()?;
        task.place = Place::Ended;
        job.running -= 1;
        let worker = self.workers[run.worker as usize].as_mut().expect("worker");
        if job.spec.spread != Spread::None {
            let domain = worker.domain(run.worker, job.spec.spread);
            if let Some(n) = job.domains.get_mut(&domain) {
                *n = n.saturating_sub(1);
            }
        }
        worker.runs.retain(|other| *other != r);
        worker.overuse = worker.overuse.saturating_sub(&run.over);
        if rules::preemptible(&job.spec) {
            let band = &mut worker.preemptible[job.spec.band as usize];
            *band = band.saturating_sub(&run.granted);
        }
        self.used = self.used.saturating_sub(&run.granted);
        self.refill(run.worker);
        Some(run)
    }

    fn refill(&mut self, ix: WorkerIx) {
        let granted = self.granted_on(ix);
        let worker = self.worker_mut(ix);
        worker.free = worker.spec.capacity.saturating_sub(&granted);
        self.reindex(ix);
        self.forget_worker_if_empty(ix);
    }

    /// Puts an ended task back among the waiting.
    pub(crate) fn wait_again(&mut self, r: RunRef) {
        let job = self.job_mut(r.job);
        job.tasks[r.index as usize].place = Place::Waiting;
        job.waiting.push(r.index);
    }

    /// Says whether a task may start again after a run ended so.
    pub(crate) fn outcome(&self, job: JobIx, end: RunEnd) -> Outcome {
        let job = self.job(job);
        if !job.closed && rules::may_start_again(&job.spec, end) {
            Outcome::Again
        } else {
            Outcome::Over
        }
    }

    /// Changes the number of tasks; returns the runs that are not wanted any more.
    pub(crate) fn resize(&mut self, ix: JobIx, tasks: u32) -> Vec<RunRef> {
        let job = self.job_mut(ix);
        let before = job.spec.tasks;
        let mut spec = (*job.spec).clone();
        spec.tasks = tasks;
        job.spec = Arc::new(spec);
        job.waiting.retain(|&i| i < tasks);
        let known = tasks.min(job.tasks.len() as u32);
        for index in before.min(known)..known {
            let task = &mut job.tasks[index as usize];
            if matches!(task.place, Place::Ended) {
                task.place = Place::Waiting;
                job.waiting.push(index);
            }
        }
        for index in job.tasks.len() as u32..tasks {
            job.tasks.push(Task::FRESH);
            job.waiting.push(index);
        }
        let extra = job.tasks.iter_mut().enumerate().skip(tasks as usize);
        let mut unwanted = Vec::new();
        for (i, task) in extra {
            match task.place {
                Place::Waiting => task.place = Place::Ended,
                Place::Running(_) => unwanted.push(RunRef {
                    job: ix,
                    index: i as TaskIndex,
                }),
                Place::Backoff | Place::Ended => {}
            }
        }
        unwanted
    }

    /// Notes what a run uses above its grant.
    pub(crate) fn set_over(&mut self, r: RunRef, over: Resources) {
        let job = self.jobs[r.job as usize].as_mut().expect("live job");
        let Place::Running(run) = &mut job.tasks[r.index as usize].place else {
            return;
        };
        let before = std::mem::replace(&mut run.over, over);
        let ix = run.worker;
        let worker = self.worker_mut(ix);
        worker.overuse = worker.overuse.saturating_sub(&before).saturating_add(&over);
        self.reindex(ix);
    }

    /// Notes that a run was told to use less.
    pub(crate) fn set_throttled(&mut self, r: RunRef) {
        let job = self.job_mut(r.job);
        if let Place::Running(run) = &mut job.tasks[r.index as usize].place {
            run.throttled = true;
        }
    }

    /// Notes that a run was asked to end.
    pub(crate) fn set_ending(&mut self, r: RunRef, ending: Ending) {
        let job = self.job_mut(r.job);
        if let Place::Running(run) = &mut job.tasks[r.index as usize].place {
            run.ending = ending;
        }
    }
}
