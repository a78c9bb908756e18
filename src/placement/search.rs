//! Search for workers with room for one task or for a whole gang.

use std::collections::HashMap;

use super::cell::Cell;
use super::classes::{Class, Group, GroupIx};
use super::records::{JobIx, Worker, WorkerIx};
use crate::ids::{AcceleratorName, Timestamp, ZoneName};
use crate::resources::Resources;
use crate::workload::{Band, JobSpec, Spread};

/// Members of a class checked in the first pass when only some of them may have room.
const MAX_PROBES: usize = 4;
/// Cost of placing a task that needs no accelerators on a worker that has some.
const ACCELERATOR_WASTE_COST: u32 = 4000;
/// Cost of one resource of a worker being left entirely free.
const COST_SCALE: u64 = 1000;

/// A task's requirements for the search.
#[derive(Debug)]
pub(crate) struct SearchRequest<'a> {
    pub(crate) job: JobIx,
    pub(crate) band: Band,
    pub(crate) need: Resources,
    pub(crate) accelerator: Option<&'a AcceleratorName>,
    pub(crate) zones: &'a [ZoneName],
    pub(crate) spread: Spread,
    pub(crate) domains: &'a HashMap<u32, u32>,
    /// Workers on which the job failed; used only if no other fits.
    pub(crate) avoid: &'a [WorkerIx],
    /// Expected end of the task; decides whether it may use a worker held for another job.
    pub(crate) ends: Timestamp,
}

impl<'a> SearchRequest<'a> {
    pub(crate) fn new(cell: &'a Cell, job: JobIx, need: Resources, ends: Timestamp) -> Self {
        let record = cell.job(job);
        Self {
            job,
            band: record.spec.band,
            need,
            accelerator: record.spec.accelerator.as_ref(),
            zones: &record.spec.zones,
            spread: record.spec.spread,
            domains: &record.domains,
            avoid: &record.failed_on,
            ends,
        }
    }

    /// Whether workers of the group can run the task when empty.
    pub(crate) fn suits(&self, group: &Group) -> bool {
        suits(self.accelerator, self.zones, &self.need, group)
    }

    /// Whether the worker's hold, if it has one, lets this task start there.
    pub(crate) fn may_use_held(&self, worker: &Worker) -> bool {
        match worker.hold {
            None => true,
            Some(hold) => hold.job == self.job || self.band > hold.band || self.ends <= hold.until,
        }
    }
}

/// Whether workers of the group can run tasks of the job when empty.
pub(crate) fn group_suits(spec: &JobSpec, need: &Resources, group: &Group) -> bool {
    suits(spec.accelerator.as_ref(), &spec.zones, need, group)
}

fn suits(
    accelerator: Option<&AcceleratorName>,
    zones: &[ZoneName],
    need: &Resources,
    group: &Group,
) -> bool {
    let type_matches = need.accelerators == 0
        || accelerator.is_none()
        || accelerator == group.accelerator.as_ref();
    type_matches
        && need.fits_in(&group.capacity)
        && (zones.is_empty() || zones.contains(&group.zone))
}

/// Finds a worker for one task, preferring the tightest fit. `held` lists workers with a hold,
/// which the class index leaves out.
pub(crate) fn find(cell: &Cell, req: &SearchRequest<'_>, held: &[WorkerIx]) -> Option<WorkerIx> {
    if req.spread != Spread::None {
        return find_spread(cell, req, held);
    }
    find_on_held(cell, req, held)
        .or_else(|| find_by_class(cell, req, MAX_PROBES))
        .or_else(|| find_by_class(cell, req, usize::MAX))
        .or_else(|| find_on_avoided(cell, req))
}

fn find_on_held(cell: &Cell, req: &SearchRequest<'_>, held: &[WorkerIx]) -> Option<WorkerIx> {
    held.iter().copied().find(|&ix| {
        let worker = cell.worker(ix);
        worker.open() && fits(cell, req, worker) && req.may_use_held(worker)
    })
}

fn fits(cell: &Cell, req: &SearchRequest<'_>, worker: &Worker) -> bool {
    let Some(group) = worker.position.group else {
        return false;
    };
    req.need.fits_in(&worker.room()) && req.suits(&cell.index.groups[group as usize])
}

fn find_by_class(cell: &Cell, req: &SearchRequest<'_>, probes: usize) -> Option<WorkerIx> {
    let mut best = None;
    for group in &cell.index.groups {
        if !req.suits(group) {
            continue;
        }
        for &class in &group.active {
            let class = &cell.index.classes[class as usize];
            if !req.need.fits_in(&class.ceiling) {
                continue;
            }
            let cost = cost(&req.need, &class.floor, group);
            if best.is_some_and(|(least, _)| least <= cost) {
                continue;
            }
            if let Some(ix) = find_member(cell, req, class, probes) {
                best = Some((cost, ix));
            }
        }
    }
    best.map(|(_, ix)| ix)
}

fn find_member(
    cell: &Cell,
    req: &SearchRequest<'_>,
    class: &Class,
    probes: usize,
) -> Option<WorkerIx> {
    let all_fit = req.need.fits_in(&class.floor);
    let members = class.members.iter().rev().copied();
    members
        .filter(|ix| !req.avoid.contains(ix))
        .take(probes)
        .find(|&ix| all_fit || req.need.fits_in(&cell.worker(ix).room()))
}

/// Falls back to a worker on which the job failed.
fn find_on_avoided(cell: &Cell, req: &SearchRequest<'_>) -> Option<WorkerIx> {
    req.avoid.iter().copied().find(|&ix| {
        let entry = cell.workers[ix as usize].as_ref();
        entry.is_some_and(|w| w.open() && w.hold.is_none() && fits(cell, req, w))
    })
}

fn find_spread(cell: &Cell, req: &SearchRequest<'_>, held: &[WorkerIx]) -> Option<WorkerIx> {
    let mut best: Option<(bool, u32, u32, WorkerIx)> = None;
    let mut consider = |ix: WorkerIx, group: &Group| {
        let worker = cell.worker(ix);
        let avoided = req.avoid.contains(&ix);
        let domain = worker.domain(ix, req.spread);
        let in_domain = req.domains.get(&domain).copied().unwrap_or(0);
        if best.is_some_and(|(a, n, _, _)| (a, n) < (avoided, in_domain)) {
            return;
        }
        let room = worker.room();
        if !req.need.fits_in(&room) {
            return;
        }
        let candidate = (avoided, in_domain, cost(&req.need, &room, group), ix);
        if best.is_none_or(|current| candidate < current) {
            best = Some(candidate);
        }
    };
    for group in cell.index.groups.iter().filter(|g| req.suits(g)) {
        for &class in &group.active {
            let class = &cell.index.classes[class as usize];
            if req.need.fits_in(&class.ceiling) {
                class.members.iter().for_each(|&ix| consider(ix, group));
            }
        }
    }
    for &ix in held {
        let worker = cell.worker(ix);
        if worker.open() && fits(cell, req, worker) && req.may_use_held(worker) {
            let group = worker.position.group.expect("indexed worker");
            consider(ix, &cell.index.groups[group as usize]);
        }
    }
    best.map(|(_, _, _, ix)| ix)
}

/// Cost of a placement: the capacity left over, plus the difference between the leftover shares
/// of processors and memory, so that neither is stranded.
fn cost(need: &Resources, room: &Resources, group: &Group) -> u32 {
    let left = room.saturating_sub(need);
    let part = |n: u32, all: u32| u64::from(n) * COST_SCALE / u64::from(all.max(1));
    let cores = part(left.millicores, group.capacity.millicores);
    let memory = part(left.memory_mb, group.capacity.memory_mb);
    let uneven = cores.abs_diff(memory);
    let accelerator_waste = if need.accelerators == 0 && group.capacity.accelerators > 0 {
        ACCELERATOR_WASTE_COST
    } else {
        0
    };
    (cores + memory + uneven) as u32 + accelerator_waste
}

/// Finds workers for all `n` tasks of a gang, or none.
pub(crate) fn find_gang(
    cell: &Cell,
    req: &SearchRequest<'_>,
    n: u32,
    held: &[WorkerIx],
) -> Option<Vec<WorkerIx>> {
    let mut open = candidates(cell, req, held);
    if req.spread != Spread::None {
        return spread_gang(cell, req, n, &mut open);
    }
    open.sort_by_key(|&(ix, fits)| (req.avoid.contains(&ix), std::cmp::Reverse(fits), ix));
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

/// Number of tasks that fit now on all workers together.
pub(crate) fn count_fits(cell: &Cell, req: &SearchRequest<'_>, held: &[WorkerIx]) -> u32 {
    let open = candidates(cell, req, held).into_iter();
    open.fold(0, |sum, (_, n)| sum.saturating_add(n))
}

/// Workers with room for at least one task, each with the number of tasks that fit.
fn candidates(cell: &Cell, req: &SearchRequest<'_>, held: &[WorkerIx]) -> Vec<(WorkerIx, u32)> {
    let mut open = Vec::new();
    for group in cell.index.groups.iter().filter(|g| req.suits(g)) {
        for &class in &group.active {
            let class = &cell.index.classes[class as usize];
            if req.need.fits_in(&class.ceiling) {
                let members = class.members.iter();
                open.extend(members.map(|&ix| (ix, req.need.times_in(&cell.worker(ix).room()))));
            }
        }
    }
    for &ix in held {
        let worker = cell.worker(ix);
        if worker.open() && fits(cell, req, worker) && req.may_use_held(worker) {
            open.push((ix, req.need.times_in(&worker.room())));
        }
    }
    open.retain(|&(_, n)| n > 0);
    open
}

fn spread_gang(
    cell: &Cell,
    req: &SearchRequest<'_>,
    n: u32,
    open: &mut [(WorkerIx, u32)],
) -> Option<Vec<WorkerIx>> {
    let mut in_domain = req.domains.clone();
    let mut picks = Vec::with_capacity(n as usize);
    for _ in 0..n {
        let domain = |ix: WorkerIx| cell.worker(ix).domain(ix, req.spread);
        let best = open
            .iter_mut()
            .filter(|(_, room)| *room > 0)
            .min_by_key(|(ix, _)| (in_domain.get(&domain(*ix)).copied().unwrap_or(0), *ix))?;
        best.1 -= 1;
        picks.push(best.0);
        *in_domain.entry(domain(best.0)).or_default() += 1;
    }
    Some(picks)
}

/// Number of tasks of the job that all suitable workers could hold when empty.
pub(crate) fn max_tasks_when_empty(cell: &Cell, spec: &JobSpec, need: &Resources) -> u64 {
    let groups = cell.index.groups.iter();
    groups
        .filter(|g| group_suits(spec, need, g))
        .map(|g| u64::from(g.peak_workers) * u64::from(need.times_in(&g.capacity)))
        .sum()
}

/// First group whose workers could hold one task of the job when empty.
pub(crate) fn find_empty_fit(cell: &Cell, spec: &JobSpec, need: &Resources) -> Option<GroupIx> {
    let mut groups = cell.index.groups.iter();
    let found = groups.position(|g| g.peak_workers > 0 && group_suits(spec, need, g));
    found.map(|i| i as GroupIx)
}
