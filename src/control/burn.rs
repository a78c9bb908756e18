//! The leader's count of tasks' first starts against the objectives.

use std::time::Duration;

use super::machine::{Command, Machine};
use crate::document::ObjectiveTarget;
use crate::ids::Timestamp;
use crate::placement::Placer;
use crate::slo::{BurnReport, Dimensions, Event, Outcome};
use crate::state::{Cell, JobNumber, WorkerNumber};

/// Time between two writes of the counts to the log. If the leader is lost in between, the counts
/// since the last write are lost.
const FLUSH_INTERVAL: Duration = Duration::from_secs(10);

impl<P: Placer + Send + 'static> Machine<P> {
    pub(super) fn flush_tally(&mut self, now: Timestamp) -> Option<Command> {
        let leader = self.leader.as_mut()?;
        if now < leader.tally_flushed_at + FLUSH_INTERVAL {
            return None;
        }
        leader.tally_flushed_at = now;
        let delta = leader.tally.take();
        (!delta.is_empty()).then_some(Command::Burn(delta))
    }

    /// Error budget and burn rates of every objective.
    pub fn burn_report(&self, now: Timestamp) -> BurnReport {
        self.cell.burn.report(self.cell_time(now))
    }
}

/// The objectives' event for the first start of a task: how long it waited since its job was
/// accepted.
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
