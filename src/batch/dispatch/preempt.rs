//! Preemption: room for urgent tasks by stopping less urgent ones that lose nothing by it.

use std::collections::HashMap;
use std::time::Duration;

use super::minion::Minion;
use super::run::{RunState, charged};
use super::{Dispatcher, ReadyStep};
use crate::batch::model::{Grouping, MinionNumber, Room, StepId, StepSpec, TaskId};
use crate::ids::Timestamp;

/// Most runs stopped in one round; the next round sees what they freed.
const MAX_STOPS: usize = 48;
/// Time between two rounds: each looks at every minion for every waiting task.
const SEEK_EVERY: Duration = Duration::from_millis(50);

/// Room that will come free, less what is promised to tasks earlier in the order.
#[derive(Default)]
struct Coming {
    room: Room,
    promised: Room,
}

impl Dispatcher {
    /// Stops runs of lower priority that save their progress where waiting tasks need the room.
    ///
    /// Answers bursts of urgent work in a full cell. A run that saves its progress writes it once
    /// more when it is stopped, so all that is lost is the time to restore it; a run that does not
    /// is left alone.
    pub(super) fn make_room(&mut self, now: Timestamp, unix: Timestamp, order: &[StepId]) {
        if now < self.room_sought + SEEK_EVERY
            || order.iter().all(|id| !self.ready.contains_key(id))
        {
            return;
        }
        self.room_sought = now;
        let mut coming: HashMap<MinionNumber, Coming> = HashMap::new();
        let leaving = self.leaving.iter().filter_map(|id| self.runs.get(id));
        for run in leaving.filter(|r| r.state != RunState::Ending) {
            coming.entry(run.minion).or_default().room.add(&run.need);
        }
        let mut stops = Vec::new();
        for id in order {
            let Some(step) = self.ready.get(id) else {
                continue;
            };
            let spec = &step.spec.steps[usize::from(id.step)];
            let alone = spec.grouping == Grouping::Single && !spec.fills;
            // A job that is late already earns no more than the work that would yield.
            if !alone || !self.any_yields_to(step) || step.is_late(unix) {
                continue;
            }
            for _ in 0..step.waiting.len() {
                if stops.len() >= MAX_STOPS {
                    break;
                }
                if !self.promise(now, *id, step, spec, &mut coming, &mut stops) {
                    break;
                }
            }
        }
        for task in stops {
            self.stop_run(now, task);
        }
    }

    fn any_yields_to(&self, step: &ReadyStep) -> bool {
        self.least_urgent > step.queue.priority
    }

    /// Finds room for one waiting task; false when there is none to be made.
    fn promise(
        &self,
        now: Timestamp,
        id: StepId,
        step: &ReadyStep,
        spec: &StepSpec,
        coming: &mut HashMap<MinionNumber, Coming>,
        stops: &mut Vec<TaskId>,
    ) -> bool {
        let need = charged(spec);
        let mut best: Option<(u32, MinionNumber, Vec<TaskId>)> = None;
        for minion in self.candidates(id, step) {
            if !self.suits(now, minion, id, step, spec) {
                continue;
            }
            let mut room = minion.free();
            if let Some(there) = coming.get(&minion.number) {
                room.add(&there.room);
                room = room.minus(&there.promised);
            }
            if room.holds(&need) {
                best = Some((0, minion.number, Vec::new()));
                break;
            }
            let priority = step.queue.priority;
            let Some((cost, victims)) = self.victims(minion, priority, room, &need, stops) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, minion.number, victims));
            }
        }
        let Some((_, number, victims)) = best else {
            return false;
        };
        let there = coming.entry(number).or_default();
        there.promised.add(&need);
        for victim in victims {
            there.room.add(&self.runs[&victim].need);
            stops.push(victim);
        }
        true
    }

    /// Minions that the policy may let run a step: those with a ticket, where there is a policy.
    fn candidates(&self, id: StepId, step: &ReadyStep) -> Vec<&Minion> {
        if step.queue.advice.is_none() {
            return self.minions.values().collect();
        }
        let known = self.knowledge.get(&id).into_iter();
        let ticketed = known.flat_map(super::advice::Knowledge::ticketed);
        ticketed
            .filter_map(|number| self.minions.get(&number))
            .collect()
    }

    /// Runs on a minion whose end makes enough room, and the processor share they take; the least
    /// urgent and the latest begun come first.
    fn victims(
        &self,
        minion: &Minion,
        priority: u32,
        mut room: Room,
        need: &Room,
        stops: &[TaskId],
    ) -> Option<(u32, Vec<TaskId>)> {
        let mut yielding: Vec<_> = minion
            .runs
            .iter()
            .filter_map(|id| Some((id, self.runs.get(id)?)))
            .filter(|(id, run)| {
                run.yields
                    && run.priority > priority
                    && !run.is_leaving()
                    && matches!(run.state, RunState::Running(_))
                    && !stops.contains(id)
            })
            .collect();
        yielding.sort_unstable_by_key(|(id, run)| {
            (std::cmp::Reverse((run.priority, run.proposed)), **id)
        });
        let mut victims = Vec::new();
        let mut cost = 0;
        for (id, run) in yielding {
            if room.holds(need) {
                break;
            }
            room.add(&run.need);
            cost += run.need.millicores;
            victims.push(*id);
        }
        room.holds(need).then_some((cost, victims))
    }

    /// Room that a minion could make for work of a priority: what is free, what is coming free and
    /// what would yield.
    pub(super) fn reach(&self, minion: &Minion, priority: u32) -> Room {
        let mut room = minion.free();
        for id in &minion.runs {
            if let Some(run) = self.runs.get(id)
                && (run.is_leaving() || (run.yields && run.priority > priority))
            {
                room.add(&run.need);
            }
        }
        room
    }
}
