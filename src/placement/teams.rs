//! Resource usage of the teams and their fair-share ranks.

use std::collections::{BTreeMap, HashMap};

use crate::document::Team;
use crate::ids::{TeamName, Timestamp};
use crate::resources::Resources;

/// Index of a team in [`Teams::all`].
pub(crate) type TeamIx = u32;

/// Resolution of a share; smaller changes do not reorder queues.
const SHARE_STEPS: u64 = 4096;

/// A team's quota, weight and grants.
#[derive(Debug)]
pub(crate) struct TeamState {
    pub(crate) name: TeamName,
    pub(crate) quota: Resources,
    pub(crate) weight: u32,
    pub(crate) used: Resources,
    /// When its tasks were first blocked within its quota; cleared when one of them starts.
    pub(crate) starved_since: Option<Timestamp>,
}

/// Sort key for fair sharing: teams within their quota first, then by smallest dominant share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FairShareRank {
    pub(crate) borrowing: bool,
    pub(crate) share: u32,
}

/// All teams that have a quota or have had a job.
#[derive(Debug, Default)]
pub(crate) struct Teams {
    pub(crate) all: Vec<TeamState>,
    by_name: HashMap<TeamName, TeamIx>,
}

impl Teams {
    /// Index of a team, added if needed; one that the document does not list has no quota and
    /// weight 1.
    pub(crate) fn ix(&mut self, name: &TeamName) -> TeamIx {
        if let Some(&ix) = self.by_name.get(name) {
            return ix;
        }
        let ix = self.all.len() as TeamIx;
        self.by_name.insert(name.clone(), ix);
        self.all.push(TeamState {
            name: name.clone(),
            quota: Resources::ZERO,
            weight: 1,
            used: Resources::ZERO,
            starved_since: None,
        });
        ix
    }

    /// Index of a team, if it has been added.
    pub(crate) fn find(&self, name: &TeamName) -> Option<TeamIx> {
        self.by_name.get(name).copied()
    }

    /// Looks up a team without adding it.
    pub(crate) fn get(&self, name: &TeamName) -> Option<&TeamState> {
        self.by_name.get(name).map(|&ix| &self.all[ix as usize])
    }

    /// Applies the document's quotas and weights.
    pub(crate) fn set(&mut self, declared: &BTreeMap<TeamName, Team>) {
        for team in &mut self.all {
            team.quota = Resources::ZERO;
            team.weight = 1;
        }
        for (name, team) in declared {
            let ix = self.ix(name) as usize;
            self.all[ix].quota = team.quota;
            self.all[ix].weight = team.weight.max(1);
        }
    }

    pub(crate) fn charge(&mut self, ix: TeamIx, granted: &Resources) {
        let team = &mut self.all[ix as usize];
        team.used = team.used.saturating_add(granted);
        team.starved_since = None;
    }

    pub(crate) fn refund(&mut self, ix: TeamIx, granted: &Resources) {
        let team = &mut self.all[ix as usize];
        team.used = team.used.saturating_sub(granted);
    }

    /// The team's rank; whether it would be borrowing is computed with `more` granted to it.
    pub(crate) fn rank(&self, ix: TeamIx, more: &Resources, total: &Resources) -> FairShareRank {
        let team = &self.all[ix as usize];
        let used = team.used.saturating_add(more);
        FairShareRank {
            borrowing: !used.fits_in(&team.quota),
            share: share(&team.used, team.weight, total),
        }
    }

    /// Whether, for some resource, the team uses more than its quota and would still use all of its
    /// quota without `less`.
    pub(crate) fn over_quota_by(&self, ix: TeamIx, less: &Resources) -> bool {
        let team = &self.all[ix as usize];
        let left = team.used.saturating_sub(less);
        let over = |used: u32, left: u32, quota: u32| used > quota && left >= quota;
        over(team.used.millicores, left.millicores, team.quota.millicores)
            || over(team.used.memory_mb, left.memory_mb, team.quota.memory_mb)
            || over(
                team.used.accelerators,
                left.accelerators,
                team.quota.accelerators,
            )
    }
}

/// Dominant share: the largest of the shares of processors, memory and accelerators, divided by
/// the weight, in steps of 1/4096.
pub(crate) fn share(used: &Resources, weight: u32, total: &Resources) -> u32 {
    let part = |used: u32, total: u32| {
        u64::from(used) * SHARE_STEPS / u64::from(total.max(1)) / u64::from(weight.max(1))
    };
    let cores = part(used.millicores, total.millicores);
    let memory = part(used.memory_mb, total.memory_mb);
    let accelerators = part(used.accelerators, total.accelerators);
    cores.max(memory).max(accelerators).min(u64::from(u32::MAX)) as u32
}
