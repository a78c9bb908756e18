//! Jobs, tasks and workers as every decision sees them.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{
    AcceleratorName, Attempt, JobName, KindName, RackName, TaskIndex, TeamName, WorkerId, ZoneName,
};
use crate::resources::Resources;

/// How a job's tasks live and start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum WorkClass {
    /// Tasks that each end by themselves and may start one by one.
    #[default]
    Batch,
    /// Tasks that start all together or not at all.
    Gang,
    /// Long-running tasks kept at their count.
    Service,
    /// A long-running task of which at most one runs at any time.
    Watcher,
}

/// Priority band; a later band may preempt an earlier one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Band {
    /// Uses what is left over.
    Spare,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that others wait for, such as services.
    High,
    /// Must start within seconds, also in a full cell.
    Urgent,
}

/// Failure domain over which a job's tasks are spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Spread {
    /// No preference.
    #[default]
    None,
    /// As few tasks as possible in one worker.
    Worker,
    /// As few tasks as possible in one rack.
    Rack,
    /// As few tasks as possible in one availability zone.
    Zone,
}

/// What happens to a gang when one of its tasks loses its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberLoss {
    /// Stop the others and start all again.
    #[default]
    RestartAll,
    /// Start a replacement for the lost task only.
    Replace,
    /// Stop the others and fail the job.
    Fail,
}

/// Everything the scheduler needs to know about a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique name.
    pub name: JobName,
    /// Kind declared in the document; estimates are learnt per kind.
    pub kind: KindName,
    /// Team whose quota is charged.
    pub team: TeamName,
    /// How the tasks live and start.
    pub class: WorkClass,
    /// Priority band.
    pub band: Band,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared need of one task.
    pub need: Resources,
    /// Accelerator type required; any type when absent.
    pub accelerator: Option<AcceleratorName>,
    /// Declared run time of one task; zero for long-running classes.
    pub run_time: Duration,
    /// Whether a task that may have run can be started again.
    pub idempotent: bool,
    /// Whether a task can be checkpointed and resumed.
    pub checkpoint: bool,
    /// Starts allowed for one task before the job fails.
    pub max_attempts: u32,
    /// Failure domain to spread over.
    pub spread: Spread,
    /// Availability zones allowed; all when empty.
    pub zones: Vec<ZoneName>,
    /// Rule for a gang that loses a worker.
    pub on_member_loss: MemberLoss,
    /// Tasks that may be away at once during an update or drain of a service.
    pub max_unavailable: u32,
    /// Opaque text handed to the worker.
    pub payload: CompactString,
}

/// A worker as it announces itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// Unique name.
    pub id: WorkerId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack within the zone.
    pub rack: RackName,
    /// What the worker holds in all.
    pub capacity: Resources,
    /// Type of its accelerators, if it has any.
    pub accelerator: Option<AcceleratorName>,
}

/// One task of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobName,
    /// Position in the job.
    pub index: TaskIndex,
}

/// One start of one task; a worker refuses attempts older than it has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskRun {
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub attempt: Attempt,
}

/// How a task's run ended, as its worker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunEnd {
    /// Finished its work.
    Done,
    /// Ended with a failure of its own.
    Failed,
    /// Saved its state and stopped on request.
    Checkpointed,
    /// Stopped on request without saving.
    Stopped,
    /// The worker proves that it never began.
    NeverStarted,
}
