//! Records of the replicated state.

use std::collections::BTreeSet;
use std::sync::Arc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::ids::{
    Attempt, EntryId, IdempotencyKey, ProcessId, Revision, TaskIndex, Timestamp, ZoneName,
};
use crate::placement::long_running;
use crate::resources::Resources;
use crate::wire::{JobPhase, MinionAnnouncement, StopKind};
use crate::workload::{JobSpec, WorkerSpec};

/// Number that stands for a job's name in the log; never reused.
pub type JobNumber = u32;
/// Number that stands for a worker's name in the log; never reused.
pub type WorkerNumber = u32;

/// An accepted document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRecord {
    /// Number of this document, one more than the one before.
    pub revision: Revision,
    /// Time of acceptance, by the leader's clock since the Unix epoch.
    pub at: Timestamp,
    /// Operator who sent it.
    pub who: CompactString,
    /// Content of the document.
    pub document: Arc<Document>,
    /// Idempotency key of the request; a resend under it gets this revision.
    pub key: Option<IdempotencyKey>,
}

/// Entry of the audit log: one change by an operator or caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Time of the change, by the leader's clock since the Unix epoch.
    pub at: Timestamp,
    /// Operator or caller who made the change.
    pub who: CompactString,
    /// The change in one sentence, without secrets.
    pub what: CompactString,
}

/// An accepted job and its tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Spec as accepted, or as last changed by a document.
    pub spec: Arc<JobSpec>,
    /// Time of acceptance.
    pub at: Timestamp,
    /// Whether the job comes from the document's workloads and not from a caller.
    pub declared: bool,
    /// Time of the first start of any of its tasks.
    pub first_start: Option<Timestamp>,
    /// Time from which no task was waiting or running; `None` until then.
    pub ended: Option<Timestamp>,
    /// Decision on the whole job, if one was made.
    pub verdict: Option<Verdict>,
    /// Why it failed or can't run, in one sentence; empty otherwise.
    pub reason: CompactString,
    /// Number of starts, summed over all tasks.
    pub starts: u32,
    /// Tasks by index; after a reduction more than `spec.tasks`.
    pub tasks: Vec<TaskRecord>,
}

/// Decision on a whole job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Cancelled by a caller, an operator or the document.
    Cancelled,
    /// Failed: the attempts are used up, or its rule for lost gang members says so.
    GivenUp,
    /// Can't run with the cell's present workers; stays waiting in case they change.
    NeverRuns,
}

/// State of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Number of the latest start; 0 before the first.
    pub attempt: Attempt,
    /// Number of times that the task was preempted.
    pub preemptions: u32,
    /// Present phase.
    pub phase: TaskPhase,
}

/// Phase of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// May be started.
    #[default]
    Waiting,
    /// Was started on a worker, and may run there until it is reported ended or the lease expires.
    Running(RunningTask),
    /// Finished its work.
    Done,
    /// Failed, and not to be started again.
    Failed,
    /// May have run, with unknown outcome. Never started again, since that could do its work
    /// twice.
    Unknown,
    /// Cancelled with its job, or surplus after the job was reduced.
    Cancelled,
}

/// A running task's worker and resources.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// Worker that the task was started on.
    pub worker: WorkerNumber,
    /// Resources granted on that worker.
    pub granted: Resources,
    /// Time of the start.
    pub since: Timestamp,
    /// Order to stop, checkpoint or throttle the run, if one was given.
    pub order: Option<StopKind>,
}

/// A worker that has joined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Spec from its latest poll.
    pub spec: WorkerSpec,
    /// Process that holds the lease.
    pub process: ProcessId,
    /// Sum of the resources granted to its runs.
    pub granted: Resources,
    /// Its runs by job and task index.
    pub runs: BTreeSet<(JobNumber, TaskIndex)>,
    /// Whether it gets no tasks except a trial run, because runs on it kept failing.
    pub quarantined: bool,
    /// Time by which it must be empty; `None` when no drain applies.
    pub drain: Option<Timestamp>,
    /// Whether it announced that it leaves; it gets no more tasks then.
    pub leaving: bool,
}

/// An entry host that has joined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Process that holds the lease.
    pub process: ProcessId,
    /// Availability zone, preferred in the assignment of minions.
    pub zone: ZoneName,
    /// Address at which it takes requests forwarded by other entry hosts.
    pub peer_addr: std::net::SocketAddr,
    /// Whether it began a planned stop; it gets no more minions then.
    pub leaving: bool,
}

/// A minion and its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionRecord {
    /// Latest announcement; its `ttl` is zero once the announcement has expired.
    pub announced: MinionAnnouncement,
    /// The only entry host that may send requests to it.
    pub owner: Option<EntryId>,
    /// Number of the present ownership; increases with each new owner.
    pub epoch: u64,
    /// Whether the minion announced that it leaves.
    pub leaving: bool,
    /// Whether the owner must finish its requests there and release it.
    pub release: bool,
    /// Whether the previous owner was lost, so requests of it may still be in progress there.
    pub lapsed: bool,
}

impl MinionRecord {
    /// Whether its announcement expired. This is recorded as a `ttl` of zero, which no accepted
    /// announcement has.
    pub const fn is_expired(&self) -> bool {
        self.announced.ttl.is_zero()
    }
}

impl TaskRecord {
    /// The run of the task; `None` unless it is running.
    pub fn running(&self) -> Option<&RunningTask> {
        match &self.phase {
            TaskPhase::Running(running) => Some(running),
            _ => None,
        }
    }
}

impl JobRecord {
    /// Number of tasks whose phase satisfies `test`.
    pub fn count(&self, test: impl Fn(&TaskPhase) -> bool) -> u32 {
        self.tasks.iter().filter(|task| test(&task.phase)).count() as u32
    }

    /// Whether the job keeps its number of tasks running instead of ending, as services and
    /// watchers do.
    pub fn long_running(&self) -> bool {
        long_running(&self.spec)
    }

    /// Whether a task of this job may be started again after it may have run.
    ///
    /// Services and watchers are always restarted: the worker's lease ensures that the old run has
    /// ended before the new one starts.
    pub fn restarts(&self) -> bool {
        self.spec.idempotent || self.long_running()
    }

    /// Phase of the whole job, derived from its verdict and the phases of its tasks.
    pub fn phase(&self) -> JobPhase {
        let waiting = self.count(|p| *p == TaskPhase::Waiting);
        let running = self.count(|p| matches!(p, TaskPhase::Running(_)));
        match self.verdict {
            Some(Verdict::Cancelled) if running == 0 => return JobPhase::Cancelled,
            Some(Verdict::GivenUp) => return JobPhase::Failed,
            _ => {}
        }
        if running > 0 || (waiting > 0 && self.starts > 0) {
            return JobPhase::Running;
        }
        if waiting > 0 {
            return JobPhase::Waiting;
        }
        self.ended_phase()
    }

    fn ended_phase(&self) -> JobPhase {
        if self.count(|p| *p == TaskPhase::Unknown) > 0 {
            return JobPhase::Unknown;
        }
        if self.count(|p| *p == TaskPhase::Failed) > 0 {
            return JobPhase::Failed;
        }
        JobPhase::Done
    }
}
