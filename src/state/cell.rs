//! The replicated state of the cell, and the operations that several commands share.

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

/// Revisions of the document kept for `show --revision` and `rollback`.
pub(crate) const DOCUMENTS_KEPT: usize = 50;

/// Ended jobs whose records are kept so that callers can still query them.
pub(crate) const ENDED_JOBS_KEPT: usize = 12_000;

/// Entries kept in the audit log.
pub(crate) const AUDIT_KEPT: usize = 2_000;

/// The state that every control replica holds identically.
///
/// It changes only through [`Cell::apply`], in the order of the replicated log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cell {
    /// Time of the latest command by the clock of the leader that proposed it; never decreases.
    pub clock: Timestamp,
    /// Accepted documents in order of revision; the last one is in force.
    pub documents: VecDeque<DocumentRecord>,
    /// Jobs by number.
    pub jobs: BTreeMap<JobNumber, JobRecord>,
    /// Number of each job by its name.
    pub job_numbers: BTreeMap<JobName, JobNumber>,
    /// Ended jobs in the order in which they ended.
    pub ended_jobs: VecDeque<JobNumber>,
    /// Number that the next accepted job gets.
    pub next_job: JobNumber,
    /// Workers by number.
    pub workers: BTreeMap<WorkerNumber, WorkerRecord>,
    /// Number of each worker by its name.
    pub worker_numbers: BTreeMap<WorkerId, WorkerNumber>,
    /// Number that the next new worker gets.
    pub next_worker: WorkerNumber,
    /// Entry hosts that have joined and are not lost.
    pub entries: BTreeMap<EntryId, EntryRecord>,
    /// Announced minions, and those with an expired announcement that still have an owner.
    pub minions: BTreeMap<MinionId, MinionRecord>,
    /// Idempotency keys of requests, and tombstones of expired keys and removed jobs.
    pub keys: Keys,
    /// Error budgets of the document's objectives.
    pub burn: Burn,
    /// The latest changes by operators and callers, oldest first.
    pub audit: VecDeque<AuditRecord>,
    /// Events since the last [`Cell::take_events`]; not part of the replicated state.
    #[serde(skip)]
    pub(crate) events: Vec<Event>,
    /// Workers whose tasks changed since the last [`Cell::take_changed_workers`]; not part of the
    /// replicated state.
    #[serde(skip)]
    pub(crate) changed_workers: Vec<WorkerNumber>,
    /// Number of changes to the feed of the entry hosts; not part of the replicated state.
    #[serde(skip)]
    pub(crate) feed_changes: u64,
}

impl Cell {
    /// Applies one command at the leader's time `at`. Deterministic: every replica gets the same
    /// state and reply.
    pub fn apply(&mut self, at: Timestamp, command: Command) -> Reply {
        self.clock = self.clock.max(at);
        let retention = self.document().policy.key_retention;
        self.keys.expire(self.clock, retention);
        command.apply(self)
    }

    /// The document in force; a default one before the first was accepted.
    pub fn document(&self) -> Arc<Document> {
        self.documents
            .back()
            .map(|record| Arc::clone(&record.document))
            .unwrap_or_default()
    }

    /// Revision in force; 0 before the first document.
    pub fn revision(&self) -> Revision {
        self.documents.back().map_or(0, |record| record.revision)
    }

    /// The document of a revision, or the one in force when `revision` is `None`. `None` when the
    /// revision never existed or is no longer kept.
    pub fn document_record(&self, revision: Option<Revision>) -> Option<&DocumentRecord> {
        match revision {
            None => self.documents.back(),
            Some(requested) => self.documents.iter().find(|d| d.revision == requested),
        }
    }

    /// Looks up a job by its name.
    pub fn job(&self, name: &JobName) -> Option<(JobNumber, &JobRecord)> {
        let number = *self.job_numbers.get(name)?;
        Some((number, self.jobs.get(&number)?))
    }

    /// Looks up a worker by its name.
    pub fn worker(&self, name: &WorkerId) -> Option<(WorkerNumber, &WorkerRecord)> {
        let number = *self.worker_numbers.get(name)?;
        Some((number, self.workers.get(&number)?))
    }

    /// Returns the events since the last call; the leader passes them to its placer.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns the workers whose tasks changed since the last call; the leader answers their
    /// waiting polls.
    pub fn take_changed_workers(&mut self) -> Vec<WorkerNumber> {
        std::mem::take(&mut self.changed_workers)
    }

    /// Counter that increases with each change to the feed of the entry hosts.
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

    /// Sets the state of a running task and releases the resources granted on its worker. Does
    /// nothing if the task isn't running.
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
            self.changed_workers.push(running.worker);
        }
    }

    /// Marks a job as ended once none of its tasks is waiting or running, and removes the oldest
    /// ended jobs beyond [`ENDED_JOBS_KEPT`].
    pub(crate) fn end_job_if_finished(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let open = |p: &TaskPhase| matches!(p, TaskPhase::Waiting | TaskPhase::Running(_));
        if job.ended.is_some() || job.count(open) > 0 {
            return;
        }
        job.ended = Some(self.clock);
        self.ended_jobs.push_back(number);
        while self.ended_jobs.len() > ENDED_JOBS_KEPT {
            self.remove_oldest_ended_job();
        }
    }

    fn remove_oldest_ended_job(&mut self) {
        let Some(number) = self.ended_jobs.pop_front() else {
            return;
        };
        // A later document may have started the job again; it is then no longer ended and stays.
        if self.jobs.get(&number).is_none_or(|job| job.ended.is_none()) {
            return;
        }
        if let Some(job) = self.jobs.remove(&number) {
            let name = job.spec.name.clone();
            self.job_numbers.remove(&name);
            self.keys.add_job_tombstone(&name, self.clock);
        }
    }

    pub(crate) fn add_audit_record(&mut self, who: &CompactString, what: CompactString) {
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
