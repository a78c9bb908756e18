//! Starting tasks, ordering runs to stop, and recording how runs ended.

use super::{Place, PlaceJob, Reply, RunOrder, WorkerReport};
use crate::ids::{Attempt, TaskIndex};
use crate::placement::{Event, StopReason};
use crate::resources::Resources;
use crate::state::Cell;
use crate::state::records::{
    JobNumber, JobRecord, RunningTask, TaskPhase, Verdict, WorkerNumber, WorkerRecord,
};
use crate::wire::StopKind;
use crate::workload::{RunEnd, TaskId, TaskRun};

impl Cell {
    pub(super) fn place(&mut self, place: &Place) -> Reply {
        for group in &place.jobs {
            self.place_job(group);
        }
        Reply::Ok
    }

    fn place_job(&mut self, group: &PlaceJob) {
        let mut index: TaskIndex = 0;
        for start in &group.starts {
            index += start.step;
            if !self.start_task(group.job, index, start.worker, group.granted) {
                self.emit_start_refused(group.job, index, start.worker);
            }
        }
    }

    /// Grants resources of a worker to a task. Returns `false` and changes nothing if the worker's
    /// capacity would be exceeded or the task isn't waiting.
    ///
    /// The placer checks the same before it proposes a start, but its state may be older than
    /// this entry of the log, so this check on every replica is the authoritative one.
    fn start_task(
        &mut self,
        number: JobNumber,
        index: TaskIndex,
        worker_number: WorkerNumber,
        granted: Option<Resources>,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&number) else {
            return false;
        };
        let Some(worker) = self.workers.get_mut(&worker_number) else {
            return false;
        };
        let granted = granted.unwrap_or(job.spec.need);
        let Some(sum) = worker.granted.checked_add(&granted) else {
            return false;
        };
        if !can_start(job, index) || !can_host(worker, job, &sum) {
            return false;
        }
        let Some(task) = job.tasks.get_mut(index as usize) else {
            return false;
        };
        task.attempt += 1;
        let since = self.clock;
        task.phase = TaskPhase::Running(RunningTask {
            worker: worker_number,
            granted,
            since,
            order: None,
        });
        worker.granted = sum;
        worker.runs.insert((number, index));
        job.starts += 1;
        job.first_start.get_or_insert(since);
        if job.verdict == Some(Verdict::NeverRuns) {
            job.verdict = None;
            job.reason.clear();
        }
        self.changed_workers.push(worker_number);
        true
    }

    fn emit_start_refused(&mut self, number: JobNumber, index: TaskIndex, worker: WorkerNumber) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let attempt = job.tasks.get(index as usize).map_or(0, |task| task.attempt) + 1;
        let run = TaskRun {
            task: TaskId {
                job: job.spec.name.clone(),
                index,
            },
            attempt,
        };
        let Some(worker) = self.workers.get(&worker) else {
            return;
        };
        let worker = worker.spec.id.clone();
        self.events.push(Event::StartRefused { run, worker });
    }

    pub(super) fn order_runs(&mut self, orders: &[RunOrder]) -> Reply {
        for order in orders {
            self.order_run(order);
        }
        Reply::Ok
    }

    fn order_run(&mut self, order: &RunOrder) {
        let Some(job) = self.jobs.get_mut(&order.job) else {
            return;
        };
        let (restarts, resumes) = (job.restarts(), job.spec.checkpoint);
        let Some(task) = job.tasks.get_mut(order.index as usize) else {
            return;
        };
        if task.attempt != order.attempt {
            return;
        }
        // Work that can be neither resumed nor run again must not be lost to make room for other
        // work. The placer doesn't request such a stop; this check guards against it anyway.
        let resumable = order.how == StopKind::Checkpoint && resumes;
        let for_others = matches!(order.reason, StopReason::Preempted | StopReason::Reclaimed);
        if for_others && order.how != StopKind::Throttle && !restarts && !resumable {
            return;
        }
        let TaskPhase::Running(running) = &mut task.phase else {
            return;
        };
        // A stop order is final: it isn't replaced by a weaker one such as throttling.
        if running.order == Some(StopKind::Stop) {
            return;
        }
        running.order = Some(order.how);
        if for_others && order.how != StopKind::Throttle {
            task.preemptions += 1;
        }
        self.changed_workers.push(running.worker);
    }

    pub(super) fn report(&mut self, reports: &[WorkerReport]) -> Reply {
        for report in reports {
            for (job, index, attempt, end) in &report.ended {
                self.run_ended(report.worker, *job, *index, *attempt, *end);
            }
        }
        Reply::Ok
    }

    fn run_ended(
        &mut self,
        worker: WorkerNumber,
        number: JobNumber,
        index: TaskIndex,
        attempt: Attempt,
        end: RunEnd,
    ) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let Some(task) = job.tasks.get(index as usize) else {
            return;
        };
        // A repeated report, or one of a run that this worker no longer holds, doesn't end the run.
        let current = task
            .running()
            .is_some_and(|running| running.worker == worker);
        if !current || task.attempt != attempt {
            self.resolve_unknown(number, index, attempt, end);
            return;
        }
        let phase = phase_after(job, index, end);
        let Some(run) = self.run_of(number, index) else {
            return;
        };
        self.end_run(number, index, phase);
        if let Some(worker) = self.workers.get(&worker) {
            let worker = worker.spec.id.clone();
            self.events.push(Event::RunEnded { run, worker, end });
        }
        self.after_run_end(number);
    }

    /// Records a late report of a run whose outcome was unknown, from a worker that returned after
    /// its lease had expired.
    fn resolve_unknown(
        &mut self,
        number: JobNumber,
        index: TaskIndex,
        attempt: Attempt,
        end: RunEnd,
    ) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(index as usize) else {
            return;
        };
        if task.attempt != attempt || task.phase != TaskPhase::Unknown {
            return;
        }
        match end {
            RunEnd::Done => task.phase = TaskPhase::Done,
            RunEnd::Failed => task.phase = TaskPhase::Failed,
            RunEnd::Checkpointed | RunEnd::Stopped | RunEnd::NeverStarted => {}
        }
    }

    /// Ends a run of a worker whose lease expired, whose process was replaced or whose capacity
    /// shrank below what was granted.
    pub(super) fn lose_run(&mut self, worker: WorkerNumber, number: JobNumber, index: TaskIndex) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let live = !matches!(job.verdict, Some(Verdict::Cancelled | Verdict::GivenUp));
        let surplus = index >= job.spec.tasks;
        let restart = job.restarts() && live && !surplus;
        let phase = match (restart, job.restarts()) {
            (true, _) => TaskPhase::Waiting,
            (false, true) => TaskPhase::Cancelled,
            // The task may have run: starting it again could do its work twice.
            (false, false) => TaskPhase::Unknown,
        };
        let Some(run) = self.run_of(number, index) else {
            return;
        };
        self.end_run(number, index, phase);
        if let Some(worker) = self.workers.get(&worker) {
            let worker = worker.spec.id.clone();
            self.events.push(Event::RunLost {
                run,
                worker,
                restart,
            });
        }
        self.after_run_end(number);
    }

    /// Ends a run that was never sent to its worker, so its task can start again.
    pub(super) fn withdraw_run(
        &mut self,
        worker: WorkerNumber,
        number: JobNumber,
        index: TaskIndex,
    ) {
        let Some(attempt) = self.run_of(number, index).map(|run| run.attempt) else {
            return;
        };
        self.run_ended(worker, number, index, attempt, RunEnd::NeverStarted);
    }

    fn after_run_end(&mut self, number: JobNumber) {
        self.end_job_if_finished(number);
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        if job.declared && job.ended.is_some() {
            let name = job.spec.name.clone();
            self.restart_declared(&name);
        }
    }
}

fn can_start(job: &JobRecord, index: TaskIndex) -> bool {
    let live = !matches!(job.verdict, Some(Verdict::Cancelled | Verdict::GivenUp));
    let waits = job
        .tasks
        .get(index as usize)
        .is_some_and(|task| task.phase == TaskPhase::Waiting);
    live && waits
}

fn can_host(worker: &WorkerRecord, job: &JobRecord, sum: &Resources) -> bool {
    let spec = &job.spec;
    let typed = spec.accelerator.is_none() || spec.accelerator == worker.spec.accelerator;
    let zoned = spec.zones.is_empty() || spec.zones.contains(&worker.spec.zone);
    let open = worker.drain.is_none() && !worker.leaving;
    typed && zoned && open && sum.fits_in(&worker.spec.capacity)
}

/// State of a task after its run ended.
fn phase_after(job: &JobRecord, index: TaskIndex, end: RunEnd) -> TaskPhase {
    let cancelled = job.verdict == Some(Verdict::Cancelled) || index >= job.spec.tasks;
    let given_up = job.verdict == Some(Verdict::GivenUp);
    match end {
        RunEnd::Done if !job.long_running() => TaskPhase::Done,
        _ if cancelled => TaskPhase::Cancelled,
        _ if given_up => TaskPhase::Failed,
        _ if job.long_running() => TaskPhase::Waiting,
        RunEnd::Done => TaskPhase::Done,
        RunEnd::NeverStarted | RunEnd::Checkpointed => TaskPhase::Waiting,
        RunEnd::Failed | RunEnd::Stopped if job.restarts() => TaskPhase::Waiting,
        RunEnd::Failed => TaskPhase::Failed,
        // It ran partly and saved no state: starting it again could do that work twice.
        RunEnd::Stopped => TaskPhase::Unknown,
    }
}
