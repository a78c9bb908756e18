//! Jobs beyond what their workspaces may count on.
//!
//! Answers a load of which one workspace sends more than its weight: such jobs come behind all others
//! in the order of service, so that what the others send within theirs is served as if it did not.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::Dispatcher;
use super::mechanisms::Mechanism;
use crate::batch::ledger::Ledger;
use crate::batch::model::JobId;
use crate::ids::{Timestamp, WorkspaceName};

/// Span over which hand-ins are held against a weight, which is in jobs a second.
const SPAN: Duration = Duration::from_secs(1);

/// Hand-ins of late, and the open jobs that are beyond a weight.
#[derive(Debug, Default)]
pub(super) struct Shares {
    /// When each workspace handed in what it may count on, within the span.
    recent: BTreeMap<WorkspaceName, VecDeque<Timestamp>>,
    surplus: BTreeSet<JobId>,
}

impl Shares {
    /// Takes a hand-in. One beyond the weight does not count against those that follow it.
    fn take(&mut self, job: JobId, owner: &WorkspaceName, weight: f64, at: Timestamp) {
        let recent = self.recent.entry(owner.clone()).or_default();
        while recent.front().is_some_and(|first| at >= *first + SPAN) {
            recent.pop_front();
        }
        // Less than one a second is one that comes more rarely, not none.
        if (recent.len() as f64) < weight.max(1.0) {
            recent.push_back(at);
        } else {
            self.surplus.insert(job);
        }
    }

    /// Forgets a job that has ended.
    pub(super) fn forget(&mut self, job: JobId) {
        self.surplus.remove(&job);
    }
}

impl Dispatcher {
    /// Whether a job is beyond what its workspace may count on.
    pub(super) fn is_surplus(&self, job: JobId) -> bool {
        self.cfg.mechanisms.has(Mechanism::SurplusLast) && self.shares.surplus.contains(&job)
    }

    /// Notes a hand-in.
    pub(super) fn take_hand_in(&mut self, ledger: &Ledger, id: JobId) {
        let Some(job) = ledger.jobs.get(&id) else {
            return;
        };
        let Some(owner) = &job.owner else {
            return;
        };
        if let Some(workspace) = ledger.workspace(owner) {
            self.shares.take(id, owner, workspace.weight, job.accepted);
        }
    }

    /// The same for all jobs that are known, in the order in which they were handed in.
    pub(super) fn restore_hand_ins(&mut self, ledger: &Ledger) {
        let owned = ledger.jobs.iter().filter(|(_, job)| job.owner.is_some());
        let mut order: Vec<_> = owned.map(|(id, job)| (job.accepted, *id)).collect();
        order.sort_unstable();
        for (_, id) in order {
            self.take_hand_in(ledger, id);
        }
        let is_open = |id: &JobId| ledger.job_state(*id).is_some_and(|s| !s.is_final());
        self.shares.surplus.retain(is_open);
    }
}
