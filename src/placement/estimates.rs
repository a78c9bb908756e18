//! Learnt sizes and run times per job kind.

use std::collections::HashMap;
use std::time::Duration;

use super::records::{WorkerIx, max_of_each};
use crate::ids::{KindName, Timestamp};
use crate::resources::Resources;
use crate::workload::JobSpec;

/// Half-life of the learnt sizes; new reports raise them again.
const HALF_LIFE: Duration = Duration::from_secs(3600);
/// Weight of a new run time in the moving average.
const NEW_RUN_WEIGHT: f64 = 0.2;
/// Learnt sizes are rounded up to these steps, in millicores and megabytes, so that tasks of one
/// kind keep the same size.
const CORE_STEP: u32 = 100;
const MEMORY_STEP: u32 = 64;
/// Upper limit on the kinds remembered; the least recently used one is evicted.
const MAX_KINDS: usize = 4096;
/// Number of workers whose reports are kept per kind.
const MAX_REPORTS_PER_KIND: usize = 4;
/// Number of different workers on which a kind must fail, with no success in between, before the
/// kind itself is at fault.
const FAULTY_KIND_WORKERS: usize = 3;

/// Estimates for one kind. `run_time` is a moving average in seconds.
#[derive(Debug, Default)]
struct KindEstimate {
    run_time: Option<f64>,
    /// The largest usage reported by each of a few workers.
    reports: Vec<(WorkerIx, Resources)>,
    /// Usage that at least two workers have reported. A single worker may have a faulty meter.
    peak: Resources,
    updated_at: Timestamp,
    failed_on: Vec<WorkerIx>,
}

/// Estimates for all kinds.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    kinds: HashMap<KindName, KindEstimate>,
}

impl Estimates {
    fn kind(&mut self, name: &KindName, now: Timestamp) -> &mut KindEstimate {
        if !self.kinds.contains_key(name) && self.kinds.len() >= MAX_KINDS {
            self.evict_oldest();
        }
        let kind = self.kinds.entry(name.clone()).or_default();
        kind.decay(now);
        kind
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .kinds
            .iter()
            .min_by_key(|(name, k)| (k.updated_at, *name));
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.kinds.remove(&name);
        }
    }

    /// Records a run that finished successfully.
    pub(crate) fn record_finished(&mut self, name: &KindName, took: Duration, now: Timestamp) {
        let kind = self.kind(name, now);
        kind.failed_on.clear();
        let took = took.as_secs_f64();
        kind.run_time = Some(match kind.run_time {
            Some(mean) => mean + (took - mean) * NEW_RUN_WEIGHT,
            None => took,
        });
    }

    /// Records a failed run; returns whether the kind itself is at fault.
    pub(crate) fn record_failure(
        &mut self,
        name: &KindName,
        worker: WorkerIx,
        now: Timestamp,
    ) -> bool {
        let kind = self.kind(name, now);
        if !kind.failed_on.contains(&worker) && kind.failed_on.len() < FAULTY_KIND_WORKERS {
            kind.failed_on.push(worker);
        }
        kind.failed_on.len() >= FAULTY_KIND_WORKERS
    }

    /// Records the reported usage of a run.
    pub(crate) fn record_usage(
        &mut self,
        name: &KindName,
        worker: WorkerIx,
        used: &Resources,
        now: Timestamp,
    ) {
        self.kind(name, now).report(worker, used);
    }

    /// Resources to grant to one task: the learnt size, but at least the declared need.
    pub(crate) fn grant(&self, spec: &JobSpec) -> Resources {
        let Some(kind) = self.kinds.get(&spec.kind) else {
            return spec.need;
        };
        let above = kind.peak.saturating_sub(&spec.need);
        if above.millicores == 0 && above.memory_mb == 0 {
            return spec.need;
        }
        let rounded = Resources {
            millicores: round_up(kind.peak.millicores, CORE_STEP),
            memory_mb: round_up(kind.peak.memory_mb, MEMORY_STEP),
            accelerators: 0,
        };
        let learnt = Resources {
            millicores: pick(above.millicores, rounded.millicores, spec.need.millicores),
            memory_mb: pick(above.memory_mb, rounded.memory_mb, spec.need.memory_mb),
            accelerators: spec.need.accelerators,
        };
        max_of_each(&learnt, &spec.need)
    }

    /// Expected run time of one task: the learnt one, or the declared one if none is known.
    pub(crate) fn run_time(&self, spec: &JobSpec) -> Duration {
        let learnt = self.kinds.get(&spec.kind).and_then(|k| k.run_time);
        learnt.map_or(spec.run_time, Duration::from_secs_f64)
    }
}

impl KindEstimate {
    fn report(&mut self, worker: WorkerIx, used: &Resources) {
        if let Some((_, reported)) = self.reports.iter_mut().find(|(ix, _)| *ix == worker) {
            *reported = max_of_each(reported, used);
        } else if self.reports.len() < MAX_REPORTS_PER_KIND {
            self.reports.push((worker, *used));
        } else {
            let least = self.reports.iter_mut().min_by_key(|(_, r)| r.memory_mb);
            if let Some(least) = least.filter(|(_, r)| r.memory_mb < used.memory_mb) {
                *least = (worker, *used);
            }
        }
        self.peak = Resources {
            millicores: second_largest(self.reports.iter().map(|(_, r)| r.millicores)),
            memory_mb: second_largest(self.reports.iter().map(|(_, r)| r.memory_mb)),
            accelerators: 0,
        };
    }

    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        if elapsed.is_zero() {
            return;
        }
        let left = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        let decayed = |n: u32| (f64::from(n) * left).ceil() as u32;
        let reports = self.reports.iter_mut().map(|(_, r)| r);
        for r in reports.chain([&mut self.peak]) {
            r.millicores = decayed(r.millicores);
            r.memory_mb = decayed(r.memory_mb);
        }
    }
}

/// The second largest amount, or zero.
fn second_largest(amounts: impl Iterator<Item = u32>) -> u32 {
    let both = amounts.fold((0, 0), |(first, second), n| {
        if n > first {
            (n, first)
        } else {
            (first, n.max(second))
        }
    });
    both.1
}

const fn pick(above: u32, learnt: u32, declared: u32) -> u32 {
    if above > 0 { learnt } else { declared }
}

const fn round_up(n: u32, step: u32) -> u32 {
    n.div_ceil(step).saturating_mul(step)
}
