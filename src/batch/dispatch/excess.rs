//! Jobs submitted above the weight of their workspace, which is a rate in jobs a second.
//!
//! When one workspace submits more than its weight, its excess jobs come after all others in the
//! order of service, so that the jobs of other workspaces within their weights aren't delayed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::Dispatcher;
use super::mechanisms::Mechanism;
use crate::batch::ledger::Ledger;
use crate::batch::model::JobId;
use crate::ids::{Timestamp, WorkspaceName};

/// Sliding window over which submissions are counted against a weight, which is in jobs a second.
const WINDOW: Duration = Duration::from_secs(1);

/// Recent submissions of each workspace, and the unfinished jobs in excess of a weight.
#[derive(Debug, Default)]
pub(super) struct ExcessJobs {
    /// Times of the submissions within the weight of each workspace, over the window.
    recent: BTreeMap<WorkspaceName, VecDeque<Timestamp>>,
    jobs: BTreeSet<JobId>,
}

impl ExcessJobs {
    /// Records a submission. An excess one doesn't count against those that follow.
    fn record(&mut self, job: JobId, owner: &WorkspaceName, weight: f64, at: Timestamp) {
        let recent = self.recent.entry(owner.clone()).or_default();
        while recent.front().is_some_and(|first| at >= *first + WINDOW) {
            recent.pop_front();
        }
        // A weight below one a second still allows one job in the window.
        if (recent.len() as f64) < weight.max(1.0) {
            recent.push_back(at);
        } else {
            self.jobs.insert(job);
        }
    }

    /// Whether a submission at `at` would be above the weight of its workspace; `pending` of its
    /// submissions within the weight are not recorded yet.
    fn would_exceed(
        &self,
        owner: &WorkspaceName,
        weight: f64,
        at: Timestamp,
        pending: usize,
    ) -> bool {
        let counted = self.recent.get(owner).map_or(0, |recent| {
            recent.len() - recent.partition_point(|first| at >= *first + WINDOW)
        });
        (counted + pending) as f64 >= weight.max(1.0)
    }

    /// Removes a finished job.
    pub(super) fn remove(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }
}

impl Dispatcher {
    /// Whether a job was submitted above the weight of its workspace; never while the mechanism is
    /// off.
    pub(super) fn is_excess(&self, job: JobId) -> bool {
        self.cfg.mechanisms.has(Mechanism::ExcessLast) && self.excess.jobs.contains(&job)
    }

    /// Whether a job submitted now would be above the weight of its workspace, where `pending` of
    /// the workspace's submissions within the weight are not committed yet; never while the
    /// mechanism is off.
    pub(super) fn would_be_excess(
        &self,
        owner: &WorkspaceName,
        weight: f64,
        unix: Timestamp,
        pending: usize,
    ) -> bool {
        self.cfg.mechanisms.has(Mechanism::ExcessLast)
            && self.excess.would_exceed(owner, weight, unix, pending)
    }

    /// Counts a new job against the weight of its workspace.
    pub(super) fn count_submission(&mut self, ledger: &Ledger, id: JobId) {
        let Some(job) = ledger.jobs.get(&id) else {
            return;
        };
        let Some(owner) = &job.owner else {
            return;
        };
        if let Some(workspace) = ledger.workspace(owner) {
            self.excess
                .record(id, owner, workspace.weight, job.accepted);
        }
    }

    /// Counts all jobs of the ledger, in the order of their submission.
    pub(super) fn restore_submissions(&mut self, ledger: &Ledger) {
        let owned = ledger.jobs.iter().filter(|(_, job)| job.owner.is_some());
        let mut order: Vec<_> = owned.map(|(id, job)| (job.accepted, *id)).collect();
        order.sort_unstable();
        for (_, id) in order {
            self.count_submission(ledger, id);
        }
        let is_open = |id: &JobId| ledger.job_state(*id).is_some_and(|s| !s.is_final());
        self.excess.jobs.retain(is_open);
    }
}
