//! Index of the workers by capacity, availability zone and free room.
//!
//! Searches examine classes of workers rather than single workers. Free room is divided into
//! levels of one sixteenth of the capacity, which bounds the number of classes per group.

use std::collections::HashMap;

use super::records::WorkerIx;
use crate::ids::{AcceleratorName, ZoneName};
use crate::resources::Resources;
use crate::workload::WorkerSpec;

/// Index of a group in [`ClassIndex::groups`].
pub(crate) type GroupIx = u32;
/// Index of a class in [`ClassIndex::classes`].
pub(crate) type ClassIx = u32;

/// Number of levels into which the free processors and memory of a worker are divided.
const LEVELS: u64 = 16;

/// Workers of one capacity and accelerator type in one availability zone.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) zone: ZoneName,
    pub(crate) accelerator: Option<AcceleratorName>,
    pub(crate) capacity: Resources,
    /// Classes that have members.
    pub(crate) active: Vec<ClassIx>,
    /// Number of workers, whatever their state.
    pub(crate) worker_count: u32,
    /// Largest number of workers so far. A lost worker may come back, so a job is reported as
    /// fitting nowhere only if this many workers would not be enough either.
    pub(crate) peak_workers: u32,
}

/// Workers of one group whose free room is on the same levels.
#[derive(Debug)]
pub(crate) struct Class {
    /// Every member has at least this much room.
    pub(crate) floor: Resources,
    /// No member has more room than this.
    pub(crate) ceiling: Resources,
    pub(crate) members: Vec<WorkerIx>,
    group: GroupIx,
    active_pos: u32,
}

/// A worker's position in the index.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IndexPosition {
    pub(crate) class: Option<ClassIx>,
    pub(crate) pos: u32,
    pub(crate) group: Option<GroupIx>,
}

/// A worker's new position, and the worker that moved to its old one.
pub(crate) struct IndexUpdate {
    pub(crate) position: IndexPosition,
    pub(crate) moved: Option<(WorkerIx, u32)>,
}

type ShapeKey = (ZoneName, Option<AcceleratorName>, Resources);
type ClassKey = (GroupIx, u8, u8, u32);

/// The groups and classes of all workers.
#[derive(Debug, Default)]
pub(crate) struct ClassIndex {
    pub(crate) groups: Vec<Group>,
    pub(crate) classes: Vec<Class>,
    group_ix: HashMap<ShapeKey, GroupIx>,
    class_ix: HashMap<ClassKey, ClassIx>,
}

impl ClassIndex {
    /// Moves a worker to the class of its room. Without room it belongs to no class and is not
    /// found by searches.
    pub(crate) fn update(
        &mut self,
        ix: WorkerIx,
        old: IndexPosition,
        spec: &WorkerSpec,
        room: Option<Resources>,
    ) -> IndexUpdate {
        let group = self.group_of(old, spec);
        let class = room.map(|room| self.class_of(group, &room));
        let mut position = IndexPosition {
            class,
            pos: old.pos,
            group: Some(group),
        };
        if old.class == class {
            return IndexUpdate {
                position,
                moved: None,
            };
        }
        let moved = old.class.and_then(|c| self.leave(c, old.pos));
        if let Some(class) = class {
            position.pos = self.join(class, ix);
        }
        IndexUpdate { position, moved }
    }

    fn group_of(&mut self, old: IndexPosition, spec: &WorkerSpec) -> GroupIx {
        if let Some(ix) = old.group {
            let group = &self.groups[ix as usize];
            let same = group.capacity == spec.capacity
                && group.zone == spec.zone
                && group.accelerator == spec.accelerator;
            if same {
                return ix;
            }
            self.groups[ix as usize].worker_count -= 1;
        }
        let key = (spec.zone.clone(), spec.accelerator.clone(), spec.capacity);
        let next = self.groups.len() as GroupIx;
        let ix = *self.group_ix.entry(key).or_insert(next);
        if ix == next {
            self.groups.push(Group {
                zone: spec.zone.clone(),
                accelerator: spec.accelerator.clone(),
                capacity: spec.capacity,
                active: Vec::new(),
                worker_count: 0,
                peak_workers: 0,
            });
        }
        let group = &mut self.groups[ix as usize];
        group.worker_count += 1;
        group.peak_workers = group.peak_workers.max(group.worker_count);
        ix
    }

    fn class_of(&mut self, group: GroupIx, room: &Resources) -> ClassIx {
        let capacity = self.groups[group as usize].capacity;
        let cores = level(room.millicores, capacity.millicores);
        let memory = level(room.memory_mb, capacity.memory_mb);
        let key = (group, cores, memory, room.accelerators);
        let next = self.classes.len() as ClassIx;
        let ix = *self.class_ix.entry(key).or_insert(next);
        if ix == next {
            let (floor_cores, ceiling_cores) = bounds(cores, capacity.millicores);
            let (floor_memory, ceiling_memory) = bounds(memory, capacity.memory_mb);
            self.classes.push(Class {
                floor: Resources {
                    millicores: floor_cores,
                    memory_mb: floor_memory,
                    accelerators: room.accelerators,
                },
                ceiling: Resources {
                    millicores: ceiling_cores,
                    memory_mb: ceiling_memory,
                    accelerators: room.accelerators,
                },
                members: Vec::new(),
                group,
                active_pos: 0,
            });
        }
        ix
    }

    fn join(&mut self, class: ClassIx, ix: WorkerIx) -> u32 {
        let c = &mut self.classes[class as usize];
        if c.members.is_empty() {
            let active = &mut self.groups[c.group as usize].active;
            c.active_pos = active.len() as u32;
            active.push(class);
        }
        c.members.push(ix);
        (c.members.len() - 1) as u32
    }

    fn leave(&mut self, class: ClassIx, pos: u32) -> Option<(WorkerIx, u32)> {
        let c = &mut self.classes[class as usize];
        c.members.swap_remove(pos as usize);
        let moved = c.members.get(pos as usize).map(|&ix| (ix, pos));
        if c.members.is_empty() {
            let (group, at) = (c.group as usize, c.active_pos);
            self.groups[group].active.swap_remove(at as usize);
            if let Some(&other) = self.groups[group].active.get(at as usize) {
                self.classes[other as usize].active_pos = at;
            }
        }
        moved
    }
}

/// The level of a free amount, from 0 for nothing to `LEVELS` for the whole capacity.
fn level(free: u32, capacity: u32) -> u8 {
    if capacity == 0 {
        return 0;
    }
    (u64::from(free) * LEVELS / u64::from(capacity)).min(LEVELS) as u8
}

/// The smallest and the largest amount on a level.
fn bounds(level: u8, capacity: u32) -> (u32, u32) {
    let first = |l: u64| (l * u64::from(capacity)).div_ceil(LEVELS) as u32;
    let floor = first(u64::from(level));
    if u64::from(level) >= LEVELS || capacity == 0 {
        return (floor, capacity);
    }
    (floor, first(u64::from(level) + 1) - 1)
}
