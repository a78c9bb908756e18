//! Placement of waiting tasks on minions.

use std::time::Duration;

use super::advice::{QuestionReason, StepAdvice};
use super::crashes::Suspicion;
use super::mechanisms::Mechanism;
use super::minion::Minion;
use super::quota::LimitState;
use super::run::{Run, demand};
use super::speed::Slowness;
use super::utilization::Utilization;
use super::{Dispatcher, ReadyStep};
use crate::batch::event::Event;
use crate::batch::ledger::{Ledger, Start};
use crate::batch::model::{Grouping, Lifetime, MinionNumber, StepId, StepSpec, TaskId};
use crate::ids::Timestamp;
use crate::resources::Resources;

/// Pause between two rounds when nothing has changed: tickets expire and back-off pauses end
/// meanwhile.
const IDLE_PLACE_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two rounds while many tasks wait: runs then end every millisecond or two, and 10
/// ms is short compared with the time that tasks wait.
const CROWDED_PAUSE: Duration = Duration::from_millis(10);
/// Time for which a finite task that uses idle CPU waits for as much as it declares.
const IDLE_CPU_WAIT: Duration = Duration::from_secs(3);
/// Most starts in one round, so that a round doesn't block the control thread for long.
const MAX_STARTS_PER_ROUND: usize = 256;

/// Rank of a minion for a task; the lowest is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Score {
    /// Whether tasks that use idle CPU and tasks with a latency target would share it.
    shared: bool,
    /// Whether a task that uses idle CPU would get less than it declares.
    crowded: bool,
    /// Whether it is outside the rack of the task's data.
    far: bool,
    /// Rank of its speed class for the task; lower is better, whether that is fast or slow.
    speed: u8,
    /// Weighted sum of the resources that the task would leave free; lower is a tighter fit.
    left: u32,
    minion: MinionNumber,
}

impl Dispatcher {
    /// Runs one placement round over all ready steps, in the order of service.
    pub(super) fn place(&mut self, now: Timestamp, unix: Timestamp, ledger: &Ledger) {
        self.placement_requested = false;
        self.place_at = now + IDLE_PLACE_PAUSE;
        self.refresh_utilization(now);
        self.reservations = self.reservations.next_round(now);
        self.quotas.next_round();
        self.expect_losses(now, ledger);
        let order = self.service_order(unix);
        let mut started = 0;
        let mut prepared = false;
        for id in &order {
            let id = *id;
            if started >= MAX_STARTS_PER_ROUND {
                self.placement_requested = true;
                break;
            }
            let Some(step) = self.ready.remove(&id) else {
                continue;
            };
            // After the lasting tasks that wait, and before all other work.
            if !prepared && !step.is_lasting() {
                self.prepare_for_losses(now, unix);
                prepared = true;
            }
            started += self.place_step(now, unix, id, step, ledger);
        }
        if !prepared {
            self.prepare_for_losses(now, unix);
        }
        self.ask_passed_over(now);
        if self.cfg.mechanisms.has(Mechanism::AskAhead) {
            self.ask_ahead(now);
        }
        // Waiting tasks come first.
        if started < MAX_STARTS_PER_ROUND {
            self.place_copies(now, unix, ledger);
        }
        if self.reservations.are_many() {
            self.place_not_before = now + CROWDED_PAUSE;
        }
    }

    fn place_step(
        &mut self,
        now: Timestamp,
        unix: Timestamp,
        id: StepId,
        mut step: ReadyStep,
        ledger: &Ledger,
    ) -> usize {
        let spec = std::sync::Arc::clone(&step.spec);
        let spec = &spec.steps[usize::from(id.step)];
        let before = step.waiting.len();
        match spec.grouping {
            Grouping::Gang => self.place_gang(now, id, &mut step, spec, ledger),
            Grouping::Single => self.place_singles(now, id, &mut step, spec, ledger),
        }
        let placed = before - step.waiting.len();
        if step.waiting.is_empty() {
            return placed;
        }
        let state = self.limit_state(&step, spec);
        if state != LimitState::Open {
            if state == LimitState::Reserved {
                self.prepare_for_limit(now, unix, id, &step, spec);
            }
            self.ready.insert(id, step);
            return placed;
        }
        // A question about a lasting task names the minions on which resources are reserved for it,
        // so they are reserved first.
        if step.is_lasting() {
            self.reserve_resources(now, unix, id, &step);
        }
        if let Some(policy) = step.queue.advice {
            self.ask(now, id, &step, policy, QuestionReason::Now);
        }
        if !step.is_lasting() {
            self.reserve_resources(now, unix, id, &step);
        }
        self.ready.insert(id, step);
        placed
    }

    /// Obtains tickets and frees resources for the first step that waits for the limit of its
    /// workspace.
    fn prepare_for_limit(
        &mut self,
        now: Timestamp,
        unix: Timestamp,
        id: StepId,
        step: &ReadyStep,
        spec: &StepSpec,
    ) {
        if let Some(policy) = step.queue.advice {
            self.ask(now, id, step, policy, QuestionReason::Now);
        }
        self.make_room_in_limit(now, unix, id, step, spec);
    }

    fn place_singles(
        &mut self,
        now: Timestamp,
        id: StepId,
        step: &mut ReadyStep,
        spec: &StepSpec,
        ledger: &Ledger,
    ) {
        while let Some(index) = step.waiting.first().copied() {
            if !self.is_allowed(step, spec) {
                return;
            }
            let task = id.task(index);
            let Some(record) = self.waiting_record(ledger, task) else {
                step.waiting.remove(0);
                continue;
            };
            let suspect = record.crashes.any();
            let Some(minion) = self.choose(now, id, step, spec, suspect) else {
                return;
            };
            step.waiting.remove(0);
            self.propose_start(now, task, step, spec, minion, 0, ledger);
        }
    }

    /// The best minion for one more task of a step. `suspect` is set for a task that may crash its
    /// minion.
    fn choose(
        &self,
        now: Timestamp,
        id: StepId,
        step: &ReadyStep,
        spec: &StepSpec,
        suspect: bool,
    ) -> Option<MinionNumber> {
        let need = demand(spec);
        let candidates = self.candidates(id, step).into_iter();
        let candidates = candidates.filter(|m| self.may_run(now, m, id, step, spec, &need));
        let score = |m: &&Minion| self.score(m, step, spec, &need);
        let best = if suspect {
            candidates.min_by_key(|m| self.trial_score(now, m, score(m)))
        } else {
            candidates.min_by_key(score)
        };
        best.map(|m| m.number)
    }

    /// Minions that may have a ticket for a step; all minions where its queue has no policy. Few
    /// have a ticket, so the others aren't examined.
    pub(super) fn candidates(&self, id: StepId, step: &ReadyStep) -> Vec<&Minion> {
        self.listed_minions(id, step, StepAdvice::minions_with_ticket)
    }

    /// Minions of one of the lists in the policy state of a step; all minions where its queue has
    /// no policy.
    pub(super) fn listed_minions<'a, I: Iterator<Item = MinionNumber> + 'a>(
        &'a self,
        id: StepId,
        step: &ReadyStep,
        list: impl Fn(&'a StepAdvice) -> I,
    ) -> Vec<&'a Minion> {
        if step.queue.advice.is_none() {
            let all = self.minions.values();
            return all.inspect(|_| self.count_examined()).collect();
        }
        let listed = self.step_advice.get(&id).into_iter().flat_map(list);
        let listed = listed.inspect(|_| self.count_examined());
        listed
            .filter_map(|number| self.minions.get(&number))
            .collect()
    }

    /// Whether one more task of a step may be placed on a minion now, with its free resources and
    /// the reservations there taken into account.
    pub(super) fn may_run(
        &self,
        now: Timestamp,
        minion: &Minion,
        id: StepId,
        step: &ReadyStep,
        spec: &StepSpec,
        need: &Resources,
    ) -> bool {
        minion.trials == 0
            && need.fits_in(&minion.free())
            && (!self.waits_for_idle_cpu(now, step, spec) || has_idle_cpu(minion, spec))
            && self.respects_reservations(now, minion, step, spec, need)
            && self.has_permission(now, minion, id, step, spec)
    }

    /// Whether a minion is eligible for a step and has a ticket where one is needed, regardless of
    /// its free resources.
    pub(super) fn has_permission(
        &self,
        now: Timestamp,
        minion: &Minion,
        id: StepId,
        step: &ReadyStep,
        spec: &StepSpec,
    ) -> bool {
        self.is_eligible(now, minion, id, step, spec)
            && (step.queue.advice.is_none()
                || self
                    .step_advice
                    .get(&id)
                    .is_some_and(|k| k.has_ticket(minion.number, now)))
    }

    /// Whether a minion takes work and suits a step, and its runs of the step are below the step's
    /// maximum per minion. Regardless of tickets, its free resources and its capacity.
    pub(super) fn is_eligible(
        &self,
        now: Timestamp,
        minion: &Minion,
        id: StepId,
        step: &ReadyStep,
        spec: &StepSpec,
    ) -> bool {
        if !minion.takes_work(now) {
            return false;
        }
        if minion.report.service != step.queue.service {
            return false;
        }
        if spec.label.as_ref().is_some_and(|l| !minion.has_label(l)) {
            return false;
        }
        if spec.uses_idle_cpu && minion.is_closed_to_best_effort(now) {
            return false;
        }
        spec.max_per_minion
            .is_none_or(|most| self.tasks_of_step_on(minion, id) < most)
    }

    /// Whether a task that uses idle CPU still waits for a minion with as much as it declares. A
    /// finite one makes no progress elsewhere; a lasting one has to run.
    fn waits_for_idle_cpu(&self, now: Timestamp, step: &ReadyStep, spec: &StepSpec) -> bool {
        spec.uses_idle_cpu && !step.is_lasting() && now < step.since + IDLE_CPU_WAIT
    }

    pub(super) fn tasks_of_step_on(&self, minion: &Minion, id: StepId) -> u32 {
        minion.runs.range(id.tasks()).count() as u32
    }

    /// Prefers minions in the rack of the data, then by speed, then the tightest fit in the
    /// scarcest resources, which keeps large free blocks for large tasks.
    ///
    /// Urgent work prefers fast minions, other work the slow ones: the objective of urgent work is
    /// 1.5 times its run time on an average minion, and a slow minion uses up most of the margin.
    pub(super) fn score(
        &self,
        minion: &Minion,
        step: &ReadyStep,
        spec: &StepSpec,
        need: &Resources,
    ) -> Score {
        let far = spec
            .data_rack
            .as_ref()
            .is_some_and(|rack| !minion.has_label(rack));
        let mut left = minion.free().saturating_sub(need);
        left.millicores = left.millicores.saturating_sub(minion.idle_cpu_demand);
        let utilization = self.utilization(&minion.report.service);
        let slowness = self.speeds.slowness(&minion.pace);
        let urgent = step.queue.priority == 0 && spec.lifetime == Lifetime::Finite;
        let speed = match slowness {
            Slowness::VerySlow => u8::MAX,
            slowness if urgent => slowness as u8,
            // In a full service, a tight fit gains more than keeping the fast minions free.
            _ if utilization.is_some_and(Utilization::is_full) => 0,
            slowness => Slowness::Slow as u8 - slowness as u8,
        };
        Score {
            shared: (spec.uses_idle_cpu && minion.serving > 0)
                || (spec.latency_target.is_some() && minion.best_effort > 0),
            crowded: spec.uses_idle_cpu && !has_idle_cpu(minion, spec),
            far,
            speed,
            left: utilization.map_or(0, |utilization| utilization.weighted_leftover(&left)),
            minion: minion.number,
        }
    }

    /// Adds the start of a task to the next batch and tracks the run; the order is sent after the
    /// commit.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn propose_start(
        &mut self,
        now: Timestamp,
        task: TaskId,
        step: &ReadyStep,
        spec: &StepSpec,
        number: MinionNumber,
        gang_run: u32,
        ledger: &Ledger,
    ) {
        let Some(record) = ledger.task(task) else {
            return;
        };
        let run = ledger.next_run(task).max(gang_run);
        let Some(minion) = self.minions.get(&number) else {
            return;
        };
        self.emit(Event::RunPlaced {
            task,
            run,
            minion: minion.report.id.clone(),
            age: ledger.clock.saturating_sub(step.accepted),
            estimate: spec.estimate,
            slack: step.slack(ledger.clock),
            free: minion.free().millicores,
            heard: now.saturating_sub(minion.heard),
        });
        self.batch.starts.push(Start {
            task,
            run,
            minion: number,
        });
        let checkpoint = record.checkpoint.clone();
        let mut run = Run::new(run, number, (spec, &step.queue), checkpoint, now);
        run.owner = step.owner.clone();
        run.expected = self.expected_time(&step.queue.name, run.declared);
        if record.crashes.any() {
            run.suspicion = Suspicion::Trial;
        }
        self.add_run(task, run);
    }
}

/// Whether a minion has as much idle CPU left as a task that uses it declares.
fn has_idle_cpu(minion: &Minion, spec: &StepSpec) -> bool {
    let idle = minion.free().millicores;
    spec.need.millicores <= idle.saturating_sub(minion.idle_cpu_demand)
}
