//! Reservations: room reserved for tasks that cannot start yet, and preemption to free it.
//!
//! Large tasks and gangs need the room of several runs at once. Without a reservation, smaller
//! tasks later in the order of service take each part as it comes free, and the large one waits for
//! as long as there are small ones. All reservations are recomputed in each round, in the order of
//! service, from the current state; none has to be released later, so none can leak.

use std::collections::BTreeMap;
use std::time::Duration;

use super::advice::StepAdvice;
use super::mechanisms::Mechanism;
use super::minion::Minion;
use super::run::{Run, RunState, demand};
use super::{Dispatcher, ReadyStep};
use crate::batch::event::Event;
use crate::batch::model::{Grouping, Lifetime, MinionNumber, StepId, StepSpec, TaskId};
use crate::ids::Timestamp;
use crate::resources::Resources;

/// Most tasks with a reservation in one round. Each reservation inspects the runs of all eligible
/// minions, and a task behind this many others starts later than run time estimates are useful for.
const MAX_RESERVATIONS: usize = 64;
/// Number of reservations from which on placement rounds are spaced out, as each reservation
/// inspects all eligible minions.
const MANY_RESERVATIONS: usize = 16;

/// Wait after which reservations of lasting tasks become strict: no other work may use the reserved
/// room.
const LASTING_STRICT_AFTER: Duration = Duration::from_secs(1);
/// Wait after which lasting tasks preempt other runs instead of waiting for these to end.
const LASTING_PREEMPT_AFTER: Duration = Duration::from_millis(2_500);
/// How long a lasting task prefers the same minion without getting its room. After that, a run
/// there takes longer than expected and may hang, so the minion is no longer preferred.
const STRICT_RESERVATION_MAX: Duration = Duration::from_secs(3);

/// Room of one minion that is reserved against all steps later in the order of service.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    step: StepId,
    need: Resources,
    /// No other work may use the room, even if it should end in time.
    strict: bool,
    /// When the task of this reservation should start.
    starts: Timestamp,
}

/// Reservations of one round.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    by_minion: BTreeMap<MinionNumber, Vec<Reservation>>,
    count: usize,
    /// Strict reservations of the previous round, with the time since which each has been held.
    strict_since: BTreeMap<(StepId, MinionNumber), Timestamp>,
}

impl Reservations {
    /// An empty set of reservations for the next round that keeps the record of strict
    /// reservations.
    pub(super) fn next_round(&self, now: Timestamp) -> Self {
        let reservations = self.by_minion.iter();
        let each = reservations
            .flat_map(|(minion, reservations)| reservations.iter().map(|c| (c, *minion)));
        let strict = each.filter(|(reservation, _)| reservation.strict);
        let strict_since = strict.map(|(reservation, minion)| {
            let place = (reservation.step, minion);
            (place, self.strict_since.get(&place).copied().unwrap_or(now))
        });
        Self {
            strict_since: strict_since.collect(),
            ..Self::default()
        }
    }

    /// Whether a step held a strict reservation on a minion in the previous round, for less than
    /// `STRICT_RESERVATION_MAX`.
    fn was_reserved(&self, now: Timestamp, step: StepId, minion: MinionNumber) -> bool {
        let since = self.strict_since.get(&(step, minion));
        since.is_some_and(|since| now < *since + STRICT_RESERVATION_MAX)
    }

    fn add(&mut self, waiting: WaitingStep, place: &Place) {
        let reservation = Reservation {
            step: waiting.id,
            need: waiting.need,
            strict: waiting.is_strict(),
            starts: place.starts,
        };
        self.by_minion
            .entry(place.minion)
            .or_default()
            .push(reservation);
        self.count += 1;
    }

    /// Undoes the latest additions. `places` must be the last ones added on their minions.
    fn remove(&mut self, places: &[Place]) {
        for place in places.iter().rev() {
            let reservations = self.by_minion.get_mut(&place.minion);
            if reservations.is_some_and(|reservations| reservations.pop().is_some()) {
                self.count -= 1;
            }
        }
    }

    fn on(&self, minion: MinionNumber) -> &[Reservation] {
        self.by_minion.get(&minion).map_or(&[], Vec::as_slice)
    }

    /// Sum of all reservations on a minion.
    fn total(&self, minion: MinionNumber) -> Resources {
        let needs = self.on(minion).iter().map(|reservation| &reservation.need);
        needs.fold(Resources::ZERO, |sum, need| sum.saturating_add(need))
    }

    /// Number of a step's reservations on a minion.
    pub(super) fn tasks_of_step_on(&self, minion: MinionNumber, step: StepId) -> u32 {
        let reservations = self.on(minion).iter();
        reservations
            .filter(|reservation| reservation.step == step)
            .count() as u32
    }

    /// Whether there are so many reservations that placement rounds should be spaced out.
    pub(super) fn are_many(&self) -> bool {
        self.count >= MANY_RESERVATIONS
    }

    /// Whether a minion has no reservations.
    pub(super) fn is_open(&self, minion: MinionNumber) -> bool {
        self.on(minion).is_empty()
    }
}

/// A step with waiting tasks, with the times and values of the current round.
#[derive(Clone, Copy)]
struct WaitingStep<'a> {
    now: Timestamp,
    unix: Timestamp,
    id: StepId,
    step: &'a ReadyStep,
    spec: &'a StepSpec,
    need: Resources,
}

impl WaitingStep<'_> {
    /// Whether the job can meet its objective if its tasks start at these places. A lasting task
    /// has no objective: it is in time if it starts within `LASTING_PREEMPT_AFTER`.
    fn is_in_time(&self, places: &[Place]) -> bool {
        let Some(starts) = latest_start(places) else {
            return false;
        };
        if self.step.is_lasting() {
            return starts <= self.now || starts <= self.step.since + LASTING_PREEMPT_AFTER;
        }
        let wait = starts.saturating_sub(self.now);
        !self.step.is_late(self.unix + wait)
    }

    /// Whether places freed by preemption are worth it compared with those that come free at
    /// expected ends.
    fn is_preemption_better(&self, by_preemption: &[Place], expected: &[Place]) -> bool {
        if !self.step.is_lasting() {
            return self.is_in_time(by_preemption);
        }
        // Also prevents repeated preemption: room of runs being stopped counts as coming free.
        latest_start(expected)
            .is_none_or(|at| latest_start(by_preemption).is_some_and(|sooner| sooner < at))
    }

    /// Whether lasting tasks have waited so long that their reservations are strict.
    fn is_strict(&self) -> bool {
        self.step.is_lasting() && self.now > self.step.since + LASTING_STRICT_AFTER
    }

    /// Whether lasting tasks have waited so long that runs are preempted even if a question to the
    /// policy service could find room.
    fn is_overdue(&self) -> bool {
        self.step.is_lasting() && self.now > self.step.since + LASTING_PREEMPT_AFTER
    }
}

/// When the last of these places should be free.
fn latest_start(places: &[Place]) -> Option<Timestamp> {
    places.iter().map(|place| place.starts).max()
}

/// Room for one task on a minion: from when it should be free, and the runs to preempt for it.
#[derive(Debug)]
struct Place {
    minion: MinionNumber,
    starts: Timestamp,
    victims: Vec<TaskId>,
    /// Share of the minion's capacity that the preempted runs take, summed over the runs.
    cost: f64,
}

/// How the room of a place comes free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlaceSource {
    ExpectedEnds,
    Preemption,
}

impl Dispatcher {
    /// Whether one more task may start on a minion without delaying the tasks with reservations
    /// there.
    pub(super) fn respects_reservations(
        &self,
        now: Timestamp,
        minion: &Minion,
        step: &ReadyStep,
        spec: &StepSpec,
        need: &Resources,
    ) -> bool {
        let reservations = self.reservations.on(minion.number);
        let Some(last) = reservations
            .iter()
            .map(|reservation| reservation.starts)
            .max()
        else {
            return true;
        };
        let reserved = self.reservations.total(minion.number);
        if reserved.saturating_add(need).fits_in(&minion.free()) {
            return true;
        }
        // Expected ends are rough. Work that should end in time but does not would delay a lasting
        // task again and again, for as long as there is more of it.
        if reservations.iter().any(|reservation| reservation.strict) {
            return false;
        }
        let in_time = |end| {
            reservations
                .iter()
                .all(|reservation| end <= reservation.starts)
        };
        let ends = || now + self.expected_time(&step.queue.name, spec.estimate);
        if spec.lifetime == Lifetime::Finite
            && self.cfg.mechanisms.has(Mechanism::Backfill)
            && in_time(ends())
        {
            return true;
        }
        let releases = self.releases(now, minion);
        let by_then = releases.iter().take_while(|(at, _)| *at <= last);
        let room = by_then.fold(minion.free(), |room, (_, need)| room.saturating_add(need));
        reserved.saturating_add(need).fits_in(&room)
    }

    /// Reserves room for the waiting tasks of a step, and preempts less urgent runs if the job can
    /// meet its objective only that way.
    ///
    /// Preempting without a reservation does not work: one urgent task with a ticket and no room
    /// had 225 runs stopped in 4 s, as each was placed again before enough room was free.
    pub(super) fn reserve_resources(
        &mut self,
        now: Timestamp,
        unix: Timestamp,
        id: StepId,
        step: &ReadyStep,
    ) {
        let spec = &step.spec.steps[usize::from(id.step)];
        let allowed = self.quotas.startable_tasks(step.owner.as_ref(), &spec.need);
        self.reserve_up_to(now, unix, id, step, allowed as usize);
    }

    /// Reserves room for at most `allowed` single tasks of a step, or for the whole of a gang.
    pub(super) fn reserve_up_to(
        &mut self,
        now: Timestamp,
        unix: Timestamp,
        id: StepId,
        step: &ReadyStep,
        allowed: usize,
    ) {
        let spec = &step.spec.steps[usize::from(id.step)];
        if (spec.uses_idle_cpu && !step.is_lasting())
            || step.is_expired(unix)
            || !self.cfg.mechanisms.has(Mechanism::Reservations)
        {
            return;
        }
        let waiting = WaitingStep {
            now,
            unix,
            id,
            step,
            spec,
            need: demand(spec),
        };
        let (units, size) = match spec.grouping {
            Grouping::Single => (step.waiting.len().min(allowed), 1),
            Grouping::Gang => (1, step.waiting.len()),
        };
        for _ in 0..units {
            let full = self.reservations.count + size > MAX_RESERVATIONS;
            if full || !self.reserve_unit(waiting, size) {
                return;
            }
        }
    }

    /// Reserves room for `size` tasks that start together; false if no room for them is expected.
    fn reserve_unit(&mut self, waiting: WaitingStep, size: usize) -> bool {
        let expected = self.places(waiting, size, PlaceSource::ExpectedEnds);
        if expected.as_deref().is_some_and(|p| waiting.is_in_time(p))
            || !self.may_preempt_for(waiting)
        {
            return expected.is_some();
        }
        let expected = expected.unwrap_or_default();
        self.reservations.remove(&expected);
        if let Some(places) = self.places(waiting, size, PlaceSource::Preemption) {
            if waiting.is_preemption_better(&places, &expected) {
                self.preempt(waiting, places);
                return true;
            }
            self.reservations.remove(&places);
        }
        // The room is reserved even so: work that is late still starts in its order.
        for place in &expected {
            self.reservations.add(waiting, place);
        }
        !expected.is_empty()
    }

    /// Whether runs may be preempted for a step. Not for a job that is late already or was
    /// submitted above the weight of its workspace: it is worth no more than the work it would
    /// replace.
    fn may_preempt_for(&self, waiting: WaitingStep) -> bool {
        let WaitingStep {
            now,
            unix,
            id,
            step,
            spec,
            ..
        } = waiting;
        self.cfg.mechanisms.has(Mechanism::Preemption)
            && self.least_urgent > step.queue.priority
            && !step.is_late(unix)
            && !step.is_excess()
            && (waiting.is_overdue() || !self.has_room_but_no_ticket(now, id, step, spec))
    }

    fn preempt(&mut self, waiting: WaitingStep, places: Vec<Place>) {
        for task in places.into_iter().flat_map(|place| place.victims) {
            let run = self.runs.get(&task).map_or(0, |r| r.run);
            let by = waiting.id;
            let id = task.original();
            self.emit(Event::RunPreempted { task: id, run, by });
            self.stop_run(waiting.now, task);
        }
    }

    /// Finds and reserves a place for each of `size` tasks, or for none of them.
    fn places(
        &mut self,
        waiting: WaitingStep,
        size: usize,
        source: PlaceSource,
    ) -> Option<Vec<Place>> {
        let mut places: Vec<Place> = Vec::with_capacity(size);
        for _ in 0..size {
            let Some(place) = self.best_place(waiting, &places, source) else {
                self.reservations.remove(&places);
                return None;
            };
            self.reservations.add(waiting, &place);
            places.push(place);
        }
        Some(places)
    }

    /// The place with the least preemption cost, then the earliest. A lasting task stays on the
    /// minion of the previous round unless another one has room now: expected ends are rough, and a
    /// reservation that moves with them is lost each time before its room is free.
    fn best_place(
        &self,
        waiting: WaitingStep,
        taken: &[Place],
        source: PlaceSource,
    ) -> Option<Place> {
        let WaitingStep { now, id, .. } = waiting;
        let is_new_place = |place: &Place| {
            let stays =
                place.starts <= now || self.reservations.was_reserved(now, id, place.minion);
            waiting.is_strict() && !stays
        };
        let mut best: Option<Place> = None;
        for minion in self.listed_minions(waiting.id, waiting.step, StepAdvice::allowed) {
            if !self.could_reserve(minion, waiting) {
                continue;
            }
            let place = match source {
                PlaceSource::ExpectedEnds => self.place_at_expected_end(minion, waiting),
                PlaceSource::Preemption => self.place_by_preemption(minion, waiting, taken),
            };
            let Some(place) = place else {
                continue;
            };
            let rank = |place: &Place| (place.cost, is_new_place(place), place.starts);
            let better = |best: &Place| rank(&place) < rank(best);
            if best.as_ref().is_none_or(better) {
                best = Some(place);
            }
        }
        best
    }

    /// Whether room for one more task of a step could be reserved on a minion: it is eligible, its
    /// whole capacity suffices, and the step's runs and reservations there are below the maximum
    /// per minion. Regardless of its free room and tickets.
    fn could_reserve(&self, minion: &Minion, waiting: WaitingStep) -> bool {
        let WaitingStep { now, id, step, .. } = waiting;
        let most = waiting.spec.max_per_minion.unwrap_or(u32::MAX);
        let own = || {
            self.tasks_of_step_on(minion, id)
                + self.reservations.tasks_of_step_on(minion.number, id)
        };
        waiting.need.fits_in(&minion.report.capacity)
            && self.is_eligible(now, minion, id, step, waiting.spec)
            && own() < most
    }

    fn place_at_expected_end(&self, minion: &Minion, waiting: WaitingStep) -> Option<Place> {
        let reserved = self.reservations.total(minion.number);
        let starts =
            self.fits_from(waiting.now, minion, &reserved.saturating_add(&waiting.need))?;
        Some(Place {
            minion: minion.number,
            starts,
            victims: Vec::new(),
            cost: 0.0,
        })
    }

    /// Room freed by preempting the least urgent runs, the latest proposed first. Room of runs that
    /// are already being stopped counts without cost.
    fn place_by_preemption(
        &self,
        minion: &Minion,
        waiting: WaitingStep,
        taken: &[Place],
    ) -> Option<Place> {
        let now = waiting.now;
        let required = self
            .reservations
            .total(minion.number)
            .saturating_add(&waiting.need);
        let mut room = minion.free();
        let mut starts = now;
        let mut preemptible = Vec::new();
        for id in &minion.runs {
            let Some(run) = self.runs.get(id) else {
                continue;
            };
            if run.is_stopping() || taken.iter().any(|p| p.victims.contains(id)) {
                room = room.saturating_add(&run.need);
                starts = now + self.cfg.stop_time;
            } else if self.is_preemptible_for(now, run, waiting.step.queue.priority) {
                preemptible.push((*id, run));
            }
        }
        preemptible.sort_unstable_by_key(|(id, run)| {
            (std::cmp::Reverse((run.priority, run.proposed)), *id)
        });
        let mut victims = Vec::new();
        let mut cost = 0.0;
        for (id, run) in preemptible {
            if required.fits_in(&room) {
                break;
            }
            room = room.saturating_add(&run.need);
            starts = now + self.cfg.stop_time;
            cost += run.need.dominant_share(&minion.report.capacity);
            victims.push(id);
        }
        required.fits_in(&room).then_some(Place {
            minion: minion.number,
            starts,
            victims,
            cost,
        })
    }

    /// Whether a run may be preempted for work of `priority`. A run that was resumed from a
    /// checkpoint only recently is spared: it has done less work than its stop and restore cost,
    /// and would be preempted over and over.
    pub(super) fn is_preemptible_for(&self, now: Timestamp, run: &Run, priority: u32) -> bool {
        let RunState::Running(since) = run.state else {
            return false;
        };
        let repaid_after = (self.cfg.stop_time + self.cfg.restore_time) * 2;
        let spared = run.resumed && now < since + repaid_after;
        run.preemptible && run.priority > priority && !spared
    }
}
