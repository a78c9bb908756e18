//! Runs that the leader keeps track of, until it is known that they are over.

use std::time::Duration;

use compact_str::CompactString;

use super::crashes::Suspicion;
use super::forecast::Progress;
use super::quota::Charge;
use crate::batch::ledger::Certainty;
use crate::batch::model::{
    Checkpoint, Grouping, Lifetime, MinionNumber, Queue, RunNumber, StepSpec, TaskId,
};
use crate::ids::{Timestamp, WorkspaceName};
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
    /// Its minion started again and has not listed it. The order that began it was carried out, by
    /// that incarnation or by the one before.
    Carried,
    /// The same, and an order to start it may yet be carried out.
    CarriedInDoubt,
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
    /// When this leader first sent one.
    pub(super) ordered: Option<Timestamp>,
    /// Whether it may crash its minion.
    pub(super) suspicion: Suspicion,
    /// Whether it may have crashed the incarnation before the present one.
    pub(super) suspected: Option<Certainty>,
    pub(super) proposed: Timestamp,
    pub(super) checkpoint: Checkpoint,
    /// Whether it goes on from saved progress.
    pub(super) resumed: bool,
    /// Workspace of its job.
    pub(super) owner: Option<WorkspaceName>,
    /// Its queue.
    pub(super) queue: CompactString,
    /// Priority of its queue; 0 comes first.
    pub(super) priority: u32,
    /// Declared run time; zero when it goes on from saved progress or lasts.
    pub(super) estimate: Duration,
    /// Run time to reckon with; zero when it goes on from saved progress or lasts.
    pub(super) expected: Duration,
    /// Progress since its minion first listed it.
    pub(super) progress: Option<Progress>,
    /// When its minion confirmed the start.
    pub(super) begun: Option<Timestamp>,
    /// Whether it ends by itself.
    pub(super) ends: bool,
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
            ordered: None,
            suspicion: Suspicion::None,
            suspected: None,
            proposed: now,
            estimate: if checkpoint.is_empty() && spec.lifetime == Lifetime::Finite {
                spec.estimate
            } else {
                Duration::ZERO
            },
            expected: Duration::ZERO,
            progress: None,
            begun: None,
            resumed: !checkpoint.is_empty(),
            checkpoint,
            owner: None,
            queue: queue.name.clone(),
            priority: queue.priority,
            ends: spec.lifetime == Lifetime::Finite,
            yields: spec.saves_progress
                && spec.lifetime == Lifetime::Finite
                && spec.grouping == Grouping::Single,
        }
    }

    /// Takes the share of its work that its minion lists as done, in percent.
    pub(super) fn take_progress(&mut self, now: Timestamp, percent: u32) {
        let from_the_start = self.begun.filter(|_| !self.resumed);
        let (at, from) = from_the_start.map_or((now, percent), |begun| (begun, 0));
        let progress = self.progress.get_or_insert(Progress::begun(at, from));
        progress.take(now, percent);
    }

    /// Time since its start was sent; zero when an earlier leader sent it.
    pub(super) fn worked(&self, now: Timestamp) -> Duration {
        let begun = self.begun;
        begun.map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }

    /// How it counts against the limit of its workspace: tasks that fill with all that they need.
    pub(super) fn charge(&self, task: TaskId) -> Option<Charge<'_>> {
        let need = Resources {
            millicores: self.need.millicores.max(self.fills),
            ..self.need
        };
        Some(Charge {
            owner: self.owner.as_ref()?,
            run: (task, self.run),
            need,
            lasting: !self.ends,
        })
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
