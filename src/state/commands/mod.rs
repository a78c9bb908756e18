//! Commands: the log entries that change the replicated state.

mod documents;
mod entries;
mod jobs;
mod runs;
mod workers;

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::Cell;
use super::keys::{Claim, KeyRecord};
use super::records::{JobNumber, WorkerNumber};
use crate::document::Document;
use crate::error::{Error, Result, Step};
use crate::ids::{
    Attempt, EntryId, IdempotencyKey, JobName, MinionId, ProcessId, Revision, TaskIndex,
};
use crate::placement::StopReason;
use crate::resources::Resources;
use crate::slo::BurnDelta;
use crate::wire::{
    EntryHello, JobSubmission, JobView, KeyClaim, KeySettlement, KeyState, MinionAnnouncement,
    Refusal, RefusalKind, StopKind,
};
use crate::workload::{RunEnd, WorkerSpec};

/// One change of the replicated state, encoded as an entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a new document in force if `base` is still the revision in force.
    PutDocument {
        /// Revision the change was made from.
        base: Revision,
        /// The new document, validated by the proposer.
        document: Arc<Document>,
        /// Operator, for the audit log.
        who: CompactString,
        /// A resend under the same key gets the reply to the first one.
        key: Option<IdempotencyKey>,
    },
    /// Accepts a job.
    SubmitJob {
        /// Name, kind and payload as the caller sent them.
        submission: JobSubmission,
        /// Caller or operator, for the audit log.
        who: CompactString,
    },
    /// Cancels a job: its waiting tasks never start and its runs are ordered to stop.
    CancelJob {
        /// The job.
        job: JobName,
        /// Caller or operator, for the audit log.
        who: CompactString,
    },
    /// Starts tasks on workers.
    Place(Place),
    /// Orders runs to stop, checkpoint or throttle.
    Stop(Vec<RunOrder>),
    /// Fails a job, for example after its attempts are used up.
    FailJob {
        /// The job.
        job: JobName,
        /// One sentence, shown to callers.
        reason: CompactString,
    },
    /// Marks a job that can't run with the cell's present workers.
    MarkUnschedulable {
        /// The job.
        job: JobName,
        /// One sentence, shown to callers.
        reason: CompactString,
    },
    /// Sets or lifts a worker's quarantine.
    Quarantine {
        /// The worker.
        worker: WorkerNumber,
        /// `true` sets the quarantine, `false` lifts it.
        on: bool,
    },
    /// A worker joined, or returned with another process or spec.
    WorkerUp {
        /// The worker as it describes itself in its poll.
        spec: WorkerSpec,
        /// Process that polled.
        process: ProcessId,
    },
    /// A worker's lease expired, or it left.
    WorkerDown {
        /// The worker.
        worker: WorkerNumber,
        /// Process that is lost; the command does nothing if another one has joined since.
        process: ProcessId,
        /// Runs that the leader granted but never put into an answer, so they can't have started.
        never_sent: Vec<(JobNumber, TaskIndex)>,
    },
    /// A worker announced that it leaves: it gets no more tasks.
    WorkerLeaving(WorkerNumber),
    /// Workers reported runs that ended.
    Report(Vec<WorkerReport>),
    /// An entry host joined, or returned with another process.
    EntryUp(EntryHello),
    /// An entry host began a planned stop and must release its minions.
    EntryLeaving(EntryId),
    /// An entry host's lease expired, or it has stopped.
    EntryDown {
        /// The entry host.
        entry: EntryId,
        /// Process that is lost; the command does nothing if another one has joined since.
        process: ProcessId,
    },
    /// A minion joined, or announced another process, address or size.
    AnnounceMinion(MinionAnnouncement),
    /// A minion announced that it leaves.
    LeaveMinion(MinionId),
    /// A minion's announcement expired.
    MinionDown {
        /// The minion.
        minion: MinionId,
        /// Process that is lost; the command does nothing if another one has joined since.
        process: ProcessId,
    },
    /// An entry host finished its last requests at these minions and no longer owns them.
    ReleaseMinions {
        /// The entry host.
        entry: EntryId,
        /// The minions.
        minions: Vec<MinionId>,
    },
    /// Asks the owners of these minions to release them, to balance minions over entry hosts.
    MoveMinions(Vec<MinionId>),
    /// Claims an idempotency key for a request.
    ClaimKey(KeyClaim),
    /// Records the outcome of the request under a claimed key.
    SettleKey(KeySettlement),
    /// Adds counts of good and bad events to the objectives' error budgets.
    Burn(BurnDelta),
}

/// A batch of starts. Jobs and workers are given by number and task indexes as differences, so
/// that one start takes three to five bytes in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Starts grouped by job and granted resources.
    pub jobs: Vec<PlaceJob>,
}

/// Starts of tasks of one job that are granted the same resources.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceJob {
    /// The job.
    pub job: JobNumber,
    /// Resources granted to each task; `None` if they equal the job's declared need.
    pub granted: Option<Resources>,
    /// Sorted by task index.
    pub starts: Vec<Start>,
}

/// Start of one task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Difference to the task index of the previous start; the index itself for the first.
    pub step: TaskIndex,
    /// Worker that runs the task.
    pub worker: WorkerNumber,
}

/// An order to stop, checkpoint or throttle one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunOrder {
    /// The job.
    pub job: JobNumber,
    /// The task.
    pub index: TaskIndex,
    /// Attempt that the order is for; it is ignored if the task has started again since.
    pub attempt: Attempt,
    /// Stop, checkpoint or throttle.
    pub how: StopKind,
    /// Cause of the order; a preemption of work that can't continue later is ignored.
    pub reason: StopReason,
}

/// Runs that ended on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: WorkerNumber,
    /// Job, task index, attempt and end of each run.
    pub ended: Vec<(JobNumber, TaskIndex, Attempt, RunEnd)>,
}

/// Result of a command, returned to its proposer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The command was applied, or had nothing to change.
    Ok,
    /// The document is in force under this revision.
    Revision(Revision),
    /// The document was changed since `base`; this revision is in force.
    Stale(Revision),
    /// State of the submitted or cancelled job.
    Job(JobView),
    /// State of the claimed key.
    Key(KeyState),
    /// The command was refused and changed nothing.
    Refused(Refusal),
}

impl Command {
    /// Encodes the command for the log, after the format version.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        postcard::to_allocvec(&(super::STATE_VERSION, self))
            .map_err(|e| Error::caused(Step::Codec, "encoding a command", e))
    }

    /// Decodes a command from the log; fails on another format version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let (version, rest) = postcard::take_from_bytes::<u16>(bytes)
            .map_err(|e| Error::caused(Step::Codec, "decoding a command's version", e))?;
        if version != super::STATE_VERSION {
            return Err(Error::new(
                Step::Codec,
                format!("command version {version} is unknown"),
            ));
        }
        postcard::from_bytes(rest).map_err(|e| Error::caused(Step::Codec, "decoding a command", e))
    }

    pub(super) fn apply(self, cell: &mut Cell) -> Reply {
        match self {
            Self::PutDocument {
                base,
                document,
                who,
                key,
            } => cell.put_document(base, document, who, key),
            Self::SubmitJob { submission, who } => cell.submit_job(submission, &who),
            Self::CancelJob { job, who } => cell.cancel_and_audit(&job, &who),
            Self::Place(place) => cell.place(&place),
            Self::Stop(orders) => cell.order_runs(&orders),
            Self::FailJob { job, reason } => cell.fail_job(&job, reason),
            Self::MarkUnschedulable { job, reason } => cell.mark_unschedulable(&job, reason),
            Self::Quarantine { worker, on } => cell.quarantine(worker, on),
            Self::WorkerUp { spec, process } => cell.worker_up(spec, process),
            Self::WorkerDown {
                worker,
                process,
                never_sent,
            } => cell.worker_down(worker, process, &never_sent),
            Self::WorkerLeaving(worker) => cell.worker_leaving(worker),
            Self::Report(reports) => cell.report(&reports),
            Self::EntryUp(hello) => cell.entry_up(hello),
            Self::EntryLeaving(entry) => cell.entry_leaving(&entry),
            Self::EntryDown { entry, process } => cell.entry_down(&entry, process),
            Self::AnnounceMinion(minion) => cell.announce_minion(minion),
            Self::LeaveMinion(minion) => cell.leave_minion(&minion),
            Self::MinionDown { minion, process } => cell.minion_down(&minion, process),
            Self::ReleaseMinions { entry, minions } => cell.release_minions(&entry, &minions),
            Self::MoveMinions(minions) => cell.move_minions(&minions),
            Self::ClaimKey(claim) => cell.claim_key(claim),
            Self::SettleKey(settlement) => cell.settle_key(settlement),
            Self::Burn(delta) => cell.add_burn(&delta),
        }
    }
}

impl Cell {
    fn claim_key(&mut self, claim: KeyClaim) -> Reply {
        let record = KeyRecord {
            digest: claim.digest,
            entry: claim.entry.clone(),
            process: claim.process,
            idempotent: claim.idempotent,
            state: KeyState::InProgress(claim.entry),
        };
        match self
            .keys
            .claim(self.clock, &claim.service, &claim.key, record)
        {
            Claim::State(state) => Reply::Key(state),
            Claim::Expired => {
                let message = format!("the key {} is older than the answers kept", claim.key);
                refuse(RefusalKind::Expired, message)
            }
        }
    }

    fn add_burn(&mut self, delta: &BurnDelta) -> Reply {
        self.burn.add(self.clock, delta);
        Reply::Ok
    }

    fn settle_key(&mut self, settlement: KeySettlement) -> Reply {
        self.keys.settle(settlement);
        Reply::Ok
    }
}

/// A refusal without a time after which to retry.
pub(super) fn refuse(kind: RefusalKind, message: impl Into<String>) -> Reply {
    Reply::Refused(Refusal {
        kind,
        message: message.into(),
        retry_after: None::<Duration>,
    })
}
