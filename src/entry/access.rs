//! The access line and the metrics of each request.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::entry::reply::Outcome;
use crate::ids::ServiceName;

/// Access lines a second beyond which lines are left out and counted.
const LINES_PER_SECOND: u64 = 100;

/// What is told of one request.
pub(super) struct Access<'a> {
    pub(super) service: &'a ServiceName,
    pub(super) outcome: Outcome,
    pub(super) status: u16,
    pub(super) attempts: u32,
    pub(super) minion: &'a str,
    pub(super) zone: &'a str,
    /// Time from arrival to the answer.
    pub(super) total: Duration,
    /// Time the minion took, as its owner measured it.
    pub(super) service_time: Duration,
    pub(super) traceparent: &'a str,
}

/// Writes access lines, not more than a bound each second.
#[derive(Default)]
pub(super) struct AccessLog {
    second: AtomicU64,
    lines: AtomicU64,
    left_out: AtomicU64,
}

impl AccessLog {
    /// Counts a request and writes its line unless there are too many.
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
        self.lines.fetch_add(1, Ordering::Relaxed) < LINES_PER_SECOND
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
