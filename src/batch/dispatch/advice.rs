//! Tickets of the policy service: what is known of each step, and whom to ask about.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use super::minion::Minion;
use super::order::{Advice, AdviceQuestion, Order};
use super::run::charged;
use super::speed::Slowness;
use super::{Dispatcher, ReadyStep};
use crate::batch::model::{AdviceTerms, JobId, MinionNumber, StepId, StepSpec};
use crate::batch::note::Note;
use crate::ids::Timestamp;
use crate::resources::Resources;

/// Fewest minions named in a question, where there are as many. The objective of a job allows for
/// one call about this many a step, so asking about fewer gains nothing.
const FEWEST_ASKED: usize = 30;
/// Most that the policy service takes in one question.
const MOST_ASKED: usize = 100;
/// Weights of a minion in a question. One that is known to be good gives a ticket for sure, others
/// in one case of two: the users' policies let 0.35 and 0.7 of all minions run a step.
const KNOWN_GOOD: u32 = 2;
const UNKNOWN: u32 = 1;
/// Weights of room that is there, of room that is expected within the life of a ticket, and of
/// room that is not in sight.
const ROOM_NOW: u32 = 4;
const ROOM_SOON: u32 = 2;
const ROOM_LATER: u32 = 1;
/// How far ahead room counts as expected soon: the life of a ticket, as the users set it.
const SOON: Duration = Duration::from_millis(2000);
/// Age up to which the reckoning of rooms is used again. Every waiting step needs it, and it looks
/// at all runs.
const ROOMS_KEPT: Duration = Duration::from_millis(100);
/// Most tasks that one minion is reckoned to hold; tasks that need nothing fit without end.
const MOST_TASKS: u32 = 10_000;
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

    /// Minions known to be allowed.
    pub(super) fn good_count(&self) -> usize {
        self.good.len()
    }

    /// Whether a question is on the way.
    pub(super) fn is_asked(&self) -> bool {
        self.asked.is_some()
    }

    pub(super) fn forget_ticket(&mut self, minion: MinionNumber) {
        self.tickets.remove(&minion);
    }
}

impl Dispatcher {
    /// What each minion has room for, now and soon, for work of a priority.
    fn rooms(&mut self, now: Timestamp, priority: u32) -> Rooms {
        if let Some((at, known)) = self.rooms.get(&priority)
            && now < *at + ROOMS_KEPT
        {
            return Arc::clone(known);
        }
        let all = self
            .minions
            .values()
            .map(|m| (m.number, self.room_of(m, now, priority)));
        let all: Rooms = Arc::new(all.collect());
        self.rooms.insert(priority, (now, Arc::clone(&all)));
        all
    }

    fn room_of(&self, minion: &Minion, now: Timestamp, priority: u32) -> Room {
        let mut room = Room {
            now: minion.free(),
            soon: minion.free(),
        };
        for run in minion.runs.iter().filter_map(|id| self.runs.get(id)) {
            if run.is_leaving() || (run.yields && run.priority > priority) {
                room.now = room.now.saturating_add(&run.need);
                room.soon = room.soon.saturating_add(&run.need);
            } else if run.expected_end().is_some_and(|end| end < now + SOON) {
                room.soon = room.soon.saturating_add(&run.need);
            }
        }
        room
    }

    /// Asks about a step, if a question now could help to place its tasks.
    pub(super) fn ask(
        &mut self,
        now: Timestamp,
        id: StepId,
        step: &ReadyStep,
        terms: AdviceTerms,
        turn: Turn,
    ) {
        let most = match (step.queue.priority, turn) {
            (0, Turn::Now) => self.agents * 2,
            (0, Turn::Coming) => self.agents,
            (_, Turn::Now) => self.agents * 2 / 3,
            (_, Turn::Coming) => self.agents / 3,
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

    /// Whether a minion that the policy may let run a step has room, and only a ticket is missing.
    ///
    /// A ticket costs 50 ms for a check; a stopped run costs up to 0.9 s until its room is free and
    /// the time to start it again. Without this look one run in ten of long work was stopped in a
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
            let open = knowledge.is_none_or(|k| {
                !k.bad.contains(&minion.number) && !k.has_ticket(minion.number, now)
            });
            open && need.fits_in(&minion.free()) && self.is_eligible(now, minion, id, step, spec)
        })
    }

    /// Asks about steps whose turn will have come when the answer is there.
    ///
    /// A check of two steps waited for 50 ms and long work for 0.7 s and more between its steps,
    /// with all its tickets still to be got.
    pub(super) fn ask_ahead(&mut self, now: Timestamp) {
        let coming = std::mem::take(&mut self.coming);
        for (id, step) in &coming {
            let Some(terms) = step.queue.advice else {
                continue;
            };
            let answered = now + terms.base + terms.per_minion * FEWEST_ASKED as u32;
            let known = self.knowledge.get(id);
            if known.is_some_and(|k| k.tickets.keys().any(|m| k.has_ticket(*m, answered))) {
                continue;
            }
            if self.begins(*id, step).is_some_and(|at| at < answered) {
                self.ask(now, *id, step, terms, Turn::Coming);
            }
        }
        self.coming = coming;
    }

    /// When the last task that a step waits for should end; `None` when that is not known.
    fn begins(&self, id: StepId, step: &ReadyStep) -> Option<Timestamp> {
        let spec = &step.spec.steps[usize::from(id.step)];
        let before = spec.after.iter().map(|step| StepId { step: *step, ..id });
        let runs = before.flat_map(|id| self.runs.range(id.tasks()));
        runs.filter_map(|(_, run)| run.expected_end()).max()
    }

    /// Minions that a question about a step should name, best prospects first.
    ///
    /// A question costs as much as naming some 70 minions, so one that names few is dear: a step
    /// with one task left asked about two minions at a time, other work took their room before
    /// the answer came, and the task waited for 12 s in a cell that was four fifths full.
    fn whom_to_ask(
        &mut self,
        now: Timestamp,
        id: StepId,
        step: &ReadyStep,
        terms: AdviceTerms,
    ) -> Vec<MinionNumber> {
        let most = worth_asking(terms);
        // The next tickets should be there before the present ones are worth nothing.
        let lead_time = terms.base + terms.per_minion * most as u32;
        let rooms = self.rooms(now, step.queue.priority);
        let Some(knowledge) = self.knowledge.get(&id) else {
            return Vec::new();
        };
        let spec = &step.spec.steps[usize::from(id.step)];
        let need = charged(spec);
        let urgent = step.queue.priority == 0;
        let mut prospects = Vec::new();
        for minion in self.minions.values() {
            // A minion that already has its share of the step would be asked about in vain, and
            // could hide all others when few tasks are left.
            if !self.is_eligible(now, minion, id, step, spec)
                || knowledge.bad.contains(&minion.number)
                || knowledge.has_ticket(minion.number, now + lead_time)
                || !need.fits_in(&minion.report.capacity)
            {
                continue;
            }
            let Some(room) = rooms.get(&minion.number) else {
                continue;
            };
            let share = spec.max_per_minion.unwrap_or(u32::MAX);
            let share = share.saturating_sub(self.of_step_on(minion, id));
            let places = fits_times(&room.now, &need).min(share);
            let nearness = match places {
                0 if need.fits_in(&room.soon) => ROOM_SOON,
                0 => ROOM_LATER,
                _ => ROOM_NOW,
            };
            let known = knowledge.good.contains(&minion.number);
            let slowness = self.speeds.slowness(&minion.pace);
            prospects.push(Prospect {
                chance: nearness * if known { KNOWN_GOOD } else { UNKNOWN },
                preferred: urgent == (slowness <= Slowness::Usual),
                places,
                minion: minion.number,
                known,
            });
        }
        prospects.sort_unstable_by(|a, b| b.cmp(a));
        named(&prospects, step.waiting.len() as u32, most)
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
        let step = self.ready.get(&id).or_else(|| self.coming.get(&id));
        let validity = step
            .and_then(|step| step.queue.advice)
            .map_or(Duration::ZERO, |terms| terms.validity);
        let waiting = step.map_or(0, |step| step.waiting.len());
        let Some(knowledge) = self.knowledge.get_mut(&id) else {
            return;
        };
        let Some((since, asked)) = knowledge.asked.take() else {
            return;
        };
        self.questions -= 1;
        self.out.push(Order::Note(Box::new(Note::StepAdvised {
            step: id,
            waiting,
            asked: asked.len(),
            good: advice.as_ref().map(|a| a.good.len()),
            took: now.saturating_sub(since),
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
        knowledge
            .bad
            .extend(asked.iter().filter(|n| !good.contains(n)));
        if good.is_empty() && knowledge.bad.len() == before {
            knowledge.next_question = now + ASK_AGAIN;
        }
        self.place_wanted = true;
    }
}

/// Whether the tasks of a step may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// They may.
    Now,
    /// The steps before are under way.
    Coming,
}

/// What one minion could take of a kind of work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    /// Free, coming free, or taken by work that would yield.
    now: Resources,
    /// The same with what is expected to end within the life of a ticket.
    soon: Resources,
}

/// Rooms of all minions.
pub(super) type Rooms = Arc<BTreeMap<MinionNumber, Room>>;

/// A minion that a question could name; the greatest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Prospect {
    chance: u32,
    preferred: bool,
    places: u32,
    minion: MinionNumber,
    known: bool,
}

/// Most minions that a question should name: from there on it costs more than twice its fixed part.
fn worth_asking(terms: AdviceTerms) -> usize {
    if terms.per_minion.is_zero() {
        return MOST_ASKED;
    }
    let even = terms.base.as_secs_f64() / terms.per_minion.as_secs_f64();
    (even as usize).clamp(FEWEST_ASKED, MOST_ASKED)
}

/// As many of the best prospects as should bring twice the room that is wanted.
fn named(prospects: &[Prospect], waiting: u32, most: usize) -> Vec<MinionNumber> {
    let mut places = 0;
    let mut names = Vec::new();
    for prospect in prospects {
        let enough = places >= 2 * KNOWN_GOOD * waiting;
        if names.len() >= most || (enough && names.len() >= FEWEST_ASKED) {
            break;
        }
        let weight = if prospect.known { KNOWN_GOOD } else { UNKNOWN };
        places += prospect.places.min(waiting) * weight;
        names.push(prospect.minion);
    }
    names
}

/// How many tasks of this need fit into a room, up to a number that no step reaches.
pub(super) fn fits_times(room: &Resources, need: &Resources) -> u32 {
    need.times_in(room).min(MOST_TASKS)
}
