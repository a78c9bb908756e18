//! Commands: the only way the replicated state changes.

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

/// One change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a new document in force if `base` still is.
    PutDocument {
        /// Revision the change was made from.
        base: Revision,
        /// The new document, already validated.
        document: Arc<Document>,
        /// Who sent it.
        who: CompactString,
        /// A resend under the same key gets the first answer.
        key: Option<IdempotencyKey>,
    },
    /// Accepts a job.
    SubmitJob {
        /// The job.
        submission: JobSubmission,
        /// Who submits it.
        who: CompactString,
    },
    /// Cancels a job: nothing of it starts any more, what runs is stopped.
    CancelJob {
        /// The job.
        job: JobName,
        /// Who cancels it.
        who: CompactString,
    },
    /// Starts tasks.
    Place(Place),
    /// Ends runs.
    Stop(Vec<RunOrder>),
    /// Gives a job up.
    GiveUp {
        /// The job.
        job: JobName,
        /// In one sentence.
        reason: CompactString,
    },
    /// Marks a job that can never run in the cell as it is.
    NeverRuns {
        /// The job.
        job: JobName,
        /// In one sentence.
        reason: CompactString,
    },
    /// Sets or lifts a worker's quarantine.
    Quarantine {
        /// The worker.
        worker: WorkerNumber,
        /// Whether it is quarantined from now on.
        on: bool,
    },
    /// A worker joined, or came back with another process or shape.
    WorkerUp {
        /// As it announces itself.
        spec: WorkerSpec,
        /// Its process.
        process: ProcessId,
    },
    /// A worker's lease ran out, or it left.
    WorkerDown {
        /// The worker.
        worker: WorkerNumber,
        /// The process that is gone.
        process: ProcessId,
        /// Runs the leader granted but never put into an answer: proved not to have started.
        never_sent: Vec<(JobNumber, TaskIndex)>,
    },
    /// A worker announced that it leaves.
    WorkerLeaving(WorkerNumber),
    /// Runs ended.
    Report(Vec<WorkerReport>),
    /// An entry host joined, or came back with another process.
    EntryUp(EntryHello),
    /// An entry host stops as planned and gives its minions up.
    EntryLeaving(EntryId),
    /// An entry host's lease ran out, or it has stopped.
    EntryDown {
        /// The entry host.
        entry: EntryId,
        /// The process that is gone.
        process: ProcessId,
    },
    /// A minion joined or changed.
    AnnounceMinion(MinionAnnouncement),
    /// A minion leaves as planned.
    LeaveMinion(MinionId),
    /// A minion's announcement lapsed.
    MinionDown {
        /// The minion.
        minion: MinionId,
        /// The process that is gone.
        process: ProcessId,
    },
    /// An entry host finished its last request at these minions.
    ReleaseMinions {
        /// The entry host.
        entry: EntryId,
        /// The minions.
        minions: Vec<MinionId>,
    },
    /// Asks the owners of these minions to give them up, to even out the entry hosts.
    MoveMinions(Vec<MinionId>),
    /// Reserves an idempotency key.
    ClaimKey(KeyClaim),
    /// Records what became of a claimed key.
    SettleKey(KeySettlement),
    /// Adds counts against the objectives.
    Burn(BurnDelta),
}

/// Starts of one batch. Jobs and workers are numbers and indexes are differences, so that one
/// start costs three to five bytes in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Starts by job.
    pub jobs: Vec<PlaceJob>,
}

/// Starts of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceJob {
    /// The job.
    pub job: JobNumber,
    /// What each task is granted when it differs from the declared need.
    pub granted: Option<Resources>,
    /// The starts, by ascending index.
    pub starts: Vec<Start>,
}

/// One start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Index less the index of the start before, or the index itself for the first.
    pub step: TaskIndex,
    /// Where.
    pub worker: WorkerNumber,
}

/// An order to end one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunOrder {
    /// The job.
    pub job: JobNumber,
    /// The task.
    pub index: TaskIndex,
    /// The start that is meant; an order for another one does nothing.
    pub attempt: Attempt,
    /// How.
    pub how: StopKind,
    /// Why.
    pub reason: StopReason,
}

/// Runs that ended on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: WorkerNumber,
    /// Job, task, start and end of each.
    pub ended: Vec<(JobNumber, TaskIndex, Attempt, RunEnd)>,
}

/// What a command gives back to its proposer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Done.
    Ok,
    /// The document is in force under this revision.
    Revision(Revision),
    /// The document was changed meanwhile; this one is in force.
    Stale(Revision),
    /// The job's state.
    Job(JobView),
    /// The key's state.
    Key(KeyState),
    /// Nothing was changed.
    Refused(Refusal),
}

impl Command {
    /// Encodes the command for the log.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        postcard::to_allocvec(&(super::STATE_VERSION, self))
            .map_err(|e| Error::caused(Step::Codec, "encoding a command", e))
    }

    /// Decodes a command from the log.
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
            Self::CancelJob { job, who } => cell.cancel_by(&job, &who),
            Self::Place(place) => cell.place(&place),
            Self::Stop(orders) => cell.order_runs(&orders),
            Self::GiveUp { job, reason } => cell.give_up(&job, reason),
            Self::NeverRuns { job, reason } => cell.never_runs(&job, reason),
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

/// A refusal that changes nothing.
pub(super) fn refuse(kind: RefusalKind, message: impl Into<String>) -> Reply {
    Reply::Refused(Refusal {
        kind,
        message: message.into(),
        retry_after: None::<Duration>,
    })
}
