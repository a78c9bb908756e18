//! Lasting gangs: their members end together, or if they don't all start in time.

use std::collections::BTreeMap;
use std::time::Duration;

use yuccahold::batch::model::{EndKind, Grouping, Lifetime, StepId, TaskId};

use super::{Cell, ms};

/// Time for which members wait for the others.
const GANG_WAIT: Duration = ms(2_000);

/// A lasting gang of which at least one member runs.
pub(super) struct GangSight {
    since: Duration,
    is_complete: bool,
}

impl Cell {
    /// Ends the members of lasting gangs that have lost one, or wait for one too long.
    pub(super) fn advance_lasting_gangs(&mut self, now: Duration) {
        let mut members: BTreeMap<StepId, Vec<TaskId>> = BTreeMap::new();
        let incarnations = self.hosts.values().filter_map(|host| host.inc.as_ref());
        for task in incarnations.flat_map(|inc| inc.tasks()) {
            let spec = &self.specs[&task.step.job][usize::from(task.step.step)];
            if spec.grouping == Grouping::Gang && spec.lifetime == Lifetime::Lasting {
                members.entry(task.step).or_default().push(task);
            }
        }
        self.gangs.retain(|step, _| members.contains_key(step));
        for (step, tasks) in members {
            let count = self.specs[&step.job][usize::from(step.step)].count as usize;
            let gang = self.gangs.entry(step).or_insert(GangSight {
                since: now,
                is_complete: false,
            });
            if tasks.len() >= count {
                gang.is_complete = true;
                continue;
            }
            let kind = match gang.is_complete {
                true => EndKind::GangMemberLost,
                false if now > gang.since + GANG_WAIT => EndKind::GangIncomplete,
                false => continue,
            };
            for inc in self.hosts.values_mut().filter_map(|h| h.inc.as_mut()) {
                for task in &tasks {
                    inc.end(*task, kind);
                }
            }
        }
    }
}
