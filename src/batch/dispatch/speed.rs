//! Speed of each minion, from the ratio of measured to declared run times of its successful runs.

use std::time::Duration;

/// Weight of a new run in a minion's moving average. Declared times of short work are off by 20%
/// and more, so about 20 runs are needed to distinguish 0.8 from 1.0; a minion ends that many in
/// seconds.
const WEIGHT: f64 = 0.06;
/// Weight of a new run in the moving average over all minions.
const COMMON_WEIGHT: f64 = 0.004;
/// Runs needed before a minion's own average is used.
const MIN_RUNS: u32 = 8;
/// Limit on the ratio between declared and measured time, either way, for a single run.
const MAX_RATIO: f64 = 4.0;

/// Moving average of the logarithm of measured by declared run time; higher means slower.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    mean: f64,
    runs: u32,
}

impl Pace {
    /// Records a successful run.
    pub(super) fn learn(&mut self, declared: Duration, measured: Duration, weight: f64) {
        if declared.is_zero() || measured.is_zero() {
            return;
        }
        let ratio = measured.as_secs_f64() / declared.as_secs_f64();
        let sample = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        self.runs += 1;
        let weight = weight.max(1.0 / f64::from(self.runs));
        self.mean += (sample - self.mean) * weight;
    }
}

/// Average over the runs of all minions.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CommonPace(Pace);

impl CommonPace {
    /// Records a successful run, for its minion and for the average over all.
    pub(super) fn learn(&mut self, own: &mut Pace, declared: Duration, measured: Duration) {
        own.learn(declared, measured, WEIGHT);
        self.0.learn(declared, measured, COMMON_WEIGHT);
    }

    /// Speed class of a minion, by its run times relative to the average minion. Classes are
    /// coarse: speeds on the platform differ by 25% either way, and finer classes would only follow
    /// noise.
    pub(super) fn slowness(&self, own: &Pace) -> Slowness {
        if own.runs < MIN_RUNS {
            return Slowness::Usual;
        }
        let factor = (own.mean - self.0.mean).exp();
        match factor {
            f if f < 0.9 => Slowness::Fast,
            f if f < 1.13 => Slowness::Usual,
            f if f < 1.9 => Slowness::Slow,
            _ => Slowness::VerySlow,
        }
    }
}

/// Speed class of a minion relative to the average.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Slowness {
    /// Run times below 0.9 of the average.
    Fast,
    /// Near the average, or not known yet.
    Usual,
    /// Run times from 1.13 of the average.
    Slow,
    /// Run times from 1.9 of the average: the minion is probably faulty.
    VerySlow,
}
