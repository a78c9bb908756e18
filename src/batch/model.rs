//! Jobs of steps, the configuration they run under, and the minions that run their tasks.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::workspaces::{Caller, KeyHash, Workspaces};
use crate::ids::{MinionId, RackName, ServiceName, Timestamp, ZoneName};
use crate::resources::Resources;

/// Number under which a caller hands a job in; the idempotency key of the hand-in.
pub type JobId = u64;
/// Number of a task's start, from 1. A minion refuses one that is not newer than the last.
pub type RunNumber = u32;
/// Number the ledger gives one incarnation of a minion.
pub type MinionNumber = u32;
/// Version of a configuration; the highest one is in force.
pub type ConfigVersion = u64;
/// Text that lets a start go on from saved progress; empty when nothing was saved.
pub type Checkpoint = CompactString;

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Which repetition of a scheduled job, from 0.
    pub occurrence: u32,
    /// Position of the step in the job, from 0.
    pub step: u16,
}

impl StepId {
    /// All steps that a job can have.
    pub fn all_of(job: JobId) -> RangeInclusive<Self> {
        let id = |occurrence, step| Self {
            job,
            occurrence,
            step,
        };
        id(0, 0)..=id(u32::MAX, u16::MAX)
    }

    /// One of its tasks.
    pub fn task(self, index: u32) -> TaskId {
        TaskId { step: self, index }
    }

    /// All tasks that it can have.
    pub fn tasks(self) -> RangeInclusive<TaskId> {
        self.task(0)..=self.task(u32::MAX)
    }
}

/// One task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The step it belongs to.
    pub step: StepId,
    /// Position in the step, from 0.
    pub index: u32,
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

/// How the tasks of a step relate to time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifetime {
    /// Each task ends once it has done its work.
    #[default]
    Finite,
    /// The tasks run until the job is cancelled and are started again however they end.
    Lasting,
}

/// How the tasks of a step are started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grouping {
    /// Each on its own.
    #[default]
    Single,
    /// All at once or not at all; they work only together.
    Gang,
}

/// One step as declared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes of its minion.
    pub need: Resources,
    /// Declared run time of a task; often far off.
    pub estimate: Duration,
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Whether the tasks write checkpoints.
    pub saves_progress: bool,
    /// Whether the tasks work only together.
    pub grouping: Grouping,
    /// Whether tasks on more than one rack run slower.
    pub one_rack: bool,
    /// Label that a minion must carry.
    pub label: Option<CompactString>,
    /// Rack near the data; slower elsewhere.
    pub data_rack: Option<RackName>,
    /// Most tasks of the step on one minion.
    pub max_per_minion: Option<u32>,
    /// Whether copies of one task may run at the same time.
    pub copies_allowed: bool,
    /// Whether the tasks end by themselves.
    pub lifetime: Lifetime,
    /// What the tasks run; tasks of one image behave alike.
    pub image: CompactString,
    /// Bound on the tail latency of a task that serves users of its own.
    pub latency_target: Option<Duration>,
    /// Whether the tasks take only processor time that others leave idle.
    pub fills: bool,
    /// How many tasks may be away at once because of the scheduler.
    pub disruption_budget: Option<u32>,
}

/// When a job's steps are run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timetable {
    /// Number of occurrences.
    pub occurrences: u32,
    /// Unix time of the first one.
    pub first: Duration,
    /// Time between two.
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
    /// Passed to each start unchanged.
    pub payload: CompactString,
    /// Its steps, in order.
    pub steps: Vec<StepSpec>,
    /// When it runs; at once and once when absent.
    pub timetable: Option<Timetable>,
}

/// What a policy service about placement costs to ask.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceTerms {
    /// Time of a call.
    pub base: Duration,
    /// Further time for each minion asked about.
    pub per_minion: Duration,
    /// How long a ticket is good.
    pub validity: Duration,
}

/// A queue of jobs, as a route of the configuration declares it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the route.
    pub name: CompactString,
    /// Host that callers name.
    pub host: CompactString,
    /// Start of the paths that belong to it.
    pub prefix: CompactString,
    /// Longest time for an answer to a caller.
    pub timeout: Duration,
    /// Fixed part of a job's latency objective.
    pub slo: Duration,
    /// Allowed multiple of a job's longest chain of work.
    pub stretch: f64,
    /// 0 comes first.
    pub priority: u32,
    /// Service whose minions run the tasks.
    pub service: ServiceName,
    /// Failed runs after which a task has failed.
    pub attempts: u32,
    /// Policy to ask before placing, if any.
    pub advice: Option<AdviceTerms>,
    /// Whether callers need no key.
    pub public: bool,
}

/// A pool of minions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Whether its minions refuse what does not fit.
    pub admission_check: bool,
    /// Whether its machines are off.
    pub standby: bool,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub header_bytes: u32,
    /// Largest body in bytes.
    pub body_bytes: u32,
    /// Longest time for a head to arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// The values of the operators' own example, in force until a configuration names others.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A configuration in the form the scheduler uses.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Queues.
    pub queues: Vec<Queue>,
    /// Pools of minions.
    pub services: Vec<Service>,
    /// Limits on requests.
    pub limits: Limits,
    /// Workspaces; `None` where callers have no keys at all.
    pub workspaces: Option<Workspaces>,
}

impl Configuration {
    /// Who makes a call on a queue; `None` when it needs a key that it does not carry.
    pub fn caller(&self, queue: &Queue, key: Option<&KeyHash>) -> Option<Caller> {
        match &self.workspaces {
            Some(workspaces) if !queue.public => {
                let owner = workspaces.keys.get(key?)?;
                Some(Caller::Workspace(owner.clone()))
            }
            _ => Some(Caller::Anyone),
        }
    }

    /// Finds the queue of a request and the rest of its path: the host's longest prefix wins.
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
    /// Takes work.
    Ready,
    /// Leaves; `remaining` is the least time it still works, when it said so.
    Draining {
        /// Least time left.
        remaining: Option<Duration>,
    },
}

/// What a minion says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionReport {
    /// Its name; it may start again under the same one.
    pub id: MinionId,
    /// When it started, by its Unix time: tells two incarnations of one name apart. `None` when it
    /// does not say.
    pub started: Option<Timestamp>,
    /// Its service.
    pub service: ServiceName,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What it has.
    pub capacity: Resources,
    /// Its kind and its rack, and what else it carries.
    pub labels: Vec<CompactString>,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// Its own steady clock when it sent this.
    pub clock: Duration,
    /// Grows with each report; a lower one is late.
    pub sequence: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndKind {
    /// Its work is done.
    Done,
    /// Its own fault or the minion's; counts as an attempt.
    Failed,
    /// Stopped on order.
    Stopped,
    /// Its lease ran out, or its minion is gone.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
    /// It was proved never to have started.
    NeverStarted,
    /// Its minion crashed.
    Crashed,
}

impl EndKind {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
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
    /// A task has started.
    Running,
    /// All tasks are done.
    Done,
    /// A task failed too often.
    Failed,
    /// Cancelled by its caller.
    Canceled,
}

impl JobState {
    /// Whether nothing will run any more.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }
}
