//! Statistics of run times for each queue, from successful runs, used to correct declared times.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::batch::ledger::Job;
use crate::batch::model::Lifetime;

/// Weight of a new sample in the moving averages of a queue: about the last 50 runs count, which
/// are a few seconds of a busy queue.
const WEIGHT: f64 = 0.02;
/// Runs needed before measured run times are used.
const MIN_RUNS: u32 = 20;
/// Longest expected run time in seconds, a hundred years as for declared ones. A correction learnt
/// from absurd declarations can exceed the range of durations, which would end the leader.
const MAX_EXPECTED: f64 = 3.2e9;
/// Weight of a job's declared time against the queue's mean declared time while there are too few
/// measured runs to prefer either.
const EQUAL_WEIGHT: f64 = 0.5;

/// Exponentially weighted mean and variance of logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct LogStats {
    mean: f64,
    variance: f64,
    samples: u32,
}

impl LogStats {
    fn learn(&mut self, sample: f64) {
        self.samples += 1;
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        let deviation = sample - self.mean;
        self.mean += deviation * weight;
        self.variance += (deviation * deviation * (1.0 - weight) - self.variance) * weight;
    }
}

/// Statistics of one queue, over logarithms of times in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct RunTimeStats {
    declared: LogStats,
    measured: LogStats,
    /// Logarithm of the ratio of measured to declared time.
    error: LogStats,
}

/// Run time statistics by name of the queue.
#[derive(Debug, Default)]
pub(super) struct Profiles(HashMap<CompactString, RunTimeStats>);

impl Profiles {
    /// Records the declared and the measured time of a successful run.
    pub(super) fn learn(&mut self, queue: &CompactString, declared: Duration, measured: Duration) {
        if declared.is_zero() || measured.is_zero() {
            return;
        }
        let profile = self.0.entry(queue.clone()).or_default();
        let (declared, measured) = (declared.as_secs_f64().ln(), measured.as_secs_f64().ln());
        profile.measured.learn(measured);
        profile.error.learn(measured - declared);
    }

    /// Records the declared times of a job's finite steps.
    pub(super) fn declared(&mut self, job: &Job) {
        let steps = job.spec.steps.iter();
        for step in steps.filter(|s| s.lifetime == Lifetime::Finite && !s.estimate.is_zero()) {
            let profile = self.0.entry(job.queue.name.clone()).or_default();
            profile.declared.learn(step.estimate.as_secs_f64().ln());
        }
    }

    /// Typical run time in a queue; `None` until enough runs are measured.
    pub(super) fn typical(&self, queue: &CompactString) -> Option<Duration> {
        let profile = self.0.get(queue)?;
        let measured = &profile.measured;
        (measured.samples >= MIN_RUNS).then(|| Duration::from_secs_f64(measured.mean.exp()))
    }

    /// Expected run time of a task with the declared time `declared`.
    ///
    /// Declared times of long work are off by a factor of two and more either way. Taken as they
    /// are, a job that declares far too little counts as late as soon as it is submitted, and one
    /// that declares far too much is ordered behind all others; neither was ever started in a busy
    /// cell. So the declared time is weighted by its reliability: the variance of the run times
    /// divided by the sum of that variance and the variance of the declaration error. Until enough
    /// runs are measured, as after a change of leader, the mean declared time of the queue replaces
    /// the mean measured time.
    pub(super) fn expected(&self, queue: &CompactString, declared: Duration) -> Duration {
        if declared.is_zero() {
            return declared;
        }
        let Some(profile) = self.0.get(queue) else {
            return declared;
        };
        let own = declared.as_secs_f64().ln();
        if profile.measured.samples >= MIN_RUNS {
            let (variance, error) = (profile.measured.variance, profile.error.variance);
            let reliability = variance / (variance + error).max(f64::MIN_POSITIVE);
            // The declared time is corrected by the mean declaration error.
            return geometric_mean(profile.measured.mean, own + profile.error.mean, reliability);
        }
        if profile.declared.samples == 0 {
            return declared;
        }
        geometric_mean(profile.declared.mean, own, EQUAL_WEIGHT)
    }
}

/// Weighted geometric mean of two times given as logarithms, up to `MAX_EXPECTED`; `weight` is that
/// of the second.
fn geometric_mean(first: f64, second: f64, weight: f64) -> Duration {
    let secs = (first * (1.0 - weight) + second * weight).exp();
    Duration::from_secs_f64(secs.min(MAX_EXPECTED))
}
