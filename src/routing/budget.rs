//! Retry budget: how many tries beyond the first a service may make.

use std::time::Duration;

use crate::ids::Timestamp;

/// Retries a service may make in one burst, also when it has few requests.
const BURST: f64 = 20.0;
/// Retries earned a second without any request, so that a quiet service can retry at all.
const PER_SECOND: f64 = 1.0;

/// Retries earned by requests and spent by tries beyond the first.
///
/// When a part of the minions fails, each retry is load on the rest; without a bound they fail
/// too. With it, the rest gets at most the declared percentage on top.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    at: Timestamp,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: BURST,
            at: Duration::ZERO,
        }
    }
}

impl RetryBudget {
    /// Earns for one request at `percent` retries per hundred.
    pub fn earn(&mut self, now: Timestamp, percent: u32) {
        self.refill(now);
        self.tokens = (self.tokens + f64::from(percent) / 100.0).min(BURST);
    }

    /// Spends one retry, if there is one.
    pub fn spend(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Timestamp) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + passed * PER_SECOND).min(BURST);
        self.at = now.max(self.at);
    }
}
