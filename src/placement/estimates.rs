//! Sizes and run times learnt per job kind.

use std::collections::HashMap;
use std::time::Duration;

use super::cell::{WorkerIx, larger, saturating_sub};
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
/// Different workers on which a kind must fail, with no success between, to be at fault.
const FAULTY_KIND_WORKERS: usize = 3;

/// What is known of one kind.
#[derive(Debug, Default)]
struct Kind {
    run_time: Option<f64>,
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
    pub(crate) fn used(&mut self, name: &KindName, used: &Resources, now: Timestamp) {
        let kind = self.kind(name, now);
        kind.peak = larger(&kind.peak, used);
    }

    /// What one task is granted: the declared need is the floor.
    pub(crate) fn grant(&self, spec: &JobSpec) -> Resources {
        let Some(kind) = self.kinds.get(&spec.kind) else {
            return spec.need;
        };
        let above = saturating_sub(&kind.peak, &spec.need);
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
    fn decay(&mut self, now: Timestamp) {
        let passed = now.saturating_sub(self.heard);
        self.heard = self.heard.max(now);
        if passed.is_zero() || self.peak == Resources::ZERO {
            return;
        }
        let left = 0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.peak.millicores = (f64::from(self.peak.millicores) * left).ceil() as u32;
        self.peak.memory_mb = (f64::from(self.peak.memory_mb) * left).ceil() as u32;
    }
}

const fn pick(above: u32, learnt: u32, declared: u32) -> u32 {
    if above > 0 { learnt } else { declared }
}

const fn round_up(n: u32, step: u32) -> u32 {
    n.div_ceil(step).saturating_mul(step)
}
