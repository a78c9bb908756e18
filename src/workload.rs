//! Definitions of jobs, tasks, runs and workers, shared by all modules.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{
    AcceleratorName, Attempt, JobName, KindName, RackName, TaskIndex, TeamName, WorkerId, ZoneName,
};
use crate::resources::Resources;

/// Class of a job: how its tasks start and whether they end.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum WorkClass {
    /// Tasks that end by themselves and may start independently.
    #[default]
    Batch,
    /// Tasks that end by themselves and start all together or not at all.
    Gang,
    /// Long-running tasks; an ended one is replaced to keep their number.
    Service,
    /// A long-running task that must never run twice at the same time.
    Watcher,
}

/// Priority band, in ascending order; a higher band may preempt a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Band {
    /// Runs only on otherwise unused capacity.
    Spare,
    /// Work without special urgency.
    #[default]
    Normal,
    /// Work that other work depends on, such as services.
    High,
    /// Must start within seconds even when the cell is full.
    Urgent,
}

/// Failure domain over which a job's tasks are spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Spread {
    /// No preference.
    #[default]
    None,
    /// As few tasks as possible on the same worker.
    Worker,
    /// As few tasks as possible in the same rack.
    Rack,
    /// As few tasks as possible in the same availability zone.
    Zone,
}

/// Policy for a gang when one of its tasks loses its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberLoss {
    /// Stop the other tasks and start all again.
    #[default]
    RestartAll,
    /// Start a replacement for the lost task only.
    Replace,
    /// Stop the other tasks and fail the job.
    Fail,
}

/// Specification of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name, unique in the cell.
    pub name: JobName,
    /// Kind declared in the document; run times and usage are estimated per kind.
    pub kind: KindName,
    /// Team whose quota is charged.
    pub team: TeamName,
    /// How the tasks start and whether they end.
    pub class: WorkClass,
    /// Priority band.
    pub band: Band,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared resources of one task.
    pub need: Resources,
    /// Required accelerator type; any type when absent.
    pub accelerator: Option<AcceleratorName>,
    /// Declared run time of one task; zero for long-running classes.
    pub run_time: Duration,
    /// Whether a task that may have run can be started again.
    pub idempotent: bool,
    /// Whether a task can be checkpointed and resumed.
    pub checkpoint: bool,
    /// Maximum number of starts of one task before the job fails.
    pub max_attempts: u32,
    /// Failure domain to spread over.
    pub spread: Spread,
    /// Allowed availability zones; all when empty.
    pub zones: Vec<ZoneName>,
    /// Policy when a gang loses a worker.
    pub on_member_loss: MemberLoss,
    /// Maximum number of a service's tasks that may be down at once during an update or drain.
    pub max_unavailable: u32,
    /// Text passed to the worker without interpretation.
    pub payload: CompactString,
}

/// Specification of a worker, as it reports it in its polls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// Name, unique in the cell.
    pub id: WorkerId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack within the zone.
    pub rack: RackName,
    /// Total resources.
    pub capacity: Resources,
    /// Type of its accelerators, if it has any.
    pub accelerator: Option<AcceleratorName>,
}

/// Identifies one task of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// Name of the job.
    pub job: JobName,
    /// Position within the job, starting at 0.
    pub index: TaskIndex,
}

/// Identifies one start of a task; a worker refuses attempts older than the latest it has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskRun {
    /// Task that was started.
    pub task: TaskId,
    /// Number of the start, also its fencing token.
    pub attempt: Attempt,
}

/// How a run ended, as reported by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunEnd {
    /// Completed its work.
    Done,
    /// Ended by itself with a failure.
    Failed,
    /// Saved its state and stopped on request.
    Checkpointed,
    /// Stopped on request without saving its state.
    Stopped,
    /// Never started; the worker is certain of it.
    NeverStarted,
}
