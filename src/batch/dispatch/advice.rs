//! Tickets of the policy service: what is known of each step, and whom to ask about.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use super::order::{Advice, AdviceQuestion, Order};
use super::run::charged;
use super::speed::Slowness;
use super::{Dispatcher, ReadyStep};
use crate::batch::model::{AdviceTerms, JobId, MinionNumber, StepId};
use crate::ids::Timestamp;
use crate::resources::Resources;

/// Minions asked about in one question. The objective of a job allows for one call about this
/// many a step, so asking for fewer gains nothing and asking for more is late.
const ASK_AT_ONCE: usize = 30;
/// Most tasks that one minion is reckoned to hold; tasks that need nothing fit without end.
const MOST_TASKS: u32 = 10_000;
/// Minions asked about at most, where known ones need new tickets.
const MOST_ASKED: usize = 40;
/// A ticket is not used in the last part of its validity: the start may be tried again.
const TICKET_RESERVE: Duration = Duration::from_millis(350);
/// Pause after a question that brought nothing.
const ASK_AGAIN: Duration = Duration::from_millis(300);
/// Pause after a look that found nobody to ask about.
const LOOK_AGAIN: Duration = Duration::from_millis(150);
/// A question that is not answered after this long is taken as lost.
const QUESTION_LOST: Duration = Duration::from_secs(4);

/// What is known of the policy for one step.
#[derive(Clone, Debug, Default)]
pub(super) struct Knowledge {
    /// Minions that may run it. This never changes.
    good: BTreeSet<MinionNumber>,
    /// Minions that may not.
    bad: BTreeSet<MinionNumber>,
    tickets: BTreeMap<MinionNumber, (CompactString, Timestamp)>,
    asked: Option<(Timestamp, Vec<MinionNumber>)>,
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

    pub(super) fn forget_ticket(&mut self, minion: MinionNumber) {
        self.tickets.remove(&minion);
    }
}

impl Dispatcher {
    /// What each minion could make room for, worked out once in a round: with hundreds of waiting
    /// steps it would otherwise be most of the leader's work.
    fn reaches(&mut self, priority: u32) -> Arc<BTreeMap<MinionNumber, Resources>> {
        if let Some(known) = self.reaches.get(&priority) {
            return Arc::clone(known);
        }
        let all = self
            .minions
            .values()
            .map(|m| (m.number, self.reach(m, priority)));
        let all: Arc<BTreeMap<_, _>> = Arc::new(all.collect());
        self.reaches.insert(priority, Arc::clone(&all));
        all
    }

    /// Asks about a step, if a question now could help to place its tasks.
    pub(super) fn ask(&mut self, now: Timestamp, id: StepId, step: &ReadyStep, terms: AdviceTerms) {
        let priority = step.queue.priority;
        let urgent = priority == 0;
        let most = if urgent {
            self.agents * 2
        } else {
            self.agents * 2 / 3
        };
        if self.questions >= most.max(1) {
            return;
        }
        let entry = self.knowledge.entry(id).or_default();
        if let Some((at, _)) = &entry.asked {
            if now < *at + QUESTION_LOST {
                return;
            }
            entry.asked = None;
            self.questions -= 1;
        }
        if now < entry.next_question {
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
            .filter_map(|n| self.minions.get(n).map(|m| m.report.id.clone()))
            .collect::<Vec<_>>();
        let cost = terms.base + terms.per_minion * minions.len() as u32;
        if let Some(knowledge) = self.knowledge.get_mut(&id) {
            knowledge.asked = Some((now, wanted));
        }
        self.questions += 1;
        self.out.push(Order::Advise(AdviceQuestion {
            step: id,
            minions,
            cost,
        }));
    }

    /// Minions that a question about a step should name: known good ones whose tickets run out, as
    /// many as the tasks need, then others.
    fn whom_to_ask(
        &mut self,
        now: Timestamp,
        id: StepId,
        step: &ReadyStep,
        terms: AdviceTerms,
    ) -> Vec<MinionNumber> {
        let urgent = step.queue.priority == 0;
        let reaches = self.reaches(step.queue.priority);
        // The next tickets should be there before the present ones are worth nothing.
        let lead_time = terms.base + terms.per_minion * ASK_AT_ONCE as u32;
        // In a full cell a step needs its tickets before room comes free: by the time a question
        // is answered, shorter work has taken the room.
        let full = self.full;
        let Some(knowledge) = self.knowledge.get(&id) else {
            return Vec::new();
        };
        let spec = &step.spec.steps[usize::from(id.step)];
        let mut known = Vec::new();
        let mut unknown = Vec::new();
        for minion in self.minions.values() {
            // A minion that already has its share of the step would be asked about in vain, and
            // could hide all others when few tasks are left.
            if !self.is_eligible(now, minion, id, step, spec)
                || knowledge.bad.contains(&minion.number)
                || knowledge.has_ticket(minion.number, now + lead_time)
            {
                continue;
            }
            let Some(reach) = reaches.get(&minion.number) else {
                continue;
            };
            let most = spec.max_per_minion.unwrap_or(u32::MAX);
            let left = most.saturating_sub(self.of_step_on(minion, id));
            let room = fits_times(reach, &charged(spec)).min(left);
            if room == 0 && !full {
                continue;
            }
            let list = if knowledge.good.contains(&minion.number) {
                &mut known
            } else {
                &mut unknown
            };
            let slowness = self.speeds.slowness(&minion.pace);
            let preferred = urgent == (slowness <= Slowness::Usual);
            list.push((preferred, room, minion.number));
        }
        known.sort_unstable_by(|a, b| b.cmp(a));
        unknown.sort_unstable_by(|a, b| b.cmp(a));
        let mut wanted: Vec<MinionNumber> = Vec::new();
        let mut places = 0;
        for (_, room, number) in &known {
            if places >= 2 * step.waiting.len() as u32 || wanted.len() >= MOST_ASKED {
                break;
            }
            places += room;
            wanted.push(*number);
        }
        if places < step.waiting.len() as u32 {
            let left = ASK_AT_ONCE.saturating_sub(wanted.len());
            wanted.extend(unknown.iter().take(left).map(|(_, _, n)| *n));
        }
        wanted
    }

    /// Forgets what is known of a job's steps, and the questions about them that are on the way:
    /// their answers will find nobody.
    pub(super) fn forget_knowledge(&mut self, job: JobId) {
        self.knowledge.retain(|step, knowledge| {
            if step.job != job {
                return true;
            }
            self.questions -= usize::from(knowledge.asked.is_some());
            false
        });
    }

    /// Notes how many processes can ask. Each asks one question at a time, so a third of them is
    /// kept for urgent steps: a question for long work takes ten times as long as theirs.
    pub fn set_agents(&mut self, agents: usize) {
        self.agents = agents;
    }

    /// Takes the answer to a question; `None` when none came.
    pub fn advised(&mut self, now: Timestamp, id: StepId, advice: Option<Advice>) {
        let validity = self
            .ready
            .get(&id)
            .and_then(|step| step.queue.advice)
            .map_or(Duration::ZERO, |terms| terms.validity);
        let Some(knowledge) = self.knowledge.get_mut(&id) else {
            return;
        };
        let Some((_, asked)) = knowledge.asked.take() else {
            return;
        };
        self.questions -= 1;
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
        knowledge
            .bad
            .extend(asked.iter().filter(|n| !good.contains(n)));
        if good.is_empty() && knowledge.bad.len() == before {
            knowledge.next_question = now + ASK_AGAIN;
        }
        self.place_wanted = true;
    }
}

/// How many tasks of this need fit into a room, up to a number that no step reaches.
pub(super) fn fits_times(room: &Resources, need: &Resources) -> u32 {
    need.times_in(room).min(MOST_TASKS)
}
