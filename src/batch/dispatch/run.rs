//! Runs that the leader tracks until they are known to have ended.

use std::time::Duration;

use compact_str::CompactString;

use super::crashes::Suspicion;
use super::forecast::Progress;
use super::pacing::RunSpeed;
use super::quota::Charge;
use crate::batch::ledger::Certainty;
use crate::batch::model::{
    Checkpoint, EndKind, Grouping, Lifetime, MinionNumber, Queue, RunNumber, StepSpec, TaskId,
};
use crate::ids::{Timestamp, WorkspaceName};
use crate::resources::Resources;

/// Status of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// Its start is not committed; no order was sent.
    Proposed,
    /// Its start order was sent and is not answered yet.
    Starting,
    /// Its start order got no answer, or was sent by an earlier leader: it may run, or may still
    /// start.
    InDoubt,
    /// Its minion confirmed the start or listed the run, at this time.
    Running(Timestamp),
    /// Its minion restarted and has not listed it. Its start order was carried out, by this
    /// incarnation or by the previous one.
    Transferred,
    /// Its minion restarted and has not listed it. An order to start it may still be carried out.
    TransferredInDoubt,
    /// Its end is known and not committed yet.
    Ending,
}

/// Status of the stop of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopState {
    /// No stop is requested.
    No,
    /// A stop is requested; the order may be sent from this time on.
    Due(Timestamp),
    /// The order was sent and is not answered yet.
    Sent,
    /// The minion confirmed the order at this time: the run counts as ended when the minion lists
    /// its end, and will never start if it hadn't started before.
    Confirmed(Timestamp),
}

/// A run of a task, with what the leader has learnt about it.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) run: RunNumber,
    pub(super) minion: MinionNumber,
    pub(super) state: RunState,
    pub(super) stop: StopState,
    pub(super) need: Resources,
    pub(super) idle_cpu_demand: u32,
    /// Bound on its tail latency; `None` for a task that doesn't serve requests.
    pub(super) latency_target: Option<Duration>,
    /// Most tasks of its step that the scheduler may disrupt at once; `None` when not declared.
    pub(super) disruption_budget: Option<u32>,
    /// Number of tasks of its step.
    pub(super) step_tasks: u32,
    /// Speed of a run that uses idle CPU; `None` for others.
    pub(super) speed: Option<RunSpeed>,
    /// On the minion's clock: no start order that was sent is carried out after this.
    pub(super) deadline: Duration,
    /// Start orders sent by this leader.
    pub(super) tries: u32,
    /// When this leader sent the first start order.
    pub(super) ordered: Option<Timestamp>,
    /// When this leader sent the latest start order.
    pub(super) last_ordered: Option<Timestamp>,
    /// When this leader sent the latest start order that got no answer.
    pub(super) unanswered: Option<Timestamp>,
    /// Whether it may crash its minion.
    pub(super) suspicion: Suspicion,
    /// How certain it is that the run crashed the previous incarnation of its minion; `None` when
    /// it isn't suspected.
    pub(super) suspected: Option<Certainty>,
    pub(super) proposed: Timestamp,
    pub(super) checkpoint: Checkpoint,
    /// Whether it resumes from a checkpoint.
    pub(super) resumed: bool,
    /// Workspace of the job; `None` for a job without one.
    pub(super) owner: Option<WorkspaceName>,
    /// Name of the queue.
    pub(super) queue: CompactString,
    /// Priority of the queue; 0 is the most urgent.
    pub(super) priority: u32,
    /// Declared run time; zero when it resumes from a checkpoint or is lasting.
    pub(super) declared: Duration,
    /// Expected run time; zero when it resumes from a checkpoint or is lasting.
    pub(super) expected: Duration,
    /// Progress from the minion's listings; `None` before the first.
    pub(super) progress: Option<Progress>,
    /// When the start order that the minion confirmed was sent.
    pub(super) begun: Option<Timestamp>,
    /// Whether it ends without a stop order; false for lasting tasks.
    pub(super) ends: bool,
    /// Whether it can be preempted without loss of work.
    pub(super) preemptible: bool,
    /// Whether it can continue on another minion without loss of work.
    pub(super) movable: bool,
    /// Whether its task may have a copy.
    pub(super) copyable: bool,
    /// Whether it was started as a copy; also true once it is the only run of its task.
    pub(super) is_copy: bool,
    /// Number of tasks that run only together with it, itself included; 1 for a single task.
    pub(super) members: u32,
    /// Whether a failure of its gang's run is already counted for the health of its minion.
    pub(super) judged: bool,
    /// How it ended; `None` while it may run.
    pub(super) end: Option<EndKind>,
}

impl Run {
    /// A run whose start is proposed and not committed.
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
            need: demand(spec),
            idle_cpu_demand: if spec.uses_idle_cpu {
                spec.need.millicores
            } else {
                0
            },
            latency_target: spec.latency_target,
            disruption_budget: spec.disruption_budget,
            step_tasks: spec.count,
            speed: spec.uses_idle_cpu.then(|| RunSpeed::at_start(now)),
            deadline: Duration::ZERO,
            tries: 0,
            ordered: None,
            last_ordered: None,
            unanswered: None,
            suspicion: Suspicion::None,
            suspected: None,
            proposed: now,
            declared: if checkpoint.is_empty() && spec.lifetime == Lifetime::Finite {
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
            preemptible: spec.saves_progress
                && spec.lifetime == Lifetime::Finite
                && spec.grouping == Grouping::Single,
            movable: (spec.saves_progress || spec.lifetime == Lifetime::Lasting)
                && spec.grouping == Grouping::Single,
            copyable: spec.copies_allowed
                && spec.lifetime == Lifetime::Finite
                && spec.grouping == Grouping::Single,
            is_copy: false,
            members: match spec.grouping {
                Grouping::Single => 1,
                Grouping::Gang => spec.count,
            },
            judged: false,
            end: None,
        }
    }

    /// Records that an earlier leader may have changed its speed.
    pub(super) fn forget_speed(&mut self) {
        if let Some(speed) = &mut self.speed {
            *speed = RunSpeed::unknown();
        }
    }

    /// Records the completed share of its work from a listing, in percent.
    pub(super) fn record_progress(&mut self, now: Timestamp, percent: u32) {
        let from_the_start = self.begun.filter(|_| !self.resumed);
        let (at, from) = from_the_start.map_or((now, percent), |begun| (begun, 0));
        let progress = self.progress.get_or_insert(Progress::starting_at(at, from));
        progress.record(now, percent);
    }

    /// When the confirmed start order was sent, or else the first one of this leader; `None` when an
    /// earlier leader sent it.
    pub(super) fn began(&self) -> Option<Timestamp> {
        self.begun.or(self.ordered)
    }

    /// Time since the confirmed start order was sent; zero when an earlier leader sent it.
    pub(super) fn elapsed(&self, now: Timestamp) -> Duration {
        let begun = self.begun;
        begun.map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }

    /// Time for which it is known to be running: since the confirmed start order was sent, or else
    /// since it was first listed.
    pub(super) fn ran_for(&self, now: Timestamp) -> Duration {
        match self.state {
            RunState::Running(since) => now.saturating_sub(self.begun.unwrap_or(since)),
            _ => Duration::ZERO,
        }
    }

    /// Its charge to the limit of its workspace; `None` without a workspace. Tasks that use idle
    /// CPU are charged with all CPU that they declare.
    pub(super) fn charge(&self, task: TaskId) -> Option<Charge<'_>> {
        let need = Resources {
            millicores: self.need.millicores.max(self.idle_cpu_demand),
            ..self.need
        };
        Some(Charge {
            owner: self.owner.as_ref()?,
            run: (task, self.run),
            need,
            lasting: !self.ends,
        })
    }

    /// Whether a stop is requested, so that its resources will be freed.
    pub(super) fn is_stopping(&self) -> bool {
        self.stop != StopState::No
    }
}

/// Resources that a task demands of its minion; one that uses idle CPU demands no CPU.
pub(super) fn demand(spec: &StepSpec) -> Resources {
    Resources {
        millicores: if spec.uses_idle_cpu {
            0
        } else {
            spec.need.millicores
        },
        ..spec.need
    }
}
