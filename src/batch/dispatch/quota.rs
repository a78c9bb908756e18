//! What each workspace has running, against what it may have.
//!
//! All that may run counts: starts that are being agreed, orders without an answer, runs that are
//! being stopped, and runs of silent minions until their leases are over.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::Dispatcher;
use super::mechanisms::Mechanism;
use super::ready::ReadyStep;
use crate::batch::ledger::Ledger;
use crate::batch::model::{Grouping, RunNumber, StepId, StepSpec, TaskId};
use crate::batch::note::Note;
use crate::ids::{Timestamp, WorkspaceName};
use crate::resources::Resources;

/// What one workspace has running.
#[derive(Debug, Default)]
struct Usage {
    runs: BTreeSet<(TaskId, RunNumber)>,
    all: Resources,
    /// Part of it that does not end by itself.
    lasting: Resources,
}

/// A run as it counts against a limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct Charge<'a> {
    pub(super) owner: &'a WorkspaceName,
    pub(super) run: (TaskId, RunNumber),
    pub(super) need: Resources,
    pub(super) lasting: bool,
}

/// Where a step stands at the limit of its workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LimitState {
    /// It may start.
    Open,
    /// It waits for the limit, as the first of its workspace.
    Next,
    /// It waits for the limit, behind another one or in vain.
    Behind,
}

/// Limits and use of all workspaces.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    limits: BTreeMap<WorkspaceName, Resources>,
    used: BTreeMap<WorkspaceName, Usage>,
    /// Kept in the present round for the first step of each workspace that waits for it.
    kept: BTreeMap<WorkspaceName, Resources>,
}

impl Quotas {
    /// Takes limits in place of all former ones. Runs above a lowered one go on.
    pub(super) fn set_limits(&mut self, limits: impl Iterator<Item = (WorkspaceName, Resources)>) {
        self.limits = limits
            .map(|(name, limit)| (name, or_unlimited(limit)))
            .collect();
    }

    /// Counts a run, once.
    pub(super) fn add(&mut self, charge: Charge) {
        let used = self.used.entry(charge.owner.clone()).or_default();
        if !used.runs.insert(charge.run) {
            return;
        }
        used.all = used.all.saturating_add(&charge.need);
        if charge.lasting {
            used.lasting = used.lasting.saturating_add(&charge.need);
        }
    }

    /// Counts a run no more.
    pub(super) fn remove(&mut self, charge: Charge) {
        let Some(used) = self.used.get_mut(charge.owner) else {
            return;
        };
        if !used.runs.remove(&charge.run) {
            return;
        }
        used.all = used.all.saturating_sub(&charge.need);
        if charge.lasting {
            used.lasting = used.lasting.saturating_sub(&charge.need);
        }
        if used.runs.is_empty() {
            self.used.remove(charge.owner);
        }
    }

    /// Forgets what was kept in the round before.
    pub(super) fn next_round(&mut self) {
        self.kept.clear();
    }

    /// How many tasks of this need may start now.
    pub(super) fn times(&self, owner: Option<&WorkspaceName>, need: &Resources) -> u32 {
        owner
            .and_then(|owner| self.room(owner))
            .map_or(u32::MAX, |room| need.times_in(&room))
    }

    /// Whether a workspace has more running than it may.
    pub(super) fn is_over(&self, owner: Option<&WorkspaceName>) -> bool {
        let over = |owner: &WorkspaceName| {
            let limit = self.limits.get(owner)?;
            Some(!self.used.get(owner)?.all.fits_in(limit))
        };
        owner.and_then(over).unwrap_or(false)
    }

    /// What a workspace has running.
    pub(super) fn used(&self, owner: &WorkspaceName) -> Resources {
        self.used
            .get(owner)
            .map_or(Resources::ZERO, |used| used.all)
    }

    /// The limit of a workspace; `None` when it has none.
    pub(super) fn limit(&self, owner: &WorkspaceName) -> Option<&Resources> {
        self.limits.get(owner)
    }

    /// Workspaces with a limit, each with what it has running and may have.
    pub(super) fn uses(&self) -> impl Iterator<Item = (&WorkspaceName, Resources, Resources)> {
        let limits = self.limits.iter();
        limits.map(|(owner, limit)| (owner, self.used(owner), *limit))
    }

    /// What a workspace may still start in this round; `None` without a limit.
    fn room(&self, owner: &WorkspaceName) -> Option<Resources> {
        let room = self.limits.get(owner)?.saturating_sub(&self.used(owner));
        let kept = self.kept.get(owner);
        Some(kept.map_or(room, |kept| room.saturating_sub(kept)))
    }

    /// Keeps the limit's room for what waits for it; false if other work came before.
    ///
    /// Without it small tasks would take each part as it comes free, and a large task or a gang
    /// would wait for as long as there are small ones. What could not start even if all that ends
    /// by itself had ended is not waited for.
    fn keep(&mut self, owner: &WorkspaceName, need: &Resources) -> bool {
        if self.kept.contains_key(owner) {
            return false;
        }
        let Some(limit) = self.limits.get(owner) else {
            return false;
        };
        let lasting = self.used.get(owner).map_or(Resources::ZERO, |u| u.lasting);
        let comes_free = limit.saturating_sub(&lasting);
        if need.fits_in(&comes_free) {
            self.kept.insert(owner.clone(), *need);
            return true;
        }
        false
    }
}

/// A limit of zero is none.
fn or_unlimited(limit: Resources) -> Resources {
    let unit = |unit: u32| if unit == 0 { u32::MAX } else { unit };
    Resources {
        millicores: unit(limit.millicores),
        memory_mb: unit(limit.memory_mb),
        accelerators: unit(limit.accelerators),
    }
}

/// What the tasks of a step that start together count against a limit.
fn wanted(step: &ReadyStep, spec: &StepSpec) -> Resources {
    match spec.grouping {
        Grouping::Single => spec.need,
        Grouping::Gang => {
            let members = step.waiting.len() as u32;
            spec.need.saturating_mul(members)
        }
    }
}

impl Dispatcher {
    /// Takes the limits that are in force.
    pub(super) fn renew_limits(&mut self, ledger: &Ledger) {
        let limits = ledger.workspaces();
        self.quotas
            .set_limits(limits.map(|(name, workspace)| (name.clone(), workspace.limit)));
        self.place_wanted = true;
    }

    /// Whether the limit of a step's workspace lets any of its tasks start.
    pub(super) fn is_allowed(&self, step: &ReadyStep, spec: &StepSpec) -> bool {
        self.quotas.times(step.owner.as_ref(), &wanted(step, spec)) > 0
    }

    /// Where a step stands at the limit of its workspace. The first in the order of service that the
    /// limit does not let start has room of it kept.
    pub(super) fn limit_state(&mut self, step: &ReadyStep, spec: &StepSpec) -> LimitState {
        if self.is_allowed(step, spec) {
            return LimitState::Open;
        }
        let wanted = wanted(step, spec);
        let owner = step.owner.as_ref();
        if owner.is_some_and(|owner| self.quotas.keep(owner, &wanted)) {
            LimitState::Next
        } else {
            LimitState::Behind
        }
    }

    /// Stops less urgent runs of a step's own workspace where that lets the step start under the
    /// limit and its job be done in time.
    pub(super) fn make_room_in_limit(
        &mut self,
        now: Timestamp,
        unix: Timestamp,
        id: StepId,
        step: &ReadyStep,
        spec: &StepSpec,
    ) {
        let worth_it = !step.is_late(unix) && !step.is_surplus();
        if !worth_it || !self.cfg.mechanisms.has(Mechanism::LimitPreemption) {
            return;
        }
        let owner = step.owner.as_ref();
        let victims = owner.and_then(|o| self.victims_in_limit(now, o, step, spec));
        for (task, run) in victims.into_iter().flatten() {
            self.note(Note::RunPreempted { task, run, by: id });
            self.stop_run(now, task);
        }
    }

    /// Runs of a workspace that have to be stopped for a step, the least urgent and the latest begun
    /// first; `None` where stopping is not enough.
    fn victims_in_limit(
        &self,
        now: Timestamp,
        owner: &WorkspaceName,
        step: &ReadyStep,
        spec: &StepSpec,
    ) -> Option<Vec<(TaskId, RunNumber)>> {
        let limit = self.quotas.limits.get(owner)?;
        let usage = self.quotas.used.get(owner)?;
        let mut after = usage.all.saturating_add(&wanted(step, spec));
        let mut yielding = Vec::new();
        for (task, number) in &usage.runs {
            let Some(run) = self.runs.get(task).filter(|run| run.run == *number) else {
                continue;
            };
            if run.is_leaving() {
                after = after.saturating_sub(&run.need);
            } else if self.yields_to(now, run, step.queue.priority) {
                let rank = (Reverse((run.priority, run.proposed)), *task);
                yielding.push((rank, run));
            }
        }
        yielding.sort_unstable_by_key(|(rank, _)| *rank);
        let mut victims = Vec::new();
        for ((_, task), run) in yielding {
            if after.fits_in(limit) {
                break;
            }
            after = after.saturating_sub(&run.need);
            victims.push((task, run.run));
        }
        after.fits_in(limit).then_some(victims)
    }
}
