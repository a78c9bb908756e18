//! Format 4 of snapshots and commands, from before cancellations of unknown jobs were remembered.
//! Its snapshots are read and never written. Commands that it has are still written in it, so that
//! replicas of the version before apply them too.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Deserialize;

use super::StoredConfig;
use super::records::{CopyRecord, Job, MinionRecord};
use crate::batch::model::{JobId, MinionNumber, TaskId};
use crate::batch::workspaces::Workspace;
use crate::ids::{Timestamp, WorkspaceName};

/// Version that prefixes data of this format.
pub(super) const VERSION: u16 = 4;

/// The ledger without `early_cancels`.
#[derive(Deserialize)]
pub(super) struct Ledger {
    clock: Timestamp,
    config: Option<StoredConfig>,
    jobs: BTreeMap<JobId, Job>,
    unstarted: BTreeSet<JobId>,
    minions: BTreeMap<MinionNumber, MinionRecord>,
    next_minion: MinionNumber,
    ended: VecDeque<(Timestamp, JobId)>,
    removed_workspaces: BTreeMap<WorkspaceName, Workspace>,
    copies: BTreeMap<TaskId, CopyRecord>,
}

impl From<Ledger> for super::Ledger {
    fn from(old: Ledger) -> Self {
        Self {
            clock: old.clock,
            config: old.config,
            jobs: old.jobs,
            unstarted: old.unstarted,
            minions: old.minions,
            next_minion: old.next_minion,
            ended: old.ended,
            removed_workspaces: old.removed_workspaces,
            copies: old.copies,
            early_cancels: Default::default(),
            failed_gang_runs: BTreeMap::new(),
        }
    }
}
