//! The placer's model of the cell: workers, jobs and grants.

use std::collections::HashMap;
use std::sync::Arc;

use super::classes::{ClassIndex, IndexPosition};
use super::interface::{RestoredTask, TaskState};
use super::records::{
    BANDS, Ending, GangFailures, Job, JobIx, Phase, Run, RunRef, Task, Worker, WorkerIx,
};
use super::rules;
use crate::ids::{JobName, RackName, TaskIndex, Timestamp, WorkerId, ZoneName};
use crate::resources::Resources;
use crate::workload::{JobSpec, RunEnd, Spread, TaskId, TaskRun, WorkerSpec};

/// What follows for a task whose run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The task may start again.
    Restart,
    /// The task will not start again.
    Final,
}

/// The workers, jobs and runs of the cell.
#[derive(Debug, Default)]
pub(crate) struct Cell {
    pub(crate) workers: Vec<Option<Worker>>,
    unused_worker_ixs: Vec<WorkerIx>,
    worker_ix: HashMap<WorkerId, WorkerIx>,
    pub(crate) jobs: Vec<Option<Job>>,
    unused_job_ixs: Vec<JobIx>,
    job_ix: HashMap<JobName, JobIx>,
    racks: HashMap<(ZoneName, RackName), u32>,
    zones: HashMap<ZoneName, u32>,
    pub(crate) index: ClassIndex,
    next_seq: u64,
    /// Sum of the capacities of all workers that are up.
    pub(crate) total: Resources,
    /// Sum of all grants.
    pub(crate) used: Resources,
    /// Average size of a quick task; zero until one has started.
    quick_task_size: Resources,
    /// Number of quick tasks that fit into the room of all open workers.
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

    /// All workers in the order of their indices.
    pub(crate) fn iter_workers(&self) -> impl Iterator<Item = (WorkerIx, &Worker)> {
        let entries = self.workers.iter().enumerate();
        entries.filter_map(|(i, w)| w.as_ref().map(|w| (i as WorkerIx, w)))
    }

    /// Adds a worker, or applies its new specification.
    pub(crate) fn worker_up(&mut self, spec: WorkerSpec) -> WorkerIx {
        let zones = self.zones.len() as u32;
        let zone = *self.zones.entry(spec.zone.clone()).or_insert(zones);
        let racks = self.racks.len() as u32;
        let rack_key = (spec.zone.clone(), spec.rack.clone());
        let rack = *self.racks.entry(rack_key).or_insert(racks);
        if let Some(ix) = self.find_worker(&spec.id) {
            self.update_spec(ix, spec, zone, rack);
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
            recent_failures: Vec::new(),
            zone,
            rack,
            position: IndexPosition::default(),
            quick_slots: 0,
        };
        let ix = match self.unused_worker_ixs.pop() {
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

    fn update_spec(&mut self, ix: WorkerIx, spec: WorkerSpec, zone: u32, rack: u32) {
        let granted = self.sum_grants(ix);
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

    fn sum_grants(&self, ix: WorkerIx) -> Resources {
        let runs = self.worker(ix).runs.iter();
        runs.filter_map(|r| self.job(r.job).tasks[r.index as usize].run())
            .fold(Resources::ZERO, |sum, run| sum.saturating_add(&run.granted))
    }

    /// Marks a worker as down and removes it once it has no runs. The loss of each run is reported
    /// separately.
    pub(crate) fn worker_down(&mut self, id: &WorkerId) -> Option<WorkerIx> {
        let ix = self.find_worker(id)?;
        let worker = self.workers[ix as usize].as_mut().expect("live worker");
        if worker.up {
            worker.up = false;
            self.total = self.total.saturating_sub(&worker.spec.capacity);
        }
        worker.hold = None;
        self.reindex(ix);
        self.remove_if_down_and_empty(ix);
        Some(ix)
    }

    fn remove_if_down_and_empty(&mut self, ix: WorkerIx) {
        let worker = self.worker(ix);
        if worker.up || !worker.runs.is_empty() {
            return;
        }
        let id = worker.spec.id.clone();
        debug_assert_eq!(worker.quick_slots, 0, "a worker that is down has no slots");
        if let Some(group) = worker.position.group {
            self.index.groups[group as usize].worker_count -= 1;
        }
        self.worker_ix.remove(&id);
        self.workers[ix as usize] = None;
        self.unused_worker_ixs.push(ix);
    }

    /// Updates a worker's class and slots after a change of its room or state.
    pub(crate) fn reindex(&mut self, ix: WorkerIx) {
        let worker = self.workers[ix as usize].as_mut().expect("live worker");
        let room = (worker.open() && worker.hold.is_none()).then(|| worker.room());
        // Quick tasks may use room held for jobs of lower bands.
        let slots = if worker.open() && self.quick_task_size != Resources::ZERO {
            self.quick_task_size.times_in(&worker.room())
        } else {
            0
        };
        let before = std::mem::replace(&mut worker.quick_slots, slots);
        self.quick_slots = self.quick_slots + u64::from(slots) - u64::from(before);
        let update = self.index.update(ix, worker.position, &worker.spec, room);
        worker.position = update.position;
        if let Some((moved, pos)) = update.moved {
            self.worker_mut(moved).position.pos = pos;
        }
    }

    /// Sets the size of a quick task and counts the slots of all workers again.
    pub(crate) fn set_quick_task_size(&mut self, shape: Resources) {
        self.quick_task_size = shape;
        for ix in 0..self.workers.len() {
            if self.workers[ix].is_some() {
                self.reindex(ix as WorkerIx);
            }
        }
    }

    /// Adds a job; `None` if one of this name exists.
    pub(crate) fn add_job(&mut self, spec: Arc<JobSpec>, at: Timestamp) -> Option<JobIx> {
        if self.job_ix.contains_key(&spec.name) {
            return None;
        }
        let n = spec.tasks;
        self.next_seq += 1;
        let name = spec.name.clone();
        let job = Job {
            spec,
            accepted_at: at,
            seq: self.next_seq,
            version: 0,
            tasks: vec![Task::NEW; n as usize],
            gang_failures: GangFailures::default(),
            waiting: (0..n).rev().collect(),
            backing_off: 0,
            running: 0,
            closed: false,
            unschedulable: None,
            failed_on: Vec::new(),
            preemption_holds: 0,
            holds: 0,
            queue: None,
            queue_time: at,
            domains: HashMap::new(),
        };
        let ix = match self.unused_job_ixs.pop() {
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

    /// Adds a job with the restored state of its tasks.
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
        let all_tasks = &job.tasks;
        job.waiting
            .retain(|&i| matches!(all_tasks[i as usize].phase, Phase::Waiting));
        Some(ix)
    }

    fn restore_task(&mut self, job: JobIx, restored: &RestoredTask) {
        let index = restored.task.index;
        let at = index as usize;
        if at >= self.job(job).tasks.len() {
            let all = &mut self.job_mut(job).tasks;
            let ended = Task {
                phase: Phase::Ended,
                ..Task::NEW
            };
            all.resize(at + 1, ended);
        }
        let task = &mut self.job_mut(job).tasks[at];
        task.attempt = restored.attempt;
        task.preemptions = restored.preemptions;
        task.phase = match restored.state {
            TaskState::Waiting => Phase::Waiting,
            TaskState::Ended | TaskState::Running { .. } => Phase::Ended,
        };
        if let TaskState::Running {
            worker,
            granted,
            since,
        } = &restored.state
        {
            let ix = self.find_or_add_down(worker);
            self.add_run(RunRef { job, index }, ix, *granted, *since);
        }
    }

    /// The worker of a restored run. One that has not joined yet is added as down, so that the
    /// grant is counted and the run can be reported lost.
    fn find_or_add_down(&mut self, id: &WorkerId) -> WorkerIx {
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

    /// Removes a job and frees its index for reuse.
    pub(crate) fn remove_job(&mut self, ix: JobIx) -> Option<Job> {
        let job = self.jobs[ix as usize].take()?;
        self.job_ix.remove(&job.spec.name);
        self.unused_job_ixs.push(ix);
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
        self.add_run(r, worker, granted, now);
        self.task_run(r)
    }

    /// Identifies a task's latest start.
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

    fn add_run(&mut self, r: RunRef, worker_ix: WorkerIx, granted: Resources, since: Timestamp) {
        let job = self.jobs[r.job as usize].as_mut().expect("live job");
        let worker = self.workers[worker_ix as usize].as_mut().expect("worker");
        job.running += 1;
        if job.spec.spread != Spread::None {
            let domain = worker.domain(worker_ix, job.spec.spread);
            *job.domains.entry(domain).or_default() += 1;
        }
        job.tasks[r.index as usize].phase = Phase::Running(Run {
            worker: worker_ix,
            granted,
            since,
            excess: Resources::ZERO,
            ending: Ending::NotRequested,
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

    /// Finds the run of an event if it is the task's latest and still holds its grant.
    pub(crate) fn find_run(&self, run: &TaskRun) -> Option<(RunRef, Run)> {
        let job = self.find_job(&run.task.job)?;
        let task = self.job(job).tasks.get(run.task.index as usize)?;
        if task.attempt != run.attempt {
            return None;
        }
        let index = run.task.index;
        task.run().map(|found| (RunRef { job, index }, *found))
    }

    /// Frees a run's grant. The task is left in the phase `Ended`.
    pub(crate) fn release(&mut self, r: RunRef) -> Option<Run> {
        let job = self.jobs[r.job as usize].as_mut()?;
        let task = &mut job.tasks[r.index as usize];
        let run = *task.run()?;
        task.phase = Phase::Ended;
        job.running -= 1;
        let worker = self.workers[run.worker as usize].as_mut().expect("worker");
        if job.spec.spread != Spread::None {
            let domain = worker.domain(run.worker, job.spec.spread);
            if let Some(n) = job.domains.get_mut(&domain) {
                *n = n.saturating_sub(1);
            }
        }
        worker.runs.retain(|other| *other != r);
        worker.overuse = worker.overuse.saturating_sub(&run.excess);
        if rules::preemptible(&job.spec) {
            let band = &mut worker.preemptible[job.spec.band as usize];
            *band = band.saturating_sub(&run.granted);
        }
        self.used = self.used.saturating_sub(&run.granted);
        self.recompute_free(run.worker);
        Some(run)
    }

    fn recompute_free(&mut self, ix: WorkerIx) {
        let granted = self.sum_grants(ix);
        let worker = self.worker_mut(ix);
        worker.free = worker.spec.capacity.saturating_sub(&granted);
        self.reindex(ix);
        self.remove_if_down_and_empty(ix);
    }

    /// Puts an ended task back on its job's waiting list.
    pub(crate) fn requeue_task(&mut self, r: RunRef) {
        let job = self.job_mut(r.job);
        job.tasks[r.index as usize].phase = Phase::Waiting;
        job.waiting.push(r.index);
    }

    /// Whether a task may start again after its run ended in the given way.
    pub(crate) fn outcome(&self, job: JobIx, end: RunEnd) -> Outcome {
        let job = self.job(job);
        if !job.closed && rules::may_restart(&job.spec, end) {
            Outcome::Restart
        } else {
            Outcome::Final
        }
    }

    /// Changes a job's number of tasks; returns the runs beyond the new number.
    pub(crate) fn resize(&mut self, ix: JobIx, tasks: u32) -> Vec<RunRef> {
        let job = self.job_mut(ix);
        let before = job.spec.tasks;
        let mut spec = (*job.spec).clone();
        spec.tasks = tasks;
        job.spec = Arc::new(spec);
        job.waiting.retain(|&i| i < tasks);
        let existing = tasks.min(job.tasks.len() as u32);
        for index in before.min(existing)..existing {
            let task = &mut job.tasks[index as usize];
            if matches!(task.phase, Phase::Ended) {
                task.phase = Phase::Waiting;
                job.waiting.push(index);
            }
        }
        for index in job.tasks.len() as u32..tasks {
            job.tasks.push(Task::NEW);
            job.waiting.push(index);
        }
        let extra = job.tasks.iter_mut().enumerate().skip(tasks as usize);
        let mut unwanted = Vec::new();
        for (i, task) in extra {
            match task.phase {
                Phase::Waiting => task.phase = Phase::Ended,
                Phase::Running(_) => unwanted.push(RunRef {
                    job: ix,
                    index: i as TaskIndex,
                }),
                Phase::Backoff | Phase::Ended => {}
            }
        }
        unwanted
    }

    /// Records a run's usage above its grant.
    pub(crate) fn set_excess(&mut self, r: RunRef, excess: Resources) {
        let job = self.jobs[r.job as usize].as_mut().expect("live job");
        let Phase::Running(run) = &mut job.tasks[r.index as usize].phase else {
            return;
        };
        let before = std::mem::replace(&mut run.excess, excess);
        let ix = run.worker;
        let worker = self.worker_mut(ix);
        worker.overuse = worker
            .overuse
            .saturating_sub(&before)
            .saturating_add(&excess);
        self.reindex(ix);
    }

    /// Records that a run was throttled.
    pub(crate) fn set_throttled(&mut self, r: RunRef) {
        let job = self.job_mut(r.job);
        if let Phase::Running(run) = &mut job.tasks[r.index as usize].phase {
            run.throttled = true;
        }
    }

    /// Records how a run was asked to end.
    pub(crate) fn set_ending(&mut self, r: RunRef, ending: Ending) {
        let job = self.job_mut(r.job);
        if let Phase::Running(run) = &mut job.tasks[r.index as usize].phase {
            run.ending = ending;
        }
    }
}
