//! The view of a job for callers, and the runs assigned to a worker.

use std::time::Duration;

use crate::ids::JobName;
use crate::resources::Resources;
use crate::state::Cell;
use crate::state::records::{JobRecord, TaskPhase, WorkerNumber};
use crate::wire::{AssignedRun, JobView, StopRun, WorkerTasks};
use crate::workload::TaskRun;

/// Maximum number of workers listed in a job's view.
const WORKERS_SHOWN: usize = 20;

impl Cell {
    /// A job's state. The reason why it waits is missing: only the leader's placer has it.
    pub fn view_job(&self, name: &JobName) -> Option<JobView> {
        let (_, job) = self.job(name)?;
        Some(JobView {
            name: name.clone(),
            kind: job.spec.kind.clone(),
            team: job.spec.team.clone(),
            phase: job.phase(),
            tasks: job.spec.tasks,
            waiting: job.count(|p| *p == TaskPhase::Waiting),
            running: job.count(|p| matches!(p, TaskPhase::Running(_))),
            done: job.count(|p| *p == TaskPhase::Done),
            failed: job.count(|p| *p == TaskPhase::Failed),
            unknown: job.count(|p| *p == TaskPhase::Unknown),
            starts: job.starts,
            waited: job.first_start.map(|start| start.saturating_sub(job.at)),
            reason: job.reason.to_string(),
            workers: self.workers_of(job),
        })
    }

    fn workers_of(&self, job: &JobRecord) -> Vec<crate::ids::WorkerId> {
        let running = job.tasks.iter().filter_map(|task| task.running());
        let workers = running.filter_map(|running| self.workers.get(&running.worker));
        workers
            .take(WORKERS_SHOWN)
            .map(|worker| worker.spec.id.clone())
            .collect()
    }

    /// The runs assigned to a worker and the runs it must stop, given the runs it reports in
    /// `holds`. The lease is left at zero for the caller to set.
    pub fn tasks_for(&self, worker: WorkerNumber, holds: &[TaskRun]) -> WorkerTasks {
        let mut tasks = WorkerTasks {
            lease: Duration::ZERO,
            ..WorkerTasks::default()
        };
        let Some(record) = self.workers.get(&worker) else {
            return tasks;
        };
        for (number, index) in &record.runs {
            let Some(job) = self.jobs.get(number) else {
                continue;
            };
            let Some(run) = self.run_of(*number, *index) else {
                continue;
            };
            let task = job.tasks.get(*index as usize);
            let Some(running) = task.and_then(|task| task.running()) else {
                continue;
            };
            if let Some(how) = running.order {
                tasks.stop.push(StopRun {
                    run: run.clone(),
                    how,
                });
            }
            tasks.assigned.push(assigned(job, run, running.granted));
        }
        // A reported run that isn't assigned to the worker is left over from an earlier lease.
        let orphans = holds
            .iter()
            .filter(|run| !tasks.assigned.iter().any(|a| a.run == **run));
        let orphans = orphans.map(|run| StopRun {
            run: run.clone(),
            how: crate::wire::StopKind::Stop,
        });
        tasks.stop.extend(orphans.collect::<Vec<_>>());
        tasks
    }
}

fn assigned(job: &JobRecord, run: TaskRun, granted: Resources) -> AssignedRun {
    AssignedRun {
        run,
        kind: job.spec.kind.clone(),
        payload: job.spec.payload.clone(),
        need: granted,
        keep_without_lease: false,
        run_time: job.spec.run_time,
    }
}
