//! Why jobs ended, and which failed runs counted as attempts, for logs and metrics.

use std::collections::BTreeMap;

use super::{Dispatcher, JobId, StepId, TaskId};
use crate::batch::event::Event;
use crate::batch::job_end::{Attempts, JobEndReason};
use crate::batch::ledger::{Batch, Command, End, Job, Ledger, StepRecord};
use crate::batch::model::{EndKind, Grouping, JobState};

/// Failed runs that had counted before a batch, for the tasks whose failed ends it has.
#[derive(Debug, Default)]
pub(super) struct FailuresBefore {
    tasks: BTreeMap<TaskId, u32>,
    gangs: BTreeMap<StepId, u32>,
}

impl FailuresBefore {
    fn new(ledger: &Ledger, batch: &Batch) -> Self {
        let mut before = Self::default();
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
    /// Records which failed runs have counted before a command is applied to the ledger, so that
    /// `applied` can report those that the command counts.
    pub fn before_apply(&mut self, ledger: &Ledger, command: &Command) {
        if let Command::Batch(batch) = command {
            self.failures_before = FailuresBefore::new(ledger, batch);
        }
    }

    pub(super) fn emit_counted_attempts(&mut self, ledger: &Ledger, batch: &Batch) {
        let mut before = std::mem::take(&mut self.failures_before);
        for end in failed_ends(batch) {
            if let Some(event) = before.counted(ledger, end) {
                self.emit(event);
            }
        }
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
