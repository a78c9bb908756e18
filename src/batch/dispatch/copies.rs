//! Decision on copies: a second run of a task whose first run should end too late.
//!
//! The load that this addresses: minions that are cut off or slow while others have room. The tasks
//! on a cut-off minion can't start elsewhere before its lease is over, which takes longer than
//! short work may be late. Where a step allows copies, such a task gets a second run at once.
//!
//! A run is looked at only when its timer expires or its minion stops answering, so that a round
//! does not walk all runs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::advice::QuestionReason;
use super::mechanisms::Mechanism;
use super::minion::Minion;
use super::ready::{OrderKey, ReadyStep, remove_job};
use super::run::{Run, RunState, demand};
use super::speed::Slowness;
use super::timers::Timers;
use super::{Dispatcher, StepId, TaskId};
use crate::batch::event::Event;
use crate::batch::ledger::{Ledger, Start};
use crate::batch::model::{JobId, MinionNumber, StepSpec};
use crate::ids::{ServiceName, Timestamp};
use crate::resources::Resources;

/// Time from an order or a hold without an answer to the decision: the order is repeated at once,
/// and the answer to the repetition takes a round trip of 2 ms if only the first answer was lost.
const CONFIRM_PAUSE: Duration = Duration::from_millis(20);
/// Pause before another search for a minion, a ticket or a share of the resources.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Shortest time between two checks of a run.
const CHECK_PAUSE_MIN: Duration = Duration::from_millis(50);
/// A copy costs this part of the expected run time.
const COST_DIVISOR: u32 = 4;
/// Least cost of a copy: its start and the stop of the other run take two orders and two listings.
const MIN_COST: Duration = Duration::from_millis(100);
/// Largest share of the resources in use in a service that copies may use.
const MAX_SHARE: f64 = 0.1;
/// Most copies in one round, so that a round doesn't block the control thread for long.
const MAX_COPIES_PER_ROUND: usize = 64;

/// Runs that may get copies, and copies.
#[derive(Debug, Default)]
pub(super) struct Copies {
    /// When each run whose task may have a copy is checked next.
    checks: Timers<TaskId>,
    /// Keys of the tracked copies.
    runs: BTreeSet<TaskId>,
    /// Validity of the tickets for steps that were asked about for a copy.
    asked: BTreeMap<StepId, Duration>,
    /// When a round is due for checks that should not wait for the next regular one.
    wake_at: Option<Timestamp>,
}

impl Copies {
    /// Stops tracking a run that is removed or changes its key.
    pub(super) fn remove_run(&mut self, key: TaskId) {
        if key.is_copy() {
            self.runs.remove(&key);
        }
    }

    fn wake(&mut self, at: Timestamp) {
        self.wake_at = Some(self.wake_at.map_or(at, |before| before.min(at)));
    }

    /// Validity of the tickets of a step that was asked about for a copy.
    pub(super) fn ticket_validity(&self, step: StepId) -> Option<Duration> {
        self.asked.get(&step).copied()
    }

    /// Drops the questions of a job that has ended.
    pub(super) fn remove_job(&mut self, job: JobId) {
        remove_job(&mut self.asked, job);
    }
}

/// Why the first run of a task is expected to end too late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyReason {
    /// Its minion doesn't answer.
    SilentMinion,
    /// Its start was not answered.
    UnansweredStart,
    /// It runs for longer than the objective of its job allows.
    Late,
}

impl CopyReason {
    /// Value of `why` in logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::SilentMinion => "silent minion",
            Self::UnansweredStart => "unanswered start",
            Self::Late => "late",
        }
    }
}

/// Result of the check of a run.
enum Check {
    /// A copy should start.
    Copy(CopyReason),
    /// The next check is due at this time.
    Again(Timestamp),
    /// The task can have no copy.
    Never,
}

/// A step with runs to check, with the times and values of the current round.
struct CheckedStep {
    now: Timestamp,
    unix: Timestamp,
    id: StepId,
    step: ReadyStep,
    /// Expected run time of a run that starts now.
    fresh: Duration,
}

impl CheckedStep {
    fn spec(&self) -> &StepSpec {
        &self.step.spec.steps[usize::from(self.id.step)]
    }

    /// Whether the job misses its objective if a run of the step ends at `end`.
    fn is_too_late(&self, end: Timestamp) -> bool {
        let after = self.step.remaining.saturating_sub(self.fresh);
        let left = end.saturating_sub(self.now).saturating_add(after);
        left > self.step.slack(self.unix)
    }

    /// Whether a run that starts now ends earlier than `end` by more than its cost.
    fn is_worth_it(&self, end: Timestamp) -> bool {
        let cost = (self.fresh / COST_DIVISOR).max(MIN_COST);
        end > self.now.saturating_add(self.fresh).saturating_add(cost)
    }

    /// Rank among the steps of the round: those that a copy brings in time come first.
    fn rank(&self) -> (bool, OrderKey) {
        let late = self.is_too_late(self.now.saturating_add(self.fresh));
        (late, self.step.key)
    }
}

/// Resources of a service that are in use, and the part that copies use.
#[derive(Clone, Copy, Default)]
struct Budget {
    used: Resources,
    copies: Resources,
}

impl Budget {
    fn allows(&self, need: &Resources) -> bool {
        let after = self.copies.saturating_add(need);
        after.fits_in(&self.used.scaled_by(MAX_SHARE))
    }
}

/// Budgets of the services that were considered in a round.
type Budgets = BTreeMap<ServiceName, Budget>;

impl Dispatcher {
    /// Number of active copies.
    pub(super) fn active_copies(&self) -> usize {
        let copies = self.copies.runs.iter().filter_map(|id| self.runs.get(id));
        copies.filter(|run| run.state != RunState::Ending).count()
    }

    /// Records a run that is tracked from now on.
    pub(super) fn track_for_copies(&mut self, key: TaskId, run: &Run) {
        if key.is_copy() {
            self.copies.runs.insert(key);
        } else if run.copyable && self.cfg.mechanisms.has(Mechanism::Copies) {
            let at = run.proposed + check_pause(run.expected);
            self.copies.checks.set(key, Some(at));
        }
    }

    /// Checks the first run of a task in the next round.
    pub(super) fn recheck_copy(&mut self, now: Timestamp, task: TaskId) {
        let copyable = self.runs.get(&task).is_some_and(|run| run.copyable);
        if copyable && self.cfg.mechanisms.has(Mechanism::Copies) {
            self.copies.checks.set(task, Some(now));
        }
    }

    /// Checks the runs of a minion that did not answer, after `CONFIRM_PAUSE`.
    pub(super) fn recheck_copies_on(&mut self, now: Timestamp, number: MinionNumber) {
        let Some(minion) = self.minions.get(&number) else {
            return;
        };
        if !self.cfg.mechanisms.has(Mechanism::Copies) {
            return;
        }
        let at = now + CONFIRM_PAUSE;
        for id in minion.runs.iter().filter(|id| !id.is_copy()) {
            if self.runs.get(id).is_some_and(|run| run.copyable) {
                self.copies.checks.set(*id, Some(at));
                self.copies.wake(at);
            }
        }
        self.schedule_round_for_copies();
    }

    fn schedule_round_for_copies(&mut self) {
        if let Some(at) = self.copies.wake_at {
            self.place_at = self.place_at.min(at);
        }
    }

    /// Starts copies of runs that are due for a check and should end too late.
    pub(super) fn place_copies(&mut self, now: Timestamp, unix: Timestamp, ledger: &Ledger) {
        self.copies.wake_at = self.copies.wake_at.filter(|at| *at > now);
        self.place_due_copies(now, unix, ledger);
        self.schedule_round_for_copies();
    }

    fn place_due_copies(&mut self, now: Timestamp, unix: Timestamp, ledger: &Ledger) {
        let mut by_step: BTreeMap<StepId, Vec<TaskId>> = BTreeMap::new();
        for task in self.copies.checks.take_due(now) {
            by_step.entry(task.step).or_default().push(task);
        }
        if by_step.is_empty() {
            return;
        }
        let mut late = Vec::new();
        for (id, tasks) in by_step {
            if let Some(step) = self.checked_step(now, unix, id, ledger) {
                let tasks = self.late_tasks(&step, tasks, ledger);
                if !tasks.is_empty() {
                    late.push((step, tasks));
                }
            }
        }
        late.sort_by_key(|(step, _)| step.rank());
        let mut budgets = Budgets::new();
        let mut left = MAX_COPIES_PER_ROUND;
        for (step, tasks) in late {
            self.place_copies_of(step, tasks, &mut left, &mut budgets, ledger);
        }
    }

    /// A step with its expected times; `None` if its job has ended or has no value any more.
    fn checked_step(
        &self,
        now: Timestamp,
        unix: Timestamp,
        id: StepId,
        ledger: &Ledger,
    ) -> Option<CheckedStep> {
        let job = ledger.jobs.get(&id.job)?;
        let spec = job.spec.steps.get(usize::from(id.step))?;
        if job.state.is_final() {
            return None;
        }
        let step = self.ready_step(job, id, Vec::new(), now);
        let fresh = self.step_time(job, id, spec);
        (!step.is_expired(unix)).then_some(CheckedStep {
            now,
            unix,
            id,
            step,
            fresh,
        })
    }

    /// Checks runs of a step; returns those that should have a copy, and sets the timers of others.
    fn late_tasks(
        &mut self,
        step: &CheckedStep,
        tasks: Vec<TaskId>,
        ledger: &Ledger,
    ) -> Vec<(TaskId, CopyReason)> {
        let mut late = Vec::new();
        for task in tasks {
            match self.check(step, task, ledger) {
                Check::Copy(reason) => late.push((task, reason)),
                Check::Again(at) => self.copies.checks.set(task, Some(at)),
                Check::Never => {}
            }
        }
        late
    }

    /// Whether a task should have a copy. A task that may have crashed a minion gets none: its next
    /// start is a trial, beside which nothing else may run.
    fn check(&self, step: &CheckedStep, task: TaskId, ledger: &Ledger) -> Check {
        let now = step.now;
        let (Some(run), Some(record)) = (self.runs.get(&task), ledger.task(task)) else {
            return Check::Never;
        };
        if run.is_stopping() || run.state == RunState::Ending || record.crashes.any() {
            return Check::Never;
        }
        if self.runs.contains_key(&task.copy()) || ledger.active_copy(task).is_some() {
            return Check::Never;
        }
        if run.state == RunState::Proposed || !record.is_active_run(run.run) {
            return Check::Again(now + CHECK_PAUSE_MIN);
        }
        let Some((end, reason)) = self.end_and_reason(step, run) else {
            return Check::Again(now + check_pause(step.fresh));
        };
        if step.is_too_late(end) && step.is_worth_it(end) {
            return Check::Copy(reason);
        }
        Check::Again(now + check_pause(step.fresh))
    }

    /// When a run should end, and why that may be too late; `None` if it can't be estimated.
    fn end_and_reason(&self, step: &CheckedStep, run: &Run) -> Option<(Timestamp, CopyReason)> {
        let minion = self.minions.get(&run.minion)?;
        let in_doubt = matches!(run.state, RunState::Starting | RunState::InDoubt);
        let reason = if !minion.is_responsive() {
            CopyReason::SilentMinion
        } else if in_doubt && run.unanswered.is_some() {
            CopyReason::UnansweredStart
        } else {
            let end = self.late_end(step, run, minion)?;
            return Some((end, CopyReason::Late));
        };
        let lease_end = minion.lease_end(step.now);
        Some((lease_end.saturating_add(step.fresh), reason))
    }

    /// When a run on a minion that answers should end; `None` without evidence that a fresh run
    /// would be faster: finished tasks of the step, or a minion that is known to be slow.
    ///
    /// Declared times are off by a factor of two and more. Without such evidence, work that merely
    /// declares too little would get copies that take as long. The current estimate is used instead
    /// of the one at the run's start, as estimates of a queue change with its work.
    fn late_end(&self, step: &CheckedStep, run: &Run, minion: &Minion) -> Option<Timestamp> {
        let learnt = self.cfg.mechanisms.has(Mechanism::LearntTimes);
        let is_known = learnt && self.observed.contains_key(&step.id);
        if !is_known && self.speeds.slowness(&minion.pace) < Slowness::Slow {
            return None;
        }
        let is_whole = !run.expected.is_zero();
        let expected = if is_whole { step.fresh } else { Duration::ZERO };
        run.expected_end_after(step.now, expected)
    }

    /// Starts copies of these tasks as far as there are minions for them, and asks the policy
    /// service about the others.
    fn place_copies_of(
        &mut self,
        mut step: CheckedStep,
        tasks: Vec<(TaskId, CopyReason)>,
        left: &mut usize,
        budgets: &mut Budgets,
        ledger: &Ledger,
    ) {
        let need = demand(step.spec());
        let service = step.step.queue.service.clone();
        let mut without_minion = Vec::new();
        for (task, reason) in tasks {
            let allowed = *left > 0 && self.is_allowed(&step.step, step.spec());
            let budget = budgets.entry(service.clone());
            let budget = budget.or_insert_with(|| self.copy_budget(&service));
            if !allowed || !budget.allows(&need) {
                self.retry_copy(step.now, task);
                continue;
            }
            let Some(minion) = self.choose_for_copy(&step, task, &need) else {
                without_minion.push(task.index);
                self.retry_copy(step.now, task);
                continue;
            };
            self.propose_copy(&step, task, minion, reason, ledger);
            budget.copies = budget.copies.saturating_add(&need);
            *left -= 1;
        }
        if let Some(policy) = step.step.queue.advice
            && !without_minion.is_empty()
            && !self.ready.contains_key(&step.id)
        {
            step.step.waiting = without_minion;
            self.copies.asked.insert(step.id, policy.validity);
            let reason = QuestionReason::Upcoming;
            self.ask(step.now, step.id, &step.step, policy, reason);
        }
    }

    fn retry_copy(&mut self, now: Timestamp, task: TaskId) {
        let at = now + RETRY_PAUSE;
        self.copies.checks.set(task, Some(at));
        self.copies.wake(at);
    }

    fn copy_budget(&self, service: &ServiceName) -> Budget {
        let in_service = |minion: &&Minion| minion.report.service == *service;
        let sum = |sum: Resources, need: &Resources| sum.saturating_add(need);
        let minions = self.minions.values().filter(in_service);
        let copies = self.copies.runs.iter().filter_map(|id| self.runs.get(id));
        let copies = copies.filter(|run| {
            let minion = self.minions.get(&run.minion);
            run.state != RunState::Ending && minion.as_ref().is_some_and(in_service)
        });
        Budget {
            used: minions.map(|m| &m.used).fold(Resources::ZERO, sum),
            copies: copies.map(|run| &run.need).fold(Resources::ZERO, sum),
        }
    }

    /// The best minion for a copy: preferably in another rack than the first run, then a fast one.
    fn choose_for_copy(
        &self,
        step: &CheckedStep,
        task: TaskId,
        need: &Resources,
    ) -> Option<MinionNumber> {
        let CheckedStep { now, id, step, .. } = step;
        let spec = &step.spec.steps[usize::from(id.step)];
        let first = self.runs.get(&task)?.minion;
        let rack = self.minions.get(&first).map(|m| m.rack);
        let candidates = self.candidates(*id, step).into_iter();
        let candidates = candidates
            .filter(|m| m.number != first && self.may_run(*now, m, *id, step, spec, need));
        let best = candidates.min_by_key(|m| {
            let slowness = self.speeds.slowness(&m.pace);
            let score = self.score(m, step, spec, need);
            (Some(m.rack) == rack, slowness, score)
        });
        best.map(|m| m.number)
    }

    /// Adds the start of a copy to the next batch and tracks its run; the order is sent after the
    /// commit.
    fn propose_copy(
        &mut self,
        step: &CheckedStep,
        task: TaskId,
        number: MinionNumber,
        reason: CopyReason,
        ledger: &Ledger,
    ) {
        let (now, spec) = (step.now, step.spec());
        let step = &step.step;
        let (Some(first), Some(minion)) = (self.runs.get(&task), self.minions.get(&number)) else {
            return;
        };
        let run = ledger.next_run(task);
        let id = minion.report.id.clone();
        let checkpoint = first.checkpoint.clone();
        let placed = Event::RunPlaced {
            task,
            run,
            minion: id.clone(),
            age: ledger.clock.saturating_sub(step.accepted),
            estimate: spec.estimate,
            slack: step.slack(ledger.clock),
            free: minion.free().millicores,
            heard: now.saturating_sub(minion.heard),
        };
        self.emit(placed);
        let why = reason.as_str();
        self.emit(Event::CopyPlaced {
            task,
            run,
            minion: id,
            why,
        });
        self.batch.copies.push(Start {
            task,
            run,
            minion: number,
        });
        let mut run = Run::new(run, number, (spec, &step.queue), checkpoint, now);
        run.is_copy = true;
        run.owner = step.owner.clone();
        run.expected = self.expected_time(&step.queue.name, run.declared);
        self.add_run(task.copy(), run);
    }
}

/// Time between two checks of a run with this expected run time: what a copy costs. A copy that
/// gains less is not worth it, so more frequent checks would find nothing more.
fn check_pause(expected: Duration) -> Duration {
    (expected / COST_DIVISOR).max(CHECK_PAUSE_MIN)
}
