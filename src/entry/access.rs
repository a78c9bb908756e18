//! Access log and metrics of requests to services.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::entry::reply::Outcome;
use crate::ids::ServiceName;

/// Maximum access log lines per second; further ones are omitted and counted in `left_out`.
const MAX_LINES_PER_SECOND: u64 = 100;

/// Properties of a completed request for the access log and metrics.
pub(super) struct Access<'a> {
    pub(super) service: &'a ServiceName,
    pub(super) outcome: Outcome,
    pub(super) status: u16,
    pub(super) attempts: u32,
    pub(super) minion: &'a str,
    pub(super) zone: &'a str,
    /// Time from arrival to the reply.
    pub(super) total: Duration,
    /// Time of the attempt at the minion, measured by the minion's owner; zero without a response.
    pub(super) service_time: Duration,
    pub(super) traceparent: &'a str,
}

/// Access log with a rate limit.
#[derive(Default)]
pub(super) struct AccessLog {
    second: AtomicU64,
    lines: AtomicU64,
    left_out: AtomicU64,
}

impl AccessLog {
    /// Records the metrics of a request and logs it unless the rate limit is exceeded.
    pub(super) fn record(&self, log: &slog::Logger, now: Duration, access: &Access<'_>) {
        count(access);
        if !self.may_write(now) {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let waited = access.total.saturating_sub(access.service_time);
        slog::info!(log, "request";
            "service" => access.service.as_str(),
            "outcome" => access.outcome.as_str(),
            "status" => access.status,
            "attempts" => access.attempts,
            "minion" => access.minion,
            "zone" => access.zone,
            "wait_us" => micros(waited),
            "service_us" => micros(access.service_time),
            "traceparent" => access.traceparent,
            "left_out" => self.left_out.swap(0, Ordering::Relaxed),
        );
    }

    fn may_write(&self, now: Duration) -> bool {
        let second = now.as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        self.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND
    }
}

fn count(access: &Access<'_>) {
    let service = access.service.to_string();
    let labels = [
        ("service", service.clone()),
        ("outcome", access.outcome.as_str().to_owned()),
    ];
    metrics::counter!("yuccahold_entry_requests_total", &labels).increment(1);
    let service = [("service", service)];
    metrics::histogram!("yuccahold_entry_request_seconds", &service)
        .record(access.total.as_secs_f64());
    if access.outcome == Outcome::Done {
        metrics::histogram!("yuccahold_entry_service_seconds", &service)
            .record(access.service_time.as_secs_f64());
    }
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
