//! Cancellations of jobs that the ledger does not know.
//!
//! A submission may be carried out after its caller has given up and cancelled the job: a frozen
//! host holds it, or a copy takes a longer way. The cancellation is therefore remembered for longer
//! than any submission can be late.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::batch::model::{JobId, QueueKey};
use crate::ids::WorkspaceName;

/// How long a cancellation is remembered.
const RETENTION: Duration = Duration::from_secs(600);
/// Age from which a repeated cancellation is remembered anew; a younger one counts for it. So each
/// acknowledged cancellation holds for at least half of `RETENTION`.
const RENEW_AFTER: Duration = Duration::from_secs(300);
/// Most time that one command adds to the age of cancellations. The leader's time of day may jump,
/// and must not end the retention early.
const MAX_STEP: Duration = Duration::from_secs(10);
/// Most cancellations remembered.
const MAX_CANCELS: u32 = 32_768;
/// Most cancellations remembered for one workspace, or for callers without one.
const MAX_CANCELS_OF_OWNER: u32 = 8_192;

/// Cancellations of jobs that the ledger does not know, each for one queue and workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct EarlyCancels {
    /// Sum of the steps of the log's time, without its jumps.
    elapsed: Duration,
    by_job: BTreeMap<JobId, Vec<EarlyCancel>>,
    /// When each was remembered or renewed, oldest first.
    by_time: VecDeque<(Duration, JobId)>,
    /// Number of cancellations of each workspace.
    counts: BTreeMap<Option<WorkspaceName>, u32>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EarlyCancel {
    queue: QueueKey,
    /// Workspace that cancelled; `None` for a caller without one.
    owner: Option<WorkspaceName>,
    /// Value of `elapsed` when it was remembered or renewed.
    at: Duration,
}

impl EarlyCancels {
    /// Adds a step of the log's time and forgets what is older than the retention.
    pub(super) fn advance(&mut self, step: Duration) {
        if self.by_time.is_empty() {
            return;
        }
        self.elapsed += step.min(MAX_STEP);
        while let Some((at, job)) = self.by_time.front().copied()
            && self.elapsed > at + RETENTION
        {
            self.by_time.pop_front();
            self.forget(job, at);
        }
    }

    fn forget(&mut self, job: JobId, at: Duration) {
        let Some(cancels) = self.by_job.get_mut(&job) else {
            return;
        };
        for cancel in cancels.extract_if(.., |c| c.at <= at) {
            if let Some(count) = self.counts.get_mut(&cancel.owner) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&cancel.owner);
                }
            }
        }
        if cancels.is_empty() {
            self.by_job.remove(&job);
        }
    }

    /// Remembers a cancellation. Returns false, and changes nothing, if there is no room for it.
    pub(super) fn remember(
        &mut self,
        job: JobId,
        queue: &QueueKey,
        owner: Option<&WorkspaceName>,
    ) -> bool {
        if self.is_recent(job, queue, owner) {
            return true;
        }
        let at = self.elapsed;
        let has_room = self.has_room(owner);
        if let Some(known) = self.find_mut(job, queue, owner) {
            known.at = at;
        } else if has_room {
            *self.counts.entry(owner.cloned()).or_default() += 1;
            let cancel = EarlyCancel {
                queue: queue.clone(),
                owner: owner.cloned(),
                at,
            };
            self.by_job.entry(job).or_default().push(cancel);
        } else {
            return false;
        }
        self.by_time.push_back((at, job));
        true
    }

    /// Whether the cancellation is remembered and need not be renewed.
    pub(crate) fn is_recent(
        &self,
        job: JobId,
        queue: &QueueKey,
        owner: Option<&WorkspaceName>,
    ) -> bool {
        let cancels = self.by_job.get(&job).into_iter().flatten();
        let mut same = cancels.filter(|c| c.queue == *queue && c.owner.as_ref() == owner);
        same.any(|c| self.elapsed < c.at + RENEW_AFTER)
    }

    /// Whether one more cancellation of this workspace can be remembered.
    pub(crate) fn has_room(&self, owner: Option<&WorkspaceName>) -> bool {
        let of_owner = self.counts.get(&owner.cloned()).copied();
        of_owner.unwrap_or_default() < MAX_CANCELS_OF_OWNER && self.len() < MAX_CANCELS
    }

    /// Whether a submission to this queue was cancelled before it arrived. A missing owner matches
    /// any: the queue may have become public, or ceased to be, in between.
    pub(crate) fn covers(
        &self,
        job: JobId,
        queue: &QueueKey,
        owner: Option<&WorkspaceName>,
    ) -> bool {
        let same_owner = |c: &EarlyCancel| match (c.owner.as_ref(), owner) {
            (Some(canceller), Some(owner)) => canceller == owner,
            _ => true,
        };
        let mut cancels = self.by_job.get(&job).into_iter().flatten();
        cancels.any(|c| c.queue == *queue && same_owner(c))
    }

    /// Number of cancellations remembered.
    pub(crate) fn len(&self) -> u32 {
        self.counts.values().sum()
    }

    fn find_mut(
        &mut self,
        job: JobId,
        queue: &QueueKey,
        owner: Option<&WorkspaceName>,
    ) -> Option<&mut EarlyCancel> {
        let cancels = self.by_job.get_mut(&job)?;
        let mut same = cancels.iter_mut();
        same.find(|c| c.queue == *queue && c.owner.as_ref() == owner)
    }
}
