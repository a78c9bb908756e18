//! Preemption: room for urgent tasks by stopping less urgent ones that lose nothing by it.

use std::collections::HashMap;
use std::time::Duration;

use super::minion::Minion;
use super::run::{RunState, charged};
use super::{Dispatcher, ReadyStep};
use crate::batch::model::{Grouping, MinionNumber, StepId, StepSpec, TaskId};
use crate::batch::note::Note;
use crate::ids::Timestamp;
use crate::resources::Resources;

/// Most runs stopped in one round; the next round sees what they freed.
const MAX_STOPS: usize = 48;
/// Time between two rounds: each looks at every minion for every waiting task.
const SEEK_EVERY: Duration = Duration::from_millis(50);

/// Room that will come free, less what is promised to tasks earlier in the order.
#[derive(Default)]
struct Coming {
    room: Resources,
    promised: Resources,
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
            let there = coming.entry(run.minion).or_default();
            there.room = there.room.saturating_add(&run.need);
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
            if self.room_to_ask_about(now, *id, step, spec) {
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
        for (task, by) in stops {
            let run = self.runs.get(&task).map_or(0, |r| r.run);
            self.note(Note::RunPreempted { task, run, by });
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
        stops: &mut Vec<(TaskId, StepId)>,
    ) -> bool {
        let need = charged(spec);
        let mut best: Option<(u32, MinionNumber, Vec<TaskId>)> = None;
        for minion in self.candidates(id, step) {
            if !self.suits(now, minion, id, step, spec) {
                continue;
            }
            let mut room = minion.free();
            if let Some(there) = coming.get(&minion.number) {
                room = room.saturating_add(&there.room);
                room = room.saturating_sub(&there.promised);
            }
            if need.fits_in(&room) {
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
        there.promised = there.promised.saturating_add(&need);
        for victim in victims {
            there.room = there.room.saturating_add(&self.runs[&victim].need);
            stops.push((victim, id));
        }
        true
    }

    /// Runs on a minion whose end makes enough room, and the processor share they take; the least
    /// urgent and the latest begun come first.
    fn victims(
        &self,
        minion: &Minion,
        priority: u32,
        mut room: Resources,
        need: &Resources,
        stops: &[(TaskId, StepId)],
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
                    && !stops.iter().any(|(task, _)| task == *id)
            })
            .collect();
        yielding.sort_unstable_by_key(|(id, run)| {
            (std::cmp::Reverse((run.priority, run.proposed)), **id)
        });
        let mut victims = Vec::new();
        let mut cost = 0;
        for (id, run) in yielding {
            if need.fits_in(&room) {
                break;
            }
            room = room.saturating_add(&run.need);
            cost += run.need.millicores;
            victims.push(*id);
        }
        need.fits_in(&room).then_some((cost, victims))
    }
}
