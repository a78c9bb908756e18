//! Format 5 of snapshots and commands, from before failed runs of gangs were remembered. Its
//! snapshots are read and never written. Commands have not changed since, so they are still written
//! in it or in an earlier format.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Deserialize;

use super::StoredConfig;
use super::early_cancels::EarlyCancels;
use super::records::{CopyRecord, Job, MinionRecord};
use crate::batch::model::{JobId, MinionNumber, TaskId};
use crate::batch::workspaces::Workspace;
use crate::ids::{Timestamp, WorkspaceName};

/// Version that prefixes data of this format.
pub(super) const VERSION: u16 = 5;

/// The ledger without `failed_gang_runs`.
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
    early_cancels: EarlyCancels,
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
            early_cancels: old.early_cancels,
            failed_gang_runs: BTreeMap::new(),
        }
    }
}
