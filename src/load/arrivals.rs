//! When calls are made.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::options::Arrivals;

/// Draws the moments of calls from a seed, from the start of the run, without end.
pub fn arrivals(kind: Arrivals, rate: f64, seed: u64) -> impl Iterator<Item = Duration> + Send {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = 0.0;
    std::iter::repeat_with(move || {
        at += match kind {
            Arrivals::Even => 1.0 / rate,
            // 1 - u lies in (0, 1], so the logarithm is finite.
            Arrivals::Poisson => -(1.0 - rng.random::<f64>()).ln() / rate,
        };
        Duration::from_secs_f64(at)
    })
}
