//! Utilization of the resources of each service, and the cost of the leftovers of a placement.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Dispatcher;
use super::mechanisms::Mechanism;
use crate::ids::{ServiceName, Timestamp};
use crate::resources::Resources;

/// Used share of a service's scarcest resource from which the service counts as full. The free
/// blocks are then mostly too small for the larger half of the tasks.
const FULL_SHARE: f64 = 0.85;
/// Age up to which a computed utilization is used again; the computation walks all minions.
const UTILIZATION_MAX_AGE: Duration = Duration::from_millis(100);
/// A computed utilization is used again while there are fewer changes than one per this many
/// minions, an error of one or two percent.
const MIN_MINIONS_PER_CHANGE: usize = 64;
/// Resolution of weighted leftovers: parts of an average minion.
const LEFTOVER_SCALE: f64 = 10_000.0;

/// Utilization of one service, summed over the minions that accept work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Utilization {
    used: Resources,
    capacity: Resources,
    minions: u32,
}

impl Utilization {
    /// Used share of each resource: CPU, memory, accelerators.
    fn shares(&self) -> [f64; 3] {
        self.used.shares(&self.capacity)
    }

    /// Whether any resource is nearly used up.
    pub(super) fn is_full(&self) -> bool {
        self.shares().into_iter().any(|share| share >= FULL_SHARE)
    }

    /// Cost of leaving `left` free on a minion: each resource is weighted by the square of its used
    /// share. Where accelerators are scarce, free CPU on a minion without free accelerators costs
    /// little, and the other way round.
    pub(super) fn weighted_leftover(&self, left: &Resources) -> u32 {
        let left = left.shares(&self.capacity);
        let weighted = left.into_iter().zip(self.shares());
        let sum: f64 = weighted.map(|(left, share)| left * share * share).sum();
        (sum * f64::from(self.minions) * LEFTOVER_SCALE) as u32
    }
}

/// Utilization of all services, with the time of its computation.
#[derive(Debug, Default)]
pub(super) struct Utilizations {
    at: Option<Timestamp>,
    /// Starts, ends, and joined or resized minions since the computation.
    changes: usize,
    by_service: BTreeMap<ServiceName, Utilization>,
}

impl Utilizations {
    /// Records a start, an end, or a minion that joined or was resized.
    pub(super) fn changed(&mut self) {
        self.changes += 1;
    }

    /// Whether the computed values are recent enough in a cell of `minions` minions.
    fn are_fresh(&self, now: Timestamp, minions: usize) -> bool {
        let few = self.changes * MIN_MINIONS_PER_CHANGE < minions;
        few && self.at.is_some_and(|at| now < at + UTILIZATION_MAX_AGE)
    }
}

impl Dispatcher {
    /// Recomputes the utilization of each service, unless the last computation is recent enough.
    pub(super) fn refresh_utilization(&mut self, now: Timestamp) {
        if self.utilizations.are_fresh(now, self.minions.len()) {
            return;
        }
        let mut by_service: BTreeMap<_, Utilization> = BTreeMap::new();
        for minion in self.minions.values().filter(|m| m.takes_work(now)) {
            let utilization = by_service.entry(minion.report.service.clone()).or_default();
            utilization.used = utilization.used.saturating_add(&minion.used);
            utilization.capacity = utilization.capacity.saturating_add(&minion.report.capacity);
            utilization.minions += 1;
        }
        self.utilizations = Utilizations {
            at: Some(now),
            changes: 0,
            by_service,
        };
    }

    /// Utilization of a service; `None` where none of its minions accepts work, or where the
    /// mechanism for tight fits is off.
    pub(super) fn utilization(&self, service: &ServiceName) -> Option<&Utilization> {
        let enabled = self.cfg.mechanisms.has(Mechanism::TightFit);
        self.utilizations
            .by_service
            .get(service)
            .filter(|_| enabled)
    }
}
