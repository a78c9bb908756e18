//! Placement of gangs: all members start together, or none.

use std::collections::BTreeMap;

use super::advice::max_tasks_in;
use super::minion::Minion;
use super::place::Score;
use super::{Dispatcher, ReadyStep, demand};
use crate::batch::ledger::Ledger;
use crate::batch::model::{MinionNumber, StepId, StepSpec};
use crate::ids::Timestamp;
use crate::resources::Resources;

impl Dispatcher {
    /// Places all members of a gang, or leaves the step unchanged.
    pub(super) fn place_gang(
        &mut self,
        now: Timestamp,
        id: StepId,
        step: &mut ReadyStep,
        spec: &StepSpec,
        ledger: &Ledger,
    ) {
        if !self.is_allowed(step, spec) {
            return;
        }
        let mut members = step.waiting.iter().map(|index| id.task(*index));
        if !members.all(|task| self.waiting_record(ledger, task).is_some()) {
            return;
        }
        let places = self.gang_places(now, id, step, spec);
        let size = step.waiting.len();
        let chosen = if spec.one_rack {
            // A gang across racks works too, only slower; waiting for one rack could take forever.
            one_rack(&places, size).or_else(|| any_rack(&places, size))
        } else {
            any_rack(&places, size)
        };
        let Some(chosen) = chosen else {
            return;
        };
        let run = step
            .waiting
            .iter()
            .filter_map(|index| ledger.task(id.task(*index)))
            .map(|task| task.run + 1)
            .max()
            .unwrap_or(1);
        let members = std::mem::take(&mut step.waiting);
        for (index, minion) in members.into_iter().zip(chosen) {
            self.propose_start(now, id.task(index), step, spec, minion, run, ledger);
        }
    }

    /// Minions that can run members of a gang, by rack, the best score first. On a minion
    /// that is on probation after failures, all members together are one run: with room for one
    /// member only, a gang that suits no other minion never started again.
    fn gang_places(
        &self,
        now: Timestamp,
        id: StepId,
        step: &ReadyStep,
        spec: &StepSpec,
    ) -> SlotsByRack {
        let need = demand(spec);
        let mut places = SlotsByRack::new();
        for minion in self.candidates(id, step) {
            if !self.may_run(now, minion, id, step, spec, &need) {
                continue;
            }
            let most = spec.max_per_minion.unwrap_or(u32::MAX);
            let most = max_tasks_in(&minion.free(), &need).min(most);
            let slots = self.members_beside_reservations(now, minion, step, spec, most);
            let rack = places.entry(minion.rack).or_default();
            rack.push(MinionSlots {
                score: self.score(minion, step, spec, &need),
                slots,
                minion: minion.number,
            });
        }
        for rack in places.values_mut() {
            rack.sort_unstable_by_key(|place| place.score);
        }
        places
    }

    /// How many members of a gang, at most `most`, may start on a minion without delaying the tasks
    /// with reservations there.
    fn members_beside_reservations(
        &self,
        now: Timestamp,
        minion: &Minion,
        step: &ReadyStep,
        spec: &StepSpec,
        most: u32,
    ) -> u32 {
        if self.reservations.is_open(minion.number) {
            return most;
        }
        let need = demand(spec);
        let most = most.min(step.waiting.len() as u32);
        let sums = (0..most).scan(Resources::ZERO, |sum, _| {
            *sum = sum.saturating_add(&need);
            Some(*sum)
        });
        let fitting =
            sums.take_while(|sum| self.respects_reservations(now, minion, step, spec, sum));
        fitting.count() as u32
    }
}

/// Minions that can run members, by rack, best first.
type SlotsByRack = BTreeMap<usize, Vec<MinionSlots>>;

/// A minion that can run members of a gang.
#[derive(Clone, Copy)]
struct MinionSlots {
    score: Score,
    /// Members that fit on it.
    slots: u32,
    minion: MinionNumber,
}

fn one_rack(places: &SlotsByRack, size: usize) -> Option<Vec<MinionNumber>> {
    places.values().find_map(|rack| choose(rack, size))
}

fn any_rack(places: &SlotsByRack, size: usize) -> Option<Vec<MinionNumber>> {
    let mut all: Vec<_> = places.values().flatten().copied().collect();
    all.sort_unstable_by_key(|place| place.score);
    choose(&all, size)
}

/// Fills minions in the given order; `None` if they hold fewer than `size` members.
fn choose(places: &[MinionSlots], size: usize) -> Option<Vec<MinionNumber>> {
    let mut chosen = Vec::with_capacity(size);
    for place in places {
        let left = size - chosen.len();
        chosen.extend(std::iter::repeat_n(
            place.minion,
            left.min(place.slots as usize),
        ));
        if chosen.len() == size {
            return Some(chosen);
        }
    }
    None
}
