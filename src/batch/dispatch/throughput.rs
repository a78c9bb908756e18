//! Rate at which the runs of each service release resources when they end.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::ids::{ServiceName, Timestamp};
use crate::resources::Resources;

/// Amounts of CPU, memory and accelerators, summed over more tasks than `Resources` can count.
pub(super) type Amounts = [f64; 3];

/// Window over which ends are counted: long enough for several ends of short tasks on each minion,
/// short enough to follow a loss of minions before waiting callers give up.
pub(super) const WINDOW: Duration = Duration::from_secs(2);
/// Ends in the window that a rate needs; with fewer, a single large task decides it.
const MIN_ENDS: usize = 20;

/// The amounts in `n` times `need`.
pub(super) fn amounts(need: &Resources, n: usize) -> Amounts {
    let parts = [need.millicores, need.memory_mb, need.accelerators];
    parts.map(|part| f64::from(part) * n as f64)
}

/// Adds amounts to a sum.
pub(super) fn add(sum: &mut Amounts, more: &Amounts) {
    for (sum, more) in sum.iter_mut().zip(more) {
        *sum += more;
    }
}

/// Resources that one run released, and for how long it had held them.
#[derive(Clone, Copy, Debug)]
struct Release {
    at: Timestamp,
    amounts: Amounts,
    held: Duration,
}

/// Amounts with their times, over the window.
#[derive(Debug, Default)]
struct Recent(VecDeque<Release>);

impl Recent {
    fn record(&mut self, release: Release) {
        while self.0.front().is_some_and(|r| release.at >= r.at + WINDOW) {
            self.0.pop_front();
        }
        self.0.push_back(release);
    }

    fn in_window(&self, now: Timestamp) -> impl Iterator<Item = &Release> {
        self.0.iter().filter(move |r| now < r.at + WINDOW)
    }
}

/// Recent releases and recent arrivals of work by service.
#[derive(Debug, Default)]
pub(super) struct Throughputs {
    releases: HashMap<ServiceName, Recent>,
    /// Work of accepted jobs that comes before jobs above a weight.
    arrivals: HashMap<ServiceName, Recent>,
}

impl Throughputs {
    /// Records that a run released its resources after it had held them for `held`.
    pub(super) fn record_release(
        &mut self,
        at: Timestamp,
        service: &ServiceName,
        need: &Resources,
        held: Duration,
    ) {
        let amounts = amounts(need, 1);
        let recent = self.releases.entry(service.clone()).or_default();
        recent.record(Release { at, amounts, held });
    }

    /// Records the work of a job that was accepted within the weight of its workspace.
    pub(super) fn record_arrival(&mut self, at: Timestamp, service: &ServiceName, work: Amounts) {
        let recent = self.arrivals.entry(service.clone()).or_default();
        recent.record(Release {
            at,
            amounts: work,
            held: Duration::ZERO,
        });
    }

    /// Mean need of the runs that ended in the window; zero if there is none.
    pub(super) fn typical_need(&self, now: Timestamp, service: &ServiceName) -> Resources {
        let (mut sum, mut ends) = ([0.0; 3], 0.0);
        let recent = self.releases.get(service);
        for release in recent.into_iter().flat_map(|r| r.in_window(now)) {
            add(&mut sum, &release.amounts);
            ends += 1.0;
        }
        let [millicores, memory_mb, accelerators] =
            sum.map(|amount| (amount / f64::max(ends, 1.0)) as u32);
        Resources {
            millicores,
            memory_mb,
            accelerators,
        }
    }

    /// Amounts per second that ends release when `capacity` is in use; `None` for a resource that
    /// too few ends in the window released.
    ///
    /// The larger of two measurements: what was released in the window, and the capacity divided by
    /// the mean time for which the ended runs held it. The first is too low while a load sets in,
    /// before the first long runs can have ended.
    pub(super) fn release_rate(
        &self,
        now: Timestamp,
        service: &ServiceName,
        capacity: &Amounts,
    ) -> [Option<f64>; 3] {
        let (mut ends, mut released, mut held) = ([0; 3], [0.0; 3], [0.0; 3]);
        let recent = self.releases.get(service);
        for release in recent.into_iter().flat_map(|r| r.in_window(now)) {
            for i in 0..3 {
                ends[i] += usize::from(release.amounts[i] > 0.0);
                released[i] += release.amounts[i];
                held[i] += release.amounts[i] * release.held.as_secs_f64();
            }
        }
        [0, 1, 2].map(|i| {
            let measured = released[i] / WINDOW.as_secs_f64();
            let in_use = capacity[i] * released[i] / held[i].max(f64::MIN_POSITIVE);
            (ends[i] >= MIN_ENDS).then(|| measured.max(in_use))
        })
    }

    /// Amounts per second of accepted work within the weights.
    pub(super) fn arrival_rate(&self, now: Timestamp, service: &ServiceName) -> Amounts {
        let mut sum = [0.0; 3];
        let recent = self.arrivals.get(service);
        for arrival in recent.into_iter().flat_map(|r| r.in_window(now)) {
            add(&mut sum, &arrival.amounts);
        }
        sum.map(|amount| amount / WINDOW.as_secs_f64())
    }
}
