//! The document as typed values.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{
    AcceleratorName, CellName, KindName, RackName, ServiceName, TeamName, WorkerId, ZoneName,
};
use crate::resources::Resources;
use crate::workload::{Band, MemberLoss, Spread, WorkClass};

/// Time from now until something is due; `None` for no deadline.
pub type Deadline = Option<Duration>;

/// Desired state of a cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version of the document format; must equal [`FORMAT`](super::FORMAT).
    pub format: u32,
    /// Name of the cell; hosts of one cell share one document.
    pub cell: CellName,
    /// Region in which the cell runs.
    pub region: compact_str::CompactString,
    /// Availability zones of the cell; at least one.
    pub zones: Vec<Zone>,
    /// Teams that own services and job kinds, with their quotas.
    pub teams: BTreeMap<TeamName, Team>,
    /// Services whose requests are forwarded to minions.
    pub services: BTreeMap<ServiceName, Service>,
    /// Path prefixes routed to services, in addition to `/v1/services/{service}`.
    pub routes: Vec<Route>,
    /// Templates for jobs, by name.
    pub kinds: BTreeMap<KindName, JobKind>,
    /// Long-running services and watchers kept running on workers, and declared batch jobs.
    pub workloads: BTreeMap<compact_str::CompactString, Workload>,
    /// Service-level objectives, each with an error budget.
    pub objectives: Vec<Objective>,
    /// Placement weights, leases and retention of idempotency keys.
    pub policy: Policy,
    /// Workers, racks or zones to be drained.
    pub drains: Vec<Drain>,
}

/// An availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Name that job kinds, drains and hosts refer to.
    pub name: ZoneName,
}

/// A team with its quota.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Guaranteed resources; a team may borrow more while other teams leave theirs unused.
    pub quota: Resources,
    /// Weight of the team when several teams borrow unused resources.
    pub weight: u32,
    /// Limits on requests to the team's services.
    pub limits: Limits,
}

/// Limits on requests to services, as opposed to jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Requests per second over the whole cell; 0 for no limit.
    pub requests_per_second: u32,
    /// Concurrent requests over the whole cell; 0 for no limit.
    pub concurrent: u32,
}

/// Order in which queued requests to services are served.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum QueuePriority {
    /// Served after all others.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Served first; for requests that a customer is waiting for.
    High,
}

/// A service whose requests are answered by minions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Team whose quota and limits the requests count against.
    pub team: TeamName,
    /// Deadline of a request that states none.
    pub deadline: Duration,
    /// Whether a request may run twice unless its caller states otherwise.
    pub idempotent: bool,
    /// Priority in the queue of an entry host.
    pub priority: QueuePriority,
    /// Maximum number of requests queued at one entry host.
    pub queue: u32,
    /// Concurrent requests to a minion that announces no limit of its own.
    pub slots: u32,
    /// Maximum number of connections to one minion.
    pub connections: u32,
    /// Maximum size of a request or response body in bytes.
    pub body_limit: u64,
    /// Retry budget: retries allowed per hundred requests.
    pub retry_percent: u32,
    /// Percentile of the service time after which an idempotent request is hedged; 0 disables
    /// hedging.
    pub hedge_percentile: u32,
}

/// A path prefix routed to a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Prefix, starting with `/` and outside `/v1`.
    pub prefix: compact_str::CompactString,
    /// Service that gets the requests.
    pub service: ServiceName,
}

/// A template for jobs, named by submitted jobs and workloads.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobKind {
    /// Team whose quota the tasks count against.
    pub team: TeamName,
    /// Execution model: batch, gang, service or watcher.
    pub class: WorkClass,
    /// Priority band of the tasks in placement.
    pub band: Band,
    /// Number of tasks of a submission that states none.
    pub tasks: u32,
    /// Resources that one task reserves.
    pub need: Resources,
    /// Accelerator type that a worker must have; `None` if the tasks need no particular one.
    pub accelerator: Option<AcceleratorName>,
    /// Expected run time of one task; zero for services and watchers.
    pub run_time: Duration,
    /// Whether a task that may have run already can be started again.
    pub idempotent: bool,
    /// Whether a task can save a checkpoint before it is stopped.
    pub checkpoint: bool,
    /// Maximum number of starts of one task.
    pub max_attempts: u32,
    /// Failure domain over which the tasks are spread.
    pub spread: Spread,
    /// Availability zones in which tasks may run; all when empty.
    pub zones: Vec<ZoneName>,
    /// Handling of a gang that loses a worker.
    pub on_member_loss: MemberLoss,
    /// Maximum number of tasks down at once during an update or drain.
    pub max_unavailable: u32,
}

/// A job declared in the document instead of submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workload {
    /// Template of the job.
    pub kind: KindName,
    /// Number of tasks to run; the default of the kind doesn't apply.
    pub tasks: u32,
    /// Text passed to the worker unchanged.
    pub payload: compact_str::CompactString,
}

/// Events that an objective counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObjectiveTarget {
    /// Requests to a service; good when answered within the time.
    Service(ServiceName),
    /// Tasks of a job kind; good when started within the time.
    Kind(KindName),
}

/// A service-level objective.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// Name in reports; unique in the document.
    pub name: compact_str::CompactString,
    /// Events that the objective counts.
    pub target: ObjectiveTarget,
    /// Time within which an answer or a start counts as good.
    pub within: Duration,
    /// Required share of good events in thousandths of a percent (99.9% is 99,900).
    pub millipercent: u32,
    /// Sliding window of the error budget.
    pub window: Duration,
}

/// Cell-wide settings of placement, worker leases and idempotency keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// Weight of short waiting times (100) against tight packing (0).
    pub waiting_weight: u32,
    /// Maximum number of preemptions of one task.
    pub preemption_limit: u32,
    /// Number of different jobs that must fail on a worker before it is quarantined.
    pub quarantine_failures: u32,
    /// Time after which a quarantined worker gets a single task as a trial.
    pub quarantine_trial: Duration,
    /// Duration of a worker's lease, counted from when the worker asked for it.
    pub lease: Duration,
    /// Time for which an idempotency key is kept after its answer.
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

/// A request to move all tasks off part of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Workers to drain.
    pub target: DrainTarget,
    /// Time for the tasks to finish or save a checkpoint before they are stopped.
    pub within: Duration,
}

/// The workers that a drain applies to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DrainTarget {
    /// A single worker.
    Worker(WorkerId),
    /// All workers of a rack, given by availability zone and rack name.
    Rack(ZoneName, RackName),
    /// All workers of an availability zone.
    Zone(ZoneName),
}
