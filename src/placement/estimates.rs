//! Sizes and run times learnt per job kind.

use std::collections::HashMap;
use std::time::Duration;

use super::records::{WorkerIx, larger};
use crate::ids::{KindName, Timestamp};
use crate::resources::Resources;
use crate::workload::JobSpec;

/// Time in which a learnt size above the declared one loses half of its excess.
const HALF_LIFE: Duration = Duration::from_secs(3600);
/// Share of a new run time in the learnt one.
const NEW_PART: f64 = 0.2;
/// Learnt sizes are rounded up to this, so that tasks of one kind stay alike.
const CORE_STEP: u32 = 100;
const MEMORY_STEP: u32 = 64;
/// Kinds remembered; the one heard of least recently is forgotten first.
const KIND_LIMIT: usize = 4096;
/// Workers whose reports are kept for one kind.
const REPORTERS: usize = 4;
/// Different workers on which a kind must fail, with no success between, to be at fault.
const FAULTY_KIND_WORKERS: usize = 3;

/// What is known of one kind.
#[derive(Debug, Default)]
struct Kind {
    run_time: Option<f64>,
    /// The largest reports, one for each of a few workers.
    reports: Vec<(WorkerIx, Resources)>,
    /// What at least two workers have reported. One alone may have a faulty meter.
    peak: Resources,
    heard: Timestamp,
    failed_on: Vec<WorkerIx>,
}

/// What is known of all kinds.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    kinds: HashMap<KindName, Kind>,
}

impl Estimates {
    fn kind(&mut self, name: &KindName, now: Timestamp) -> &mut Kind {
        if !self.kinds.contains_key(name) && self.kinds.len() >= KIND_LIMIT {
            self.forget_one();
        }
        let kind = self.kinds.entry(name.clone()).or_default();
        kind.decay(now);
        kind
    }

    fn forget_one(&mut self) {
        let oldest = self.kinds.iter().min_by_key(|(name, k)| (k.heard, *name));
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.kinds.remove(&name);
        }
    }

    /// Takes in a run that finished.
    pub(crate) fn finished(&mut self, name: &KindName, took: Duration, now: Timestamp) {
        let kind = self.kind(name, now);
        kind.failed_on.clear();
        let took = took.as_secs_f64();
        kind.run_time = Some(match kind.run_time {
            Some(known) => known + (took - known) * NEW_PART,
            None => took,
        });
    }

    /// Takes in a run that failed; says whether the kind itself is at fault.
    pub(crate) fn failed(&mut self, name: &KindName, worker: WorkerIx, now: Timestamp) -> bool {
        let kind = self.kind(name, now);
        if !kind.failed_on.contains(&worker) && kind.failed_on.len() < FAULTY_KIND_WORKERS {
            kind.failed_on.push(worker);
        }
        kind.failed_on.len() >= FAULTY_KIND_WORKERS
    }

    /// Takes in what a run was seen to use.
    pub(crate) fn used(
        &mut self,
        name: &KindName,
        worker: WorkerIx,
        used: &Resources,
        now: Timestamp,
    ) {
        self.kind(name, now).report(worker, used);
    }

    /// What one task is granted: the declared need is the floor.
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
        larger(&learnt, &spec.need)
    }

    /// How long one task is expected to run.
    pub(crate) fn run_time(&self, spec: &JobSpec) -> Duration {
        let learnt = self.kinds.get(&spec.kind).and_then(|k| k.run_time);
        learnt.map_or(spec.run_time, Duration::from_secs_f64)
    }
}

impl Kind {
    fn report(&mut self, worker: WorkerIx, used: &Resources) {
        if let Some((_, known)) = self.reports.iter_mut().find(|(ix, _)| *ix == worker) {
            *known = larger(known, used);
        } else if self.reports.len() < REPORTERS {
            self.reports.push((worker, *used));
        } else {
            let least = self.reports.iter_mut().min_by_key(|(_, r)| r.memory_mb);
            if let Some(least) = least.filter(|(_, r)| r.memory_mb < used.memory_mb) {
                *least = (worker, *used);
            }
        }
        self.peak = Resources {
            millicores: second(self.reports.iter().map(|(_, r)| r.millicores)),
            memory_mb: second(self.reports.iter().map(|(_, r)| r.memory_mb)),
            accelerators: 0,
        };
    }

    fn decay(&mut self, now: Timestamp) {
        let passed = now.saturating_sub(self.heard);
        self.heard = self.heard.max(now);
        if passed.is_zero() {
            return;
        }
        let left = 0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        let sunk = |n: u32| (f64::from(n) * left).ceil() as u32;
        let reports = self.reports.iter_mut().map(|(_, r)| r);
        for r in reports.chain([&mut self.peak]) {
            r.millicores = sunk(r.millicores);
            r.memory_mb = sunk(r.memory_mb);
        }
    }
}

/// The second largest, or zero.
fn second(amounts: impl Iterator<Item = u32>) -> u32 {
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
