//! The batch of decisions and observations that a leader proposes as one log entry.

use serde::{Deserialize, Serialize};

use crate::batch::model::{
    Checkpoint, EndKind, JobId, MinionNumber, MinionReport, RunNumber, TaskId,
};
use crate::resources::Resources;

/// Decisions and observations of a leader. They are applied in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// New incarnations of minions, with the numbers that they are assigned.
    pub joined: Vec<(MinionNumber, MinionReport)>,
    /// Incarnations whose capacity changed, with the new capacity.
    pub resized: Vec<(MinionNumber, Resources)>,
    /// Runs whose minions restarted under the same name, with the numbers of the new incarnations.
    pub reassigned: Vec<(TaskId, RunNumber, MinionNumber)>,
    /// Incarnations that reported that they are draining.
    pub draining: Vec<MinionNumber>,
    /// Runs that ended.
    pub ends: Vec<End>,
    /// Runs that may have crashed their minions, to be counted against their tasks.
    pub crashes: Vec<Crash>,
    /// Tasks whose crash counts are reset: they have run for so long that they cannot have caused
    /// the crashes counted against them.
    pub crashes_reset: Vec<TaskId>,
    /// Incarnations that are gone and have no active runs.
    pub gone: Vec<MinionNumber>,
    /// Occurrences of scheduled jobs that are due.
    pub due: Vec<(JobId, u32)>,
    /// Runs to start. Their orders are sent only after this entry is committed.
    pub starts: Vec<Start>,
    /// Copies of active tasks to start, under the same condition.
    pub copies: Vec<Start>,
}

impl Batch {
    /// Whether applying it would change nothing.
    pub fn is_empty(&self) -> bool {
        self.joined.is_empty()
            && self.resized.is_empty()
            && self.reassigned.is_empty()
            && self.draining.is_empty()
            && self.ends.is_empty()
            && self.crashes.is_empty()
            && self.crashes_reset.is_empty()
            && self.gone.is_empty()
            && self.due.is_empty()
            && self.starts.is_empty()
            && self.copies.is_empty()
    }
}

/// The assignment of a new run to a minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Task to run; it must be waiting.
    pub task: TaskId,
    /// Number of the new run, higher than any earlier run of the task.
    pub run: RunNumber,
    /// Incarnation that runs it.
    pub minion: MinionNumber,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Run that ended; ignored unless it is the task's active run.
    pub run: RunNumber,
    /// How it ended.
    pub kind: EndKind,
    /// Saved progress that the next run resumes from; empty when nothing new was saved.
    pub checkpoint: Checkpoint,
}

/// How likely a run caused the crash of its minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Certainty {
    /// The minion confirmed the start and crashed soon after.
    Confirmed,
    /// The start was sent but not confirmed, and the minion crashed soon after.
    InDoubt,
    /// The start was sent, and the minion may have crashed long before or after.
    Possible,
}

impl Certainty {
    /// Value in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Confirmed => "begun",
            Self::InDoubt => "in-doubt",
            Self::Possible => "possible",
        }
    }
}

/// A run that may have crashed its minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Task that the crash is counted against.
    pub task: TaskId,
    /// Its run that the minion was given.
    pub run: RunNumber,
    /// How likely the run caused the crash.
    pub certainty: Certainty,
}
