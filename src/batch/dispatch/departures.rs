//! Runs that are moved off a minion before it ends as announced.
//!
//! A minion that has ended can't be told from one that is cut off, so its runs wait for the end of
//! its lease. A run that is stopped before continues elsewhere as soon as its minion lists its end.

use std::time::Duration;

use super::Dispatcher;
use super::run::{Run, RunState, StopState};
use crate::batch::event::Event;
use crate::batch::model::MinionNumber;
use crate::ids::Timestamp;

/// Time for a stop order and the listing of the end, besides the time that a run takes to stop.
const STOP_ROUND_TRIP: Duration = Duration::from_millis(500);

impl Dispatcher {
    /// Stops the runs that would not end before their minion does, and that lose no work by a stop.
    pub(super) fn move_runs_before_end(&mut self, now: Timestamp, number: MinionNumber) {
        let Some(minion) = self.minions.get(&number) else {
            return;
        };
        let Some(end) = minion.ends_after.filter(|_| minion.is_responsive()) else {
            return;
        };
        if now + self.cfg.stop_time + STOP_ROUND_TRIP < end {
            return;
        }
        let outlasts = |run: &Run| run.expected_end(now).is_none_or(|at| at > end);
        let moved: Vec<_> = minion
            .runs
            .iter()
            .filter_map(|id| Some((*id, self.runs.get(id)?)))
            .filter(|(_, run)| run.movable && run.stop == StopState::No)
            .filter(|(_, run)| matches!(run.state, RunState::Running(_)) && outlasts(run))
            .map(|(id, run)| (id, run.run))
            .collect();
        for (id, run) in moved {
            let task = id.original();
            self.emit(Event::RunMoved { task, run });
            self.stop_run(now, id);
        }
    }
}
