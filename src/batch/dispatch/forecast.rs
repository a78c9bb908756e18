//! Forecast of when runs end and when their minions have room.

use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::mechanisms::Mechanism;
use super::minion::Minion;
use super::run::{Run, RunState, StopState};
use crate::batch::model::MinionNumber;
use crate::ids::Timestamp;
use crate::placement::expected_end;
use crate::resources::Resources;

/// Progress, in percent of a run's work, between two listings from which on the remaining time is
/// extrapolated. Listings have whole percents, so the result is accurate to a fifth.
const MIN_PROGRESS_PERCENT: u32 = 5;

/// Age up to which cached releases of a minion are used while its runs stay the same: a tenth of
/// the slack of the users' shortest work.
const RELEASES_MAX_AGE: Duration = Duration::from_millis(50);

/// Room expected to come free on a minion, in order of time.
pub(super) type Releases = Arc<[(Timestamp, Resources)]>;

/// Progress of a run as listed by its minion, in percent: the first and the latest change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Progress {
    from: (Timestamp, u32),
    to: (Timestamp, u32),
}

impl Progress {
    /// Starts from `percent` of the work done at `at`.
    pub(super) fn starting_at(at: Timestamp, percent: u32) -> Self {
        Self {
            from: (at, percent),
            to: (at, percent),
        }
    }

    /// Records the progress in a listing; a repeated or lower value changes nothing.
    pub(super) fn record(&mut self, now: Timestamp, percent: u32) {
        if percent > self.to.1 {
            self.to = (now, percent);
        }
    }

    /// When all of the work should be done; `None` before there is enough progress to extrapolate.
    pub(super) fn end(&self) -> Option<Timestamp> {
        let done = self.to.1.saturating_sub(self.from.1);
        if done < MIN_PROGRESS_PERCENT {
            return None;
        }
        let each = self.to.0.saturating_sub(self.from.0) / done;
        Some(self.to.0 + each * 100_u32.saturating_sub(self.to.1))
    }
}

impl Run {
    /// When the run should end, from its progress or else its declared time; `None` without either.
    pub(super) fn expected_end(&self, now: Timestamp) -> Option<Timestamp> {
        self.expected_end_after(now, self.expected)
    }

    /// The same if its expected run time were `expected`.
    pub(super) fn expected_end_after(
        &self,
        now: Timestamp,
        expected: Duration,
    ) -> Option<Timestamp> {
        let begun = self.begun.unwrap_or(self.proposed);
        let declared = (!expected.is_zero()).then(|| begun + expected);
        let end = self.progress.and_then(|p| p.end()).or(declared)?;
        Some(expected_end(now, begun, end))
    }
}

impl Dispatcher {
    /// When the room of a run should come free; `None` if its end cannot be estimated, or if it has
    /// ended and its room is free already.
    pub(super) fn release(&self, now: Timestamp, run: &Run) -> Option<Timestamp> {
        if run.state == RunState::Ending {
            return None;
        }
        match run.stop {
            StopState::No => run.expected_end(now),
            StopState::Due(_) | StopState::Sent => Some(now + self.cfg.stop_time),
            StopState::Confirmed(at) => Some((at + self.cfg.stop_time).max(now)),
        }
    }

    /// Room that a minion's runs should release, in the order of their expected ends.
    ///
    /// Cached, as each waiting step needs it for each eligible minion: computed each time, it used
    /// more than one core on the leader of 350 minions with 730 starts a second.
    pub(super) fn releases(&self, now: Timestamp, minion: &Minion) -> Releases {
        let mut cache = self.releases.borrow_mut();
        if let Some((at, releases)) = cache.get(&minion.number)
            && now < *at + RELEASES_MAX_AGE
        {
            return Arc::clone(releases);
        }
        let releases: Releases = self.compute_releases(now, minion).into();
        cache.insert(minion.number, (now, Arc::clone(&releases)));
        releases
    }

    /// Invalidates the cached releases of a minion.
    pub(super) fn forget_releases(&self, minion: MinionNumber) {
        self.releases.borrow_mut().remove(&minion);
    }

    fn compute_releases(&self, now: Timestamp, minion: &Minion) -> Vec<(Timestamp, Resources)> {
        let runs = minion.runs.iter().filter_map(|id| self.runs.get(id));
        let mut releases: Vec<_> = runs
            .filter_map(|run| Some((self.release(now, run)?, run.need)))
            .collect();
        releases.sort_unstable_by_key(|(at, _)| *at);
        releases
    }

    /// When `need` should fit on a minion; `None` if it does not fit even after all expected ends.
    pub(super) fn fits_from(
        &self,
        now: Timestamp,
        minion: &Minion,
        need: &Resources,
    ) -> Option<Timestamp> {
        let mut room = minion.free();
        if need.fits_in(&room) {
            return Some(now);
        }
        for (at, freed) in self.releases(now, minion).iter() {
            room = room.saturating_add(freed);
            if need.fits_in(&room) {
                return Some((*at).max(now));
            }
        }
        None
    }

    /// Run time to expect for a task of a queue: learnt from finished runs, unless that mechanism
    /// is switched off.
    pub(super) fn expected_time(
        &self,
        queue: &compact_str::CompactString,
        declared: Duration,
    ) -> Duration {
        if self.cfg.mechanisms.has(Mechanism::LearntTimes) {
            self.profiles.expected(queue, declared)
        } else {
            declared
        }
    }
}
