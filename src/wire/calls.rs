//! Calls from entry hosts to control: requests by id over one multiplexed connection, and the
//! feed of document and ownership that flows back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::delta::FeedDelta;
use crate::document::Document;
use crate::ids::{
    EntryId, IdempotencyKey, JobName, KindName, MinionId, ProcessId, Revision, ServiceName,
    TeamName, WorkerId, ZoneName,
};
use crate::slo::BurnDelta;
use crate::workload::{RunEnd, TaskRun, WorkerSpec};

/// Number that matches an answer to its call on one connection.
pub type CallId = u64;

/// What an entry host sends to control.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToControl {
    /// First message on each connection.
    Hello(EntryHello),
    /// A call that wants one answer.
    Call {
        /// Matches the answer.
        id: CallId,
        /// What is asked.
        call: Call,
    },
}

/// What control sends to an entry host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FromControl {
    /// Answer to one call.
    Answer {
        /// The call's number.
        id: CallId,
        /// What came of it.
        answer: Answer,
    },
    /// State the entry host must hold, sent first on each connection by a confirmed leader.
    Feed(Feed),
    /// What changed in that state since the message before on the same connection.
    Change(Box<FeedDelta>),
}

/// An entry host's introduction of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHello {
    /// Its name.
    pub entry: EntryId,
    /// Its process; a new one after each restart.
    pub process: ProcessId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where other entry hosts reach it.
    pub peer_addr: SocketAddr,
    /// Document revision it holds.
    pub in_force: Revision,
}

/// One call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Call {
    /// Renews the entry host's lease, counted by it from the moment it sent this, and reports.
    Renew(EntryReport),
    /// A minion announced itself or renewed its announcement.
    AnnounceMinion(MinionAnnouncement),
    /// A minion leaves as planned.
    LeaveMinion(MinionId),
    /// A worker asks for its lease and its tasks.
    PollWorker(WorkerPoll),
    /// A caller submits a job.
    SubmitJob(JobSubmission),
    /// A caller or operator asks about a job.
    QueryJob(JobName),
    /// A caller or operator cancels a job.
    CancelJob(JobName),
    /// Reserves an idempotency key before a non-idempotent request starts.
    ClaimKey(KeyClaim),
    /// Records what became of a claimed key.
    SettleKey(KeySettlement),
    /// Counts against the objectives since the last such call that was answered.
    Burn(BurnDelta),
    /// An operator's HTTP request, carried to the leader as it is.
    Http(HttpCall),
}

/// Answer to one call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// Done; nothing else to say.
    Ok,
    /// The lease is renewed for this long from the moment the call was sent.
    Lease(Duration),
    /// Tasks a worker must run, everything else it must stop.
    Tasks(WorkerTasks),
    /// A job's state.
    Job(JobView),
    /// State of an idempotency key.
    Key(KeyState),
    /// The leader's answer to an operator's HTTP request.
    Http(HttpAnswer),
    /// Refused; nothing was changed.
    Refused(Refusal),
    /// This replica does not lead; ask there. Nothing was changed.
    NotLeader(Option<SocketAddr>),
    /// Leadership was lost on the way; the call may or may not have taken effect.
    Unknown,
}

/// Why a call was refused. Nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Kind of refusal; decides the HTTP status.
    pub kind: RefusalKind,
    /// A sentence for the caller.
    pub message: String,
    /// When to come back, if it makes sense to.
    pub retry_after: Option<Duration>,
}

/// Kinds of refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalKind {
    /// No such thing.
    NotFound,
    /// The request makes no sense.
    Invalid,
    /// It clashes with what is there.
    Conflict,
    /// The key or name is older than what is kept.
    Expired,
    /// Too much at once.
    Overloaded,
}

/// What an entry host reports with its lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryReport {
    /// Document revision in force.
    pub in_force: Revision,
    /// Minions the entry host has given up after its last request there ended; repeated until
    /// the feed names another owner or none.
    pub released: Vec<MinionId>,
    /// The entry host stops as planned: it wants no minion.
    pub leaving: bool,
}

/// A minion's announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionAnnouncement {
    /// Its name.
    pub id: MinionId,
    /// Its process; another one under the same name replaces the old.
    pub process: ProcessId,
    /// Service it answers.
    pub service: ServiceName,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests it works on at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Time after which the announcement lapses if it is not renewed.
    pub ttl: Duration,
}

/// Everything an entry host holds on behalf of control.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feed {
    /// Revision of the document; 0 before the first.
    pub revision: Revision,
    /// The document, only when it differs from what the entry host holds.
    pub document: Option<Arc<Document>>,
    /// Entry hosts alive.
    pub entries: BTreeMap<EntryId, PeerEntry>,
    /// Minions and their owners.
    pub minions: BTreeMap<MinionId, OwnedMinion>,
}

/// Another entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEntry {
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it takes forwarded requests.
    pub peer_addr: SocketAddr,
    /// Its process.
    pub process: ProcessId,
}

/// A minion with its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedMinion {
    /// The minion as announced.
    pub minion: MinionAnnouncement,
    /// Entry host that may use it; none while an earlier owner's lease runs out.
    pub owner: Option<EntryId>,
    /// Number of this ownership; grows with each change of owner.
    pub epoch: u64,
    /// The minion leaves: no new request.
    pub leaving: bool,
    /// The owner must finish what it has in flight there, start nothing new and report the
    /// minion as released, so that another entry host can take it over.
    pub release: bool,
    /// The owner before was lost: its requests may still be in work at the minion.
    pub lapsed: bool,
}

/// An operator's HTTP request on its way to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpCall {
    /// Method, such as `GET`.
    pub method: CompactString,
    /// Path with query.
    pub path: String,
    /// Headers; values that are no text are left out.
    pub headers: Vec<(CompactString, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// The leader's answer to an operator's HTTP request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpAnswer {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(CompactString, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// A worker's long poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerPoll {
    /// The worker as it announces itself.
    pub worker: WorkerSpec,
    /// Its process; another one under the same name runs nothing of the old.
    pub process: ProcessId,
    /// Grows with each poll of one process. A poll with a number not above the last one seen
    /// was overtaken on the way: its list of runs is out of date and must not be believed.
    pub sequence: u64,
    /// Number of the list of runs; grows with each change of the list.
    #[serde(default)]
    pub list: u64,
    /// Whether the list is left out because an answered poll carried the same one before.
    #[serde(default)]
    pub unchanged: bool,
    /// Every run the worker holds at this moment, unless the list is left out.
    pub running: Vec<TaskRun>,
    /// Runs that ended since the last answered poll; repeated until acknowledged.
    pub ended: Vec<EndedRun>,
    /// Usage measured per run: millicores and megabytes.
    pub usage: Vec<RunUsage>,
    /// How long the answer may be held back while there is no news.
    pub wait: Duration,
    /// The worker leaves as planned.
    pub leaving: bool,
}

/// A run that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// The run.
    pub run: TaskRun,
    /// How it ended.
    pub end: RunEnd,
}

/// Usage of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunUsage {
    /// The run.
    pub run: TaskRun,
    /// Thousandths of a core.
    pub millicores: u32,
    /// Megabytes.
    pub memory_mb: u32,
}

/// Answer to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTasks {
    /// Lease, counted by the worker from the moment it sent the poll.
    pub lease: Duration,
    /// Runs to start now. A run the worker said it holds is not named again; it goes on.
    pub assigned: Vec<AssignedRun>,
    /// Runs to checkpoint or stop.
    pub stop: Vec<StopRun>,
    /// Ended runs control has recorded; the worker may forget them.
    pub acknowledged: Vec<TaskRun>,
    /// Control does not hold the list that was left out: the next poll must carry it.
    #[serde(default)]
    pub send_list: bool,
}

/// A run a worker must hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedRun {
    /// The run.
    pub run: TaskRun,
    /// Job kind.
    pub kind: KindName,
    /// Opaque text of the job.
    pub payload: CompactString,
    /// What is granted: the declared need, or more where more was learnt.
    pub need: crate::resources::Resources,
    /// Whether the run may continue when the worker's lease lapses.
    pub keep_without_lease: bool,
    /// Declared run time; a fake worker runs for this long.
    pub run_time: Duration,
}

/// A run that must end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopRun {
    /// The run.
    pub run: TaskRun,
    /// Whether to save state first.
    pub how: StopKind,
}

/// How a run must end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopKind {
    /// Save state, then stop.
    Checkpoint,
    /// Use less.
    Throttle,
    /// Stop now.
    Stop,
}

/// A job as a caller submits it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobSubmission {
    /// Name; made from the key when absent.
    pub name: Option<JobName>,
    /// Kind declared in the document.
    pub kind: KindName,
    /// Team, when it differs from the kind's.
    pub team: Option<TeamName>,
    /// Number of tasks, when it differs from the kind's.
    pub tasks: Option<u32>,
    /// Opaque text handed to the worker.
    pub payload: CompactString,
    /// A resend under the same key gets the first answer.
    pub key: Option<IdempotencyKey>,
}

/// State of a job as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobPhase {
    /// No task runs yet.
    #[default]
    Waiting,
    /// Some task runs or has run.
    Running,
    /// All tasks are done.
    Done,
    /// Given up after its attempts, or by rule.
    Failed,
    /// Cancelled; tasks that had not started never will.
    Cancelled,
    /// A non-idempotent task may have run and will not be started again.
    Unknown,
}

impl JobPhase {
    /// The state in a word.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Running => "running",
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::Unknown => "unknown",
        }
    }

    /// Whether nothing of the job runs or will run.
    pub const fn is_over(self) -> bool {
        !matches!(self, Self::Waiting | Self::Running)
    }
}

/// A job as a caller sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Its name.
    pub name: JobName,
    /// Its kind.
    pub kind: KindName,
    /// Its team.
    pub team: TeamName,
    /// Its state.
    pub phase: JobPhase,
    /// Tasks in all.
    pub tasks: u32,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks given up.
    pub failed: u32,
    /// Tasks whose outcome is not known.
    pub unknown: u32,
    /// Starts of all tasks together.
    pub starts: u32,
    /// Time from arrival to the first start.
    pub waited: Option<Duration>,
    /// Why it waits now, in one sentence with figures; empty when it does not.
    pub reason: String,
    /// Workers that run its tasks.
    pub workers: Vec<WorkerId>,
}

/// A claim on an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// Service the request is for.
    pub service: ServiceName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Hash of method, path and body; another request under the same key is refused.
    pub digest: [u8; 16],
    /// Entry host and process that will run it.
    pub entry: EntryId,
    /// Process of that entry host.
    pub process: ProcessId,
    /// Whether the request may run again when it is lost with its entry host.
    pub idempotent: bool,
}

/// What became of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeySettlement {
    /// Service.
    pub service: ServiceName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Entry host that claimed it.
    pub entry: EntryId,
    /// Process that claimed it; the word of another one changes nothing.
    pub process: ProcessId,
    /// What happened.
    pub state: KeyState,
}

/// State of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState {
    /// The claim succeeded: the caller of this call runs the request.
    Claimed,
    /// Another entry host is running it.
    InProgress(EntryId),
    /// It ran; this is the answer.
    Done(StoredAnswer),
    /// It may have run and will not be run again.
    Unknown,
    /// It is proved that nothing ran; the key is free again.
    NotRun,
    /// The key was used for another request.
    Mismatch,
}

/// An answer kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: CompactString,
    /// Body; absent when it was over the stored limit.
    pub body: Option<Vec<u8>>,
}
