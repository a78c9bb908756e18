//! Gangs: their members wait for each other, end as done together, and fail each by itself.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::RngExt;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use yuccahold::batch::model::{EndKind, Grouping, Lifetime, RunNumber, StepId, StepSpec, TaskId};

use super::attempts::Attempts;
use super::{Cell, ms};

/// Time for which members wait for the others.
const GANG_WAIT: Duration = ms(2_000);
/// Times within which the ends of the members of one run lie, in ms: in one listing or in several,
/// and after the next run has been placed.
const SPREADS: [u64; 4] = [1, 20, 300, 2_500];

/// How members of finite gangs fail.
pub struct GangFaults {
    pub rng: ChaCha8Rng,
    /// Share of the runs in which members fail by themselves.
    pub share: f64,
    /// Share of the other members that end as failed too, instead of as broken.
    pub share_of_others: f64,
}

/// A run of a gang of which at least one member is at work.
pub(super) struct GangSight {
    since: Duration,
    seen: BTreeSet<TaskId>,
    is_complete: bool,
    is_broken: bool,
    /// Ends that are due.
    ends: BTreeMap<TaskId, (Duration, EndKind)>,
}

/// Gangs of a cell.
#[derive(Default)]
pub struct Gangs {
    /// Faults of finite gangs; `None` for none.
    pub faults: Option<GangFaults>,
    sights: BTreeMap<(StepId, RunNumber), GangSight>,
    pub(super) attempts: Attempts,
    /// Since when each gang has waited although there is room for it twice over.
    pub(super) waits: BTreeMap<StepId, Duration>,
}

impl Gangs {
    fn spread(&mut self, from: Duration) -> impl FnMut() -> Duration + use<> {
        let rng = self.faults.as_mut().map(|faults| &mut faults.rng);
        let mut times = rng.map(|rng| {
            let spread = SPREADS[rng.random_range(0..SPREADS.len())];
            let times: Vec<_> = (0..8).map(|_| ms(rng.random_range(0..spread))).collect();
            times.into_iter().cycle()
        });
        move || from + times.as_mut().and_then(Iterator::next).unwrap_or_default()
    }

    /// Ends of a run whose members are all present.
    fn plan(
        &mut self,
        now: Duration,
        spec: &StepSpec,
        mut members: Vec<TaskId>,
    ) -> BTreeMap<TaskId, (Duration, EndKind)> {
        if spec.lifetime == Lifetime::Lasting {
            return BTreeMap::new();
        }
        let end = (now + spec.estimate, EndKind::Done);
        let mut ends: BTreeMap<_, _> = members.iter().map(|task| (*task, end)).collect();
        let Some(faults) = self.faults.as_mut() else {
            return ends;
        };
        if faults.rng.random_bool(faults.share) {
            members.shuffle(&mut faults.rng);
            members.truncate(faults.rng.random_range(1..=members.len()));
            let first = spec.estimate.mul_f64(faults.rng.random_range(0.05..0.95));
            let mut at = self.spread(now + first);
            ends.extend(members.iter().map(|task| (*task, (at(), EndKind::Failed))));
        }
        ends
    }

    /// Ends of the members that are left when one has ended; those that fail by themselves still do.
    fn break_run(&mut self, now: Duration, sight: &mut GangSight, left: &[TaskId]) {
        sight.is_broken = true;
        let mut at = self.spread(now);
        for task in left {
            let fails = self.faults.as_mut();
            let fails = fails.is_some_and(|f| f.rng.random_bool(f.share_of_others));
            let kind = match fails {
                true => EndKind::Failed,
                false => EndKind::GangMemberLost,
            };
            let planned = sight.ends.get(task).map(|(_, kind)| *kind);
            let is_final = planned.is_some_and(|kind| kind != EndKind::Done);
            if !is_final {
                sight.ends.insert(*task, (at(), kind));
            }
        }
    }
}

impl Cell {
    /// Plans and carries out the ends of members of gangs.
    pub(super) fn advance_gangs(&mut self, now: Duration) {
        let mut members: BTreeMap<_, Vec<TaskId>> = BTreeMap::new();
        let incarnations = self.hosts.values().filter_map(|host| host.inc.as_ref());
        for (task, run) in incarnations.flat_map(|inc| inc.run_numbers()) {
            let spec = &self.specs[&task.step.job][usize::from(task.step.step)];
            if spec.grouping == Grouping::Gang {
                members.entry((task.step, run)).or_default().push(task);
            }
        }
        self.gangs.sights.retain(|run, _| members.contains_key(run));
        for (run, tasks) in members {
            let spec = &self.specs[&run.0.job][usize::from(run.0.step)];
            let mut sight = self.gangs.sights.remove(&run).unwrap_or(GangSight {
                since: now,
                seen: BTreeSet::new(),
                is_complete: false,
                is_broken: false,
                ends: BTreeMap::new(),
            });
            sight.seen.extend(&tasks);
            if !sight.is_complete && tasks.len() >= spec.count as usize {
                sight.is_complete = true;
                sight.ends = self.gangs.plan(now, spec, tasks.clone());
            }
            let late = || tasks.iter().any(|task| !sight.ends.contains_key(task));
            if tasks.len() < sight.seen.len() && (!sight.is_broken || late()) {
                self.gangs.break_run(now, &mut sight, &tasks);
            }
            let waits = !sight.is_complete && !sight.is_broken;
            let alone = waits && now > sight.since + GANG_WAIT;
            for task in tasks {
                let due = sight.ends.get(&task).filter(|(at, _)| *at <= now);
                let kind = due.map(|(_, kind)| *kind);
                if let Some(kind) = kind.or(alone.then_some(EndKind::GangIncomplete)) {
                    self.end_run_of(task, run.1, kind);
                }
            }
            self.gangs.sights.insert(run, sight);
        }
    }

    fn end_run_of(&mut self, task: TaskId, run: RunNumber, kind: EndKind) {
        for inc in self.hosts.values_mut().filter_map(|h| h.inc.as_mut()) {
            if inc.run_numbers().any(|active| active == (task, run)) {
                inc.end(task, kind);
            }
        }
    }
}
