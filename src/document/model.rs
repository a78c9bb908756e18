//! The document as typed values, after parsing and validation.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{
    AcceleratorName, CellName, KindName, RackName, ServiceName, TeamName, WorkerId, ZoneName,
};
use crate::resources::Resources;
use crate::workload::{Band, MemberLoss, Spread, WorkClass};

/// A span from now, or none.
pub type Deadline = Option<Duration>;

/// The whole desired state of a cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version of the document format.
    pub format: u32,
    /// Name of the cell.
    pub cell: CellName,
    /// Region the cell lives in.
    pub region: compact_str::CompactString,
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Teams with quotas.
    pub teams: BTreeMap<TeamName, Team>,
    /// Services whose requests go to minions.
    pub services: BTreeMap<ServiceName, Service>,
    /// Path prefixes that lead to services besides `/v1/services/{service}`.
    pub routes: Vec<Route>,
    /// Job kinds.
    pub kinds: BTreeMap<KindName, JobKind>,
    /// Long-running services and watchers kept on workers, and declared batch jobs.
    pub workloads: BTreeMap<compact_str::CompactString, Workload>,
    /// Service-level objectives.
    pub objectives: Vec<Objective>,
    /// Placement weights and limits.
    pub policy: Policy,
    /// Capacity that is to be emptied.
    pub drains: Vec<Drain>,
}

/// An availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Its name.
    pub name: ZoneName,
}

/// A team with its quota.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Guaranteed share; more may be borrowed while others leave it unused.
    pub quota: Resources,
    /// Weight among teams that borrow.
    pub weight: u32,
    /// Limits on the team's quick requests.
    pub limits: Limits,
}

/// Limits on quick requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Requests a second over the whole cell; 0 for no limit.
    pub requests_per_second: u32,
    /// Requests in work at once over the whole cell; 0 for no limit.
    pub concurrent: u32,
}

/// Order in which queued quick requests are served.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum QueuePriority {
    /// Served last.
    Low,
    /// Ordinary.
    #[default]
    Normal,
    /// A customer is watching.
    High,
}

/// A service whose requests are answered by minions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Team that is charged.
    pub team: TeamName,
    /// Time in which an answer is due when the caller states none.
    pub deadline: Duration,
    /// Whether requests may run twice unless a caller says otherwise.
    pub idempotent: bool,
    /// Order in the queue.
    pub priority: QueuePriority,
    /// Requests that may wait at one entry host.
    pub queue: u32,
    /// Requests a minion works on at once when it states none.
    pub slots: u32,
    /// Connections to one minion.
    pub connections: u32,
    /// Largest request or answer body in bytes.
    pub body_limit: u64,
    /// Retries allowed per hundred requests.
    pub retry_percent: u32,
    /// Percentile of service time after which an idempotent request is hedged; 0 for never.
    pub hedge_percentile: u32,
}

/// A path prefix that leads to a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Prefix, starting with `/`.
    pub prefix: compact_str::CompactString,
    /// Service behind it.
    pub service: ServiceName,
}

/// A kind of job; submitted jobs name one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobKind {
    /// Team that is charged.
    pub team: TeamName,
    /// How the tasks live and start.
    pub class: WorkClass,
    /// Priority band.
    pub band: Band,
    /// Tasks when a submission states none.
    pub tasks: u32,
    /// Declared need of one task.
    pub need: Resources,
    /// Accelerator type required.
    pub accelerator: Option<AcceleratorName>,
    /// Declared run time of one task.
    pub run_time: Duration,
    /// Whether a task that may have run can be started again.
    pub idempotent: bool,
    /// Whether a task can be checkpointed.
    pub checkpoint: bool,
    /// Starts allowed for one task.
    pub max_attempts: u32,
    /// Failure domain to spread over.
    pub spread: Spread,
    /// Availability zones allowed; all when empty.
    pub zones: Vec<ZoneName>,
    /// Rule for a gang that loses a worker.
    pub on_member_loss: MemberLoss,
    /// Tasks that may be away at once during an update or drain.
    pub max_unavailable: u32,
}

/// A job kept by declaration instead of submission.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workload {
    /// Its kind.
    pub kind: KindName,
    /// Number of tasks.
    pub tasks: u32,
    /// Opaque text handed to the worker.
    pub payload: compact_str::CompactString,
}

/// What an objective speaks of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObjectiveTarget {
    /// Requests to a service: answered within the time.
    Service(ServiceName),
    /// Tasks of a job kind: started within the time.
    Kind(KindName),
}

/// A service-level objective.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// Its name.
    pub name: compact_str::CompactString,
    /// What it speaks of.
    pub target: ObjectiveTarget,
    /// Time within which an answer or a start counts as good.
    pub within: Duration,
    /// Share of good events wanted, in thousandths of a percent (99.9% is 99,900).
    pub millipercent: u32,
    /// Span over which the error budget is counted.
    pub window: Duration,
}

/// Placement weights and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// Weight of short waiting against tight packing, 0 to 100.
    pub waiting_weight: u32,
    /// Times one task may be preempted.
    pub preemption_limit: u32,
    /// Different jobs that must fail on a worker before it is quarantined.
    pub quarantine_failures: u32,
    /// Time after which a quarantined worker gets one task as a trial.
    pub quarantine_trial: Duration,
    /// Time a worker's lease runs from the moment it asked.
    pub lease: Duration,
    /// Time for which idempotency keys are kept after their answer.
    pub key_retention: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            waiting_weight: 50,
            preemption_limit: 2,
            quarantine_failures: 3,
            quarantine_trial: Duration::from_secs(300),
            lease: Duration::from_secs(10),
            key_retention: Duration::from_secs(24 * 3600),
        }
    }
}

/// Capacity that is to be emptied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// What is emptied.
    pub target: DrainTarget,
    /// Time its tasks have to finish or checkpoint before they are stopped.
    pub within: Duration,
}

/// What a drain empties.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DrainTarget {
    /// One worker.
    Worker(WorkerId),
    /// All workers of a rack, by availability zone and rack.
    Rack(ZoneName, RackName),
    /// All workers of an availability zone.
    Zone(ZoneName),
}
