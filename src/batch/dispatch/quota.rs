//! Limits of workspaces, and the resources that their runs use.
//!
//! Every run that may exist counts: starts that are not committed yet, unanswered orders, runs that
//! are being stopped, and runs on unreachable minions until their leases have ended.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::Dispatcher;
use super::mechanisms::Mechanism;
use super::ready::ReadyStep;
use crate::batch::event::Event;
use crate::batch::ledger::Ledger;
use crate::batch::model::{Grouping, RunNumber, StepId, StepSpec, TaskId};
use crate::ids::{Timestamp, WorkspaceName};
use crate::resources::Resources;

/// Runs of one workspace and the sum of their resources.
#[derive(Debug, Default)]
struct Usage {
    runs: BTreeSet<(TaskId, RunNumber)>,
    all: Resources,
    /// Part of `all` that belongs to lasting tasks, which run until they are cancelled.
    lasting: Resources,
}

/// Contribution of a run to the usage of its workspace.
#[derive(Clone, Copy, Debug)]
pub(super) struct Charge<'a> {
    pub(super) owner: &'a WorkspaceName,
    pub(super) run: (TaskId, RunNumber),
    pub(super) need: Resources,
    pub(super) lasting: bool,
}

/// Whether the limit of its workspace lets a step start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LimitState {
    /// The step may start.
    Open,
    /// The step waits for the limit. It is the first of its workspace that can run under the limit
    /// beside the lasting tasks, so what it needs of the limit is reserved for it.
    Reserved,
    /// The step waits for the limit behind another step, or can't start while lasting tasks run.
    Blocked,
}

/// Limits and usage of all workspaces.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    limits: BTreeMap<WorkspaceName, Resources>,
    used: BTreeMap<WorkspaceName, Usage>,
    /// Part of the limit that the current round reserves for the first waiting step of each
    /// workspace.
    reserved: BTreeMap<WorkspaceName, Resources>,
}

impl Quotas {
    /// Replaces all limits. Runs that exceed a lowered limit continue.
    pub(super) fn set_limits(&mut self, limits: impl Iterator<Item = (WorkspaceName, Resources)>) {
        self.limits = limits
            .map(|(name, limit)| (name, or_unlimited(limit)))
            .collect();
    }

    /// Adds a run to the usage; a repetition has no effect.
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

    /// Removes a run from the usage; a repetition has no effect.
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

    /// Drops the reservations of the previous round.
    pub(super) fn next_round(&mut self) {
        self.reserved.clear();
    }

    /// Number of tasks with this need that may start now; `u32::MAX` without a limit.
    pub(super) fn startable_tasks(&self, owner: Option<&WorkspaceName>, need: &Resources) -> u32 {
        owner
            .and_then(|owner| self.room(owner))
            .map_or(u32::MAX, |room| need.times_in(&room))
    }

    /// Whether the usage of a workspace exceeds its limit.
    pub(super) fn is_over(&self, owner: Option<&WorkspaceName>) -> bool {
        let over = |owner: &WorkspaceName| {
            let limit = self.limits.get(owner)?;
            Some(!self.used.get(owner)?.all.fits_in(limit))
        };
        owner.and_then(over).unwrap_or(false)
    }

    /// Resources that the runs of a workspace use.
    pub(super) fn used(&self, owner: &WorkspaceName) -> Resources {
        self.used
            .get(owner)
            .map_or(Resources::ZERO, |used| used.all)
    }

    /// The limit of a workspace; `None` when it has none.
    pub(super) fn limit(&self, owner: &WorkspaceName) -> Option<&Resources> {
        self.limits.get(owner)
    }

    /// Usage and limit of each workspace that has a limit.
    pub(super) fn usage_and_limits(
        &self,
    ) -> impl Iterator<Item = (&WorkspaceName, Resources, Resources)> {
        let limits = self.limits.iter();
        limits.map(|(owner, limit)| (owner, self.used(owner), *limit))
    }

    /// Resources that a workspace may still use in this round; `None` without a limit.
    fn room(&self, owner: &WorkspaceName) -> Option<Resources> {
        let room = self.limits.get(owner)?.saturating_sub(&self.used(owner));
        let reserved = self.reserved.get(owner);
        Some(reserved.map_or(room, |reserved| room.saturating_sub(reserved)))
    }

    /// Reserves part of the limit for a waiting step. False when another step has the reservation,
    /// or when the step could not start even after all finite runs had ended.
    ///
    /// Without the reservation, small tasks would take each part of the limit as it is freed, and a
    /// large task or a gang would wait as long as there are small ones.
    fn reserve(&mut self, owner: &WorkspaceName, need: &Resources) -> bool {
        if self.reserved.contains_key(owner) {
            return false;
        }
        let Some(limit) = self.limits.get(owner) else {
            return false;
        };
        let lasting = self.used.get(owner).map_or(Resources::ZERO, |u| u.lasting);
        let comes_free = limit.saturating_sub(&lasting);
        if need.fits_in(&comes_free) {
            self.reserved.insert(owner.clone(), *need);
            return true;
        }
        false
    }
}

/// Replaces a limit of zero, which stands for no limit, by the highest value.
fn or_unlimited(limit: Resources) -> Resources {
    let or_max = |amount: u32| if amount == 0 { u32::MAX } else { amount };
    Resources {
        millicores: or_max(limit.millicores),
        memory_mb: or_max(limit.memory_mb),
        accelerators: or_max(limit.accelerators),
    }
}

/// Resources that a step needs under the limit to start any task: those of one task, or of all
/// waiting members of a gang.
fn required(step: &ReadyStep, spec: &StepSpec) -> Resources {
    match spec.grouping {
        Grouping::Single => spec.need,
        Grouping::Gang => {
            let members = step.waiting.len() as u32;
            spec.need.saturating_mul(members)
        }
    }
}

impl Dispatcher {
    /// Reads the current limits from the ledger.
    pub(super) fn refresh_limits(&mut self, ledger: &Ledger) {
        let limits = ledger.workspaces();
        self.quotas
            .set_limits(limits.map(|(name, workspace)| (name.clone(), workspace.limit)));
        self.placement_requested = true;
    }

    /// Whether the limit of a step's workspace lets any of its tasks start.
    pub(super) fn is_allowed(&self, step: &ReadyStep, spec: &StepSpec) -> bool {
        self.quotas
            .startable_tasks(step.owner.as_ref(), &required(step, spec))
            > 0
    }

    /// Checks a step against the limit of its workspace. The first step in the order of service
    /// that the limit blocks gets a reservation.
    pub(super) fn limit_state(&mut self, step: &ReadyStep, spec: &StepSpec) -> LimitState {
        if self.is_allowed(step, spec) {
            return LimitState::Open;
        }
        let required = required(step, spec);
        let owner = step.owner.as_ref();
        if owner.is_some_and(|owner| self.quotas.reserve(owner, &required)) {
            LimitState::Reserved
        } else {
            LimitState::Blocked
        }
    }

    /// Preempts less urgent runs of the same workspace, if that lets the step start under the limit
    /// and its job can still meet its objective.
    pub(super) fn make_room_in_limit(
        &mut self,
        now: Timestamp,
        unix: Timestamp,
        id: StepId,
        step: &ReadyStep,
        spec: &StepSpec,
    ) {
        let worth_it = !step.is_late(unix) && !step.is_excess();
        if !worth_it || !self.cfg.mechanisms.has(Mechanism::LimitPreemption) {
            return;
        }
        let owner = step.owner.as_ref();
        let victims = owner.and_then(|o| self.victims_in_limit(now, o, step, spec));
        for (task, run) in victims.into_iter().flatten() {
            self.emit(Event::RunPreempted {
                task: task.original(),
                run,
                by: id,
            });
            self.stop_run(now, task);
        }
    }

    /// Runs of a workspace to preempt for a step, the least urgent and then the most recent first;
    /// `None` if preemption doesn't free enough.
    fn victims_in_limit(
        &self,
        now: Timestamp,
        owner: &WorkspaceName,
        step: &ReadyStep,
        spec: &StepSpec,
    ) -> Option<Vec<(TaskId, RunNumber)>> {
        let limit = self.quotas.limits.get(owner)?;
        let usage = self.quotas.used.get(owner)?;
        let mut after = usage.all.saturating_add(&required(step, spec));
        let mut preemptible = Vec::new();
        for (task, number) in &usage.runs {
            let Some(run) = self.runs.get(task).filter(|run| run.run == *number) else {
                continue;
            };
            if run.is_stopping() {
                after = after.saturating_sub(&run.need);
            } else if self.is_preemptible_for(now, run, step.queue.priority) {
                let rank = (Reverse((run.priority, run.proposed)), *task);
                preemptible.push((rank, run));
            }
        }
        preemptible.sort_unstable_by_key(|(rank, _)| *rank);
        let mut victims = Vec::new();
        for ((_, task), run) in preemptible {
            if after.fits_in(limit) {
                break;
            }
            after = after.saturating_sub(&run.need);
            victims.push((task, run.run));
        }
        after.fits_in(limit).then_some(victims)
    }
}
