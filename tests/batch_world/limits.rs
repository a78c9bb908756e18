//! What workspaces may have running, and what they have on their minions.

use std::collections::BTreeMap;
use std::time::Duration;

use yuccahold::batch::model::{JobId, TaskId};

use super::life::Life;
use super::ms;

/// Time for which a former limit counts: that in which a start may be carried out.
const NOTICE: Duration = ms(1_300);

#[derive(Default)]
pub struct Limits {
    pub owners: BTreeMap<JobId, &'static str>,
    /// Limits of each workspace in thousandths of a core, with the time until which each counts.
    known: BTreeMap<&'static str, Vec<(u32, Duration)>>,
    /// The most that each workspace had running.
    pub peaks: BTreeMap<&'static str, u32>,
}

impl Limits {
    /// Limits in cores take the place of the former ones.
    pub fn set(&mut self, now: Duration, limits: &[(&'static str, u32)]) {
        for (owner, cores) in limits {
            let known = self.known.entry(owner).or_default();
            for (_, until) in known.iter_mut() {
                *until = (now + NOTICE).min(*until);
            }
            known.push((*cores * 1_000, Duration::MAX));
        }
    }

    /// What is wrong after a start, with all that runs.
    pub fn exceeded<'a>(
        &mut self,
        now: Duration,
        started: TaskId,
        lives: impl Iterator<Item = &'a Life>,
    ) -> Option<String> {
        let owner = *self.owners.get(&started.step.job)?;
        let mine = |task: &TaskId| self.owners.get(&task.step.job) == Some(&owner);
        let used: u32 = lives.map(|life| life.millicores_of(mine)).sum();
        let peak = self.peaks.entry(owner).or_default();
        *peak = used.max(*peak);
        let in_force = self.known.get(owner)?.iter();
        let in_force = in_force.filter(|(_, until)| now < *until);
        let most = in_force.map(|(limit, _)| *limit).max()?;
        (used > most).then(|| format!("{started} brings {owner} to {used} of {most}"))
    }
}
