//! Format 3 of snapshots and commands, from before copies of tasks existed. Read, never written.
//!
//! The types here are as they were encoded then; only those that changed since are repeated.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;

use super::StoredConfig;
use super::batch::{Crash, End, Start};
use super::records::{Job, MinionRecord};
use crate::batch::model::{
    ConfigVersion, Configuration, JobId, JobSpec, MinionNumber, MinionReport, Queue, RunNumber,
    TaskId,
};
use crate::batch::workspaces::Workspace;
use crate::ids::{Timestamp, WorkspaceName};
use crate::resources::Resources;

/// Version that prefixes data of this format.
pub(super) const VERSION: u16 = 3;

/// The ledger without `copies`.
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
}

#[derive(Deserialize)]
pub(super) enum Command {
    PutConfig {
        version: ConfigVersion,
        document: Bytes,
        parsed: Arc<Configuration>,
    },
    Submit {
        job: JobId,
        queue: Arc<Queue>,
        owner: Option<WorkspaceName>,
        spec: Arc<JobSpec>,
    },
    Cancel {
        job: JobId,
    },
    Batch(Batch),
}

/// A batch without copies.
#[derive(Deserialize)]
pub(super) struct Batch {
    joined: Vec<(MinionNumber, MinionReport)>,
    resized: Vec<(MinionNumber, Resources)>,
    reassigned: Vec<(TaskId, RunNumber, MinionNumber)>,
    draining: Vec<MinionNumber>,
    ends: Vec<End>,
    crashes: Vec<Crash>,
    crashes_reset: Vec<TaskId>,
    gone: Vec<MinionNumber>,
    due: Vec<(JobId, u32)>,
    starts: Vec<Start>,
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
            copies: BTreeMap::new(),
            early_cancels: Default::default(),
            failed_gang_runs: BTreeMap::new(),
        }
    }
}

impl From<Command> for super::Command {
    fn from(old: Command) -> Self {
        match old {
            Command::PutConfig {
                version,
                document,
                parsed,
            } => Self::PutConfig {
                version,
                document,
                parsed,
            },
            Command::Submit {
                job,
                queue,
                owner,
                spec,
            } => Self::Submit {
                job,
                queue,
                owner,
                spec,
            },
            Command::Cancel { job } => Self::Cancel { job },
            Command::Batch(batch) => Self::Batch(batch.into()),
        }
    }
}

impl From<Batch> for super::Batch {
    fn from(old: Batch) -> Self {
        Self {
            joined: old.joined,
            resized: old.resized,
            reassigned: old.reassigned,
            draining: old.draining,
            ends: old.ends,
            crashes: old.crashes,
            crashes_reset: old.crashes_reset,
            gone: old.gone,
            due: old.due,
            starts: old.starts,
            copies: Vec::new(),
        }
    }
}
