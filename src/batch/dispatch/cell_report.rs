//! Periodic log lines and metrics on the cell as a whole, its workspaces, and steps that wait long.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Dispatcher, ReadyStep, demand};
use crate::batch::event::Event;
use crate::batch::model::StepId;
use crate::ids::{Timestamp, WorkspaceName};
use crate::resources::Resources;

/// Time between two reports; an operator's graph needs no finer resolution.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Wait after which a step is reported: most start within a second.
const LONG_WAIT: Duration = Duration::from_secs(3);
/// Most waiting steps per report, the first in the order of service, so that a long queue does not
/// lengthen the log.
const MAX_STEPS_REPORTED: usize = 4;
/// Most workspaces per report, those nearest to their limits.
const MAX_WORKSPACES_REPORTED: usize = 64;

/// Counts of one workspace's waiting tasks.
#[derive(Clone, Copy, Default)]
struct WaitingTasks {
    all: usize,
    /// Tasks that the workspace's limit keeps from starting.
    limited: usize,
}

impl Dispatcher {
    /// Reports how full the cell is, each limited workspace's use, and steps that wait long, once a
    /// second. `unix` is the time of day.
    pub(super) fn report_cell_state(&mut self, now: Timestamp, unix: Timestamp) {
        if now < self.next_cell_report {
            return;
        }
        self.next_cell_report = now + REPORT_INTERVAL;
        debug_assert!(self.room_index_is_exact());
        let lasting_overdue = self.refresh_without_run(now);
        let sum = |sum: Resources, part: &Resources| sum.saturating_add(part);
        let unservable = self.report_unservable(now);
        let taking = || self.minions.values().filter(|m| m.takes_work(now));
        let cell = Event::Cell {
            minions: taking().count(),
            used: taking().map(|m| &m.used).fold(Resources::ZERO, sum),
            capacity: taking()
                .map(|m| &m.report.capacity)
                .fold(Resources::ZERO, sum),
            waiting: self.ready.values().map(|step| step.waiting.len()).sum(),
            steps: self.ready.len(),
            questions: self.questions.count(),
            agents: self.agents,
            copies: self.active_copies(),
            lasting_overdue,
            unservable,
        };
        self.emit(cell);
        for event in self.workspace_uses() {
            self.emit(event);
        }
        for event in self.lasting_waits(now) {
            self.emit(event);
        }
        let order = self.service_order(unix);
        let long = order.iter().filter_map(|id| {
            let step = self.ready.get(id)?;
            let age = unix.saturating_sub(step.accepted);
            (age > LONG_WAIT).then(|| self.step_wait(now, *id, step, age))
        });
        for event in long.take(MAX_STEPS_REPORTED).collect::<Vec<_>>() {
            self.emit(event);
        }
    }

    fn step_wait(&self, now: Timestamp, id: StepId, step: &ReadyStep, age: Duration) -> Event {
        let spec = &step.spec.steps[usize::from(id.step)];
        let need = demand(spec);
        let step_advice = self.step_advice.get(&id);
        let mut suitable = self.candidates(id, step);
        suitable.retain(|m| self.has_permission(now, m, id, step, spec));
        let with_room = suitable.iter().filter(|m| need.fits_in(&m.free()));
        Event::StepWaits {
            step: id,
            waiting: step.waiting.len(),
            age,
            good: step_advice.map_or(0, |k| k.allowed_count()),
            tickets: suitable.len(),
            room: with_room.count(),
            asked: step_advice.is_some_and(|k| k.is_asked()),
            limited: !self.is_allowed(step, spec),
            excess: step.is_excess(),
        }
    }

    /// Use of the workspaces that have a limit, those nearest to it first.
    fn workspace_uses(&self) -> Vec<Event> {
        let mut waiting: BTreeMap<&WorkspaceName, WaitingTasks> = BTreeMap::new();
        for (id, step) in &self.ready {
            let Some(owner) = &step.owner else { continue };
            let tasks = step.waiting.len();
            let counted = waiting.entry(owner).or_default();
            counted.all += tasks;
            if !self.is_allowed(step, &step.spec.steps[usize::from(id.step)]) {
                counted.limited += tasks;
            }
        }
        let mut uses: Vec<_> = self.quotas.usage_and_limits().collect();
        let parts = |(_, used, limit): &(_, Resources, Resources)| used.dominant_share(limit);
        uses.sort_by(|a, b| parts(b).total_cmp(&parts(a)));
        uses.truncate(MAX_WORKSPACES_REPORTED);
        let uses = uses.into_iter().map(|(name, used, limit)| {
            let waiting = waiting.get(name).copied().unwrap_or_default();
            Event::WorkspaceUse {
                workspace: name.clone(),
                used,
                limit,
                waiting: waiting.all,
                limited: waiting.limited,
            }
        });
        uses.collect()
    }
}
