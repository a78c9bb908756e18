//! How fast each minion is, learnt from the runs that ended well there.

use std::time::Duration;

/// Weight of a new run in a minion's mean. Declared times of short work are off by a fifth and
/// more, so some twenty runs are needed to tell 0.8 from 1.0; a minion ends that many in seconds.
const WEIGHT: f64 = 0.06;
/// Weight in the mean over all minions.
const COMMON_WEIGHT: f64 = 0.004;
/// Runs before a minion's own mean is believed.
const ENOUGH: u32 = 8;
/// Largest factor between declared and seen time that is believed of a single run.
const LARGEST: f64 = 4.0;

/// Mean of the logarithm of seen by declared run time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    mean: f64,
    runs: u32,
}

impl Pace {
    /// Takes a run in.
    pub(super) fn learn(&mut self, declared: Duration, seen: Duration, weight: f64) {
        if declared.is_zero() || seen.is_zero() {
            return;
        }
        let ratio = seen.as_secs_f64() / declared.as_secs_f64();
        let sample = ratio.clamp(1.0 / LARGEST, LARGEST).ln();
        self.runs += 1;
        let weight = weight.max(1.0 / f64::from(self.runs));
        self.mean += (sample - self.mean) * weight;
    }
}

/// Speeds of all minions together.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Common(Pace);

impl Common {
    /// Takes a run on one minion in.
    pub(super) fn learn(&mut self, own: &mut Pace, declared: Duration, seen: Duration) {
        own.learn(declared, seen, WEIGHT);
        self.0.learn(declared, seen, COMMON_WEIGHT);
    }

    /// How many times longer than on the mean minion work takes, in three steps: the platform's
    /// speeds differ by a quarter either way, and finer steps would only follow noise.
    pub(super) fn slowness(&self, own: &Pace) -> Slowness {
        if own.runs < ENOUGH {
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

/// A minion's speed against the others'.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Slowness {
    /// Clearly faster.
    Fast,
    /// Like the mean, or not known yet.
    Usual,
    /// Clearly slower.
    Slow,
    /// So slow that something is wrong with it.
    VerySlow,
}
