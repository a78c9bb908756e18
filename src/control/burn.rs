//! Starts counted against the objectives by the leader.

use std::time::Duration;

use super::machine::{Command, Machine};
use crate::document::ObjectiveTarget;
use crate::ids::Timestamp;
use crate::placement::Placer;
use crate::slo::{BurnReport, Dimensions, Event, Outcome};
use crate::state::{Cell, JobNumber, WorkerNumber};

/// Time between two hand-overs to the log. Counts of a leader that is lost in between are lost
/// with it.
const HAND_OVER: Duration = Duration::from_secs(10);

impl<P: Placer + Send + 'static> Machine<P> {
    pub(super) fn hand_over_tally(&mut self, now: Timestamp) -> Option<Command> {
        let lead = self.lead.as_mut()?;
        if now < lead.tallied + HAND_OVER {
            return None;
        }
        lead.tallied = now;
        let delta = lead.tally.take();
        (!delta.is_empty()).then_some(Command::Burn(delta))
    }

    /// The state of every objective.
    pub fn burn_report(&self, now: Timestamp) -> BurnReport {
        self.cell.burn.report(self.cell_time(now))
    }
}

/// The event of a task's first start.
pub(super) fn start_event(cell: &Cell, job: JobNumber, worker: WorkerNumber) -> Option<Event> {
    let job = cell.jobs.get(&job)?;
    let worker = &cell.workers.get(&worker)?.spec;
    Some(Event {
        target: ObjectiveTarget::Kind(job.spec.kind.clone()),
        outcome: Outcome::Took(cell.clock.saturating_sub(job.at)),
        dimensions: Dimensions {
            zone: worker.zone.clone(),
            host: worker.id.clone(),
            team: job.spec.team.clone(),
            kind: job.spec.kind.clone(),
        },
    })
}
