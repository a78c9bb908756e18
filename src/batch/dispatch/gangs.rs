//! Gangs: all members at once, or none.

use std::collections::BTreeMap;

use super::advice::fits_times;
use super::place::Score;
use super::{Dispatcher, ReadyStep, charged};
use crate::batch::ledger::Ledger;
use crate::batch::model::{MinionNumber, StepId, StepSpec};
use crate::ids::Timestamp;

impl Dispatcher {
    /// Places every member of a gang, or leaves the step as it is.
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
        if !members.all(|task| self.startable(ledger, task).is_some()) {
            return;
        }
        let places = self.gang_places(now, id, step, spec);
        let wanted = step.waiting.len();
        let chosen = if spec.one_rack {
            // Apart it works too, only slower; but waiting for a rack could take for ever.
            one_rack(&places, wanted).or_else(|| any_rack(&places, wanted))
        } else {
            any_rack(&places, wanted)
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
            self.grant(now, id.task(index), step, spec, minion, run, ledger);
        }
    }

    /// Members that each minion could take, by rack.
    fn gang_places(&self, now: Timestamp, id: StepId, step: &ReadyStep, spec: &StepSpec) -> Places {
        let need = charged(spec);
        let mut places = Places::new();
        for minion in self.minions.values() {
            if !self.may_run(now, minion, id, step, spec, &need) {
                continue;
            }
            let most = spec.max_per_minion.unwrap_or(u32::MAX);
            let times = if self.claims.is_open(minion.number) {
                fits_times(&minion.free(), &need).min(most)
            } else {
                1
            };
            let rack = places.entry(minion.rack).or_default();
            rack.push(Place {
                score: self.score(minion, step, spec, &need),
                times,
                minion: minion.number,
            });
        }
        for rack in places.values_mut() {
            rack.sort_unstable_by_key(|place| place.score);
        }
        places
    }
}

/// Minions that can take members, best first, by rack.
type Places = BTreeMap<usize, Vec<Place>>;

/// A minion that can take members of a gang.
#[derive(Clone, Copy)]
struct Place {
    score: Score,
    /// How many.
    times: u32,
    minion: MinionNumber,
}

fn one_rack(places: &Places, wanted: usize) -> Option<Vec<MinionNumber>> {
    places.values().find_map(|rack| take(rack, wanted))
}

fn any_rack(places: &Places, wanted: usize) -> Option<Vec<MinionNumber>> {
    let mut all: Vec<_> = places.values().flatten().copied().collect();
    all.sort_unstable_by_key(|place| place.score);
    take(&all, wanted)
}

fn take(places: &[Place], wanted: usize) -> Option<Vec<MinionNumber>> {
    let mut chosen = Vec::with_capacity(wanted);
    for place in places {
        let left = wanted - chosen.len();
        chosen.extend(std::iter::repeat_n(
            place.minion,
            left.min(place.times as usize),
        ));
        if chosen.len() == wanted {
            return Some(chosen);
        }
    }
    None
}
