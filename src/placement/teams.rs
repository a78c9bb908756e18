//! What each team uses, and its place among the teams.

use std::collections::{BTreeMap, HashMap};

use crate::document::Team;
use crate::ids::{TeamName, Timestamp};
use crate::resources::Resources;

/// Position of a team in the table.
pub(crate) type TeamIx = u32;

/// Steps into which a share is cut; a change smaller than a step does not reorder queues.
const SHARE_STEPS: u64 = 4096;

/// A team and what it uses.
#[derive(Debug)]
pub(crate) struct TeamState {
    pub(crate) name: TeamName,
    pub(crate) quota: Resources,
    pub(crate) weight: u32,
    pub(crate) used: Resources,
    /// Since when its work is blocked within its quota and nothing of it started.
    pub(crate) short_since: Option<Timestamp>,
}

/// A team's place: those within their quota go first, then the smallest dominant share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Standing {
    pub(crate) borrowing: bool,
    pub(crate) share: u32,
}

/// All teams that have work or a quota.
#[derive(Debug, Default)]
pub(crate) struct Teams {
    pub(crate) all: Vec<TeamState>,
    by_name: HashMap<TeamName, TeamIx>,
}

impl Teams {
    /// Finds a team; one that the document does not name has no quota and weight 1.
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
            short_since: None,
        });
        ix
    }

    /// Finds a team's position without adding it.
    pub(crate) fn find(&self, name: &TeamName) -> Option<TeamIx> {
        self.by_name.get(name).copied()
    }

    /// Finds a team without adding it.
    pub(crate) fn get(&self, name: &TeamName) -> Option<&TeamState> {
        self.by_name.get(name).map(|&ix| &self.all[ix as usize])
    }

    /// Takes in the document's quotas and weights.
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
        team.short_since = None;
    }

    pub(crate) fn refund(&mut self, ix: TeamIx, granted: &Resources) {
        let team = &mut self.all[ix as usize];
        team.used = team.used.saturating_sub(granted);
    }

    /// The team's place if it were granted `more`.
    pub(crate) fn standing(&self, ix: TeamIx, more: &Resources, total: &Resources) -> Standing {
        let team = &self.all[ix as usize];
        let used = team.used.saturating_add(more);
        Standing {
            borrowing: !used.fits_in(&team.quota),
            share: share(&team.used, team.weight, total),
        }
    }

    /// Says whether the team keeps its whole quota when `less` is taken from it.
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

/// The largest of the shares of processors, memory and accelerators, divided by the weight.
pub(crate) fn share(used: &Resources, weight: u32, total: &Resources) -> u32 {
    let part = |used: u32, total: u32| {
        u64::from(used) * SHARE_STEPS / u64::from(total.max(1)) / u64::from(weight.max(1))
    };
    let cores = part(used.millicores, total.millicores);
    let memory = part(used.memory_mb, total.memory_mb);
    let accelerators = part(used.accelerators, total.accelerators);
    cores.max(memory).max(accelerators).min(u64::from(u32::MAX)) as u32
}
