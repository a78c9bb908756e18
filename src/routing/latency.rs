//! Service times: their mean and a percentile, over recent answers.

use std::time::Duration;

/// Answers kept for percentiles.
const WINDOW: usize = 256;
/// Weight of a new answer in the mean, as a divisor.
const MEAN_DIVISOR: i64 = 16;
/// Answers between two computations of the percentile.
const REFRESH: usize = 32;

/// Service times of recent answers.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    mean_us: i64,
    recent_us: Vec<u32>,
    next: usize,
    fresh: usize,
    cached: Option<(u32, Duration)>,
}

impl Latency {
    /// Takes in one answer's service time.
    pub fn record(&mut self, time: Duration) {
        let us = u32::try_from(time.as_micros()).unwrap_or(u32::MAX);
        if self.mean_us == 0 {
            self.mean_us = i64::from(us.max(1));
        }
        self.mean_us += (i64::from(us) - self.mean_us) / MEAN_DIVISOR;
        if self.recent_us.len() < WINDOW {
            self.recent_us.push(us);
        } else {
            self.recent_us[self.next] = us;
            self.next = (self.next + 1) % WINDOW;
        }
        self.fresh += 1;
    }

    /// Mean service time; none before the first answer.
    pub fn mean(&self) -> Option<Duration> {
        let us = u64::try_from(self.mean_us).ok().filter(|us| *us > 0)?;
        Some(Duration::from_micros(us))
    }

    /// The given percentile; none before enough answers for it to mean something.
    pub fn percentile(&mut self, percent: u32) -> Option<Duration> {
        if self.recent_us.len() < REFRESH {
            return None;
        }
        match self.cached {
            Some((of, value)) if of == percent && self.fresh < REFRESH => Some(value),
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
        self.fresh = 0;
        value
    }
}
