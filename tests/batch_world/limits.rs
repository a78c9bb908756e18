//! Checks that the runs of each workspace stay within its limit.

use std::collections::BTreeMap;
use std::time::Duration;

use yuccahold::batch::model::{JobId, TaskId};

use super::incarnation::Incarnation;
use super::ms;

/// Longest time until a start that was sent is executed. For this time after a change, the former
/// limit still counts.
const START_DELAY: Duration = ms(1_300);

/// Limits and usage of workspaces.
#[derive(Default)]
pub struct Limits {
    pub owners: BTreeMap<JobId, &'static str>,
    /// Limits of each workspace in millicores, with the time until which each counts.
    by_owner: BTreeMap<&'static str, Vec<(u32, Duration)>>,
    /// Peak usage of each workspace in millicores.
    pub peaks: BTreeMap<&'static str, u32>,
}

impl Limits {
    /// Replaces limits; the new ones are in cores.
    pub fn set(&mut self, now: Duration, new_limits: &[(&'static str, u32)]) {
        for (owner, cores) in new_limits {
            let limits = self.by_owner.entry(owner).or_default();
            for (_, until) in limits.iter_mut() {
                *until = (now + START_DELAY).min(*until);
            }
            limits.push((*cores * 1_000, Duration::MAX));
        }
    }

    /// Checks usage after a start; returns a message if the owner of the task exceeds its limit.
    pub fn exceeded<'a>(
        &mut self,
        now: Duration,
        started: TaskId,
        incarnations: impl Iterator<Item = &'a Incarnation>,
    ) -> Option<String> {
        let owner = *self.owners.get(&started.step.job)?;
        let is_owned = |task: &TaskId| self.owners.get(&task.step.job) == Some(&owner);
        let used: u32 = incarnations.map(|inc| inc.millicores_of(is_owned)).sum();
        let peak = self.peaks.entry(owner).or_default();
        *peak = used.max(*peak);
        let in_force = self.by_owner.get(owner)?.iter();
        let in_force = in_force.filter(|(_, until)| now < *until);
        let highest = in_force.map(|(limit, _)| *limit).max()?;
        (used > highest).then(|| format!("{started} brings {owner} to {used} of {highest}"))
    }
}
