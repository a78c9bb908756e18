//! Why jobs ended, and which failed runs counted as attempts, for logs and metrics.

use std::collections::{BTreeMap, BTreeSet};

use super::applied::is_final;
use super::{Dispatcher, JobId, StepId, TaskId};
use crate::batch::event::Event;
use crate::batch::job_end::{Attempts, JobEndReason};
use crate::batch::ledger::{Batch, Command, End, Job, Ledger, StepRecord};
use crate::batch::model::{EndKind, Grouping, JobState};

/// State of the ledger before a batch, of what the batch may change.
#[derive(Debug, Default)]
pub(super) struct StateBefore {
    /// Jobs that had not ended.
    open_jobs: BTreeSet<JobId>,
    /// Failed runs that had counted, for the tasks whose failed ends the batch has.
    tasks: BTreeMap<TaskId, u32>,
    gangs: BTreeMap<StepId, u32>,
}

impl StateBefore {
    fn new(ledger: &Ledger, batch: &Batch) -> Self {
        let ends = batch.ends.iter().map(|end| end.task.step.job);
        let crashes = batch.crashes.iter().map(|crash| crash.task.step.job);
        let jobs = ends.chain(crashes);
        let mut before = Self {
            open_jobs: jobs.filter(|id| !is_final(ledger, *id)).collect(),
            ..Self::default()
        };
        for end in failed_ends(batch) {
            before.record(ledger, end.task);
        }
        before
    }

    fn record(&mut self, ledger: &Ledger, task: TaskId) -> Option<()> {
        let job = ledger.jobs.get(&task.step.job)?;
        self.tasks.insert(task, job.task(task)?.failures);
        if grouping(job, task.step)? == Grouping::Gang {
            let step = step_record(job, task.step)?;
            let gang = self.gangs.entry(task.step);
            gang.or_insert_with(|| step.gang_failures());
        }
        Some(())
    }

    /// The event for a failed end, now in the ledger; `None` if it did not count. Ends of one task
    /// must be passed in their order.
    fn counted(&mut self, ledger: &Ledger, end: &End) -> Option<Event> {
        let (task, run) = (end.task, end.run);
        let job = ledger.jobs.get(&task.step.job)?;
        let before = self.tasks.get_mut(&task)?;
        if *before >= job.task(task)?.failures {
            return None;
        }
        *before += 1;
        let grouping = grouping(job, task.step)?;
        let used = match grouping {
            Grouping::Single => before,
            Grouping::Gang => {
                let gang = self.gangs.get_mut(&task.step)?;
                *gang += 1;
                gang
            }
        };
        Some(Event::AttemptCounted {
            task,
            run,
            grouping,
            attempts: attempts(job, *used),
        })
    }
}

impl Dispatcher {
    /// Records which jobs are open and which failed runs have counted before a command is applied to
    /// the ledger, so that `applied` handles what the command ends and counts, and that once.
    pub fn before_apply(&mut self, ledger: &Ledger, command: &Command) {
        if let Command::Batch(batch) = command {
            self.before = StateBefore::new(ledger, batch);
        }
    }

    pub(super) fn emit_counted_attempts(&mut self, ledger: &Ledger, batch: &Batch) {
        for end in failed_ends(batch) {
            if let Some(event) = self.before.counted(ledger, end) {
                self.emit(event);
            }
        }
    }

    /// Jobs that the batch applied last has ended.
    pub(super) fn take_ended_jobs(&mut self, ledger: &Ledger) -> BTreeSet<JobId> {
        let mut jobs = std::mem::take(&mut self.before).open_jobs;
        jobs.retain(|id| is_final(ledger, *id));
        jobs
    }
}

/// Why an ended job ended, unless it was cancelled before it arrived.
pub(super) fn end_reason(id: JobId, job: &Job) -> JobEndReason {
    match job.state {
        JobState::Done => JobEndReason::Done,
        // Nothing but attempts and crashes fails a job, and neither is counted for an ended job.
        JobState::Failed => used_up(id, job).unwrap_or_else(|| crashes(id, job)),
        _ => JobEndReason::Cancelled,
    }
}

/// The task or gang that used up its attempts.
fn used_up(id: JobId, job: &Job) -> Option<JobEndReason> {
    let allowed = job.queue.attempts;
    steps(id, job).find_map(|(step, record)| {
        if grouping(job, step)? == Grouping::Gang {
            let used = record.gang_failures();
            return (used >= allowed).then(|| JobEndReason::GangFailed(step, attempts(job, used)));
        }
        let mut tasks = record.tasks.iter().zip(0..);
        let (task, index) = tasks.find(|(task, _)| task.failures >= allowed)?;
        let attempts = attempts(job, task.failures);
        Some(JobEndReason::TaskFailed(step.task(index), attempts))
    })
}

fn crashes(id: JobId, job: &Job) -> JobEndReason {
    let found = steps(id, job).find_map(|(step, record)| {
        let mut tasks = record.tasks.iter().zip(0..);
        let (task, index) = tasks.find(|(task, _)| task.crashes.exceed_limit())?;
        Some((step.task(index), task.crashes))
    });
    JobEndReason::Crashes {
        task: found.map(|(task, _)| task),
        counts: found.map(|(_, counts)| counts).unwrap_or_default(),
    }
}

fn steps(id: JobId, job: &Job) -> impl Iterator<Item = (StepId, &StepRecord)> {
    job.occurrences.iter().flat_map(move |(k, occurrence)| {
        let step = move |step| StepId {
            job: id,
            occurrence: *k,
            step,
        };
        let numbered = (0..).zip(&occurrence.steps);
        numbered.map(move |(number, record)| (step(number), record))
    })
}

fn step_record(job: &Job, id: StepId) -> Option<&StepRecord> {
    let occurrence = job.occurrences.get(&id.occurrence)?;
    occurrence.steps.get(usize::from(id.step))
}

fn grouping(job: &Job, id: StepId) -> Option<Grouping> {
    let spec = job.spec.steps.get(usize::from(id.step))?;
    Some(spec.grouping)
}

fn attempts(job: &Job, used: u32) -> Attempts {
    Attempts {
        used,
        allowed: job.queue.attempts,
    }
}

fn failed_ends(batch: &Batch) -> impl Iterator<Item = &End> {
    let ends = batch.ends.iter();
    ends.filter(|end| end.kind == EndKind::Failed)
}
