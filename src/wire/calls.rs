//! Messages between entry hosts and control: calls and answers matched by id on one multiplexed
//! connection, and the feed of the document and of minion ownership that control sends back.

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

/// Number that matches an answer to its call; unique on one connection.
pub type CallId = u64;

/// What an entry host sends to control.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToControl {
    /// First message on each connection.
    Hello(EntryHello),
    /// A call, which gets exactly one answer unless the connection fails.
    Call {
        /// Repeated in the answer.
        id: CallId,
        /// The request itself.
        call: Call,
    },
}

/// What control sends to an entry host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FromControl {
    /// Answer to one call.
    Answer {
        /// Id of the call.
        id: CallId,
        /// The call's result.
        answer: Answer,
    },
    /// Full state for the entry host; a confirmed leader sends it first on each connection.
    Feed(Feed),
    /// Changes to that state since the previous `Feed` or `Change` on the same connection.
    Change(Box<FeedDelta>),
}

/// Identity of an entry host, sent when it connects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHello {
    /// Name of the entry host, unique in the cell.
    pub entry: EntryId,
    /// Id of its process; changes with each restart.
    pub process: ProcessId,
    /// Availability zone that it runs in.
    pub zone: ZoneName,
    /// Address for requests that other entry hosts forward.
    pub peer_addr: SocketAddr,
    /// Document revision it holds; the feed leaves this document out.
    pub in_force: Revision,
}

/// A call from an entry host, on its own behalf or for a minion, worker, caller or operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Call {
    /// Renews the entry host's lease, which it counts from the moment it sent this call, and
    /// reports its state.
    Renew(EntryReport),
    /// Registers a minion or renews its registration.
    AnnounceMinion(MinionAnnouncement),
    /// A minion shuts down as planned.
    LeaveMinion(MinionId),
    /// A worker renews its lease and asks for its tasks.
    PollWorker(WorkerPoll),
    /// A caller submits a job.
    SubmitJob(JobSubmission),
    /// A caller or operator queries a job.
    QueryJob(JobName),
    /// A caller or operator cancels a job.
    CancelJob(JobName),
    /// Reserves an idempotency key before a non-idempotent request starts.
    ClaimKey(KeyClaim),
    /// Records the outcome of the request under a claimed key.
    SettleKey(KeySettlement),
    /// Events counted for the service level objectives since the last answered call of this kind.
    Burn(BurnDelta),
    /// An operator's HTTP request, forwarded to the leader unchanged.
    Http(HttpCall),
}

/// Answer to one call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// The call took effect and has no result.
    Ok,
    /// The lease is renewed for this time, counted from the moment the call was sent.
    Lease(Duration),
    /// A worker's lease, and the runs that it must start and stop.
    Tasks(WorkerTasks),
    /// A job's state.
    Job(JobView),
    /// State of an idempotency key.
    Key(KeyState),
    /// The leader's answer to an operator's HTTP request.
    Http(HttpAnswer),
    /// Refused; nothing was changed.
    Refused(Refusal),
    /// This replica is not the leader; nothing was changed. Contains the leader's address when this
    /// replica has one.
    NotLeader(Option<SocketAddr>),
    /// Leadership was lost during the call, which may or may not have taken effect.
    Unknown,
}

/// Why a call was refused. Nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Determines the HTTP status.
    pub kind: RefusalKind,
    /// One sentence for the caller.
    pub message: String,
    /// Time after which a retry may succeed; absent when no time is suggested.
    pub retry_after: Option<Duration>,
}

/// Reason class of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalKind {
    /// The named object does not exist.
    NotFound,
    /// The request is malformed or contradicts itself.
    Invalid,
    /// The request conflicts with existing state.
    Conflict,
    /// The key or name is older than the retained history.
    Expired,
    /// A rate or size limit is exceeded.
    Overloaded,
}

/// State that an entry host reports when it renews its lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryReport {
    /// Document revision in use.
    pub in_force: Revision,
    /// Minions that the entry host has released, after its last request there ended; repeated
    /// until the feed names another owner or none.
    pub released: Vec<MinionId>,
    /// The entry host shuts down as planned and must not be assigned minions.
    pub leaving: bool,
}

/// Registration of a minion, which expires unless it is renewed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionAnnouncement {
    /// Name of the minion, unique in the cell.
    pub id: MinionId,
    /// Id of its process; a new process under the same name replaces the old one.
    pub process: ProcessId,
    /// Service whose requests it handles.
    pub service: ServiceName,
    /// Address on which it takes requests.
    pub addr: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: ZoneName,
    /// Most requests in work at the same time.
    pub slots: u32,
    /// Most open connections.
    pub connections: u32,
    /// Time after which the announcement expires unless it is renewed.
    pub ttl: Duration,
}

/// State that control maintains at every entry host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feed {
    /// Revision of the document; 0 before the first document.
    pub revision: Revision,
    /// The document; absent when the entry host already holds this revision.
    pub document: Option<Arc<Document>>,
    /// Entry hosts that are not shutting down, the receiver included.
    pub entries: BTreeMap<EntryId, PeerEntry>,
    /// All announced minions, with their owners.
    pub minions: BTreeMap<MinionId, OwnedMinion>,
}

/// An entry host as other entry hosts reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEntry {
    /// Availability zone that it runs in.
    pub zone: ZoneName,
    /// Address on which it takes forwarded requests.
    pub peer_addr: SocketAddr,
    /// Id of its process; changes with each restart.
    pub process: ProcessId,
}

/// A minion and the entry host that may send it requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedMinion {
    /// The minion as announced.
    pub minion: MinionAnnouncement,
    /// The only entry host that may use the minion; `None` until a previous owner's lease has
    /// expired.
    pub owner: Option<EntryId>,
    /// Number of this ownership; increases with each change of owner.
    pub epoch: u64,
    /// The minion shuts down or has stopped reporting: it must get no new requests.
    pub leaving: bool,
    /// The owner must finish its requests in flight at the minion, start no new ones and then
    /// report the minion as released, so that another entry host can take over.
    pub release: bool,
    /// The previous owner's lease expired: its requests may still be in work at the minion.
    pub lapsed: bool,
}

/// An operator's HTTP request, forwarded to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpCall {
    /// Method in capitals, such as `GET`.
    pub method: CompactString,
    /// Path with query.
    pub path: String,
    /// Headers; those with values that are not text are left out.
    pub headers: Vec<(CompactString, String)>,
    /// Whole body; empty when there is none.
    pub body: Vec<u8>,
}

/// The leader's answer to an operator's HTTP request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpAnswer {
    /// Status code.
    pub status: u16,
    /// Headers set by the leader.
    pub headers: Vec<(CompactString, String)>,
    /// Whole body; empty when there is none.
    pub body: Vec<u8>,
}

/// A worker's long poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerPoll {
    /// Name, location and capacity of the worker.
    pub worker: WorkerSpec,
    /// Id of its process; a new process under the same name runs none of the old one's runs.
    pub process: ProcessId,
    /// Increases with each poll of one process. A poll whose number is not above the last one seen
    /// was overtaken by a later poll: its list of runs is out of date and must be ignored.
    pub sequence: u64,
    /// Version of the list of runs; increases with each change of the list.
    #[serde(default)]
    pub list: u64,
    /// Whether the list is left out because an earlier, answered poll carried the same version.
    #[serde(default)]
    pub unchanged: bool,
    /// All runs that the worker holds at this moment; empty when the list is left out.
    pub running: Vec<TaskRun>,
    /// Runs that ended since the last answered poll; repeated until acknowledged.
    pub ended: Vec<EndedRun>,
    /// Measured resource usage of each run.
    pub usage: Vec<RunUsage>,
    /// Longest time for which the answer may be delayed while there is nothing to report.
    pub wait: Duration,
    /// The worker shuts down as planned.
    pub leaving: bool,
}

/// A worker's report of a run that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Task and attempt.
    pub run: TaskRun,
    /// How the run ended.
    pub end: RunEnd,
}

/// Measured resource usage of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunUsage {
    /// Task and attempt.
    pub run: TaskRun,
    /// CPU usage in thousandths of a core.
    pub millicores: u32,
    /// Memory usage in megabytes.
    pub memory_mb: u32,
}

/// Answer to a worker's poll.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTasks {
    /// Length of the lease, counted by the worker from the moment it sent the poll.
    pub lease: Duration,
    /// Runs to start now. Runs that the worker reported as running are not listed again; they
    /// continue.
    pub assigned: Vec<AssignedRun>,
    /// Runs to checkpoint, throttle or stop.
    pub stop: Vec<StopRun>,
    /// Ended runs that control has recorded; the worker need not report them again.
    pub acknowledged: Vec<TaskRun>,
    /// Control does not have the list of runs that the poll left out; the next poll must include
    /// it.
    #[serde(default)]
    pub send_list: bool,
}

/// A run that a worker must start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedRun {
    /// Task and attempt.
    pub run: TaskRun,
    /// Job kind declared in the document.
    pub kind: KindName,
    /// The job's payload, passed to the task unchanged.
    pub payload: CompactString,
    /// Granted resources: the declared need, or more when runs of this kind have used more.
    pub need: crate::resources::Resources,
    /// Whether the run may continue after the worker's lease has expired.
    pub keep_without_lease: bool,
    /// Declared run time; a simulated worker runs the task for this time.
    pub run_time: Duration,
}

/// A run that must be checkpointed, throttled or stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopRun {
    /// Task and attempt.
    pub run: TaskRun,
    /// What the worker must do with the run.
    pub how: StopKind,
}

/// What a worker must do with a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopKind {
    /// Save a checkpoint, then stop.
    Checkpoint,
    /// Reduce resource usage and continue.
    Throttle,
    /// Stop without a checkpoint.
    Stop,
}

/// A job as a caller submits it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobSubmission {
    /// Name of the job; derived from the key when absent.
    pub name: Option<JobName>,
    /// Kind declared in the document.
    pub kind: KindName,
    /// Team; the kind's team when absent.
    pub team: Option<TeamName>,
    /// Number of tasks; the kind's number when absent.
    pub tasks: Option<u32>,
    /// Text passed to the worker unchanged.
    pub payload: CompactString,
    /// Idempotency key: a repeated submission under the same key gets the first one's answer.
    pub key: Option<IdempotencyKey>,
}

/// State of a job, derived from its tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobPhase {
    /// No task has started yet.
    #[default]
    Waiting,
    /// At least one task runs or has run.
    Running,
    /// All tasks are done.
    Done,
    /// Given up after the last attempt, or by a rule of the job kind.
    Failed,
    /// Cancelled; tasks that had not started will not start.
    Cancelled,
    /// A non-idempotent task may have run and will not be started again.
    Unknown,
}

impl JobPhase {
    /// Lower-case name for display.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Running => "running",
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::Unknown => "unknown",
        }
    }

    /// Whether no task of the job runs or will run again.
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::Waiting | Self::Running)
    }
}

/// State of a job as shown to callers and operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Name of the job.
    pub name: JobName,
    /// Kind declared in the document.
    pub kind: KindName,
    /// Team whose quota the job uses.
    pub team: TeamName,
    /// State derived from the tasks counted below.
    pub phase: JobPhase,
    /// Total number of tasks.
    pub tasks: u32,
    /// Number of tasks that wait to be placed.
    pub waiting: u32,
    /// Number of tasks that run.
    pub running: u32,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks given up.
    pub failed: u32,
    /// Number of tasks that may have run and are not started again.
    pub unknown: u32,
    /// Number of runs started, over all tasks.
    pub starts: u32,
    /// Time from submission to the first start; absent before that.
    pub waited: Option<Duration>,
    /// Why the job waits, in one sentence with figures; empty when it does not wait.
    pub reason: String,
    /// Workers on which its tasks run now.
    pub workers: Vec<WorkerId>,
}

/// A claim on an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// Service that the request is for; keys of different services are independent.
    pub service: ServiceName,
    /// Key sent by the caller.
    pub key: IdempotencyKey,
    /// Hash of method, path and body; a different request under the same key is refused.
    pub digest: [u8; 16],
    /// Entry host that claims the key and will run the request.
    pub entry: EntryId,
    /// Process of that entry host.
    pub process: ProcessId,
    /// Whether the request may run again when its entry host is lost.
    pub idempotent: bool,
}

/// Outcome of the request under a claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeySettlement {
    /// Service of the claim.
    pub service: ServiceName,
    /// Key sent by the caller.
    pub key: IdempotencyKey,
    /// Entry host that claimed the key.
    pub entry: EntryId,
    /// Process that claimed the key; a settlement by any other process is ignored.
    pub process: ProcessId,
    /// New state of the key.
    pub state: KeyState,
}

/// State of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState {
    /// The claim succeeded: the entry host that sent it runs the request.
    Claimed,
    /// This entry host is running the request.
    InProgress(EntryId),
    /// The request ran and got this answer.
    Done(StoredAnswer),
    /// The request may have run and will not be run again.
    Unknown,
    /// It is certain that the request did not run; the key is free again.
    NotRun,
    /// The key was used for a different request.
    Mismatch,
}

/// An answer stored for repeated requests under the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: CompactString,
    /// Body; absent when it was larger than the limit for stored answers.
    pub body: Option<Vec<u8>>,
}
