//! Finding room for one task or for a whole gang.

use std::collections::HashMap;

use super::cell::Cell;
use super::classes::{Class, Group, GroupIx};
use super::records::{JobIx, Worker, WorkerIx};
use crate::ids::{AcceleratorName, Timestamp, ZoneName};
use crate::resources::Resources;
use crate::workload::{Band, JobSpec, Spread};

/// Members of an uncertain class that a first pass looks at.
const PROBES: usize = 4;
/// Cost of putting a task without accelerators on a worker that has some.
const ACCELERATOR_COST: u32 = 4000;
/// Full scale of the cost of left-over room.
const SCALE: u64 = 1000;

/// What is looked for.
#[derive(Debug)]
pub(crate) struct Ask<'a> {
    pub(crate) job: JobIx,
    pub(crate) band: Band,
    pub(crate) need: Resources,
    pub(crate) accelerator: Option<&'a AcceleratorName>,
    pub(crate) zones: &'a [ZoneName],
    pub(crate) spread: Spread,
    pub(crate) domains: &'a HashMap<u32, u32>,
    /// Workers on which the job failed.
    pub(crate) avoid: &'a [WorkerIx],
    /// When the task is expected to end, for rooms held for others.
    pub(crate) ends: Timestamp,
}

impl<'a> Ask<'a> {
    pub(crate) fn new(cell: &'a Cell, job: JobIx, need: Resources, ends: Timestamp) -> Self {
        let known = cell.job(job);
        Self {
            job,
            band: known.spec.band,
            need,
            accelerator: known.spec.accelerator.as_ref(),
            zones: &known.spec.zones,
            spread: known.spec.spread,
            domains: &known.domains,
            avoid: &known.failed_on,
            ends,
        }
    }

    /// Says whether workers of the group may run the task at all.
    pub(crate) fn suits(&self, group: &Group) -> bool {
        suits(self.accelerator, self.zones, &self.need, group)
    }

    /// Says whether a worker may be used although its room is held.
    pub(crate) fn may_use_held(&self, worker: &Worker) -> bool {
        match worker.hold {
            None => true,
            Some(hold) => hold.job == self.job || self.band > hold.band || self.ends <= hold.until,
        }
    }
}

/// Says whether workers of the group may run tasks of the job at all.
pub(crate) fn group_suits(spec: &JobSpec, need: &Resources, group: &Group) -> bool {
    suits(spec.accelerator.as_ref(), &spec.zones, need, group)
}

fn suits(
    accelerator: Option<&AcceleratorName>,
    zones: &[ZoneName],
    need: &Resources,
    group: &Group,
) -> bool {
    let typed = need.accelerators == 0
        || accelerator.is_none()
        || accelerator == group.accelerator.as_ref();
    typed && need.fits_in(&group.capacity) && (zones.is_empty() || zones.contains(&group.zone))
}

/// Finds a worker for one task, the tightest fit first. `held` lists workers with held room.
pub(crate) fn find(cell: &Cell, ask: &Ask<'_>, held: &[WorkerIx]) -> Option<WorkerIx> {
    if ask.spread != Spread::None {
        return find_spread(cell, ask, held);
    }
    find_held(cell, ask, held)
        .or_else(|| find_by_class(cell, ask, PROBES))
        .or_else(|| find_by_class(cell, ask, usize::MAX))
        .or_else(|| find_avoided(cell, ask))
}

fn find_held(cell: &Cell, ask: &Ask<'_>, held: &[WorkerIx]) -> Option<WorkerIx> {
    held.iter().copied().find(|&ix| {
        let worker = cell.worker(ix);
        worker.open() && fits(cell, ask, worker) && ask.may_use_held(worker)
    })
}

fn fits(cell: &Cell, ask: &Ask<'_>, worker: &Worker) -> bool {
    let Some(group) = worker.slot.group else {
        return false;
    };
    ask.need.fits_in(&worker.room()) && ask.suits(&cell.index.groups[group as usize])
}

fn find_by_class(cell: &Cell, ask: &Ask<'_>, probes: usize) -> Option<WorkerIx> {
    let mut best = None;
    for group in &cell.index.groups {
        if !ask.suits(group) {
            continue;
        }
        for &class in &group.active {
            let class = &cell.index.classes[class as usize];
            if !ask.need.fits_in(&class.ceiling) {
                continue;
            }
            let cost = cost(&ask.need, &class.floor, group);
            if best.is_some_and(|(least, _)| least <= cost) {
                continue;
            }
            if let Some(ix) = member(cell, ask, class, probes) {
                best = Some((cost, ix));
            }
        }
    }
    best.map(|(_, ix)| ix)
}

fn member(cell: &Cell, ask: &Ask<'_>, class: &Class, probes: usize) -> Option<WorkerIx> {
    let sure = ask.need.fits_in(&class.floor);
    let members = class.members.iter().rev().copied();
    members
        .filter(|ix| !ask.avoid.contains(ix))
        .take(probes)
        .find(|&ix| sure || ask.need.fits_in(&cell.worker(ix).room()))
}

/// A worker on which the job failed is better than none.
fn find_avoided(cell: &Cell, ask: &Ask<'_>) -> Option<WorkerIx> {
    ask.avoid.iter().copied().find(|&ix| {
        let known = cell.workers[ix as usize].as_ref();
        known.is_some_and(|w| w.open() && w.hold.is_none() && fits(cell, ask, w))
    })
}

fn find_spread(cell: &Cell, ask: &Ask<'_>, held: &[WorkerIx]) -> Option<WorkerIx> {
    let mut best: Option<(bool, u32, u32, WorkerIx)> = None;
    let mut consider = |ix: WorkerIx, group: &Group| {
        let worker = cell.worker(ix);
        let avoided = ask.avoid.contains(&ix);
        let domain = worker.domain(ix, ask.spread);
        let there = ask.domains.get(&domain).copied().unwrap_or(0);
        if best.is_some_and(|(a, n, _, _)| (a, n) < (avoided, there)) {
            return;
        }
        let room = worker.room();
        if !ask.need.fits_in(&room) {
            return;
        }
        let candidate = (avoided, there, cost(&ask.need, &room, group), ix);
        if best.is_none_or(|known| candidate < known) {
            best = Some(candidate);
        }
    };
    for group in cell.index.groups.iter().filter(|g| ask.suits(g)) {
        for &class in &group.active {
            let class = &cell.index.classes[class as usize];
            if ask.need.fits_in(&class.ceiling) {
                class.members.iter().for_each(|&ix| consider(ix, group));
            }
        }
    }
    for &ix in held {
        let worker = cell.worker(ix);
        if worker.open() && fits(cell, ask, worker) && ask.may_use_held(worker) {
            let group = worker.slot.group.expect("indexed worker");
            consider(ix, &cell.index.groups[group as usize]);
        }
    }
    best.map(|(_, _, _, ix)| ix)
}

/// Cost of a place: the room left over, and how unevenly it is left over, so that neither
/// processors nor memory are stranded.
fn cost(need: &Resources, room: &Resources, group: &Group) -> u32 {
    let left = room.saturating_sub(need);
    let part = |n: u32, all: u32| u64::from(n) * SCALE / u64::from(all.max(1));
    let cores = part(left.millicores, group.capacity.millicores);
    let memory = part(left.memory_mb, group.capacity.memory_mb);
    let uneven = cores.abs_diff(memory);
    let waste = if need.accelerators == 0 && group.capacity.accelerators > 0 {
        ACCELERATOR_COST
    } else {
        0
    };
    (cores + memory + uneven) as u32 + waste
}

/// Finds room for `n` tasks at once, or for none.
pub(crate) fn find_gang(
    cell: &Cell,
    ask: &Ask<'_>,
    n: u32,
    held: &[WorkerIx],
) -> Option<Vec<WorkerIx>> {
    let mut open = candidates(cell, ask, held);
    if ask.spread != Spread::None {
        return spread_gang(cell, ask, n, &mut open);
    }
    open.sort_by_key(|&(ix, fits)| (ask.avoid.contains(&ix), std::cmp::Reverse(fits), ix));
    let mut picks = Vec::with_capacity(n as usize);
    for (ix, fits) in open {
        let missing = n as usize - picks.len();
        picks.extend(std::iter::repeat_n(ix, missing.min(fits as usize)));
        if picks.len() == n as usize {
            return Some(picks);
        }
    }
    None
}

/// Tasks that fit now on all workers together.
pub(crate) fn room_for(cell: &Cell, ask: &Ask<'_>, held: &[WorkerIx]) -> u32 {
    let open = candidates(cell, ask, held).into_iter();
    open.fold(0, |sum, (_, n)| sum.saturating_add(n))
}

/// Workers with room for at least one task, with the number they have room for.
fn candidates(cell: &Cell, ask: &Ask<'_>, held: &[WorkerIx]) -> Vec<(WorkerIx, u32)> {
    let mut open = Vec::new();
    for group in cell.index.groups.iter().filter(|g| ask.suits(g)) {
        for &class in &group.active {
            let class = &cell.index.classes[class as usize];
            if ask.need.fits_in(&class.ceiling) {
                let members = class.members.iter();
                open.extend(members.map(|&ix| (ix, ask.need.times_in(&cell.worker(ix).room()))));
            }
        }
    }
    for &ix in held {
        let worker = cell.worker(ix);
        if worker.open() && fits(cell, ask, worker) && ask.may_use_held(worker) {
            open.push((ix, ask.need.times_in(&worker.room())));
        }
    }
    open.retain(|&(_, n)| n > 0);
    open
}

fn spread_gang(
    cell: &Cell,
    ask: &Ask<'_>,
    n: u32,
    open: &mut [(WorkerIx, u32)],
) -> Option<Vec<WorkerIx>> {
    let mut there = ask.domains.clone();
    let mut picks = Vec::with_capacity(n as usize);
    for _ in 0..n {
        let domain = |ix: WorkerIx| cell.worker(ix).domain(ix, ask.spread);
        let best = open
            .iter_mut()
            .filter(|(_, room)| *room > 0)
            .min_by_key(|(ix, _)| (there.get(&domain(*ix)).copied().unwrap_or(0), *ix))?;
        best.1 -= 1;
        picks.push(best.0);
        *there.entry(domain(best.0)).or_default() += 1;
    }
    Some(picks)
}

/// How many tasks of the job all suitable workers could hold when empty.
pub(crate) fn largest_gang(cell: &Cell, spec: &JobSpec, need: &Resources) -> u64 {
    let groups = cell.index.groups.iter();
    groups
        .filter(|g| group_suits(spec, need, g))
        .map(|g| u64::from(g.peak) * u64::from(need.times_in(&g.capacity)))
        .sum()
}

/// Groups that could hold one task of the job on an empty worker.
pub(crate) fn any_group(cell: &Cell, spec: &JobSpec, need: &Resources) -> Option<GroupIx> {
    let mut groups = cell.index.groups.iter();
    let found = groups.position(|g| g.peak > 0 && group_suits(spec, need, g));
    found.map(|i| i as GroupIx)
}
