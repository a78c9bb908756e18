//! Selection of the minions that a question to the policy service names: those that are likely to
//! have free resources when the answer arrives.

use std::collections::HashMap;
use std::time::Duration;

use super::advice::{MIN_MINIONS_PER_QUESTION, StepAdvice, max_tasks_in};
use super::minion::Minion;
use super::run::demand;
use super::speed::Slowness;
use super::{Dispatcher, ReadyStep};
use crate::batch::model::{MinionNumber, PolicyConfig, StepId, StepSpec};
use crate::batch::rendezvous::rendezvous_weight;
use crate::ids::Timestamp;
use crate::resources::Resources;

/// Most minions that the policy service accepts in one question.
const MAX_MINIONS_PER_QUESTION: usize = 100;
/// Weights by what is known of the policy. A minion known to be allowed always gets a ticket, an
/// unknown one about every second time.
const WEIGHT_ALLOWED: u32 = 2;
const WEIGHT_UNKNOWN: u32 = 1;
/// Weights by availability of a minion's resources: free; free but earmarked by pending questions;
/// used by work that could be preempted; expected to be free within the validity of a ticket; not
/// expected.
const WEIGHT_FREE: u32 = 8;
const WEIGHT_EARMARKED: u32 = 6;
const WEIGHT_PREEMPTIBLE: u32 = 5;
const WEIGHT_SOON: u32 = 4;
const WEIGHT_LATER: u32 = 2;
/// Resources expected to be free within this time count as available soon.
const SOON: Duration = Duration::from_millis(2000);
/// Age up to which computed availabilities are used again; each computation walks the runs of its
/// minion.
const AVAILABILITY_MAX_AGE: Duration = Duration::from_millis(100);
/// Minions compared for a question, if these include enough candidates. The best of so many are
/// nearly as good as the best of all, and the work does not grow with the cell.
const MAX_COMPARED: usize = 8 * MAX_MINIONS_PER_QUESTION;

/// Computed availabilities by priority of the work.
#[derive(Debug, Default)]
pub(super) struct Availabilities {
    computed_from: Timestamp,
    known: HashMap<(u32, MinionNumber), Availability>,
}

impl Availabilities {
    /// Drops all availabilities when the oldest is too old.
    fn refresh(&mut self, now: Timestamp) {
        if now >= self.computed_from + AVAILABILITY_MAX_AGE {
            self.computed_from = now;
            self.known.clear();
        }
    }
}

impl Dispatcher {
    fn availability_of(&self, minion: &Minion, now: Timestamp, priority: u32) -> Availability {
        let mut available = Availability {
            preemptible: minion.free(),
            soon: minion.free(),
        };
        for run in minion.runs.iter().filter_map(|id| self.runs.get(id)) {
            if run.is_stopping() || (run.preemptible && run.priority > priority) {
                available.preemptible = available.preemptible.saturating_add(&run.need);
                available.soon = available.soon.saturating_add(&run.need);
            } else if run.expected_end(now).is_some_and(|end| end < now + SOON) {
                available.soon = available.soon.saturating_add(&run.need);
            }
        }
        available
    }

    /// Minions that a question about a step should name, best candidates first, each with the
    /// number of tasks that it could take now.
    ///
    /// The fixed cost of a question equals that of naming some 70 minions, so a question should
    /// name many. When a step with one task left asked about two minions at a time, other work took
    /// their resources before the answer came, and the task waited for 12 s in a cell that was 80%
    /// full.
    pub(super) fn question_candidates(
        &mut self,
        now: Timestamp,
        id: StepId,
        step: &ReadyStep,
        policy: PolicyConfig,
    ) -> Vec<(MinionNumber, u32)> {
        let most = max_candidates(policy);
        let spec = &step.spec.steps[usize::from(id.step)];
        let question = Question {
            now,
            id,
            step,
            spec,
            need: demand(spec),
            waiting: step.waiting.len() as u32,
            // New tickets should arrive before the current ones expire.
            lead_time: policy.base + policy.per_minion * most as u32,
        };
        let mut availabilities = std::mem::take(&mut self.availabilities);
        availabilities.refresh(now);
        let mut candidates = self.compared_candidates(&question, most, &mut availabilities);
        self.availabilities = availabilities;
        // Only the best are named; sorting the others would cost more than the rest of this
        // function.
        if candidates.len() > most {
            candidates.select_nth_unstable_by(most, |a, b| b.cmp(a));
            candidates.truncate(most);
        }
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        best_candidates(&candidates, question.waiting, most)
    }

    /// Candidates among the minions known to be allowed, and then among others until enough are
    /// compared, those with room first.
    fn compared_candidates(
        &self,
        question: &Question,
        most: usize,
        availabilities: &mut Availabilities,
    ) -> Vec<Candidate> {
        let Some(step_advice) = self.step_advice.get(&question.id) else {
            return Vec::new();
        };
        let service = &question.step.queue.service;
        let start = question.id.job ^ u64::from(question.id.step);
        let with_room = self.rooms.with_room(service, &question.need, start);
        let without_room = self.rooms.without_room(service, &question.need, start);
        let others = with_room
            .chain(without_room)
            .filter(|n| !step_advice.allows(*n));
        let mut candidates = Vec::new();
        for (compared, number) in step_advice.allowed().chain(others).enumerate() {
            if compared >= MAX_COMPARED && candidates.len() >= most {
                break;
            }
            self.count_examined();
            let minion = self.minions.get(&number);
            let candidate =
                minion.and_then(|m| self.candidate(question, m, step_advice, availabilities));
            candidates.extend(candidate);
        }
        candidates
    }

    /// A minion as a candidate for a question; `None` if a ticket for it would be useless.
    fn candidate(
        &self,
        question: &Question,
        minion: &Minion,
        step_advice: &StepAdvice,
        availabilities: &mut Availabilities,
    ) -> Option<Candidate> {
        let Question {
            now,
            id,
            step,
            spec,
            need,
            waiting,
            lead_time,
        } = question;
        // A ticket for a minion that already runs its maximum of the step would be useless, and
        // such minions could displace all others when few tasks are left.
        if step_advice.forbids(minion.number)
            || !self.is_eligible(*now, minion, *id, step, spec)
            || step_advice.has_ticket(minion.number, *now + *lead_time)
            || !need.fits_in(&minion.report.capacity)
        {
            return None;
        }
        let own = |most: u32| most.saturating_sub(self.tasks_of_step_on(minion, *id));
        let share = spec.max_per_minion.map_or(u32::MAX, own).min(*waiting);
        let fits = |available: &Resources| max_tasks_in(available, need).min(share);
        let free = minion.free();
        let open = free.saturating_sub(&self.questions.earmarked(minion.number));
        let (weight, places) = match (fits(&open), fits(&free)) {
            (places @ 1.., _) => (WEIGHT_FREE, places),
            (0, places @ 1..) => (WEIGHT_EARMARKED, places),
            (0, 0) => {
                let available = self.availability(*now, minion, step, availabilities);
                match fits(&available.preemptible) {
                    0 if need.fits_in(&available.soon) => (WEIGHT_SOON, 0),
                    0 => (WEIGHT_LATER, 0),
                    places => (WEIGHT_PREEMPTIBLE, places),
                }
            }
        };
        let allowed = step_advice.allows(minion.number);
        let slowness = self.speeds.slowness(&minion.pace);
        let urgent = step.queue.priority == 0;
        Some(Candidate {
            reserved: step.is_lasting()
                && self.reservations.tasks_of_step_on(minion.number, *id) > 0,
            weight: weight
                * if allowed {
                    WEIGHT_ALLOWED
                } else {
                    WEIGHT_UNKNOWN
                },
            preferred: urgent == (slowness <= Slowness::Usual),
            places,
            tie: rendezvous_weight(minion.number, id.job),
            minion: minion.number,
            allowed,
        })
    }

    fn availability(
        &self,
        now: Timestamp,
        minion: &Minion,
        step: &ReadyStep,
        availabilities: &mut Availabilities,
    ) -> Availability {
        let priority = step.queue.priority;
        let known = availabilities.known.entry((priority, minion.number));
        *known.or_insert_with(|| self.availability_of(minion, now, priority))
    }
}

/// A step about which a question is considered.
struct Question<'a> {
    now: Timestamp,
    id: StepId,
    step: &'a ReadyStep,
    spec: &'a StepSpec,
    need: Resources,
    /// Number of waiting tasks.
    waiting: u32,
    /// A ticket that is valid for longer is not asked for again.
    lead_time: Duration,
}

/// Resources of one minion that are available to work of one priority.
#[derive(Clone, Copy, Debug)]
pub(super) struct Availability {
    /// Free, being freed, or used by runs that could be preempted.
    preemptible: Resources,
    /// The same plus runs that are expected to end within the validity of a ticket.
    soon: Resources,
}

/// A minion that a question could name; the greatest by field order is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Whether resources there are reserved for the step.
    reserved: bool,
    /// Product of the weights by policy and by availability.
    weight: u32,
    /// Whether its speed suits the step: urgent steps prefer fast minions, others slow ones.
    preferred: bool,
    /// Tasks of the step that it could take now, at most the waiting ones.
    places: u32,
    /// Pseudo-random by job, so that questions about many steps don't all name the same few of
    /// otherwise equal minions.
    tie: u64,
    minion: MinionNumber,
    /// Whether the policy is known to allow it.
    allowed: bool,
}

/// Most minions that a question should name: with more, it would cost more than twice its fixed
/// part.
fn max_candidates(policy: PolicyConfig) -> usize {
    if policy.per_minion.is_zero() {
        return MAX_MINIONS_PER_QUESTION;
    }
    let even = policy.base.as_secs_f64() / policy.per_minion.as_secs_f64();
    (even as usize).clamp(MIN_MINIONS_PER_QUESTION, MAX_MINIONS_PER_QUESTION)
}

/// As many of the best candidates as should yield tickets for twice the waiting tasks, each with
/// the number of tasks that it could take.
fn best_candidates(
    candidates: &[Candidate],
    waiting: u32,
    most: usize,
) -> Vec<(MinionNumber, u32)> {
    let mut places = 0;
    let mut chosen = Vec::new();
    for candidate in candidates {
        let enough = places >= 2 * WEIGHT_ALLOWED * waiting;
        if chosen.len() >= most || (enough && chosen.len() >= MIN_MINIONS_PER_QUESTION) {
            break;
        }
        let weight = if candidate.allowed {
            WEIGHT_ALLOWED
        } else {
            WEIGHT_UNKNOWN
        };
        places += candidate.places * weight;
        chosen.push((candidate.minion, candidate.places));
    }
    chosen
}
