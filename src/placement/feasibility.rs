//! Detects jobs that fit on no worker and explains which resource is short.

use super::cell::Cell;
use super::classes::Group;
use super::search;
use crate::resources::Resources;
use crate::workload::{JobSpec, WorkClass};

/// Explains in one sentence why a job fits on no worker; `None` if it does fit, or while no worker
/// is known.
pub(crate) fn reason(cell: &Cell, spec: &JobSpec) -> Option<String> {
    let all_groups: Vec<&Group> = cell
        .index
        .groups
        .iter()
        .filter(|g| g.peak_workers > 0)
        .collect();
    if all_groups.is_empty() {
        return None;
    }
    if search::find_empty_fit(cell, spec, &spec.need).is_none() {
        return Some(task_reason(&all_groups, spec));
    }
    if spec.class != WorkClass::Gang {
        return None;
    }
    let most = search::max_tasks_when_empty(cell, spec, &spec.need);
    (most < u64::from(spec.tasks)).then(|| {
        format!(
            "its {} tasks start all at once, but all suitable workers together hold {most} \
             when empty",
            spec.tasks
        )
    })
}

/// Sum of the largest numbers of workers that the groups have had so far, which may be more than
/// the workers present now.
fn count(groups: &[&Group]) -> u32 {
    groups.iter().map(|g| g.peak_workers).sum()
}

/// Applies the requirements one after the other; the reason is the first one that none of the
/// workers left by the earlier ones meets.
fn task_reason(all_groups: &[&Group], spec: &JobSpec) -> String {
    let mut remaining = all_groups.to_vec();
    for check in Requirement::ALL {
        let meets: Vec<&Group> = remaining
            .iter()
            .copied()
            .filter(|g| check.met(spec, g))
            .collect();
        if meets.is_empty() {
            let largest = remaining
                .iter()
                .map(|g| check.amount_in(g))
                .max()
                .unwrap_or(0);
            let workers: u32 = remaining
                .iter()
                .filter(|g| check.amount_in(g) == largest)
                .map(|g| g.peak_workers)
                .sum();
            return check.sentence(spec, largest, workers, count(all_groups));
        }
        remaining = meets;
    }
    "no worker meets all of its requirements at once".to_owned()
}

/// A requirement of a task, in the order of checking.
#[derive(Clone, Copy)]
enum Requirement {
    Zone,
    Accelerator,
    Accelerators,
    Cores,
    Memory,
}

impl Requirement {
    const ALL: [Self; 5] = [
        Self::Zone,
        Self::Accelerator,
        Self::Accelerators,
        Self::Cores,
        Self::Memory,
    ];

    fn met(self, spec: &JobSpec, group: &Group) -> bool {
        match self {
            Self::Zone => spec.zones.is_empty() || spec.zones.contains(&group.zone),
            Self::Accelerator => {
                spec.need.accelerators == 0
                    || spec.accelerator.is_none()
                    || spec.accelerator == group.accelerator
            }
            Self::Accelerators => self.amount_in(group) >= spec.need.accelerators,
            Self::Cores => self.amount_in(group) >= spec.need.millicores,
            Self::Memory => self.amount_in(group) >= spec.need.memory_mb,
        }
    }

    fn amount_in(self, group: &Group) -> u32 {
        match self {
            Self::Zone | Self::Accelerator => 0,
            Self::Accelerators => group.capacity.accelerators,
            Self::Cores => group.capacity.millicores,
            Self::Memory => group.capacity.memory_mb,
        }
    }

    fn sentence(self, spec: &JobSpec, largest: u32, workers: u32, all: u32) -> String {
        let Resources {
            millicores,
            memory_mb,
            accelerators,
        } = spec.need;
        match self {
            Self::Zone => format!(
                "none of {all} workers is in its availability zones ({})",
                spec.zones.join(", ")
            ),
            Self::Accelerator => format!(
                "none of {workers} workers that would do otherwise has accelerators of type {}",
                spec.accelerator.as_deref().unwrap_or("any")
            ),
            Self::Accelerators => format!(
                "a task needs {accelerators} accelerators; {workers} workers come nearest \
                 with {largest}"
            ),
            Self::Cores => format!(
                "a task needs {} cores; {workers} workers come nearest with {}",
                cores(millicores),
                cores(largest)
            ),
            Self::Memory => format!(
                "a task needs {memory_mb} MB of memory; {workers} workers come nearest \
                 with {largest} MB"
            ),
        }
    }
}

/// Formats millicores as cores.
pub(crate) fn cores(millicores: u32) -> String {
    format!("{:.1}", f64::from(millicores) / 1000.0)
}
