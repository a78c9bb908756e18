//! Rules on starting again and preempting that placement and the cell's state share.

use crate::workload::{JobSpec, RunEnd, WorkClass};

/// Says whether the tasks are kept running rather than run once.
pub fn long_running(spec: &JobSpec) -> bool {
    matches!(spec.class, WorkClass::Service | WorkClass::Watcher)
}

/// Says whether a task may start again after its run ended so.
///
/// A non-idempotent task that has run is never started again, unless it saved its state.
pub fn may_start_again(spec: &JobSpec, end: RunEnd) -> bool {
    match end {
        RunEnd::NeverStarted | RunEnd::Checkpointed => true,
        RunEnd::Failed | RunEnd::Stopped => spec.idempotent,
        RunEnd::Done => spec.idempotent && long_running(spec),
    }
}

/// Says whether a run of the job can be stopped early without losing the task.
pub fn preemptible(spec: &JobSpec) -> bool {
    spec.idempotent || spec.checkpoint
}
