//! Room kept for tasks that cannot start yet, and what is stopped to make it.
//!
//! Large tasks and gangs need room that several runs must give back. Without a claim on it, small
//! tasks that come later take each part as it comes free, and the large one waits for as long as
//! there are small ones. Claims are reckoned anew in each round, in the order of service, from
//! what is known by then; nothing has to be given back, so none can leak.

use std::collections::BTreeMap;
use std::time::Duration;

use super::advice::Knowledge;
use super::mechanisms::Mechanism;
use super::minion::Minion;
use super::run::{Run, RunState, charged};
use super::{Dispatcher, ReadyStep};
use crate::batch::model::{Grouping, Lifetime, MinionNumber, StepId, StepSpec, TaskId};
use crate::batch::note::Note;
use crate::ids::Timestamp;
use crate::resources::Resources;

/// Most tasks with a claim in one round. Each looks at the runs of all minions that may take it;
/// behind this many, a task's turn comes later than estimates of run times reach.
const MAX_CLAIMS: usize = 64;

/// Claims from which on rounds are spaced: each costs a look at the minions that may take its task.
const MANY: usize = 16;

/// How long lasting tasks may wait before room is kept for them to the exclusion of all other work.
const LASTING_GRACE: Duration = Duration::from_secs(1);
/// How long they may wait for room to come free by itself before others are stopped for it.
const LASTING_PATIENCE: Duration = Duration::from_millis(2_500);
/// How long room of one minion is kept for a lasting task that does not get it. Something there takes
/// longer than expected, and may stand still.
const PLACE_KEPT: Duration = Duration::from_secs(3);

/// Room of one minion that is kept from all that come later in the order of service.
#[derive(Clone, Copy, Debug)]
struct Claim {
    step: StepId,
    need: Resources,
    /// Nothing may use the room meanwhile.
    strict: bool,
    /// When its task should start.
    starts: Timestamp,
}

/// Claims of one round.
#[derive(Debug, Default)]
pub(super) struct Claims {
    by_minion: BTreeMap<MinionNumber, Vec<Claim>>,
    count: usize,
    /// Places that were kept strictly in the round before, and since when each is.
    kept: BTreeMap<(StepId, MinionNumber), Timestamp>,
}

impl Claims {
    /// No claims yet. Which places were kept strictly is remembered.
    pub(super) fn next_round(&self, now: Timestamp) -> Self {
        let claims = self.by_minion.iter();
        let each = claims.flat_map(|(minion, claims)| claims.iter().map(|c| (c, *minion)));
        let strict = each.filter(|(claim, _)| claim.strict);
        let kept = strict.map(|(claim, minion)| {
            let place = (claim.step, minion);
            (place, self.kept.get(&place).copied().unwrap_or(now))
        });
        Self {
            kept: kept.collect(),
            ..Self::default()
        }
    }

    /// Whether a place was claimed in the round before, and not for too long.
    fn is_kept(&self, now: Timestamp, step: StepId, minion: MinionNumber) -> bool {
        let since = self.kept.get(&(step, minion));
        since.is_some_and(|since| now < *since + PLACE_KEPT)
    }

    fn add(&mut self, waiting: Waiting, place: &Place) {
        let claim = Claim {
            step: waiting.id,
            need: waiting.need,
            strict: waiting.is_strict(),
            starts: place.starts,
        };
        self.by_minion.entry(place.minion).or_default().push(claim);
        self.count += 1;
    }

    fn take_back(&mut self, places: &[Place]) {
        for place in places.iter().rev() {
            let claims = self.by_minion.get_mut(&place.minion);
            if claims.is_some_and(|claims| claims.pop().is_some()) {
                self.count -= 1;
            }
        }
    }

    fn on(&self, minion: MinionNumber) -> &[Claim] {
        self.by_minion.get(&minion).map_or(&[], Vec::as_slice)
    }

    /// All that is kept on a minion.
    fn total(&self, minion: MinionNumber) -> Resources {
        let needs = self.on(minion).iter().map(|claim| &claim.need);
        needs.fold(Resources::ZERO, |sum, need| sum.saturating_add(need))
    }

    /// Tasks of one step that room of a minion is kept for.
    pub(super) fn of_step_on(&self, minion: MinionNumber, step: StepId) -> u32 {
        let claims = self.on(minion).iter();
        claims.filter(|claim| claim.step == step).count() as u32
    }

    /// Whether so many tasks wait that rounds should be spaced.
    pub(super) fn are_many(&self) -> bool {
        self.count >= MANY
    }

    /// Whether nothing is kept on a minion.
    pub(super) fn is_open(&self, minion: MinionNumber) -> bool {
        self.on(minion).is_empty()
    }
}

/// A step whose tasks wait, as it is looked at in one round.
#[derive(Clone, Copy)]
struct Waiting<'a> {
    now: Timestamp,
    unix: Timestamp,
    id: StepId,
    step: &'a ReadyStep,
    spec: &'a StepSpec,
    need: Resources,
}

impl Waiting<'_> {
    /// Whether the job could still be done in time if these places are all it waits for. A lasting
    /// task has no time to be done by: it is in time where it need not be waited for much longer.
    fn is_in_time(&self, places: &[Place]) -> bool {
        let Some(starts) = last_start(places) else {
            return false;
        };
        if self.step.is_lasting() {
            return starts <= self.now || starts <= self.step.since + LASTING_PATIENCE;
        }
        let wait = starts.saturating_sub(self.now);
        !self.step.is_late(self.unix + wait)
    }

    /// Whether places for which runs are stopped are worth it against those that come free by
    /// themselves.
    fn gains_by(&self, stopping: &[Place], waited: &[Place]) -> bool {
        if !self.step.is_lasting() {
            return self.is_in_time(stopping);
        }
        // Also keeps the stops from being repeated: what is leaving counts as coming free.
        last_start(waited).is_none_or(|at| last_start(stopping).is_some_and(|sooner| sooner < at))
    }

    /// Whether lasting tasks have waited so long that no other work may delay them further.
    fn is_strict(&self) -> bool {
        self.step.is_lasting() && self.now > self.step.since + LASTING_GRACE
    }

    /// Whether lasting tasks have waited so long that nothing else is tried first.
    fn is_overdue(&self) -> bool {
        self.step.is_lasting() && self.now > self.step.since + LASTING_PATIENCE
    }
}

/// When the last of these places is there.
fn last_start(places: &[Place]) -> Option<Timestamp> {
    places.iter().map(|place| place.starts).max()
}

/// A place for one task: where, from when, and whose runs have to be stopped for it.
#[derive(Debug)]
struct Place {
    minion: MinionNumber,
    starts: Timestamp,
    victims: Vec<TaskId>,
    /// Part of a minion that the stopped runs take.
    cost: f64,
}

/// How a place may come free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Means {
    Waiting,
    Stopping,
}

impl Dispatcher {
    /// Whether one more task may take room of a minion without delaying those that it is kept for.
    pub(super) fn leaves_claims(
        &self,
        now: Timestamp,
        minion: &Minion,
        step: &ReadyStep,
        spec: &StepSpec,
        need: &Resources,
    ) -> bool {
        let claims = self.claims.on(minion.number);
        let Some(last) = claims.iter().map(|claim| claim.starts).max() else {
            return true;
        };
        let kept = self.claims.total(minion.number);
        if kept.saturating_add(need).fits_in(&minion.free()) {
            return true;
        }
        // Expected ends are rough. Work that should end in time but does not would put a lasting task
        // off again and again, for as long as there is more of it.
        if claims.iter().any(|claim| claim.strict) {
            return false;
        }
        let in_time = |end| claims.iter().all(|claim| end <= claim.starts);
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
        kept.saturating_add(need).fits_in(&room)
    }

    /// Keeps room for the waiting tasks of a step, and stops less urgent runs for it where that
    /// alone lets the job be done in time.
    ///
    /// Runs were once stopped as soon as an urgent task had a ticket and no room, and the room was
    /// not kept: one task had 225 runs stopped in four seconds, as each was placed again before
    /// the room was whole.
    pub(super) fn claim_room(
        &mut self,
        now: Timestamp,
        unix: Timestamp,
        id: StepId,
        step: &ReadyStep,
    ) {
        let spec = &step.spec.steps[usize::from(id.step)];
        if spec.fills || step.is_worthless(unix) || !self.cfg.mechanisms.has(Mechanism::Claims) {
            return;
        }
        let waiting = Waiting {
            now,
            unix,
            id,
            step,
            spec,
            need: charged(spec),
        };
        let (units, size) = match spec.grouping {
            Grouping::Single => {
                let allowed = self.quotas.times(step.owner.as_ref(), &spec.need);
                (step.waiting.len().min(allowed as usize), 1)
            }
            Grouping::Gang => (1, step.waiting.len()),
        };
        for _ in 0..units {
            let full = self.claims.count + size > MAX_CLAIMS;
            if full || !self.claim_together(waiting, size) {
                return;
            }
        }
    }

    /// Keeps room for tasks that start together; false when there will be none.
    fn claim_together(&mut self, waiting: Waiting, size: usize) -> bool {
        let waited = self.places(waiting, size, Means::Waiting);
        if waited.as_deref().is_some_and(|p| waiting.is_in_time(p)) || !self.may_stop_for(waiting) {
            return waited.is_some();
        }
        let waited = waited.unwrap_or_default();
        self.claims.take_back(&waited);
        if let Some(places) = self.places(waiting, size, Means::Stopping) {
            if waiting.gains_by(&places, &waited) {
                self.stop_victims(waiting, places);
                return true;
            }
            self.claims.take_back(&places);
        }
        // Room is kept all the same: late work goes on when its turn comes.
        for place in &waited {
            self.claims.add(waiting, place);
        }
        !waited.is_empty()
    }

    /// A job that is late already, or beyond what its workspace may count on, earns no more than the
    /// work that would yield.
    fn may_stop_for(&self, waiting: Waiting) -> bool {
        let Waiting {
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
            && !step.is_surplus()
            && (waiting.is_overdue() || !self.room_to_ask_about(now, id, step, spec))
    }

    fn stop_victims(&mut self, waiting: Waiting, places: Vec<Place>) {
        for task in places.into_iter().flat_map(|place| place.victims) {
            let run = self.runs.get(&task).map_or(0, |r| r.run);
            let by = waiting.id;
            self.note(Note::RunPreempted { task, run, by });
            self.stop_run(waiting.now, task);
        }
    }

    /// Claims a place for each of `size` tasks, or for none of them.
    fn places(&mut self, waiting: Waiting, size: usize, means: Means) -> Option<Vec<Place>> {
        let mut places: Vec<Place> = Vec::with_capacity(size);
        for _ in 0..size {
            let Some(place) = self.best_place(waiting, &places, means) else {
                self.claims.take_back(&places);
                return None;
            };
            self.claims.add(waiting, &place);
            places.push(place);
        }
        Some(places)
    }

    /// The place that costs least, then the earliest. A lasting task keeps the place of the round
    /// before unless another one has room: expected ends are rough, and a place that moves with them
    /// is given away each time before it is free.
    fn best_place(&self, waiting: Waiting, taken: &[Place], means: Means) -> Option<Place> {
        let Waiting { now, id, .. } = waiting;
        let moves = |place: &Place| {
            let stays = place.starts <= now || self.claims.is_kept(now, id, place.minion);
            waiting.is_strict() && !stays
        };
        let mut best: Option<Place> = None;
        for minion in self.listed_minions(waiting.id, waiting.step, Knowledge::good) {
            if !self.may_ever_run(minion, waiting) {
                continue;
            }
            let place = match means {
                Means::Waiting => self.place_by_waiting(minion, waiting),
                Means::Stopping => self.place_by_stopping(minion, waiting, taken),
            };
            let Some(place) = place else {
                continue;
            };
            let rank = |place: &Place| (place.cost, moves(place), place.starts);
            let better = |best: &Place| rank(&place) < rank(best);
            if best.as_ref().is_none_or(better) {
                best = Some(place);
            }
        }
        best
    }

    /// Whether a minion could run one more task of a step, its present room and tickets aside.
    fn may_ever_run(&self, minion: &Minion, waiting: Waiting) -> bool {
        let Waiting { now, id, step, .. } = waiting;
        let most = waiting.spec.max_per_minion.unwrap_or(u32::MAX);
        let own = || self.of_step_on(minion, id) + self.claims.of_step_on(minion.number, id);
        waiting.need.fits_in(&minion.report.capacity)
            && self.is_eligible(now, minion, id, step, waiting.spec)
            && own() < most
    }

    fn place_by_waiting(&self, minion: &Minion, waiting: Waiting) -> Option<Place> {
        let kept = self.claims.total(minion.number);
        let starts = self.fits_from(waiting.now, minion, &kept.saturating_add(&waiting.need))?;
        Some(Place {
            minion: minion.number,
            starts,
            victims: Vec::new(),
            cost: 0.0,
        })
    }

    /// Room that is made by stopping the least urgent runs, the latest begun first.
    fn place_by_stopping(
        &self,
        minion: &Minion,
        waiting: Waiting,
        taken: &[Place],
    ) -> Option<Place> {
        let now = waiting.now;
        let wanted = self
            .claims
            .total(minion.number)
            .saturating_add(&waiting.need);
        let mut room = minion.free();
        let mut starts = now;
        let mut yielding = Vec::new();
        for id in &minion.runs {
            let Some(run) = self.runs.get(id) else {
                continue;
            };
            if run.is_leaving() || taken.iter().any(|p| p.victims.contains(id)) {
                room = room.saturating_add(&run.need);
                starts = now + self.cfg.stop_time;
            } else if self.yields_to(now, run, waiting.step.queue.priority) {
                yielding.push((*id, run));
            }
        }
        yielding.sort_unstable_by_key(|(id, run)| {
            (std::cmp::Reverse((run.priority, run.proposed)), *id)
        });
        let mut victims = Vec::new();
        let mut cost = 0.0;
        for (id, run) in yielding {
            if wanted.fits_in(&room) {
                break;
            }
            room = room.saturating_add(&run.need);
            starts = now + self.cfg.stop_time;
            cost += run.need.dominant_share(&minion.report.capacity);
            victims.push(id);
        }
        wanted.fits_in(&room).then_some(Place {
            minion: minion.number,
            starts,
            victims,
            cost,
        })
    }

    /// Whether a run may be stopped for work of a priority. One that has only just gone on from
    /// where it was stopped is spared: it has done less than its stop and its return cost, and
    /// would be stopped over and over.
    pub(super) fn yields_to(&self, now: Timestamp, run: &Run, priority: u32) -> bool {
        let RunState::Running(since) = run.state else {
            return false;
        };
        let paid_off = (self.cfg.stop_time + self.cfg.restore_time) * 2;
        let spared = run.resumed && now < since + paid_off;
        run.yields && run.priority > priority && !spared
    }
}
