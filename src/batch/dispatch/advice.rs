//! Tickets of the policy service: what is known of each step, and when to ask.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use compact_str::CompactString;

use super::order::{Advice, AdviceQuestion, Order, QuestionId};
use super::questions::{Asked, Share};
use super::ready::remove_job;
use super::run::charged;
use super::{Dispatcher, ReadyStep};
use crate::batch::model::{AdviceTerms, JobId, MinionNumber, StepId, StepSpec};
use crate::batch::note::Note;
use crate::ids::Timestamp;
use crate::resources::Resources;

/// Fewest minions named in a question, where there are as many. The objective of a job allows for
/// one call about this many a step, so asking about fewer gains nothing.
pub(super) const FEWEST_ASKED: usize = 30;
/// Most tasks that one minion is reckoned to hold; tasks that need nothing fit without end.
const MOST_TASKS: u32 = 10_000;
/// A ticket is not used in the last part of its validity: the start may be tried again.
const TICKET_RESERVE: Duration = Duration::from_millis(350);
/// Pause after a question that brought nothing.
const ASK_AGAIN: Duration = Duration::from_millis(300);
/// Pause after a look that found nobody to ask about.
const LOOK_AGAIN: Duration = Duration::from_millis(150);
/// Shortest and longest pause between two looks at a step whose turn is to come. Each walks the tasks
/// of the steps before it, which is too much for each round of a large cell.
const LOOK_AHEAD_PAUSE: Duration = Duration::from_millis(10);
const LOOK_AHEAD_PAUSE_MAX: Duration = Duration::from_millis(500);
/// A question that is not answered after this long is taken as lost.
const QUESTION_LOST: Duration = Duration::from_secs(4);
/// Time for which a step may go without a question, with room for it, before it counts as passed
/// over.
const PASSED_OVER: Duration = Duration::from_secs(1);
/// Pause between two searches for steps that were passed over.
const PASSED_OVER_PAUSE: Duration = Duration::from_millis(250);

/// What is known of the policy for one step.
#[derive(Clone, Debug, Default)]
pub(super) struct Knowledge {
    /// Minions that may run it. This never changes.
    good: BTreeSet<MinionNumber>,
    /// Minions that may not.
    bad: BTreeSet<MinionNumber>,
    tickets: BTreeMap<MinionNumber, (CompactString, Timestamp)>,
    asked: Option<Asked>,
    /// When the latest question was sent.
    last_asked: Option<Timestamp>,
    next_question: Timestamp,
}

impl Knowledge {
    pub(super) fn ticket(&self, minion: MinionNumber) -> Option<CompactString> {
        self.tickets.get(&minion).map(|(ticket, _)| ticket.clone())
    }

    /// Minions with a ticket, valid or not.
    pub(super) fn ticketed(&self) -> impl Iterator<Item = MinionNumber> + '_ {
        self.tickets.keys().copied()
    }

    pub(super) fn has_ticket(&self, minion: MinionNumber, now: Timestamp) -> bool {
        self.tickets
            .get(&minion)
            .is_some_and(|(_, until)| now + TICKET_RESERVE < *until)
    }

    /// Minions known to be allowed.
    pub(super) fn good(&self) -> impl Iterator<Item = MinionNumber> + '_ {
        self.good.iter().copied()
    }

    /// Whether a minion is known to be allowed.
    pub(super) fn allows(&self, minion: MinionNumber) -> bool {
        self.good.contains(&minion)
    }

    /// Whether a minion is known not to be allowed.
    pub(super) fn forbids(&self, minion: MinionNumber) -> bool {
        self.bad.contains(&minion)
    }

    /// Number of minions known to be allowed.
    pub(super) fn good_count(&self) -> usize {
        self.good.len()
    }

    /// Whether a question is on the way.
    pub(super) fn is_asked(&self) -> bool {
        self.asked.is_some()
    }

    /// Takes a question back if it is the one on the way.
    fn take_asked(&mut self, question: QuestionId) -> Option<Asked> {
        self.asked.take_if(|asked| asked.id == question)
    }

    pub(super) fn forget_ticket(&mut self, minion: MinionNumber) {
        self.tickets.remove(&minion);
    }
}

impl Dispatcher {
    /// Asks about a step, if a question now could help to place its tasks.
    pub(super) fn ask(
        &mut self,
        now: Timestamp,
        id: StepId,
        step: &ReadyStep,
        terms: AdviceTerms,
        turn: Turn,
    ) {
        self.give_up_lost_questions(now);
        let Some(share) = self.share(step, turn) else {
            return;
        };
        let entry = self.knowledge.entry(id).or_default();
        if entry.is_asked() || now < entry.next_question {
            return;
        }
        let wanted = self.whom_to_ask(now, id, step, terms);
        if wanted.is_empty() {
            if let Some(knowledge) = self.knowledge.get_mut(&id) {
                knowledge.next_question = now + LOOK_AGAIN;
            }
            return;
        }
        let minions = wanted
            .iter()
            .filter_map(|(n, _)| self.minions.get(n).map(|m| m.report.id.clone()))
            .collect::<Vec<_>>();
        let cost = terms.base + terms.per_minion * minions.len() as u32;
        let asked = self
            .questions
            .send(now, id, share, counted_on(step, id, &wanted));
        let question = asked.id;
        if let Some(knowledge) = self.knowledge.get_mut(&id) {
            knowledge.last_asked = Some(now);
            knowledge.asked = Some(asked);
        }
        self.out.push(Order::Advise(AdviceQuestion {
            id: question,
            minions,
            cost,
        }));
    }

    /// The share that a question about a step may be sent from; `None` while all are used up.
    fn share(&self, step: &ReadyStep, turn: Turn) -> Option<Share> {
        let ordinary = match (step.queue.priority, turn) {
            (0, Turn::Coming) => self.agents,
            (0, _) => self.agents * 2,
            (_, Turn::Coming) => self.agents / 3,
            (_, _) => self.agents * 2 / 3,
        };
        let own = match turn {
            Turn::PassedOver => Some(Share::PassedOver),
            Turn::Now if step.is_lasting() => Some(Share::Lasting),
            _ => None,
        };
        let mut shares = std::iter::once(Share::Ordinary).chain(own);
        shares.find(|share| self.questions.may_send(*share, self.agents, ordinary))
    }

    /// Asks about steps that have gone without a question for long although there is room for them,
    /// the longest first.
    ///
    /// Answers an overload. Steps that come early in the order of service and find no room ask again
    /// and again as their tickets run out, and can take all questions that may be on the way. Jobs that
    /// are past their objective come last; nobody would ask about them, and they would never start.
    pub(super) fn ask_passed_over(&mut self, now: Timestamp) {
        if now < self.passed_over_at {
            return;
        }
        self.passed_over_at = now + PASSED_OVER_PAUSE;
        let mut passed_over: Vec<_> = self
            .ready
            .iter()
            .filter_map(|(id, step)| Some((self.unasked_since(*id, step)?, *id)))
            .filter(|(since, _)| now >= *since + PASSED_OVER)
            .collect();
        passed_over.sort_unstable();
        for (_, id) in passed_over {
            let Some(step) = self.ready.get(&id) else {
                continue;
            };
            if self.share(step, Turn::PassedOver).is_none() {
                return;
            }
            let spec = &step.spec.steps[usize::from(id.step)];
            if !self.is_allowed(step, spec) || !self.room_to_ask_about(now, id, step, spec) {
                continue;
            }
            if let Some(terms) = step.queue.advice
                && let Some(step) = self.ready.remove(&id)
            {
                self.ask(now, id, &step, terms, Turn::PassedOver);
                self.ready.insert(id, step);
            }
        }
    }

    /// Since when a step with a policy has waited for a question; `None` while one is on the way.
    fn unasked_since(&self, id: StepId, step: &ReadyStep) -> Option<Timestamp> {
        step.queue.advice?;
        let known = self.knowledge.get(&id);
        if known.is_some_and(Knowledge::is_asked) {
            return None;
        }
        known.and_then(|k| k.last_asked).max(Some(step.since))
    }

    /// Takes questions that were not answered in time as lost, whoever asked them.
    ///
    /// While each step gave up only its own, and only when it could ask again, questions that were
    /// lost together used up all that may be on the way: no step with a policy was placed any more.
    fn give_up_lost_questions(&mut self, now: Timestamp) {
        while let Some(question) = self.questions.take_older(now, QUESTION_LOST) {
            let knowledge = self.knowledge.get_mut(&question.step);
            if let Some(lost) = knowledge.and_then(|k| k.take_asked(question)) {
                self.questions.over(&lost);
            }
        }
    }

    /// Whether a minion that the policy may let run a step has room, and only a ticket is missing.
    ///
    /// A ticket costs 50 ms for a check; a stopped run costs up to 0.9 s until its room is free and
    /// the time to start it again. Without this look 183 runs were stopped within five seconds in a
    /// cell that was three tenths full.
    pub(super) fn room_to_ask_about(
        &self,
        now: Timestamp,
        id: StepId,
        step: &ReadyStep,
        spec: &StepSpec,
    ) -> bool {
        if step.queue.advice.is_none() {
            return false;
        }
        let need = charged(spec);
        let knowledge = self.knowledge.get(&id);
        self.minions.values().any(|minion| {
            let open = || {
                knowledge
                    .is_none_or(|k| !k.forbids(minion.number) && !k.has_ticket(minion.number, now))
            };
            need.fits_in(&minion.free()) && open() && self.is_eligible(now, minion, id, step, spec)
        })
    }

    /// Asks about steps whose turn will have come when the answer is there.
    ///
    /// A check of two steps waited for 50 ms and long work for 0.7 s and more between its steps,
    /// with all its tickets still to be got.
    pub(super) fn ask_ahead(&mut self, now: Timestamp) {
        let mut coming = std::mem::take(&mut self.coming);
        for (id, step) in &mut coming {
            let Some(terms) = step.queue.advice else {
                continue;
            };
            if now < step.look_at {
                continue;
            }
            let takes = terms.base + terms.per_minion * FEWEST_ASKED as u32;
            let known = self.knowledge.get(id);
            let has_ticket =
                |k: &Knowledge| k.tickets.keys().any(|m| k.has_ticket(*m, now + takes));
            let begins = self.begins(now, *id, step);
            step.look_at = now + look_ahead_pause(now, begins, takes);
            if begins.is_some_and(|at| at < now + takes) && !known.is_some_and(has_ticket) {
                self.ask(now, *id, step, terms, Turn::Coming);
            }
        }
        self.coming = coming;
    }

    /// When the last task that a step waits for should end; `None` when that is not known.
    fn begins(&self, now: Timestamp, id: StepId, step: &ReadyStep) -> Option<Timestamp> {
        let spec = &step.spec.steps[usize::from(id.step)];
        let before = spec.after.iter().map(|step| StepId { step: *step, ..id });
        let runs = before.flat_map(|id| self.runs.range(id.tasks()));
        runs.filter_map(|(_, run)| run.expected_end(now)).max()
    }

    /// Forgets what is known of a job's steps, and the questions about them that are on the way:
    /// their answers will find nobody.
    pub(super) fn forget_knowledge(&mut self, job: JobId) {
        for knowledge in remove_job(&mut self.knowledge, job).into_values() {
            if let Some(asked) = knowledge.asked {
                self.questions.over(&asked);
            }
        }
    }

    /// Notes how many processes can ask. Each asks one question at a time, so a third of them is
    /// kept for urgent steps: a question for long work takes ten times as long as theirs.
    pub fn set_agents(&mut self, agents: usize) {
        self.agents = agents;
    }

    /// Takes the answer to a question; `None` when none came.
    ///
    /// An answer to a question that was given up is not taken for one to the next: minions that
    /// only the next one names would count as forbidden for good. With askers cut off for four
    /// seconds, a gang of 45 in a cell that was half empty was never asked about again.
    pub fn advised(&mut self, now: Timestamp, question: QuestionId, advice: Option<Advice>) {
        let id = question.step;
        let step = self.ready.get(&id).or_else(|| self.coming.get(&id));
        let validity = step
            .and_then(|step| step.queue.advice)
            .map_or(Duration::ZERO, |terms| terms.validity);
        let waiting = step.map_or(0, |step| step.waiting.len());
        let Some(knowledge) = self.knowledge.get_mut(&id) else {
            return;
        };
        let Some(asked) = knowledge.take_asked(question) else {
            return;
        };
        self.questions.over(&asked);
        self.out.push(Order::Note(Box::new(Note::StepAdvised {
            step: id,
            waiting,
            asked: asked.minions.len(),
            good: advice.as_ref().map(|a| a.good.len()),
            took: now.saturating_sub(asked.at),
        })));
        let Some(advice) = advice else {
            knowledge.next_question = now + ASK_AGAIN;
            return;
        };
        let mut good = BTreeSet::new();
        for (minion, ticket) in advice.good {
            if let Some(number) = self.by_id.get(&minion) {
                good.insert(*number);
                knowledge.good.insert(*number);
                knowledge.tickets.insert(*number, (ticket, now + validity));
            }
        }
        let before = knowledge.bad.len();
        let named = asked.minions.iter().map(|(minion, _)| *minion);
        knowledge.bad.extend(named.filter(|n| !good.contains(n)));
        if good.is_empty() && knowledge.bad.len() == before {
            knowledge.next_question = now + ASK_AGAIN;
        }
        self.place_wanted = true;
    }
}

/// Room that a question counts on: that of the tasks that wait, spread over the places named.
fn counted_on(
    step: &ReadyStep,
    id: StepId,
    named: &[(MinionNumber, u32)],
) -> Vec<(MinionNumber, Resources)> {
    let need = charged(&step.spec.steps[usize::from(id.step)]);
    let places: u32 = named.iter().map(|(_, places)| places).sum();
    let each = f64::from(step.waiting.len() as u32) / f64::from(places.max(1));
    let room = |places: u32| need.part(each.min(1.0) * f64::from(places));
    named
        .iter()
        .map(|(n, places)| (*n, room(*places)))
        .collect()
}

/// When to look again at a step that should begin at `begins`, about which a question takes `takes`.
/// Half of the time that is left: its tasks may get on faster than expected.
fn look_ahead_pause(now: Timestamp, begins: Option<Timestamp>, takes: Duration) -> Duration {
    let left = begins.map_or(Duration::ZERO, |at| at.saturating_sub(now + takes));
    (left / 2).clamp(LOOK_AHEAD_PAUSE, LOOK_AHEAD_PAUSE_MAX)
}

/// Whether the tasks of a step may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// They may.
    Now,
    /// The steps before are under way.
    Coming,
    /// They may, and have waited long for a question.
    PassedOver,
}

/// How many tasks of this need fit into a room, up to a number that no step reaches.
pub(super) fn fits_times(room: &Resources, need: &Resources) -> u32 {
    need.times_in(room).min(MOST_TASKS)
}
