//! When runs should end, and when a minion should have room.

use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::mechanisms::Mechanism;
use super::minion::Minion;
use super::run::{Run, RunState, StopState};
use crate::batch::model::MinionNumber;
use crate::ids::Timestamp;
use crate::placement::end_from_now;
use crate::resources::Resources;

/// Share of a run's work, in percent, that must lie between two listings before the rest of its
/// time is reckoned from them: the share is listed in whole percents, so this is right to a fifth.
const ENOUGH_PROGRESS: u32 = 5;

/// Age up to which a minion's expected releases are used again while its runs stay the same: a
/// tenth of what the shortest work of the users leaves to spare.
const RELEASES_KEPT: Duration = Duration::from_millis(50);

/// Room that comes free on a minion, by time.
pub(super) type Releases = Arc<[(Timestamp, Resources)]>;

/// Progress of a run as its minion lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Progress {
    from: (Timestamp, u32),
    to: (Timestamp, u32),
}

impl Progress {
    /// Progress that was `percent` at `at`.
    pub(super) fn begun(at: Timestamp, percent: u32) -> Self {
        Self {
            from: (at, percent),
            to: (at, percent),
        }
    }

    /// Takes a listing in.
    pub(super) fn take(&mut self, now: Timestamp, percent: u32) {
        if percent > self.to.1 {
            self.to = (now, percent);
        }
    }

    /// When all of the work should be done; `None` while too little was seen.
    pub(super) fn end(&self) -> Option<Timestamp> {
        let done = self.to.1.saturating_sub(self.from.1);
        if done < ENOUGH_PROGRESS {
            return None;
        }
        let each = self.to.0.saturating_sub(self.from.0) / done;
        Some(self.to.0 + each * 100_u32.saturating_sub(self.to.1))
    }
}

impl Run {
    /// When it should end; `None` when that cannot be told.
    pub(super) fn expected_end(&self, now: Timestamp) -> Option<Timestamp> {
        let begun = self.begun.unwrap_or(self.proposed);
        let declared = (!self.expected.is_zero()).then(|| begun + self.expected);
        let end = self.progress.and_then(|p| p.end()).or(declared)?;
        Some(end_from_now(now, begun, end))
    }
}

impl Dispatcher {
    /// When the room of a run should come free; `None` when that cannot be told.
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

    /// What a minion's runs give back, in the order of their expected ends.
    ///
    /// Each waiting step asks for it on each minion that it may use. Reckoned anew each time, it
    /// took the leader of 350 minions and 730 starts a second more than a core.
    pub(super) fn releases(&self, now: Timestamp, minion: &Minion) -> Releases {
        let mut known = self.releases.borrow_mut();
        if let Some((at, releases)) = known.get(&minion.number)
            && now < *at + RELEASES_KEPT
        {
            return Arc::clone(releases);
        }
        let releases: Releases = self.reckon_releases(now, minion).into();
        known.insert(minion.number, (now, Arc::clone(&releases)));
        releases
    }

    /// Has a minion's releases reckoned anew when they are next asked for.
    pub(super) fn forget_releases(&self, minion: MinionNumber) {
        self.releases.borrow_mut().remove(&minion);
    }

    fn reckon_releases(&self, now: Timestamp, minion: &Minion) -> Vec<(Timestamp, Resources)> {
        let runs = minion.runs.iter().filter_map(|id| self.runs.get(id));
        let mut releases: Vec<_> = runs
            .filter_map(|run| Some((self.release(now, run)?, run.need)))
            .collect();
        releases.sort_unstable_by_key(|(at, _)| *at);
        releases
    }

    /// When `wanted` should fit on a minion; `None` when it never will.
    pub(super) fn fits_from(
        &self,
        now: Timestamp,
        minion: &Minion,
        wanted: &Resources,
    ) -> Option<Timestamp> {
        let mut room = minion.free();
        if wanted.fits_in(&room) {
            return Some(now);
        }
        for (at, freed) in self.releases(now, minion).iter() {
            room = room.saturating_add(freed);
            if wanted.fits_in(&room) {
                return Some((*at).max(now));
            }
        }
        None
    }

    /// Run time to reckon with for a task of a queue.
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
