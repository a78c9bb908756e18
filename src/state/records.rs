//! The records the cell keeps.

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

/// Short name of a job in the log.
pub type JobNumber = u32;
/// Short name of a worker in the log.
pub type WorkerNumber = u32;

/// An accepted document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRecord {
    /// Its number.
    pub revision: Revision,
    /// When it was accepted, on the leader's clock.
    pub at: Timestamp,
    /// Who sent it.
    pub who: CompactString,
    /// The document.
    pub document: Arc<Document>,
    /// Key under which it was sent.
    pub key: Option<IdempotencyKey>,
}

/// One change that an operator or caller made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// When, on the leader's clock.
    pub at: Timestamp,
    /// Who.
    pub who: CompactString,
    /// What, in one sentence without secrets.
    pub what: CompactString,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What it needs.
    pub spec: Arc<JobSpec>,
    /// When it was accepted.
    pub at: Timestamp,
    /// Whether the document declares it.
    pub declared: bool,
    /// When its first task started.
    pub first_start: Option<Timestamp>,
    /// When nothing of it was left to run.
    pub ended: Option<Timestamp>,
    /// A decision over the job as a whole.
    pub verdict: Option<Verdict>,
    /// Why it was given up.
    pub reason: CompactString,
    /// Starts of all its tasks.
    pub starts: u32,
    /// Its tasks by index.
    pub tasks: Vec<TaskRecord>,
}

/// A decision over a job as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Cancelled by a caller, an operator or the document.
    Cancelled,
    /// Given up after its attempts or by its rule.
    GivenUp,
    /// Can never run in this cell as it is; waits for a change of the cell.
    NeverRuns,
}

/// A task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Number of its latest start.
    pub attempt: Attempt,
    /// Times it was preempted.
    pub preemptions: u32,
    /// Its state.
    pub phase: TaskPhase,
}

/// State of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// Waits for a start.
    #[default]
    Waiting,
    /// Runs, or may run, on a worker.
    Running(RunningTask),
    /// Done.
    Done,
    /// Given up.
    Failed,
    /// May have run; will not start again.
    Unknown,
    /// Never starts again.
    Cancelled,
}

/// Where a task runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The worker.
    pub worker: WorkerNumber,
    /// What it was granted there.
    pub granted: Resources,
    /// When it was granted.
    pub since: Timestamp,
    /// How it must end, if it must.
    pub order: Option<StopKind>,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// As it announced itself.
    pub spec: WorkerSpec,
    /// Its process.
    pub process: ProcessId,
    /// Sum of what is granted on it.
    pub granted: Resources,
    /// Runs granted on it.
    pub runs: BTreeSet<(JobNumber, TaskIndex)>,
    /// Whether it gets no work but a trial.
    pub quarantined: bool,
    /// When it must be empty, while it is drained.
    pub drain: Option<Timestamp>,
    /// Whether it announced that it leaves.
    pub leaving: bool,
}

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Its process.
    pub process: ProcessId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it takes forwarded requests.
    pub peer_addr: std::net::SocketAddr,
    /// Whether it stops as planned.
    pub leaving: bool,
}

/// A minion and its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionRecord {
    /// As it announced itself.
    pub announced: MinionAnnouncement,
    /// The entry host that may use it.
    pub owner: Option<EntryId>,
    /// Number of this ownership.
    pub epoch: u64,
    /// Whether it leaves.
    pub leaving: bool,
    /// Whether the owner must give it up.
    pub release: bool,
    /// Whether the owner before was lost.
    pub lapsed: bool,
}

impl MinionRecord {
    /// Whether its announcement lapsed: it holds for no time, which none that is taken in does.
    pub const fn is_silent(&self) -> bool {
        self.announced.ttl.is_zero()
    }
}

impl TaskRecord {
    /// Where the task runs, while it does.
    pub fn running(&self) -> Option<&RunningTask> {
        match &self.phase {
            TaskPhase::Running(running) => Some(running),
            _ => None,
        }
    }
}

impl JobRecord {
    /// Number of tasks for which the test holds.
    pub fn count(&self, test: impl Fn(&TaskPhase) -> bool) -> u32 {
        self.tasks.iter().filter(|task| test(&task.phase)).count() as u32
    }

    /// Whether the job's tasks are kept at their count instead of ending by themselves.
    pub fn long_running(&self) -> bool {
        long_running(&self.spec)
    }

    /// Whether a task of this job may start again after it may have run.
    ///
    /// Services and watchers are kept at their count; the lease keeps two runs apart.
    pub fn restarts(&self) -> bool {
        self.spec.idempotent || self.long_running()
    }

    /// State of the job as a whole.
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
