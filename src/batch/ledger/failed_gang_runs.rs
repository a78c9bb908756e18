//! Failed runs of gangs that were counted as attempts.

use super::records::{StepRecord, TaskRecord, TaskState};
use super::{Job, Ledger};
use crate::batch::model::{Grouping, JobId, RunNumber, StepId};

impl Ledger {
    /// Latest counted failed run of a gang; 0 before the first, and once the gang or its job has
    /// ended.
    pub fn last_failed_run(&self, gang: StepId) -> RunNumber {
        let run = self.failed_gang_runs.get(&gang);
        run.copied().unwrap_or_default()
    }

    pub(super) fn remove_failed_gang_runs(&mut self, job: JobId) {
        let of_job = self.failed_gang_runs.range(StepId::all_of(job));
        for step in of_job.map(|(step, _)| *step).collect::<Vec<_>>() {
            self.failed_gang_runs.remove(&step);
        }
    }

    /// Adds the runs that are certainly counted, and of which ends may follow, to a ledger of a
    /// format without counted runs.
    pub(super) fn restore_failed_gang_runs(&mut self) {
        let open = self.jobs.iter().filter(|(_, job)| !job.state.is_final());
        let runs = open.flat_map(|(id, job)| runs_certainly_counted(*id, job));
        self.failed_gang_runs = runs.collect();
    }
}

fn runs_certainly_counted(id: JobId, job: &Job) -> impl Iterator<Item = (StepId, RunNumber)> {
    job.occurrences.iter().flat_map(move |(k, occurrence)| {
        let steps = (0..).zip(&occurrence.steps).zip(&job.spec.steps);
        let gangs = steps.filter(|(_, spec)| spec.grouping == Grouping::Gang);
        gangs.filter_map(move |((step, record), _)| {
            let step = StepId {
                job: id,
                occurrence: *k,
                step,
            };
            Some((step, run_certainly_counted(record)?))
        })
    })
}

/// The run of a gang of which some members are active and one has ended, if that one failed in each
/// of its runs.
fn run_certainly_counted(gang: &StepRecord) -> Option<RunNumber> {
    let tasks = &gang.tasks;
    let failed = |task: &&TaskRecord| {
        task.state == TaskState::Waiting && task.run > 0 && task.failures == task.run
    };
    let run = tasks.iter().find(failed)?.run;
    let is_active = tasks.iter().any(|task| task.is_active_run(run));
    is_active.then_some(run)
}
