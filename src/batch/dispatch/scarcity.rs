//! How scarce each resource of a service is, and what is left over of it by a placement.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Dispatcher;
use super::mechanisms::Mechanism;
use crate::ids::{ServiceName, Timestamp};
use crate::resources::Resources;

/// Share given away of a service's scarcest resource from which the service counts as full. What
/// is left then is mostly too small for the larger half of the tasks.
const FULL: f64 = 0.85;
/// Age up to which levels are used again. To reckon them is to look at all minions.
const LEVELS_KEPT: Duration = Duration::from_millis(100);
/// Minions for each start or end that levels may be behind: a change of one or two in a hundred.
const MINIONS_PER_CHANGE: usize = 64;
/// Leftovers are compared in this many parts of a mean minion.
const PARTS: f64 = 10_000.0;

/// Room of one service, over the minions that take work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Level {
    used: Resources,
    capacity: Resources,
    minions: u32,
}

impl Level {
    /// Share given away of each resource: processors, memory, accelerators.
    fn shares(&self) -> [f64; 3] {
        self.used.shares(&self.capacity)
    }

    /// Whether hardly anything is left of a resource.
    pub(super) fn is_full(&self) -> bool {
        self.shares().into_iter().any(|share| share >= FULL)
    }

    /// What a leftover is worth: each resource by how much of it is given away. Where accelerators
    /// are short, spare processors beside none are no loss, and the other way round.
    pub(super) fn weigh(&self, left: &Resources) -> u32 {
        let left = left.shares(&self.capacity);
        let weighed = left.into_iter().zip(self.shares());
        let sum: f64 = weighed.map(|(left, share)| left * share * share).sum();
        (sum * f64::from(self.minions) * PARTS) as u32
    }
}

/// Rooms of all services, and when they were reckoned.
#[derive(Debug, Default)]
pub(super) struct Levels {
    at: Option<Timestamp>,
    /// Starts, ends and minions that joined since then.
    changes: usize,
    by_service: BTreeMap<ServiceName, Level>,
}

impl Levels {
    /// Notes a start, an end, or a minion that joined.
    pub(super) fn changed(&mut self) {
        self.changes += 1;
    }

    /// Whether they are known well enough in a cell of so many minions.
    fn are_fresh(&self, now: Timestamp, minions: usize) -> bool {
        let few = self.changes * MINIONS_PER_CHANGE < minions;
        few && self.at.is_some_and(|at| now < at + LEVELS_KEPT)
    }
}

impl Dispatcher {
    /// Reckons anew how full each service is, unless that is known well enough.
    pub(super) fn renew_levels(&mut self, now: Timestamp) {
        if self.levels.are_fresh(now, self.minions.len()) {
            return;
        }
        let mut by_service: BTreeMap<_, Level> = BTreeMap::new();
        for minion in self.minions.values().filter(|m| m.takes_work(now)) {
            let level = by_service.entry(minion.report.service.clone()).or_default();
            level.used = level.used.saturating_add(&minion.used);
            level.capacity = level.capacity.saturating_add(&minion.report.capacity);
            level.minions += 1;
        }
        self.levels = Levels {
            at: Some(now),
            changes: 0,
            by_service,
        };
    }

    /// Room of a service; `None` where no minion of it takes work or fit is not weighed.
    pub(super) fn level(&self, service: &ServiceName) -> Option<&Level> {
        let weighed = self.cfg.mechanisms.has(Mechanism::TightFit);
        self.levels.by_service.get(service).filter(|_| weighed)
    }
}
