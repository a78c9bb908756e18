//! Questions to the policy service about which minions may run a step, and the tickets that it
//! answers with.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use compact_str::CompactString;

use super::order::{Advice, AdviceQuestion, Order, QuestionId};
use super::questions::{PendingQuestion, QuestionClass};
use super::ready::remove_job;
use super::run::demand;
use super::{Dispatcher, ReadyStep};
use crate::batch::event::Event;
use crate::batch::model::{JobId, MinionNumber, PolicyConfig, StepId, StepSpec};
use crate::ids::Timestamp;
use crate::resources::Resources;

/// Fewest minions named in a question, if that many are candidates. A job's objective allows for
/// one call about this many minions per step, so asking about fewer gains nothing.
pub(super) const MIN_MINIONS_PER_QUESTION: usize = 30;
/// Upper bound of the tasks counted as fitting on one minion; a task that needs no resources
/// would fit without limit.
const MAX_TASKS_PER_MINION: u32 = 10_000;
/// A ticket is not used in this last part of its validity, which leaves time to retry the start.
const TICKET_RESERVE: Duration = Duration::from_millis(350);
/// Pause after a question that was not answered or whose answer named nothing new.
const QUESTION_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Pause after a search that found no minion to ask about.
const NO_CANDIDATE_PAUSE: Duration = Duration::from_millis(150);
/// Shortest and longest pause between two checks of a step whose predecessors still run. Each check
/// iterates over the tasks of those predecessors, which is too much work for every round of a large
/// cell.
const LOOK_AHEAD_PAUSE_MIN: Duration = Duration::from_millis(10);
const LOOK_AHEAD_PAUSE_MAX: Duration = Duration::from_millis(500);
/// A question that is not answered after this long counts as lost.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Time beyond the cost of two questions after which one about lasting tasks is asked again. Two lost
/// questions in a row must not use up the 6 s within which a lasting task has to run again.
const LASTING_QUESTION_RESERVE: Duration = Duration::from_secs(1);
/// Time without a question after which a step with room for its tasks counts as passed over.
const PASSED_OVER_AFTER: Duration = Duration::from_secs(1);
/// Pause between two searches for steps that were passed over.
const PASSED_OVER_INTERVAL: Duration = Duration::from_millis(250);

/// Answers of the policy service about one step, and the state of its questions.
#[derive(Clone, Debug, Default)]
pub(super) struct StepAdvice {
    /// Minions that may run the step. The policy never revokes this.
    allowed: BTreeSet<MinionNumber>,
    /// Minions that may not run the step.
    forbidden: BTreeSet<MinionNumber>,
    /// Tickets, each with the end of its validity.
    tickets: BTreeMap<MinionNumber, (CompactString, Timestamp)>,
    /// The question that was sent and is not answered.
    pending: Option<PendingQuestion>,
    /// The question that was given up last. A late answer to it is still of use.
    given_up: Option<PendingQuestion>,
    /// When the latest question was sent.
    last_asked: Option<Timestamp>,
    /// No question is sent before this time.
    next_question: Timestamp,
}

impl StepAdvice {
    pub(super) fn ticket(&self, minion: MinionNumber) -> Option<CompactString> {
        self.tickets.get(&minion).map(|(ticket, _)| ticket.clone())
    }

    /// Minions with a ticket, including expired ones.
    pub(super) fn minions_with_ticket(&self) -> impl Iterator<Item = MinionNumber> + '_ {
        self.tickets.keys().copied()
    }

    /// Whether there is a ticket for a minion that is still valid long enough for a start at `now`.
    pub(super) fn has_ticket(&self, minion: MinionNumber, now: Timestamp) -> bool {
        self.tickets
            .get(&minion)
            .is_some_and(|(_, until)| now + TICKET_RESERVE < *until)
    }

    /// Minions that the policy allows, with or without a ticket.
    pub(super) fn allowed(&self) -> impl Iterator<Item = MinionNumber> + '_ {
        self.allowed.iter().copied()
    }

    /// Whether the policy allows a minion; false also for one that was never asked about.
    pub(super) fn allows(&self, minion: MinionNumber) -> bool {
        self.allowed.contains(&minion)
    }

    /// Whether the policy forbids a minion; false also for one that was never asked about.
    pub(super) fn forbids(&self, minion: MinionNumber) -> bool {
        self.forbidden.contains(&minion)
    }

    /// Number of minions that the policy allows.
    pub(super) fn allowed_count(&self) -> usize {
        self.allowed.len()
    }

    /// Whether a question was sent and is not answered.
    pub(super) fn is_asked(&self) -> bool {
        self.pending.is_some()
    }

    /// Removes and returns the pending question if it has this id.
    fn take_pending(&mut self, question: QuestionId) -> Option<PendingQuestion> {
        self.pending.take_if(|asked| asked.id == question)
    }

    /// Removes and returns the question given up last if it has this id.
    fn take_given_up(&mut self, question: QuestionId) -> Option<PendingQuestion> {
        self.given_up.take_if(|asked| asked.id == question)
    }

    pub(super) fn forget_ticket(&mut self, minion: MinionNumber) {
        self.tickets.remove(&minion);
    }
}

impl Dispatcher {
    /// Sends a question about a step, unless one is pending, the limit is reached, or no minion is
    /// worth asking about.
    pub(super) fn ask(
        &mut self,
        now: Timestamp,
        id: StepId,
        step: &ReadyStep,
        policy: PolicyConfig,
        reason: QuestionReason,
    ) {
        self.expire_lost_questions(now);
        if step.is_lasting() {
            self.give_up_overdue_question(now, id, policy);
        }
        let Some(class) = self.available_class(step, reason) else {
            return;
        };
        let entry = self.step_advice.entry(id).or_default();
        if entry.is_asked() || now < entry.next_question {
            return;
        }
        let candidates = self.question_candidates(now, id, step, policy);
        if candidates.is_empty() {
            if let Some(step_advice) = self.step_advice.get_mut(&id) {
                step_advice.next_question = now + NO_CANDIDATE_PAUSE;
            }
            return;
        }
        let minions = candidates
            .iter()
            .filter_map(|(n, _)| self.minions.get(n).map(|m| m.report.id.clone()))
            .collect::<Vec<_>>();
        let cost = policy.base + policy.per_minion * minions.len() as u32;
        let asked = self
            .questions
            .send(now, id, class, expected_use(step, id, &candidates));
        let question = asked.id;
        if let Some(step_advice) = self.step_advice.get_mut(&id) {
            step_advice.last_asked = Some(now);
            step_advice.pending = Some(asked);
        }
        self.out.push(Order::Advise(AdviceQuestion {
            id: question,
            minions,
            cost,
        }));
    }

    /// The class that a question about a step may count against; `None` while all of its limits are
    /// used up.
    ///
    /// A step that isn't urgent may add an ordinary question only while fewer of these are pending
    /// than two thirds of the agents, so a third is reserved for urgent steps: a question for long
    /// work takes ten times as long.
    fn available_class(&self, step: &ReadyStep, reason: QuestionReason) -> Option<QuestionClass> {
        let ordinary = match (step.queue.priority, reason) {
            (0, QuestionReason::Upcoming) => self.agents,
            (0, _) => self.agents * 2,
            (_, QuestionReason::Upcoming) => self.agents / 3,
            (_, _) => self.agents * 2 / 3,
        };
        let own = match reason {
            QuestionReason::PassedOver => Some(QuestionClass::PassedOver),
            QuestionReason::Now if step.is_lasting() => Some(QuestionClass::Lasting),
            _ => None,
        };
        let mut classes = std::iter::once(QuestionClass::Ordinary).chain(own);
        classes.find(|class| self.questions.may_send(*class, self.agents, ordinary))
    }

    /// Asks about steps that had no question for long although there is room for them, longest
    /// waiting first.
    ///
    /// Prevents starvation under overload. Steps early in the order of service that find no room
    /// ask again whenever their tickets expire and can use up the limit of pending questions. Jobs
    /// past their objective come last in that order: without this, no question would ever be sent
    /// for them and they would never start.
    pub(super) fn ask_passed_over(&mut self, now: Timestamp) {
        if now < self.passed_over_at {
            return;
        }
        self.passed_over_at = now + PASSED_OVER_INTERVAL;
        let mut passed_over: Vec<_> = self
            .ready
            .iter()
            .filter_map(|(id, step)| Some((self.unasked_since(*id, step)?, *id)))
            .filter(|(since, _)| now >= *since + PASSED_OVER_AFTER)
            .collect();
        passed_over.sort_unstable();
        for (_, id) in passed_over {
            let Some(step) = self.ready.get(&id) else {
                continue;
            };
            if self
                .available_class(step, QuestionReason::PassedOver)
                .is_none()
            {
                return;
            }
            let spec = &step.spec.steps[usize::from(id.step)];
            if !self.is_allowed(step, spec) || !self.has_room_but_no_ticket(now, id, step, spec) {
                continue;
            }
            if let Some(policy) = step.queue.advice
                && let Some(step) = self.ready.remove(&id)
            {
                self.ask(now, id, &step, policy, QuestionReason::PassedOver);
                self.ready.insert(id, step);
            }
        }
    }

    /// Since when a step with a policy has waited for a question; `None` while one is pending or if
    /// the step has no policy.
    fn unasked_since(&self, id: StepId, step: &ReadyStep) -> Option<Timestamp> {
        step.queue.advice?;
        let known = self.step_advice.get(&id);
        if known.is_some_and(StepAdvice::is_asked) {
            return None;
        }
        known.and_then(|k| k.last_asked).max(Some(step.since))
    }

    /// Drops questions that were not answered in time, for all steps.
    ///
    /// If each step dropped only its own question, and only when it could ask again, questions lost
    /// together would use up the limit permanently and no step with a policy would be placed any
    /// more.
    fn expire_lost_questions(&mut self, now: Timestamp) {
        while let Some(question) = self.questions.take_older(now, QUESTION_TIMEOUT) {
            self.give_up(question);
        }
    }

    /// Gives up the question about a step of lasting tasks if it should have been answered long
    /// ago, so that another one is sent at once, through another agent if there are several.
    fn give_up_overdue_question(&mut self, now: Timestamp, id: StepId, policy: PolicyConfig) {
        let step_advice = self.step_advice.get(&id);
        let Some(asked) = step_advice.and_then(|k| k.pending.as_ref()) else {
            return;
        };
        let cost = policy.base + policy.per_minion * asked.minions.len() as u32;
        let overdue_after = (cost * 2 + LASTING_QUESTION_RESERVE).min(QUESTION_TIMEOUT);
        let question = asked.id;
        if now >= asked.at + overdue_after {
            self.give_up(question);
        }
    }

    /// Stops waiting for the answer to a question, if it is still pending.
    fn give_up(&mut self, question: QuestionId) {
        let Some(step_advice) = self.step_advice.get_mut(&question.step) else {
            return;
        };
        if let Some(lost) = step_advice.take_pending(question) {
            self.questions.remove(&lost);
            step_advice.given_up = Some(lost);
        }
    }

    /// Whether an eligible minion that the policy does not forbid has room and lacks only a ticket.
    ///
    /// A ticket takes 50 ms for a check; preempting a run takes up to 0.9 s until its room is free,
    /// plus the time to start it again. Without this test, 183 runs were preempted within 5 s in a
    /// cell that was 30% full.
    pub(super) fn has_room_but_no_ticket(
        &self,
        now: Timestamp,
        id: StepId,
        step: &ReadyStep,
        spec: &StepSpec,
    ) -> bool {
        if step.queue.advice.is_none() {
            return false;
        }
        let need = demand(spec);
        let step_advice = self.step_advice.get(&id);
        let mut with_room = self.rooms.with_room(&step.queue.service, &need, id.job);
        with_room.any(|number| {
            self.count_examined();
            let open =
                || step_advice.is_none_or(|k| !k.forbids(number) && !k.has_ticket(number, now));
            self.minions.get(&number).is_some_and(|minion| {
                need.fits_in(&minion.free())
                    && open()
                    && self.is_eligible(now, minion, id, step, spec)
            })
        })
    }

    /// Asks about steps that are expected to become ready by the time of the answer.
    ///
    /// Without this, a quick check (a short job) of two steps waited 50 ms between its steps, and
    /// long work 0.7 s and more, since tickets were only requested once the step was ready.
    pub(super) fn ask_ahead(&mut self, now: Timestamp) {
        let mut upcoming = std::mem::take(&mut self.upcoming);
        for (id, step) in &mut upcoming {
            let Some(policy) = step.queue.advice else {
                continue;
            };
            if now < step.check_at {
                continue;
            }
            let takes = policy.base + policy.per_minion * MIN_MINIONS_PER_QUESTION as u32;
            let known = self.step_advice.get(id);
            let has_ticket =
                |k: &StepAdvice| k.tickets.keys().any(|m| k.has_ticket(*m, now + takes));
            let expected_start = self.expected_start(now, *id, step);
            step.check_at = now + look_ahead_pause(now, expected_start, takes);
            if expected_start.is_some_and(|at| at < now + takes) && !known.is_some_and(has_ticket) {
                self.ask(now, *id, step, policy, QuestionReason::Upcoming);
            }
        }
        self.upcoming = upcoming;
    }

    /// When the last task that a step depends on should end; `None` if no such end is known.
    fn expected_start(&self, now: Timestamp, id: StepId, step: &ReadyStep) -> Option<Timestamp> {
        let spec = &step.spec.steps[usize::from(id.step)];
        let before = spec.after.iter().map(|step| StepId { step: *step, ..id });
        let runs = before.flat_map(|id| self.runs.range(id.tasks()));
        let first_runs = runs.filter(|(id, _)| !id.is_copy());
        let ends = first_runs.filter_map(|(id, run)| {
            let copy = self.runs.get(&id.copy()).filter(|_| run.copyable);
            let copy = copy.and_then(|copy| copy.expected_end(now));
            run.expected_end(now).into_iter().chain(copy).min()
        });
        ends.max()
    }

    /// Removes the advice of a job's steps and stops counting their pending questions; late answers
    /// to these are ignored.
    pub(super) fn remove_step_advice(&mut self, job: JobId) {
        self.copies.remove_job(job);
        for step_advice in remove_job(&mut self.step_advice, job).into_values() {
            if let Some(asked) = step_advice.pending {
                self.questions.remove(&asked);
            }
        }
    }

    /// Sets the number of agents that can send questions. Each sends one at a time.
    pub fn set_agents(&mut self, agents: usize) {
        self.agents = agents;
    }

    /// Handles the answer to a question; `None` if the call failed.
    ///
    /// A late answer counts for the minions that its own question named. Matched to the next
    /// question, it would mark minions that only the next one names as permanently forbidden: with
    /// agents cut off for 4 s, a gang of 45 in a half-empty cell was never asked about again.
    pub fn advice_received(
        &mut self,
        now: Timestamp,
        question: QuestionId,
        advice: Option<Advice>,
    ) {
        let id = question.step;
        let step = self.ready.get(&id).or_else(|| self.upcoming.get(&id));
        let step = step.or_else(|| self.expected_losses.get(&id));
        let validity = step
            .and_then(|step| step.queue.advice)
            .map(|policy| policy.validity)
            .or_else(|| self.copies.ticket_validity(id))
            .unwrap_or_default();
        let waiting = step.map_or(0, |step| step.waiting.len());
        let Some(step_advice) = self.step_advice.get_mut(&id) else {
            return;
        };
        let asked = match step_advice.take_pending(question) {
            Some(asked) => {
                self.questions.remove(&asked);
                asked
            }
            None => match step_advice.take_given_up(question) {
                Some(asked) => asked,
                None => return,
            },
        };
        self.out.push(Order::Event(Box::new(Event::StepAdvised {
            step: id,
            waiting,
            asked: asked.minions.len(),
            good: advice.as_ref().map(|a| a.good.len()),
            took: now.saturating_sub(asked.at),
        })));
        let Some(advice) = advice else {
            step_advice.next_question = now + QUESTION_RETRY_PAUSE;
            return;
        };
        let mut good = BTreeSet::new();
        for (minion, ticket) in advice.good {
            if let Some(number) = self.by_id.get(&minion) {
                good.insert(*number);
                step_advice.allowed.insert(*number);
                step_advice
                    .tickets
                    .insert(*number, (ticket, now + validity));
            }
        }
        let before = step_advice.forbidden.len();
        let named = asked.minions.iter().map(|(minion, _)| *minion);
        step_advice
            .forbidden
            .extend(named.filter(|n| !good.contains(n)));
        if good.is_empty() && step_advice.forbidden.len() == before {
            step_advice.next_question = now + QUESTION_RETRY_PAUSE;
        }
        self.placement_requested = true;
    }
}

/// Room that a question is expected to use on each minion that it names: the need of the waiting
/// tasks, spread over all slots on the named minions.
fn expected_use(
    step: &ReadyStep,
    id: StepId,
    named: &[(MinionNumber, u32)],
) -> Vec<(MinionNumber, Resources)> {
    let need = demand(&step.spec.steps[usize::from(id.step)]);
    let places: u32 = named.iter().map(|(_, places)| places).sum();
    let each = f64::from(step.waiting.len() as u32) / f64::from(places.max(1));
    let room = |places: u32| need.scaled_by(each.min(1.0) * f64::from(places));
    named
        .iter()
        .map(|(n, places)| (*n, room(*places)))
        .collect()
}

/// Pause before the next check of a step that should start at `expected_start`, if a question about
/// it takes `takes`: half of the remaining time, as its predecessors may end sooner than expected.
fn look_ahead_pause(
    now: Timestamp,
    expected_start: Option<Timestamp>,
    takes: Duration,
) -> Duration {
    let left = expected_start.map_or(Duration::ZERO, |at| at.saturating_sub(now + takes));
    (left / 2).clamp(LOOK_AHEAD_PAUSE_MIN, LOOK_AHEAD_PAUSE_MAX)
}

/// Why a question about a step is sent; selects the limit that it counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuestionReason {
    /// The step's tasks may start now.
    Now,
    /// The steps that it depends on still run.
    Upcoming,
    /// The step's tasks may start now, and it had no question for long.
    PassedOver,
}

/// How many tasks with this need fit into `room`, at most `MAX_TASKS_PER_MINION`.
pub(super) fn max_tasks_in(room: &Resources, need: &Resources) -> u32 {
    need.times_in(room).min(MAX_TASKS_PER_MINION)
}
