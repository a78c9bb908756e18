//! What a leader decided and learned, as one entry of the log.

use serde::{Deserialize, Serialize};

use crate::batch::model::{
    Checkpoint, EndKind, JobId, MinionNumber, MinionReport, RunNumber, TaskId,
};
use crate::resources::Resources;

/// Decisions and observations of a leader, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Incarnations that joined, with the numbers they get.
    pub joined: Vec<(MinionNumber, MinionReport)>,
    /// Incarnations whose capacity has changed.
    pub resized: Vec<(MinionNumber, Resources)>,
    /// Runs whose minions started again, with the numbers of the new incarnations.
    pub moved: Vec<(TaskId, RunNumber, MinionNumber)>,
    /// Incarnations that leave.
    pub draining: Vec<MinionNumber>,
    /// Runs that ended.
    pub ends: Vec<End>,
    /// Runs that may have crashed their minions.
    pub crashes: Vec<Crash>,
    /// Tasks that have worked for so long that they did not cause the crashes counted for them.
    pub cleared: Vec<TaskId>,
    /// Incarnations that are gone and hold nothing.
    pub gone: Vec<MinionNumber>,
    /// Occurrences that are due.
    pub due: Vec<(JobId, u32)>,
    /// Runs that may be started once this is agreed.
    pub starts: Vec<Start>,
}

impl Batch {
    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.joined.is_empty()
            && self.resized.is_empty()
            && self.moved.is_empty()
            && self.draining.is_empty()
            && self.ends.is_empty()
            && self.crashes.is_empty()
            && self.cleared.is_empty()
            && self.gone.is_empty()
            && self.due.is_empty()
            && self.starts.is_empty()
    }
}

/// A run that is given to a minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// Its new run.
    pub run: RunNumber,
    /// Who runs it.
    pub minion: MinionNumber,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How.
    pub kind: EndKind,
    /// Progress that can be carried on; empty when nothing new was saved.
    pub checkpoint: Checkpoint,
}

/// What is known of a minion that crashed and of a run it was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Certainty {
    /// It had confirmed the start, and was down soon after.
    Begun,
    /// It was told to start it, and was down soon after.
    InDoubt,
    /// It was told to start it, and may have crashed long before or after.
    Possible,
}

impl Certainty {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Begun => "begun",
            Self::InDoubt => "in-doubt",
            Self::Possible => "possible",
        }
    }
}

/// A run that may have crashed its minion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// What is known of it.
    pub certainty: Certainty,
}
