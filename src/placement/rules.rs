//! Rules on restart and preemption, shared by placement and the cell's state.

use crate::workload::{JobSpec, RunEnd, WorkClass};

/// Whether tasks are kept running rather than run once.
pub fn long_running(spec: &JobSpec) -> bool {
    matches!(spec.class, WorkClass::Service | WorkClass::Watcher)
}

/// Whether a task may start again after its run ended in the given way.
///
/// A non-idempotent task that has run starts again only from a checkpoint.
pub fn may_restart(spec: &JobSpec, end: RunEnd) -> bool {
    match end {
        RunEnd::NeverStarted | RunEnd::Checkpointed => true,
        RunEnd::Failed | RunEnd::Stopped => spec.idempotent,
        RunEnd::Done => spec.idempotent && long_running(spec),
    }
}

/// Whether a run of the job can be stopped early without losing the task.
pub fn preemptible(spec: &JobSpec) -> bool {
    spec.idempotent || spec.checkpoint
}
