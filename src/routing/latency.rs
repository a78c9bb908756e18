//! Mean and percentiles of recent service times.

use std::time::Duration;

/// Number of most recent service times used for percentiles.
const WINDOW_SAMPLES: usize = 256;
/// Weight of a new sample in the exponential moving average, as a divisor.
const MEAN_DIVISOR: i64 = 16;
/// Samples after which a cached percentile is recomputed, and the least needed for any percentile.
const REFRESH_SAMPLES: usize = 32;

/// Service times of recent responses.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    mean_us: i64,
    recent_us: Vec<u32>,
    next: usize,
    since_refresh: usize,
    cached: Option<(u32, Duration)>,
}

impl Latency {
    /// Adds the service time of one response.
    pub fn record(&mut self, time: Duration) {
        let us = u32::try_from(time.as_micros()).unwrap_or(u32::MAX);
        if self.mean_us == 0 {
            self.mean_us = i64::from(us.max(1));
        }
        self.mean_us += (i64::from(us) - self.mean_us) / MEAN_DIVISOR;
        if self.recent_us.len() < WINDOW_SAMPLES {
            self.recent_us.push(us);
        } else {
            self.recent_us[self.next] = us;
            self.next = (self.next + 1) % WINDOW_SAMPLES;
        }
        self.since_refresh += 1;
    }

    /// Exponential moving average of the service time; none before the first response.
    pub fn mean(&self) -> Option<Duration> {
        let us = u64::try_from(self.mean_us).ok().filter(|us| *us > 0)?;
        Some(Duration::from_micros(us))
    }

    /// The given percentile of recent service times, up to 32 samples old; none below 32 samples.
    pub fn percentile(&mut self, percent: u32) -> Option<Duration> {
        if self.recent_us.len() < REFRESH_SAMPLES {
            return None;
        }
        match self.cached {
            Some((of, value)) if of == percent && self.since_refresh < REFRESH_SAMPLES => {
                Some(value)
            }
            _ => Some(self.compute(percent)),
        }
    }

    fn compute(&mut self, percent: u32) -> Duration {
        let mut sorted = self.recent_us.clone();
        sorted.sort_unstable();
        let last = sorted.len() - 1;
        let index = (last * percent.min(100) as usize) / 100;
        let value = Duration::from_micros(u64::from(sorted[index]));
        self.cached = Some((percent, value));
        self.since_refresh = 0;
        value
    }
}
