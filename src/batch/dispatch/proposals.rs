//! Admitted jobs whose proposals to the log are in progress.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::places::Standing;
use super::throughput::{Amounts, add};
use crate::batch::model::JobId;
use crate::ids::{Timestamp, WorkspaceName};

/// Time after which a proposal that was not applied is forgotten; the log keeps none for so long.
const MAX_AGE: Duration = Duration::from_secs(10);

/// An admitted job.
#[derive(Debug)]
pub(super) struct Proposal {
    pub(super) at: Timestamp,
    pub(super) owner: WorkspaceName,
    /// `None` if its wait could not be estimated.
    pub(super) standing: Option<Standing>,
    pub(super) need: Amounts,
    pub(super) excess: bool,
    /// Whether it is in the ledger; it counts until the load is computed with it.
    pub(super) applied: bool,
}

/// Admitted jobs that the computed load doesn't include yet.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    by_job: HashMap<JobId, Proposal>,
    needs: BTreeMap<Standing, Amounts>,
    /// Unapplied proposals of each workspace within its weight.
    within_weight: BTreeMap<WorkspaceName, usize>,
}

impl Proposals {
    /// Whether a job was proposed and may still be applied.
    pub(super) fn is_pending(&self, job: JobId, now: Timestamp) -> bool {
        let proposal = self.by_job.get(&job);
        proposal.is_some_and(|proposal| now < proposal.at + MAX_AGE)
    }

    /// Adds an admitted job.
    pub(super) fn add(&mut self, job: JobId, proposal: Proposal) {
        if let Some(standing) = &proposal.standing {
            let sum = self.needs.entry(standing.clone()).or_default();
            add(sum, &proposal.need);
        }
        if !proposal.excess {
            let owner = proposal.owner.clone();
            *self.within_weight.entry(owner).or_default() += 1;
        }
        if let Some(before) = self.by_job.insert(job, proposal) {
            self.forget(&before);
        }
    }

    /// Records that a job is in the ledger.
    pub(super) fn applied(&mut self, job: JobId) {
        let Some(proposal) = self.by_job.get_mut(&job) else {
            return;
        };
        if !std::mem::replace(&mut proposal.applied, true) && !proposal.excess {
            decrement(&mut self.within_weight, &proposal.owner);
        }
    }

    /// Number of proposals of a workspace within its weight that are not applied.
    pub(super) fn within_weight(&self, owner: &WorkspaceName) -> usize {
        self.within_weight.get(owner).copied().unwrap_or_default()
    }

    /// Adds up the needs of the proposals that count for a standing.
    pub(super) fn needs(&self, standing: &Standing) -> Amounts {
        let mut sum = [0.0; 3];
        let counting = self.needs.iter();
        for (_, need) in counting.filter(|(other, _)| other.counts_for(standing)) {
            add(&mut sum, need);
        }
        sum
    }

    /// Removes what is too old, and what the load computed at the same time includes: applied jobs
    /// whose steps are not about to be reread.
    pub(super) fn expire(&mut self, now: Timestamp, changed: &BTreeSet<JobId>) {
        let over = |job: &JobId, p: &Proposal| {
            now >= p.at + MAX_AGE || (p.applied && !changed.contains(job))
        };
        let removed: Vec<_> = self.by_job.extract_if(|job, p| over(job, p)).collect();
        for (_, proposal) in removed {
            self.forget(&proposal);
        }
    }

    fn forget(&mut self, proposal: &Proposal) {
        if let Some(standing) = &proposal.standing
            && let Some(sum) = self.needs.get_mut(standing)
        {
            for (sum, need) in sum.iter_mut().zip(proposal.need) {
                *sum -= need;
            }
            if *sum == [0.0; 3] {
                self.needs.remove(standing);
            }
        }
        if !proposal.excess && !proposal.applied {
            decrement(&mut self.within_weight, &proposal.owner);
        }
    }
}

fn decrement(counts: &mut BTreeMap<WorkspaceName, usize>, owner: &WorkspaceName) {
    if let Some(count) = counts.get_mut(owner) {
        *count -= 1;
        if *count == 0 {
            counts.remove(owner);
        }
    }
}
