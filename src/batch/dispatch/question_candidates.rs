//! Selection of the minions that a question to the policy service names: those that are likely to
//! have free resources when the answer arrives.

use std::sync::Arc;
use std::time::Duration;

use super::advice::{MIN_MINIONS_PER_QUESTION, max_tasks_in};
use super::minion::Minion;
use super::run::demand;
use super::speed::Slowness;
use super::{Dispatcher, ReadyStep};
use crate::batch::model::{MinionNumber, PolicyConfig, StepId};
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
/// Age up to which computed availabilities are used again. Every waiting step needs them, and the
/// computation walks all runs.
const AVAILABILITY_MAX_AGE: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// The resources of each minion that are available to work of a priority, now and soon.
    fn availabilities(&mut self, now: Timestamp, priority: u32) -> Availabilities {
        if let Some((at, known)) = self.availabilities.get(&priority)
            && now < *at + AVAILABILITY_MAX_AGE
        {
            return Arc::clone(known);
        }
        let all = self
            .minions
            .values()
            .map(|m| (m.number, self.availability_of(m, now, priority)));
        let all: Availabilities = all.collect();
        self.availabilities
            .insert(priority, (now, Arc::clone(&all)));
        all
    }

    fn availability_of(&self, minion: &Minion, now: Timestamp, priority: u32) -> Availability {
        let mut available = Availability {
            free: minion.free(),
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
        let waiting = step.waiting.len() as u32;
        // New tickets should arrive before the current ones expire.
        let lead_time = policy.base + policy.per_minion * most as u32;
        let availabilities = self.availabilities(now, step.queue.priority);
        let Some(step_advice) = self.step_advice.get(&id) else {
            return Vec::new();
        };
        let spec = &step.spec.steps[usize::from(id.step)];
        let need = demand(spec);
        let urgent = step.queue.priority == 0;
        let mut candidates = Vec::new();
        let mut availabilities = availabilities.iter().peekable();
        for minion in self.minions.values() {
            while availabilities
                .next_if(|(n, _)| *n < minion.number)
                .is_some()
            {}
            let Some((_, available)) = availabilities.peek().filter(|(n, _)| *n == minion.number)
            else {
                continue;
            };
            // A ticket for a minion that already runs its maximum of the step would be useless, and
            // such minions could displace all others when few tasks are left.
            if !self.is_eligible(now, minion, id, step, spec)
                || step_advice.forbids(minion.number)
                || step_advice.has_ticket(minion.number, now + lead_time)
                || !need.fits_in(&minion.report.capacity)
            {
                continue;
            }
            let own = |most: u32| most.saturating_sub(self.tasks_of_step_on(minion, id));
            let share = spec.max_per_minion.map_or(u32::MAX, own);
            let fits =
                |available: &Resources| max_tasks_in(available, &need).min(share.min(waiting));
            let open = available
                .free
                .saturating_sub(&self.questions.earmarked(minion.number));
            let (weight, places) = [
                (WEIGHT_FREE, &open),
                (WEIGHT_EARMARKED, &available.free),
                (WEIGHT_PREEMPTIBLE, &available.preemptible),
            ]
            .into_iter()
            .map(|(weight, available)| (weight, fits(available)))
            .find(|(_, places)| *places > 0)
            .unwrap_or_else(|| {
                let soon = need.fits_in(&available.soon);
                (if soon { WEIGHT_SOON } else { WEIGHT_LATER }, 0)
            });
            let allowed = step_advice.allows(minion.number);
            let slowness = self.speeds.slowness(&minion.pace);
            candidates.push(Candidate {
                reserved: step.is_lasting()
                    && self.reservations.tasks_of_step_on(minion.number, id) > 0,
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
            });
        }
        // Only the best are named; sorting the others would cost more than the rest of this
        // function.
        if candidates.len() > most {
            candidates.select_nth_unstable_by(most, |a, b| b.cmp(a));
            candidates.truncate(most);
        }
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        best_candidates(&candidates, waiting, most)
    }
}

/// Resources of one minion that are available to work of one priority.
#[derive(Clone, Copy, Debug)]
pub(super) struct Availability {
    /// Free now.
    free: Resources,
    /// Free, being freed, or used by runs that could be preempted.
    preemptible: Resources,
    /// The same plus runs that are expected to end within the validity of a ticket.
    soon: Resources,
}

/// Availabilities of all minions, sorted by number.
pub(super) type Availabilities = Arc<[(MinionNumber, Availability)]>;

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
