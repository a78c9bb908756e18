//! Format 2 of snapshots and commands, from before workspaces existed. Read, never written.
//!
//! The types here are as they were encoded then; only those that changed since are repeated.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use serde::Deserialize;

use super::records::{MinionRecord, Occurrence};
use super::{StoredConfig, format_3};
use crate::batch::model::{
    self, ConfigVersion, JobId, JobSpec, JobState, Limits, MinionNumber, PolicyConfig, Service,
};
use crate::ids::{ServiceName, Timestamp};

/// Version that prefixes data of this format.
pub(super) const VERSION: u16 = 2;

/// The ledger without `removed_workspaces`.
#[derive(Deserialize)]
pub(super) struct Ledger {
    clock: Timestamp,
    config: Option<Config>,
    jobs: BTreeMap<JobId, Job>,
    unstarted: BTreeSet<JobId>,
    minions: BTreeMap<MinionNumber, MinionRecord>,
    next_minion: MinionNumber,
    ended: VecDeque<(Timestamp, JobId)>,
}

/// A command whose submissions have no owner.
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
        spec: Arc<JobSpec>,
    },
    Cancel {
        job: JobId,
    },
    Batch(format_3::Batch),
}

#[derive(Deserialize)]
struct Config {
    version: ConfigVersion,
    document: Bytes,
    parsed: Arc<Configuration>,
}

#[derive(Clone, Deserialize)]
pub(super) struct Configuration {
    queues: Vec<Queue>,
    services: Vec<Service>,
    limits: Limits,
}

#[derive(Clone, Deserialize)]
pub(super) struct Queue {
    name: CompactString,
    host: CompactString,
    prefix: CompactString,
    timeout: Duration,
    slo: Duration,
    stretch: f64,
    priority: u32,
    service: ServiceName,
    attempts: u32,
    advice: Option<PolicyConfig>,
}

#[derive(Deserialize)]
struct Job {
    spec: Arc<JobSpec>,
    queue: Arc<Queue>,
    accepted: Timestamp,
    state: JobState,
    occurrences: BTreeMap<u32, Occurrence>,
    due_so_far: u32,
}

impl From<Ledger> for super::Ledger {
    fn from(old: Ledger) -> Self {
        Self {
            clock: old.clock,
            config: old.config.map(Into::into),
            jobs: old.jobs.into_iter().map(|(id, j)| (id, j.into())).collect(),
            unstarted: old.unstarted,
            minions: old.minions,
            next_minion: old.next_minion,
            ended: old.ended,
            removed_workspaces: BTreeMap::new(),
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
                parsed: Arc::new(Arc::unwrap_or_clone(parsed).into()),
            },
            Command::Submit { job, queue, spec } => Self::Submit {
                job,
                queue: Arc::new(Arc::unwrap_or_clone(queue).into()),
                owner: None,
                spec,
            },
            Command::Cancel { job } => Self::Cancel { job },
            Command::Batch(batch) => Self::Batch(batch.into()),
        }
    }
}

impl From<Config> for StoredConfig {
    fn from(old: Config) -> Self {
        Self {
            version: old.version,
            document: old.document,
            parsed: Arc::new(Arc::unwrap_or_clone(old.parsed).into()),
        }
    }
}

impl From<Configuration> for model::Configuration {
    fn from(old: Configuration) -> Self {
        Self {
            queues: old.queues.into_iter().map(Into::into).collect(),
            services: old.services,
            limits: old.limits,
            workspaces: None,
        }
    }
}

impl From<Queue> for model::Queue {
    fn from(old: Queue) -> Self {
        Self {
            name: old.name,
            host: old.host,
            prefix: old.prefix,
            timeout: old.timeout,
            slo: old.slo,
            slo_multiple: old.stretch,
            priority: old.priority,
            service: old.service,
            attempts: old.attempts,
            advice: old.advice,
            public: false,
        }
    }
}

impl From<Job> for super::Job {
    fn from(old: Job) -> Self {
        Self {
            spec: old.spec,
            queue: Arc::new(Arc::unwrap_or_clone(old.queue).into()),
            owner: None,
            accepted: old.accepted,
            state: old.state,
            occurrences: old.occurrences,
            due_so_far: old.due_so_far,
        }
    }
}
