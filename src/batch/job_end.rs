//! Why jobs end.

use super::ledger::Crashes;
use super::model::{StepId, TaskId};

/// Failed runs of a task, or of a gang, against the attempts that its queue allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempts {
    /// Number of failed runs that count.
    pub used: u32,
    /// Number of them that fails the job.
    pub allowed: u32,
}

/// Why a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEndReason {
    /// All tasks of all occurrences are done.
    Done,
    /// A caller cancelled it.
    Cancelled,
    /// A caller had cancelled it before its submission arrived.
    CancelledBeforeArrival,
    /// A task used up its attempts.
    TaskFailed(TaskId, Attempts),
    /// The members of a gang used up its attempts.
    GangFailed(StepId, Attempts),
    /// A task may have crashed too many minions.
    Crashes {
        /// The task; `None` if the batch that ended the job also reset its counts.
        task: Option<TaskId>,
        /// Crashes counted against it.
        counts: Crashes,
    },
}

impl JobEndReason {
    /// Value in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Cancelled => "cancelled by caller",
            Self::CancelledBeforeArrival => "cancelled before arrival",
            Self::TaskFailed(..) | Self::GangFailed(..) => "attempts used up",
            Self::Crashes { .. } => "crashes counted",
        }
    }
}
