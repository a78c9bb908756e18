//! Jobs that can never run: which resource fails, and how many workers come nearest.

use super::cell::Cell;
use super::classes::Group;
use super::search;
use crate::resources::Resources;
use crate::workload::{JobSpec, WorkClass};

/// Says in one sentence why a job can never run; none when it can, or while no worker is known.
pub(crate) fn reason(cell: &Cell, spec: &JobSpec) -> Option<String> {
    let known: Vec<&Group> = cell.index.groups.iter().filter(|g| g.peak > 0).collect();
    if known.is_empty() {
        return None;
    }
    if search::any_group(cell, spec, &spec.need).is_none() {
        return Some(task_reason(&known, spec));
    }
    if spec.class != WorkClass::Gang {
        return None;
    }
    let most = search::largest_gang(cell, spec, &spec.need);
    (most < u64::from(spec.tasks)).then(|| {
        format!(
            "its {} tasks start all at once, but all suitable workers together hold {most} \
             when empty",
            spec.tasks
        )
    })
}

fn count(groups: &[&Group]) -> u32 {
    groups.iter().map(|g| g.peak).sum()
}

/// The requirements are looked at one after the other; the first that no worker meets besides
/// the earlier ones is the reason.
fn task_reason(known: &[&Group], spec: &JobSpec) -> String {
    let mut near = known.to_vec();
    for check in Requirement::ALL {
        let meets: Vec<&Group> = near
            .iter()
            .copied()
            .filter(|g| check.met(spec, g))
            .collect();
        if meets.is_empty() {
            let best = near.iter().map(|g| check.has(g)).max().unwrap_or(0);
            let workers: u32 = near
                .iter()
                .filter(|g| check.has(g) == best)
                .map(|g| g.peak)
                .sum();
            return check.sentence(spec, best, workers, count(known));
        }
        near = meets;
    }
    "no worker meets all of its requirements at once".to_owned()
}

/// One requirement of a task.
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
            Self::Accelerators => self.has(group) >= spec.need.accelerators,
            Self::Cores => self.has(group) >= spec.need.millicores,
            Self::Memory => self.has(group) >= spec.need.memory_mb,
        }
    }

    fn has(self, group: &Group) -> u32 {
        match self {
            Self::Zone | Self::Accelerator => 0,
            Self::Accelerators => group.capacity.accelerators,
            Self::Cores => group.capacity.millicores,
            Self::Memory => group.capacity.memory_mb,
        }
    }

    fn sentence(self, spec: &JobSpec, best: u32, workers: u32, all: u32) -> String {
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
                 with {best}"
            ),
            Self::Cores => format!(
                "a task needs {} cores; {workers} workers come nearest with {}",
                cores(millicores),
                cores(best)
            ),
            Self::Memory => format!(
                "a task needs {memory_mb} MB of memory; {workers} workers come nearest \
                 with {best} MB"
            ),
        }
    }
}

/// Writes thousandths of a core as cores.
pub(crate) fn cores(millicores: u32) -> String {
    format!("{:.1}", f64::from(millicores) / 1000.0)
}
