//! Whom to ask the policy service about: minions that may have room once the answer is there.

use std::sync::Arc;
use std::time::Duration;

use super::advice::{FEWEST_ASKED, fits_times};
use super::minion::Minion;
use super::run::charged;
use super::speed::Slowness;
use super::{Dispatcher, ReadyStep};
use crate::batch::model::{AdviceTerms, MinionNumber, StepId};
use crate::batch::rank::rank;
use crate::ids::Timestamp;
use crate::resources::Resources;

/// Most that the policy service takes in one question.
const MOST_ASKED: usize = 100;
/// Weights of a minion in a question. One that is known to be good gives a ticket for sure, another one
/// about every second time.
const KNOWN_GOOD: u32 = 2;
const UNKNOWN: u32 = 1;
/// Weights of a minion's room: there, there but counted on by questions on the way, taken by work that
/// would have to be stopped for it, expected within the life of a ticket, not in sight.
const ROOM_FREE: u32 = 8;
const ROOM_SHARED: u32 = 6;
const ROOM_YIELDING: u32 = 5;
const ROOM_SOON: u32 = 4;
const ROOM_LATER: u32 = 2;
/// How far ahead room counts as expected soon.
const SOON: Duration = Duration::from_millis(2000);
/// Age up to which the reckoning of rooms is used again. Every waiting step needs it, and it looks
/// at all runs.
const ROOMS_KEPT: Duration = Duration::from_millis(100);

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
        let all: Rooms = all.collect();
        self.rooms.insert(priority, (now, Arc::clone(&all)));
        all
    }

    fn room_of(&self, minion: &Minion, now: Timestamp, priority: u32) -> Room {
        let mut room = Room {
            free: minion.free(),
            yielding: minion.free(),
            soon: minion.free(),
        };
        for run in minion.runs.iter().filter_map(|id| self.runs.get(id)) {
            if run.is_leaving() || (run.yields && run.priority > priority) {
                room.yielding = room.yielding.saturating_add(&run.need);
                room.soon = room.soon.saturating_add(&run.need);
            } else if run.expected_end(now).is_some_and(|end| end < now + SOON) {
                room.soon = room.soon.saturating_add(&run.need);
            }
        }
        room
    }

    /// Minions that a question about a step should name, best prospects first, each with the tasks
    /// that it could take now.
    ///
    /// A question costs as much as naming some 70 minions, so one that names few is dear: a step
    /// with one task left asked about two minions at a time, other work took their room before
    /// the answer came, and the task waited for 12 s in a cell that was four fifths full.
    pub(super) fn whom_to_ask(
        &mut self,
        now: Timestamp,
        id: StepId,
        step: &ReadyStep,
        terms: AdviceTerms,
    ) -> Vec<(MinionNumber, u32)> {
        let most = worth_asking(terms);
        let waiting = step.waiting.len() as u32;
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
        let mut rooms = rooms.iter().peekable();
        for minion in self.minions.values() {
            while rooms.next_if(|(n, _)| *n < minion.number).is_some() {}
            let Some((_, room)) = rooms.peek().filter(|(n, _)| *n == minion.number) else {
                continue;
            };
            // A minion that already has its share of the step would be asked about in vain, and
            // could hide all others when few tasks are left.
            if !self.is_eligible(now, minion, id, step, spec)
                || knowledge.forbids(minion.number)
                || knowledge.has_ticket(minion.number, now + lead_time)
                || !need.fits_in(&minion.report.capacity)
            {
                continue;
            }
            let own = |most: u32| most.saturating_sub(self.of_step_on(minion, id));
            let share = spec.max_per_minion.map_or(u32::MAX, own);
            let fits = |room: &Resources| fits_times(room, &need).min(share.min(waiting));
            let open = room
                .free
                .saturating_sub(&self.questions.counted_on(minion.number));
            let (nearness, places) = [
                (ROOM_FREE, &open),
                (ROOM_SHARED, &room.free),
                (ROOM_YIELDING, &room.yielding),
            ]
            .into_iter()
            .map(|(nearness, room)| (nearness, fits(room)))
            .find(|(_, places)| *places > 0)
            .unwrap_or_else(|| {
                let soon = need.fits_in(&room.soon);
                (if soon { ROOM_SOON } else { ROOM_LATER }, 0)
            });
            let known = knowledge.allows(minion.number);
            let slowness = self.speeds.slowness(&minion.pace);
            prospects.push(Prospect {
                claimed: step.is_lasting() && self.claims.of_step_on(minion.number, id) > 0,
                chance: nearness * if known { KNOWN_GOOD } else { UNKNOWN },
                preferred: urgent == (slowness <= Slowness::Usual),
                places,
                tie: rank(minion.number, id.job),
                minion: minion.number,
                known,
            });
        }
        // Only the best are named; to sort the others would cost more than all the rest.
        if prospects.len() > most {
            prospects.select_nth_unstable_by(most, |a, b| b.cmp(a));
            prospects.truncate(most);
        }
        prospects.sort_unstable_by(|a, b| b.cmp(a));
        named(&prospects, waiting, most)
    }
}

/// What one minion could take of a kind of work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    /// Free.
    free: Resources,
    /// Free, coming free, or taken by work that would yield.
    yielding: Resources,
    /// The same with what is expected to end within the life of a ticket.
    soon: Resources,
}

/// Rooms of all minions, by number.
pub(super) type Rooms = Arc<[(MinionNumber, Room)]>;

/// A minion that a question could name; the greatest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Prospect {
    /// Room is kept there for the step.
    claimed: bool,
    chance: u32,
    preferred: bool,
    /// Tasks of the step that it could take now, up to those that wait.
    places: u32,
    /// Differs by step, so that questions about many steps do not all name the same few of equals.
    tie: u64,
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

/// As many of the best prospects as should bring twice the room that is wanted, each with its places.
fn named(prospects: &[Prospect], waiting: u32, most: usize) -> Vec<(MinionNumber, u32)> {
    let mut places = 0;
    let mut names = Vec::new();
    for prospect in prospects {
        let enough = places >= 2 * KNOWN_GOOD * waiting;
        if names.len() >= most || (enough && names.len() >= FEWEST_ASKED) {
            break;
        }
        let weight = if prospect.known { KNOWN_GOOD } else { UNKNOWN };
        places += prospect.places * weight;
        names.push((prospect.minion, prospect.places));
    }
    names
}
