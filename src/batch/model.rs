//! Data model: jobs and their steps, the configuration, and what minions report.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::workspaces::{Caller, KeyHash, Workspaces};
use crate::ids::{MinionId, RackName, ServiceName, Timestamp, ZoneName};
use crate::resources::Resources;

/// Id that the caller chooses for a job; also the idempotency key of the submission.
pub type JobId = u64;
/// Number of a run within its task, from 1. A minion refuses a run that is not newer than the last
/// one of the task that it stopped or that ended there.
pub type RunNumber = u32;
/// Number that the ledger assigns to one incarnation of a minion.
pub type MinionNumber = u32;
/// Version of a configuration, chosen by the operator; the highest one is in force.
pub type ConfigVersion = u64;
/// Opaque text from which a run resumes saved progress; empty when nothing was saved.
pub type Checkpoint = CompactString;

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepId {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Repetition of a scheduled job, from 0.
    pub occurrence: u32,
    /// Position of the step in the job, from 0.
    pub step: u16,
}

impl StepId {
    /// Range of all possible steps of a job, for range queries on ordered maps.
    pub fn all_of(job: JobId) -> RangeInclusive<Self> {
        let id = |occurrence, step| Self {
            job,
            occurrence,
            step,
        };
        id(0, 0)..=id(u32::MAX, u16::MAX)
    }

    /// Id of the task at this position.
    pub fn task(self, index: u32) -> TaskId {
        TaskId { step: self, index }
    }

    /// Range of all possible tasks of the step, for range queries on ordered maps.
    pub fn tasks(self) -> RangeInclusive<TaskId> {
        self.task(0)..=self.task(u32::MAX)
    }
}

/// One task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// Step that the task belongs to.
    pub step: StepId,
    /// Position in the step, from 0.
    pub index: u32,
}

impl TaskId {
    /// Marks the key of a copy; a step has far fewer tasks.
    const COPY_BIT: u32 = 1 << 31;

    /// Key under which the copy of this task is tracked beside the task's first run.
    pub(crate) fn copy(self) -> Self {
        Self {
            index: self.index | Self::COPY_BIT,
            ..self
        }
    }

    /// Whether this is the key of a copy.
    pub(crate) fn is_copy(self) -> bool {
        self.index & Self::COPY_BIT != 0
    }

    /// The task itself, also for the key of its copy.
    pub(crate) fn original(self) -> Self {
        Self {
            index: self.index & !Self::COPY_BIT,
            ..self
        }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

/// Whether the tasks of a step end by themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifetime {
    /// Each task ends when its work is done.
    #[default]
    Finite,
    /// The tasks run until the job is cancelled; they are restarted however they end.
    Lasting,
}

/// How the tasks of a step are started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grouping {
    /// Each task is started independently.
    #[default]
    Single,
    /// All tasks are started together or not at all; they make progress only together.
    Gang,
}

/// One step of a job as declared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task reserves on its minion.
    pub need: Resources,
    /// Declared run time of a task; often far from the actual one.
    pub estimate: Duration,
    /// Dependencies: positions of earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Whether the tasks write checkpoints.
    pub saves_progress: bool,
    /// Whether the tasks form a gang.
    pub grouping: Grouping,
    /// Whether the tasks run slower when spread over more than one rack.
    pub one_rack: bool,
    /// Label that a minion must have; `None` for any minion.
    pub label: Option<CompactString>,
    /// Rack of the input data; tasks on other racks run slower.
    pub data_rack: Option<RackName>,
    /// Most tasks of the step on one minion; `None` for no limit.
    pub max_per_minion: Option<u32>,
    /// Whether speculative copies of one task may run at the same time.
    pub copies_allowed: bool,
    /// Whether the tasks end by themselves.
    pub lifetime: Lifetime,
    /// Program that the tasks run; tasks with the same image have similar run times and usage.
    pub image: CompactString,
    /// Bound on the tail latency of a task that itself serves requests; `None` for other tasks.
    pub latency_target: Option<Duration>,
    /// Whether the tasks use only processor time that other tasks leave idle.
    pub uses_idle_cpu: bool,
    /// Most tasks that the scheduler may disrupt at once; `None` when not declared.
    pub disruption_budget: Option<u32>,
}

/// Schedule of a job that runs more than once or at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timetable {
    /// Number of times that the steps are run.
    pub occurrences: u32,
    /// Unix time of the first occurrence.
    pub first: Duration,
    /// Time from one occurrence to the next.
    pub interval: Duration,
}

impl Timetable {
    /// Unix time at which an occurrence is due.
    pub fn due(&self, occurrence: u32) -> Duration {
        self.first + self.interval * occurrence
    }
}

/// A job as a caller declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text passed unchanged with each start.
    pub payload: CompactString,
    /// Steps; a step depends only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Schedule; without one the job runs once, immediately.
    pub timetable: Option<Timetable>,
}

/// Cost and validity of answers of the placement policy service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyConfig {
    /// Fixed time of a call.
    pub base: Duration,
    /// Additional time for each minion in the question.
    pub per_minion: Duration,
    /// How long a ticket remains valid.
    pub validity: Duration,
}

/// A queue of jobs, as a route of the configuration declares it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the route; not used for matching requests.
    pub name: CompactString,
    /// Host in the requests of callers, in lower case.
    pub host: CompactString,
    /// Prefix of the request paths that belong to the queue.
    pub prefix: CompactString,
    /// Time within which a caller must get an answer.
    pub timeout: Duration,
    /// Fixed part of a job's latency objective.
    pub slo: Duration,
    /// Variable part of the latency objective, as a multiple of the job's critical path.
    pub slo_multiple: f64,
    /// Scheduling priority; 0 is the highest.
    pub priority: u32,
    /// Service whose minions run the tasks.
    pub service: ServiceName,
    /// Number of failed runs of a task, or of a gang's tasks together, that fail the job.
    pub attempts: u32,
    /// Policy service to ask before placing tasks; `None` to place without asking.
    pub advice: Option<PolicyConfig>,
    /// Whether callers need no API key.
    pub public: bool,
}

/// Identity of a queue: unlike its name, it does not change with the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QueueKey {
    /// Host in the requests of callers.
    pub host: CompactString,
    /// Prefix of the request paths that belong to the queue.
    pub prefix: CompactString,
}

impl Queue {
    /// Identity of the queue.
    pub fn key(&self) -> QueueKey {
        QueueKey {
            host: self.host.clone(),
            prefix: self.prefix.clone(),
        }
    }
}

/// A pool of minions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name by which queues and minions refer to the pool.
    pub name: ServiceName,
    /// Whether its minions refuse runs that do not fit.
    pub admission_check: bool,
    /// Whether its hosts are powered off.
    pub standby: bool,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: u32,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u32,
    /// Time within which the head of a request must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Values of the operators' example configuration, in force until a configuration sets others.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A parsed configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// One queue per declared route.
    pub queues: Vec<Queue>,
    /// Pools of minions.
    pub services: Vec<Service>,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// Workspaces; `None` where the deployment uses no API keys.
    pub workspaces: Option<Workspaces>,
}

impl Configuration {
    /// Identifies the caller of a queue; `None` when the queue requires a key and the given one is
    /// missing or not valid.
    pub fn caller(&self, queue: &Queue, key: Option<&KeyHash>) -> Option<Caller> {
        match &self.workspaces {
            Some(workspaces) if !queue.public => {
                let owner = workspaces.keys.get(key?)?;
                Some(Caller::Workspace(owner.clone()))
            }
            _ => Some(Caller::Anonymous),
        }
    }

    /// Finds the queue of a request and the rest of the path after its prefix. The longest matching
    /// prefix of the host wins.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        self.queues
            .iter()
            .filter(|q| q.host == host && path.starts_with(q.prefix.as_str()))
            .max_by_key(|q| q.prefix.len())
            .map(|q| (q, &path[q.prefix.len()..]))
    }
}

/// Whether a minion takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// Accepts new runs.
    Ready,
    /// Shutting down; accepts no new runs.
    Draining {
        /// Minimum time until it stops working; `None` when it did not say.
        remaining: Option<Duration>,
    },
}

/// Report that a minion sends about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionReport {
    /// Name of the minion; it may restart under the same one.
    pub id: MinionId,
    /// Start time by the minion's Unix clock; distinguishes incarnations with the same name. `None`
    /// when it did not say.
    pub started: Option<Timestamp>,
    /// Service that the minion belongs to.
    pub service: ServiceName,
    /// Address at which it accepts orders.
    pub addr: SocketAddr,
    /// Availability zone of its host.
    pub zone: ZoneName,
    /// Total resources of the minion.
    pub capacity: Resources,
    /// Labels: its kind, its rack, and any others.
    pub labels: Vec<CompactString>,
    /// Whether it accepts new runs.
    pub readiness: Readiness,
    /// The minion's monotonic clock when it sent the report.
    pub clock: Duration,
    /// Increases with each report; a report with a lower number is stale.
    pub sequence: u64,
}

impl MinionReport {
    /// The report of an incarnation that has not reported: without what its start may have changed.
    /// No task fits into it.
    pub fn without_resources(self) -> Self {
        Self {
            capacity: Resources::default(),
            labels: Vec::new(),
            ..self
        }
    }

    /// Whether the incarnation itself has told its resources.
    pub fn has_resources(&self) -> bool {
        self.capacity != Resources::default()
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndKind {
    /// The task completed.
    Done,
    /// The task or its minion failed; counts as an attempt, once for each run of a gang.
    Failed,
    /// Stopped by an order.
    Stopped,
    /// The lease expired, or the minion is gone.
    Lapsed,
    /// Another member of its gang ended. In the log, also a failed end of a run that another member's
    /// end has counted.
    GangMemberLost,
    /// The other members of its gang did not start in time.
    GangIncomplete,
    /// Proved never to have started.
    NeverStarted,
    /// The minion crashed.
    Crashed,
}

impl EndKind {
    /// Value in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::GangMemberLost => "broken",
            Self::GangIncomplete => "alone",
            Self::NeverStarted => "never-started",
            Self::Crashed => "crashed",
        }
    }
}

/// A job's state as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted; no task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks of all occurrences are done.
    Done,
    /// A task failed too often, or may have crashed too many minions.
    Failed,
    /// Cancelled by a caller.
    Canceled,
}

impl JobState {
    /// Whether the job has ended, so that none of its tasks will start again.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }
}
