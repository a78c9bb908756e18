//! Runs that the leader keeps track of, until it is known that they are over.

use std::time::Duration;

use compact_str::CompactString;

use crate::batch::model::{
    Checkpoint, Grouping, Lifetime, MinionNumber, Queue, RunNumber, StepSpec,
};
use crate::ids::Timestamp;
use crate::resources::Resources;

/// Where a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// Its start is not agreed yet; nothing was sent.
    Proposed,
    /// Its start was sent and is not answered.
    Starting,
    /// Its start brought no answer, or an earlier leader gave it: it may run, or may yet begin.
    InDoubt,
    /// Its minion confirmed it then.
    Running(Timestamp),
    /// Its end is known and is being agreed.
    Ending,
}

/// Where the stopping of a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopState {
    /// Not wanted.
    No,
    /// Wanted; the order may leave then.
    Due(Timestamp),
    /// The order is on the way.
    Sent,
    /// The minion confirmed the order then: it runs no more once the end is listed, and will
    /// never begin if it had not.
    Confirmed(Timestamp),
}

/// One run.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) run: RunNumber,
    pub(super) minion: MinionNumber,
    pub(super) state: RunState,
    pub(super) stop: StopState,
    pub(super) need: Resources,
    pub(super) fills: u32,
    pub(super) serves: bool,
    /// On the minion's clock: the latest start that was sent is not begun after this.
    pub(super) deadline: Duration,
    /// Starts sent.
    pub(super) tries: u32,
    pub(super) proposed: Timestamp,
    pub(super) checkpoint: Checkpoint,
    /// Its queue.
    pub(super) queue: CompactString,
    /// Priority of its queue; 0 comes first.
    pub(super) priority: u32,
    /// Declared run time; zero when it goes on from saved progress or lasts.
    pub(super) estimate: Duration,
    /// When its minion confirmed the start.
    pub(super) begun: Option<Timestamp>,
    /// Whether stopping it throws nothing away.
    pub(super) yields: bool,
}

impl Run {
    /// A run that has only been decided on.
    pub(super) fn new(
        run: RunNumber,
        minion: MinionNumber,
        (spec, queue): (&StepSpec, &Queue),
        checkpoint: Checkpoint,
        now: Timestamp,
    ) -> Self {
        Self {
            run,
            minion,
            state: RunState::Proposed,
            stop: StopState::No,
            need: charged(spec),
            fills: if spec.fills { spec.need.millicores } else { 0 },
            serves: spec.latency_target.is_some(),
            deadline: Duration::ZERO,
            tries: 0,
            proposed: now,
            estimate: if checkpoint.is_empty() && spec.lifetime == Lifetime::Finite {
                spec.estimate
            } else {
                Duration::ZERO
            },
            begun: None,
            checkpoint,
            queue: queue.name.clone(),
            priority: queue.priority,
            yields: spec.saves_progress
                && spec.lifetime == Lifetime::Finite
                && spec.grouping == Grouping::Single,
        }
    }

    /// When it should end by its declared time; `None` when that is not known.
    pub(super) fn expected_end(&self) -> Option<Timestamp> {
        let known = !self.estimate.is_zero();
        known.then(|| self.begun.unwrap_or(self.proposed) + self.estimate)
    }

    /// Whether it was told to stop and its room will come free.
    pub(super) fn is_leaving(&self) -> bool {
        self.stop != StopState::No
    }
}

/// Room that a task takes of its minion; the processor time of one that fills is not granted.
pub(super) fn charged(spec: &StepSpec) -> Resources {
    Resources {
        millicores: if spec.fills { 0 } else { spec.need.millicores },
        ..spec.need
    }
}
