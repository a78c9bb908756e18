//! The cell's workers, jobs and runs as every placer keeps them, without any policy.

use std::collections::HashMap;
use std::sync::Arc;

use super::classes::{ClassIndex, Slot};
use super::interface::{RestoredTask, TaskState};
use super::{rules, search};
use crate::ids::{Attempt, JobName, RackName, TaskIndex, Timestamp, WorkerId, ZoneName};
use crate::resources::Resources;
use crate::workload::{Band, JobSpec, RunEnd, Spread, TaskId, TaskRun, WorkerSpec};

/// Position of a worker in the cell's table.
pub(crate) type WorkerIx = u32;
/// Position of a job in the cell's table.
pub(crate) type JobIx = u32;
/// Number of bands.
pub(crate) const BANDS: usize = 4;

/// A task that runs on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunRef {
    pub(crate) job: JobIx,
    pub(crate) index: TaskIndex,
}

/// Room on a worker that is kept for one job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hold {
    /// The job that may start there.
    pub(crate) job: JobIx,
    /// Its band; a later band may still take the room.
    pub(crate) band: Band,
    /// Other work may start there when it is expected to end by this time.
    pub(crate) until: Timestamp,
    /// Whether runs were stopped to make this room.
    pub(crate) claim: bool,
}

/// Why a worker gets no ordinary work after failures.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quarantine {
    /// When it may try one task.
    pub(crate) trial_at: Timestamp,
    /// Trials that failed.
    pub(crate) failed_trials: u32,
    /// The task it tries now.
    pub(crate) trial: Option<RunRef>,
}

/// A failure counted against a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedTask {
    pub(crate) run: RunRef,
    /// The job's order of arrival, which is never used again.
    pub(crate) seq: u64,
}

/// A worker and what is granted on it.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    pub(crate) up: bool,
    /// Capacity less everything granted.
    pub(crate) free: Resources,
    /// What runs use above their grants, by the latest reports.
    pub(crate) overuse: Resources,
    pub(crate) runs: Vec<RunRef>,
    /// Grants of runs that may be preempted, by band.
    pub(crate) preemptible: [Resources; BANDS],
    pub(crate) drain: Option<Timestamp>,
    pub(crate) quarantine: Option<Quarantine>,
    pub(crate) hold: Option<Hold>,
    /// Tasks of distinct jobs that failed here since the last success.
    pub(crate) failed_here: Vec<FailedTask>,
    pub(crate) zone: u32,
    pub(crate) rack: u32,
    pub(crate) slot: Slot,
    /// Quick tasks that would fit into its room.
    quick_slots: u32,
}

impl Worker {
    /// Room for a new task: never more than what is not granted.
    pub(crate) fn room(&self) -> Resources {
        saturating_sub(&self.free, &self.overuse)
    }

    /// Says whether ordinary work may start here.
    pub(crate) const fn open(&self) -> bool {
        self.up && self.drain.is_none() && self.quarantine.is_none()
    }

    /// The failure domain of a spread rule.
    pub(crate) const fn domain(&self, ix: WorkerIx, spread: Spread) -> u32 {
        match spread {
            Spread::None | Spread::Worker => ix,
            Spread::Rack => self.rack,
            Spread::Zone => self.zone,
        }
    }
}

/// Subtracts each unit, stopping at zero.
pub(crate) fn saturating_sub(a: &Resources, b: &Resources) -> Resources {
    Resources {
        millicores: a.millicores.saturating_sub(b.millicores),
        memory_mb: a.memory_mb.saturating_sub(b.memory_mb),
        accelerators: a.accelerators.saturating_sub(b.accelerators),
    }
}

/// Adds each unit, stopping at the largest number.
pub(crate) fn saturating_add(a: &Resources, b: &Resources) -> Resources {
    Resources {
        millicores: a.millicores.saturating_add(b.millicores),
        memory_mb: a.memory_mb.saturating_add(b.memory_mb),
        accelerators: a.accelerators.saturating_add(b.accelerators),
    }
}

/// Takes the larger of each unit.
pub(crate) fn larger(a: &Resources, b: &Resources) -> Resources {
    Resources {
        millicores: a.millicores.max(b.millicores),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// Whether a run was asked to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// It goes on.
    No,
    /// It saves its state first.
    Saving,
    /// It stops now.
    Stopping,
}

/// A run in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) worker: WorkerIx,
    pub(crate) granted: Resources,
    pub(crate) since: Timestamp,
    /// What it uses above its grant.
    pub(crate) over: Resources,
    pub(crate) ending: Ending,
    pub(crate) throttled: bool,
    /// Version of the job's specification it was started with.
    pub(crate) version: u32,
}

/// Where a task is.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Place {
    Waiting,
    /// Waits until its backoff is over.
    Backoff,
    Running(Run),
    Ended,
}

/// A task of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Task {
    pub(crate) attempt: Attempt,
    pub(crate) failures: u32,
    pub(crate) preemptions: u32,
    pub(crate) place: Place,
}

impl Task {
    const FRESH: Self = Self {
        attempt: 0,
        failures: 0,
        preemptions: 0,
        place: Place::Waiting,
    };

    /// The run in progress, if any.
    pub(crate) const fn run(&self) -> Option<&Run> {
        match &self.place {
            Place::Running(run) => Some(run),
            _ => None,
        }
    }
}

/// A job and its tasks.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) at: Timestamp,
    /// Order of arrival among all jobs.
    pub(crate) seq: u64,
    pub(crate) version: u32,
    pub(crate) tasks: Vec<Task>,
    /// Indices of waiting tasks; the next one to start is last.
    pub(crate) waiting: Vec<TaskIndex>,
    pub(crate) backing_off: u32,
    pub(crate) running: u32,
    /// Nothing of it starts any more.
    pub(crate) closed: bool,
    /// Why it can never run, once that was said.
    pub(crate) never: Option<String>,
    /// Workers on which it failed.
    pub(crate) failed_on: Vec<WorkerIx>,
    /// Tasks for which room is being made by preemption.
    pub(crate) claims: u32,
    /// Workers whose room is held for it.
    pub(crate) holds: u32,
    /// Queue it waits in.
    pub(crate) queue: Option<u32>,
    /// Place in the queue.
    pub(crate) order: Timestamp,
    /// Running tasks by failure domain.
    pub(crate) domains: HashMap<u32, u32>,
}

impl Job {
    /// Says whether nothing of it is left to start or to wait for.
    pub(crate) fn over(&self) -> bool {
        self.running == 0 && (self.closed || (self.waiting.is_empty() && self.backing_off == 0))
    }

    /// Tasks that are not running, or were asked to end.
    pub(crate) fn away(&self) -> u32 {
        let there = |t: &&Task| t.run().is_some_and(|r| r.ending == Ending::No);
        self.spec.tasks - (self.tasks.iter().filter(there).count() as u32).min(self.spec.tasks)
    }

    /// Says whether its tasks are kept running rather than run once.
    pub(crate) fn long_running(&self) -> bool {
        rules::long_running(&self.spec)
    }
}

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
        self.total = saturating_add(&self.total, &spec.capacity);
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
            self.total = saturating_sub(&self.total, &worker.spec.capacity);
        }
        self.total = saturating_add(&self.total, &spec.capacity);
        worker.up = true;
        worker.free = saturating_sub(&spec.capacity, &granted);
        worker.spec = spec;
        worker.zone = zone;
        worker.rack = rack;
        self.reindex(ix);
    }

    fn granted_on(&self, ix: WorkerIx) -> Resources {
        let runs = self.worker(ix).runs.iter();
        runs.filter_map(|r| self.job(r.job).tasks[r.index as usize].run())
            .fold(Resources::ZERO, |sum, run| {
                saturating_add(&sum, &run.granted)
            })
    }

    /// Takes a worker out; its runs are reported one by one.
    pub(crate) fn worker_down(&mut self, id: &WorkerId) -> Option<WorkerIx> {
        let ix = self.find_worker(id)?;
        let worker = self.workers[ix as usize].as_mut().expect("live worker");
        if worker.up {
            worker.up = false;
            self.total = saturating_sub(&self.total, &worker.spec.capacity);
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
            search::times(&self.quick_shape, &worker.room())
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
        worker.free = saturating_sub(&worker.free, &granted);
        worker.runs.push(r);
        if rules::preemptible(&job.spec) {
            let band = &mut worker.preemptible[job.spec.band as usize];
            *band = saturating_add(band, &granted);
        }
        self.used = saturating_add(&self.used, &granted);
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
        worker.overuse = saturating_sub(&worker.overuse, &run.over);
        if rules::preemptible(&job.spec) {
            let band = &mut worker.preemptible[job.spec.band as usize];
            *band = saturating_sub(band, &run.granted);
        }
        self.used = saturating_sub(&self.used, &run.granted);
        self.refill(run.worker);
        Some(run)
    }

    fn refill(&mut self, ix: WorkerIx) {
        let granted = self.granted_on(ix);
        let worker = self.worker_mut(ix);
        worker.free = saturating_sub(&worker.spec.capacity, &granted);
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
        worker.overuse = saturating_add(&saturating_sub(&worker.overuse, &before), &over);
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
