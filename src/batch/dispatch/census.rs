//! What the leader tells of the cell as a whole, and of the steps that wait longest.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Dispatcher, ReadyStep, charged};
use crate::batch::model::StepId;
use crate::batch::note::Note;
use crate::ids::{Timestamp, WorkspaceName};
use crate::resources::Resources;

/// Time between two tellings; an operator's graph needs no finer steps.
const EVERY: Duration = Duration::from_secs(1);
/// Wait after which a step is told of: most start within a second.
const LONG: Duration = Duration::from_secs(3);
/// Steps told of at once, the first in the order of service; a long queue is no longer log.
const TOLD: usize = 4;
/// Workspaces told of at once.
const WORKSPACES_TOLD: usize = 64;

/// Tasks of one workspace that wait.
#[derive(Clone, Copy, Default)]
struct WaitingTasks {
    all: usize,
    /// Those whose steps wait for the workspace's limit.
    limited: usize,
}

impl Dispatcher {
    /// Tells how full the cell is and which steps wait, once a second.
    pub(super) fn take_census(&mut self, now: Timestamp, unix: Timestamp) {
        if now < self.census_at {
            return;
        }
        self.census_at = now + EVERY;
        let taking = || self.minions.values().filter(|m| m.takes_work(now));
        let sum = |sum: Resources, part: &Resources| sum.saturating_add(part);
        let cell = Note::Cell {
            minions: taking().count(),
            used: taking().map(|m| &m.used).fold(Resources::ZERO, sum),
            capacity: taking()
                .map(|m| &m.report.capacity)
                .fold(Resources::ZERO, sum),
            waiting: self.ready.values().map(|step| step.waiting.len()).sum(),
            steps: self.ready.len(),
            questions: self.questions.count(),
            agents: self.agents,
        };
        self.note(cell);
        for note in self.workspace_uses() {
            self.note(note);
        }
        let order = self.service_order(unix);
        let long = order.iter().filter_map(|id| {
            let step = self.ready.get(id)?;
            let age = unix.saturating_sub(step.accepted);
            (age > LONG).then(|| self.waits(now, *id, step, age))
        });
        for note in long.take(TOLD).collect::<Vec<_>>() {
            self.note(note);
        }
    }

    fn waits(&self, now: Timestamp, id: StepId, step: &ReadyStep, age: Duration) -> Note {
        let spec = &step.spec.steps[usize::from(id.step)];
        let need = charged(spec);
        let knowledge = self.knowledge.get(&id);
        let mut suitable = self.candidates(id, step);
        suitable.retain(|m| self.suits(now, m, id, step, spec));
        let with_room = suitable.iter().filter(|m| need.fits_in(&m.free()));
        Note::StepWaits {
            step: id,
            waiting: step.waiting.len(),
            age,
            good: knowledge.map_or(0, |k| k.good_count()),
            tickets: suitable.len(),
            room: with_room.count(),
            asked: knowledge.is_some_and(|k| k.is_asked()),
            limited: !self.is_allowed(step, spec),
            surplus: step.is_surplus(),
        }
    }

    /// Workspaces with a limit, those that are nearest to it first.
    fn workspace_uses(&self) -> Vec<Note> {
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
        let mut uses: Vec<_> = self.quotas.uses().collect();
        let parts = |(_, used, limit): &(_, Resources, Resources)| used.dominant_share(limit);
        uses.sort_by(|a, b| parts(b).total_cmp(&parts(a)));
        uses.truncate(WORKSPACES_TOLD);
        let uses = uses.into_iter().map(|(name, used, limit)| {
            let waiting = waiting.get(name).copied().unwrap_or_default();
            Note::WorkspaceUse {
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
