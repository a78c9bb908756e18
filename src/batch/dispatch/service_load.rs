//! Load of each service: what waits ahead of a new job, and how fast resources come free.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::Dispatcher;
use super::minion::Minion;
use super::places::Standing;
use super::proposals::Proposals;
use super::ready::{OrderKey, ReadyStep};
use super::run::demand;
use super::throughput::{Amounts, Throughputs, add, amounts};
use crate::batch::model::StepSpec;
use crate::ids::{ServiceName, Timestamp, WorkspaceName};
use crate::resources::Resources;

/// Age up to which the computed load is used again. The computation sorts all waiting steps, which
/// takes about a millisecond for 5,000 of them.
const MAX_AGE: Duration = Duration::from_millis(50);
/// Time after which a waiting long-running step no longer counts: it can't be placed at present.
const LASTING_WAIT: Duration = Duration::from_secs(5);
/// Least part of the release rate that is assumed for jobs above a weight. Bounds their estimated
/// wait while the others use all capacity.
const MIN_EXCESS_PART: f64 = 0.1;
/// Wait for a resource that never comes free.
const NEVER: Duration = Duration::from_secs(3_600);

/// Load of one service.
#[derive(Debug, Default)]
struct ServiceLoad {
    /// Waiting steps in the order of service, each with the needs up to and including it.
    waiting: Vec<(OrderKey, Amounts)>,
    /// Mean need of its recent runs.
    typical: Resources,
    /// Free resources that are not in blocks too small for such a run.
    free: Amounts,
    /// `free` and what is in use.
    capacity: Amounts,
    /// Amounts per second that ending runs release; `None` where that is not known.
    rate: [Option<f64>; 3],
    /// The part of `rate` that is left beside the work within the weights.
    excess_rate: [Option<f64>; 3],
}

/// Loads of all services, with the time of their computation.
#[derive(Debug, Default)]
pub(super) struct ServiceLoads {
    at: Option<Timestamp>,
    by_service: HashMap<ServiceName, ServiceLoad>,
}

/// What new jobs of a service wait for.
pub(super) struct Backlog<'a> {
    /// `None` where the service has no minions.
    load: Option<&'a ServiceLoad>,
    proposals: &'a Proposals,
}

impl ServiceLoads {
    /// Whether the computed load is recent enough.
    pub(super) fn are_fresh(&self, now: Timestamp) -> bool {
        self.at.is_some_and(|at| now < at + MAX_AGE)
    }

    /// What new jobs of a service wait for.
    pub(super) fn backlog<'a>(
        &'a self,
        service: &ServiceName,
        proposals: &'a Proposals,
    ) -> Backlog<'a> {
        let load = self.by_service.get(service);
        Backlog { load, proposals }
    }
}

impl ServiceLoad {
    /// Needs of the waiting steps before `key`.
    fn ahead(&self, key: &OrderKey) -> Amounts {
        let count = self.waiting.partition_point(|(other, _)| other < key);
        count.checked_sub(1).map_or([0.0; 3], |i| self.waiting[i].1)
    }

    fn rate(&self, standing: &Standing) -> &[Option<f64>; 3] {
        if standing.excess {
            &self.excess_rate
        } else {
            &self.rate
        }
    }
}

impl Backlog<'_> {
    /// Amounts of each resource that must come free before a job at position `key` has `need`;
    /// negative if more is free.
    fn missing(&self, key: &OrderKey, standing: &Standing, need: &Amounts) -> Amounts {
        let Some(load) = self.load else {
            return [0.0; 3];
        };
        let mut sum = load.ahead(key);
        add(&mut sum, &self.proposals.needs(standing));
        add(&mut sum, need);
        [0, 1, 2].map(|i| sum[i] - load.free[i])
    }

    /// Amounts of each resource that are left for refused callers ahead of a job, if it is to be
    /// served within `limit`; `None` where its wait for the resource is zero or not known.
    pub(super) fn room(
        &self,
        key: &OrderKey,
        standing: &Standing,
        need: &Amounts,
        limit: Duration,
    ) -> [Option<f64>; 3] {
        let missing = self.missing(key, standing, need);
        let rate = self.load.map_or([None; 3], |load| *load.rate(standing));
        [0, 1, 2].map(|i| {
            let rate = rate[i].filter(|_| need[i] > 0.0)?;
            Some(rate * limit.as_secs_f64() - missing[i])
        })
    }

    /// Expected wait of a job at position `key`.
    pub(super) fn wait(&self, key: &OrderKey, standing: &Standing, need: &Amounts) -> Duration {
        let missing = self.missing(key, standing, need);
        self.time_for(standing, &missing)
    }

    /// Time in which these amounts come free for jobs of a standing; the scarcest resource decides.
    pub(super) fn time_for(&self, standing: &Standing, wanted: &Amounts) -> Duration {
        let rate = self.load.map_or([None; 3], |load| *load.rate(standing));
        let times = (0..3).filter_map(|i| {
            let wanted = wanted[i].max(0.0);
            rate[i].map(|rate| wanted / rate.max(f64::MIN_POSITIVE))
        });
        let longest = times.fold(0.0, f64::max);
        Duration::from_secs_f64(longest.min(NEVER.as_secs_f64()))
    }
}

impl Dispatcher {
    /// Computes the load of each service.
    pub(super) fn service_loads(
        &self,
        now: Timestamp,
        unix: Timestamp,
        throughputs: &Throughputs,
    ) -> ServiceLoads {
        let mut by_service: HashMap<ServiceName, ServiceLoad> = HashMap::new();
        for minion in self.minions.values().filter(|m| m.takes_work(now)) {
            let service = &minion.report.service;
            if !by_service.contains_key(service) {
                let typical = throughputs.typical_need(now, service);
                let load = ServiceLoad {
                    typical,
                    ..ServiceLoad::default()
                };
                by_service.insert(service.clone(), load);
            }
            if let Some(load) = by_service.get_mut(service) {
                let free = usable(&minion.free(), &load.typical);
                let used = amounts(&minion.used, 1);
                add(&mut load.free, &free);
                add(&mut load.capacity, &used);
                add(&mut load.capacity, &free);
            }
        }
        for (service, load) in &mut by_service {
            load.rate = throughputs.release_rate(now, service, &load.capacity);
            let arrivals = throughputs.arrival_rate(now, service);
            load.excess_rate = [0, 1, 2].map(|i| {
                let rate = load.rate[i]?;
                Some((rate - arrivals[i]).max(rate * MIN_EXCESS_PART))
            });
        }
        self.add_waiting(now, unix, &mut by_service);
        let at = Some(now);
        ServiceLoads { at, by_service }
    }

    /// Adds the waiting steps in the order of service, except those that can't be placed at present:
    /// they take no capacity from a new job.
    fn add_waiting(
        &self,
        now: Timestamp,
        unix: Timestamp,
        loads: &mut HashMap<ServiceName, ServiceLoad>,
    ) {
        let mut by_owner: BTreeMap<&WorkspaceName, Amounts> = BTreeMap::new();
        let mut placeable: HashMap<Shape, bool> = HashMap::new();
        for (key, id) in self.keyed_order(unix) {
            let Some(step) = self.ready.get(&id) else {
                continue;
            };
            let spec = &step.spec.steps[usize::from(id.step)];
            let stuck = step.is_lasting() && now >= step.since + LASTING_WAIT;
            if stuck || step.is_expired(unix) || !self.is_placeable(step, spec, &mut placeable) {
                continue;
            }
            let Some(load) = loads.get_mut(&step.queue.service) else {
                continue;
            };
            let need = self.counted_need(step, spec, &mut by_owner);
            let mut sum = load.waiting.last().map_or([0.0; 3], |(_, sum)| *sum);
            add(&mut sum, &need);
            load.waiting.push((key, sum));
        }
    }

    /// Needs of the waiting tasks of a step, as far as the limit of its workspace lets the tasks of
    /// the workspace run at the same time. Those beyond it start only as others of the workspace
    /// end, so they take no capacity from other workspaces.
    fn counted_need<'a>(
        &self,
        step: &'a ReadyStep,
        spec: &StepSpec,
        by_owner: &mut BTreeMap<&'a WorkspaceName, Amounts>,
    ) -> Amounts {
        let need = amounts(&demand(spec), step.waiting.len());
        let owner = step.owner.as_ref();
        let limited = owner.and_then(|owner| Some((owner, self.quotas.limit(owner)?)));
        let Some((owner, limit)) = limited else {
            return need;
        };
        let limit = amounts(limit, 1);
        let counted = by_owner.entry(owner).or_default();
        let before = *counted;
        add(counted, &need);
        let part = (0..3).filter(|i| need[*i] > 0.0).map(|i| {
            let left = (limit[i] - before[i]).max(0.0);
            (left / need[i]).min(1.0)
        });
        let part = part.fold(1.0, f64::min);
        need.map(|amount| amount * part)
    }

    /// Whether some minion of the service could run a task of the step if it were empty.
    fn is_placeable<'a>(
        &self,
        step: &'a ReadyStep,
        spec: &'a StepSpec,
        known: &mut HashMap<Shape<'a>, bool>,
    ) -> bool {
        let need = demand(spec);
        let shape = (&step.queue.service, spec.label.as_deref(), need);
        let fits = |minion: &Minion| {
            minion.report.service == step.queue.service
                && minion.stays()
                && need.fits_in(&minion.report.capacity)
                && spec.label.as_ref().is_none_or(|l| minion.has_label(l))
        };
        *known
            .entry(shape)
            .or_insert_with(|| self.minions.values().any(fits))
    }
}

/// The part of `free` that whole runs with the need `typical` can use. On a full service the rest is
/// several percent of its capacity, which estimates would count as free for each job.
fn usable(free: &Resources, typical: &Resources) -> Amounts {
    let times = typical.times_in(free);
    let (free, typical) = (amounts(free, 1), amounts(typical, 1));
    [0, 1, 2].map(|i| match typical[i] {
        0.0 => free[i],
        need => (need * f64::from(times)).min(free[i]),
    })
}

/// What decides whether a task can be placed at all: service, label and need.
type Shape<'a> = (&'a ServiceName, Option<&'a str>, Resources);
