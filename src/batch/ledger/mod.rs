//! The replicated state: the configuration, jobs, tasks and the minions that run them.
//!
//! Deterministic: the same commands in the same order give the same ledger on every replica.

mod batch;
mod commands;
mod copies;
mod early_cancels;
mod failed_gang_runs;
mod format_2;
mod format_3;
mod format_4;
mod format_5;
mod queries;
mod records;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::model::{ConfigVersion, Configuration, JobId, MinionNumber, RunNumber, StepId, TaskId};
use super::workspaces::Workspace;
use crate::error::{Error, Result, Step};
use crate::ids::{MinionId, Timestamp, WorkspaceName};

pub use batch::{Batch, Certainty, Crash, End, Start};
pub use commands::{Command, Reply};
use early_cancels::EarlyCancels;
pub use records::{
    CopyRecord, Crashes, Job, MinionRecord, Occurrence, StepRecord, TaskRecord, TaskState,
};

/// Version of the encoding of snapshots. Snapshots and commands of formats 2 to 5 can be read too.
pub const FORMAT_VERSION: u16 = 6;

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// Version that the operator chose.
    pub version: ConfigVersion,
    /// The operator's original text, returned unchanged to readers.
    pub document: Bytes,
    /// Parsed form of `document`.
    pub parsed: Arc<Configuration>,
}

/// The state that is replicated and written to snapshots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// Leader's Unix time at the last command.
    pub(crate) clock: Timestamp,
    pub(crate) config: Option<StoredConfig>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Open jobs of which no task has started.
    pub(crate) unstarted: BTreeSet<JobId>,
    /// Incarnations that may have active runs or can be given new ones.
    pub(crate) minions: BTreeMap<MinionNumber, MinionRecord>,
    pub(crate) next_minion: MinionNumber,
    /// Ended jobs with the time of their end, oldest first. They are removed after a retention
    /// time.
    pub(crate) ended: std::collections::VecDeque<(Timestamp, JobId)>,
    /// Workspaces that the configuration no longer declares but that still have open jobs, as last
    /// declared.
    pub(crate) removed_workspaces: BTreeMap<WorkspaceName, Workspace>,
    /// Runs beside those in the records of their tasks, by task.
    pub(crate) copies: BTreeMap<TaskId, CopyRecord>,
    /// Cancellations of jobs that are not in `jobs`, for submissions that arrive late.
    pub(crate) early_cancels: EarlyCancels,
    /// Latest counted failed run of each gang that is not done, of open jobs. The other counts decide
    /// whether a job has failed, so replicas may differ here after a snapshot of an earlier format.
    pub(crate) failed_gang_runs: BTreeMap<StepId, RunNumber>,
}

impl Ledger {
    /// Encodes the ledger as a snapshot, prefixed with the format version.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        postcard::to_allocvec(&(FORMAT_VERSION, self))
            .map_err(|e| Error::caused(Step::Codec, "writing a snapshot", e))
    }

    /// Decodes a snapshot of the current format or an earlier one.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let (version, rest): (u16, &[u8]) = postcard::take_from_bytes(bytes)
            .map_err(|e| Error::caused(Step::Codec, "reading a snapshot", e))?;
        let read: postcard::Result<Self> = match version {
            FORMAT_VERSION => postcard::from_bytes(rest),
            format_5::VERSION => postcard::from_bytes::<format_5::Ledger>(rest).map(Into::into),
            format_4::VERSION => postcard::from_bytes::<format_4::Ledger>(rest).map(Into::into),
            format_3::VERSION => postcard::from_bytes::<format_3::Ledger>(rest).map(Into::into),
            format_2::VERSION => postcard::from_bytes::<format_2::Ledger>(rest).map(Into::into),
            _ => return Err(unknown_format("snapshot", version)),
        };
        let mut ledger = read.map_err(|e| Error::caused(Step::Codec, "reading a snapshot", e))?;
        if version < FORMAT_VERSION {
            ledger.restore_failed_gang_runs();
        }
        Ok(ledger)
    }

    /// Lowest number of an incarnation with this name; `None` if there is none.
    pub fn minion_number(&self, id: &MinionId) -> Option<MinionNumber> {
        let mut known = self.minions.iter();
        known.find(|(_, m)| m.report.id == *id).map(|(n, _)| *n)
    }
}

fn unknown_format(what: &str, version: u16) -> Error {
    let oldest = format_2::VERSION;
    let message = format!(
        "the {what} has format {version}; this program reads formats {oldest} to {FORMAT_VERSION}"
    );
    Error::new(Step::Codec, message)
}
