//! How long the tasks of each queue really take, learnt from the runs that ended well.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::batch::ledger::Job;
use crate::batch::model::Lifetime;

/// Weight of a new run in a queue's means: some fifty runs count, a few seconds of a busy queue.
const WEIGHT: f64 = 0.02;
/// Runs before a queue's own run times are believed.
const ENOUGH: u32 = 20;
/// Weight of a declared time against the usual one while its queue's runs are not known: neither
/// is known to be better.
const EVEN: f64 = 0.5;

/// Mean and variance of a logarithm, over the latest samples.
#[derive(Clone, Copy, Debug, Default)]
struct Spread {
    mean: f64,
    variance: f64,
    samples: u32,
}

impl Spread {
    fn learn(&mut self, sample: f64) {
        self.samples += 1;
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        let off = sample - self.mean;
        self.mean += off * weight;
        self.variance += (off * off * (1.0 - weight) - self.variance) * weight;
    }
}

/// Logarithms of times in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Profile {
    declared: Spread,
    seen: Spread,
    /// Of seen by declared times.
    error: Spread,
}

/// What is known of all queues.
#[derive(Debug, Default)]
pub(super) struct Profiles(HashMap<CompactString, Profile>);

impl Profiles {
    /// Takes a run in.
    pub(super) fn learn(&mut self, queue: &CompactString, declared: Duration, seen: Duration) {
        if declared.is_zero() || seen.is_zero() {
            return;
        }
        let profile = self.0.entry(queue.clone()).or_default();
        let (declared, seen) = (declared.as_secs_f64().ln(), seen.as_secs_f64().ln());
        profile.seen.learn(seen);
        profile.error.learn(seen - declared);
    }

    /// Takes in what a job declares.
    pub(super) fn declared(&mut self, job: &Job) {
        let steps = job.spec.steps.iter();
        for step in steps.filter(|s| s.lifetime == Lifetime::Finite && !s.estimate.is_zero()) {
            let profile = self.0.entry(job.queue.name.clone()).or_default();
            profile.declared.learn(step.estimate.as_secs_f64().ln());
        }
    }

    /// Run time to reckon with for a task that declares `declared`.
    ///
    /// Declared times of long work are off by a factor of two and more either way. A job that
    /// declares far too little would look late as soon as it is handed in, one that declares far
    /// too much would be put behind all others; both were never served in a busy cell. The declared
    /// time counts by what it tells: by the variance of run times as a part of that variance and of
    /// the declared times' error. Until enough runs were seen, as after a change of leader, what the
    /// queue's jobs declare stands in for what they take.
    pub(super) fn expected(&self, queue: &CompactString, declared: Duration) -> Duration {
        if declared.is_zero() {
            return declared;
        }
        let Some(profile) = self.0.get(queue) else {
            return declared;
        };
        let own = declared.as_secs_f64().ln();
        if profile.seen.samples >= ENOUGH {
            let (spread, error) = (profile.seen.variance, profile.error.variance);
            let told = spread / (spread + error).max(f64::MIN_POSITIVE);
            // What declared times are off by on the average, this one is as well.
            return between(profile.seen.mean, own + profile.error.mean, told);
        }
        if profile.declared.samples == 0 {
            return declared;
        }
        between(profile.declared.mean, own, EVEN)
    }
}

/// The time whose logarithm lies between two others; `weight` is the second one's.
fn between(first: f64, second: f64, weight: f64) -> Duration {
    Duration::from_secs_f64((first * (1.0 - weight) + second * weight).exp())
}
