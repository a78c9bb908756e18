//! The cell as a whole, and the bookkeeping that all commands share.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::commands::{Command, Reply};
use super::keys::Keys;
use super::records::{
    AuditRecord, DocumentRecord, EntryRecord, JobNumber, JobRecord, MinionRecord, TaskPhase,
    WorkerNumber, WorkerRecord,
};
use crate::document::Document;
use crate::ids::{EntryId, JobName, MinionId, Revision, TaskIndex, Timestamp, WorkerId};
use crate::placement::Event;
use crate::resources::Resources;
use crate::slo::Burn;
use crate::workload::{TaskId, TaskRun};

/// Documents kept for `show --revision` and `rollback`.
pub(crate) const DOCUMENTS_KEPT: usize = 50;

/// Ended jobs kept so that their callers can still ask.
pub(crate) const ENDED_JOBS_KEPT: usize = 12_000;

/// Changes kept in the audit log.
pub(crate) const AUDIT_KEPT: usize = 2_000;

/// Everything the replicas agree on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cell {
    /// Time of the latest command, on the leaders' clocks; never goes back.
    pub clock: Timestamp,
    /// Accepted documents, the one in force last.
    pub documents: VecDeque<DocumentRecord>,
    /// Jobs by number.
    pub jobs: BTreeMap<JobNumber, JobRecord>,
    /// Numbers of the jobs by name.
    pub job_numbers: BTreeMap<JobName, JobNumber>,
    /// Ended jobs, the earliest first.
    pub ended_jobs: VecDeque<JobNumber>,
    /// Number of the next job.
    pub next_job: JobNumber,
    /// Workers by number.
    pub workers: BTreeMap<WorkerNumber, WorkerRecord>,
    /// Numbers of the workers by name.
    pub worker_numbers: BTreeMap<WorkerId, WorkerNumber>,
    /// Number of the next worker.
    pub next_worker: WorkerNumber,
    /// Entry hosts.
    pub entries: BTreeMap<EntryId, EntryRecord>,
    /// Minions.
    pub minions: BTreeMap<MinionId, MinionRecord>,
    /// Idempotency keys.
    pub keys: Keys,
    /// Error budgets of the document's objectives.
    pub burn: Burn,
    /// The latest changes by operators and callers, the earliest first.
    pub audit: VecDeque<AuditRecord>,
    /// Changes since the leader last took them; not part of the state.
    #[serde(skip)]
    pub(crate) events: Vec<Event>,
    /// Workers whose tasks changed since the leader last looked; not part of the state.
    #[serde(skip)]
    pub(crate) touched_workers: Vec<WorkerNumber>,
    /// Number of changes to what entry hosts are fed; not part of the state.
    #[serde(skip)]
    pub(crate) feed_changes: u64,
}

impl Cell {
    /// Applies one command. Gives the same result on every replica.
    pub fn apply(&mut self, at: Timestamp, command: Command) -> Reply {
        self.clock = self.clock.max(at);
        let retention = self.document().policy.key_retention;
        self.keys.forget(self.clock, retention);
        command.apply(self)
    }

    /// The document in force; an empty one before the first.
    pub fn document(&self) -> Arc<Document> {
        self.documents
            .back()
            .map(|record| Arc::clone(&record.document))
            .unwrap_or_default()
    }

    /// Revision in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.documents.back().map_or(0, |record| record.revision)
    }

    /// An accepted document: the one in force when no revision is named.
    pub fn document_record(&self, revision: Option<Revision>) -> Option<&DocumentRecord> {
        match revision {
            None => self.documents.back(),
            Some(wanted) => self.documents.iter().find(|d| d.revision == wanted),
        }
    }

    /// A job by name.
    pub fn job(&self, name: &JobName) -> Option<(JobNumber, &JobRecord)> {
        let number = *self.job_numbers.get(name)?;
        Some((number, self.jobs.get(&number)?))
    }

    /// A worker by name.
    pub fn worker(&self, name: &WorkerId) -> Option<(WorkerNumber, &WorkerRecord)> {
        let number = *self.worker_numbers.get(name)?;
        Some((number, self.workers.get(&number)?))
    }

    /// Takes the changes since the last call, for the leader's placer.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Takes the workers whose tasks changed since the last call.
    pub fn take_touched_workers(&mut self) -> Vec<WorkerNumber> {
        std::mem::take(&mut self.touched_workers)
    }

    /// Grows with each change to what entry hosts are fed.
    pub fn feed_changes(&self) -> u64 {
        self.feed_changes
    }

    pub(crate) fn run_of(&self, job: JobNumber, index: TaskIndex) -> Option<TaskRun> {
        let record = self.jobs.get(&job)?;
        let attempt = record.tasks.get(index as usize)?.attempt;
        Some(TaskRun {
            task: TaskId {
                job: record.spec.name.clone(),
                index,
            },
            attempt,
        })
    }

    /// Takes a run off its worker and puts its task into another state.
    pub(crate) fn end_run(&mut self, job: JobNumber, index: TaskIndex, phase: TaskPhase) {
        let Some(record) = self.jobs.get_mut(&job) else {
            return;
        };
        let Some(task) = record.tasks.get_mut(index as usize) else {
            return;
        };
        let TaskPhase::Running(running) = std::mem::replace(&mut task.phase, phase) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&running.worker) {
            worker.runs.remove(&(job, index));
            worker.granted = worker
                .granted
                .checked_sub(&running.granted)
                .unwrap_or(Resources::ZERO);
            self.touched_workers.push(running.worker);
        }
    }

    /// Records that a job has nothing left to run, and forgets the earliest ended ones.
    pub(crate) fn settle_job(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let alive = |p: &TaskPhase| matches!(p, TaskPhase::Waiting | TaskPhase::Running(_));
        if job.ended.is_some() || job.count(alive) > 0 {
            return;
        }
        job.ended = Some(self.clock);
        self.ended_jobs.push_back(number);
        while self.ended_jobs.len() > ENDED_JOBS_KEPT {
            self.forget_earliest_ended();
        }
    }

    fn forget_earliest_ended(&mut self) {
        let Some(number) = self.ended_jobs.pop_front() else {
            return;
        };
        // A job that was started again by a later document has no end and stays.
        if self.jobs.get(&number).is_none_or(|job| job.ended.is_none()) {
            return;
        }
        if let Some(job) = self.jobs.remove(&number) {
            let name = job.spec.name.clone();
            self.job_numbers.remove(&name);
            self.keys.bury_job(&name, self.clock);
        }
    }

    pub(crate) fn audited(&mut self, who: &CompactString, what: CompactString) {
        let record = AuditRecord {
            at: self.clock,
            who: who.clone(),
            what,
        };
        self.audit.push_back(record);
        while self.audit.len() > AUDIT_KEPT {
            self.audit.pop_front();
        }
    }

    pub(crate) fn feed_changed(&mut self) {
        self.feed_changes += 1;
    }
}
