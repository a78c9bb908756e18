//! Retry budget: a token bucket that limits the retries and hedged attempts of a service.

use std::time::Duration;

use crate::ids::Timestamp;

/// Capacity of the bucket: retries a service may make in one burst, also with few requests.
const BURST: f64 = 20.0;
/// Refill per second without any request, so that a service with little traffic can retry at all.
const PER_SECOND: f64 = 1.0;

/// Token bucket filled by requests and drained by retries and hedged attempts.
///
/// When some minions fail, each retry is additional load on the others and, without a limit,
/// overloads them too. The budget limits that load to the declared percentage of requests.
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
    /// Adds `percent` hundredths of a retry for one request, up to the capacity.
    pub fn earn(&mut self, now: Timestamp, percent: u32) {
        self.refill(now);
        self.tokens = (self.tokens + f64::from(percent) / 100.0).min(BURST);
    }

    /// Takes one retry; false when less than a whole one is left.
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
